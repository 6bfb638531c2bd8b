"""Rules on members' lives, zones and regions, on plain times in seconds. No I/O."""

from collections import deque

__all__ = ["ColdMembers", "Deadlines", "HomeRegions"]


class Deadlines:
    """Names to which nothing may be sent from some time after an acknowledgement on.

    Parameters
    ----------
    seconds : float
        Allowed between the acknowledgement and the last arrival.

    Examples
    --------
    >>> zones = Deadlines(5.0)
    >>> zones.begin("a", 10.0)
    >>> zones.begin("a", 14.0)  # a repeated order
    >>> zones.is_overdue("a", 15.0), zones.is_overdue("a", 15.1), zones.is_overdue("b", 99.0)
    (False, True, False)
    >>> zones.end("a", 16.0)
    True
    >>> zones.is_overdue("a", 17.0)
    False
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._began: dict[str, float] = {}

    def began(self, name: str) -> float:
        """Return the time of the acknowledgement, infinity if there is none."""
        return self._began.get(name, float("inf"))

    def begin(self, name: str, now: float) -> None:
        """Record an acknowledgement; the first one counts."""
        self._began.setdefault(name, now)

    def end(self, name: str, now: float) -> bool:
        """Forget a name when its withdrawal is sent; return whether it was overdue."""
        was_overdue = self.is_overdue(name, now)
        self._began.pop(name, None)
        return was_overdue

    def is_overdue(self, name: str, now: float) -> bool:
        return now - self.began(name) > self._seconds


class ColdMembers:
    """Statements that arrive at members which became cold, in each second.

    Parameters
    ----------
    seconds : float
        For which a member is cold.
    limit : float
        Statements that may arrive in any second.

    Examples
    --------
    >>> members = ColdMembers(seconds=4.0, limit=2)
    >>> members.begin("m", 10.0)
    >>> [members.count("m", at) for at in (10.1, 10.5, 11.0, 11.2)]
    [1, 2, 3, 3]
    >>> members.is_exceeded("m"), members.count("m", 14.5), members.count("other", 10.0)
    (True, 0, 0)
    """

    def __init__(self, seconds: float, limit: float) -> None:
        self._seconds = seconds
        self._limit = limit
        self._began: dict[str, float] = {}
        self._arrivals: dict[str, deque[float]] = {}

    def begin(self, name: str, now: float) -> None:
        self._began[name] = now
        self._arrivals[name] = deque()

    def count(self, name: str, now: float) -> int:
        """Record an arrival; return how many came within a second, 0 if the member is not cold."""
        if not 0 <= now - self._began.get(name, float("-inf")) < self._seconds:
            return 0
        arrivals = self._arrivals[name]
        arrivals.append(now)
        while now - arrivals[0] >= 1.0:
            arrivals.popleft()
        return len(arrivals)

    def is_exceeded(self, name: str) -> bool:
        """Return whether too many statements arrived in the second before the last arrival."""
        return len(self._arrivals.get(name, ())) > self._limit


class HomeRegions:
    """The regions that each version of the configuration allows.

    Parameters
    ----------
    seconds : float
        After the acknowledgement of a version, older ones must not be followed any more.

    Examples
    --------
    >>> homes = HomeRegions(5.0)
    >>> homes.send(1, ["r1"])
    >>> homes.accept(1, 10.0)
    >>> homes.send(2, ["r2"])  # from now on it may be in force
    >>> homes.allows("r1", 30.0), homes.allows("r2", 30.0), homes.allows("r3", 30.0)
    (True, True, False)
    >>> homes.accept(2, 30.0)
    >>> homes.allows("r1", 34.0), homes.allows("r1", 36.0), homes.allowed_once("r1")
    (True, False, True)
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._regions: dict[int, list[str]] = {}
        self._accepted: dict[int, float] = {}

    def send(self, version: int, regions: list[str]) -> None:
        self._regions[version] = list(regions)

    def accept(self, version: int, now: float) -> None:
        self._accepted.setdefault(version, now)

    def allows(self, region: str, now: float) -> bool:
        """Return whether a version that may still be in force allows a region."""
        due = (v for v, at in self._accepted.items() if now - at > self._seconds)
        oldest = max(due, default=0)
        return any(region in r for v, r in self._regions.items() if v >= oldest)

    def allowed_once(self, region: str) -> bool:
        return any(region in regions for regions in self._regions.values())
