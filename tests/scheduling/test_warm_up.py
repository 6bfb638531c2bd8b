"""A warming member must not get more than its limit from all gateways together."""

import random
import unittest
from dataclasses import dataclass, field

from rowanrail.scheduling.cold_members import CLOCK_TOLERANCE_MS, ColdMembers, MemberStart
from rowanrail.scheduling.warm_up_share import (
    HANDOVER_MS,
    LEASE_MS,
    DirectoryLease,
    SenderHistory,
    SendWindow,
)

GATEWAYS = [f"g{number:02}" for number in range(60)]
RATE = 20.0
EXCESS, SLACK = 1.5, 5  # margin of the deployment's rule for arrivals
WARM_UP_MS = 60_000.0
STEP_MS = 20.0
POLL_MS = 1000.0
# A control node that counts as up to date may lack what was committed so recently.
CONTROL_LAG_MS = 1750.0


@dataclass
class ManualTime:
    now: float = 1_000_000.0


@dataclass
class Control:
    """The committed directories: senders by the time of their commit."""

    clock: ManualTime
    commits: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)

    def commit(self, *senders: str) -> None:
        self.commits.append((self.clock.now, senders))

    def read(self, lag: float) -> tuple[int, tuple[str, ...]]:
        """Return the revision and senders that a node with this lag has."""
        known = [n for n, (at, _) in enumerate(self.commits) if at <= self.clock.now - lag]
        newest = known[-1] if known else 0
        return newest, self.commits[newest][1]


@dataclass
class CountingMember:
    """Counts the statements of all gateways, by when they were sent and when they arrived."""

    draw: random.Random
    sent: list[float] = field(default_factory=list)
    arrived: list[float] = field(default_factory=list)

    def receive(self, now: float) -> None:
        self.sent.append(now)
        self.arrived.append(now + self.draw.uniform(1.0, 60.0))


