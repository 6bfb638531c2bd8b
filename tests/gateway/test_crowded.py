"""Members that have no connection left, as after a restart of all gateways."""

import unittest

from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Refusal, SessionState
from tests.support.gateway import PlayedGateway

DONE = Answer(rows=[b"row"], signature=b"sig", position=Position(1, 12), state=SessionState.IDLE)
FULL = Refusal.TOO_MANY_CONNECTIONS


class CrowdedPrimaryTest(unittest.TestCase):
    def setUp(self):
        self.played = PlayedGateway()

    def health(self):
        (health,) = self.played.gateway.health()
        return health

    def test_a_primary_with_no_connection_left_is_not_lost(self):
        # Found after a loss of all power: three primaries that were merely full were replaced,
        # and with them commits that had been acknowledged.
        self.played.primary.refuse_start = FULL
        for text in ("READ a", "WRITE a 1"):
            self.played.client("orders").ask(text)
        self.played.clock.advance(1.5)
        self.assertEqual(self.health().failing_for_ms, 0)

    def test_what_waits_for_a_full_primary_is_refused_before_it_is_late(self):
        self.played.primary.refuse_start = FULL
        answer = self.played.client("orders").run("READ a", seconds=0.4)
        self.assertEqual(answer.refusal, Refusal.BUSY)
        self.assertIn("no connection left", answer.message)

    def test_samples_come_on_a_connection_that_is_open_for_statements(self):
        self.played.client("orders").run("WRITE a 1", seconds=0.1)
        self.played.primary.refuse_start = FULL
        self.played.clock.advance(2.0)
        answer = self.played.client("orders").run("READ a", seconds=0.1)
        self.assertIsNone(answer.refusal)

    def test_a_calm_service_needs_one_connection_to_its_primary(self):
        for _ in range(5):
            self.played.client("orders").run("READ a", seconds=0.1)
            self.played.client("orders").run("WRITE a 1", seconds=0.1)
            self.played.clock.advance(0.5)
        self.assertEqual(len(self.played.primary.open_wires()), 1)

    def test_a_sample_comes_though_all_connections_are_in_use(self):
        self.played.configure(2, connections=18)
        clients = [self.played.client("orders") for _ in range(8)]
        for client in clients:
            client.run("BEGIN")
            client.run("READ a", seconds=0.05)
        self.assertIsNone(self.played.client("reports").run("READ b", seconds=0.1).refusal)

    def test_who_waits_at_a_full_member_gets_the_connection_that_a_transaction_gives_back(self):
        self.played.configure(2, connections=12)  # four for a gateway
        holders = [self.played.client("orders") for _ in range(2)]
        for client in holders:
            client.run("BEGIN")
            client.run("WRITE a 1", seconds=0.05)
        self.played.primary.refuse_start = FULL
        waiting = self.played.client("orders")
        waiting.ask("WRITE b 1")
        self.played.clock.advance(0.01)
        self.assertEqual(waiting.answers, [])
        holders[0].run("COMMIT")
        self.assertIsNone(waiting.answers[-1].refusal)

    def test_a_write_that_proves_the_primary_shows_that_it_is_not_full(self):
        # Found by reading: what waited for another reason was told that the primary was full.
        tracker = self.played.gateway.services["db"].primary
        client = self.played.client("orders")
        self.played.primary.refuse_start = FULL
        client.run("WRITE a 1", seconds=0.6)
        self.assertTrue(tracker.is_at_connection_limit)
        self.played.primary.refuse_start = None
        tracker.note_proof("m1", self.played.clock.now, Position(1, 12))
        self.assertFalse(tracker.is_at_connection_limit)

    def test_a_borrowed_connection_that_is_silent_counts_against_the_primary(self):
        self.played.client("orders").run("WRITE a 1", seconds=0.1)
        self.played.clock.advance(0.1)
        self.played.primary.silent = True
        self.played.client("orders").ask("READ a")
        self.played.clock.advance(0.5)
        self.assertGreater(self.health().failing_for_ms, 0)
        self.played.primary.silent = False
        self.played.clock.advance(1.0)
        self.assertIsNone(self.played.client("orders").run("READ a", seconds=0.5).refusal)
        self.assertEqual(self.health().failing_for_ms, 0)


class SilentPrimaryTest(unittest.TestCase):
    def test_silence_is_noticed_though_all_connections_are_in_use(self):
        # Found on a day with a crash: a sample stood in line for connections whose statements
        # nobody answered any more, and the loss was noticed 0.9 s after the last proof.
        played = PlayedGateway()
        played.client("orders").run("WRITE a 1", seconds=0.1)
        played.primary.silent = True
        played.client("orders").ask("WRITE b 2")
        played.clock.advance(0.01)
        played.client("orders").ask("READ a")
        played.clock.advance(0.55)
        (health,) = played.gateway.health()
        self.assertGreater(health.failing_for_ms, 0)

    def test_a_primary_that_stays_lost_holds_nobody_up(self):
        # Gateways cut off from a primary for 5 s held each request for 0.3 to 0.6 s, and their
        # clients came too late to the gateways that reached it.
        played = PlayedGateway()
        played.client("orders").run("WRITE a 1", seconds=0.1)
        played.primary.silent = True
        for _ in range(6):
            played.client("orders").ask("READ a")
            played.clock.advance(0.5)
        for text in ("READ b", "WRITE b 2"):
            self.assertEqual(played.client("orders").run(text).refusal, Refusal.BUSY)
        client = played.client("orders")
        client.run("BEGIN")
        self.assertEqual(client.run("READ b").refusal, Refusal.BUSY)
        played.primary.silent = False
        played.clock.advance(1.5)
        self.assertIsNone(played.client("orders").run("WRITE c 3", seconds=0.1).refusal)


class PatientPoolTest(unittest.TestCase):
    def test_a_short_wait_opens_no_further_connection(self):
        # A day of 9 gateways opened 900 connections, most of them for a wait of a few ms.
        played = PlayedGateway()
        first, second = played.client("orders"), played.client("orders")
        first.run("WRITE a 1", seconds=0.1)
        played.primary.script = [None]
        first.ask("WRITE b 2")
        second.ask("WRITE c 3")
        played.clock.advance(0.01)
        played.primary.wires[0].channel.answered(DONE)
        self.assertIsNone(second.answers[-1].refusal)
        self.assertEqual(len(played.primary.wires), 1)

    def test_a_wait_of_an_openings_length_opens_one(self):
        played = PlayedGateway()
        first, second = played.client("orders"), played.client("orders")
        first.run("WRITE a 1", seconds=0.1)
        played.primary.script = [None]
        first.ask("WRITE b 2")
        second.ask("WRITE c 3")
        played.clock.advance(0.06)
        self.assertIsNone(second.answers[-1].refusal)
        self.assertEqual(len(played.primary.wires), 2)
