"""Sessions of the gateway: routing, values, prepared names, transactions."""

import json
import unittest

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.model.position import Position
from rowanrail.model.statements import (
    NO_EFFECT_REFUSALS,
    Answer,
    CommandKind,
    Refusal,
    SessionState,
)
from rowanrail.placement.hashed import FleetSize
from rowanrail.scheduling.queue import QueueEntry
from tests.support.gateway import GatewayHarness


class ReadTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()

    def test_a_bounded_read_runs_at_the_near_replica_with_a_floor(self):
        answer = self.harness.client("reports").run("READ a")
        self.assertIsNone(answer.refusal)
        self.assertEqual(self.harness.near.texts(), ["READ a"])
        self.assertEqual(self.harness.near.ran[-1][1].floor, Position(1, 10))

    def test_a_primary_read_uses_a_sample_requested_after_its_arrival(self):
        client = self.harness.client("orders")
        client.run("READ a")
        self.harness.clock.advance(0.01)
        self.harness.primary.position = Position(1, 11)
        self.harness.near.position = Position(1, 11)
        client.run("READ b")
        self.assertEqual(self.harness.near.ran[-1][1].floor, Position(1, 11))

    def test_bounded_reads_share_a_sample_within_their_staleness(self):
        client = self.harness.client("reports")
        for _ in range(5):
            client.run("READ a")
        begins = [c for _, c in self.harness.primary.ran if c.kind is CommandKind.BEGIN]
        self.assertEqual(len(begins), 1)

    def write_each(self, seconds, times):
        writer = self.harness.client("orders")
        for _ in range(times):
            self.assertIsNone(writer.run("WRITE w 1").refusal)
            self.harness.clock.advance(seconds)

    def test_a_lagging_replica_serves_reads_within_their_staleness(self):
        # Regression: the newest sample was used as the floor, so lagging replicas served nothing.
        self.write_each(0.1, 7)
        self.harness.near.position = Position(1, 13)  # 0.5 s behind
        self.harness.far.position = Position(1, 13)
        known = len(self.harness.primary.texts())
        self.assertIsNone(self.harness.client("reports").run("READ a").refusal)
        self.assertEqual(self.harness.near.texts(), ["READ a"])
        self.assertEqual(len(self.harness.primary.texts()), known)

    def test_a_replica_that_lags_beyond_the_staleness_serves_nothing(self):
        self.write_each(0.1, 15)  # the route accepts 1.0 s
        self.harness.near.position = Position(1, 13)
        self.harness.far.position = Position(1, 13)
        self.assertIsNone(self.harness.client("reports").run("READ a").refusal)
        self.assertEqual(self.harness.primary.texts()[-1], "READ a")

    def test_samples_of_a_replaced_primary_are_discarded_once_its_successor_is_proved(self):
        self.write_each(0.1, 5)
        self.harness.primary.primary = False
        self.harness.near.primary = True
        for member in self.harness.members:
            member.position = Position(2, 13)
        self.harness.announce(2)
        self.assertIsNone(self.harness.client("orders").run("WRITE b 2", seconds=0.5).refusal)
        self.harness.client("reports").run("READ a")
        floors = [c.floor for m in self.harness.members for _, c in m.ran if c.text == "READ a"]
        self.assertEqual(floors[-1].term, 2)

    def test_a_session_reads_its_own_write_though_the_replica_lags(self):
        client = self.harness.client("carts")
        client.run("WRITE a 1")
        answer = client.run("READ a")
        self.assertIsNone(answer.refusal)
        self.assertEqual(self.harness.primary.texts(), ["WRITE a 1", "READ a"])

    def test_a_read_does_not_wait_for_a_silent_member(self):
        self.harness.client("reports").run("READ a")
        self.harness.near.silent = True
        answer = self.harness.client("reports").run("READ b", seconds=0.4)
        self.assertIsNone(answer.refusal)

    def test_a_read_without_a_primary_is_refused_as_not_run(self):
        for member in self.harness.members:
            member.primary = False
        answer = self.harness.client("orders").run("READ a", seconds=1.0)
        self.assertEqual(answer.refusal, Refusal.BUSY)
        self.assertEqual(self.harness.near.texts(), [])

    def test_reads_recover_after_a_failover_that_lost_commits(self):
        client = self.harness.client("carts")
        client.run("WRITE a 1")
        # The primary is replaced by a member without that commit.
        self.harness.primary.primary = False
        self.harness.near.primary = True
        for member in self.harness.members:
            member.position = Position(2, 10)
        client.run("WRITE b 2", seconds=0.5)
        self.assertIsNone(client.run("READ a", seconds=0.5).refusal)

    def test_a_leaving_member_gets_no_read(self):
        self.harness.announce(2, leaving=("m2",))
        self.harness.client("reports").run("READ a")
        self.assertEqual(self.harness.near.texts(), [])

    def test_a_slow_read_is_not_retried_too_soon(self):
        # Regression: reads that took 0.2 s were abandoned, retried, and then refused.
        client = self.harness.client("reports")
        client.run("READ a")
        self.harness.near.script = [None]
        client.ask("READ b")
        self.harness.clock.advance(0.25)
        self.assertEqual([t for m in self.harness.members for t in m.texts()].count("READ b"), 1)
        self.harness.clock.advance(0.2)
        self.assertIsNone(client.answers[-1].refusal)

    def test_a_failed_read_is_retried_at_another_member(self):
        # Healthy members may fail some of their requests.
        client = self.harness.client("reports")
        client.run("READ a")
        self.harness.near.script = [Answer(refusal=Refusal.FAILED, state=SessionState.IDLE)]
        self.assertIsNone(client.run("READ b").refusal)

    def test_a_read_that_fails_everywhere_is_answered_with_the_error(self):
        client = self.harness.client("reports")
        client.run("READ a")
        for member in self.harness.members:
            failed = Answer(refusal=Refusal.FAILED, state=SessionState.IDLE)
            member.script = [failed, failed, failed]
        answer = client.run("READ b", seconds=0.2)
        self.assertEqual(answer.refusal, Refusal.FAILED)
        ran = [text for m in self.harness.members for text in m.texts()]
        self.assertLessEqual(ran.count("READ b"), 3)

    def test_a_member_that_fails_some_requests_is_avoided_and_retried_later(self):
        client = self.harness.client("reports")
        client.run("READ a")
        failed = Answer(refusal=Refusal.FAILED, state=SessionState.IDLE)
        self.harness.near.script = [failed, failed, failed]
        for _ in range(3):
            client.run("READ b")
        known = len(self.harness.near.texts())
        for _ in range(10):
            client.run("READ c")
        self.assertLessEqual(len(self.harness.near.texts()) - known, 1)
        self.harness.near.script.clear()
        self.harness.clock.advance(10)
        for pool in self.harness.gateway.services["db"].pools.values():
            pool.forecasts.latency = 20.0  # ms; answers take no time in this test
        for _ in range(10):
            client.run("READ d")
        self.assertGreater(len(self.harness.near.texts()) - known, 5)

    def test_a_member_in_the_same_region_is_preferred(self):
        harness = GatewayHarness(with_regions=True)
        harness.near.zone, harness.near.primary = "c", True
        harness.primary.zone, harness.primary.primary = "c", False
        harness.far.zone = "b"
        harness.announce(2)
        self.assertIsNone(harness.client("reports").run("READ a", seconds=0.2).refusal)
        self.assertEqual(harness.far.texts(), ["READ a"])

    def test_a_read_moves_on_when_a_member_does_not_open_a_connection(self):
        self.harness.near.silent = True
        answer = self.harness.client("reports").run("READ a", seconds=0.2)
        self.assertIsNone(answer.refusal)

    def test_a_failed_member_is_tried_by_one_request_at_a_time(self):
        # Regression: every read of a zone waited for a member that could not be reached.
        clients = [self.harness.client("reports") for _ in range(5)]
        clients[0].run("READ a")
        self.harness.near.silent = True
        clients[0].run("READ b", seconds=0.4)
        self.harness.clock.advance(0.5)
        known = len(self.harness.near.texts())
        for client in clients:
            client.ask("READ c")
        self.harness.clock.advance(0.05)
        waiting = self.harness.gateway.services["db"].pools["m2"].load
        self.assertLessEqual(len(self.harness.near.texts()) - known + waiting, 1)
        self.harness.clock.advance(0.4)
        self.assertTrue(all(client.answers[-1].refusal is None for client in clients))


