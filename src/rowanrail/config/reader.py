"""Conversion of YAML files to typed settings, which reports all problems at once.

``msgspec`` stops at the first problem, so this module converts each field separately. Every problem
names its file, its path and how to fix it.

JSON documents are parsed without the YAML parser, whose import slows down the start of a program.
"""

import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

StructType = TypeVar("StructType", bound=msgspec.Struct)

MAXIMUM_FILE_BYTES = 8 * 1024 * 1024


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
            pass  # may be a YAML flow mapping; otherwise the YAML parser reports the problem
    return _parse_yaml(path, data)


def _parse_yaml(path: Path, data: bytes) -> Result[Any, list[str]]:
    import yaml  # slow to import

    try:
        return Success(yaml.safe_load(data))
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        place = ""
        mark = getattr(error, "problem_mark", None)
        if mark is not None:
            place = f" line {mark.line + 1}, column {mark.column + 1}"
        problem = getattr(error, "problem", None) or str(error).splitlines()[0]
        return Failure([f"{path}:{place} is not valid YAML: {problem}; mend the syntax"])


def convert(
    value: Any, target_type: type[StructType], source: str
) -> Result[StructType, list[str]]:
    """Convert a value of built-in types to ``target_type``, or return all problems."""
    problems: list[str] = []
    _check(value, target_type, "", source, problems)
    if problems:
        return Failure(problems)
    try:
        return Success(msgspec.convert(value, target_type))
    except msgspec.ValidationError as error:
        return Failure([f"{source}: {error}"])


def _check(value: Any, target_type: Any, path: str, source: str, problems: list[str]) -> None:
    origin = typing.get_origin(target_type)
    if isinstance(target_type, type) and issubclass(target_type, msgspec.Struct):
        _check_struct(value, target_type, path, source, problems)
    elif origin is list:
        _check_list(value, typing.get_args(target_type)[0], path, source, problems)
    elif origin is dict:
        _check_dict(value, typing.get_args(target_type)[1], path, source, problems)
    elif origin in (typing.Union, types.UnionType) and value is None:
        return
    else:
        _check_scalar(value, target_type, path, source, problems)


def _check_struct(
    value: Any, target_type: type[msgspec.Struct], path: str, source: str, problems: list[str]
) -> None:
    if not isinstance(value, dict):
        found = "nothing" if value is None else type(value).__name__
        problems.append(
            f"{source}: {path or 'the document'}: expected keys with values, found {found}"
        )
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(target_type)}
    for key in value:
        if key not in fields:
            import difflib  # imported only for error messages

            close = difflib.get_close_matches(str(key), fields, n=1)
            hint = f"did you mean {close[0]!r}?" if close else f"known: {', '.join(fields)}"
            problems.append(f"{source}: {_join(path, key)}: unknown key; {hint}")
    for name, field in fields.items():
        if name in value:
            _check(value[name], field.type, _join(path, name), source, problems)
        elif field.required:
            problems.append(f"{source}: {_join(path, name)}: missing; add it")


def _check_list(value: Any, target_type: Any, path: str, source: str, problems: list[str]) -> None:
    if not isinstance(value, list):
        problems.append(f"{source}: {path}: expected a list, found {type(value).__name__}")
        return
    for position, item in enumerate(value):
        _check(item, target_type, f"{path}[{position}]", source, problems)


def _check_dict(value: Any, target_type: Any, path: str, source: str, problems: list[str]) -> None:
    if not isinstance(value, dict):
        problems.append(f"{source}: {path}: expected keys with values")
        return
    for key, item in value.items():
        _check(item, target_type, _join(path, key), source, problems)


def _check_scalar(
    value: Any, target_type: Any, path: str, source: str, problems: list[str]
) -> None:
    try:
        msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        hint = ""
        if isinstance(target_type, type) and hasattr(target_type, "__members__"):
            hint = f"; one of: {', '.join(str(member.value) for member in target_type)}"  # type: ignore[attr-defined]
        problems.append(f"{source}: {path}: {str(error).split(' - at')[0]}{hint}")


def _join(path: str, key: object) -> str:
    return f"{path}.{key}" if path else str(key)
