"""Metrics of rejected statements, and the bound on their label values."""

import unittest

from rowanrail.kernel.metrics import Metrics


class RejectionMetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics("gw", list)

    def text(self):
        return self.metrics.render().decode()

    def test_rejections_are_counted_by_cause_and_urgency(self):
        self.metrics.record_rejection("crowded", 0, 350.0)
        self.metrics.record_rejection("crowded", 0, 450.0)
        self.assertIn('gw_turned_away_total{cause="crowded",urgency="0"} 2.0', self.text())

    def test_the_number_of_urgency_labels_is_bounded(self):
        for urgency in range(-1, 200):
            self.metrics.record_rejection("hopeless", urgency, 100.0)
        self.assertEqual(self.text().count('gw_turned_away_total{cause="hopeless"'), 4)

    def test_retry_delays_are_observed(self):
        self.metrics.record_rejection("crowded", 1, 350.0)
        self.assertIn('gw_return_seconds_bucket{cause="crowded",le="0.4"} 1.0', self.text())
        self.assertIn('gw_return_seconds_bucket{cause="crowded",le="0.2"} 0.0', self.text())
