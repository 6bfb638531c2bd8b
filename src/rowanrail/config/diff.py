"""Differences between two configurations, and hiding of secrets.

For the history of changes and what operators are shown. Owns nothing: pure functions on the model;
no secret leaves them in the clear.
"""

from typing import Any

import msgspec

from rowanrail.config.checks import HIDDEN_SECRET
from rowanrail.config.model import Configuration


class Change(msgspec.Struct, frozen=True):
    """One changed path; an empty side means that the path is not there."""

    path: str
    before: str
    after: str


def redact_secrets(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as plain values, with its secrets redacted."""
    content: dict[str, Any] = msgspec.to_builtins(configuration)
    for group in content["groups"]:
        if group["backend"]["password"]:
            group["backend"]["password"] = HIDDEN_SECRET
    for user in content["users"]:
        user["password_hash"] = HIDDEN_SECRET
    return content


def diff_configurations(before: Configuration, after: Configuration) -> list[Change]:
    """Return what changed; secrets are compared but not shown."""
    old = _flatten(msgspec.to_builtins(_without_common(before, after)), "")
    new = _flatten(msgspec.to_builtins(_without_common(after, before)), "")
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            secret = path.endswith((".password", ".password_hash"))
            changes.append(Change(path, _show(old.get(path), secret), _show(new.get(path), secret)))
    return changes


def _without_common(configuration: Configuration, other: Configuration) -> Configuration:
    """Return only what is not the same in ``other``: comparing is cheaper than flattening."""
    sites = {spec.name: spec for spec in other.sites}
    groups = {spec.name: spec for spec in other.groups}
    users = {spec.name: spec for spec in other.users}
    return Configuration(
        [spec for spec in configuration.sites if sites.get(spec.name) != spec],
        [spec for spec in configuration.groups if groups.get(spec.name) != spec],
        [spec for spec in configuration.users if users.get(spec.name) != spec],
    )


def _show(value: object, secret: bool) -> str:
    if value is None:
        return ""
    return HIDDEN_SECRET if secret else str(value)


def _flatten(value: Any, path: str) -> dict[str, object]:
    if isinstance(value, dict):
        flat: dict[str, object] = {}
        for key, item in value.items():
            flat.update(_flatten(item, f"{path}.{key}" if path else key))
        return flat
    if isinstance(value, list) and value and isinstance(value[0], dict) and "name" in value[0]:
        flat = {}
        for item in value:
            flat.update(_flatten(item, f"{path}[{item['name']}]"))
        return flat
    if isinstance(value, list):
        return {path: ", ".join(str(item) for item in value)}
    return {path: value}
