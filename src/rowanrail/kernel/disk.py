"""Interface for the file operations of durable state, and its implementation on a folder.

The simulator has its own implementation, which discards unsynced data on a crash.
"""

import errno
import os
from abc import ABC, abstractmethod
from pathlib import Path

from rowanrail.kernel.errors import StorageError


class Disk(ABC):
    """A folder of files.

    Data survives a crash once :meth:`sync_file` and :meth:`sync_folder` have returned.
    """

    @abstractmethod
    def list(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the contents of a file.

        :raises StorageError: if it can't be read.
        """

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if missing."""

    @abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace the contents of a file atomically and durably."""

    @abstractmethod
    def truncate(self, name: str, length_bytes: int) -> None:
        """Truncate a file to the given length."""

    @abstractmethod
    def delete(self, name: str) -> None:
        """Remove a file; a missing file is no error."""

    @abstractmethod
    def sync_file(self, name: str) -> None:
        """Make a file's contents durable."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""


class FileDisk(Disk):
    """A folder in the file system."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise _storage_error("create folder", folder, error) from error
        self._handles: dict[str, int] = {}

    def list(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(entry.name for entry in self.folder.iterdir() if entry.is_file())

    def read(self, name: str) -> bytes:
        """Return the contents of a file.

        :raises StorageError: if it can't be read.
        """
        try:
            return (self.folder / name).read_bytes()
        except OSError as error:
            raise _storage_error("read", self.folder / name, error) from error

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, creating it if missing.

        :raises StorageError: if it can't be written.
        """
        try:
            handle = self._handle(name)
            written = 0
            while written < len(data):
                written += os.write(handle, data[written:])
        except OSError as error:
            raise _storage_error("append", self.folder / name, error) from error

    def replace(self, name: str, data: bytes) -> None:
        """Replace the contents of a file by renaming a synced temporary file.

        :raises StorageError: if it can't be written.
        """
        temporary = f"{name}.tmp"
        self.delete(temporary)
        self.append(temporary, data)
        self.sync_file(temporary)
        self._close(temporary)
        self._close(name)
        try:
            os.rename(self.folder / temporary, self.folder / name)
        except OSError as error:
            raise _storage_error("rename", self.folder / name, error) from error
        self.sync_folder()

    def truncate(self, name: str, length_bytes: int) -> None:
        """Truncate a file to the given length.

        :raises StorageError: if it can't be written.
        """
        try:
            os.ftruncate(self._handle(name), length_bytes)
        except OSError as error:
            raise _storage_error("truncate", self.folder / name, error) from error

    def delete(self, name: str) -> None:
        """Remove a file; a missing file is no error.

        :raises StorageError: if it can't be removed.
        """
        self._close(name)
        try:
            (self.folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise _storage_error("delete", self.folder / name, error) from error

    def sync_file(self, name: str) -> None:
        """Make a file's contents durable.

        :raises StorageError: if they can't be synced.
        """
        try:
            os.fdatasync(self._handle(name))
        except OSError as error:
            raise _storage_error("sync", self.folder / name, error) from error

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable.

        :raises StorageError: if the folder can't be synced.
        """
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        except OSError as error:
            raise _storage_error("sync folder", self.folder, error) from error
        finally:
            os.close(handle)

    def close(self) -> None:
        """Close all open files."""
        for name in list(self._handles):
            self._close(name)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            handle = os.open(self.folder / name, flags, 0o640)
            self._handles[name] = handle
        return handle

    def _close(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


_ADVICE = {
    errno.ENOSPC: "the disk is full: free space, and the node goes on by itself",
    errno.EDQUOT: "the disk quota is used up: free space, and the node goes on by itself",
    errno.EROFS: "the file system is read-only: repair and remount it",
    errno.EACCES: "permission denied: give the daemon's user access to the folder",
    errno.EIO: "the disk reports an error: replace it and let the node join as a new one",
}


def _storage_error(step: str, path: Path, error: OSError) -> StorageError:
    advice = _ADVICE.get(error.errno or 0, "check the folder")
    return StorageError(f"{error.strerror or error}; {advice}", step=step, peer=str(path))


class ReadOnlyDisk(FileDisk):
    """A folder that is only read: appends, truncations and syncs are ignored."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._handles = {}

    def append(self, name: str, data: bytes) -> None:
        """Do nothing."""

    def truncate(self, name: str, length_bytes: int) -> None:
        """Do nothing."""

    def sync_file(self, name: str) -> None:
        """Do nothing."""

    def sync_folder(self) -> None:
        """Do nothing."""
