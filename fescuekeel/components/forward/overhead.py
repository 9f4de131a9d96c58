"""Estimate the part of the time to first chunk that is not prefill; pure.

Some engines add a fixed time to each first chunk, and under load a prompt also
waits for the one in progress. Counted as prefill, this would underestimate the
engine's speed, and prompts would be refused while it idles.
"""

from dataclasses import dataclass

from fescuekeel.components.endpoints import ENGINE_STEP_S
from fescuekeel.components.forward.const import (
    MAX_OVERHEAD_S,
    MIN_OVERHEAD_SAMPLES,
    OVERHEAD_WINDOW_SAMPLES,
)

__all__ = ["OverheadEstimator"]


@dataclass(slots=True)
class OverheadEstimator:
    """Linear regression of waits on prompt tokens, with decaying weights.

    The intercept is the overhead and the slope the prefill time per token:
    the wait for other prompts does not depend on a prompt's own size.

    >>> estimator = OverheadEstimator()
    >>> for tokens in (200, 400, 800, 1600, 300, 600, 1200, 2400):
    ...     estimator.note(tokens, 0.09 + tokens / 16_000)
    >>> round(estimator.overhead_s, 3)
    0.09
    """

    _weight: float = 0.0
    _tokens: float = 0.0
    _waits: float = 0.0
    _tokens_squared: float = 0.0
    _tokens_times_waits: float = 0.0

    def note(self, tokens: int, wait_s: float) -> None:
        """Add a sample: the wait for the first chunk of one prompt."""
        keep = 1 - 1 / OVERHEAD_WINDOW_SAMPLES
        self._weight = self._weight * keep + 1
        self._tokens = self._tokens * keep + tokens
        self._waits = self._waits * keep + wait_s
        self._tokens_squared = self._tokens_squared * keep + tokens * tokens
        self._tokens_times_waits = self._tokens_times_waits * keep + tokens * wait_s

    @property
    def overhead_s(self) -> float:
        """Return the overhead in seconds, one step without enough samples."""
        if self._weight < MIN_OVERHEAD_SAMPLES:
            return ENGINE_STEP_S
        mean_tokens = self._tokens / self._weight
        mean_wait_s = self._waits / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        if variance <= 0:
            return ENGINE_STEP_S
        covariance = self._tokens_times_waits / self._weight - mean_tokens * mean_wait_s
        intercept_s = mean_wait_s - covariance / variance * mean_tokens
        return min(MAX_OVERHEAD_S, max(ENGINE_STEP_S, intercept_s))
