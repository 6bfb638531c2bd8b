"""Provisional directory that a gateway uses until the control nodes have elected a leader.

After a full restart the control nodes need some round trips to elect a leader and to learn what is
committed. Of any majority of the voters, the log that is most up to date, by the term and index of
its last entry, contains every committed entry; this is why an elected leader has them all (leader
completeness, Ongaro and Ousterhout, 2014, section 5.4.3).

That log may end with uncommitted entries, so its directory is provisional: a leader's reply
replaces it, even under the same version.

Keeps the logs that control nodes reported and the directory that was applied. Does no I/O: the
calls are made by :mod:`control_plane_client`.
"""

from collections.abc import Iterable

from rowanrail.directory.messages import DirectoryReply, LoggedDirectoryReply

__all__ = ["ProvisionalDirectory", "latest_log_of_majority", "accepts_stale_reply"]

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
    if latest is None:
        return None
    voters = set(latest.voters)
    answered = voters & by_node.keys()
    if 2 * len(answered) <= len(voters):
        return None
    return latest


def _last_entry(reply: LoggedDirectoryReply) -> tuple[int, int]:
    return reply.last_term, reply.last_index


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
            The reply to apply; None without a majority, without a configuration, or if its
            directory is applied already.
        """
        self._replies[reply.node] = reply
        latest = latest_log_of_majority(self._replies.values())
        if latest is None or not latest.directory.version or self._is_applied(latest.directory):
            return None
        return latest

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

    def is_superseded_by(self, reply: DirectoryReply) -> bool:
        """Return whether a reply has another document under the applied version."""
        applied = self._applied
        return (
            applied is not None
            and applied.version == reply.version
            and applied.document != reply.document
        )

    def clear(self) -> None:
        """Forget the applied directory: a control node's reply has replaced it."""
        self._applied = None