class LostPrimaryTest(unittest.TestCase):
    def test_its_loss_and_its_return_are_reported_at_once(self):
        # Regression: the loss was only visible to polling, and not reported.
        harness = GatewayHarness()
        alarms = []
        harness.gateway.on_primary_change = lambda: alarms.append(harness.clock.now)
        client = harness.client("orders")
        client.run("WRITE a 1")
        harness.clock.advance(0.1)
        began = harness.clock.now
        harness.primary.silent = True
        client.ask("READ b")
        harness.clock.advance(0.8)
        self.assertEqual(len(alarms), 1)
        self.assertLess(alarms[0] - began, 0.75)
        self.assertTrue([line for line in harness.logs() if '"event":314' in line])
        harness.primary.silent = False
        harness.clock.advance(1.5)
        self.assertEqual(len(alarms), 2)
        self.assertTrue([line for line in harness.logs() if '"event":315' in line])

    def lose_the_primary(self, harness):
        """Make the primary silent while a read needs it, until its loss is detected."""
        client = harness.client("orders")
        client.run("WRITE a 1")
        harness.clock.advance(0.1)
        harness.primary.silent = True
        client.ask("READ b")
        harness.clock.advance(0.9)
        self.assertTrue(harness.gateway.services["db"].primary.failing_since)
        return client

    def replace_primary(self, harness):
        harness.primary.primary = False
        harness.far.primary = True
        for member in harness.members:
            member.position = Position(2, 11)

    def test_its_successor_is_found_by_probing(self):
        # Regression: probing for the new primary waited for the last attempt at the silent one.
        harness = GatewayHarness()
        client = self.lose_the_primary(harness)
        self.replace_primary(harness)
        harness.clock.advance(0.25)
        self.assertEqual(harness.gateway.services["db"].primary.presumed_primary, "m3")
        self.assertIsNone(client.run("WRITE c 3", seconds=0.05).refusal)

    def test_its_successor_is_accepted_when_the_directory_names_it(self):
        harness = GatewayHarness()
        client = self.lose_the_primary(harness)
        self.replace_primary(harness)
        harness.announce(2)
        self.assertIsNone(client.run("WRITE c 3", seconds=0.05).refusal)

    def test_the_directory_does_not_replace_a_primary_that_serves(self):
        harness = GatewayHarness()
        client = harness.client("orders")
        client.run("WRITE a 1")
        harness.primary.primary, harness.far.primary = False, True
        records = [member.record() for member in harness.members]
        harness.primary.primary, harness.far.primary = True, False
        harness.gateway.set_directory(Directory(2, records, FleetSize(3, 3)))
        self.assertEqual(harness.gateway.services["db"].primary.presumed_primary, "m1")
        self.assertIsNone(client.run("WRITE b 2", seconds=0.1).refusal)

    def test_probing_ends_and_closes_its_connections(self):
        harness = GatewayHarness()
        self.lose_the_primary(harness)
        opened = len(harness.near.transports)
        harness.clock.advance(1.0)
        self.assertLessEqual(len(harness.near.transports) - opened, 1)
        self.replace_primary(harness)
        harness.clock.advance(2.0)
        asked = len(harness.near.ran)
        harness.clock.advance(1.0)
        self.assertEqual(len(harness.near.ran), asked)
        connections = harness.gateway.services["db"].primary._sampler._connections
        self.assertEqual(
            [name for name, connection in connections.items() if connection.is_open], ["m3"]
        )

    def test_writes_resume_as_soon_as_the_primary_is_proved_again(self):
        # Regression: the pool of a recovered primary was avoided for up to 2 s longer.
        harness = GatewayHarness()
        client = harness.client("orders")
        client.run("WRITE a 1")
        harness.primary.reachable = False
        for transport in harness.primary.open_transports():
            transport.channel.lost("reset")
        client.run("WRITE b 2", seconds=1.1)
        pool = harness.gateway.services["db"].pools["m1"]
        for _ in range(6):
            pool.note_timeout()
        self.assertGreater(pool.health.failing_until, 1000 * (harness.clock.now + 1.5))
        harness.primary.reachable = True
        harness.clock.advance(0.45)  # the probe is repeated each 0.3 s
        self.assertGreater(
            harness.gateway.services["db"].primary.proved_at, harness.clock.now - 0.4
        )
        self.assertIsNone(client.run("WRITE c 3", seconds=0.1).refusal)


