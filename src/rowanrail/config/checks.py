"""Validation of a configuration beyond the types of its fields.

Each problem names the path of the field and how to fix it.
"""

import re
from collections.abc import Iterable

from rowanrail.config.addresses import check_address
from rowanrail.config.model import Configuration, GroupSpec, LimitsSpec

REDACTED_SECRET = "(hidden)"
MINIMUM_MEMBERS = 3
_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
_HASH = re.compile(r"^\*?[0-9A-Fa-f]{40}$")


def check_configuration(configuration: Configuration) -> list[str]:
    """Return all problems of a configuration, an empty list if it is valid."""
    problems: list[str] = []
    problems += _duplicates("sites", [site.name for site in configuration.sites])
    zones = [zone for site in configuration.sites for zone in site.zones]
    problems += _duplicates("sites.zones", zones)
    problems += _duplicates("groups", [group.name for group in configuration.groups])
    databases = [name for group in configuration.groups for name in group.databases]
    problems += _duplicates("groups.databases", databases)
    problems += _duplicates("users", [user.name for user in configuration.users])
    sites = {site.name for site in configuration.sites}
    for position, group in enumerate(configuration.groups):
        path = f"groups[{position}] ({group.name})"
        problems += _check_group(path, group, set(zones), sites)
    problems += _check_users(configuration, set(databases))
    return problems


def _duplicates(path: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    problems = []
    for name in names:
        if name in seen:
            problems.append(f"{path}: {name!r} stands twice; remove or rename one")
        seen.add(name)
    return problems


def _check_group(path: str, group: GroupSpec, zones: set[str], sites: set[str]) -> list[str]:
    problems: list[str] = []
    if not _NAME.match(group.name):
        problems.append(
            f"{path}.name: use small letters, digits, '.', '_' and '-', at most 63 of them"
        )
    if not group.databases:
        problems.append(f"{path}.databases: empty; name at least one database")
    if len(group.members) < MINIMUM_MEMBERS or len(group.members) % 2 == 0:
        problems.append(
            f"{path}.members: {len(group.members)} members; an odd number of at least "
            f"{MINIMUM_MEMBERS} is needed for a majority"
        )
    problems += _duplicates(f"{path}.members", [member.name for member in group.members])
    problems += _duplicates(f"{path}.members", [member.address for member in group.members])
    for position, member in enumerate(group.members):
        problem = check_address(member.address)
        if problem:
            problems.append(f"{path}.members[{position}].address: {problem}")
        if member.zone not in zones:
            problems.append(
                f"{path}.members[{position}].zone: {member.zone!r} is in no site; add it to one"
            )
    for site in group.sites:
        if site not in sites:
            problems.append(f"{path}.sites: {site!r} is not declared; add it under sites")
    if group.backend.password == REDACTED_SECRET:
        problems.append(
            f"{path}.backend.password: {REDACTED_SECRET!r} is what `rowanrail get` shows in place "
            "of a secret; write the password"
        )
    return problems + _check_limits(f"{path}.limits", group.limits)


def _check_limits(path: str, limits: LimitsSpec) -> list[str]:
    positive: Iterable[str] = (
        "connections_per_member",
        "slots_per_member",
        "queue_length",
        "statement_deadline_seconds",
        "transaction_idle_seconds",
        "transaction_seconds",
        "open_transactions",
        "request_horizon_seconds",
        "failover_wait_seconds",
    )
    return [
        f"{path}.{name}: {getattr(limits, name)} is not positive; write a number above 0"
        for name in positive
        if getattr(limits, name) <= 0
    ]


def _check_users(configuration: Configuration, databases: set[str]) -> list[str]:
    problems = []
    for position, user in enumerate(configuration.users):
        path = f"users[{position}] ({user.name})"
        if not _HASH.match(user.password_hash):
            problems.append(
                f"{path}.password_hash: not a password hash; `rowanrail hash-password` makes one"
            )
        for database in user.databases:
            if database not in databases:
                problems.append(f"{path}.databases: no group serves {database!r}")
    return problems
