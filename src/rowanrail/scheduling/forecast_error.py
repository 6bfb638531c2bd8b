"""Accuracy of wait forecasts, and the share of a forecast that can be relied on.

Keeps moving averages for one member, by urgency. Admission multiplies a forecast wait by this share
before it rejects a statement; a fixed share is used until there are observations.
"""

__all__ = ["INITIAL_RELIABLE_SHARE", "ForecastError", "ForecastErrors"]

# Used until the accuracy of forecasts is known. The mean of ten lease times has a standard error of
# a third if they vary as much as their mean, and some statements ahead leave without being served.
INITIAL_RELIABLE_SHARE = 0.6
# Bounds of the reliable share. At the lower bound no statement is rejected that would wait less
# than a third of its forecast.
MIN_RELIABLE_SHARE, MAX_RELIABLE_SHARE = 0.3, 1.0
# Share of their time limit for which statements must have waited lately for the queue to count as
# standing; only then is a forecast trusted as far as earlier ones were accurate.
LONG_WAIT_SHARE = 0.5
MAX_URGENCY = 7  # less urgent statements share its figures, which bounds memory
MIN_FORECAST_MS = 50.0  # shorter forecasts are ignored: a single long lease makes them wrong
MAX_RATIO = 4.0  # of a wait to its forecast; limits the weight of an outlier
FORECAST_WEIGHT = 0.1  # weight of the newest wait in the moving averages


class ForecastError:
    """Accuracy of the forecasts for one urgency: mean and deviation of wait / forecast.

    Both are exponential moving averages, as for round-trip times in TCP. The reliable share is the
    mean minus the deviation, scaled down unless recent waits show that the queue is standing.

    Examples
    --------
    >>> error = ForecastError()
    >>> error.reliable_share
    0.3
    >>> for _ in range(30):
    ...     error.note(forecast=500, waited=500, time_limit=800)
    >>> round(error.reliable_share, 2)
    0.98
    >>> for _ in range(30):
    ...     error.note(forecast=0, waited=0, time_limit=800)
    >>> error.reliable_share
    0.3
    """

    __slots__ = ("_deviation", "_mean", "_waited_share")

    def __init__(self) -> None:
        self._mean = 1.0
        self._deviation = 1.0 - INITIAL_RELIABLE_SHARE
        self._waited_share = 0.0

    @property
    def reliable_share(self) -> float:
        """Share of a forecast wait that a statement waits at least, as far as is known."""
        standing = min(1.0, self._waited_share / LONG_WAIT_SHARE)
        share = (self._mean - self._deviation) * standing
        return min(MAX_RELIABLE_SHARE, max(MIN_RELIABLE_SHARE, share))

    def note(
        self, forecast: float, waited: float, time_limit: float, was_served: bool = True
    ) -> None:
        """Record the actual wait of a statement, in milliseconds, beside its forecast.

        Parameters
        ----------
        time_limit : float
            Milliseconds that the statement was given.
        was_served : bool
            Whether it got what it waited for; otherwise ``waited`` is only a lower bound.
        """
        self._waited_share += FORECAST_WEIGHT * (waited / time_limit - self._waited_share)
        if forecast < MIN_FORECAST_MS or not (was_served or waited > forecast):
            return
        ratio = min(MAX_RATIO, waited / forecast)
        self._deviation += FORECAST_WEIGHT * (abs(ratio - self._mean) - self._deviation)
        self._mean += FORECAST_WEIGHT * (ratio - self._mean)


class ForecastErrors:
    """Accuracy of one member's forecasts, by urgency.

    Forecasts for less urgent statements are less accurate, as these wait for more urgent ones that
    arrive later.

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
        """Return the accuracy of forecasts for an urgency."""
        return self._by_urgency.setdefault(min(urgency, MAX_URGENCY), ForecastError())
