"""How a type is encoded and what a value holds, told without names of classes.

A form is plain JSON. It says for each field its encoded name, its default and its own form, so
that two forms are equal if either side reads what the other one writes.
"""

import enum
from typing import Any

import msgspec
from msgspec import inspect

__all__ = ["schema_differences", "schema_of", "to_json_value"]

REQUIRED = "required"


def to_json_value(value: Any) -> Any:
    """Return a value in JSON's terms: arrays by place, objects by encoded name, bytes in hex."""
    match value:
        case msgspec.Struct():
            fields = msgspec.structs.fields(type(value))
            values = [to_json_value(getattr(value, field.name)) for field in fields]
            config = value.__struct_config__
            if config.array_like:
                return values if config.tag is None else [config.tag, *values]
            named = dict(zip([field.encode_name for field in fields], values, strict=True))
            return named if config.tag is None else {config.tag_field: config.tag, **named}
        case enum.Enum():
            return to_json_value(value.value)
        case bytes():
            return {"hex": value.hex()}
        case msgspec.Raw():
            return {"hex": bytes(value).hex()}
        case dict():
            return {str(to_json_value(key)): to_json_value(item) for key, item in value.items()}
        case list() | tuple():
            return [to_json_value(item) for item in value]
        case set() | frozenset():
            return sorted(to_json_value(item) for item in value)
    return value


def schema_of(kind: inspect.Type) -> Any:
    """Return the form of a type as ``msgspec.inspect`` describes it."""
    match kind:
        case inspect.StructType(cls=cls, fields=fields, tag=tag, array_like=array_like):
            names = [
                [field.encode_name, _default(field), schema_of(field.type)] for field in fields
            ]
            form = {"array" if array_like else "object": names}
            if tag is not None:
                form["tag"] = [kind.tag_field, tag]
            if kind.forbid_unknown_fields:
                form["closed"] = True
            return form
        case inspect.EnumType(cls=cls):
            return {"enum": sorted((to_json_value(member) for member in cls), key=str)}
        case inspect.ListType() | inspect.SetType() | inspect.FrozenSetType():
            return {"list": schema_of(kind.item_type)}
        case inspect.VarTupleType():
            return {"list": schema_of(kind.item_type)}
        case inspect.TupleType(item_types=items):
            return {"tuple": [schema_of(item) for item in items]}
        case inspect.DictType(key_type=key, value_type=value):
            return {"map": [schema_of(key), schema_of(value)]}
        case inspect.UnionType(types=types):
            return {"one of": sorted((schema_of(each) for each in types), key=str)}
        case inspect.Metadata(type=inner):
            return schema_of(inner)
    return type(kind).__name__.removesuffix("Type").lower()


def _default(field: inspect.Field) -> Any:
    if field.required:
        return REQUIRED
    if field.default is not inspect.NODEFAULT:
        return [to_json_value(field.default)]
    return [to_json_value(field.default_factory())]


def schema_differences(golden: Any, now: Any, place: str = "") -> list[str]:
    """Return where a form is another one than it was.

    Fields of arrays are known by their place, so they may be renamed, but no name may move.
    """
    if isinstance(golden, dict) and isinstance(now, dict) and "array" in golden:
        was, here = golden["array"], now.get("array", [])
        others = [{key: form[key] for key in form if key != "array"} for form in (golden, now)]
        found = schema_differences(*others, place)
        if len(was) != len(here):
            return [*found, f"{place}: {len(here)} fields where {len(was)} were"]
        for number, (before, after) in enumerate(zip(was, here, strict=True)):
            inside = f"{place}[{number} {before[0]}]"
            if before[0] != after[0] and after[0] in [name for name, _, _ in was]:
                found.append(f"{inside}: {after[0]} has moved here")
            found += schema_differences(before[1:], after[1:], inside)
        return found
    if isinstance(golden, dict) and isinstance(now, dict):
        found = []
        for key in golden | now:
            if key not in golden or key not in now:
                found.append(f"{place}: {key!r} in only one of both")
            else:
                found += schema_differences(golden[key], now[key], f"{place}.{key}")
        return found
    if isinstance(golden, list) and isinstance(now, list) and len(golden) == len(now):
        return [
            each
            for number, (before, after) in enumerate(zip(golden, now, strict=True))
            for each in schema_differences(before, after, f"{place}[{number}]")
        ]
    if golden == now and type(golden) is type(now):
        return []
    return [f"{place}: {now!r} where {golden!r} was"]
