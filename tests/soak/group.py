"""The service of a soak, which reports what its members run and lose."""

import asyncio
import time
from typing import TYPE_CHECKING, Any

from tests.soak.oracle import Execution, Oracle
from tests.soak.zone_faults import ZoneFaults
from tests.support.acknowledging_members import AcknowledgingGroup, AcknowledgingMember
from tests.support.line_member import Member

if TYPE_CHECKING:
    from tests.soak.run import Soak

__all__ = ["BOUND_TENANT", "REGIONS", "ObservedGroup"]

REGIONS = {"a": "r1", "b": "r2"}
BOUND_TENANT = 3  # whose statements may only run in some regions
CALM_SECONDS = 2.0  # a member without a fault for as long answers, and has what others have


class ObservedGroup(AcknowledgingGroup):
    """A group that reports statements, commits and the rollbacks of a promotion to an oracle."""

    sync_replicas = 0

    oracle: Oracle
    soak: "Soak"
    faults: ZoneFaults | None = None
    # The last primary that was demoted while nothing disturbed it, until the next promotion.
    demoted, demoted_at = "", 0.0
    commit_times: list[float]  # of the entries of the log
    # The log of a primary that started again without it, until another member is promoted.
    lost_log: tuple[Any, ...] = ()

    def on_statement(self, tenant: str, key: str) -> None:
        self.oracle.check_tenant(tenant, key)

    def on_arrival(self, member: Member, peer: tuple[str, int], line: str) -> None:
        if self.faults is not None:
            self.faults.on_arrival(member, peer, line)

    def on_zone(self, tenant: str, zone: str, arrived_at: float, peer: tuple[str, int]) -> None:
        if self.faults is not None and tenant == f"t{BOUND_TENANT}":
            self.faults.check_region(tenant, REGIONS[zone], arrived_at, peer)

    def on_write(self, value: str, execution: Execution) -> None:
        self.oracle.check_write(value, execution)

    def on_transaction_read(self, execution: Execution) -> None:
        self.oracle.check_transaction_read(execution)

    def on_operation(self, tenant: str) -> None:
        self.oracle.record_operation(tenant, asyncio.get_running_loop().time())

    def commit(self, writes: list[tuple[str, str]]) -> None:
        self.oracle.record_commit(writes)
        super().commit(writes)
        del self.commit_times[len(self.primary.log) - 1 :]
        self.commit_times.append(asyncio.get_running_loop().time())

    @property
    def newest_log(self) -> list[Any]:
        newest = super().newest_log
        if any(member.is_primary for member in self.members.values()):
            return newest
        return max(newest, list(self.lost_log), key=len)

    def lose_log(self, member: Member) -> None:
        """Keep the log of a primary that starts again, as its commits may be nowhere else."""
        if not any(m.is_primary for m in self.members.values() if m is not member):
            self.lost_log = tuple(self.newest_log)

    def promote(self, instance: str) -> None:
        member = self.members.get(instance)
        if not isinstance(member, AcknowledgingMember) or not member.is_running:
            return  # the platform finds out that it has ended
        if not member.is_primary:
            if self.sync_replicas:
                self._check_acknowledged(member)
            lost = self.newest_log[len(member.log) :]
            for _, writes in lost:
                self.oracle.record_rollback(writes)
            if lost and self.demoted:
                self._check_move(instance, len(lost))
            self._check_choice(member)
            self.lost_log, self.demoted = (), ""
        super().promote(instance)

    def _check_acknowledged(self, chosen: AcknowledgingMember) -> None:
        """Check that all commits that were acknowledged to a gateway are in a member's log."""
        missing = self.acknowledged.difference(chosen.values)
        if missing:
            text = f"{len(missing)} acknowledged commits were not at {chosen.instance}"
            self.oracle.add_problem(f"LOST: {text} at its promotion ({time.time():.3f})")
        self.acknowledged -= missing

    def _check_choice(self, chosen: Member) -> None:
        """Check that no other member without a fault has had more of the log for some time."""
        now = asyncio.get_running_loop().time()
        for member in self.members.values():
            if not self.soak.is_calm_member(member.instance, CALM_SECONDS):
                continue
            if self.faults is not None and self.faults.is_evacuated(member.zone):
                continue  # it may be closed, so that its status isn't asked
            missing = self.commit_times[len(chosen.log) : len(member.log)]
            if missing and now - missing[0] > CALM_SECONDS:
                text = f"{len(missing)} commits of {member.instance} were not at {chosen.instance}"
                self.oracle.add_problem(f"LOST: {text} at its promotion ({time.time():.3f})")

    def on_demote(self, member: Member) -> None:
        """Note a planned move: the primary is demoted, and nothing disturbed it."""
        self.demoted_at = asyncio.get_running_loop().time()
        is_calm = self.soak.is_calm_member(member.instance, CALM_SECONDS)
        self.demoted = member.instance if is_calm else ""

    def _check_move(self, instance: str, lost_count: int) -> None:
        """Check that no commit was lost in a planned move without a fault of the two members."""
        since_demotion = asyncio.get_running_loop().time() - self.demoted_at
        is_calm = self.soak.is_calm_member
        if is_calm(self.demoted, since_demotion) and is_calm(instance, CALM_SECONDS):
            text = f"{lost_count} commits of {self.demoted} were not at {instance}"
            self.oracle.add_problem(f"LOST: {text} in a planned move ({time.time():.3f})")
