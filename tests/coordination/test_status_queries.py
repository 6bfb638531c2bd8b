"""Status queries to members of which one may be dead."""

import asyncio
import unittest
from collections import Counter

from rowanrail.coordination.status_queries import StatusQueries, StatusReader, StatusReply
from rowanrail.members.channel import ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind, Refusal


class PlainReader(StatusReader):
    def read(self, answer):
        return None if answer.refusal else StatusReply(False, 1, Position(1, 4))


class AnsweringWire(ChannelTransport):
    def __init__(self, channel, after):
        self.channel, self.after = channel, after

    def send(self, commands):
        asyncio.get_running_loop().call_later(self.after, self.channel.answered, Answer())

    def close(self):
        pass


class PartlySilentDriver(MemberDriver):
    """Each member answers after the given seconds; None for one that never answers."""

    def __init__(self, **after):
        self.after = after

    def open(self, address, service, instance, channel):
        if self.after[instance] is not None:
            channel.opened(AnsweringWire(channel, self.after[instance]), None)


def members():
    return [
        MemberRecord(name, "db", f"{name}:1", "a", name == "m1", False, 3, 1)
        for name in ("m1", "m2", "m3")
    ]


class StatusQueriesTest(unittest.IsolatedAsyncioTestCase):
    async def query(self, **after):
        loop = asyncio.get_running_loop()
        began = loop.time()
        queries = StatusQueries(PartlySilentDriver(**after), PlainReader())
        statuses = await queries.query(members(), Command(CommandKind.STATUS))
        return set(statuses), loop.time() - began

    async def test_a_dead_primary_does_not_delay_its_replacement(self):
        # Waiting for the dead primary's timeout would prolong each failover.
        answered, seconds = await self.query(m1=None, m2=0.01, m3=0.03)
        self.assertEqual(answered, {"m2", "m3"})
        self.assertLess(seconds, 0.25)

    async def test_a_primary_that_answers_a_little_later_is_included(self):
        answered, _ = await self.query(m1=0.06, m2=0.01, m3=0.01)
        self.assertEqual(answered, {"m1", "m2", "m3"})

    async def test_a_slow_replica_is_waited_for(self):
        answered, _ = await self.query(m1=None, m2=0.01, m3=0.2)
        self.assertEqual(answered, {"m2", "m3"})


class BusyWire(ChannelTransport):
    """Refuses the first two commands as busy."""

    def __init__(self, channel):
        self.channel, self.commands = channel, 0

    def send(self, commands):
        self.commands += 1
        refusal = Refusal.BUSY if self.commands <= 2 else None
        asyncio.get_running_loop().call_soon(self.channel.answered, Answer(refusal=refusal))

    def close(self):
        pass


class CrowdedDriver(MemberDriver):
    """Refuses the first connections to each member."""

    def __init__(self, refused_connections):
        self.refused_connections = refused_connections
        self.attempts = Counter()

    def open(self, address, service, instance, channel):
        self.attempts[instance] += 1
        if self.attempts[instance] <= self.refused_connections:
            refuse = channel.refused
            loop = asyncio.get_running_loop()
            loop.call_soon(refuse, Refusal.TOO_MANY_CONNECTIONS, "no connection is free")
        else:
            channel.opened(BusyWire(channel), None)


class CrowdedMemberTest(unittest.IsolatedAsyncioTestCase):
    """A member without a free slot or connection refuses a query; it isn't silent."""

    def setUp(self):
        self.queries = StatusQueries(CrowdedDriver(2), PlainReader())

    async def test_a_round_asks_again_if_told_to(self):
        command = Command(CommandKind.STATUS)
        refused = []
        statuses = await self.queries.query(members(), command, refused.append)
        self.assertEqual(len(statuses), 3)
        self.assertEqual(Counter(refused), {"m1": 4, "m2": 4, "m3": 4})

    async def test_a_round_of_a_failover_does_not_wait_for_crowded_members(self):
        self.assertEqual(await self.queries.query(members(), Command(CommandKind.STATUS)), {})

    async def test_a_line_asks_again_on_the_same_connection(self):
        line = self.queries.connect(members()[0])
        self.assertTrue(await line.opens())
        status = await line.ask(Command(CommandKind.DEMOTE, "2"))
        self.assertEqual(status, StatusReply(False, 1, Position(1, 4)))
        line.close()

    async def test_a_line_that_can_not_be_opened_has_no_answer(self):
        for driver in (PartlySilentDriver(m1=None), CrowdedDriver(1000)):
            line = StatusQueries(driver, PlainReader()).connect(members()[0])
            self.assertIsNone(await line.ask(Command(CommandKind.STATUS), timeout=0.05))
            self.assertFalse(await line.opens())
            line.close()
