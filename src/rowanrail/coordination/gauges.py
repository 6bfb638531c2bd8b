"""Metrics of a control node, read when they are scraped."""

from rowanrail.coordination.node import Coordinator
from rowanrail.coordination.primary_mover import MOVE_OUTCOMES
from rowanrail.kernel.metrics import GaugeSample


def gauges(node: Coordinator) -> list[GaugeSample]:
    """Return all readings: consensus, configuration, directory, plan and promotions."""
    raft = node.consensus.raft
    state = node.state
    readings: list[GaugeSample] = [
        ("term", {}, raft.term),
        ("leader", {}, float(raft.is_leader)),
        ("current", {}, float(node.service.is_current)),
        ("applied_index", {}, node.consensus.applied_index),
        ("log_entries", {}, raft.log.size),
        ("configuration_version", {}, state.version),
        ("directory_revision", {}, state.revision),
        ("members", {}, len(state.members)),
        ("members_leaving", {}, len(state.leaving)),
        ("orphaned_logs", {}, len(state.orphaned_logs)),
        ("gateways", {}, len(state.gateways)),
        ("voters", {}, len(raft.membership.voters)),
        ("silent_voters", {}, node.service.membership.silent_voters()),
        ("outside_seconds", {}, node.outside_seconds),
        ("feature_level", {}, state.feature_level),
        ("evacuated_zones", {}, len(state.evacuations.zones)),
        ("failed", {}, float(node.consensus.failure is not None)),
    ]
    readings += _plan_gauges(node)
    for reason, count in node.service.rejected.counts.items():
        readings.append(("announcements_rejected", {"reason": reason.value}, count))
    mover = node.failover.mover
    readings.append(("primaries_to_move", {}, len(mover.reasons)))
    readings.append(("oldest_order_seconds", {}, node.failover.oldest_order_seconds))
    readings.append(("oldest_pause_seconds", {}, node.failover.oldest_pause_seconds))
    for outcome in MOVE_OUTCOMES:
        readings.append(("primary_moves", {"outcome": outcome}, mover.counts[outcome]))
    for kind, counts in node.service.directory_counts.items():
        readings.append(("directory_answers", {"kind": kind}, counts.answers))
        readings.append(("directory_bytes", {"kind": kind}, counts.bytes))
    for service, promotion in state.promotions.items():
        readings.append(("promotion_token", {"service": service}, promotion.token))
    return readings


def _plan_gauges(node: Coordinator) -> list[GaugeSample]:
    """Return the plan's number, each holder's share, and the demand of each shard at the leader."""
    plan = node.state.plan
    readings: list[GaugeSample] = [("plan_number", {}, plan.number)]
    for group, shards in plan.groups.items():
        for key, shard in shards.items():
            for holding in shard.holdings:
                labels = {"group": group, "part": key, "gateway": holding.gateway}
                labels["cause"] = shard.cause.value
                readings.append(("planned_share", labels, holding.share))
    for group, demand in node.planning.demand.items():
        for key, part_demand in demand.items():
            labels = {"group": group, "part": key}
            readings.append(("part_statements_per_second", labels, part_demand.rate))
    return readings
