"""Replacement of members: one leaves, ends, and a new one has its log and its address.

In most replacements of a replica the other one receives nothing meanwhile and the primary crashes,
so that only the leaving member's log has the last acknowledged commits.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from typing import TYPE_CHECKING

from tests.soak.members import SlottedMember
from tests.soak.tasks import end_tasks
from tests.support.line_member import Member

if TYPE_CHECKING:
    from tests.soak.run import Soak

__all__ = ["Replacements"]

INTERVAL_SECONDS = (1.0, 4.0)
LEAVING_SECONDS = (0.5, 9.0)
RUNS_ON_SECONDS = (0.0, 2.0)  # after its end was acknowledged
ABSENT_SECONDS = (0.2, 4.0)  # until its successor starts
RETRY_SECONDS = 0.3
ACKNOWLEDGED_END_SHARE = 0.7
CRASH_SHARE = 0.7
CRASH_AFTER_SECONDS = (0.5, 12.0)


class Replacements:
    """Replaces members one after the other, while other faults go on."""

    def __init__(self, soak: "Soak") -> None:
        self._soak = soak
        self._fleet = soak.fleet
        self._count = 0
        self.leaving = ""  # the member that is being replaced

    async def run(self) -> None:
        rng = random.Random(f"replacements {self._soak.seed}")
        while True:
            await asyncio.sleep(rng.uniform(*INTERVAL_SECONDS))
            member = rng.choice(self._fleet.members)
            if member.instance in self._fleet.busy:
                continue
            assert isinstance(member, SlottedMember)
            self._soak.oracle.verdict.faults += 1
            self._soak.fault_log.append(f"replacement of {member.instance}")
            self.leaving = member.instance
            crash = asyncio.ensure_future(self._crash_primary_alone(member, rng))
            try:
                with self._soak.disturb_member(member):
                    await self._replace(member, rng)
                await crash
            finally:
                await end_tasks([crash])
            self.leaving = ""

    async def _crash_primary_alone(self, leaving: SlottedMember, rng: random.Random) -> None:
        """Interrupt replication to the replica that stays, and crash the primary later."""
        is_crashed, seconds = rng.random() < CRASH_SHARE, rng.uniform(*CRASH_AFTER_SECONDS)
        if not is_crashed or leaving.is_primary:
            return
        others = [m for m in self._fleet.members if not m.is_primary and m is not leaving]
        with contextlib.ExitStack() as stack:
            for other in others:
                stack.enter_context(self._interrupt(other))
            await asyncio.sleep(seconds)
            await self._soak.crash_primary()

    @contextlib.contextmanager
    def _interrupt(self, member: Member) -> Iterator[None]:
        assert isinstance(member, SlottedMember)
        member.receives = False
        with self._soak.disturb_member(member):
            try:
                yield
            finally:
                member.receives = True
                self._soak.group.replicate()

    async def _replace(self, member: SlottedMember, rng: random.Random) -> None:
        is_announced = rng.random() < ACKNOWLEDGED_END_SHARE
        runs_on, absent = rng.uniform(*RUNS_ON_SECONDS), rng.uniform(*ABSENT_SECONDS)
        self._fleet.states[member.instance] = "draining"
        try:
            while not await self._announce(member):
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(rng.uniform(*LEAVING_SECONDS))
            self._fleet.states[member.instance] = "gone"
            if is_announced:
                while (
                    await self._fleet.remove(member, rng.choice(self._fleet.control_hosts)) != 200
                ):
                    await asyncio.sleep(RETRY_SECONDS)
                await asyncio.sleep(runs_on)
            member.stop()
            await asyncio.sleep(absent)
        finally:
            await self._start_successor(member)

    async def _announce(self, member: SlottedMember) -> bool:
        hosts = self._fleet.control_hosts
        return any([await self._fleet.heartbeat(h, member, "draining") == 200 for h in hosts])

    async def _start_successor(self, member: SlottedMember) -> None:
        """Start a new member with a member's log, at its address."""
        self._fleet.states[member.instance] = "gone"
        if member.is_running:
            member.stop()
        group = member.group
        self._count += 1
        name = f"{member.instance.partition('.')[0]}.{self._count}"
        successor = SlottedMember(group, name, member.host, member.port, False)
        successor.log, successor.term = list(member.log), member.term
        del group.members[member.instance]
        self._fleet.members.remove(member)
        await self._fleet.add(successor)
        # Not without a fault until it has run for a while: nobody knows of it yet.
        self._soak.member_disturbed_at[name] = asyncio.get_running_loop().time()
