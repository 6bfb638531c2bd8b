"""The leader's plan: from gateways' reports to the log, and what happens when a node is lost."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import Announce, SetGateways, SetPlan
from rowanrail.coordination.gateway_loads import FORGET_LOAD_MS, GatewayLoads
from rowanrail.coordination.planner import ROUND_MS, PlanController, Planner
from rowanrail.coordination.policies import FencingToken, IncarnationCheck
from rowanrail.coordination.service import CoordinationService
from rowanrail.coordination.state import CoordinationState
from rowanrail.directory.messages import DirectoryRequest, GatewayRecord, GatewayReport
from rowanrail.kernel.errors import RowanrailError
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import rank
from rowanrail.scheduling.demand import WINDOW_SPANS
from rowanrail.scheduling.load_report import LoadReport, ShardLoad
from rowanrail.scheduling.plan import Holding, PlanCause, ShardPlan
from tests.support.gateway import RecordingLog

ZONES = ("a", "b", "c")
PER_ZONE = 5
SPAN = 5000


def new_state():
    return CoordinationState(VersionMonotonic(), IncarnationCheck(), FencingToken())


def names(zone):
    return [f"{zone}{n}" for n in range(PER_ZONE)]


class Log:
    """A replicated log that every node applies at once; a lost leader appends nothing."""

    def __init__(self, nodes=2):
        self.states = [new_state() for _ in range(nodes)]
        self.index = 0

    def append(self, command):
        self.index += 1
        data = msgspec.msgpack.encode(command)
        entry = Entry(1, self.index, EntryKind.COMMAND, data)
        return [state.apply(entry) for state in self.states][0]


class Raft:
    node = "v1"

    def __init__(self, leads):
        self.is_leader = self.is_established_leader = leads
        self.membership = self

    def addresses(self):
        return {}

    def seconds_since_up_to_date(self, now):
        return 0.0


class Node:
    """A control node over the common log."""

    def __init__(self, log, leads=True):
        self.log, self.raft = log, Raft(leads)
        self.is_lost = False

    async def propose(self, data):
        if self.is_lost:
            raise RowanrailError("leadership was lost", step="propose")
        return self.log.append(msgspec.msgpack.decode(data, type=SetPlan))

    def leader_address(self):
        return ""


class Fleet:
    """Control nodes and what gateways report to all of them, on a clock of its own."""

    def __init__(self, services=("db",)):
        self.log = Log()
        for service in services:
            self.log.append(
                Announce(
                    MemberRecord(f"{service}-m", service, f"{service}:1", "a", True, False, 3, 1)
                )
            )
        records = [GatewayRecord(n, zone, f"{n}:1") for zone in ZONES for n in names(zone)]
        self.log.append(SetGateways(records, []))
        self.now = 0.0
        self.rates = {}
        self.slow, self.silent = set(), set()
        self.books = [GatewayLoads(lambda: self.now) for _ in self.log.states]
        self.planners = [
            Planner(state, book, lambda: self.now)
            for state, book in zip(self.log.states, self.books, strict=True)
        ]

    def holder(self, zone, service="db"):
        shard = self.log.states[0].plan.shard(zone, service)
        return shard.gateways[0] if shard is not None else rank(service, names(zone))[0]

    def report(self):
        for zone in ZONES:
            for name in names(zone):
                shards = [
                    ShardLoad(service, int(rate * SPAN / 1000))
                    for (where, service), rate in self.rates.items()
                    if where == zone and self.holder(zone, service) == name
                ]
                report = LoadReport(SPAN, 10, name in self.slow, shards)
                if name not in self.silent:
                    for book in self.books:
                        book.note(name, report)

    def play(self, rounds, leader=0):
        """Let rounds pass; return what the leader proposed, and put it in force."""
        proposals = []
        for _ in range(rounds):
            self.now += ROUND_MS
            self.report()
            proposal = self.planners[leader].check()
            if proposal.plan is not None:
                plan = proposal.plan
                self.log.append(SetPlan(plan.number, plan.groups, plan.addresses))
                self.planners[leader].note_changed(proposal)
                proposals.append(proposal)
        return proposals


class PlannerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.rates = {(zone, "db"): 20.0 for zone in ZONES}

    def test_an_even_demand_needs_no_plan(self):
        self.assertEqual(self.fleet.play(20), [])

    def test_nothing_changes_in_the_first_half_minute(self):
        self.fleet.rates["a", "db"] = 200.0
        self.assertEqual(self.fleet.play(WINDOW_SPANS - 1), [])
        self.assertEqual(len(self.fleet.play(1)), 1)

    def test_the_first_plan_divides_and_shares_at_once(self):
        self.fleet.rates["a", "db"] = 200.0
        self.assertEqual(len(self.fleet.play(WINDOW_SPANS + 6)), 1)
        plan = self.fleet.log.states[0].plan
        self.assertGreater(len(plan.shard("a", "db").gateways), 1)
        self.assertGreater(plan.shard("a", "db").share, 0.5)

    def test_a_gateway_that_has_just_come_is_given_nothing(self):
        self.fleet.play(WINDOW_SPANS)
        new = GatewayRecord("a9", "a", "a9:1")
        self.fleet.log.append(SetGateways([new], []))
        self.fleet.slow = set(names("a"))
        for _ in range(3):
            for book in self.fleet.books:
                book.note("a9", LoadReport(SPAN, 0, False, []))
            self.assertEqual(self.fleet.play(1), [], "nobody else bears it, and it is new")

    def test_clients_that_move_are_followed_once(self):
        self.fleet.play(WINDOW_SPANS)
        self.fleet.rates = {("a", "db"): 4.0, ("b", "db"): 36.0, ("c", "db"): 20.0}
        proposals = self.fleet.play(12)
        self.assertEqual(len(proposals), 1)
        plan = self.fleet.log.states[0].plan
        self.assertGreater(plan.shard("b", "db").share, 1.25 / 3)
        self.assertAlmostEqual(sum(plan.shard(zone, "db").share for zone in ZONES), 1.0, places=2)

    def test_a_slow_holder_is_relieved_within_half_a_minute(self):
        self.fleet.play(WINDOW_SPANS)
        slow = self.fleet.holder("a")
        self.fleet.slow.add(slow)
        (proposal,) = self.fleet.play(6)
        self.assertEqual(proposal.changes[0].cause, PlanCause.SLOW)
        self.assertNotEqual(self.fleet.holder("a"), slow)

    def test_one_slow_span_moves_nothing(self):
        self.fleet.play(WINDOW_SPANS)
        self.fleet.slow.add(self.fleet.holder("a"))
        self.assertEqual(self.fleet.play(1), [])
        self.fleet.slow.clear()
        self.assertEqual(self.fleet.play(6), [])

    def test_a_lost_holder_is_replaced_and_does_not_get_it_back(self):
        self.fleet.slow.add(self.fleet.holder("a"))
        self.fleet.play(WINDOW_SPANS + 2)
        lost = self.fleet.holder("a")
        self.fleet.silent.add(lost)
        self.fleet.play(1 + int(FORGET_LOAD_MS / ROUND_MS) + 1)
        self.assertNotEqual(self.fleet.holder("a"), lost)
        self.fleet.silent.clear()
        after = self.fleet.holder("a")
        self.fleet.play(10)
        self.assertEqual(self.fleet.holder("a"), after)

    def test_all_gateways_lost_and_back_change_nothing_at_once(self):
        self.fleet.rates["a", "db"] = 200.0
        self.fleet.play(WINDOW_SPANS)
        plan = self.fleet.log.states[0].plan
        self.fleet.silent = {name for zone in ZONES for name in names(zone)}
        self.fleet.play(5)
        self.fleet.silent.clear()
        self.fleet.play(2)
        self.assertEqual(self.fleet.log.states[0].plan, plan)

    def test_a_restart_of_all_keeps_the_plan_and_changes_nothing_at_first(self):
        self.fleet.rates["a", "db"] = 200.0
        self.fleet.play(WINDOW_SPANS)
        saved = self.fleet.log.states[0].snapshot()
        state = new_state()
        state.restore(saved)
        self.assertEqual(state.plan, self.fleet.log.states[0].plan)
        self.fleet.log.states[0] = state
        self.fleet.books[0] = GatewayLoads(lambda: self.fleet.now)
        self.fleet.planners[0] = Planner(state, self.fleet.books[0], lambda: self.fleet.now)
        self.fleet.rates = {("a", "db"): 5.0, ("b", "db"): 100.0, ("c", "db"): 5.0}
        self.assertEqual(self.fleet.play(WINDOW_SPANS - 1), [])


class DeciderLostTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.rates = {("a", "db"): 200.0, ("b", "db"): 20.0, ("c", "db"): 20.0}

    def test_the_next_leader_goes_on_from_the_plan_of_the_last(self):
        self.fleet.play(WINDOW_SPANS)
        plan = self.fleet.log.states[1].plan
        self.assertGreater(plan.number, 0)
        self.fleet.planners[1].release()
        self.assertEqual(self.fleet.play(12, leader=1), [])
        self.assertEqual(self.fleet.log.states[1].plan, plan)

    def test_of_two_leaders_with_different_plans_the_first_in_the_log_wins(self):
        self.fleet.play(WINDOW_SPANS - 1)
        self.fleet.now += ROUND_MS
        self.fleet.report()
        other = Planner(self.fleet.log.states[1], self.fleet.books[1], lambda: self.fleet.now)
        for _ in range(WINDOW_SPANS):
            late = other.check().plan
        first = self.fleet.planners[0].check().plan
        taken = [
            self.fleet.log.append(SetPlan(plan.number, plan.groups, plan.addresses))
            for plan in (first, late)
        ]
        self.assertEqual(taken, [True, False])
        self.assertEqual(self.fleet.log.states[0].plan, self.fleet.log.states[1].plan)
        self.assertEqual(self.fleet.log.states[0].plan.groups, first.groups)


class DutyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = Log(1)
        self.log.append(Announce(MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1)))
        records = [GatewayRecord(n, zone, f"{n}:1") for zone in ZONES for n in names(zone)]
        self.log.append(SetGateways(records, []))
        self.node = Node(self.log)
        self.service = CoordinationService(self.node, self.log.states[0], None, "a")
        self.decisions = RecordingLog("control")

    def duty(self, is_planned=True):
        return PlanController(self.node, self.service, self.decisions, is_planned)

    async def report(self):
        for zone, rate in zip(ZONES, (200, 20, 20), strict=True):
            shards = [ShardLoad("db", rate * 5)]
            load = LoadReport(SPAN, 10, False, shards)
            await self.service.handle(
                GatewayReport(rank("db", names(zone))[0], zone, [], load=load)
            )

    async def plan(self, duty):
        await self.report()
        for _ in range(WINDOW_SPANS):
            await duty.step()

    async def ask(self, known_plan):
        report = GatewayReport("a0", "a", [])
        revision = self.service.state.revision
        request = DirectoryRequest(report, 0, revision, 0.0, known_plan=known_plan)
        return await self.service.handle(request)

    async def test_a_plan_goes_into_the_log_and_out_to_gateways_once(self):
        await self.plan(self.duty())
        plan = self.log.states[0].plan
        self.assertEqual(plan.number, self.log.index)
        self.assertIsNone((await self.ask(None)).plan, "it goes by the hash")
        reply = await self.ask(known_plan=0)
        self.assertEqual(reply.plan, plan)
        self.assertIsNone(reply.members, "the directory did not change")
        self.assertIsNone((await self.ask(plan.number)).plan)

    async def test_it_says_in_the_log_what_changed_and_why(self):
        await self.plan(self.duty())
        self.decisions.flush()
        text = self.decisions.written.decode()
        self.assertIn("446", text)
        self.assertIn('"factor":', text)

    async def test_a_leader_lost_halfway_leaves_the_old_plan_in_force(self):
        duty = self.duty()
        self.node.is_lost = True
        with self.assertRaises(RowanrailError):
            await self.plan(duty)
        self.assertEqual(self.log.states[0].plan.number, 0)
        self.assertIsNone((await self.ask(0)).plan)

    async def test_a_node_that_does_not_lead_plans_nothing_and_forgets(self):
        duty = self.duty()
        self.node.raft.is_established_leader = False
        await self.plan(duty)
        self.assertEqual(self.log.states[0].plan.number, 0)
        self.assertEqual(duty.demand, {})

    async def test_taking_the_setting_back_ends_the_plan(self):
        await self.plan(self.duty())
        await self.duty(is_planned=False).step()
        plan = self.log.states[0].plan
        self.assertEqual((plan.number, plan.groups), (self.log.index, {}))

    async def test_a_plan_worked_out_from_another_one_is_not_taken(self):
        await self.plan(self.duty())
        before = self.log.states[0].plan
        stale = SetPlan(0, {"a": {"db": ShardPlan([Holding("a1", 0.5)])}}, {})
        self.assertFalse(self.log.append(stale))
        self.assertEqual(self.log.states[0].plan, before)


class GatewayLoadsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.book = GatewayLoads(lambda: self.now)
        self.gateways = [GatewayRecord("g1", "a", "g1:1"), GatewayRecord("g2", "a", "g2:1")]

    def rate(self):
        return self.book.demand(self.gateways)["a"]["db"].rate

    def test_the_sum_of_a_group_is_what_its_gateways_told_last(self):
        for name, count in (("g1", 50), ("g2", 100), ("g1", 60)):
            self.now += 1000
            self.book.note(name, LoadReport(5000, 0, False, [ShardLoad("db", count)]))
        self.assertEqual(self.rate(), 32.0)

    def test_a_report_without_a_span_changes_nothing(self):
        self.book.note("g1", LoadReport(5000, 0, False, [ShardLoad("db", 50)]))
        self.book.note("g1", None)
        self.assertEqual(self.rate(), 10.0)

    def test_a_gateway_that_is_not_heard_counts_no_more(self):
        self.book.note("g1", LoadReport(5000, 0, False, [ShardLoad("db", 50)]))
        self.now += FORGET_LOAD_MS + 1
        self.assertEqual(self.book.demand(self.gateways), {})
        self.assertEqual(self.book.loads(self.gateways), [])

    def test_the_largest_tenant_of_a_part_is_summed_over_gateways(self):
        for name in ("g1", "g2"):
            shard = ShardLoad("db/1", 100, "large", 60)
            self.book.note(name, LoadReport(5000, 0, False, [shard]))
        self.assertAlmostEqual(
            self.book.demand(self.gateways)["a"]["db/1"].largest_tenant_share, 0.6
        )
