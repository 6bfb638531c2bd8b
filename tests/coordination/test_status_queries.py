"""Status queries to members of which one may be dead."""

import asyncio
import unittest

from rowanrail.coordination.status_queries import StatusQueries, StatusReader, StatusReply
from rowanrail.members.channel import ChannelTransport, MemberDriver
from rowanrail.model.members import MemberRecord
from rowanrail.model.position import Position
from rowanrail.model.statements import Answer, Command, CommandKind


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
