"""Texts by which clients, gateways and operators' tools know the programs, read from the code."""

import ast
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import rowanrail

__all__ = ["gather_texts", "texts_of"]

ROOT = Path(rowanrail.__file__).resolve().parents[2]
FOLDERS = ("src/rowanrail", "platform")
# Sentences of log lines and of ``explain``, and descriptions that made pages hold.
LEFT_OUT = ("events.py", "cli/explain.py", "config/model.py", "config/settings.py")
LEFT_OUT_PACKAGE = "rowanrail/explain"
# Help of options, and errors that are only logged or printed as text.
LEFT_OUT_CALLS = {"LookupError", "StorageError", "ValueError", "_damaged", "define", "option"}
# Calls whose texts leave the program even if they are a single word.
EDGE_CALLS = {
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
    "busy",
    "error_response",
    "fail",
    "format_table",
    "lost",
    "refuse",
    "reject",
}


def gather_texts() -> dict[str, int]:
    """Return how often each text stands in the product, without regard to where."""
    counts: Counter[str] = Counter()
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            name = path.as_posix()
            if not name.endswith(LEFT_OUT) and LEFT_OUT_PACKAGE not in name:
                counts.update(texts_of(path.read_text()))
    return dict(sorted(counts.items()))


def texts_of(source: str) -> Iterator[str]:
    """Yield the texts of a module, values that are filled in as ``{}`` with their format."""
    tree = ast.parse(source)
    parents = {child: node for node in ast.walk(tree) for child in ast.iter_child_nodes(node)}
    for node in ast.walk(tree):
        text = _text(node)
        if text is None or isinstance(parents[node], ast.JoinedStr | ast.Expr | ast.FormattedValue):
            continue
        call = _call_around(node, parents)
        if call in LEFT_OUT_CALLS or _is_unsaid(node, parents):
            continue
        if call in EDGE_CALLS or " " in text.strip():
            yield text


def _text(node: ast.AST) -> str | None:
    if isinstance(node, ast.Constant):
        return node.value if isinstance(node.value, str) else None
    if isinstance(node, ast.JoinedStr):
        return "".join(_part(part) for part in node.values)
    return None


def _part(node: ast.expr) -> str:
    if isinstance(node, ast.FormattedValue):
        conversion = f"!{chr(node.conversion)}" if node.conversion >= 0 else ""
        form = f":{_text(node.format_spec)}" if node.format_spec else ""
        return "{" + conversion + form + "}"
    return _text(node) or ""


def _call_around(node: ast.AST, parents: dict[ast.AST, ast.AST]) -> str:
    """Return the name of the innermost call whose argument a text belongs to; empty if none."""
    while not isinstance(node, ast.stmt):
        node = parents[node]
        if isinstance(node, ast.Call):
            return getattr(node.func, "attr", "") or getattr(node.func, "id", "")
    return ""


def _is_unsaid(node: ast.AST, parents: dict[ast.AST, ast.AST]) -> bool:
    """Return whether a text is an assertion's or a quoted annotation."""
    while not isinstance(node, ast.stmt):
        parent = parents[node]
        if isinstance(parent, ast.FunctionDef | ast.AsyncFunctionDef) and node is parent.returns:
            return True
        if isinstance(parent, ast.arg) and node is parent.annotation:
            return True
        node = parent
    return isinstance(node, ast.Assert)
