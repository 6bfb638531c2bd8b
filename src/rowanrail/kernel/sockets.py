"""How soon the kernel closes connections whose far end is gone without closing them.

For everything that opens or accepts connections. Owns the limits; relies on TCP's options.
"""

import asyncio
import socket

__all__ = ["set_tcp_timeouts"]

# Of bytes that nobody acknowledges: 30 round trips between regions, and less than a long poll.
UNACKNOWLEDGED_MS = 1500
# Of a connection that nobody writes to. Its other end gave it up long before, so this only frees
# its descriptor, of some 4,000: after 15 to 20 s, for one packet in 10 s on an idle connection.
IDLE_BEFORE_PROBE_S = 10
BETWEEN_PROBES_S = 5
UNANSWERED_PROBES = 2


def set_tcp_timeouts(transport: asyncio.BaseTransport) -> None:
    """Have the kernel close a connection whose far end is gone without closing it.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        A TCP connection. One that has no socket, as in a simulation, is left as it is.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_BEFORE_PROBE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, BETWEEN_PROBES_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, UNANSWERED_PROBES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
