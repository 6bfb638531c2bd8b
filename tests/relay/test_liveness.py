"""Failure detection of other gateways, and the backoff of their links."""

import unittest

from rowanrail.gateway.relay.liveness import (
    INITIAL_BACKOFF_MS,
    LOST_AFTER_MS,
    MAX_BACKOFF_MS,
    PING_AFTER_MS,
    SUSPECT_AFTER_MS,
    Backoff,
    LivenessAction,
    assess_liveness,
)


class AssessLivenessTest(unittest.TestCase):
    def test_silence_alone_only_causes_a_ping(self):
        self.assertEqual(assess_liveness(PING_AFTER_MS - 1, None), LivenessAction.WAIT)
        for since_heard_ms in (PING_AFTER_MS, 60_000.0):
            self.assertEqual(assess_liveness(since_heard_ms, None), LivenessAction.PING)

    def test_an_unanswered_ping_leads_to_suspicion_then_loss(self):
        for since_ping_ms, decision in (
            (0.0, LivenessAction.WAIT),
            (SUSPECT_AFTER_MS - 1, LivenessAction.WAIT),
            (SUSPECT_AFTER_MS, LivenessAction.SUSPECT),
            (LOST_AFTER_MS - 1, LivenessAction.SUSPECT),
            (LOST_AFTER_MS, LivenessAction.LOST),
        ):
            with self.subTest(since_ping_ms):
                self.assertEqual(assess_liveness(60_000.0, since_ping_ms), decision)

    def test_a_remote_gateway_throttled_by_its_cpu_quota_is_not_suspected(self):
        round_trip, stopped = 50.0, 100.0
        self.assertEqual(assess_liveness(300.0, round_trip + stopped - 1), LivenessAction.WAIT)


class BackoffTest(unittest.TestCase):
    def test_a_link_may_be_opened_at_first(self):
        self.assertTrue(Backoff().is_over(0.0))

    def test_each_loss_doubles_the_pause_up_to_the_longest(self):
        backoff, now, pauses = Backoff(), 0.0, []
        for _ in range(6):
            backoff.note_loss(now)
            pause = 0.0
            while not backoff.is_over(now + pause):
                pause += 100.0
            pauses.append(pause)
            now += pause
        self.assertEqual(pauses, [200.0, 400.0, 800.0, 1600.0, 2000.0, 2000.0])
        self.assertEqual((pauses[0], pauses[-1]), (INITIAL_BACKOFF_MS, MAX_BACKOFF_MS))

    def test_an_answer_makes_the_next_pause_short_but_ends_none(self):
        backoff = Backoff()
        backoff.note_loss(0.0)
        backoff.note_loss(200.0)
        self.assertTrue(backoff.note_answer())
        self.assertFalse(backoff.note_answer())
        self.assertFalse(backoff.is_over(599.0))
        backoff.note_loss(600.0)
        self.assertTrue(backoff.is_over(800.0))
