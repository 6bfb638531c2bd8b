"""Which gateways the log lacks, or holds though they are gone."""

import asyncio
import doctest
import unittest

from rowanrail.coordination import gateway_reconciler
from rowanrail.coordination.commands import SetGateways
from rowanrail.coordination.gateway_reconciler import (
    COMPARE_SECONDS,
    GATEWAY_TIMEOUT_SECONDS,
    GatewayReconciler,
)
from rowanrail.coordination.liveness import FORGET_GATEWAY_SECONDS, Liveness
from rowanrail.directory.messages import GatewayRecord, GatewayReport
from rowanrail.kernel.errors import TransportError

FIRST, SECOND = (GatewayRecord(name, "a", f"{name}:1") for name in ("g1", "g2"))


class PlayedState:
    def __init__(self):
        self.gateways = {}


class GatewayCensusTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.seconds = 100.0
        self.state = PlayedState()
        self.logged = []
        self.fails = False
        self.liveness = Liveness(lambda: self.seconds)
        self.reconciler = GatewayReconciler(
            self.state, self.liveness, self._propose, lambda: self.seconds
        )

    async def _propose(self, command):
        if self.fails:
            raise TransportError("no majority", step="propose")
        self.logged.append(command)
        for record in command.present:
            self.state.gateways[record.name] = record
        for name in command.absent:
            del self.state.gateways[name]

    def hear(self, *records):
        for record in records:
            report = GatewayReport(record.name, record.zone, [], relay_address=record.relay_address)
            self.liveness.report(report)

    async def compare(self, seconds=COMPARE_SECONDS):
        self.seconds += seconds
        self.reconciler.tick()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def test_the_examples_hold(self):
        self.assertEqual(doctest.testmod(gateway_reconciler).failed, 0)

    async def test_gateways_that_come_are_logged_together_and_once(self):
        self.hear(FIRST, SECOND)
        await self.compare()
        await self.compare()
        self.assertEqual(self.logged, [SetGateways([FIRST, SECOND], [])])

    async def test_it_compares_no_more_often_than_it_should(self):
        await self.compare()
        self.hear(FIRST)
        await self.compare(COMPARE_SECONDS / 2)
        self.assertEqual(self.logged, [])
        await self.compare(COMPARE_SECONDS / 2)
        self.assertEqual(len(self.logged), 1)

    async def test_a_gateway_leaves_the_log_when_it_has_been_missing_for_long(self):
        self.hear(FIRST, SECOND)
        await self.compare()
        while self.seconds < 100.0 + FORGET_GATEWAY_SECONDS + GATEWAY_TIMEOUT_SECONDS:
            self.hear(FIRST)
            await self.compare()
        self.assertNotIn("g2", [name for change in self.logged for name in change.absent])
        while len(self.logged) < 2 and self.seconds < 200.0:
            self.hear(FIRST)
            await self.compare()
        self.assertEqual(self.logged[-1], SetGateways([], ["g2"]))

    async def test_a_leader_that_hears_nobody_takes_nobody_for_gone(self):
        self.hear(FIRST)
        await self.compare()
        for _ in range(40):
            await self.compare()
        self.assertEqual(len(self.logged), 1)

    async def test_what_could_not_be_logged_is_tried_again(self):
        self.fails = True
        self.hear(FIRST)
        await self.compare()
        self.fails = False
        await self.compare()
        self.assertEqual(len(self.logged), 1)
