"""Choice of the first available gateway of an order."""

import unittest

from rowanrail.gateway.relay.holder_choice import (
    HeldLocally,
    HeldRemotely,
    NoHolder,
    choose_holder,
    location_via,
)
from rowanrail.gateway.relay.link import Link, LinkState
from rowanrail.gateway.relay.messages import Leaving
from rowanrail.kernel.clock import Clock
from tests.support.gateway import ManualClock


class NullPort:
    def send(self, message):
        pass

    def close(self):
        pass


class ChoiceTest(unittest.TestCase):
    def choose(self, states, connected):
        """Return the chosen holder, and the gateways that were reached, in order."""
        asked = []

        def reach(name):
            asked.append(name)
            return states[name]

        return choose_holder(states, reach, connected), asked

    def test_the_first_that_is_not_down_is_chosen(self):
        chosen, _ = self.choose({"a": None, "b": HeldLocally(), "c": NoHolder()}, 2)
        self.assertEqual(chosen, HeldLocally())

    def test_no_more_gateways_are_connected_than_needed(self):
        _, asked = self.choose(dict.fromkeys("abcd", HeldLocally()), 2)
        self.assertEqual(asked, ["a", "b"])
        _, asked = self.choose({"a": None, "b": HeldLocally(), "c": HeldLocally()}, 1)
        self.assertEqual(asked, ["a", "b"])

    def test_the_next_one_serves_while_the_first_link_is_opened(self):
        chosen, _ = self.choose({"a": NoHolder(), "b": HeldLocally()}, 2)
        self.assertEqual(chosen, HeldLocally())

    def test_with_all_down_there_is_no_holder(self):
        chosen, asked = self.choose({"a": None, "b": None}, 2)
        self.assertEqual((chosen, asked), (NoHolder(), ["a", "b"]))


class UsableTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.link = Link("g2", Clock(self.clock), lambda link, reason: None)

    def test_a_link_is_waited_for_and_then_used(self):
        self.assertEqual(location_via(self.link), NoHolder())
        self.link.opened(NullPort())
        self.assertEqual(location_via(self.link), HeldRemotely(self.link))

    def test_a_gateway_that_is_leaving_counts_as_down(self):
        self.link.opened(NullPort())
        self.link.receive(Leaving())
        self.assertEqual(self.link.state, LinkState.LEAVING)
        self.assertIsNone(location_via(self.link))