class AdmissionTest(unittest.TestCase):
    """Statements that can't be answered before their time-out are rejected on arrival."""

    def setUp(self):
        self.harness = GatewayHarness(slots=24)  # connections are the limit, not slots
        self.pool = self.harness.gateway.services["db"].pools["m1"]
        for _ in range(30):
            self.pool.connections.leases.note(200.0)
        self.busy = []
        self.harness.primary.script = [None] * 100
        for _ in range(self.pool.connections.limit):
            self.busy.append(self.harness.client("orders"))
            self.busy[-1].ask("WRITE a 1")

    def test_a_write_that_would_wait_too_long_is_refused_at_once(self):
        interval = self.pool.forecasts.for_entry(QueueEntry(1, "", 0.0)).drain_interval
        served_in_time = int(1000 / interval)  # within the time-out of 1 s
        later = [self.harness.client("orders") for _ in range(4 * served_in_time + 40)]
        for client in later:
            client.ask("WRITE b 2")
        refused = [client for client in later if client.answers]
        self.assertGreater(len(refused), 20)
        self.assertLess(len(refused), len(later) - served_in_time)
        for client in refused:
            self.assertEqual(client.answers[-1].refusal, Refusal.BUSY)
            self.assertIn("retry in", client.answers[-1].message)

    def test_a_transaction_is_refused_at_its_first_statement(self):
        for _ in range(300):
            self.harness.client("orders").ask("WRITE b 2")
        client = self.harness.client("orders")
        client.run("BEGIN")
        self.assertEqual(client.run("READ a").refusal, Refusal.BUSY)

    def test_a_read_runs_at_a_member_with_capacity(self):
        for _ in range(300):
            self.harness.client("orders").ask("WRITE b 2")
        self.assertIsNone(self.harness.client("reports").run("READ a", seconds=0.1).refusal)

    def test_a_read_leaves_a_queue_that_is_too_long_for_its_objective(self):
        # The queue is short enough for the time-out, but other members have capacity at once.
        near = self.harness.gateway.services["db"].pools["m2"]
        for _ in range(30):
            near.connections.leases.note(200.0)
        near.forecasts.latency = 1.0  # so that it is selected despite its queue
        self.harness.near.script = [None] * 200
        readers = [self.harness.client("reports") for _ in range(60)]
        for reader in readers:
            reader.ask("READ a")
            self.harness.clock.advance(0.001)
        self.assertIn("READ a", self.harness.far.texts())
        self.assertFalse(
            [answer for reader in readers for answer in reader.answers if answer.refusal]
        )

    def test_a_statement_waits_until_it_can_no_longer_be_served(self):
        waiting = [self.harness.client("orders") for _ in range(40)]
        for client in waiting:
            client.ask("WRITE b 2")
        self.assertEqual([client.answers for client in waiting], [[]] * 40)
        self.harness.clock.advance(0.95)  # no connection in use is released
        for client in waiting:
            self.assertEqual(client.answers[-1].refusal, Refusal.BUSY)
            self.assertRegex(client.answers[-1].message, r"^m1 is crowded .*; retry in \d\.\d\d s$")
        self.assertNotIn("WRITE b 2", self.harness.primary.texts())

    def test_the_end_of_the_queue_is_rejected_first(self):
        waiting = [self.harness.client("orders") for _ in range(150)]
        for client in waiting:
            client.ask("WRITE b 2")
            self.harness.clock.advance(1e-6)
        self.harness.clock.advance(0.7)
        answered = [bool(client.answers) for client in waiting]
        self.assertTrue(answered[-1])
        self.assertFalse(answered[0])
        self.assertEqual(answered, sorted(answered))

    def test_nothing_is_refused_while_capacity_is_free(self):
        reader = self.harness.client("carts")
        for client in self.busy:
            client.session.close()
        self.harness.clock.advance(0.3)
        self.pool.connections.leases.note(60_000.0)
        self.pool.forecasts.latency = 60_000.0
        self.harness.primary.script = []
        for _ in range(5):
            self.assertIsNone(self.harness.client("orders").run("WRITE c 3", seconds=0.2).refusal)
        self.assertIsNone(reader.run("READ a", seconds=0.2).refusal)

    def test_a_statement_of_a_closed_session_is_not_run(self):
        client = self.harness.client("orders")
        client.ask("WRITE given-up 1")
        client.session.close()
        for busy in self.busy:
            busy.session.close()  # their connections close, and new ones are opened
        self.harness.clock.advance(2.0)
        self.assertNotIn("WRITE given-up 1", self.harness.primary.texts())

    def test_a_client_rejected_twice_precedes_new_arrivals(self):
        client = self.harness.client("orders")
        for times in range(3):
            for _ in range(300):
                self.harness.client("orders").ask("WRITE b 2")
            client.ask("WRITE c 3")
            self.assertEqual(client.session.values.rejections, times)
            if times < 2:
                retry_after = (
                    client.answers[-1].message.rpartition("retry in ")[2].removesuffix(" s")
                )
                self.harness.clock.advance(float(retry_after))
        first, *_ = sorted(self.pool.queue, key=lambda waiter: not waiter.entry.is_retrying)
        self.assertTrue(first.entry.is_retrying)
        self.assertLess(self.pool.forecasts.for_entry(first.entry).wait, 100.0)

    def test_a_client_that_retries_too_early_counts_as_a_new_arrival(self):
        client = self.harness.client("orders")
        for _ in range(300):
            self.harness.client("orders").ask("WRITE b 2")
        client.ask("WRITE c 3")
        self.harness.clock.advance(0.05)
        client.ask("WRITE c 3")
        self.assertEqual(client.session.values.rejections, 0)

    def test_simultaneous_rejections_get_different_retry_times(self):
        retry_times = set()
        for _ in range(400):
            client = self.harness.client("orders")
            client.ask("WRITE b 2")
            retry_times.update(answer.message.rpartition("; ")[2] for answer in client.answers)
        self.assertGreater(len(retry_times), 50)

    def test_a_rejection_is_logged_with_its_forecast(self):
        for _ in range(300):
            self.harness.client("orders").ask("WRITE b 2")
        line = json.loads(next(text for text in self.harness.logs() if '"event":301' in text))
        self.assertEqual(line["cause"], "crowded")
        self.assertGreater(line["wait"], 1000)
        self.assertEqual(line["left"], 1000)
        self.assertEqual(line["urgency"], 1)
        self.assertIn(f"retry in {line['return_in'] / 1000:.2f}", line["reason"])

    def test_connections_being_opened_do_not_count_as_waiting(self):
        # Regression: statements whose connection was being opened counted as waiting too, so
        # reads were refused too early after a restart.
        harness = GatewayHarness()
        pool = harness.gateway.services["db"].pools["m2"]
        harness.near.silent = True  # accepts connections without opening them
        clients = [harness.client("reports") for _ in range(2)]
        harness.client("orders").run("WRITE a 1")
        for client in clients:
            client.ask("READ a")
        harness.clock.advance(0.08)  # the second connection is opened with a delay
        self.assertEqual(pool.connections.count, 2)
        self.assertEqual(pool.connections.established, 0)
        pool.set_limit(2)
        self.assertAlmostEqual(pool.forecasts.expected_wait, pool.connections.leases.average / 2)

    def test_a_member_that_had_no_connection_left_is_retried_soon(self):
        # Regression: a gateway that met the member's limit opened no connection for 2 s more,
        # although the member had released the connections of failed gateways.
        harness = GatewayHarness()
        pool = harness.gateway.services["db"].pools["m1"]
        client = harness.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1")
        harness.primary.refuse_start = Refusal.TOO_MANY_CONNECTIONS
        harness.client("orders").ask("WRITE b 2")
        harness.clock.advance(0.1)
        harness.primary.refuse_start = None
        harness.clock.advance(0.5)
        harness.client("orders").run("WRITE c 3", seconds=0.05)
        self.assertGreaterEqual(pool.connections.count, 2)

    def test_a_statement_waits_in_a_short_queue(self):
        client = self.harness.client("orders")
        client.ask("WRITE b 2")
        self.assertEqual(client.answers, [])


