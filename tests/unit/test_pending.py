"""Pending requests to a node of the replicated log."""

import asyncio
import unittest

from rowanrail.consensus.errors import LeadershipLostError, NotLeaderError, SupersededError
from rowanrail.consensus.messages import Entry, EntryKind
from rowanrail.consensus.pending import PendingRequests


def entry(index, term):
    return Entry(index=index, term=term, kind=EntryKind.COMMAND, data=b"")


class PendingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pending = PendingRequests()

    async def test_proposal_resolves_with_result_of_its_entry(self):
        future = self.pending.wait_entry(entry(7, 2))
        self.assertTrue(self.pending.has_proposals)
        self.pending.resolve_entry(entry(6, 2), "another")
        self.assertFalse(future.done())
        self.pending.resolve_entry(entry(7, 2), "result")
        self.assertEqual(await future, "result")
        self.assertFalse(self.pending.has_proposals)

    async def test_proposal_overwritten_by_another_leader_is_superseded(self):
        future = self.pending.wait_entry(entry(7, 2))
        self.pending.resolve_entry(entry(7, 3), "result")
        with self.assertRaises(SupersededError):
            await future

    async def test_reads_resolve_independently(self):
        first, wanted = self.pending.wait_read()
        second, failed = self.pending.wait_read()
        self.pending.resolve_read(first, 9)
        self.pending.fail_read(second, NotLeaderError("", "read"))
        self.assertEqual(await wanted, 9)
        with self.assertRaises(NotLeaderError):
            await failed

    async def test_discarded_read_is_not_resolved(self):
        token, future = self.pending.wait_read()
        self.pending.discard_read(token)
        self.pending.resolve_read(token, 9)
        self.assertFalse(future.done())

    async def test_wait_for_index_resolves_once_it_is_applied(self):
        near, far = self.pending.wait_applied(3), self.pending.wait_applied(5)
        self.pending.resolve_applied(4)
        self.assertEqual((near.done(), far.done()), (True, False))

    async def test_all_pending_requests_fail_together(self):
        futures = [self.pending.wait_entry(entry(7, 2)), self.pending.wait_read()[1]]
        futures.append(self.pending.wait_applied(9))
        self.pending.fail_all(LeadershipLostError("the node stops", step="propose"))
        failures = await asyncio.gather(*futures, return_exceptions=True)
        self.assertEqual([type(failure) for failure in failures], [LeadershipLostError] * 3)

    async def test_a_given_up_request_is_left_alone(self):
        future = self.pending.wait_entry(entry(7, 2))
        future.cancel()
        self.pending.resolve_entry(entry(7, 2), "result")
        self.pending.fail_all(LeadershipLostError("the node stops", step="propose"))
        self.assertTrue(future.cancelled())
