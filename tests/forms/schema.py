"""Schemas of encoded types and JSON values of their instances, independent of class names.

A schema is JSON with the encoded name, the default and the schema of each field: two types with
equal schemas can decode each other's encodings.
"""

import enum
from typing import Any

import msgspec
from msgspec import UNSET, inspect

from tests.forms.additions import unset_or, without_added_values

__all__ = ["schema_differences", "schema_of", "to_json_value"]

REQUIRED = "required"


def to_json_value(value: Any) -> Any:
    """Return a value as JSON: structs by position or encoded name, bytes in hex."""
    match value:
        case msgspec.Struct():
            fields = msgspec.structs.fields(type(value))
            values = [to_json_value(getattr(value, field.name)) for field in fields]
            config = value.__struct_config__
            pairs = zip([field.encode_name for field in fields], values, strict=True)
            named = dict(without_added_values(list(pairs)))
            if config.array_like:
                values = list(named.values())
                return values if config.tag is None else [config.tag, *values]
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
    return unset_or(value)


def schema_of(kind: inspect.Type) -> Any:
    """Return the schema of a type that ``msgspec.inspect`` describes."""
    match kind:
        case inspect.StructType(cls=cls, fields=fields, tag=tag, array_like=array_like):
            names = [
                [field.encode_name, _default(field), schema_of(field.type)] for field in fields
            ]
            schema = {"array" if array_like else "object": names}
            if tag is not None:
                schema["tag"] = [kind.tag_field, tag]
            if kind.forbid_unknown_fields:
                schema["closed"] = True
            return schema
        case inspect.EnumType(cls=cls):
            return {"enum": sorted((to_json_value(member) for member in cls), key=str)}
        case inspect.LiteralType(values=values):
            return {"enum": sorted(values, key=str)}
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
    if field.default is inspect.NODEFAULT and field.default_factory is inspect.NODEFAULT:
        return [unset_or(UNSET)]
    if field.default is not inspect.NODEFAULT:
        return [to_json_value(field.default)]
    return [to_json_value(field.default_factory())]


def schema_differences(golden: Any, now: Any, path: str = "") -> list[str]:
    """Return the differences between two schemas, each with its path.

    Fields of array-like structs are identified by their position, so they may be renamed, but a
    name must not move to another position.
    """
    if isinstance(golden, dict) and isinstance(now, dict) and "array" in golden:
        golden_fields, fields = golden["array"], now.get("array", [])
        other_keys = [
            {key: schema[key] for key in schema if key != "array"} for schema in (golden, now)
        ]
        found = schema_differences(*other_keys, path)
        if len(golden_fields) != len(fields):
            return [*found, f"{path}: {len(fields)} fields, expected {len(golden_fields)}"]
        for number, (before, after) in enumerate(zip(golden_fields, fields, strict=True)):
            field_path = f"{path}[{number} {before[0]}]"
            if before[0] != after[0] and after[0] in [name for name, _, _ in golden_fields]:
                found.append(f"{field_path}: {after[0]} has moved to this position")
            found += schema_differences(before[1:], after[1:], field_path)
        return found
    if isinstance(golden, dict) and isinstance(now, dict):
        found = []
        for key in golden | now:
            if key not in golden or key not in now:
                found.append(f"{path}: {key!r} is in one schema only")
            else:
                found += schema_differences(golden[key], now[key], f"{path}.{key}")
        return found
    if isinstance(golden, list) and isinstance(now, list) and len(golden) == len(now):
        return [
            difference
            for number, (before, after) in enumerate(zip(golden, now, strict=True))
            for difference in schema_differences(before, after, f"{path}[{number}]")
        ]
    if golden == now and type(golden) is type(now):
        return []
    return [f"{path}: {now!r}, expected {golden!r}"]
