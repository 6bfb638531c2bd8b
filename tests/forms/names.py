"""Collects the external names of the programs from the code."""

import ast
import contextlib
import enum
import hashlib
import importlib
import io
import os
import pkgutil
import runpy
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any
from unittest import mock

import click
from msgspec import inspect

import rowanrail
from rowanrail.cli.main import main as command_line
from rowanrail.cli.output import ExitCode
from rowanrail.config import model, settings
from rowanrail.gateway.sessions.outcomes import OutcomeRecorder
from rowanrail.kernel import registry
from rowanrail.kernel.catalogue import CATALOGUE, Event
from rowanrail.kernel.decisions import DecisionLog
from rowanrail.kernel.metrics import Metrics
from rowanrail.model.statements import Refusal, StatementKind
from rowanrail.model.trace import Rejection, Trace
from rowanrail.sql_control.http_api import ChangeBody
from rowanrail.sql_proxy.directory import MachineList
from rowanrail.sql_proxy.report import ProxyMetrics
from tests.forms.schema import schema_of, to_json_value
from tests.support import platform_path  # noqa: F401 - it is imported for its effect

# isort: split
import rowanrail_platform
from rowanrail_platform.announcements import Heartbeat
from rowanrail_platform.configuration import _Document

__all__ = ["gather_names"]

ROOT = Path(rowanrail.__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "main.py"
DEPLOYED_FILES = ("system.toml", "control.json", "proxy.json")
DOCUMENT_TYPES = {
    "proxy": settings.ProxySettings,
    "control": settings.ControlSettings,
    "gateway": settings.GatewaySettings,
    "coordinator": settings.CoordinatorSettings,
    "configuration": model.Configuration,
    "platform document": _Document,
    "heartbeat": Heartbeat,
    "change": ChangeBody,
    "list of machines": MachineList,
}
LOGGING_METHODS = ("note", "emit")


def import_all_modules() -> list[ModuleType]:
    """Import all modules of the product, and return them."""
    found = []
    for package in (rowanrail, rowanrail_platform):
        for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            if not module.name.endswith("__main__"):
                found.append(importlib.import_module(module.name))
    return found


def gather_names() -> dict[str, Any]:
    """Return all external names as JSON, by section."""
    modules = import_all_modules()
    trees = {module: ast.parse(Path(module.__file__ or "").read_text()) for module in modules}
    return {
        "documents": {
            name: schema_of(inspect.type_info(kind))
            for name, kind in sorted(DOCUMENT_TYPES.items())
        },
        "events": _log_events(trees),
        "statement lines": _statement_lines(),
        "log values": _enumeration_values(modules),
        "metrics": _metrics(trees),
        "paths": _http_paths(trees),
        "commands": dict(_cli_commands(command_line, "rowanrail")),
        "exit codes": {code.name: code.value for code in ExitCode},
        "program": _program_output(),
        "plug-ins": sorted("/".join(key) for key in registry._registered if _is_product(key)),
        "deployed": {
            name: hashlib.sha256((ROOT / "deploy" / name).read_bytes()).hexdigest()
            for name in DEPLOYED_FILES
        },
    }


def _is_product(key: tuple[str, str]) -> bool:
    return registry._registered[key].__module__.startswith("rowanrail")


# Events


def _log_events(trees: dict[ModuleType, ast.Module]) -> dict[str, Any]:
    """Return the level and fields of each event; ``?`` has those of calls with a variable event."""
    fields: dict[str, set[str]] = {str(number): set() for number in CATALOGUE}
    fields["?"] = set()
    for module, tree in trees.items():
        for call in ast.walk(tree):
            if (
                isinstance(call, ast.Call)
                and _function_name(call.func) in LOGGING_METHODS
                and call.args
            ):
                named = {keyword.arg for keyword in call.keywords if keyword.arg}
                numbers = _event_numbers(module, call.args[0]) or ["?"]
                for number in numbers:
                    fields[number] |= named
    events = {
        str(number): {"level": event.level.value, "fields": sorted(fields[str(number)])}
        for number, event in sorted(CATALOGUE.items())
    }
    return {**events, "?": {"level": "", "fields": sorted(fields["?"])}}


def _event_numbers(module: ModuleType, argument: ast.expr) -> list[str]:
    values = [getattr(module, name.id, None) for name in ast.walk(argument) if _is_name_node(name)]
    return [str(value.number) for value in values if isinstance(value, Event)]


def _is_name_node(node: ast.AST) -> bool:
    return isinstance(node, ast.Name)


def _function_name(function: ast.expr) -> str:
    return getattr(function, "attr", "") or getattr(function, "id", "")


def _statement_lines() -> list[str]:
    """Return the log lines of a refused and of a successful statement.

    The fields of a trace have names in these lines only; between processes it is an array.
    """
    reader, writer = os.pipe()
    decisions = DecisionLog("g1", writer, wall_clock=lambda: 1.5)
    access = mock.Mock(version=7)
    outcomes = OutcomeRecorder(decisions, access)
    session = mock.Mock(label="s1", database="orders")
    session.identity.tenant = "t1"
    statement = mock.Mock(request_id="q1", kind=StatementKind.READ)
    rejection = Rejection("hopeless", 1, 2, 3, 4, 5)
    trace = Trace("db", "sent", "i-1", 6, "i-2", 7.5, 8.5, "g2", rejection)
    refused = mock.Mock(refusal=Refusal.BUSY, message="why", signature=b"")
    answered = mock.Mock(refusal=None, message="", signature=b"x")
    operation = mock.Mock(**{"trace.return_value": trace})
    outcomes.note(session, statement, refused, 0.25, operation)
    outcomes.note(session, statement, answered, 0.25, None)
    decisions.flush()
    os.close(writer)
    with open(reader, encoding="utf-8") as lines:
        return lines.read().splitlines()


def _enumeration_values(modules: list[ModuleType]) -> list[Any]:
    """Return the string values of each enumeration; most appear in logs or messages."""
    kinds = {
        value
        for module in modules
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, enum.Enum)
        and value.__module__.startswith("rowanrail")
    }
    values = [
        sorted(to_json_value(member) for member in kind if _is_string_member(member))
        for kind in kinds
    ]
    return sorted(each for each in values if each)


