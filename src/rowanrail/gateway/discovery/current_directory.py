"""The directory in use at a gateway, which passes on only what changed.

Keeps the directory and its members by service, and updates services, neighbours and detours.
"""

from collections.abc import Mapping

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.services.service import Service
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import FleetSize

__all__ = ["CurrentDirectory"]


class CurrentDirectory:
    """Members by service, and the other gateways.

    Updates only what changed: ranking a zone's gateways for each service costs more than all other
    work for a change of one member.

    Parameters
    ----------
    peers : Peers
        Gateways of the same group, which share connections, and those of other groups.
    """

    def __init__(self, peers: Peers) -> None:
        self._neighbours = peers.neighbours
        self._detours = peers.detours
        self._directory = Directory(-1, [])
        self._members: dict[str, list[MemberRecord]] = {}

    @property
    def has_members(self) -> bool:
        """Whether the directory has any members."""
        return bool(self._members)

    @property
    def revision(self) -> int:
        """Revision of the directory, -1 before the first one."""
        return self._directory.revision

    @property
    def group(self) -> list[str]:
        """Names of the gateways of the own group, with this one if the directory lists it."""
        return [neighbour.name for neighbour in self._directory.neighbours]

    @property
    def population(self) -> FleetSize:
        """Numbers of gateways and zones that share the members' connections."""
        return self._directory.population

    def members(self, service: str) -> list[MemberRecord]:
        """Return the members of a service."""
        return self._members.get(service, [])

    def update(self, directory: Directory, services: Mapping[str, Service]) -> bool:
        """Apply a directory unless the current one is newer; return whether it was applied."""
        before = self._directory
        if directory.revision < before.revision:
            return False
        self._directory = directory
        self._set_gateways(before, directory)
        if directory.population != before.population:
            for service in services.values():
                service.set_fleet_size(directory.population)
        self._set_members(directory.members, services)
        return True

    def _set_gateways(self, before: Directory, directory: Directory) -> None:
        own_group_changed = directory.neighbours != before.neighbours
        if self._neighbours is not None and own_group_changed:
            self._neighbours.set_neighbours(directory.neighbours)
        if self._detours is not None and (
            own_group_changed or directory.remote_gateways != before.remote_gateways
        ):
            self._detours.set_gateways(directory.neighbours, directory.remote_gateways)

    def _set_members(self, records: list[MemberRecord], services: Mapping[str, Service]) -> None:
        """Update services whose members changed, and those without a reachable primary."""
        before, self._members = self._members, {}
        for record in records:
            self._members.setdefault(record.service, []).append(record)
        for name, service in services.items():
            members = self.members(name)
            if members != before.get(name, []) or service.primary.failing_since:
                service.set_members(members)
