"""Evacuations, restarts and warm-up limits at the same time, at several gateways, at random.

Whatever happens, a statement is answered in time, one that is told as not run was not sent, no
write is sent twice, closed zones get nothing, members keep their limit while they warm up, and no
transaction stays open at a member.
"""

import random
import unittest

from rowanrail.directory.messages import Evacuations
from rowanrail.model.statements import Refusal, SessionState
from tests.relay.test_warm_up import HANDOVER_SECONDS, RATE, TENANTS, WarmingRegions

SECONDS = 25.0
STEP_SECONDS = 0.02
TIMEOUT_SECONDS = 1.0  # of a statement, by its route
CLOSED_AFTER_SECONDS = 2.1  # the time in which a zone is left, and one tick


class RandomClient:
    """Runs single statements and transactions; each write has a text of its own."""

    def __init__(self, world, gateway, draw):
        self.world, self.gateway, self.draw = world, gateway, draw
        self.start()

    def start(self):
        self.database = self.draw.choice(["orders", "reports", "carts"])
        self.client = self.gateway.client(self.database, self.draw.choice(list(TENANTS)))
        self.plan = []

    def step(self):
        client = self.client
        if client.asked > len(client.answers):
            waited = self.world.clock.now - self.asked_at
            assert waited < 2 * TIMEOUT_SECONDS + 0.2, f"{self.text} has waited for {waited:.2f} s"
            return
        if client.answers:
            self.world.note(self.text, client.answers[-1])
            if client.answers[-1].refusal and self.plan:
                self.plan = ["ROLLBACK"]
        if not self.plan:
            if self.draw.random() < 0.1:
                self.start()
            self.plan = self.new_plan()
        if self.draw.random() < 0.5:
            self.text, self.asked_at = self.plan.pop(0), self.world.clock.now
            self.client.ask(self.text)

    def new_plan(self):
        read, write = f"READ r{self.world.number()}", f"WRITE w{self.world.number()} 1"
        if self.draw.random() < 0.5:
            return [self.draw.choice([read, write])]
        if self.draw.random() < 0.4:
            return ["BEGIN READ", read, read, "COMMIT"]
        return ["BEGIN", read, write, self.draw.choice(["COMMIT", "ROLLBACK"])]

    def leave(self):
        self.client.session.close()


class World(WarmingRegions):
    def __init__(self, draw):
        self.draw = draw
        self.count = 0
        self.answers = {}
        super().__init__(warm=("m1", "m2"))
        self.revision, self.evacuation = 10, 0
        self.evacuated, self.ended = {}, {}
        self.closed = {}  # members in zones that are closed, with the number of commands till then
        self.sent_warm = {}  # members that are cold, with the number of commands till then

    def number(self):
        self.count += 1
        return self.count

    def note(self, text, answer):
        self.answers.setdefault(text, []).append(answer.refusal)

    def disturb(self):
        member = self.draw.choice(self.members)
        if self.draw.random() < 0.3:
            self.revision += 1
            self.sent_warm.setdefault(member, len(member.ran))
            self.start_ms[member.instance] = self.revision
            for transport in member.open_transports():
                transport.channel.lost("restarted")
            self.announce_revision(self.revision)
        elif member.zone in self.evacuated:
            self.ended[member.zone] = self.evacuation + 1
            del self.evacuated[member.zone]
            self.closed.pop(member, None)
            self.sent_warm.setdefault(member, len(member.ran))
            self.evacuate()
        else:
            self.evacuated[member.zone] = self.evacuation + 1
            self.ended.pop(member.zone, None)
            self.evacuate()
            self.clock.call_later(CLOSED_AFTER_SECONDS, self.close, member, self.evacuation)

    def evacuate(self):
        self.evacuation += 1
        state = Evacuations(self.evacuation, dict(self.evacuated), dict(self.ended))
        for one in self.gateways.values():
            one.gateway.set_evacuations(state)

    def close(self, member, evacuation):
        if self.evacuated.get(member.zone) == evacuation:
            self.closed[member] = len(member.ran)


def busiest_second(times):
    return max((sum(at - 0.999999 < other <= at for other in times) for at in times), default=0)


class RestrictionsTest(unittest.TestCase):
    def run_world(self, seed):
        draw = random.Random(seed)
        world = World(draw)
        world.clock.advance(HANDOVER_SECONDS)
        clients = [
            RandomClient(world, one, draw) for one in world.gateways.values() for _ in range(5)
        ]
        for turn in range(round(SECONDS / STEP_SECONDS)):
            for client in clients:
                client.step()
            if turn % 100 == 50:
                world.disturb()
            world.clock.advance(STEP_SECONDS)
            for member, known in world.closed.items():
                self.assertEqual(len(member.ran), known, f"{member.instance} is closed")
        for client in clients:
            client.leave()
        world.clock.advance(3.0)
        return world

    def check(self, world):
        sent = [text for member in world.members for text in member.texts()]
        writes = [text for text in sent if text.startswith("WRITE")]
        self.assertEqual(len(writes), len(set(writes)))
        for member in world.members:
            cold = member.ran.times[world.sent_warm.get(member, len(member.ran)) :]
            self.assertLessEqual(busiest_second(cold), RATE)
            states = {transport.state for transport in member.open_transports()}
            self.assertLessEqual(states, {SessionState.IDLE})
        for text, refusals in world.answers.items():
            if text.startswith("WRITE") and set(refusals) <= {Refusal.BUSY}:
                self.assertNotIn(text, writes)

    def test_restrictions_hold_at_random(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                self.check(self.run_world(seed))
