"""Decisions of a holder about statements that another gateway sent."""

import itertools
import unittest

from rowanrail.gateway.relay.serving_rules import ArrivalDecision, decide_arrival

BOTH = (False, True)


class ArrivalTest(unittest.TestCase):
    def test_a_transaction_that_was_ended_is_never_resumed(self):
        for is_admitted, is_stopping in itertools.product(BOTH, BOTH):
            self.assertEqual(
                decide_arrival(False, False, is_admitted, is_stopping), ArrivalDecision.ENDED
            )

    def test_nothing_runs_for_a_revoked_key(self):
        for is_open, is_stopping in itertools.product(BOTH, BOTH):
            decision = decide_arrival(is_open, True, False, is_stopping)
            self.assertEqual(decision, ArrivalDecision.DENIED)
        self.assertEqual(decide_arrival(True, False, False, False), ArrivalDecision.DENIED)

    def test_during_a_stop_open_transactions_go_on_and_nothing_begins(self):
        for begins in BOTH:
            self.assertEqual(decide_arrival(True, begins, True, True), ArrivalDecision.RUN)
        self.assertEqual(decide_arrival(False, True, True, True), ArrivalDecision.NOT_SERVED)

    def test_all_else_runs(self):
        for is_open, begins in ((False, True), (True, True), (True, False)):
            self.assertEqual(decide_arrival(is_open, begins, True, False), ArrivalDecision.RUN)
