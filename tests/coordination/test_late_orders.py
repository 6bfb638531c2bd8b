"""Promotion orders without an answer that are carried out late, in virtual time.

A write is acknowledged once replicas have received it, and it must be in the log of each member
that takes over. An order that gets no answer names such a member until a newer one is answered.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest.mock import patch

from rowanrail.coordination.failover_controller import PromotionOutcome
from rowanrail.coordination.node import Coordinator
from rowanrail.model.position import Position
from rowanrail.model.statements import CommandKind
from tests.coordination.test_failover_controller import ControllerTestCase, FakeMember, FakePlatform

DARK_SECONDS = 2.4
LATE_SECONDS = 9.0
LATEST_SECONDS = 12.0
PROMOTE_SECONDS = 0.6
CALL_TIMEOUT_SECONDS = 1.5
WRITE_INTERVAL_SECONDS = 0.05
SLACK_SECONDS = 1.0
NEVER = float("inf")


@dataclass
class LoggedMember(FakeMember):
    """A member with a log of writes, which PAUSE stops from receiving."""

    log: list = field(default_factory=list)
    is_paused: bool = False
    on_pause: Callable = lambda: None

    def carry_out(self, command):
        super().carry_out(command)
        if command.kind is CommandKind.PAUSE and not self.leads and int(command.text) > self.term:
            self.is_paused = True
            self.on_pause()
        if command.kind is CommandKind.RESUME:
            self.is_paused = False

    def hold(self, log, term):
        self.log, self.term = list(log), term
        self.received = Position(term, len(log))

    @property
    def receives(self):
        return not (self.silent or self.is_paused or self.leads)


@dataclass
class LatePlatform(FakePlatform):
    """Members that acknowledge writes, and a platform that leaves orders unanswered.

    ``late`` has the seconds after which each of the next orders is carried out, 0 for one that is
    answered at once; orders beyond it take ``then_late`` seconds.
    """

    needed: int = 1
    late: list = field(default_factory=list)
    then_late: float = 0.0
    acknowledged: dict = field(default_factory=dict)  # writes with their times
    lost: list = field(default_factory=list)
    takeovers: list = field(default_factory=list)
    takes_effect_at: float = 0.0  # of an order without an answer, if that is given
    newest_token: int = 0
    written: int = 0

    def now(self):
        return asyncio.get_running_loop().time()

    async def write(self):
        """Write at the primary for as long as the scenario lasts."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            leader = next((m for m in self.members if m.leads and not m.silent), None)
            if leader is None:
                continue
            self.written += 1
            leader.hold([*leader.log, self.written], leader.term)
            for member in self.members:
                if member.receives:
                    member.hold(leader.log, leader.term)
            self.acknowledge(leader)

    def acknowledge(self, leader):
        for write in leader.log:
            holders = sum(write in m.log for m in self.members if m is not leader)
            if holders >= self.needed:
                self.acknowledged.setdefault(write, self.now())

    async def order(self, node, token, instance):
        self.orders.append((self.now(), token, instance))
        late = self.late.pop(0) if self.late else self.then_late
        if not late:
            return self.accept(token, instance)
        if self.takes_effect_at:
            late = self.takes_effect_at - PROMOTE_SECONDS - self.now()
        if late != NEVER:
            asyncio.get_running_loop().call_later(late, self.accept, token, instance)
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        return PromotionOutcome.UNKNOWN

    def accept(self, token, instance):
        if token < self.newest_token:
            return PromotionOutcome.REFUSED
        self.newest_token = token
        asyncio.get_running_loop().call_later(PROMOTE_SECONDS, self.carry_out, instance)
        return PromotionOutcome.ACCEPTED

    def carry_out(self, instance):
        promoted = next(member for member in self.members if member.instance == instance)
        if promoted.leads or promoted.silent:
            return
        if self.needed:
            self.lost += [write for write in self.acknowledged if write not in promoted.log]
        self.takeovers.append((self.now(), instance))
        term = 1 + max(member.term for member in self.members)
        for member in self.members:
            member.leads, member.is_paused = member is promoted, False
            member.hold(member.log[: len(promoted.log)], term)


