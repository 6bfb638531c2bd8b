"""Planning of holders from gateways' reports to the log, including lost nodes."""

import unittest

import msgspec

from rowanrail.cluster.policies import VersionMonotonic
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.coordination.commands import Announce, SetGateways, SetPlan
from rowanrail.coordination.gateway_loads import LOAD_EXPIRY_MS, GatewayLoads
from rowanrail.coordination.planner import CHECK_INTERVAL_MS, PlanController, Planner
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
    """A replicated log whose entries all nodes apply at once."""

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
    """A control node on the shared log; a lost one can't append."""

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
    """Control nodes and gateways that report to all of them, on a manual clock."""

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
        self.node_loads = [GatewayLoads(lambda: self.now) for _ in self.log.states]
        self.planners = [
            Planner(state, loads, lambda: self.now)
            for state, loads in zip(self.log.states, self.node_loads, strict=True)
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
                    for loads in self.node_loads:
                        loads.record(name, report)

    def run(self, rounds, leader=0):
        """Run check intervals; apply and return the leader's proposals."""
        proposals = []
        for _ in range(rounds):
            self.now += CHECK_INTERVAL_MS
            self.report()
            proposal = self.planners[leader].check()
            if proposal.plan is not None:
                plan = proposal.plan
                self.log.append(SetPlan(plan.number, plan.groups, plan.addresses))
                self.planners[leader].record_changes(proposal)
                proposals.append(proposal)
        return proposals


class PlannerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.rates = {(zone, "db"): 20.0 for zone in ZONES}

    def test_an_even_demand_needs_no_plan(self):
        self.assertEqual(self.fleet.run(20), [])

    def test_nothing_changes_before_the_demand_window_is_full(self):
        self.fleet.rates["a", "db"] = 200.0
        self.assertEqual(self.fleet.run(WINDOW_SPANS - 1), [])
        self.assertEqual(len(self.fleet.run(1)), 1)

    def test_the_first_plan_divides_and_shares_at_once(self):
        self.fleet.rates["a", "db"] = 200.0
        self.assertEqual(len(self.fleet.run(WINDOW_SPANS + 6)), 1)
        plan = self.fleet.log.states[0].plan
        self.assertGreater(len(plan.shard("a", "db").gateways), 1)
        self.assertGreater(plan.shard("a", "db").share, 0.5)

    def test_a_new_gateway_is_assigned_nothing(self):
        self.fleet.run(WINDOW_SPANS)
        new = GatewayRecord("a9", "a", "a9:1")
        self.fleet.log.append(SetGateways([new], []))
        self.fleet.slow = set(names("a"))
        for _ in range(3):
            for loads in self.fleet.node_loads:
                loads.record("a9", LoadReport(SPAN, 0, False, []))
            self.assertEqual(self.fleet.run(1), [], "all others are slow, and it is new")

    def test_moved_demand_changes_the_plan_once(self):
        self.fleet.run(WINDOW_SPANS)
        self.fleet.rates = {("a", "db"): 4.0, ("b", "db"): 36.0, ("c", "db"): 20.0}
        proposals = self.fleet.run(12)
        self.assertEqual(len(proposals), 1)
        plan = self.fleet.log.states[0].plan
        self.assertGreater(plan.shard("b", "db").share, 1.25 / 3)
        self.assertAlmostEqual(sum(plan.shard(zone, "db").share for zone in ZONES), 1.0, places=2)

    def test_a_slow_holder_is_replaced_within_half_a_minute(self):
        self.fleet.run(WINDOW_SPANS)
        slow = self.fleet.holder("a")
        self.fleet.slow.add(slow)
        (proposal,) = self.fleet.run(6)
        self.assertEqual(proposal.changes[0].cause, PlanCause.SLOW)
        self.assertNotEqual(self.fleet.holder("a"), slow)

    def test_one_slow_span_moves_nothing(self):
        self.fleet.run(WINDOW_SPANS)
        self.fleet.slow.add(self.fleet.holder("a"))
        self.assertEqual(self.fleet.run(1), [])
        self.fleet.slow.clear()
        self.assertEqual(self.fleet.run(6), [])

    def test_a_lost_holder_is_replaced_and_not_restored_when_it_returns(self):
        self.fleet.slow.add(self.fleet.holder("a"))
        self.fleet.run(WINDOW_SPANS + 2)
        lost = self.fleet.holder("a")
        self.fleet.silent.add(lost)
        self.fleet.run(1 + int(LOAD_EXPIRY_MS / CHECK_INTERVAL_MS) + 1)
        self.assertNotEqual(self.fleet.holder("a"), lost)
        self.fleet.silent.clear()
        after = self.fleet.holder("a")
        self.fleet.run(10)
        self.assertEqual(self.fleet.holder("a"), after)

    def test_all_gateways_lost_and_back_change_nothing_at_once(self):
        self.fleet.rates["a", "db"] = 200.0
        self.fleet.run(WINDOW_SPANS)
        plan = self.fleet.log.states[0].plan
        self.fleet.silent = {name for zone in ZONES for name in names(zone)}
        self.fleet.run(5)
        self.fleet.silent.clear()
        self.fleet.run(2)
        self.assertEqual(self.fleet.log.states[0].plan, plan)

    def test_a_restart_keeps_the_plan_until_the_demand_window_is_full(self):
        self.fleet.rates["a", "db"] = 200.0
        self.fleet.run(WINDOW_SPANS)
        saved = self.fleet.log.states[0].snapshot()
        state = new_state()
        state.restore(saved)
        self.assertEqual(state.plan, self.fleet.log.states[0].plan)
        self.fleet.log.states[0] = state
        self.fleet.node_loads[0] = GatewayLoads(lambda: self.fleet.now)
        self.fleet.planners[0] = Planner(state, self.fleet.node_loads[0], lambda: self.fleet.now)
        self.fleet.rates = {("a", "db"): 5.0, ("b", "db"): 100.0, ("c", "db"): 5.0}
        self.assertEqual(self.fleet.run(WINDOW_SPANS - 1), [])


class LeaderChangeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.rates = {("a", "db"): 200.0, ("b", "db"): 20.0, ("c", "db"): 20.0}

    def test_the_next_leader_continues_from_the_last_plan(self):
        self.fleet.run(WINDOW_SPANS)
        plan = self.fleet.log.states[1].plan
        self.assertGreater(plan.number, 0)
        self.fleet.planners[1].reset()
        self.assertEqual(self.fleet.run(12, leader=1), [])
        self.assertEqual(self.fleet.log.states[1].plan, plan)

    def test_of_two_leaders_with_different_plans_the_first_in_the_log_wins(self):
        self.fleet.run(WINDOW_SPANS - 1)
        self.fleet.now += CHECK_INTERVAL_MS
        self.fleet.report()
        other = Planner(self.fleet.log.states[1], self.fleet.node_loads[1], lambda: self.fleet.now)
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


class PlanControllerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = Log(1)
        self.log.append(Announce(MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1)))
        records = [GatewayRecord(n, zone, f"{n}:1") for zone in ZONES for n in names(zone)]
        self.log.append(SetGateways(records, []))
        self.node = Node(self.log)
        self.service = CoordinationService(self.node, self.log.states[0], None, "a")
        self.decisions = RecordingLog("control")

    def controller(self, is_planned=True):
        return PlanController(self.node, self.service, self.decisions, is_planned)

    async def report(self):
        for zone, rate in zip(ZONES, (200, 20, 20), strict=True):
            shards = [ShardLoad("db", rate * 5)]
            load = LoadReport(SPAN, 10, False, shards)
            await self.service.handle(
                GatewayReport(rank("db", names(zone))[0], zone, [], load=load)
            )

    async def run_checks(self, controller):
        await self.report()
        for _ in range(WINDOW_SPANS):
            await controller.step()

    async def poll(self, known_plan):
        report = GatewayReport("a0", "a", [])
        revision = self.service.state.revision
        request = DirectoryRequest(report, 0, revision, 0.0, known_plan=known_plan)
        return await self.service.handle(request)

    async def test_a_plan_is_logged_and_sent_to_gateways_once(self):
        await self.run_checks(self.controller())
        plan = self.log.states[0].plan
        self.assertEqual(plan.number, self.log.index)
        self.assertIsNone((await self.poll(None)).plan, "its holders are hashed")
        reply = await self.poll(known_plan=0)
        self.assertEqual(reply.plan, plan)
        self.assertIsNone(reply.members, "the directory did not change")
        self.assertIsNone((await self.poll(plan.number)).plan)

    async def test_changes_are_logged_with_their_cause(self):
        await self.run_checks(self.controller())
        self.decisions.flush()
        text = self.decisions.written.decode()
        self.assertIn("446", text)
        self.assertIn('"factor":', text)

    async def test_a_leader_lost_halfway_leaves_the_old_plan_in_force(self):
        controller = self.controller()
        self.node.is_lost = True
        with self.assertRaises(RowanrailError):
            await self.run_checks(controller)
        self.assertEqual(self.log.states[0].plan.number, 0)
        self.assertIsNone((await self.poll(0)).plan)

    async def test_a_follower_plans_nothing_and_discards_its_demand(self):
        controller = self.controller()
        self.node.raft.is_established_leader = False
        await self.run_checks(controller)
        self.assertEqual(self.log.states[0].plan.number, 0)
        self.assertEqual(controller.demand, {})

    async def test_disabling_planned_holders_ends_the_plan(self):
        await self.run_checks(self.controller())
        await self.controller(is_planned=False).step()
        plan = self.log.states[0].plan
        self.assertEqual((plan.number, plan.groups), (self.log.index, {}))

    async def test_a_plan_based_on_a_superseded_one_is_rejected(self):
        await self.run_checks(self.controller())
        before = self.log.states[0].plan
        stale = SetPlan(0, {"a": {"db": ShardPlan([Holding("a1", 0.5)])}}, {})
        self.assertFalse(self.log.append(stale))
        self.assertEqual(self.log.states[0].plan, before)


class GatewayLoadsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.loads = GatewayLoads(lambda: self.now)
        self.gateways = [GatewayRecord("g1", "a", "g1:1"), GatewayRecord("g2", "a", "g2:1")]

    def rate(self):
        return self.loads.demand(self.gateways)["a"]["db"].rate

    def test_group_demand_sums_the_latest_reports(self):
        for name, count in (("g1", 50), ("g2", 100), ("g1", 60)):
            self.now += 1000
            self.loads.record(name, LoadReport(5000, 0, False, [ShardLoad("db", count)]))
        self.assertEqual(self.rate(), 32.0)

    def test_a_report_without_a_span_changes_nothing(self):
        self.loads.record("g1", LoadReport(5000, 0, False, [ShardLoad("db", 50)]))
        self.loads.record("g1", None)
        self.assertEqual(self.rate(), 10.0)

    def test_expired_reports_are_ignored(self):
        self.loads.record("g1", LoadReport(5000, 0, False, [ShardLoad("db", 50)]))
        self.now += LOAD_EXPIRY_MS + 1
        self.assertEqual(self.loads.demand(self.gateways), {})
        self.assertEqual(self.loads.loads(self.gateways), [])

    def test_the_largest_tenant_of_a_part_is_summed_over_gateways(self):
        for name in ("g1", "g2"):
            shard = ShardLoad("db/1", 100, "large", 60)
            self.loads.record(name, LoadReport(5000, 0, False, [shard]))
        self.assertAlmostEqual(
            self.loads.demand(self.gateways)["a"]["db/1"].largest_tenant_share, 0.6
        )
