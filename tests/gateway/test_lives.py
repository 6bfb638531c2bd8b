"""A member starts again under its instance id, with an empty log."""

import gc
import unittest

import msgspec

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.members.channel import Channel
from rowanrail.model.position import Position
from rowanrail.model.routing import RoutingConfiguration, ServiceSpec
from rowanrail.model.statements import Answer, CommandKind, Refusal, SessionState
from rowanrail.placement.hashed import FleetSize
from rowanrail.scheduling.member_weight import FailureKind
from tests.support.gateway import GatewayHarness, routes

FIRST, SECOND = 1000, 2000  # start times in Unix milliseconds
BEHIND = Answer(refusal=Refusal.BEHIND, state=SessionState.IDLE)


class NewLifeTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.service = self.harness.gateway.services["db"]
        self.starts = {"m1": FIRST, "m2": FIRST, "m3": FIRST}
        self.sequences = dict.fromkeys(self.starts, 50)
        self.revision = 1
        self.announce()
        self.client = self.harness.client("reports")

    def announce(self, **changes):
        self.revision += 1
        records = [
            msgspec.structs.replace(
                member.record(sequence=self.sequences[member.instance]),
                start_ms=self.starts[member.instance],
                **changes.get(member.instance, {}),
            )
            for member in self.harness.members
        ]
        self.harness.gateway.set_directory(Directory(self.revision, records, FleetSize(3, 3)))

    def restart(self, instance, **changes):
        self.starts[instance], self.sequences[instance] = SECOND, 1
        self.announce(**{instance: changes})

    def wait(self, seconds=0.5):
        self.harness.clock.advance(seconds)

    def test_connections_of_the_earlier_life_are_closed_and_the_limits_start_anew(self):
        self.client.run("READ a", seconds=0.1)
        pool = self.service.pools["m2"]
        pool.health.note_failure(self.harness.clock.now * 1000)
        before = self.harness.near.open_transports()
        self.assertTrue(before)
        self.restart("m2")
        self.assertEqual(self.harness.near.open_transports(), [])
        self.assertIsNot(self.service.pools["m2"], pool)
        self.assertFalse(self.service.pools["m2"].is_failing)

    def test_a_read_in_flight_continues_at_another_member(self):
        # A connection to a crashed process may go silent without a reset.
        self.client.run("READ a", seconds=0.1)
        self.harness.near.script = [None]
        self.client.ask("READ b")
        self.assertEqual(len(self.client.answers), 1)
        self.restart("m2")
        self.assertEqual(len(self.client.answers), 2)
        self.assertIsNone(self.client.answers[-1].refusal)
        self.assertEqual(self.service.estimates.weights.local_weight("m2").value, 1.0)

    def test_a_transaction_in_the_earlier_life_is_aborted(self):
        self.client.run("BEGIN READ", seconds=0.1)
        self.client.run("READ a", seconds=0.1)
        self.restart("m2")
        self.restart("m3")
        self.assertIsNotNone(self.client.run("READ b", seconds=0.1).refusal)

    def test_a_commit_after_the_end_of_a_life_is_not_sent_and_told_so(self):
        client = self.harness.client("orders")
        client.run("BEGIN")
        self.assertIsNone(client.run("WRITE a 1", 0.1).refusal)
        self.restart("m1")
        self.assertIs(client.run("COMMIT", 0.1).refusal, Refusal.ABORTED)
        self.assertNotIn("COMMIT", self.harness.primary.texts())

    def test_weights_latencies_and_lag_are_forgotten(self):
        estimates = self.service.estimates
        now = self.harness.clock.now
        for _ in range(8):
            estimates.weights.note_failure("m2", FailureKind.ERROR)
        estimates.weights.note_reported({"m2": 10})
        estimates.note_answer("m2", "reports", Answer(), now - 3.0, None)
        estimates.note_answer("m2", "reports", BEHIND, now, Position(1, 10))
        self.assertLess(estimates.weights.effective_weight("m2"), 1.0)
        self.restart("m2", cold_ms=4000)
        self.assertEqual(estimates.weights.effective_weight("m2"), 1.0)
        self.assertEqual(estimates.queue_seconds("m2"), 0.0)
        self.assertIsNone(estimates._times.baseline("m2", "reports"))
        self.assertEqual(estimates._lags["m2"].expected_catch_up(0.0, now * 1000), 0.0)
        self.assertGreater(estimates._warm_ups["m2"].slowdown(now * 1000), 1.0)

    def test_what_is_known_of_the_running_life_stays(self):
        pool = self.service.pools["m2"]
        self.service.estimates.weights.note_failure("m2", FailureKind.ERROR)
        weight = self.service.estimates.weights.local_weight("m2").value
        self.sequences["m2"] = 60
        self.announce(m2={"slots": 7})
        self.assertIs(self.service.pools["m2"], pool)
        self.assertEqual(self.service.estimates.weights.local_weight("m2").value, weight)
        self.starts["m2"], self.sequences["m2"] = SECOND, 61
        self.announce()
        self.assertIsNot(self.service.pools["m2"], pool)

    def test_a_start_that_a_running_member_tells_for_the_first_time_changes_nothing(self):
        self.starts["m2"] = msgspec.UNSET
        self.announce()
        pool = self.service.pools["m2"]
        self.starts["m2"], self.sequences["m2"] = SECOND, 51
        self.announce()
        self.assertIs(self.service.pools["m2"], pool)

    def test_a_limit_takes_no_member_for_restarted_that_was_unreachable_before(self):
        self.harness.near.reachable = False
        self.client.run("READ a", 0.1)
        self.harness.near.reachable = True
        spec = ServiceSpec("db", 30, warm_up_seconds=5.0, warm_up_rate=9.0)
        self.harness.gateway.apply(RoutingConfiguration(2, routes(), {"db": spec}, 3.0))
        self.wait(20.0)
        self.assertFalse(self.service.is_warming(self.harness.near.record()))

    def test_closed_connections_of_transactions_are_not_kept(self):
        spec = ServiceSpec("db", 30, warm_up_seconds=5.0, warm_up_rate=9.0)
        self.harness.gateway.apply(RoutingConfiguration(2, routes(), {"db": spec}, 3.0))
        self.wait(20.0)
        for _ in range(30):
            client = self.harness.client("orders")
            for text in ("BEGIN", "WRITE a 1", "COMMIT"):
                self.assertIsNone(client.run(text, 0.1).refusal)
            for transport in self.harness.primary.open_transports():
                transport.channel.lost("closed by the member")
            self.harness.primary.transports.clear()
        gc.collect()
        channels = [known for known in gc.get_objects() if type(known) is Channel]
        self.assertLess(sum(channel.address == "m1:1" for channel in channels), 10)

    def test_a_primary_that_started_again_has_to_prove_its_leadership(self):
        tracker = self.service.primary
        self.client.run("READ a", seconds=0.1)
        self.assertEqual(tracker.presumed_primary, "m1")
        self.assertGreater(tracker.proved_at, 0)
        self.harness.primary.primary = False
        self.restart("m1")
        self.assertEqual((tracker.presumed_primary, tracker.proved_at), ("", -1.0))

    def test_a_sample_of_the_earlier_life_proves_nothing(self):
        tracker = self.service.primary
        self.client.run("READ a", seconds=0.1)
        self.harness.primary.silent = True
        tracker.request_sample()
        channels = [t.channel for t in self.harness.primary.transports]
        self.restart("m1")
        for channel in channels:
            channel.answered(Answer(position=Position(1, 99)))
        self.assertEqual(tracker.proved_at, -1.0)

    def test_a_replica_that_starts_empty_serves_no_read_above_its_log(self):
        self.client.run("READ a", seconds=0.1)
        self.harness.near.position = Position(1, 0)
        self.restart("m2")
        answers = [self.client.run(f"READ {number}", seconds=0.2) for number in range(5)]
        self.assertEqual([answer.refusal for answer in answers], [None] * 5)
        floors = [
            command.floor
            for _, command in self.harness.near.ran
            if command.kind is CommandKind.STATEMENT
        ]
        self.assertTrue(all(floor == Position(1, 10) for floor in floors), floors)

    def test_a_primary_that_starts_without_its_log_proves_nothing(self):
        # What it acknowledges conflicts with the replicas' logs; the control nodes replace it.
        self.client.run("READ a", seconds=0.1)
        self.wait()
        self.harness.primary.position = Position(1, 3)
        self.restart("m1")
        tracker = self.service.primary
        self.wait()
        self.assertLess(tracker.proved_at, 0)
        self.assertGreater(tracker.failing_since, 0)
        self.harness.near.primary, self.harness.near.position = True, Position(2, 10)
        self.wait()
        self.assertEqual((tracker.presumed_primary, tracker.failing_since), ("m2", 0.0))

    def test_a_primary_that_starts_empty_lowers_no_floor(self):
        self.client.run("READ a", seconds=0.1)
        self.harness.primary.position = Position(1, 0)
        self.restart("m1")
        self.wait()
        self.harness.near.ran.clear()
        self.client.run("READ b", seconds=1.0)
        ran = [c.floor for _, c in self.harness.near.ran if c.request_id]
        self.assertTrue(all(floor >= Position(1, 10) for floor in ran), ran)


if __name__ == "__main__":
    unittest.main()
