"""Commits that wait for replicas at their members, and end early if the member is replaced."""

from collections.abc import Callable

__all__ = ["PendingCommits"]


class PendingCommits:
    """Commits of one service that were sent and not answered, by member.

    Examples
    --------
    >>> pending, ended = PendingCommits(), []
    >>> first, second = lambda: ended.append("first"), lambda: ended.append("second")
    >>> pending.add("m1", first), pending.add("m2", second)
    (None, None)
    >>> pending.end_elsewhere("m2"), ended
    (None, ['first'])
    >>> pending.end_at("m1"), pending.end_at("m2"), ended
    (None, None, ['first', 'second'])
    """

    __slots__ = ("_by_member",)

    def __init__(self) -> None:
        self._by_member: dict[str, dict[Callable[[], None], None]] = {}

    def add(self, instance: str, on_replaced: Callable[[], None]) -> None:
        """Call ``on_replaced`` if a member is replaced before :meth:`remove`."""
        self._by_member.setdefault(instance, {})[on_replaced] = None

    def remove(self, instance: str, on_replaced: Callable[[], None]) -> None:
        """Forget a commit that was answered; ignored if it was ended."""
        commits = self._by_member.get(instance, {})
        commits.pop(on_replaced, None)
        if not commits:
            self._by_member.pop(instance, None)

    def end_at(self, instance: str) -> None:
        """End the commits at a member that doesn't lead any more."""
        for on_replaced in self._by_member.pop(instance, {}):
            on_replaced()

    def end_elsewhere(self, primary: str) -> None:
        """End the commits at all members but one that has proved to lead."""
        for instance in [instance for instance in self._by_member if instance != primary]:
            self.end_at(instance)
