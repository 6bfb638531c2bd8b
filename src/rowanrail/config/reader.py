"""Reading YAML into typed settings, with all problems at once.

``msgspec`` converts a value and stops at its first problem. This module walks the
types so that each field is converted by itself, and every problem names its file, its
path and how to mend it.

JSON is YAML. A document that is JSON is read as such: the parser of YAML takes a tenth of the
time in which a program starts, and a program that is late keeps its clients waiting.
"""

import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

StructType = TypeVar("StructType", bound=msgspec.Struct)

MAXIMUM_FILE_BYTES = 8 * 1024 * 1024  # a larger file is refused; chosen


def read_yaml(path: Path) -> Result[Any, list[str]]:
    """Return the document in a YAML file, or the problems."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return Failure([f"{path}: can't be read: {error.strerror}; check the name and its rights"])
    if len(data) > MAXIMUM_FILE_BYTES:
        return Failure([f"{path}: larger than {MAXIMUM_FILE_BYTES} bytes; split it"])
    if data.startswith(b"{"):
        try:
            return Success(msgspec.json.decode(data))
        except msgspec.DecodeError:
            pass  # YAML may begin so, too; what is wrong with it is told by its parser
    return _parse_yaml(path, data)


def _parse_yaml(path: Path, data: bytes) -> Result[Any, list[str]]:
    import yaml  # only where a document needs it

    try:
        return Success(yaml.safe_load(data))
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        place = ""
        mark = getattr(error, "problem_mark", None)
        if mark is not None:
            place = f" line {mark.line + 1}, column {mark.column + 1}"
        problem = getattr(error, "problem", None) or str(error).splitlines()[0]
        return Failure([f"{path}:{place} is not valid YAML: {problem}; mend the syntax"])


def convert(value: Any, kind: type[StructType], source: str) -> Result[StructType, list[str]]:
    """Convert a plain value to ``kind``, or return all problems."""
    problems: list[str] = []
    _check(value, kind, "", source, problems)
    if problems:
        return Failure(problems)
    try:
        return Success(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return Failure([f"{source}: {error}"])


def _check(value: Any, kind: Any, path: str, source: str, problems: list[str]) -> None:
    origin = typing.get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        _check_struct(value, kind, path, source, problems)
    elif origin is list:
        _check_list(value, typing.get_args(kind)[0], path, source, problems)
    elif origin is dict:
        _check_dict(value, typing.get_args(kind)[1], path, source, problems)
    elif origin in (typing.Union, types.UnionType) and value is None:
        return
    else:
        _check_leaf(value, kind, path, source, problems)


def _check_struct(
    value: Any, kind: type[msgspec.Struct], path: str, source: str, problems: list[str]
) -> None:
    if not isinstance(value, dict):
        found = "nothing" if value is None else type(value).__name__
        problems.append(
            f"{source}: {path or 'the document'}: expected keys with values, found {found}"
        )
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for key in value:
        if key not in fields:
            import difflib  # only where something is wrong

            close = difflib.get_close_matches(str(key), fields, n=1)
            hint = f"did you mean {close[0]!r}?" if close else f"known: {', '.join(fields)}"
            problems.append(f"{source}: {_join(path, key)}: unknown key; {hint}")
    for name, field in fields.items():
        if name in value:
            _check(value[name], field.type, _join(path, name), source, problems)
        elif field.required:
            problems.append(f"{source}: {_join(path, name)}: missing; add it")


def _check_list(value: Any, kind: Any, path: str, source: str, problems: list[str]) -> None:
    if not isinstance(value, list):
        problems.append(f"{source}: {path}: expected a list, found {type(value).__name__}")
        return
    for position, item in enumerate(value):
        _check(item, kind, f"{path}[{position}]", source, problems)


def _check_dict(value: Any, kind: Any, path: str, source: str, problems: list[str]) -> None:
    if not isinstance(value, dict):
        problems.append(f"{source}: {path}: expected keys with values")
        return
    for key, item in value.items():
        _check(item, kind, _join(path, key), source, problems)


def _check_leaf(value: Any, kind: Any, path: str, source: str, problems: list[str]) -> None:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        hint = ""
        if isinstance(kind, type) and hasattr(kind, "__members__"):
            hint = f"; one of: {', '.join(str(member.value) for member in kind)}"  # type: ignore[attr-defined]
        problems.append(f"{source}: {path}: {str(error).split(' - at')[0]}{hint}")


def _join(path: str, key: object) -> str:
    return f"{path}.{key}" if path else str(key)
