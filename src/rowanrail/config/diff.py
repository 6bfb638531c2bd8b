"""Differences between two configurations, and redaction of secrets.

For the change history and the output for operators. No result contains a secret.
"""

from typing import Any

import msgspec

from rowanrail.config.checks import REDACTED_SECRET
from rowanrail.config.model import Configuration


class Change(msgspec.Struct, frozen=True):
    """A changed path with its values; an empty value means that the path doesn't exist."""

    path: str
    before: str
    after: str


def redact_secrets(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as built-in types, with its secrets redacted."""
    content: dict[str, Any] = msgspec.to_builtins(configuration)
    for group in content["groups"]:
        if group["backend"]["password"]:
            group["backend"]["password"] = REDACTED_SECRET
    for user in content["users"]:
        user["password_hash"] = REDACTED_SECRET
    return content


def diff_configurations(before: Configuration, after: Configuration) -> list[Change]:
    """Return the changes sorted by path; secrets are compared but redacted."""
    old = _flatten(msgspec.to_builtins(_without_common(before, after)), "")
    new = _flatten(msgspec.to_builtins(_without_common(after, before)), "")
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            secret = path.endswith((".password", ".password_hash"))
            changes.append(Change(path, _show(old.get(path), secret), _show(new.get(path), secret)))
    return changes


def _without_common(configuration: Configuration, other: Configuration) -> Configuration:
    """Return a configuration without the specs that ``other`` has too.

    Comparing them is cheaper than flattening them.
    """
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
    return REDACTED_SECRET if secret else str(value)


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
