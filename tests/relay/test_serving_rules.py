"""What a holder does with a statement that another gateway sent."""

import itertools
import unittest

from rowanrail.gateway.relay.serving_rules import Arrival, judge_arrival

BOTH = (False, True)


class ArrivalTest(unittest.TestCase):
    def test_a_transaction_that_was_ended_is_never_begun_in_the_middle(self):
        for is_admitted, is_stopping in itertools.product(BOTH, BOTH):
            self.assertEqual(judge_arrival(False, False, is_admitted, is_stopping), Arrival.ENDED)

    def test_nothing_runs_for_a_withdrawn_key(self):
        for is_open, is_stopping in itertools.product(BOTH, BOTH):
            verdict = judge_arrival(is_open, True, False, is_stopping)
            self.assertEqual(verdict, Arrival.DENIED)
        self.assertEqual(judge_arrival(True, False, False, False), Arrival.DENIED)

    def test_during_a_stop_open_transactions_go_on_and_nothing_begins(self):
        for begins in BOTH:
            self.assertEqual(judge_arrival(True, begins, True, True), Arrival.RUN)
        self.assertEqual(judge_arrival(False, True, True, True), Arrival.NOT_SERVED)

    def test_all_else_runs(self):
        for is_open, begins in ((False, True), (True, True), (True, False)):
            self.assertEqual(judge_arrival(is_open, begins, True, False), Arrival.RUN)
