"""A simulated disk: what was not synced is lost, in part, when its process is killed."""

import random

from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import StorageError


class SimulatedDisk(Disk):
    """Files with a durable and a current state, and a folder with the same.

    :param honours_sync: False takes the guard away: syncs do nothing.
    """

    def __init__(self, randomness: random.Random, honours_sync: bool = True) -> None:
        self._random = randomness
        self._honours_sync = honours_sync
        self.full = False
        self._current: dict[str, bytes] = {}
        self._durable: dict[str, bytes] = {}
        self._durable_names: set[str] = set()

    def list(self) -> list[str]:
        """See :meth:`Disk.list`."""
        return sorted(self._current)

    def read(self, name: str) -> bytes:
        """See :meth:`Disk.read`."""
        if name not in self._current:
            raise StorageError("no such file", step="read", peer=name)
        return self._current[name]

    def append(self, name: str, data: bytes) -> None:
        """See :meth:`Disk.append`. A full disk may still take a part of the data."""
        if self.full and data:
            part = self._random.randrange(len(data))
            self._current[name] = self._current.get(name, b"") + data[:part]
            raise StorageError("the disk is full", step="append", peer=name)
        self._current[name] = self._current.get(name, b"") + data

    def replace(self, name: str, data: bytes) -> None:
        """See :meth:`Disk.replace`."""
        if self.full:
            raise StorageError("the disk is full", step="replace", peer=name)
        self._current[name] = data
        if self._honours_sync:
            self._durable[name] = data
            self._durable_names.add(name)

    def truncate(self, name: str, length_bytes: int) -> None:
        """See :meth:`Disk.truncate`."""
        self._current[name] = self._current[name][:length_bytes]

    def delete(self, name: str) -> None:
        """See :meth:`Disk.delete`."""
        self._current.pop(name, None)

    def sync_file(self, name: str) -> None:
        """See :meth:`Disk.sync_file`."""
        if self._honours_sync:
            self._durable[name] = self._current[name]

    def sync_folder(self) -> None:
        """See :meth:`Disk.sync_folder`."""
        if self._honours_sync:
            self._durable_names = set(self._current)

    def crash(self) -> None:
        """Lose what was not synced. Of an unsynced tail, a random part may survive."""
        survived: dict[str, bytes] = {}
        for name in sorted(self._durable_names):
            durable = self._durable.get(name, b"")
            current = self._current.get(name, b"")
            survived[name] = durable
            if current.startswith(durable) and len(current) > len(durable):
                kept = self._random.randint(0, len(current) - len(durable))
                survived[name] = current[: len(durable) + kept]
        self._current = dict(survived)
        self._durable = dict(survived)

    def erase(self) -> None:
        """Lose everything."""
        self._current = {}
        self._durable = {}
        self._durable_names = set()
