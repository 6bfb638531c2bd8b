"""The leader's commands to a warming member come on top of those of gateways, so they are few."""

import unittest
from types import SimpleNamespace

import msgspec

from rowanrail.coordination.warm_up_sampling import (
    FAILING_SAMPLE_INTERVAL_MS,
    STATUS_INTERVAL_MS,
    WarmUpSampling,
)
from rowanrail.directory.messages import NO_EVACUATIONS, Evacuations
from rowanrail.model.members import MemberRecord

UNIX_MS = 1e12
WARM = MemberRecord("m1", "db", "m1:1", "a", True, False, 3, 1, start_ms=1)
COLD = msgspec.structs.replace(WARM, instance="m2", start_ms=int(UNIX_MS))


class WarmUpSamplingTest(unittest.TestCase):
    def setUp(self):
        self.clock = SimpleNamespace(now=0.0)
        self.seconds = 60.0
        self.is_failing = False
        members = {record.instance: record for record in (WARM, COLD)}
        self.state = SimpleNamespace(members=members, evacuations=NO_EVACUATIONS)
        self.sampling = WarmUpSampling(
            self.state,
            lambda service: self.seconds,
            lambda service: self.is_failing,
            self.clock,
            lambda: UNIX_MS + self.clock.now,
        )
        self.sampling.update()

    def sample(self, record):
        return self.sampling.may_sample(record) and self.sampling.take_sample(record)

    def test_a_warming_primary_is_sampled_only_while_it_seems_to_fail_and_rarely(self):
        self.assertTrue(self.sample(WARM))
        self.assertFalse(self.sample(COLD))
        self.is_failing = True
        self.assertEqual([self.sample(COLD), self.sample(COLD)], [True, False])
        self.clock.now += FAILING_SAMPLE_INTERVAL_MS
        self.assertTrue(self.sample(COLD))

    def test_statuses_are_asked_at_intervals_while_a_member_warms_up(self):
        ask = self.sampling.may_ask_statuses
        self.assertEqual([ask("db", [WARM, COLD]), ask("db", [WARM, COLD])], [True, False])
        self.assertEqual([ask("other", [WARM]), ask("other", [WARM])], [True, True])
        self.clock.now += STATUS_INTERVAL_MS
        self.assertTrue(ask("db", [WARM, COLD]))

    def test_members_of_a_returned_zone_are_cold(self):
        self.state.evacuations = Evacuations(1, {}, {"a": 5})
        self.sampling.update()
        self.assertFalse(self.sample(WARM))

    def test_without_a_limit_nothing_changes(self):
        self.seconds = 0.0
        self.assertEqual([self.sample(COLD), self.sample(COLD)], [True, True])
        ask = self.sampling.may_ask_statuses
        self.assertEqual([ask("db", [COLD]), ask("db", [COLD])], [True, True])
