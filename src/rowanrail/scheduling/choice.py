"""Selection of the member that serves a read, by its expected completion time.

Three measures keep holders of connections that decide on the same outdated information from all
selecting the same member:

- A holder's own statements count as soon as they are assigned to a member, before any answer
  reflects them.
- Among members of nearly equal cost one is drawn at random, with a higher probability for a lower
  cost.
- Answer times are smoothed, see :mod:`rowanrail.scheduling.run_times`.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from rowanrail.scheduling.admission import Forecast

__all__ = ["Candidate", "choose_member", "effective_wait", "expected_run_time", "selection_cost"]

# Members whose cost is within this share of the lowest are drawn from; answer times of equally
# loaded members differ by about as much.
NEARLY_EQUAL = 0.1
# Advantage in ms that a member in another zone or region must have to be worth the traffic between
# them. One part is fixed, since short statements transfer as many bytes; the other is a share of
# the service time.
ZONE_PREFERENCE_MS = 1.0
REGION_PREFERENCE_MS = 8.0
ZONE_PREFERENCE_SHARE = 0.1
REGION_PREFERENCE_SHARE = 0.3
# Service times added for a read at the primary, when it is idle and in proportion to its
# utilization: the delay of writes by a read that takes a slot. Only the primary serves writes, and
# a transaction may wait at each of its statements, of which most have up to four.
IDLE_RESERVE = 0.3
FULL_RESERVE = 4.0
# Cost of errors, each of which uses up one of the client's attempts: a factor on the answer time,
# and the time that a client takes to retry, which dominates for short statements.
ERROR_FACTOR = 10.0
ERROR_COST_MS = 200.0
SUSPECT_COST_MS = 5000.0  # higher than any other cost, so that a suspect member comes last
# Round trip and second selection if the member's log turns out to lack the required position.
BEHIND_COST_MS = 40.0
MAX_CATCH_UP_MS = 1000.0  # longer times to catch up make no difference
REMOTE_ROUND_TRIP_MS = 40.0  # assumed for a member in another region
# Share of an opening's time that counts if the connection belongs to a tenant: it serves about two
# statements before another tenant needs its place. A connection without a tenant serves any later
# statement, and a member must not be avoided only because no connection to it is open yet.
OPENING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member that may serve a read; times in milliseconds.

    Parameters
    ----------
    instance : str
        Identifies the member's process: it changes with each restart.
    wait : float
        Time until a statement can be sent there.
    run_time : float
        Time from sending to the answer on an idle member, including the round trip.
    queue_delay : float
        By how much recent answers exceeded that time.
    service_time : float
        Time for which such a statement occupies a slot.
    in_flight : int
        Own statements that were assigned to the member and not answered yet.
    slots : int
        Statements that the member runs concurrently.
    is_primary : bool
        Whether it is believed to be the primary, whose slots all writes need.
    error_share : float
        Share of recent answers that were errors of the member itself, 0 to 1.
    is_suspect : bool
        Whether it failed recently and is probed by one request at a time.
    slowdown : float
        Factor on ``service_time`` while it warms up after a start; 1 when it is warm.
    weight : float
        Weight that is left after failures, above 0 to 1; see
        :class:`rowanrail.scheduling.member_weight.MemberWeight`.
    distance : int
        0 in the holder's own zone, 1 in its region, 2 elsewhere.
    catch_up_time : float
        Time for which the member's log is expected to lack the position that the read requires.
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
    def utilization(self) -> float:
        """Estimated utilization, 0 to 1: by own statements or by answer times if that is higher."""
        by_answers = self.queue_delay / max(self.queue_delay + self.service_time, 1.0)
        return min(1.0, max(self.in_flight / max(1, self.slots), by_answers))


def effective_wait(forecast: Forecast, is_of_tenant: bool) -> float:
    """Return the wait in milliseconds by which a member is judged for selection.

    Only a part of the time for opening a connection counts, or none if it belongs to no tenant.

    Parameters
    ----------
    forecast : Forecast
        Forecast for the statement at the member.
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
    """Return the milliseconds that a read takes on an idle member, including the round trip.

    Parameters
    ----------
    baseline : float or None
        Observed run time of such reads on the idle member; None if unknown.
    service_time : float
        Time for which such a read occupies a slot on the fastest member.
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


def selection_cost(candidate: Candidate) -> float:
    """Return the expected completion time of a read in milliseconds, plus penalties.

    The penalties stand for errors, traffic between zones, slots that writes need on the primary, a
    log that is behind, and a recent failure.

    Examples
    --------
    >>> near, far = Candidate("m1", 0, 20), Candidate("m2", 0, 60, distance=2)
    >>> selection_cost(near) < selection_cost(far)
    True
    >>> full = Candidate("m1", 0, 20, queue_delay=80, in_flight=2)
    >>> selection_cost(full) > selection_cost(far)
    True
    """
    warm_up_delay = (candidate.slowdown - 1) * candidate.service_time
    # The slowdown of a cold member is part of its answer times as well; count it once.
    queue_delay = max(candidate.queue_delay, warm_up_delay)
    queue_delay += candidate.service_time * candidate.in_flight / max(1, candidate.slots)
    answer_time = (candidate.run_time + queue_delay) * (1 + ERROR_FACTOR * candidate.error_share)
    answer_time += ERROR_COST_MS * candidate.error_share
    cost = candidate.wait + answer_time / candidate.weight + _distance_cost(candidate)
    if candidate.is_primary:
        cost += candidate.service_time * (IDLE_RESERVE + FULL_RESERVE * candidate.utilization)
    if candidate.catch_up_time > 0:
        cost += BEHIND_COST_MS + candidate.run_time + min(candidate.catch_up_time, MAX_CATCH_UP_MS)
    if candidate.is_suspect:
        cost += SUSPECT_COST_MS
    return cost


def _distance_cost(candidate: Candidate) -> float:
    if candidate.distance == 0:
        return 0.0
    if candidate.distance == 1:
        return ZONE_PREFERENCE_MS + ZONE_PREFERENCE_SHARE * candidate.service_time
    return REGION_PREFERENCE_MS + REGION_PREFERENCE_SHARE * candidate.service_time


def choose_member(candidates: Iterable[Candidate], randomness: random.Random) -> str | None:
    """Return the instance of the member that serves a read, or None without candidates.

    Parameters
    ----------
    candidates : iterable of Candidate
        The members that may serve it.
    randomness : Random
        Draws among members of nearly equal cost.

    Examples
    --------
    >>> draw = random.Random(1)
    >>> choose_member([Candidate("m1", 0, 20), Candidate("m2", 0, 60)], draw)
    'm1'
    >>> equal = [Candidate("m1", 0, 20), Candidate("m2", 0, 20)]
    >>> sorted({choose_member(equal, draw) for _ in range(20)})
    ['m1', 'm2']
    """
    costs = {candidate.instance: selection_cost(candidate) for candidate in candidates}
    if not costs:
        return None
    lowest = min(costs.values())
    margin = max(NEARLY_EQUAL * lowest, 1.0)
    weights = {name: 1 - (cost - lowest) / margin for name, cost in costs.items()}
    names = [name for name, weight in weights.items() if weight > 0]
    if len(names) == 1:
        return names[0]
    return randomness.choices(names, [weights[name] for name in names])[0]
