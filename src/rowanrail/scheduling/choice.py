"""Which member serves a read soonest, by what is seen of each.

The member is taken where the read is expected to be done first. Three means keep holders of
connections that decide on the same stale knowledge from going all to one member:

- A holder's own statements count from the moment at which they are given to a member, long before
  an answer tells about the queue there.
- Among members that are nearly equal one is drawn, the quicker with the higher probability.
- What is learnt from answers is smoothed before it gets here, see
  :mod:`rowanrail.scheduling.run_times`.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from rowanrail.scheduling.admission import Forecast

__all__ = ["Candidate", "choose_member", "completion", "effective_wait", "expected_run_time"]

# Of the best completion: members within it are drawn from. Answers of members that are equally
# loaded differ by about as much.
NEARLY_EQUAL = 0.1
# Milliseconds that a member across zones, or regions, must be quicker to be worth the bytes on
# callers' links, in part of what a statement runs for, since short ones carry as many bytes.
ZONE_PREFERENCE_MS = 1.0
REGION_PREFERENCE_MS = 8.0
ZONE_PREFERENCE_SHARE = 0.1
REGION_PREFERENCE_SHARE = 0.3
# Of a run, on an idle primary and more on a full one: what writes wait longer for a read that took
# a slot there. Writes have nowhere else to go, and a transaction waits at each of its statements,
# of which most have up to four.
IDLE_RESERVE = 0.3
FULL_RESERVE = 4.0
# Errors cost a client an attempt, and after some the answer: as if so many times slower, and for
# short statements by no less than what a client takes to retry (ms).
ERROR_FACTOR = 10.0
ERROR_COST_MS = 200.0
SUSPECT_COST_MS = 5000.0  # ms; above any completion, so that a suspect member comes last
# Milliseconds of a round trip and a new decision, lost where the log lacks the floor.
BEHIND_COST_MS = 40.0
LONGEST_BEHIND_MS = 1000.0  # ms; a member that is further behind is as good as unusable
REMOTE_ROUND_TRIP_MS = 40.0  # ms there and back between regions of 20 ms one way
# Of an opening, for a connection that belongs to a tenant: it serves about two statements before
# another tenant needs its place. One that belongs to nobody serves whoever comes next, and a
# member must not be passed over for good because nobody has opened a connection to it yet.
OPENING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of a member that may serve a read; times in milliseconds.

    Parameters
    ----------
    instance : str
        Identity of one life of the member.
    wait : float
        Until a statement may be sent there.
    run_time : float
        From then to its answer if nothing is in its way, the way there and back included.
    queue_delay : float
        By how much the latest answers took longer than that.
    service_time : float
        What a slot takes for such a statement.
    in_flight : int
        Own statements that were given to the member and not answered yet.
    slots : int
        Statements that the member runs at once.
    is_primary : bool
        Whether it is believed to lead, so that all writes need its slots.
    error_share : float
        Share of its latest answers that were errors of its own, 0 to 1.
    is_suspect : bool
        Whether it failed a moment ago, so that it is tried by one request at a time.
    slowdown : float
        Factor on ``service_time`` while it is cold after its start; 1 for a warm one.
    weight : float
        What is left of its part of the work after failures, above 0 to 1.
    distance : int
        0 in the holder's own zone, 1 in its region, 2 elsewhere.
    catch_up_time : float
        For how long the member's log is still expected to lack what the read must see.
    """

    instance: str
    wait: float
    run_time: float
    queue_delay: float = 0.0
    service_time: float = 20.0
    in_flight: int = 0
    slots: int = 1
    is_primary: bool = False
    error_share: float = 0.0
    is_suspect: bool = False
    slowdown: float = 1.0
    weight: float = 1.0
    distance: int = 0
    catch_up_time: float = 0.0

    @property
    def fullness(self) -> float:
        """How full the member is, 0 to 1: by own statements, or by how long its answers take."""
        by_answers = self.queue_delay / max(self.queue_delay + self.service_time, 1.0)
        return min(1.0, max(self.in_flight / max(1, self.slots), by_answers))


