"""Failure detection of other gateways, and the backoff of their links."""

import unittest

from rowanrail.gateway.relay.liveness import (
    INITIAL_BACKOFF_MS,
    LOST_AFTER_MS,
    MAX_BACKOFF_MS,
    MAX_SUSPECT_AFTER_MS,
    PING_AFTER_MS,
    SUSPECT_AFTER_MS,
    Backoff,
    LivenessAction,
    SuspicionLimit,
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


def times_suspected(delays: list[float]) -> int:
    """Return how many of the answers, one a second, came after the gateway was suspected."""
    limit, suspected = SuspicionLimit(), 0
    for second, delay in enumerate(delays):
        now = second * 1000.0
        action = assess_liveness(delay + PING_AFTER_MS, delay, limit.ms(now))
        suspected += action is LivenessAction.SUSPECT
        limit.note_delay(delay, now)
    return suspected


class SuspicionLimitTest(unittest.TestCase):
    def test_a_healthy_gateway_behind_a_lossy_path_is_suspected_once(self):
        """A lost packet is sent again after 200 to 300 ms; here each seventh answer."""
        delays = [40.0 if second % 7 else 240.0 + second for second in range(60)]
        self.assertEqual(times_suspected(delays), 1)

    def test_jitter_raises_no_suspicion(self):
        self.assertEqual(times_suspected([40.0 * (1 + 0.3 * (n % 3)) for n in range(60)]), 0)

    def test_a_path_without_delays_keeps_the_usual_limit(self):
        limit = SuspicionLimit()
        limit.note_delay(45.0, 0.0)
        self.assertEqual(limit.ms(0.0), SUSPECT_AFTER_MS)

    def test_the_limit_stays_below_the_loss_of_the_link(self):
        limit = SuspicionLimit()
        limit.note_delay(LOST_AFTER_MS, 0.0)
        self.assertEqual(limit.ms(0.0), MAX_SUSPECT_AFTER_MS)
        self.assertLess(MAX_SUSPECT_AFTER_MS, LOST_AFTER_MS)


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
