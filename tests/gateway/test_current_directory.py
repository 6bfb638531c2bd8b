"""Tests that a change of the directory updates only what it affects."""

import unittest

from rowanrail.gateway.discovery.current_directory import CurrentDirectory
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.gateway.relay.peers import Peers
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import FleetSize

NEIGHBOURS = [Neighbour("g1", "g1:1"), Neighbour("g2", "g2:1")]
REMOTE_GATEWAYS = {"b": [Neighbour("g3", "g3:1")]}
FLEET_SIZE = FleetSize(3, 2)


class FakePrimary:
    failing_since = 0.0


class RecordingService:
    def __init__(self):
        self.updates = []
        self.primary = FakePrimary()

    def set_members(self, records):
        self.updates.append([record.instance for record in records])

    def set_fleet_size(self, fleet_size):
        self.updates.append(fleet_size)


class RecordingGateways:
    def __init__(self):
        self.updates = 0

    def set_neighbours(self, neighbours):
        self.updates += 1

    def set_gateways(self, own, others):
        self.updates += 1


def member(instance, service):
    return MemberRecord(instance, service, f"{instance}:1", "a", False, False, 3, 1)


class CurrentDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.neighbours, self.detours = RecordingGateways(), RecordingGateways()
        self.services = {"db1": RecordingService(), "db2": RecordingService()}
        self.current = CurrentDirectory(Peers(self.neighbours, self.detours))
        self.members = [member("m1", "db1"), member("m2", "db2")]
        self.apply(1)
        for service in self.services.values():
            service.updates.clear()

    def apply(
        self, revision, members=(), neighbours=None, remote_gateways=None, population=FLEET_SIZE
    ):
        members = [*self.members, *members]
        directory = Directory(
            revision,
            members,
            population,
            neighbours or list(NEIGHBOURS),
            remote_gateways or dict(REMOTE_GATEWAYS),
        )
        return self.current.update(directory, self.services)

    def service_updates(self):
        return [service.updates for service in self.services.values()]

    def test_a_new_member_updates_only_its_service(self):
        self.assertTrue(self.apply(2, [member("m3", "db2")]))
        self.assertEqual(self.service_updates(), [[], [["m2", "m3"]]])
        self.assertEqual((self.neighbours.updates, self.detours.updates), (1, 1))

    def test_a_service_without_remaining_members_is_updated(self):
        self.members.pop()
        self.apply(2)
        self.assertEqual(self.service_updates(), [[], [[]]])

    def test_a_service_with_a_failing_primary_is_always_updated(self):
        self.services["db1"].primary.failing_since = 1.0
        self.apply(2)
        self.assertEqual(self.service_updates(), [[["m1"]], []])

    def test_gateways_of_the_group_update_neighbours_and_detours(self):
        self.apply(2, neighbours=NEIGHBOURS[:1])
        self.assertEqual((self.neighbours.updates, self.detours.updates), (2, 2))

    def test_gateways_of_other_groups_update_only_detours(self):
        self.apply(2, remote_gateways={"b": [Neighbour("g4", "g4:1")]})
        self.assertEqual((self.neighbours.updates, self.detours.updates), (1, 2))

    def test_the_number_of_gateways_updates_all_services(self):
        more = FleetSize(4, 2)
        self.apply(2, population=more)
        self.assertEqual(self.service_updates(), [[more], [more]])

    def test_an_older_directory_is_ignored(self):
        self.assertTrue(self.apply(5))
        self.assertFalse(self.apply(4, [member("m3", "db2")]))
        self.assertEqual([member.instance for member in self.current.members("db2")], ["m2"])


if __name__ == "__main__":
    unittest.main()
