"""Which control node a gateway asks, and what it takes from one that is not sure."""

import unittest
import zlib

from rowanrail.directory.messages import DirectoryReply, LoggedDirectoryReply, controls_checksum
from rowanrail.gateway.discovery.control_node_selector import ControlNodeSelector
from rowanrail.gateway.discovery.provisional import (
    STALE_REPLY_AFTER_SECONDS,
    ProvisionalDirectory,
    accepts_stale_reply,
)
from rowanrail.gateway.services.locality import Locality

LOCALITY = Locality("a1", {"a1": "a", "a2": "a", "b1": "b", "c1": "c"})


class ControlChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = ControlNodeSelector(["n1", "n2", "n3"], LOCALITY)

    def test_the_next_one_is_asked_and_the_one_that_was_left_comes_last(self):
        self.choice.demote_current()
        self.assertEqual(self.choice.addresses, ["n2", "n3", "n1"])

    def test_the_own_zone_is_nearer_than_the_own_region_and_that_than_others(self):
        for address, zone in (("n1", "b1"), ("n2", "a2"), ("n3", "a1")):
            self.choice.set_zone(address, zone)
        self.assertEqual(self.choice.nearest(), "n3")
        self.assertTrue(self.choice.is_nearer("n2", "n1"))

    def test_one_that_was_never_heard_is_worth_a_call(self):
        self.choice.set_zone("n1", "a1")
        self.choice.set_zone("n2", "b1")
        self.assertEqual(self.choice.nearest(), "n3")

    def test_those_that_are_reported_take_the_place_of_those_before_but_for_the_seeds(self):
        self.choice.set_reported(["n4", "n2"])
        self.assertEqual(self.choice.addresses, ["n1", "n2", "n3", "n4"])
        self.choice.set_reported(["n5"])
        self.assertEqual(self.choice.addresses, ["n1", "n2", "n3", "n5"])
        self.assertEqual(self.choice.known_checksum, controls_checksum(["n5"]))

    def test_an_empty_report_changes_nothing(self):
        self.choice.set_reported(["n1", "n4"])
        self.choice.set_reported([])
        self.assertEqual(self.choice.known_checksum, controls_checksum(["n1", "n4"]))
        self.assertIn("n4", self.choice.addresses)

    def test_another_list_in_the_settings_has_the_reported_one_sent_again(self):
        self.choice.set_reported(["n1", "n2", "n3"])
        self.choice.set_seeds(["n9"])
        self.assertEqual((self.choice.known_checksum, self.choice.addresses[-1]), (0, "n9"))
        self.assertEqual(self.choice.current, "n1")


def held(node, term, index, version, document=b"document"):
    directory = DirectoryReply(False, version, zlib.compress(document), index, [], 1, 1, [], [])
    return LoggedDirectoryReply(node, term, index, ["v1", "v2", "v3"], directory)


class ProvisionalTest(unittest.TestCase):
    def setUp(self):
        self.provisional = ProvisionalDirectory()

    def test_one_log_of_three_is_not_enough_and_the_longest_of_two_is_taken(self):
        self.assertIsNone(self.provisional.record(held("v1", 2, 9, 7)))
        self.assertEqual(self.provisional.record(held("v2", 3, 1, 8)).node, "v2")

    def test_logs_without_a_configuration_are_nothing_to_go_by(self):
        self.provisional.record(held("v1", 1, 1, 0))
        self.assertIsNone(self.provisional.record(held("v2", 1, 1, 0)))

    def test_the_same_is_taken_once_and_a_longer_log_after_it(self):
        self.provisional.record(held("v1", 2, 9, 7))
        taken = self.provisional.record(held("v2", 2, 9, 7))
        self.provisional.set_applied(taken.directory)
        self.assertIsNone(self.provisional.record(held("v2", 2, 9, 7)))
        self.assertEqual(self.provisional.record(held("v3", 2, 10, 8)).node, "v3")

    def test_only_another_document_of_the_same_version_corrects_it(self):
        taken = held("v1", 2, 9, 7).directory
        self.assertFalse(self.provisional.is_superseded_by(taken))
        self.provisional.set_applied(taken)
        self.assertFalse(self.provisional.is_superseded_by(taken))
        self.assertFalse(self.provisional.is_superseded_by(held("v1", 3, 9, 8, b"x").directory))
        other = held("v1", 3, 9, 7, b"other").directory
        self.assertTrue(self.provisional.is_superseded_by(other))
        self.provisional.clear()
        self.assertFalse(self.provisional.is_superseded_by(other))

    def test_a_node_that_is_not_sure_is_believed_only_late_or_by_who_knows_more(self):
        self.assertTrue(accepts_stale_reply(True, 0.0))
        self.assertFalse(accepts_stale_reply(False, STALE_REPLY_AFTER_SECONDS))
        self.assertTrue(accepts_stale_reply(False, STALE_REPLY_AFTER_SECONDS + 0.1))
