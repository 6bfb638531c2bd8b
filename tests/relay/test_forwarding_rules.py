"""Decisions about forwarded statements whose holder does not answer, leaves or is lost."""

import unittest

from rowanrail.gateway.relay.forwarding_rules import (
    HOLDER_LOOKUP_INTERVAL_MS,
    LinkLost,
    Refuse,
    RejectNotRun,
    RetryLater,
    RetryNow,
    after_link_loss,
    after_not_served,
    after_timeout,
    without_holder,
)
from rowanrail.gateway.work.attempts import SentRequest
from rowanrail.model.statements import Refusal


class NotServedTest(unittest.TestCase):
    def test_new_work_may_start_at_another_gateway(self):
        self.assertEqual(after_not_served(has_run=False), RetryLater())

    def test_a_transaction_that_has_run_a_statement_is_aborted(self):
        self.assertEqual(after_not_served(has_run=True), Refuse(Refusal.ABORTED))


class LossTest(unittest.TestCase):
    def test_only_a_read_on_its_own_runs_again(self):
        again = [sent for sent in SentRequest if after_link_loss(sent) == RetryNow()]
        self.assertEqual(again, [SentRequest.READ])

    def test_only_a_write_and_a_commit_may_persist(self):
        self.assertEqual(after_link_loss(SentRequest.WRITE), LinkLost(may_persist=True))
        self.assertEqual(after_link_loss(SentRequest.COMMIT), LinkLost(may_persist=True))
        self.assertEqual(after_link_loss(SentRequest.IN_TRANSACTION), LinkLost(may_persist=False))


class TimeoutTest(unittest.TestCase):
    def test_a_statement_without_a_holder_is_rejected_as_not_run(self):
        for sent in SentRequest:
            self.assertEqual(after_timeout(sent, is_pending=False), RejectNotRun())

    def test_a_statement_at_a_holder_is_answered_by_what_is_certain(self):
        for sent, decision in (
            (SentRequest.READ, Refuse(Refusal.TIMEOUT)),
            (SentRequest.WRITE, Refuse(Refusal.OUTCOME_UNKNOWN)),
            (SentRequest.IN_TRANSACTION, LinkLost(may_persist=False)),
            (SentRequest.COMMIT, LinkLost(may_persist=True)),
        ):
            with self.subTest(sent):
                self.assertEqual(after_timeout(sent, is_pending=True), decision)


class WithoutHolderTest(unittest.TestCase):
    def test_it_waits_while_the_next_try_is_within_its_share_of_the_objective(self):
        last = 1000.0 + 700.0 - HOLDER_LOOKUP_INTERVAL_MS
        self.assertEqual(without_holder(last, 1000.0, 1000.0), RetryLater())
        self.assertEqual(without_holder(last + 1, 1000.0, 1000.0), RejectNotRun())
