"""The wait queue of a connection pool: bounds, priorities and immediate refusals."""

import asyncio
import unittest

from rowanrail.kernel.errors import NotRunError
from rowanrail.sql_proxy.policies import LateAnswerDiscard
from rowanrail.sql_proxy.pool import Pool, PoolLimits, Priority
from tests.support.stubs import StubConnection, StubDriver

DEADLINE_SECONDS = 60.0


class TestQueue(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def open_connection():
            return StubConnection(StubDriver(), "m:1")

        self.pool = Pool("m", PoolLimits(1, 1, 2), open_connection, LateAnswerDiscard())
        self.loop = asyncio.get_running_loop()
        self.held = await self.ask(Priority.READ)

    def ask(self, priority):
        deadline = self.loop.time() + DEADLINE_SECONDS
        return asyncio.ensure_future(self.pool.acquire(deadline, priority))

    async def waiting(self, *priorities):
        tasks = [self.ask(priority) for priority in priorities]
        await asyncio.sleep(0)
        return tasks

    async def test_a_full_queue_refuses_at_once_with_spread_times(self):
        tasks = await self.waiting(Priority.READ, Priority.READ)
        times = set()
        for _ in range(4):
            with self.assertRaises(NotRunError) as raised:
                await self.ask(Priority.READ)
            times.add(raised.exception.retry_after_seconds)
        self.assertEqual(len(times), 4)
        self.assertFalse(any(task.done() for task in tasks))

    async def test_a_request_of_higher_priority_displaces_the_last_one(self):
        first, last = await self.waiting(Priority.READ, Priority.READ)
        (write,) = await self.waiting(Priority.WRITE)
        with self.assertRaises(NotRunError):
            await last
        self.pool.release(self.held)
        self.assertIs(await write, self.held)
        self.pool.release(self.held)
        self.assertIs(await first, self.held)

    async def test_a_cancelled_request_leaves_the_queue(self):
        first, second = await self.waiting(Priority.WRITE, Priority.WRITE)
        first.cancel()
        await asyncio.sleep(0)
        self.assertEqual(self.pool.waiting, 1)
        self.pool.release(self.held)
        self.assertIs(await second, self.held)
