"""Configured routing rules: which reads may run on a replica.

A read that no rule matches may run on a replica; a locking read never may.
"""

from rowanrail.config.model import RuleKind, RuleSpec
from rowanrail.sql_proxy.classify import ClassifiedStatement, Kind

_RULE_KINDS = {
    Kind.READ: RuleKind.SELECT,
    Kind.SHOW: RuleKind.SHOW,
    Kind.BEGIN_READ_ONLY: RuleKind.READ_ONLY_TRANSACTION,
}


def allows_replica(
    rules: list[RuleSpec], statement: ClassifiedStatement, database: str, user: str
) -> bool:
    """Return whether a statement may run on a replica; the first matching rule decides."""
    kind = _RULE_KINDS.get(statement.kind)
    if kind is None or statement.locking:
        return False
    schemas = statement.schemas or (database,)
    for rule in rules:
        if _matches(rule, kind, schemas, statement.tables, user):
            return rule.replica
    return True


def _matches(
    rule: RuleSpec,
    kind: RuleKind,
    schemas: tuple[str, ...],
    tables: tuple[str, ...],
    user: str,
) -> bool:
    if rule.kinds and kind not in rule.kinds:
        return False
    if rule.users and user not in rule.users:
        return False
    if rule.schemas and not set(schemas) <= set(rule.schemas):
        return False
    return not rule.tables or (bool(tables) and set(tables) <= set(rule.tables))
