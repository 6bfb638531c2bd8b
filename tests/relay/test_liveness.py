"""When another gateway is suspected and lost, and when its link is opened again."""

import unittest

from rowanrail.gateway.relay.liveness import (
    FIRST_BACKOFF_MS,
    LONGEST_BACKOFF_MS,
    LOST_AFTER_MS,
    PING_AFTER_MS,
    SUSPECT_AFTER_MS,
    Backoff,
    Silence,
    judge_silence,
)


class SilenceTest(unittest.TestCase):
    def test_silence_alone_is_only_a_reason_to_ping(self):
        self.assertEqual(judge_silence(PING_AFTER_MS - 1, None), Silence.BEARABLE)
        for heard_ago in (PING_AFTER_MS, 60_000.0):
            self.assertEqual(judge_silence(heard_ago, None), Silence.PING)

    def test_an_unanswered_ping_is_suspicion_then_loss(self):
        for pinged_ago, verdict in (
            (0.0, Silence.BEARABLE),
            (SUSPECT_AFTER_MS - 1, Silence.BEARABLE),
            (SUSPECT_AFTER_MS, Silence.SUSPECT),
            (LOST_AFTER_MS - 1, Silence.SUSPECT),
            (LOST_AFTER_MS, Silence.LOST),
        ):
            with self.subTest(pinged_ago):
                self.assertEqual(judge_silence(60_000.0, pinged_ago), verdict)

    def test_a_far_gateway_without_processor_time_is_not_suspected(self):
        round_trip, stopped = 50.0, 100.0
        self.assertEqual(judge_silence(300.0, round_trip + stopped - 1), Silence.BEARABLE)


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
        self.assertEqual((pauses[0], pauses[-1]), (FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS))

    def test_an_answer_makes_the_next_pause_short_but_ends_none(self):
        backoff = Backoff()
        backoff.note_loss(0.0)
        backoff.note_loss(200.0)
        self.assertTrue(backoff.note_answer())
        self.assertFalse(backoff.note_answer())
        self.assertFalse(backoff.is_over(599.0))
        backoff.note_loss(600.0)
        self.assertTrue(backoff.is_over(800.0))
