"""What becomes of a statement whose holder is silent, leaves or is lost."""

import unittest

from rowanrail.gateway.relay.forwarding_rules import (
    PLACE_RETRY_MS,
    LostAtHolder,
    PlaceLater,
    PlaceNow,
    Refuse,
    Reject,
    SentStatement,
    after_loss,
    after_not_served,
    after_timeout,
    without_holder,
)
from rowanrail.model.statements import Refusal

READ = SentStatement(in_transaction=False, may_be_kept=False)
WRITE = SentStatement(in_transaction=False, may_be_kept=True)
FIRST = SentStatement(in_transaction=True, may_be_kept=False)
LATER = SentStatement(in_transaction=True, may_be_kept=False, has_run=True)
COMMIT = SentStatement(in_transaction=True, may_be_kept=True, has_run=True)


class NotServedTest(unittest.TestCase):
    def test_what_begins_may_begin_elsewhere(self):
        for sent in (READ, WRITE, FIRST):
            self.assertEqual(after_not_served(sent), PlaceLater())

    def test_a_transaction_of_which_something_ran_is_aborted(self):
        for sent in (LATER, COMMIT):
            self.assertEqual(after_not_served(sent), Refuse(Refusal.ABORTED))


class LossTest(unittest.TestCase):
    def test_only_a_read_on_its_own_runs_again(self):
        verdicts = {sent: after_loss(sent) for sent in (READ, WRITE, FIRST, LATER, COMMIT)}
        again = [sent for sent, verdict in verdicts.items() if verdict == PlaceNow()]
        self.assertEqual(again, [READ])

    def test_a_write_and_a_commit_may_be_kept_and_nothing_else(self):
        self.assertEqual(after_loss(WRITE), LostAtHolder(may_be_kept=True))
        self.assertEqual(after_loss(COMMIT), LostAtHolder(may_be_kept=True))
        self.assertEqual(after_loss(FIRST), LostAtHolder(may_be_kept=False))
        self.assertEqual(after_loss(LATER), LostAtHolder(may_be_kept=False))


class TimeoutTest(unittest.TestCase):
    def test_what_no_holder_has_is_rejected_as_not_run(self):
        for sent in (READ, WRITE, FIRST, LATER, COMMIT):
            self.assertEqual(after_timeout(sent, is_owed=False), Reject())

    def test_what_a_holder_has_is_promised_nothing_that_is_not_certain(self):
        for sent, verdict in (
            (READ, Refuse(Refusal.TIMEOUT)),
            (WRITE, Refuse(Refusal.OUTCOME_UNKNOWN)),
            (LATER, LostAtHolder(may_be_kept=False)),
            (COMMIT, LostAtHolder(may_be_kept=True)),
        ):
            with self.subTest(sent):
                self.assertEqual(after_timeout(sent, is_owed=True), verdict)


class WithoutHolderTest(unittest.TestCase):
    def test_it_waits_while_the_next_try_is_within_its_share_of_the_objective(self):
        last = 1000.0 + 700.0 - PLACE_RETRY_MS
        self.assertEqual(without_holder(last, 1000.0, 1000.0), PlaceLater())
        self.assertEqual(without_holder(last + 1, 1000.0, 1000.0), Reject())
