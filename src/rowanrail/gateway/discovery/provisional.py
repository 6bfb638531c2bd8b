"""Provisional directory that a gateway uses until the control nodes have elected a leader.

After a full restart the control nodes need some round trips to elect a leader and to learn what is
committed. Of any majority of the voters, the log that is most up to date, by the term and index of
its last entry, contains every committed entry; this is why an elected leader has them all (leader
completeness, Ongaro and Ousterhout, 2014, section 5.4.3).

That log may end with uncommitted entries. Members are what they announced themselves, so that
uncommitted ones are used until a leader's reply replaces them. The configuration and the
evacuations are orders, which must not be obeyed before they are committed: an uncommitted one may
be lost, and another one committed under the same version. They are used only if a majority proves
that they are committed.

Keeps the logs that control nodes reported and the directory that was applied. Does no I/O: the
calls are made by :mod:`control_plane_client`.
"""

from collections.abc import Iterable

from rowanrail.directory.messages import DirectoryReply, LoggedDirectoryReply

__all__ = [
    "ProvisionalDirectory",
    "accepts_stale_reply",
    "are_orders_committed",
    "latest_log_of_majority",
]

# Time since the start after which a stale reply is better than none. An election takes less than
# 1 s.
STALE_REPLY_AFTER_SECONDS = 3.0


def accepts_stale_reply(has_configuration: bool, waited_seconds: float) -> bool:
    """Return whether to apply the reply of a control node that is not up to date.

    This is safe for a gateway with a configuration, since lower versions and revisions are ignored.
    A gateway that has just started waits for an up-to-date node, because an old configuration may
    refuse clients wrongly.

    Parameters
    ----------
    has_configuration : bool
        Whether a control node's reply gave a configuration.
    waited_seconds : float
        Time since the start.

    Examples
    --------
    >>> accepts_stale_reply(True, 0.1), accepts_stale_reply(False, 3.0)
    (True, False)
    >>> accepts_stale_reply(False, 3.1)
    True
    """
    return has_configuration or waited_seconds > STALE_REPLY_AFTER_SECONDS


def latest_log_of_majority(replies: Iterable[LoggedDirectoryReply]) -> LoggedDirectoryReply | None:
    """Return the reply that contains every committed entry, None without a majority.

    Parameters
    ----------
    replies : iterable of LoggedDirectoryReply
        At most one of each node. Nodes that don't vote don't count towards the majority.
    """
    by_node = {reply.node: reply for reply in replies}
    latest = max(by_node.values(), key=_last_entry, default=None)
    if latest is None or not _is_majority(by_node, latest.voters):
        return None
    return latest


def _last_entry(reply: LoggedDirectoryReply) -> tuple[int, int]:
    return reply.last_term, reply.last_index


def _is_majority(nodes: Iterable[str], voters: Iterable[str]) -> bool:
    needed = set(voters)
    return 2 * len(needed.intersection(nodes)) > len(needed)


def are_orders_committed(
    latest: LoggedDirectoryReply, replies: Iterable[LoggedDirectoryReply]
) -> bool:
    """Return whether the configuration and the evacuations of a log are proved to be committed.

    A majority must hold the same ones, in logs that end in the newest term that the node knows.
    Logs that end in one term are prefixes of each other, so that the shortest of the majority's
    contains the orders. A later leader needs the vote of one of these nodes. None of them has
    voted in a later term yet, and then it votes only for a log that is as up to date as its own,
    which contains that shortest log.

    To be held by a majority isn't enough: an entry of an earlier term can still be overwritten
    (Ongaro and Ousterhout, 2014, section 5.4.2).

    Parameters
    ----------
    latest : LoggedDirectoryReply
        The reply of :func:`latest_log_of_majority`.
    replies : iterable of LoggedDirectoryReply
        At most one of each node.
    """
    agreeing = [
        reply.node
        for reply in replies
        if reply.term == reply.last_term == latest.last_term
        and _orders(reply.directory) == _orders(latest.directory)
    ]
    return _is_majority(agreeing, latest.voters)


def _orders(directory: DirectoryReply) -> tuple[int, bytes, int]:
    evacuations = directory.evacuations
    revision = 0 if evacuations is None else evacuations.revision
    return directory.version, directory.document, revision


class ProvisionalDirectory:
    """Chooses a directory from the control nodes' logs until one of them is up to date."""

    def __init__(self) -> None:
        self._replies: dict[str, LoggedDirectoryReply] = {}
        self._applied: DirectoryReply | None = None

    def record(self, reply: LoggedDirectoryReply) -> LoggedDirectoryReply | None:
        """Record the directory in a control node's log.

        Returns
        -------
        LoggedDirectoryReply or None
            The reply to apply; None without a majority, without a configuration, while it is not
            proved that its orders are committed, or if its directory is applied already.
        """
        self._replies[reply.node] = reply
        replies = self._replies.values()
        latest = latest_log_of_majority(replies)
        if latest is None or not latest.directory.version or self._is_applied(latest.directory):
            return None
        return latest if are_orders_committed(latest, replies) else None

    def _is_applied(self, directory: DirectoryReply) -> bool:
        applied = self._applied
        return applied is not None and (applied.revision, applied.version, applied.document) == (
            directory.revision,
            directory.version,
            directory.document,
        )

    def set_applied(self, directory: DirectoryReply) -> None:
        """Set the directory that the gateway applied."""
        self._applied = directory
