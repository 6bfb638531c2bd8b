"""How a member's weight falls and comes back."""

import unittest

from rowanrail.scheduling.member_weight import (
    DEGRADATION_MEMORY_MS,
    MIN_WEIGHT,
    FailureKind,
    MemberWeight,
)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.health = MemberWeight()
        self.now = 0.0

    def fall(self):
        while not self.health.is_degraded:
            self.health.note_failure(FailureKind.SILENCE, self.now)

    def seconds_to_return(self):
        """Probe each second until the member is back."""
        seconds = 0
        while self.health.is_degraded:
            seconds += 1
            self.now += 1000
            self.health.note_probe_answered(self.now)
        return seconds

    def test_one_error_may_be_chance(self):
        self.health.note_failure(FailureKind.ERROR, 0)
        self.assertFalse(self.health.is_degraded)
        self.assertGreater(self.health.weight.value, 0.5)

    def test_two_silences_are_not(self):
        for _ in range(2):
            self.health.note_failure(FailureKind.SILENCE, 0)
        self.assertTrue(self.health.is_degraded)
        self.assertEqual(self.health.weight.reason, "silence")

    def test_a_member_keeps_some_weight_in_case_all_others_are_worse(self):
        for _ in range(100):
            self.health.note_failure(FailureKind.SILENCE, 0)
        self.assertEqual(self.health.weight.value, MIN_WEIGHT)

    def test_the_first_return_takes_seconds(self):
        self.fall()
        self.assertLessEqual(self.seconds_to_return(), 4)

    def test_each_fall_makes_the_return_slower_up_to_a_bound(self):
        times = []
        for _ in range(6):
            self.fall()
            times.append(self.seconds_to_return())
        self.assertGreater(times[1], times[0])
        self.assertGreater(times[2], times[1])
        self.assertLessEqual(max(times), 30)

    def test_falls_of_long_ago_are_forgotten(self):
        self.fall()
        self.seconds_to_return()
        self.now += DEGRADATION_MEMORY_MS
        self.fall()
        self.assertLessEqual(self.seconds_to_return(), 4)

    def test_a_well_member_is_not_probed(self):
        self.assertFalse(self.health.is_probe_due(5000))

    def test_a_member_in_trouble_is_probed_once_a_second(self):
        self.fall()
        probes = 0
        for now in range(0, 10_000, 50):
            if self.health.is_probe_due(now):
                self.health.note_probe_sent(now)
                probes += 1
        self.assertEqual(probes, 10)

    def test_many_gateways_share_the_rate_of_probes(self):
        self.fall()
        self.health.note_probe_sent(0)
        self.assertFalse(self.health.is_probe_due(4000, gateways=200))
        self.assertTrue(self.health.is_probe_due(5000, gateways=200))
