"""What a gateway takes from control nodes that are not sure of what is committed.

After a loss of all power the control nodes need some round trips to elect a leader and to learn
what is committed. Their logs hold it all the same: of any majority of the voters the longest log,
by the term and index of its last entry, has every committed entry. That is the argument by which
an elected leader has them (Ongaro and Ousterhout, 2014, section 5.4.3).

The log may end with entries that were never committed, so what is taken here is provisional: a
leader's answer replaces it, also under the same version.

Owns what the control nodes' logs held and what of it was taken; asks nobody itself. Relies on
``directory`` for the messages. :mod:`control_plane_client` acts on it.
"""

from collections.abc import Iterable

from rowanrail.directory.messages import DirectoryReply, LoggedDirectoryReply

__all__ = ["ProvisionalDirectory", "latest_log_of_majority", "accepts_stale_reply"]

# Without a sure answer since the start. An election takes less than 1 s; after this, old
# configurations and members are better than none.
STALE_REPLY_AFTER_SECONDS = 3.0


def accepts_stale_reply(knows_configuration: bool, waited_seconds: float) -> bool:
    """Return whether to take the answer of a control node that is cut off from the leader.

    A gateway that knows a configuration loses nothing by it, since lower versions and revisions
    are left aside. One that has just started waits for a node that is sure: clients that are served
    by an old configuration may be refused wrongly.

    Parameters
    ----------
    knows_configuration : bool
        Whether a control node that was sure, or for want of one another, gave a configuration.
    waited_seconds : float
        Since the start.

    Examples
    --------
    >>> accepts_stale_reply(True, 0.1), accepts_stale_reply(False, 3.0)
    (True, False)
    >>> accepts_stale_reply(False, 3.1)
    True
    """
    return knows_configuration or waited_seconds > STALE_REPLY_AFTER_SECONDS


def latest_log_of_majority(replies: Iterable[LoggedDirectoryReply]) -> LoggedDirectoryReply | None:
    """Return the reply that holds all that is committed, None if too few have answered.

    Parameters
    ----------
    replies : iterable of LoggedDirectoryReply
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


def _end(reply: LoggedDirectoryReply) -> tuple[int, int]:
    return reply.last_term, reply.last_index


class ProvisionalDirectory:
    """Configuration and members that a gateway goes by until a control node is sure."""

    def __init__(self) -> None:
        self._replies: dict[str, LoggedDirectoryReply] = {}
        self._taken: DirectoryReply | None = None

    def record(self, reply: LoggedDirectoryReply) -> LoggedDirectoryReply | None:
        """Note what a control node's log holds.

        Returns
        -------
        LoggedDirectoryReply or None
            What to go by from now on; None if too few have answered, if there is no
            configuration yet, or if the same was taken from another node.
        """
        self._replies[reply.node] = reply
        longest = latest_log_of_majority(self._replies.values())
        if longest is None or not longest.directory.version or self._is_taken(longest.directory):
            return None
        return longest

    def _is_taken(self, directory: DirectoryReply) -> bool:
        taken = self._taken
        return taken is not None and (taken.revision, taken.version, taken.document) == (
            directory.revision,
            directory.version,
            directory.document,
        )

    def set_applied(self, directory: DirectoryReply) -> None:
        """Note that the gateway goes by this."""
        self._taken = directory

    def is_superseded_by(self, reply: DirectoryReply) -> bool:
        """Return whether another document won the version that was taken."""
        taken = self._taken
        return (
            taken is not None
            and taken.version == reply.version
            and taken.document != reply.document
        )

    def clear(self) -> None:
        """Note that the gateway goes by a configuration that a control node gave."""
        self._taken = None
