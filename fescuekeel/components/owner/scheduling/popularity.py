"""Estimates of how often each adapter will be asked for."""

from dataclasses import dataclass, field
from typing import Protocol

from fescuekeel.messages import AdapterRef

__all__ = ["Popularity", "UseEstimate"]

HALF_LIFE_S = 300.0
# Idle adapters must cost nothing: beyond this many the rarest are forgotten.
MAX_KNOWN = 4096


class UseEstimate(Protocol):
    """Estimate from past arrivals how soon an adapter is used again."""

    def record(self, adapter: AdapterRef, now: float) -> None:
        """Take in one arrival."""

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return a score that is higher the sooner the next use is."""


@dataclass(slots=True)
class Popularity:
    """Count arrivals of each adapter, older ones for less.

    The count halves with every ``half_life_s``, so that it follows a shift
    of popularity, unlike a plain count, and is not ruled by the last arrival
    alone, unlike recency.

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
        if len(self._scores_by_adapter) > MAX_KNOWN:
            self._forget(now)

    def get_score(self, adapter: AdapterRef, now: float) -> float:
        """Return the decayed count of arrivals."""
        score = self._scores_by_adapter.get(adapter)
        if score is None:
            return 0.0
        age_s = now - self._times_by_adapter[adapter]
        return float(score * 0.5 ** (age_s / self.half_life_s))

    def rank(self, now: float) -> list[AdapterRef]:
        """Return the known adapters, the most popular first."""
        return sorted(
            self._scores_by_adapter,
            key=lambda adapter: (-self.get_score(adapter, now), adapter),
        )

    def _forget(self, now: float) -> None:
        for adapter in self.rank(now)[MAX_KNOWN * 3 // 4 :]:
            del self._scores_by_adapter[adapter]
            del self._times_by_adapter[adapter]