def busiest_second(times: list[float]) -> int:
    """Return the highest number of times within any second."""
    ordered = sorted(times)
    first = most = 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - 1000.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class GreedyGateway:
    """Sends whenever it may, on a directory that it polls."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name, self.fleet, self.clock = name, fleet, fleet.clock
        self.is_cut_off = False
        self.is_frozen = False
        self.buffered: tuple[int, tuple[str, ...]] | None = None
        self.start()

    def start(self) -> None:
        """Start as a new process, which remembers nothing."""
        self.lease = DirectoryLease()
        self.senders = SenderHistory(self.name, self.lease)
        self.window = SendWindow()
        self.cold = ColdMembers(self.clock)
        self.revision = -1
        self.asked_at = self.clock.now - self.fleet.draw.uniform(0, POLL_MS)

    def freeze(self) -> None:
        """Stop; the answer to its poll waits in a buffer."""
        self.is_frozen = True
        self.buffered = self.fleet.control.read(0.0)

    def step(self) -> None:
        now = self.clock.now
        if self.is_frozen:
            return
        if now - self.asked_at >= POLL_MS and not self.is_cut_off:
            reply, self.buffered = self.buffered, None
            if reply is None:
                reply = self.fleet.control.read(self.fleet.draw.uniform(0, CONTROL_LAG_MS))
            revision, names = reply
            if revision >= self.revision:
                self.revision = revision
                self.senders.set_senders(names, now)
                self.lease.confirm(self.asked_at, now, revision)
            self.asked_at = now
        member = MemberStart("m1", "a", self.fleet.started_ms)
        self.cold.set_members([member], self.fleet.unix_ms + self.fleet.skews.get(self.name, 0.0))
        part = self.senders.part(self.fleet.rate, now)
        is_cold = self.cold.remaining(member, WARM_UP_MS) > 0
        while not is_cold or self.window.take(part, now):
            self.fleet.member.receive(now)
            if not is_cold:
                break


class Fleet:
    """Gateways on one clock, and a cold member to which all of them would like to send."""

    def __init__(self, rate: float = RATE, seed: int = 1) -> None:
        self.clock = ManualTime()
        self.draw = random.Random(seed)
        self.rate = rate
        self.skews: dict[str, float] = {}
        self.started_ms = 1  # long ago
        self.control = Control(self.clock)
        self.control.commit("g00", "g01", "g02")
        self.member = CountingMember(self.draw)
        self.gateways = {name: GreedyGateway(name, self) for name in GATEWAYS}
        self.run(10.0)
        self.start_member()

    @property
    def unix_ms(self) -> float:
        return 1_700_000_000_000.0 + self.clock.now

    def start_member(self) -> None:
        """Start the member, which is cold from now on."""
        self.started_ms = int(self.unix_ms)
        self.member.sent.clear()
        self.member.arrived.clear()

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 1000 / STEP_MS)):
            self.clock.now += STEP_MS
            for gateway in self.gateways.values():
                gateway.step()

    def sent_since(self, seconds: float) -> int:
        since = self.clock.now - seconds * 1000
        return sum(at > since for at in self.member.sent)


class LimitOfAllGatewaysTest(unittest.TestCase):
    def assert_limit_kept(self, fleet):
        self.assertLessEqual(busiest_second(fleet.member.sent), fleet.rate)
        self.assertLessEqual(busiest_second(fleet.member.arrived), EXCESS * fleet.rate + SLACK)

    def test_all_gateways_together_send_the_limit(self):
        fleet = Fleet()
        fleet.run(10.0)
        self.assert_limit_kept(fleet)
        self.assertGreater(fleet.sent_since(9.0), 0.9 * 9 * RATE)

    def test_a_limit_below_the_number_of_senders(self):
        for rate in (2.0, 1.5, 0.4):
            fleet = Fleet(rate)
            fleet.run(20.0)
            self.assertLessEqual(busiest_second(fleet.member.sent), max(1, rate))
            self.assertGreaterEqual(fleet.sent_since(20.0), 20 * int(rate * 10) / 10 * 0.6)

    def test_a_sender_is_cut_off_and_others_take_over(self):
        fleet = Fleet()
        fleet.run(2.0)
        fleet.gateways["g00"].is_cut_off = True
        fleet.run(3.0)
        fleet.control.commit("g01", "g02", "g03")
        fleet.run(20.0)
        self.assert_limit_kept(fleet)
        self.assertGreater(fleet.sent_since(5.0), 0.9 * 5 * RATE)

    def test_a_sender_is_replaced_while_it_still_has_the_former_directory(self):
        for seed in range(5):
            fleet = Fleet(seed=seed)
            fleet.run(2.0)
            fleet.control.commit("g03", "g04", "g05")  # g00 to g02 learn of it late or never
            fleet.gateways["g00"].is_cut_off = True
            fleet.run(15.0)
            self.assert_limit_kept(fleet)

    def test_plans_change_the_number_of_senders(self):
        fleet = Fleet()
        for senders in (("g00",), ("g00", "g01"), ("g05", "g06", "g07", "g08"), ("g06",)):
            fleet.control.commit(*senders)
            fleet.run(fleet.draw.uniform(6.0, 12.0))
        fleet.run(10.0)
        self.assert_limit_kept(fleet)
        self.assertGreater(fleet.sent_since(5.0), 0.9 * 5 * RATE)

    def test_senders_restart_under_their_names(self):
        fleet = Fleet()
        fleet.run(1.0)
        for name in ("g00", "g01", "g02"):
            fleet.gateways[name].start()
            fleet.run(0.5)
        fleet.run(20.0)
        self.assert_limit_kept(fleet)
        self.assertGreater(fleet.sent_since(10.0), 0.9 * 10 * RATE)

    def test_a_frozen_sender_wakes_after_its_replacement(self):
        fleet = Fleet()
        fleet.run(1.0)
        fleet.gateways["g00"].freeze()
        fleet.run(2.0)
        fleet.control.commit("g01", "g02", "g03")
        fleet.run(10.0)
        fleet.gateways["g00"].is_frozen = False
        fleet.run(3.0)
        fleet.control.commit("g00", "g01", "g02")
        fleet.run(12.0)
        self.assert_limit_kept(fleet)

    def test_all_gateways_are_cut_off(self):
        fleet = Fleet()
        for gateway in fleet.gateways.values():
            gateway.is_cut_off = True
        fleet.run(10.0)
        self.assert_limit_kept(fleet)
        self.assertEqual(fleet.sent_since(5.0), 0)
        for gateway in fleet.gateways.values():
            gateway.is_cut_off = False
        fleet.run(3.0)  # nothing was committed meanwhile, so the senders continue at once
        self.assert_limit_kept(fleet)
        self.assertGreater(fleet.sent_since(1.0), 0.8 * RATE)

    def test_a_process_that_starts_later_with_a_clock_that_is_ahead(self):
        fleet = Fleet()
        fleet.run(WARM_UP_MS / 1000 - 8)
        fleet.skews["g30"] = 4_900.0
        fleet.skews["g31"] = -4_900.0
        for name in ("g30", "g31"):
            fleet.gateways[name].start()
        fleet.run(7.5)
        self.assert_limit_kept(fleet)

    def test_a_gateway_that_saw_the_start_doesnt_use_unix_time(self):
        fleet = Fleet()
        fleet.skews = dict.fromkeys(GATEWAYS, 3_600_000.0)
        fleet.run(10.0)
        self.assert_limit_kept(fleet)


class SenderHistoryTest(unittest.TestCase):
    def setUp(self):
        self.lease = DirectoryLease()
        self.history = SenderHistory("a", self.lease)

    def confirm(self, at):
        self.lease.confirm(at, at, 1)

    def part(self, at):
        self.confirm(at)
        return self.history.part(10.0, at).statements

    def test_a_part_shrinks_at_once_and_grows_after_the_handover(self):
        self.history.set_senders(["a"], 0.0)
        for at in range(0, 8000, 1000):
            self.confirm(float(at))
        self.assertEqual(self.part(8000.0), 10)
        self.history.set_senders(["a", "b"], 8000.0)
        self.assertEqual(self.part(8000.0), 5)
        self.history.set_senders(["a"], 9000.0)
        self.assertEqual(self.part(9000.0), 5)
        self.assertEqual(self.history.waits_until(10.0, 9000.0), 9000.0 + HANDOVER_MS)
        for at in range(10_000, 16_000, 1000):
            self.assertEqual(self.part(float(at)), 5)
        self.assertEqual(self.part(9000.0 + HANDOVER_MS), 10)

    def test_a_directory_that_changed_while_none_was_confirmed_begins_a_handover(self):
        self.history.set_senders(["a"], 0.0)
        for at in range(0, 8000, 1000):
            self.confirm(float(at))
        later = 7000.0 + LEASE_MS + 1
        self.lease.confirm(later, later, 2)
        self.assertEqual(self.history.part(10.0, later).statements, 0)

    def test_no_limit_no_part(self):
        self.history.set_senders(["a"], 0.0)
        self.assertEqual(self.history.planned_part(0.0).statements, 0)


class ColdMembersTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualTime(0.0)
        self.cold = ColdMembers(self.clock)

    def remaining(self, member):
        return self.cold.remaining(member, 10_000.0)

    def test_a_member_that_tells_no_start_is_cold_from_its_first_appearance(self):
        old, new = MemberStart("m1", "a", 0), MemberStart("m2", "a", 0)
        self.cold.set_members([old], 1e12)
        self.assertEqual(self.remaining(old), 10_000.0, "it may have started a moment ago")
        self.clock.now = 20_000.0
        self.cold.set_members([old, new], 1e12)
        self.assertEqual((self.remaining(old), self.remaining(new)), (0.0, 10_000.0))

    def test_a_start_that_is_told_later_is_not_taken_for_a_new_one(self):
        self.cold.set_members([MemberStart("m1", "a", 0)], 1e12)
        self.clock.now = 60_000.0
        told = MemberStart("m1", "a", int(1e12) - 100_000)
        self.cold.set_members([told], 1e12)
        self.assertEqual(self.remaining(told), 0.0)
        recent = MemberStart("m1", "a", int(1e12) - 6_000)
        self.cold.set_members([recent], 1e12)
        self.assertEqual(self.remaining(recent), 10_000.0)

    def test_a_member_that_is_announced_again_in_the_same_life_is_not_cold_again(self):
        member = MemberStart("m1", "a", 5)
        other = MemberStart("m2", "a", 5)
        self.cold.set_members([member, other], 1e12)
        self.cold.set_members([other], 1e12)
        self.clock.now = 60_000.0
        self.cold.set_members([member, other], 1e12)
        self.assertEqual(self.remaining(member), 0.0)

    def test_members_are_cold_after_the_evacuation_of_their_zone(self):
        here, there = MemberStart("m1", "a", 5), MemberStart("m2", "b", 5)
        self.cold.set_members([here, there], 1e12)
        self.cold.set_ended_evacuations({}, 1e12)
        self.clock.now = 60_000.0
        self.cold.set_ended_evacuations({"a": 1}, 1e12)
        self.assertEqual((self.remaining(here), self.remaining(there)), (10_000.0, 0.0))
        self.clock.now = 65_000.0
        self.cold.set_ended_evacuations({"a": 1}, 1e12)
        self.assertEqual(self.remaining(here), 5_000.0)

    def test_a_process_that_starts_after_the_end_of_an_evacuation_uses_its_unix_time(self):
        member = MemberStart("m1", "a", 5)
        self.cold.set_members([member], 1e12)
        self.cold.set_ended_evacuations({"a": int(1e12) - 9_000}, 1e12)
        self.assertEqual(self.remaining(member), 10_000.0 - 9_000.0 + CLOCK_TOLERANCE_MS)

    def test_a_member_that_was_unreachable_may_have_started_again(self):
        member = MemberStart("m1", "a", 5)
        self.cold.set_members([member], 1e12)
        self.assertEqual(self.remaining(member), 0.0)
        self.cold.note_unreachable("m1")
        self.cold.note_confirmed(asked_at=2_000.0)
        self.assertEqual(self.remaining(member), 10_000.0)
        self.cold.note_confirmed(asked_at=3_000.0)
        self.assertEqual(self.remaining(member), 0.0)
