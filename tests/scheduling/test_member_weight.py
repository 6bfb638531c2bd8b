"""Loss and recovery of a member's weight."""

import unittest

from rowanrail.scheduling.member_weight import (
    DEGRADATION_MEMORY_MS,
    MIN_WEIGHT,
    FailureKind,
    MemberWeight,
)


class MemberWeightTest(unittest.TestCase):
    def setUp(self):
        self.member_weight = MemberWeight()
        self.now = 0.0

    def degrade(self):
        while not self.member_weight.is_degraded:
            self.member_weight.note_failure(FailureKind.SILENCE, self.now)

    def seconds_to_recover(self):
        """Probe each second until the member has recovered."""
        seconds = 0
        while self.member_weight.is_degraded:
            seconds += 1
            self.now += 1000
            self.member_weight.note_probe_answered(self.now)
        return seconds

    def test_one_error_does_not_degrade(self):
        self.member_weight.note_failure(FailureKind.ERROR, 0)
        self.assertFalse(self.member_weight.is_degraded)
        self.assertGreater(self.member_weight.weight.value, 0.5)

    def test_two_missing_answers_degrade(self):
        for _ in range(2):
            self.member_weight.note_failure(FailureKind.SILENCE, 0)
        self.assertTrue(self.member_weight.is_degraded)
        self.assertEqual(self.member_weight.weight.reason, "silence")

    def test_the_weight_has_a_lower_bound(self):
        for _ in range(100):
            self.member_weight.note_failure(FailureKind.SILENCE, 0)
        self.assertEqual(self.member_weight.weight.value, MIN_WEIGHT)

    def test_the_first_recovery_takes_seconds(self):
        self.degrade()
        self.assertLessEqual(self.seconds_to_recover(), 4)

    def test_each_degradation_slows_down_the_recovery_up_to_a_bound(self):
        times = []
        for _ in range(6):
            self.degrade()
            times.append(self.seconds_to_recover())
        self.assertGreater(times[1], times[0])
        self.assertGreater(times[2], times[1])
        self.assertLessEqual(max(times), 30)

    def test_old_degradations_are_forgotten(self):
        self.degrade()
        self.seconds_to_recover()
        self.now += DEGRADATION_MEMORY_MS
        self.degrade()
        self.assertLessEqual(self.seconds_to_recover(), 4)

    def test_a_member_with_full_weight_is_not_probed(self):
        self.assertFalse(self.member_weight.is_probe_due(5000))

    def test_a_degraded_member_is_probed_once_per_second(self):
        self.degrade()
        probes = 0
        for now in range(0, 10_000, 50):
            if self.member_weight.is_probe_due(now):
                self.member_weight.note_probe_sent(now)
                probes += 1
        self.assertEqual(probes, 10)

    def test_gateways_share_the_rate_of_probes(self):
        self.degrade()
        self.member_weight.note_probe_sent(0)
        self.assertFalse(self.member_weight.is_probe_due(4000, gateways=200))
        self.assertTrue(self.member_weight.is_probe_due(5000, gateways=200))
