"""The names by which others know the programs, read from the code."""

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
from tests.forms.form import form_of, plain
from tests.support import platform_path  # noqa: F401 - it is imported for its effect

# isort: split
import rowanrail_platform
from rowanrail_platform.configuration import _Document
from rowanrail_platform.control_api import Heartbeat

__all__ = ["gather"]

ROOT = Path(rowanrail.__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "main.py"
DEPLOYED = ("system.toml", "control.json", "proxy.json")
DOCUMENTS = {
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
LOGGING = ("note", "emit")


def modules() -> list[ModuleType]:
    """Import and return all modules of the product."""
    found = []
    for package in (rowanrail, rowanrail_platform):
        for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            if not module.name.endswith("__main__"):
                found.append(importlib.import_module(module.name))
    return found


def gather() -> dict[str, Any]:
    """Return all names, in JSON's terms."""
    loaded = modules()
    trees = {module: ast.parse(Path(module.__file__ or "").read_text()) for module in loaded}
    return {
        "documents": {
            name: form_of(inspect.type_info(kind)) for name, kind in sorted(DOCUMENTS.items())
        },
        "events": _events(trees),
        "statement lines": _statement_lines(),
        "log values": _enumerations(loaded),
        "metrics": _metrics(trees),
        "paths": _paths(trees),
        "commands": dict(_commands(command_line, "rowanrail")),
        "exit codes": {code.name: code.value for code in ExitCode},
        "program": _program(),
        "plug-ins": sorted("/".join(key) for key in registry._registered if _is_product(key)),
        "deployed": {
            name: hashlib.sha256((ROOT / "deploy" / name).read_bytes()).hexdigest()
            for name in DEPLOYED
        },
    }


def _is_product(key: tuple[str, str]) -> bool:
    return registry._registered[key].__module__.startswith("rowanrail")


# Events


def _events(trees: dict[ModuleType, ast.Module]) -> dict[str, Any]:
    """Return level and fields by number; under ``?`` the fields of calls whose event varies."""
    fields: dict[str, set[str]] = {str(number): set() for number in CATALOGUE}
    fields["?"] = set()
    for module, tree in trees.items():
        for call in ast.walk(tree):
            if isinstance(call, ast.Call) and _name(call.func) in LOGGING and call.args:
                named = {keyword.arg for keyword in call.keywords if keyword.arg}
                numbers = _numbers(module, call.args[0]) or ["?"]
                for number in numbers:
                    fields[number] |= named
    events = {
        str(number): {"level": event.level.value, "fields": sorted(fields[str(number)])}
        for number, event in sorted(CATALOGUE.items())
    }
    return {**events, "?": {"level": "", "fields": sorted(fields["?"])}}


def _numbers(module: ModuleType, argument: ast.expr) -> list[str]:
    values = [getattr(module, name.id, None) for name in ast.walk(argument) if _is_name(name)]
    return [str(value.number) for value in values if isinstance(value, Event)]


def _is_name(node: ast.AST) -> bool:
    return isinstance(node, ast.Name)


def _name(function: ast.expr) -> str:
    return getattr(function, "attr", "") or getattr(function, "id", "")


def _statement_lines() -> list[str]:
    """Return the lines of a refused and of an answered statement.

    Their fields are those of a trace, which has other names between processes: none.
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


def _enumerations(loaded: list[ModuleType]) -> list[Any]:
    """Return the values of each enumeration; most of them occur in logs or messages."""
    kinds = {
        value
        for module in loaded
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, enum.Enum)
        and value.__module__.startswith("rowanrail")
    }
    values = [sorted(plain(member) for member in kind if _is_word(member)) for kind in kinds]
    return sorted(each for each in values if each)


def _is_word(member: enum.Enum) -> bool:
    return isinstance(member.value, str)


# Metrics and paths


def _metrics(trees: dict[ModuleType, ast.Module]) -> dict[str, Any]:
    """Return the names of readings, the words in modules that give them, and the fixed metrics."""
    readings: set[str] = set()
    labels: set[str] = set()
    prefixes: set[str] = set()
    for module, tree in trees.items():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and str(node.value).startswith("rowanrail_"):
                prefixes.add(str(node.value))
            elif hasattr(module, "GaugeSample"):
                readings |= set(_reading(node))
                labels |= set(_labels(node))
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
        "fixed labels": _fixed_labels(ProxyMetrics(core)) + _fixed_labels(Metrics("p", list)),
    }


def _reading(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.Tuple) and len(node.elts) == 3:
        first = node.elts[0]
        if isinstance(first, ast.Constant) and isinstance(first.value, str):
            yield first.value


def _labels(node: ast.AST) -> Iterator[str]:
    keys: list[Any] = []
    if isinstance(node, ast.Dict):
        keys = list(node.keys)
    elif isinstance(node, ast.Subscript) and isinstance(node.ctx, ast.Store):
        keys = [node.slice]
    for key in keys:
        if isinstance(key, ast.Constant) and isinstance(key.value, str):
            yield key.value


def _fixed_labels(metrics: Any) -> list[str]:
    collectors = set(metrics._registry._names_to_collectors.values())
    return sorted(f"{each._name} {' '.join(each._labelnames)}" for each in collectors)


def _paths(trees: dict[ModuleType, ast.Module]) -> list[str]:
    """Return the strings that begin as the path of a call over HTTP."""
    words = {
        node.value
        for tree in trees.values()
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    return sorted(word for word in words if word[:1] == "/" and word[1:2].isalpha())


# Command line


def _commands(command: click.Command, path: str) -> Iterator[tuple[str, Any]]:
    parameters = {}
    for parameter in command.params:
        kind = parameter.type
        parameters["/".join(parameter.opts)] = {
            "type": kind.name,
            "choices": [str(plain(each)) for each in getattr(kind, "choices", [])],
            "required": parameter.required,
            "many": parameter.multiple or parameter.nargs != 1,
            "flag": bool(getattr(parameter, "is_flag", False)),
            "default": _told(parameter.default),
        }
    yield path, parameters
    for name, sub in sorted(getattr(command, "commands", {}).items()):
        yield from _commands(sub, f"{path} {name}")


def _told(default: Any) -> str:
    """Return a default in words; what click has in place of one is none."""
    value = plain(default)
    return str(value) if isinstance(value, str | int | float | list) and value else ""


def _program() -> list[str]:
    """Return what the platform's program says of its roles and of the settings file."""
    with mock.patch.object(sys, "path", list(sys.path)):
        main = runpy.run_path(str(PROGRAM))["main"]
        said = io.StringIO()
        for arguments in ([], ["control"]):
            with (
                mock.patch.object(sys, "argv", ["main.py", *arguments]),
                mock.patch.dict("os.environ"),
                contextlib.redirect_stderr(said),
            ):
                os.environ.pop("ROWANRAIL_CONFIG", None)
                said.write(f"{main()}\n")
    return said.getvalue().splitlines()
