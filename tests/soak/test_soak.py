"""A short soak run for CI; ``python -m tests.soak`` runs longer ones."""

import asyncio
import contextlib
import unittest

from tests.soak.run import Soak
from tests.soak.tasks import end_tasks

SECONDS = 60.0
SEED = 3
ACKNOWLEDGED_SECONDS = 30.0
ACKNOWLEDGED_SEED = 2


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_every_rule_holds_under_faults(self):
        soak = Soak(SECONDS, SEED)
        verdict = await soak.run()
        self.assertEqual(verdict.problems, [], soak.fault_log)
        self.assertGreater(verdict.acknowledged, 100)
        self.assertGreater(verdict.reads, 100)
        self.assertGreater(verdict.faults, 3)
        self.assertGreater(soak.linked_proxies, 0, "no gateway had a link to a neighbour")

    # Acknowledged commits were rolled back where only a leaving replica had received them.
    async def test_no_acknowledged_commit_is_lost_while_members_are_replaced(self):
        soak = Soak(ACKNOWLEDGED_SECONDS, ACKNOWLEDGED_SEED, sync_replicas=1)
        verdict = await soak.run()
        self.assertEqual(verdict.problems, [], soak.fault_log)
        self.assertGreater(verdict.acknowledged, 100)


class EndTasksTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_task_that_loses_its_cancellation_is_cancelled_again(self):
        async def lose_one_cancellation():
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(60.0)
            await asyncio.sleep(60.0)

        task = asyncio.ensure_future(lose_one_cancellation())
        await asyncio.sleep(0)
        await asyncio.wait_for(end_tasks([task], seconds=0.01), 5.0)
        self.assertTrue(task.cancelled())
