"""One member that crashes, leaves and starts again at random, with late and lost messages."""

import random
import unittest

from msgspec import UNSET

from rowanrail.coordination.messages import AnnounceRequest, RemoveRequest
from rowanrail.model.members import MemberRecord
from tests.coordination.test_lives import HEARTBEAT_SECONDS, LivesTestCase

RUNS = 400
STEPS = 60
MAX_DELAY_SECONDS = 4.0
# In a row, after which a running life is a member: three prove it, at most two heartbeat intervals
# after the first one, and one more may restart the proof.
PROMPT_HEARTBEATS = 4


class Life:
    """One start of the member."""

    def __init__(self, start, address):
        self.start, self.address = start, address
        self.sequence = 0
        self.leaving = False

    def record(self):
        self.sequence += 1
        return MemberRecord(
            "m1",
            "db",
            self.address,
            "a",
            primary=False,
            leaving=self.leaving,
            slots=3,
            sequence=self.sequence,
            start_ms=self.start,
        )


class RandomLivesTest(LivesTestCase):
    removals_tell_start = True

    def begin(self, seed):
        self.setUp()
        self.random = random.Random(seed)
        self.in_flight = []
        self.over = set()  # starts of lives whose end was acknowledged
        self.starts = set()
        self.clock = 10_000
        self.start_life()

    def start_life(self):
        # The wall clock continues, or was stepped back.
        self.clock += self.random.choice([1, 500, 3000, -4000])
        while self.clock in self.starts or self.clock < 1:
            self.clock += 7
        self.starts.add(self.clock)
        address = f"10.0.0.{self.random.choice([1, 2])}:1"
        self.life = Life(self.clock, address)
        self.prompt = 0  # heartbeats in a row, with nothing else between them

    async def deliver(self, message):
        await self.service.handle(message)
        if isinstance(message, RemoveRequest):
            if message.start_ms is not UNSET:
                self.over.add(message.start_ms)
        elif message.record.leaving:
            self.over.add(message.record.start_ms)

    async def send(self, message):
        fate = self.random.random()
        self.prompt = self.prompt + 1 if fate >= 0.3 and not self.life.leaving else 0
        if fate < 0.1:
            return  # lost
        if fate < 0.3:
            delay = self.random.uniform(0.2, MAX_DELAY_SECONDS)
            self.in_flight.append((self.time + delay, message))
        else:
            await self.deliver(message)

    async def step(self):
        self.time += HEARTBEAT_SECONDS
        due = sorted((m for m in self.in_flight if m[0] <= self.time), key=lambda m: m[0])
        self.in_flight = [message for message in self.in_flight if message[0] > self.time]
        for _, message in due:
            self.prompt = 0
            await self.deliver(message)
            self.check_ended()
        action = self.random.random()
        if action < 0.05:
            self.start_life()  # after a crash
        elif action < 0.08:
            self.life.leaving = True
            self.prompt = 0
        elif action < 0.11 or (self.life.leaving and action < 0.5):
            await self.send(
                RemoveRequest("m1", self.life.start if self.removals_tell_start else UNSET)
            )
            self.start_life()
        elif action < 0.14:
            self.change_leader()
            self.prompt = 0  # the new leader needs proof
        await self.send(AnnounceRequest(self.life.record()))
        self.check_ended()

    def check_ended(self):
        known = self.state.members.get("m1")
        if known is not None and not known.leaving:
            self.assertNotIn(known.started_ms, self.over, "its end was acknowledged")

    def check_running(self):
        if self.prompt < PROMPT_HEARTBEATS:
            return
        if not self.removals_tell_start and not self.state.earlier_starts:
            return  # a removal holds if no earlier life is known
        known = self.state.members.get("m1")
        self.assertIsNotNone(known, "a running member is missing")
        self.assertEqual(known.started_ms, self.life.start)

    async def test_ended_lives_get_nothing_and_running_ones_are_members(self):
        for seed in range(RUNS):
            with self.subTest(seed=seed):
                self.begin(seed)
                for _ in range(STEPS):
                    await self.step()
                    self.check_running()


class RemovalsWithoutStartTest(RandomLivesTest):
    """A removal may be that of an earlier life; which one it ends isn't known."""

    removals_tell_start = False


if __name__ == "__main__":
    unittest.main()