class BegunTransactionTest(unittest.TestCase):
    def test_a_begun_transaction_precedes_those_that_have_not_begun(self):
        harness = GatewayHarness(slots=24)  # connections are the limit, not slots
        begun = harness.client("orders")
        begun.run("BEGIN")
        begun.run("WRITE a 1")
        pool = harness.gateway.services["db"].pools["m1"]
        for _ in range(30):
            pool.connections.leases.note(200.0)
        harness.primary.script = [None] * (pool.connections.limit - 1)
        for _ in range(pool.connections.limit - 1):
            harness.client("orders").ask("WRITE b 2")
        harness.clock.advance(0.3)  # until they have their connections
        for _ in range(300):
            harness.client("orders").ask("WRITE b 2")
        self.assertEqual(harness.client("orders").run("WRITE b 2").refusal, Refusal.BUSY)
        self.assertIsNone(begun.run("WRITE a 2").refusal)
        committed = Answer(signature=b"sig", position=Position(1, 12), state=SessionState.IDLE)
        harness.primary.script = [committed, *[None] * 300]
        self.assertIsNone(begun.run("COMMIT").refusal)


class IdleTransactionTest(unittest.TestCase):
    """Idle transactions hold connections for which other statements wait."""

    def setUp(self):
        self.harness = GatewayHarness()
        self.limit = self.harness.gateway.services["db"].pools["m1"].connections.limit
        self.idle = [self.harness.client("orders") for _ in range(self.limit)]
        for client in self.idle:
            client.run("BEGIN")
            client.run("WRITE a 1")

    def test_the_longest_idle_one_is_aborted_for_waiting_statements(self):
        self.harness.clock.advance(0.2)
        self.idle[1].run("READ a")  # this one is active
        self.harness.clock.advance(0.35)
        writer = self.harness.client("orders")
        self.assertIsNone(writer.run("WRITE b 2", seconds=0.2).refusal)
        answer = self.idle[0].run("COMMIT")
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        self.assertIn("rested", answer.message)
        self.assertIsNone(self.idle[1].run("COMMIT").refusal)
        self.assertIsNone(self.idle[2].run("COMMIT").refusal)

    def test_none_is_aborted_while_nothing_waits(self):
        self.harness.clock.advance(2.0)
        for client in self.idle:
            self.assertIsNone(client.run("COMMIT").refusal)

    def test_short_pauses_are_tolerated(self):
        writer = self.harness.client("orders")
        writer.ask("WRITE b 2")
        self.harness.clock.advance(0.2)
        self.assertEqual(writer.answers, [])
        self.assertIsNone(self.idle[0].run("COMMIT").refusal)
        self.assertIsNone(writer.answers[-1].refusal)

    def test_an_aborted_one_is_reported_at_the_next_statement(self):
        self.harness.clock.advance(0.6)
        self.harness.client("orders").run("WRITE b 2", seconds=0.2)
        client = self.idle[0]
        self.assertEqual(client.run("READ a").refusal, Refusal.ABORTED)
        self.assertEqual(client.session.state, SessionState.FAILED)
        self.assertIsNone(client.run("ROLLBACK").refusal)
        self.assertIsNone(client.run("WRITE c 3", seconds=0.1).refusal)


class WriteTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()

    def test_a_lost_write_is_in_doubt_and_not_sent_again(self):
        client = self.harness.client("orders")
        self.harness.primary.script = [None]
        client.ask("WRITE a 1")
        self.harness.primary.open_transports()[-1].channel.lost("reset")
        self.assertEqual(client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
        self.harness.clock.advance(2)
        self.assertEqual(self.harness.primary.texts(), ["WRITE a 1"])

    def test_a_write_without_an_answer_is_in_doubt(self):
        client = self.harness.client("orders")
        self.harness.primary.script = [None]
        answer = client.run("WRITE a 1", seconds=1.1)
        self.assertEqual(answer.refusal, Refusal.OUTCOME_UNKNOWN)

    def test_a_refused_write_goes_to_the_new_primary(self):
        client = self.harness.client("orders")
        client.run("WRITE a 1")
        self.harness.primary.primary = False
        self.harness.far.primary = True
        self.assertIsNone(client.run("WRITE b 1", seconds=0.12).refusal)
        self.assertEqual(self.harness.far.texts(), ["WRITE b 1"])

    def test_a_write_is_refused_while_it_could_still_be_in_time_elsewhere(self):
        client = self.harness.client("orders")
        self.harness.primary.primary = False
        answer = client.run("WRITE a 1", seconds=0.36)
        self.assertIn(answer.refusal, NO_EFFECT_REFUSALS)
        self.assertEqual(self.harness.primary.texts(), ["WRITE a 1"])


class TransactionTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.client = self.harness.client("orders")

    def test_statements_share_a_connection_that_nobody_else_gets(self):
        other = self.harness.client("orders")
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        other.run("BEGIN")
        other.run("WRITE b 1")
        self.client.run("READ a")
        self.client.run("COMMIT")
        by_connection = {}
        for number, command in self.harness.primary.ran:
            if command.request_id:
                by_connection.setdefault(number, []).append(command.text)
        self.assertIn(["WRITE a 1", "READ a", "COMMIT"], by_connection.values())
        self.assertIn(["WRITE b 1"], by_connection.values())

    def test_a_read_is_never_sent_behind_an_unanswered_begin(self):
        self.harness.primary.primary = False
        self.client.run("BEGIN")
        self.client.run("READ a", seconds=0.4)
        self.assertEqual([t for m in self.harness.members for t in m.texts()], [])

    def test_a_lost_connection_before_the_commit_aborts(self):
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        self.harness.primary.open_transports()[-1].channel.lost("reset")
        self.assertEqual(self.client.run("READ a").refusal, Refusal.ABORTED)
        self.assertIs(self.client.session.state, SessionState.FAILED)
        self.assertEqual(self.client.run("READ a").refusal, Refusal.INVALID)
        self.assertIsNone(self.client.run("ROLLBACK").refusal)

    def test_a_lost_commit_is_in_doubt_if_something_was_written(self):
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        self.harness.primary.script = [None]
        self.client.ask("COMMIT")
        self.harness.primary.open_transports()[-1].channel.lost("reset")
        self.assertEqual(self.client.answers[-1].refusal, Refusal.OUTCOME_UNKNOWN)
        self.assertIs(self.client.session.state, SessionState.IDLE)

    def test_a_lost_commit_without_writes_is_aborted(self):
        self.client.run("BEGIN")
        self.client.run("READ a")
        self.harness.primary.script = [None]
        self.client.ask("COMMIT")
        self.harness.primary.open_transports()[-1].channel.lost("reset")
        self.assertEqual(self.client.answers[-1].refusal, Refusal.ABORTED)

    def test_a_rolled_back_connection_is_used_again(self):
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        self.client.run("ROLLBACK")
        opened = len(self.harness.primary.transports)
        self.client.run("WRITE b 1")
        self.assertEqual(len(self.harness.primary.transports), opened)

    def test_an_idle_transaction_is_aborted_and_reported_at_the_next_statement(self):
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        self.harness.clock.advance(3.5)
        self.assertEqual(len(self.client.answers), 2)
        self.assertEqual(self.client.run("COMMIT").refusal, Refusal.ABORTED)
        self.assertNotIn("COMMIT", self.harness.primary.texts())

    def test_a_write_in_a_transaction_that_only_reads_is_refused_wherever_it_runs(self):
        # Regression: at a primary the write was sent, and ran.
        self.harness.near.zone = self.harness.far.zone = "z"
        self.harness.announce(2)
        self.client.run("BEGIN READ")
        self.client.run("READ a")
        self.assertEqual(self.client.run("WRITE a 1").refusal, Refusal.NOT_PRIMARY)
        self.assertIs(self.client.session.state, SessionState.FAILED)
        self.assertNotIn("WRITE a 1", [t for m in self.harness.members for t in m.texts()])

    def test_closing_the_session_rolls_back(self):
        self.client.run("BEGIN")
        self.client.run("WRITE a 1")
        self.client.session.close()
        self.assertIs(self.harness.primary.ran[-1][1].kind, CommandKind.ROLLBACK)

    def test_a_commit_after_a_failure_is_refused(self):
        self.client.run("BEGIN")
        self.harness.primary.script = [Answer(refusal=Refusal.FAILED, message="x")]
        self.client.run("WRITE a 1")
        self.assertEqual(self.client.run("COMMIT").refusal, Refusal.ABORTED)
        self.assertNotIn("COMMIT", self.harness.primary.texts())


class SessionStateTest(unittest.TestCase):
    def setUp(self):
        self.harness = GatewayHarness()
        self.harness.configure(2, connections=9)

    def near_transport(self):
        return self.harness.near.open_transports()[-1]

    def test_values_are_set_on_the_connection_before_the_statement(self):
        client = self.harness.client("reports")
        client.run("SET zone x")
        client.run("READ a")
        self.assertEqual(self.near_transport().values, {"zone": "x"})

    def test_values_do_not_leak_into_another_session(self):
        first, second = self.harness.client("reports"), self.harness.client("reports")
        first.run("SET zone x")
        first.run("READ a")
        second.run("READ b")
        self.assertEqual(self.near_transport().values, {})
        first.run("READ c")
        self.assertEqual(self.near_transport().values, {"zone": "x"})

    def test_sessions_may_use_the_same_prepared_name(self):
        first, second = self.harness.client("reports"), self.harness.client("reports")
        first.run("PREPARE s READ one")
        second.run("PREPARE s READ two")
        first.run("EXECUTE s a")
        second.run("EXECUTE s b")
        shapes = self.near_transport().prepared
        executed = [text.split(" ") for text in self.harness.near.texts()]
        self.assertEqual([shapes[name] for name, _ in executed], ["READ one", "READ two"])

    def test_a_name_prepared_again_uses_the_new_statement(self):
        client = self.harness.client("reports")
        client.run("PREPARE s READ one")
        client.run("EXECUTE s a")
        client.run("PREPARE s READ two")
        client.run("EXECUTE s b")
        name = self.harness.near.texts()[-1].split(" ")[0]
        self.assertEqual(self.near_transport().prepared[name], "READ two")

    def test_an_unknown_name_is_refused(self):
        answer = self.harness.client("reports").run("EXECUTE s a")
        self.assertEqual(answer.refusal, Refusal.UNKNOWN_NAME)

    def test_a_removed_route_takes_effect_after_the_transaction(self):
        client = self.harness.client("orders")
        client.run("BEGIN")
        client.run("WRITE a 1")
        self.harness.configure(3, without=("orders",))
        self.assertIsNone(client.run("COMMIT").refusal)
        self.assertEqual(client.run("READ a").refusal, Refusal.UNKNOWN_DATABASE)

    def test_an_older_configuration_is_ignored(self):
        self.harness.configure(1, without=("orders",))
        self.assertIsNone(self.harness.client("orders").run("READ a").refusal)


class ConnectionTest(unittest.TestCase):
    def test_idle_sessions_hold_no_connection(self):
        harness = GatewayHarness()
        for _ in range(500):
            harness.client("orders")
        self.assertEqual(sum(len(member.transports) for member in harness.members), 0)

    def test_statements_wait_for_a_connection_and_the_limit_holds(self):
        harness = GatewayHarness()
        harness.configure(2, connections=9)
        clients = [harness.client("orders") for _ in range(6)]
        for client in clients:
            client.run("BEGIN")
        for client in clients:
            client.ask("WRITE a 1")
        pool = harness.gateway.services["db"].pools["m1"]
        self.assertEqual(pool.connections.count, pool.connections.limit)
        for client in clients:
            if len(client.answers) == 2:
                client.run("COMMIT")
        self.assertTrue(all(len(client.answers) >= 2 for client in clients))

    def test_unneeded_connections_are_closed_except_one(self):
        # Regression: idle connections of failed gateways used up the limits of members.
        harness = GatewayHarness()
        clients = [harness.client("orders") for _ in range(4)]
        for client in clients:
            client.run("BEGIN")
            client.run("WRITE a 1")
        for client in clients:
            client.run("ROLLBACK")
        harness.clock.advance(2.5)
        self.assertEqual(harness.gateway.services["db"].pools["m1"].connections.count, 1)

    def test_a_member_without_free_connections_is_skipped(self):
        harness = GatewayHarness()
        harness.near.refuse_start = Refusal.TOO_MANY_CONNECTIONS
        client = harness.client("reports")
        self.assertIsNone(client.run("READ a").refusal)
        self.assertEqual(harness.near.texts(), [])
