"""Tests the selection of a control node, and of a directory while none is up to date."""

import unittest
import zlib

from rowanrail.directory.messages import (
    DirectoryReply,
    LoggedDirectoryReply,
    control_nodes_checksum,
)
from rowanrail.gateway.discovery.control_node_selector import ControlNodeSelector
from rowanrail.gateway.discovery.provisional import (
    STALE_REPLY_AFTER_SECONDS,
    ProvisionalDirectory,
    accepts_stale_reply,
)
from rowanrail.gateway.services.locality import Locality

LOCALITY = Locality("a1", {"a1": "a", "a2": "a", "b1": "b", "c1": "c"})


class ControlNodeSelectorTest(unittest.TestCase):
    def setUp(self):
        self.selector = ControlNodeSelector(["n1", "n2", "n3"], LOCALITY)

    def test_a_demoted_node_is_polled_last(self):
        self.selector.demote_current()
        self.assertEqual(self.selector.addresses, ["n2", "n3", "n1"])

    def test_nodes_in_the_zone_then_in_the_region_are_nearest(self):
        for address, zone in (("n1", "b1"), ("n2", "a2"), ("n3", "a1")):
            self.selector.set_zone(address, zone)
        self.assertEqual(self.selector.nearest(), "n3")
        self.assertTrue(self.selector.is_nearer("n2", "n1"))

    def test_a_node_of_unknown_zone_counts_as_nearest(self):
        self.selector.set_zone("n1", "a1")
        self.selector.set_zone("n2", "b1")
        self.assertEqual(self.selector.nearest(), "n3")

    def test_reported_nodes_replace_earlier_ones_except_seeds(self):
        self.selector.set_reported(["n4", "n2"])
        self.assertEqual(self.selector.addresses, ["n1", "n2", "n3", "n4"])
        self.selector.set_reported(["n5"])
        self.assertEqual(self.selector.addresses, ["n1", "n2", "n3", "n5"])
        self.assertEqual(self.selector.known_checksum, control_nodes_checksum(["n5"]))

    def test_an_empty_report_changes_nothing(self):
        self.selector.set_reported(["n1", "n4"])
        self.selector.set_reported([])
        self.assertEqual(self.selector.known_checksum, control_nodes_checksum(["n1", "n4"]))
        self.assertIn("n4", self.selector.addresses)

    def test_changed_seeds_reset_the_checksum(self):
        self.selector.set_reported(["n1", "n2", "n3"])
        self.selector.set_seeds(["n9"])
        self.assertEqual((self.selector.known_checksum, self.selector.addresses[-1]), (0, "n9"))
        self.assertEqual(self.selector.current, "n1")


def logged_reply(node, term, index, version, document=b"document"):
    directory = DirectoryReply(False, version, zlib.compress(document), index, [], 1, 1, [], [])
    return LoggedDirectoryReply(node, term, index, ["v1", "v2", "v3"], directory, term)


class ProvisionalTest(unittest.TestCase):
    def setUp(self):
        self.provisional = ProvisionalDirectory()

    def test_a_majority_is_required_and_its_latest_log_is_returned(self):
        self.assertIsNone(self.provisional.record(logged_reply("v1", 2, 9, 7)))
        self.assertEqual(self.provisional.record(logged_reply("v2", 2, 10, 7)).node, "v2")

    def test_a_configuration_that_a_minority_holds_is_not_returned(self):
        self.provisional.record(logged_reply("v1", 2, 9, 7))
        self.assertIsNone(self.provisional.record(logged_reply("v2", 3, 1, 8)))
        self.assertEqual(self.provisional.record(logged_reply("v3", 3, 1, 8)).node, "v2")

    def test_another_document_of_the_same_version_is_not_the_same_configuration(self):
        self.provisional.record(logged_reply("v1", 2, 9, 7))
        self.assertIsNone(self.provisional.record(logged_reply("v2", 2, 10, 7, b"other")))

    def test_logs_without_a_configuration_are_ignored(self):
        self.provisional.record(logged_reply("v1", 1, 1, 0))
        self.assertIsNone(self.provisional.record(logged_reply("v2", 1, 1, 0)))

    def test_the_same_log_is_returned_once_and_a_later_log_after_it(self):
        self.provisional.record(logged_reply("v1", 2, 9, 7))
        applied = self.provisional.record(logged_reply("v2", 2, 9, 7))
        self.provisional.set_applied(applied.directory)
        self.assertIsNone(self.provisional.record(logged_reply("v2", 2, 9, 7)))
        self.provisional.record(logged_reply("v3", 2, 10, 7))
        self.assertEqual(self.provisional.record(logged_reply("v3", 2, 11, 7)).node, "v3")

    def test_a_stale_reply_is_accepted_with_a_configuration_or_after_a_while(self):
        self.assertTrue(accepts_stale_reply(True, 0.0))
        self.assertFalse(accepts_stale_reply(False, STALE_REPLY_AFTER_SECONDS))
        self.assertTrue(accepts_stale_reply(False, STALE_REPLY_AFTER_SECONDS + 0.1))
