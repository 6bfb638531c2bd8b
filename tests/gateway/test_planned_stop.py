"""Tests the phases of a graceful stop."""

import unittest

from rowanrail.gateway.planned_stop import StopPhase, stop_phase


class StopPhaseTest(unittest.TestCase):
    def test_clients_are_accepted_at_first(self):
        for is_busy in (True, False):
            self.assertIs(stop_phase(3.69, 10.0, is_busy), StopPhase.LEAVING)

    def test_it_ends_as_soon_as_nothing_runs(self):
        self.assertIs(stop_phase(3.7, 10.0, False), StopPhase.OVER)

    def test_transactions_continue_for_half_of_the_time(self):
        self.assertIs(stop_phase(5.0, 10.0, True), StopPhase.FINISHING)
        self.assertIs(stop_phase(5.01, 10.0, True), StopPhase.ABORTING)

    def test_everything_ends_at_three_quarters_of_the_time(self):
        self.assertIs(stop_phase(7.49, 10.0, True), StopPhase.ABORTING)
        self.assertIs(stop_phase(7.5, 10.0, True), StopPhase.OVER)
