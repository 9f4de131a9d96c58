"""Estimate an endpoint's load time and limit its concurrent loads; pure."""

from dataclasses import dataclass

from fescuekeel.components.placement.const import (
    CHECK_PERIOD_S,
    CONCURRENCY_DECREASE,
    CONCURRENCY_INCREASE,
    FASTEST_LOAD_GROWTH,
    LOAD_S,
    LOAD_TIME_WEIGHT,
    MAX_PENDING,
    SLOW_LOAD_FACTOR,
    WARM_LOAD_S,
)

__all__ = ["LoadTimeEstimator"]


@dataclass(slots=True)
class LoadTimeEstimator:
    """Moving average of the time of loads from the weight store.

    The first check for completion comes just before the expected end of a
    load, and further checks follow at short intervals.

    >>> estimator = LoadTimeEstimator()
    >>> for _ in range(50):
    ...     estimator.record_load(0.5, warm=False)
    >>> round(estimator.get_first_check_s(warm=False), 2)
    0.49
    """

    cold_load_s: float = LOAD_S
    _fastest_s: float = float("inf")
    _concurrency: float = MAX_PENDING

    @property
    def max_concurrent(self) -> int:
        """Return how many loads may be in progress at the endpoint.

        Loads share the bandwidth of the weight store. Beyond its capacity all
        of them slow down in proportion, including the urgent ones.
        """
        return max(1, int(self._concurrency))

    def record_load(self, took_s: float, warm: bool) -> None:
        """Record the duration of a load, until it was seen to be done."""
        if warm:
            return
        self.cold_load_s += LOAD_TIME_WEIGHT * (took_s - self.cold_load_s)
        self._fastest_s = min(took_s, self._fastest_s * FASTEST_LOAD_GROWTH)
        if took_s > SLOW_LOAD_FACTOR * self._fastest_s:
            self._concurrency = max(1.0, self._concurrency * CONCURRENCY_DECREASE)
        else:
            self._concurrency = min(
                float(MAX_PENDING), self._concurrency + CONCURRENCY_INCREASE
            )

    def get_first_check_s(self, warm: bool) -> float:
        """Return the delay from an order to the first completion check."""
        return WARM_LOAD_S if warm else self.cold_load_s - CHECK_PERIOD_S
