"""The directory in force at a gateway: hands on what has changed, and nothing else.

Owns the directory in force and the members by service. Relies on :mod:`directory`; hands services,
neighbours and detours what is new to them.
"""

from collections.abc import Mapping

from rowanrail.gateway.discovery.directory import Directory
from rowanrail.gateway.relay.peers import Peers
from rowanrail.gateway.services.service import Service
from rowanrail.model.members import MemberRecord
from rowanrail.placement.hashed import Population

__all__ = ["CurrentDirectory"]


class CurrentDirectory:
    """Members by service, and the gateways beside this one.

    To rank the gateways of a zone anew for each service takes longer than all else that a change
    of one member asks of a gateway.

    Parameters
    ----------
    peers : Peers
        Gateways of the same group, where connections are shared, and those of other groups.
    """

    def __init__(self, peers: Peers) -> None:
        self._neighbours = peers.neighbours
        self._detours = peers.detours
        self._directory = Directory(-1, [])
        self._members: dict[str, list[MemberRecord]] = {}

    @property
    def has_members(self) -> bool:
        """Whether any member is known."""
        return bool(self._members)

    @property
    def population(self) -> Population:
        """How many gateways share the members' connections."""
        return self._directory.population

    def members(self, service: str) -> list[MemberRecord]:
        """Return the members of a service."""
        return self._members.get(service, [])

    def update(self, directory: Directory, services: Mapping[str, Service]) -> bool:
        """Know a directory, unless a newer one is known; return whether it was taken."""
        before = self._directory
        if directory.revision < before.revision:
            return False
        self._directory = directory
        self._set_gateways(before, directory)
        if directory.population != before.population:
            for service in services.values():
                service.set_population(directory.population)
        self._set_members(directory.members, services)
        return True

    def _set_gateways(self, before: Directory, directory: Directory) -> None:
        is_own_group = directory.neighbours != before.neighbours
        if self._neighbours is not None and is_own_group:
            self._neighbours.set_neighbours(directory.neighbours)
        if self._detours is not None and (
            is_own_group or directory.remote_gateways != before.remote_gateways
        ):
            self._detours.set_gateways(directory.neighbours, directory.remote_gateways)

    def _set_members(self, records: list[MemberRecord], services: Mapping[str, Service]) -> None:
        """Hand their members to services where they changed, and where a primary is looked for."""
        before, self._members = self._members, {}
        for record in records:
            self._members.setdefault(record.service, []).append(record)
        for name, service in services.items():
            members = self.members(name)
            if members != before.get(name, []) or service.primary.failing_since:
                service.set_members(members)
