"""Deltas between configurations, and the part of a configuration that one zone needs."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from rowanrail.config.model import (
    Configuration,
    GroupSpec,
    SiteSpec,
    UserSpec,
    VersionedConfiguration,
)
from rowanrail.sql_control.messages import ConfigurationDelta

Spec = TypeVar("Spec", SiteSpec, GroupSpec, UserSpec)


def make_delta(before: Configuration, after: Configuration) -> ConfigurationDelta:
    """Return the delta that changes ``before`` into ``after``, without drains."""
    return ConfigurationDelta(
        sites=_changed(before.sites, after.sites),
        groups=_changed(before.groups, after.groups),
        users=_changed(before.users, after.users),
        removed_sites=_removed(before.sites, after.sites),
        removed_groups=_removed(before.groups, after.groups),
        removed_users=_removed(before.users, after.users),
    )


def is_empty(delta: ConfigurationDelta) -> bool:
    """Return whether a delta has no effect."""
    return delta == ConfigurationDelta()


def apply_delta(base: VersionedConfiguration, delta: ConfigurationDelta) -> VersionedConfiguration:
    """Return ``base`` with ``delta`` applied, as the next version.

    Drains of members that no longer exist are removed.
    """
    old = base.configuration
    configuration = Configuration(
        sites=_merge(old.sites, delta.sites, delta.removed_sites),
        groups=_merge(old.groups, delta.groups, delta.removed_groups),
        users=_merge(old.users, delta.users, delta.removed_users),
    )
    member_names = {
        f"{group.name}/{member.name}" for group in configuration.groups for member in group.members
    }
    drained = (set(base.drained) | set(delta.drained)) - set(delta.undrained)
    return VersionedConfiguration(base.version + 1, configuration, sorted(drained & member_names))


def view_for_zone(full: VersionedConfiguration, zone: str) -> VersionedConfiguration:
    """Return the part of a configuration that the proxies of ``zone`` need.

    It lacks the groups that are restricted to other sites.
    """
    site = next((site.name for site in full.configuration.sites if zone in site.zones), "")
    groups = [
        group for group in full.configuration.groups if not group.sites or site in group.sites
    ]
    names = {group.name for group in groups}
    drained = [member for member in full.drained if member.split("/")[0] in names]
    configuration = msgspec.structs.replace(full.configuration, groups=groups)
    return VersionedConfiguration(full.version, configuration, drained)


def view_delta(
    known: VersionedConfiguration, current: VersionedConfiguration
) -> ConfigurationDelta:
    """Return the delta between two views of the same zone, including drains."""
    delta = make_delta(known.configuration, current.configuration)
    return msgspec.structs.replace(
        delta,
        drained=sorted(set(current.drained) - set(known.drained)),
        undrained=sorted(set(known.drained) - set(current.drained)),
    )


def _changed(before: Sequence[Spec], after: Sequence[Spec]) -> list[Spec]:
    old = {spec.name: spec for spec in before}
    return [spec for spec in after if old.get(spec.name) != spec]


def _removed(before: Sequence[Spec], after: Sequence[Spec]) -> list[str]:
    kept = {spec.name for spec in after}
    return [spec.name for spec in before if spec.name not in kept]


def _merge(old: Sequence[Spec], changed: Sequence[Spec], removed: Sequence[str]) -> list[Spec]:
    merged = {spec.name: spec for spec in old}
    for name in removed:
        merged.pop(name, None)
    for spec in changed:
        merged[spec.name] = spec
    return [merged[name] for name in sorted(merged)]
