"""What control nodes hold on their disks, for a gateway that starts before they know a leader.

After a loss of all power the control nodes need some round trips to elect a leader and to learn
what is committed. Their logs hold it all the same: of any majority of the voters the longest log,
by the term and index of its last entry, has every committed entry. That is the argument by which
an elected leader has them (Ongaro and Ousterhout, 2014, section 5.4.3).

The log may end with entries that were never committed, so what is taken here is provisional: a
leader's word replaces it, also under the same version.
"""

from collections.abc import Iterable

from rowanrail.directory.messages import HeldReply

__all__ = ["longest_of_majority"]


def longest_of_majority(replies: Iterable[HeldReply]) -> HeldReply | None:
    """Return the reply that holds all that is committed, None if too few have answered.

    Parameters
    ----------
    replies : iterable of HeldReply
        At most one of each node. Nodes that do not vote prove nothing.
    """
    answered = {reply.node: reply for reply in replies}
    longest = max(answered.values(), key=_end, default=None)
    if longest is None:
        return None
    voters = set(longest.voters)
    heard = voters & answered.keys()
    if 2 * len(heard) <= len(voters):
        return None
    return longest


def _end(reply: HeldReply) -> tuple[int, int]:
    return reply.last_term, reply.last_index
