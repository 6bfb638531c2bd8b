"""Fields that a later version appended to types whose golden samples an earlier one encoded.

A peer of the earlier version ignores them, and this version reads a missing one as its default.
``data/additions.json`` pins each with the field that it follows, so that a field can't be inserted,
or appended unnoticed.
"""

from typing import Any

from msgspec import UNSET

from tests.forms.golden_file import load_golden

__all__ = ["has_only_additions", "without_additions", "without_added_values"]

ADDITIONS: list[dict[str, Any]] = load_golden("additions.json")


def _is_addition(before: Any, field: Any) -> bool:
    return {"after": before[0], "field": field} in ADDITIONS


def without_additions(schema: Any) -> Any:
    """Return a schema without the pinned fields at the end of its structs."""
    if isinstance(schema, list):
        return [without_additions(each) for each in schema]
    if not isinstance(schema, dict):
        return schema
    reduced = {key: without_additions(value) for key, value in schema.items()}
    for key in ("array", "object"):
        fields = schema.get(key)
        while fields and len(fields) > 1 and _is_addition(fields[-2], fields[-1]):
            fields = fields[:-1]
        if fields is not None:
            reduced[key] = without_additions(fields)
    return reduced


def without_added_values(fields: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
    """Return a struct's encoded names and JSON values without added ones that are the default."""
    while len(fields) > 1:
        (before, _), (name, value) = fields[-2:]
        defaults = [
            added["field"][1]
            for added in ADDITIONS
            if added["after"] == before and added["field"][0] == name
        ]
        if [value] not in defaults:
            break
        fields = fields[:-1]
    return fields


def has_only_additions(golden: Any, now: Any) -> bool:
    """Return whether decoded MessagePack equals golden one except for defaults of added fields.

    Structs that are encoded as arrays end with these; others don't encode them.
    """
    if isinstance(golden, dict) and isinstance(now, dict):
        return list(golden) == list(now) and all(
            has_only_additions(value, now[key]) for key, value in golden.items()
        )
    if isinstance(golden, list) and isinstance(now, list):
        if len(golden) > len(now):
            return False
        appended = now[len(golden) :]
        defaults = [added["field"][1][0] for added in ADDITIONS]
        return all(value in defaults for value in appended) and all(
            has_only_additions(*pair) for pair in zip(golden, now, strict=False)
        )
    return type(golden) is type(now) and golden == now


def unset_or(value: Any) -> Any:
    """Return a JSON name for a field that is not encoded, or the value."""
    return "not encoded" if value is UNSET else value