def _is_string_member(member: enum.Enum) -> bool:
    return isinstance(member.value, str)


# Metrics and paths


def _metrics(trees: dict[ModuleType, ast.Module]) -> dict[str, Any]:
    """Return names and labels of gauges, prefixes of metrics, and the metrics always present."""
    readings: set[str] = set()
    labels: set[str] = set()
    prefixes: set[str] = set()
    for module, tree in trees.items():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and str(node.value).startswith("rowanrail_"):
                prefixes.add(str(node.value))
            elif hasattr(module, "GaugeSample"):
                readings |= set(_reading_names(node))
                labels |= set(_label_names(node))
    core = mock.Mock(sessions=[])
    core.in_force.version = 1
    core.watched_groups.return_value = []
    fixed = Metrics("rowanrail_gateway", list).render() + ProxyMetrics(core).render()
    kinds = [line[7:] for line in fixed.decode().splitlines() if line.startswith("# TYPE ")]
    return {
        "readings": sorted(readings),
        "labels": sorted(labels),
        "words": sorted(word for word in prefixes if word.replace("_", "").isalpha()),
        "fixed": sorted(kind for kind in kinds if "_created" not in kind),
        "fixed labels": _declared_labels(ProxyMetrics(core)) + _declared_labels(Metrics("p", list)),
    }


def _reading_names(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.Tuple) and len(node.elts) == 3:
        first = node.elts[0]
        if isinstance(first, ast.Constant) and isinstance(first.value, str):
            yield first.value


def _label_names(node: ast.AST) -> Iterator[str]:
    keys: list[Any] = []
    if isinstance(node, ast.Dict):
        keys = list(node.keys)
    elif isinstance(node, ast.Subscript) and isinstance(node.ctx, ast.Store):
        keys = [node.slice]
    for key in keys:
        if isinstance(key, ast.Constant) and isinstance(key.value, str):
            yield key.value


def _declared_labels(metrics: Any) -> list[str]:
    collectors = set(metrics._registry._names_to_collectors.values())
    return sorted(f"{each._name} {' '.join(each._labelnames)}" for each in collectors)


def _http_paths(trees: dict[ModuleType, ast.Module]) -> list[str]:
    """Return the string constants that look like HTTP paths."""
    words = {
        node.value
        for tree in trees.values()
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    return sorted(word for word in words if word[:1] == "/" and word[1:2].isalpha())


# Command line


def _cli_commands(command: click.Command, path: str) -> Iterator[tuple[str, Any]]:
    parameters = {}
    for parameter in command.params:
        kind = parameter.type
        parameters["/".join(parameter.opts)] = {
            "type": kind.name,
            "choices": [str(to_json_value(each)) for each in getattr(kind, "choices", [])],
            "required": parameter.required,
            "many": parameter.multiple or parameter.nargs != 1,
            "flag": bool(getattr(parameter, "is_flag", False)),
            "default": _format_default(parameter.default),
        }
    yield path, parameters
    for name, sub in sorted(getattr(command, "commands", {}).items()):
        yield from _cli_commands(sub, f"{path} {name}")


def _format_default(default: Any) -> str:
    """Return an option's default as text; empty if there is none, or click's placeholder."""
    value = to_json_value(default)
    return str(value) if isinstance(value, str | int | float | list) and value else ""


def _program_output() -> list[str]:
    """Return exit codes and errors of ``platform/main.py`` without role and without settings."""
    with mock.patch.object(sys, "path", list(sys.path)):
        main = runpy.run_path(str(PROGRAM))["main"]
        output = io.StringIO()
        for arguments in ([], ["control"]):
            with (
                mock.patch.object(sys, "argv", ["main.py", *arguments]),
                mock.patch.dict("os.environ"),
                contextlib.redirect_stderr(output),
            ):
                os.environ.pop("ROWANRAIL_CONFIG", None)
                output.write(f"{main()}\n")
    return output.getvalue().splitlines()