class LatePromoter:
    def __init__(self, platform, node):
        self._platform, self._node = platform, node

    async def promote(self, service, instance, token):
        return await self._platform.order(self._node, token, instance)


class LateOrdersTest(ControllerTestCase):
    """The primary is dark for a while; the order of that time gets no answer."""

    def run_late(self, scenario, late=(), needed=1, then_late=0.0):
        async def checked():
            self.first, self.second, self.third = self.platform.members
            world = self.controls.world
            world.run_in(world.spawn("clients", "z1"), self.platform.write())
            await asyncio.sleep(2.0)
            await scenario()
            self.assertEqual(self.platform.lost, [])

        def make_platform(**kwargs):
            return LatePlatform(needed=needed, late=list(late), then_late=then_late)

        module = "tests.coordination.test_failover_controller"
        with (
            patch.object(Coordinator, "_acknowledging_replicas", lambda node, service: needed),
            patch(f"{module}.FakePlatform", make_platform),
            patch(f"{module}.FakePromoter", LatePromoter),
            patch(f"{module}.FakeMember", LoggedMember),
        ):
            self.run_scenario(checked)

    async def dark(self, member, seconds=DARK_SECONDS):
        member.silent = True
        await asyncio.sleep(seconds)
        member.silent = False

    async def lose_primary_for_a_while(self):
        """Have the primary be dark; the order must have been sent meanwhile."""
        self.dark_at = self.platform.now()
        await self.dark(self.first)
        self.assertNotEqual(self.platform.orders, [])
        self.detected_in = self.platform.orders[0][0] - self.dark_at

    def other_replica(self):
        """Return the replica that the first order doesn't name."""
        named = self.platform.orders[0][2]
        return next(m for m in (self.second, self.third) if m.instance != named)

    def longest_gap(self):
        """Return the longest time without an acknowledged write since the primary was dark."""
        until = self.platform.now()
        times = [at for at in self.platform.acknowledged.values() if self.dark_at <= at <= until]
        moments = [self.dark_at, *sorted(times), until]
        return max(later - earlier for earlier, later in zip(moments, moments[1:], strict=False))

    def check_gap(self, dark_seconds=DARK_SECONDS):
        """Check that writes were acknowledged again in time after each loss of the primary."""
        allowed = dark_seconds + self.detected_in + PROMOTE_SECONDS + SLACK_SECONDS
        self.assertLess(self.longest_gap(), allowed)

    def test_writes_return_with_the_primary_and_the_late_order_changes_nothing(self):
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(LATEST_SECONDS + 4.0)
            self.check_gap()
            self.assertEqual(self.platform.takeovers, [])

        for needed in (0, 1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, [LATEST_SECONDS], needed)

    def test_order_that_is_never_carried_out(self):
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(LATEST_SECONDS)
            self.check_gap()

        for needed in (0, 1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, [NEVER], needed)

    def test_a_replica_that_starts_again_acknowledges_alone(self):
        # Its start ended its pause, while the member that the order names was still paused.
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(1.0)
            other = self.other_replica()
            await self.dark(other, 1.0)
            other.is_paused = False
            await asyncio.sleep(LATE_SECONDS + 5.0)
            self.check_gap()

        self.run_late(scenario, [LATE_SECONDS])

    def test_the_order_is_carried_out_as_the_primary_returns(self):
        # A replica that started again, or a new one, acknowledged alone until the leader noticed.
        async def scenario():
            self.dark_at = self.platform.now()
            self.platform.takes_effect_at = self.dark_at + DARK_SECONDS + 0.2
            dark = asyncio.ensure_future(self.dark(self.first))
            await self.wait_until(lambda: self.platform.orders)
            await asyncio.sleep(self.dark_at + DARK_SECONDS - 0.1 - self.platform.now())
            self.other_replica().is_paused = False
            await dark
            await asyncio.sleep(LATE_SECONDS)
            self.assertEqual(self.platform.takeovers[0][1], self.platform.orders[0][2])

        self.run_late(scenario, [NEVER])

    def test_no_order_is_ever_answered(self):
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(1.0)
            other = self.other_replica()
            await self.dark(other, 1.0)
            other.is_paused = False
            await asyncio.sleep(4 * LATE_SECONDS)
            self.check_gap()
            # The late order, and the newer one that follows it; then none alternate.
            self.assertLessEqual(len(self.platform.takeovers), 2)

        for needed in (1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, needed=needed, then_late=LATE_SECONDS)

    async def kill_after_order(self, choose):
        """Kill control nodes after the order, while the primary is dark; they are back later."""
        self.dark_at = self.platform.now()
        dark = asyncio.ensure_future(self.dark(self.first))
        await self.wait_until(lambda: self.platform.orders)
        self.detected_in = self.platform.orders[0][0] - self.dark_at
        killed = choose()
        for control in killed:
            control.kill()
        await asyncio.sleep(1.0)
        for control in killed:
            control.restart()
        await dark
        await asyncio.sleep(LATE_SECONDS + 5.0)
        self.check_gap()

    def test_the_leader_is_killed_after_the_order(self):
        async def scenario():
            await self.kill_after_order(lambda: [self.leader()])

        for needed in (0, 1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, [LATE_SECONDS], needed)

    def test_all_control_nodes_are_killed_after_the_order(self):
        async def scenario():
            await self.kill_after_order(lambda: self.controls.nodes)

        for needed in (0, 1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, [LATE_SECONDS], needed)

    def test_the_primary_is_dark_once_more(self):
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(1.0)
            await self.dark(self.first)
            await asyncio.sleep(LATE_SECONDS + 5.0)
            self.check_gap()

        for needed in (0, 1, 2):
            with self.subTest(needed=needed):
                self.run_late(scenario, [LATE_SECONDS], needed)

    def test_the_leader_is_killed_between_the_pause_and_the_order(self):
        # Nobody would end the pause: the next leader finds no order in the log.
        async def scenario():
            self.dark_at = self.platform.now()
            leader = self.leader()
            self.second.on_pause = lambda: asyncio.get_running_loop().call_soon(leader.kill)
            await self.dark(self.first, 1.2)
            self.assertEqual(self.platform.orders, [])
            await asyncio.sleep(1.0)
            leader.restart()
            await asyncio.sleep(6.0)
            self.detected_in = 1.2 - PROMOTE_SECONDS  # dark until after the pause
            self.check_gap(1.2)
            self.assertFalse(self.second.is_paused or self.third.is_paused)

        self.run_late(scenario)

    def test_the_answer_to_the_end_of_a_pause_is_lost(self):
        # The primary answers again before the order: the decision is to wait, and replicas resume.
        async def scenario():
            self.second.deaf = {CommandKind.RESUME}
            self.dark_at = self.platform.now()
            await self.lose_primary_for_a_while()
            await asyncio.sleep(3.0)
            self.second.deaf = set()
            await asyncio.sleep(5.0)
            self.assertFalse(self.second.is_paused or self.third.is_paused)

        self.run_late(scenario, [NEVER])

    def test_a_replica_that_is_dark_for_long_is_resumed_rarely(self):
        # Each attempt keeps the service from being checked, and takes a slot of the others.
        async def scenario():
            self.third.silent = True
            leader = self.leader()
            leader.kill()
            await asyncio.sleep(4.0)  # the next leader can't know whether it is paused
            asked = self.second.command_count
            await asyncio.sleep(10.0)
            self.assertLessEqual(self.second.command_count - asked, 2 * 10.0 / 2.0)
            self.third.silent, self.third.is_paused = False, True
            await asyncio.sleep(3.0)
            self.assertFalse(self.third.is_paused)

        self.run_late(scenario)

    def test_a_refused_order_leaves_no_replica_paused(self):
        async def scenario():
            await self.lose_primary_for_a_while()
            await asyncio.sleep(4.0)
            self.check_gap()
            self.assertFalse(self.second.is_paused or self.third.is_paused)

        with patch.object(LatePlatform, "accept", lambda *order: PromotionOutcome.REFUSED):
            self.run_late(scenario)


del ControllerTestCase  # the base class has no tests of its own
