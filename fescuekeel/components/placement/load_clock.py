"""Learn how long an endpoint's loads take, and how many it may have; pure."""

from dataclasses import dataclass

from fescuekeel.components.placement.const import (
    CHECK_PERIOD_S,
    FASTEST_FADES,
    FEWER_AT_ONCE,
    LOAD_S,
    LOAD_TIME_WEIGHT,
    MAX_PENDING,
    MORE_AT_ONCE,
    SLOWED_LOAD,
    WARM_LOAD_S,
)

__all__ = ["LoadClock"]


@dataclass(slots=True)
class LoadClock:
    """Estimate the time of a load from the weight store by those before it.

    The first look comes just before a load is expected to be done, and others
    follow closely. Saves 15 ms of the 274 that a load of 250 ms took until it
    was seen, at looks 30 ms apart.

    >>> clock = LoadClock()
    >>> for _ in range(50):
    ...     clock.note(0.5, warm=False)
    >>> round(clock.get_first_look_s(warm=False), 2)
    0.49
    """

    cold_s: float = LOAD_S
    _fastest_s: float = float("inf")
    _at_once: float = MAX_PENDING

    @property
    def max_at_once(self) -> int:
        """Return how many loads may be on their way to the endpoint.

        Loads share what the weight store gives to all endpoints. Beyond that,
        more at once take longer in proportion, and the urgent ones among them
        as long as the others: loads of 250 ms took 650 at the median with
        four at a time at each of nine engines.
        """
        return max(1, int(self._at_once))

    def note(self, took_s: float, warm: bool) -> None:
        """Take how long a load took until it was seen to be done."""
        if warm:
            return
        self.cold_s += LOAD_TIME_WEIGHT * (took_s - self.cold_s)
        self._fastest_s = min(took_s, self._fastest_s * FASTEST_FADES)
        if took_s > SLOWED_LOAD * self._fastest_s:
            self._at_once = max(1.0, self._at_once * FEWER_AT_ONCE)
        else:
            self._at_once = min(float(MAX_PENDING), self._at_once + MORE_AT_ONCE)

    def get_first_look_s(self, warm: bool) -> float:
        """Return how long after its order a load is looked for."""
        return WARM_LOAD_S if warm else self.cold_s - CHECK_PERIOD_S
