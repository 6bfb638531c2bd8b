"""Collects from the code the texts that clients, gateways and operators' tools receive."""

import ast
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import rowanrail

__all__ = ["gather_texts", "texts_of"]

ROOT = Path(rowanrail.__file__).resolve().parents[2]
FOLDERS = ("src/rowanrail", "platform")
# Log messages, texts of ``explain``, and descriptions that generated documents contain.
EXCLUDED_FILES = ("events.py", "cli/explain.py", "config/model.py", "config/settings.py")
EXCLUDED_PACKAGE = "rowanrail/explain"
# Help of options, and errors that are only logged or printed.
EXCLUDED_CALLS = {"LookupError", "StorageError", "ValueError", "_damaged", "define", "option"}
# Calls whose texts are external even if they are a single word.
EXTERNAL_TEXT_CALLS = {
    "Answer",
    "BackendRefusedError",
    "Failure",
    "InvalidRequestError",
    "MysqlError",
    "NotRun",
    "NotRunError",
    "NotServed",
    "OutcomeUnknownError",
    "RequestConflictError",
    "UnknownDatabaseError",
    "_close_with_error",
    "_fail",
    "_refuse",
    "abort",
    "busy_answer",
    "error_response",
    "fail",
    "format_table",
    "lost",
    "refuse",
    "reject",
}


def gather_texts() -> dict[str, int]:
    """Return the number of occurrences of each external text in the product."""
    counts: Counter[str] = Counter()
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            name = path.as_posix()
            if not name.endswith(EXCLUDED_FILES) and EXCLUDED_PACKAGE not in name:
                counts.update(texts_of(path.read_text()))
    return dict(sorted(counts.items()))


def texts_of(source: str) -> Iterator[str]:
    """Yield the external texts of a module, with ``{}`` and the format for interpolated values."""
    tree = ast.parse(source)
    parents = {child: node for node in ast.walk(tree) for child in ast.iter_child_nodes(node)}
    for node in ast.walk(tree):
        text = _literal_text(node)
        if text is None or isinstance(parents[node], ast.JoinedStr | ast.Expr | ast.FormattedValue):
            continue
        call = _enclosing_call(node, parents)
        if call in EXCLUDED_CALLS or _is_assertion_or_annotation(node, parents):
            continue
        if call in EXTERNAL_TEXT_CALLS or " " in text.strip():
            yield text


def _literal_text(node: ast.AST) -> str | None:
    if isinstance(node, ast.Constant):
        return node.value if isinstance(node.value, str) else None
    if isinstance(node, ast.JoinedStr):
        return "".join(_format_part(part) for part in node.values)
    return None


def _format_part(node: ast.expr) -> str:
    if isinstance(node, ast.FormattedValue):
        conversion = f"!{chr(node.conversion)}" if node.conversion >= 0 else ""
        form = f":{_literal_text(node.format_spec)}" if node.format_spec else ""
        return "{" + conversion + form + "}"
    return _literal_text(node) or ""


def _enclosing_call(node: ast.AST, parents: dict[ast.AST, ast.AST]) -> str:
    """Return the name of the innermost call around a node within its statement; empty if none."""
    while not isinstance(node, ast.stmt):
        node = parents[node]
        if isinstance(node, ast.Call):
            return getattr(node.func, "attr", "") or getattr(node.func, "id", "")
    return ""


def _is_assertion_or_annotation(node: ast.AST, parents: dict[ast.AST, ast.AST]) -> bool:
    """Return whether a text is part of an assertion or is a quoted annotation."""
    while not isinstance(node, ast.stmt):
        parent = parents[node]
        if isinstance(parent, ast.FunctionDef | ast.AsyncFunctionDef) and node is parent.returns:
            return True
        if isinstance(parent, ast.arg) and node is parent.annotation:
            return True
        node = parent
    return isinstance(node, ast.Assert)
