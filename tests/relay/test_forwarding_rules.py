"""What becomes of a statement whose holder is silent, leaves or is lost."""

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
    def test_what_begins_may_begin_elsewhere(self):
        self.assertEqual(after_not_served(has_run=False), RetryLater())

    def test_a_transaction_of_which_something_ran_is_aborted(self):
        self.assertEqual(after_not_served(has_run=True), Refuse(Refusal.ABORTED))


class LossTest(unittest.TestCase):
    def test_only_a_read_on_its_own_runs_again(self):
        again = [sent for sent in SentRequest if after_link_loss(sent) == RetryNow()]
        self.assertEqual(again, [SentRequest.READ])

    def test_a_write_and_a_commit_may_be_kept_and_nothing_else(self):
        self.assertEqual(after_link_loss(SentRequest.WRITE), LinkLost(may_persist=True))
        self.assertEqual(after_link_loss(SentRequest.COMMIT), LinkLost(may_persist=True))
        self.assertEqual(after_link_loss(SentRequest.IN_TRANSACTION), LinkLost(may_persist=False))


class TimeoutTest(unittest.TestCase):
    def test_what_no_holder_has_is_rejected_as_not_run(self):
        for sent in SentRequest:
            self.assertEqual(after_timeout(sent, is_owed=False), RejectNotRun())

    def test_what_a_holder_has_is_promised_nothing_that_is_not_certain(self):
        for sent, verdict in (
            (SentRequest.READ, Refuse(Refusal.TIMEOUT)),
            (SentRequest.WRITE, Refuse(Refusal.OUTCOME_UNKNOWN)),
            (SentRequest.IN_TRANSACTION, LinkLost(may_persist=False)),
            (SentRequest.COMMIT, LinkLost(may_persist=True)),
        ):
            with self.subTest(sent):
                self.assertEqual(after_timeout(sent, is_owed=True), verdict)


class WithoutHolderTest(unittest.TestCase):
    def test_it_waits_while_the_next_try_is_within_its_share_of_the_objective(self):
        last = 1000.0 + 700.0 - HOLDER_LOOKUP_INTERVAL_MS
        self.assertEqual(without_holder(last, 1000.0, 1000.0), RetryLater())
        self.assertEqual(without_holder(last + 1, 1000.0, 1000.0), RejectNotRun())
