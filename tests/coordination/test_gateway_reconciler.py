"""Gateways that report are added to the log; those that are gone are removed from it."""

import asyncio
import doctest
import unittest

from rowanrail.coordination import gateway_reconciler
from rowanrail.coordination.commands import SetGateways
from rowanrail.coordination.gateway_reconciler import (
    GATEWAY_TIMEOUT_SECONDS,
    RECONCILE_INTERVAL_SECONDS,
    GatewayReconciler,
)
from rowanrail.coordination.liveness import GATEWAY_EXPIRY_SECONDS, Liveness
from rowanrail.directory.messages import GatewayRecord, GatewayReport
from rowanrail.kernel.errors import TransportError

FIRST, SECOND = (GatewayRecord(name, "a", f"{name}:1") for name in ("g1", "g2"))


class FakeState:
    def __init__(self):
        self.gateways = {}


class GatewayReconcilerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.seconds = 100.0
        self.state = FakeState()
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

    def receive_reports(self, *records):
        for record in records:
            report = GatewayReport(record.name, record.zone, [], relay_address=record.relay_address)
            self.liveness.record_report(report)

    async def reconcile(self, seconds=RECONCILE_INTERVAL_SECONDS):
        self.seconds += seconds
        self.reconciler.tick()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def test_the_examples_hold(self):
        self.assertEqual(doctest.testmod(gateway_reconciler).failed, 0)

    async def test_new_gateways_are_logged_together_and_once(self):
        self.receive_reports(FIRST, SECOND)
        await self.reconcile()
        await self.reconcile()
        self.assertEqual(self.logged, [SetGateways([FIRST, SECOND], [])])

    async def test_it_reconciles_once_per_interval(self):
        await self.reconcile()
        self.receive_reports(FIRST)
        await self.reconcile(RECONCILE_INTERVAL_SECONDS / 2)
        self.assertEqual(self.logged, [])
        await self.reconcile(RECONCILE_INTERVAL_SECONDS / 2)
        self.assertEqual(len(self.logged), 1)

    async def test_a_gateway_is_removed_after_the_timeout(self):
        self.receive_reports(FIRST, SECOND)
        await self.reconcile()
        while self.seconds < 100.0 + GATEWAY_EXPIRY_SECONDS + GATEWAY_TIMEOUT_SECONDS:
            self.receive_reports(FIRST)
            await self.reconcile()
        self.assertNotIn("g2", [name for change in self.logged for name in change.absent])
        while len(self.logged) < 2 and self.seconds < 200.0:
            self.receive_reports(FIRST)
            await self.reconcile()
        self.assertEqual(self.logged[-1], SetGateways([], ["g2"]))

    async def test_a_leader_without_any_reports_removes_no_gateway(self):
        self.receive_reports(FIRST)
        await self.reconcile()
        for _ in range(40):
            await self.reconcile()
        self.assertEqual(len(self.logged), 1)

    async def test_a_failed_proposal_is_retried(self):
        self.fails = True
        self.receive_reports(FIRST)
        await self.reconcile()
        self.fails = False
        await self.reconcile()
        self.assertEqual(len(self.logged), 1)
