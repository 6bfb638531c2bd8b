"""Selection of the groups that a proxy watches."""

import asyncio
import random
import unittest
from unittest import mock

from rowanrail.kernel.registry import Registry
from rowanrail.sql_proxy import group_polling
from rowanrail.sql_proxy.group_polling import ALWAYS_WATCHED_GROUPS
from rowanrail.sql_proxy.group_table import GroupTable
from tests.support.stubs import ZONES, StubDriver, configuration

GROUPS = 40


class TestWatchedGroups(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = GroupTable(
            ZONES[0], {}, StubDriver(), Registry(), random.Random(1), lambda: 0.0
        )
        self.addCleanup(self.table.close)
        self.specs = configuration(GROUPS).configuration.groups
        self.table.apply(self.specs, [])

    def watched(self):
        return [services.spec.name for services in self.table.running()]

    async def test_the_first_groups_and_those_in_use(self):
        self.assertEqual(len(self.watched()), ALWAYS_WATCHED_GROUPS)
        self.assertIsNotNone(self.table.find("database30"))
        self.assertIn("group30", self.watched())
        self.assertIsNone(self.table.find("nothing"))

    async def test_unused_groups_are_dropped_and_come_back(self):
        self.table.find("database30")
        with mock.patch.object(group_polling, "UNUSED_GROUP_SECONDS", -1.0):
            self.table._drop_unused(self.now())
        self.assertEqual(len(self.watched()), ALWAYS_WATCHED_GROUPS)
        self.assertIsNotNone(self.table.find("database30"))

    async def test_a_group_shared_by_many_proxies_is_watched_only_by_those_who_use_it(self):
        self.table.find("database1")
        self.table.set_proxy_counts({"group0": 11, "group1": 11, "group2": 10})
        for services in self.table.running():
            if services.spec.name != "group1":
                services.used_at -= 2 * group_polling.UNUSED_GROUP_SECONDS
        self.table._drop_unused(self.now())
        self.assertNotIn("group0", self.watched())
        self.assertIn("group1", self.watched())
        self.assertIn("group2", self.watched())
        self.table.set_proxy_counts({"group1": 11})
        self.table.apply(self.specs, [])
        self.assertNotIn("group0", self.watched())

    def now(self):
        return asyncio.get_running_loop().time()
