"""How far forecasts of waiting are out, and what of a forecast is certain for that.

Owns moving averages for one member, by urgency; admission asks them for the share of a forecast by
which a statement may be rejected. Before anything was forecast a fixed share stands in.
"""

__all__ = ["CERTAIN_SHARE", "ForecastError", "ForecastErrors"]

# Of a forecast wait is taken as certain before it is known how far forecasts are out: the mean
# length of the last ten leases is off by a third when lengths vary as much as their mean, and some
# of those ahead leave unserved.
CERTAIN_SHARE = 0.6
# Bounds of what is taken as certain: a forecast that holds is believed whole and never beyond what
# it says; one that was far out, or that tells of a queue of a moment, refuses nobody who would
# wait less than a third of it.
LEAST_CERTAIN, MOST_CERTAIN = 0.3, 1.0
# Of the time that statements are given. Where those who got room lately had waited for so long, a
# queue is standing, and a forecast is believed as far as earlier ones held.
LONG_WAIT_SHARE = 0.5
LEAST_URGENT_KNOWN = 7  # urgency; stands for all that are less urgent, so that they are bounded
NOTED_MS = 50.0  # shorter forecasts say little: one long lease among two makes them wrong
MOST_RATIO = 4.0  # of a wait to its forecast; one that was never served would count without bound
FORECAST_WEIGHT = 0.1  # of the newest wait in the moving averages, about the last ten count


class ForecastError:
    """How far forecasts for one urgency are out: the mean of wait over forecast, and its spread.

    Both are moving averages, as of round trips in TCP; what is certain is the mean without the
    deviation. A queue of a moment is told from a standing one by what was waited lately.

    Examples
    --------
    >>> error = ForecastError()
    >>> error.reliable_share
    0.3
    >>> for _ in range(30):
    ...     error.note(forecast=500, waited=500, whole=800)
    >>> round(error.reliable_share, 2)
    0.98
    >>> for _ in range(30):
    ...     error.note(forecast=0, waited=0, whole=800)
    >>> error.reliable_share
    0.3
    """

    __slots__ = ("_deviation", "_mean", "_waited_share")

    def __init__(self) -> None:
        self._mean = 1.0
        self._deviation = 1.0 - CERTAIN_SHARE
        self._waited_share = 0.0

    @property
    def reliable_share(self) -> float:
        """Of a forecast wait is at least waited."""
        queue_stands = min(1.0, self._waited_share / LONG_WAIT_SHARE)
        share = (self._mean - self._deviation) * queue_stands
        return min(MOST_CERTAIN, max(LEAST_CERTAIN, share))

    def note(self, forecast: float, waited: float, whole: float, was_served: bool = True) -> None:
        """Take how long a statement waited for which a wait was forecast, in milliseconds.

        Parameters
        ----------
        whole : float
            Milliseconds that it was given.
        was_served : bool
            Whether it got what it waited for; else it would have waited longer.
        """
        self._waited_share += FORECAST_WEIGHT * (waited / whole - self._waited_share)
        if forecast < NOTED_MS or not (was_served or waited > forecast):
            return
        ratio = min(MOST_RATIO, waited / forecast)
        self._deviation += FORECAST_WEIGHT * (abs(ratio - self._mean) - self._deviation)
        self._mean += FORECAST_WEIGHT * (ratio - self._mean)


class ForecastErrors:
    """How far the forecasts of one member are out, by urgency.

    The wait of the least urgent depends on what more urgent ones will come, and is out by more.

    Examples
    --------
    >>> errors = ForecastErrors()
    >>> errors.of(1) is errors.of(1), errors.of(1) is errors.of(0), errors.of(70) is errors.of(71)
    (True, False, True)
    """

    __slots__ = ("_by_urgency",)

    def __init__(self) -> None:
        self._by_urgency: dict[int, ForecastError] = {}

    def of(self, urgency: int) -> ForecastError:
        """Return the error of forecasts for an urgency."""
        return self._by_urgency.setdefault(min(urgency, LEAST_URGENT_KNOWN), ForecastError())