def effective_wait(forecast: Forecast, is_of_tenant: bool) -> float:
    """Return the milliseconds until a statement may be sent, as far as they count for a choice.

    Parameters
    ----------
    forecast : Forecast
        What the statement can expect at the member.
    is_of_tenant : bool
        Whether it needs a connection of its tenant.

    Examples
    --------
    >>> forecast = Forecast(wait=50.0, run_time=20.0, opening=30.0)
    >>> effective_wait(forecast, is_of_tenant=False), effective_wait(forecast, is_of_tenant=True)
    (20.0, 35.0)
    """
    share = OPENING_SHARE if is_of_tenant else 0.0
    return forecast.wait - (1 - share) * forecast.opening


def expected_run_time(baseline: float | None, service_time: float, is_remote: bool) -> float:
    """Return the milliseconds that a read takes at a member with nothing in its way.

    Parameters
    ----------
    baseline : float or None
        What such reads took there; None if it isn't known.
    service_time : float
        What a slot takes for such a read where it is quickest.
    is_remote : bool
        Whether the member is known to be in another region.

    Examples
    --------
    >>> expected_run_time(25.0, 20.0, is_remote=True), expected_run_time(None, 20.0, is_remote=True)
    (25.0, 60.0)
    """
    if baseline is not None:
        return baseline
    return service_time + (REMOTE_ROUND_TRIP_MS if is_remote else 0.0)


def completion(candidate: Candidate) -> float:
    """Return in how many milliseconds a read is expected to be done at a member, or as if.

    Examples
    --------
    >>> near, far = Candidate("m1", 0, 20), Candidate("m2", 0, 60, distance=2)
    >>> completion(near) < completion(far)
    True
    >>> full = Candidate("m1", 0, 20, queue_delay=80, in_flight=2)
    >>> completion(full) > completion(far)
    True
    """
    cold = (candidate.slowdown - 1) * candidate.service_time
    # A cold member's slowness shows in its answers, too: once is enough.
    queue = max(candidate.queue_delay, cold)
    queue += candidate.service_time * candidate.in_flight / max(1, candidate.slots)
    served = (candidate.run_time + queue) * (1 + ERROR_FACTOR * candidate.error_share)
    served += ERROR_COST_MS * candidate.error_share
    cost = candidate.wait + served / candidate.weight + _preference(candidate)
    if candidate.is_primary:
        cost += candidate.service_time * (IDLE_RESERVE + FULL_RESERVE * candidate.fullness)
    if candidate.catch_up_time > 0:
        cost += (
            BEHIND_COST_MS + candidate.run_time + min(candidate.catch_up_time, LONGEST_BEHIND_MS)
        )
    if candidate.is_suspect:
        cost += SUSPECT_COST_MS
    return cost


def _preference(candidate: Candidate) -> float:
    if candidate.distance == 0:
        return 0.0
    if candidate.distance == 1:
        return ZONE_PREFERENCE_MS + ZONE_PREFERENCE_SHARE * candidate.service_time
    return REGION_PREFERENCE_MS + REGION_PREFERENCE_SHARE * candidate.service_time


def choose_member(candidates: Iterable[Candidate], randomness: random.Random) -> str | None:
    """Return the member for a read, None if there is no candidate.

    Parameters
    ----------
    candidates : iterable of Candidate
        The members that may serve it.
    randomness : Random
        Draws among those that are nearly equal.

    Examples
    --------
    >>> draw = random.Random(1)
    >>> choose_member([Candidate("m1", 0, 20), Candidate("m2", 0, 60)], draw)
    'm1'
    >>> equal = [Candidate("m1", 0, 20), Candidate("m2", 0, 20)]
    >>> sorted({choose_member(equal, draw) for _ in range(20)})
    ['m1', 'm2']
    """
    costs = {candidate.instance: completion(candidate) for candidate in candidates}
    if not costs:
        return None
    best = min(costs.values())
    margin = max(NEARLY_EQUAL * best, 1.0)
    nearly = {name: 1 - (cost - best) / margin for name, cost in costs.items()}
    names = [name for name, weight in nearly.items() if weight > 0]
    if len(names) == 1:
        return names[0]
    return randomness.choices(names, [nearly[name] for name in names])[0]
