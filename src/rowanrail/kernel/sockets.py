"""TCP timeouts after which the operating system closes connections to unreachable peers."""

import asyncio
import socket

__all__ = ["set_tcp_timeouts"]

# For unacknowledged data: 30 round trips between regions, and less than a long poll.
USER_TIMEOUT_MS = 1500
# For idle connections: frees the file descriptor 15 to 20 s after the peer has become unreachable.
KEEPALIVE_IDLE_SECONDS = 10
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 2


def set_tcp_timeouts(transport: asyncio.BaseTransport) -> None:
    """Set the TCP user timeout and keepalive options of a connection.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        A TCP connection. A transport without a socket, as in a simulation, is left unchanged.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
