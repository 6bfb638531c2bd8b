"""A simulated disk that loses unsynced data, at random, when its process is killed."""

import random

from rowanrail.kernel.disk import Disk
from rowanrail.kernel.errors import StorageError


class SimulatedDisk(Disk):
    """Files and a folder, each with a current and a durable state.

    :param honours_sync: whether syncs make data durable; False disables ``Guard.FSYNC``.
    """

    def __init__(self, randomness: random.Random, honours_sync: bool = True) -> None:
        self._random = randomness
        self._honours_sync = honours_sync
        self.full = False
        self._current: dict[str, bytes] = {}
        self._durable: dict[str, bytes] = {}
        self._durable_names: set[str] = set()

    def list(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._current)

    def read(self, name: str) -> bytes:
        """Return the contents of a file.

        :raises StorageError: if the file does not exist.
        """
        if name not in self._current:
            raise StorageError("no such file", step="read", peer=name)
        return self._current[name]

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file.

        :raises StorageError: if the disk is full; a part of the data may have been written.
        """
        if self.full and data:
            part = self._random.randrange(len(data))
            self._current[name] = self._current.get(name, b"") + data[:part]
            raise StorageError("the disk is full", step="append", peer=name)
        self._current[name] = self._current.get(name, b"") + data

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably.

        :raises StorageError: if the disk is full.
        """
        if self.full:
            raise StorageError("the disk is full", step="replace", peer=name)
        self._current[name] = data
        if self._honours_sync:
            self._durable[name] = data
            self._durable_names.add(name)

    def truncate(self, name: str, length_bytes: int) -> None:
        """Shorten a file."""
        self._current[name] = self._current[name][:length_bytes]

    def delete(self, name: str) -> None:
        """Delete a file if it exists."""
        self._current.pop(name, None)

    def sync_file(self, name: str) -> None:
        """Make the contents of a file durable."""
        if self._honours_sync:
            self._durable[name] = self._current[name]

    def sync_folder(self) -> None:
        """Make the creation and deletion of files durable."""
        if self._honours_sync:
            self._durable_names = set(self._current)

    def crash(self) -> None:
        """Discard unsynced data. A random part of what was appended to a file may survive."""
        survived: dict[str, bytes] = {}
        for name in sorted(self._durable_names):
            durable = self._durable.get(name, b"")
            current = self._current.get(name, b"")
            survived[name] = durable
            if current.startswith(durable) and len(current) > len(durable):
                kept_bytes = self._random.randint(0, len(current) - len(durable))
                survived[name] = current[: len(durable) + kept_bytes]
        self._current = dict(survived)
        self._durable = dict(survived)

    def erase(self) -> None:
        """Erase all files."""
        self._current = {}
        self._durable = {}
        self._durable_names = set()
