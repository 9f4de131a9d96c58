"""Popularity of adapters, as an estimate of their next use."""

from dataclasses import dataclass, field
from typing import Protocol

from fescuekeel.messages import AdapterRef

__all__ = ["Popularity", "UseEstimate"]

HALF_LIFE_S = 300.0
# Bounds the memory: above this number the least popular ones are dropped.
MAX_TRACKED = 4096


class UseEstimate(Protocol):
    """Estimate an adapter's next use from its past arrivals."""

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Record one arrival."""

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return a score that is higher for an earlier expected use."""


@dataclass(slots=True)
class Popularity:
    """Exponentially decayed count of each adapter's arrivals.

    The count halves with every ``half_life_s``. It follows changes of
    popularity, unlike a plain count, and considers more than the last
    arrival, unlike LRU.

    >>> popularity = Popularity(half_life_s=10.0)
    >>> popularity.record(AdapterRef("a", "1"), 0.0)
    >>> popularity.record(AdapterRef("a", "1"), 10.0)
    >>> popularity.get_score(AdapterRef("a", "1"), 20.0)
    0.75
    """

    half_life_s: float = HALF_LIFE_S
    _scores_by_adapter: dict[AdapterRef, float] = field(default_factory=dict)
    _times_by_adapter: dict[AdapterRef, float] = field(default_factory=dict)

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Count one arrival."""
        self._scores_by_adapter[adapter] = self.get_score(adapter, now) + 1.0
        self._times_by_adapter[adapter] = now
        if len(self._scores_by_adapter) > MAX_TRACKED:
            self._forget_rarest(now)

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return the decayed count of arrivals."""
        score = self._scores_by_adapter.get(adapter)
        if score is None:
            return 0.0
        age_s = now - self._times_by_adapter[adapter]
        return float(score * 0.5 ** (age_s / self.half_life_s))

    def rank(self, now: float) -> list[AdapterRef]:
        """Return the tracked adapters, most popular first."""
        return sorted(
            self._scores_by_adapter,
            key=lambda adapter: (-self.get_score(adapter, now), adapter),
        )

    def _forget_rarest(self, now: float) -> None:
        for adapter in self.rank(now)[MAX_TRACKED * 3 // 4 :]:
            del self._scores_by_adapter[adapter]
            del self._times_by_adapter[adapter]
