"""Members that take work and leave it unanswered, seen from transactions that only read."""

import unittest

from rowanrail.model.statements import CommandKind, Refusal
from tests.support.gateway import PlayedGateway


class SilentMemberTest(unittest.TestCase):
    """Found on hb-subrail-large, scale-2: a member hung for 6.6 s.

    Single reads went to another member after 0.4 s. Transactions stayed for their route's whole
    time, were aborted, and their successors went to the same member again.
    """

    def setUp(self):
        self.played = PlayedGateway()
        self.played.client("reports").run("READ warm")
        self.client = self.played.client("reports")
        self.client.run("BEGIN READ")

    def test_a_first_read_goes_to_another_member(self):
        self.played.near.silent = True
        answer = self.client.run("READ a", seconds=0.45)
        self.assertIsNone(answer.refusal)
        self.assertNotIn("READ a", self.played.near.texts())  # its BEGIN was never answered

    def test_a_first_read_whose_begin_was_answered_is_aborted_in_time_to_begin_again(self):
        # Not moved: it may have run, and the others must run on the connection where it did.
        self.played.near.script = [None]
        answer = self.client.run("READ a", seconds=0.45)
        self.assertEqual(answer.refusal, Refusal.ABORTED)
        others = [t for m in (self.played.primary, self.played.far) for t in m.texts()]
        self.assertEqual(others, [])

    def test_the_log_tells_at_how_many_members_it_was_tried(self):
        self.played.near.silent = True
        self.client.run("READ a", seconds=0.45)
        line = [line for line in self.played.logs() if '"event":300' in line][-1]
        self.assertIn('"attempts":2', line)

    def test_a_later_read_is_aborted_in_time_for_the_client_to_begin_again(self):
        self.assertIsNone(self.client.run("READ a").refusal)
        self.played.near.silent = True
        answer = self.client.run("READ b", seconds=0.45)
        self.assertEqual(answer.refusal, Refusal.ABORTED)

    def test_the_next_transaction_keeps_away_from_it(self):
        self.played.near.silent = True
        self.client.run("READ a", seconds=0.45)
        follower = self.played.client("reports")
        follower.run("BEGIN READ")
        self.assertIsNone(follower.run("READ b", seconds=0.01).refusal)

    def test_a_transaction_that_writes_is_not_begun_again_elsewhere(self):
        client = self.played.client("orders")
        client.run("BEGIN")
        self.played.primary.silent = True
        answer = client.run("READ a", seconds=1.1)
        self.assertIn(answer.refusal, (Refusal.ABORTED, Refusal.BUSY))
        begun = [c for m in (self.played.near, self.played.far) for _, c in m.ran]
        self.assertNotIn(CommandKind.STATEMENT, [c.kind for c in begun if c.text == "READ a"])


class OpeningTest(unittest.TestCase):
    def test_a_member_is_not_blamed_for_the_opening_at_another(self):
        # Found by reading: the 0.15 s for a first connection to one member went on at the next,
        # where the read stood in line; that member counted as silent then.
        played = PlayedGateway()
        played.client("orders").run("WRITE a 1", seconds=0.1)
        played.far.position = played.near.position = played.primary.position
        played.announce(2, leaving=("m1", "m2"))
        near, far = (played.gateway.services["db"].pools[name] for name in ("m2", "m3"))
        played.far.script = [None] * 100
        for _ in range(far.connections.limit):
            played.client("reports").ask("READ a")
            played.clock.advance(0.004)
        played.announce(3, leaving=("m1",))
        played.near.silent = True
        played.client("reports").ask("READ b")
        played.clock.advance(0.05)
        for channel in list(near.connections.openings):
            channel.lost("refused")
        self.assertGreater(len(far.queue), 0)
        played.clock.advance(0.12)
        self.assertFalse(far.is_failing)
