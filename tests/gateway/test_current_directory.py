"""What a gateway does anew when the directory changes: only what is another than before."""

import unittest

from rowanrail.gateway.discovery.current_directory import CurrentDirectory
from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.neighbours import Neighbour
from rowanrail.gateway.relay.peers import Peers
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import Population

NEIGHBOURS = [Neighbour("g1", "g1:1"), Neighbour("g2", "g2:1")]
OTHERS = {"b": [Neighbour("g3", "g3:1")]}
POPULATION = Population(3, 2)


class ToldPrimary:
    failing_since = 0.0


class ToldService:
    def __init__(self):
        self.told = []
        self.primary = ToldPrimary()

    def set_members(self, records):
        self.told.append([record.instance for record in records])

    def set_population(self, population):
        self.told.append(population)


class ToldGateways:
    def __init__(self):
        self.told = 0

    def set_neighbours(self, neighbours):
        self.told += 1

    def set_gateways(self, own, others):
        self.told += 1


def member(instance, service):
    return MemberRecord(instance, service, f"{instance}:1", "a", False, False, 3, 1)


class KnownDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.neighbours, self.detours = ToldGateways(), ToldGateways()
        self.services = {"db1": ToldService(), "db2": ToldService()}
        self.known = CurrentDirectory(Peers(self.neighbours, self.detours))
        self.members = [member("m1", "db1"), member("m2", "db2")]
        self.set(1)
        for service in self.services.values():
            service.told.clear()

    def set(self, revision, members=(), neighbours=None, others=None, population=POPULATION):
        members = [*self.members, *members]
        directory = Directory(
            revision, members, population, neighbours or list(NEIGHBOURS), others or dict(OTHERS)
        )
        return self.known.update(directory, self.services)

    def told(self):
        return [service.told for service in self.services.values()]

    def test_a_new_member_is_told_to_its_service_only(self):
        self.assertTrue(self.set(2, [member("m3", "db2")]))
        self.assertEqual(self.told(), [[], [["m2", "m3"]]])
        self.assertEqual((self.neighbours.told, self.detours.told), (1, 1))

    def test_a_service_that_lost_all_members_is_told(self):
        self.members.pop()
        self.set(2)
        self.assertEqual(self.told(), [[], [[]]])

    def test_a_service_that_looks_for_its_primary_is_told_of_each_directory(self):
        self.services["db1"].primary.failing_since = 1.0
        self.set(2)
        self.assertEqual(self.told(), [[["m1"]], []])

    def test_gateways_of_the_own_group_concern_both_kinds_of_links(self):
        self.set(2, neighbours=NEIGHBOURS[:1])
        self.assertEqual((self.neighbours.told, self.detours.told), (2, 2))

    def test_gateways_of_other_groups_concern_detours_only(self):
        self.set(2, others={"b": [Neighbour("g4", "g4:1")]})
        self.assertEqual((self.neighbours.told, self.detours.told), (1, 2))

    def test_more_gateways_change_the_limits_of_all_services(self):
        more = Population(4, 2)
        self.set(2, population=more)
        self.assertEqual(self.told(), [[more], [more]])

    def test_an_older_directory_is_left_aside(self):
        self.assertTrue(self.set(5))
        self.assertFalse(self.set(4, [member("m3", "db2")]))
        self.assertEqual([known.instance for known in self.known.members("db2")], ["m2"])


if __name__ == "__main__":
    unittest.main()
