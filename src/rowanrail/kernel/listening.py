"""Listening sockets, opened before a program is ready to serve them.

Whoever connects to a port that nobody listens on is refused and counts that as a failed try. A
program that opens its ports first and loads the rest of itself afterwards lets them wait in the
kernel's queue instead. This module imports nothing that takes time.
"""

import socket
from collections.abc import Iterable

__all__ = ["open_early", "take_listener"]

BACKLOG = 1024  # connections that the kernel keeps until they are taken

_opened: dict[str, socket.socket] = {}


def open_early(addresses: Iterable[str]) -> None:
    """Listen on addresses at once; one that can't be used is left for its server to report.

    Parameters
    ----------
    addresses : iterable of str
        Each ``IP:port``.
    """
    for address in addresses:
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except (OSError, ValueError, OverflowError):
            listener.close()
            continue
        listener.setblocking(False)
        _opened[address] = listener


def take_listener(address: str) -> socket.socket:
    """Return a listening socket for an address: the one that was opened early, or a new one.

    Parameters
    ----------
    address : str
        ``IP:port``.

    Raises
    ------
    OSError
        If the address can't be used.
    ValueError
        If it is no address.
    """
    opened = _opened.pop(address, None)
    if opened is not None:
        return opened
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    listener.setblocking(False)
    return listener
