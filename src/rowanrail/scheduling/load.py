"""What a holder of connections tells about its load with each answer, and how it ages."""

import msgspec

__all__ = ["ServiceLoad"]


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of one service at the gateway that holds its connections.

    Parameters
    ----------
    waits : list of int
        Milliseconds that a statement of each urgency, from 0 on, would wait for room now; the last
        one also stands for all that are less urgent.
    """

    waits: list[int] = []
