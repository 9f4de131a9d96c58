"""Learn what a first piece takes besides the reading of its prompt; pure.

Some engines add a fixed time to each first piece, which other prompts do not
wait for, and under load a prompt waits for the one that is being read. Taken
for reading time, that makes an engine look half as fast as it is: prompts are
spaced out twice as far, and refused while it idles.
"""

from dataclasses import dataclass

from fescuekeel.components.forward.const import (
    MAX_OVERHEAD_S,
    OVERHEAD_MEMORY,
    OVERHEAD_SAMPLES,
    STEP_S,
)

__all__ = ["FirstPieceFit"]


@dataclass(slots=True)
class FirstPieceFit:
    """Fit a line through waits by prompt tokens; its start is the overhead.

    Older samples count less. What a prompt waits for others does not depend on
    its own size, so that it shows in the start of the line and not in its
    slope, which is how fast prompts are read.

    >>> fit = FirstPieceFit()
    >>> for tokens in (200, 400, 800, 1600, 300, 600, 1200, 2400):
    ...     fit.note(tokens, 0.09 + tokens / 16_000)
    >>> round(fit.overhead_s, 3)
    0.09
    """

    _weight: float = 0.0
    _tokens: float = 0.0
    _waits: float = 0.0
    _tokens_squared: float = 0.0
    _tokens_by_waits: float = 0.0

    def note(self, tokens: int, wait_s: float) -> None:
        """Take the wait for the first piece of one prompt."""
        keep = 1 - 1 / OVERHEAD_MEMORY
        self._weight = self._weight * keep + 1
        self._tokens = self._tokens * keep + tokens
        self._waits = self._waits * keep + wait_s
        self._tokens_squared = self._tokens_squared * keep + tokens * tokens
        self._tokens_by_waits = self._tokens_by_waits * keep + tokens * wait_s

    @property
    def overhead_s(self) -> float:
        """Return the fixed part in seconds, one step while little is known."""
        if self._weight < OVERHEAD_SAMPLES:
            return STEP_S
        mean_tokens = self._tokens / self._weight
        mean_wait_s = self._waits / self._weight
        spread = self._tokens_squared / self._weight - mean_tokens**2
        if spread <= 0:
            return STEP_S
        shared = self._tokens_by_waits / self._weight - mean_tokens * mean_wait_s
        start_s = mean_wait_s - shared / spread * mean_tokens
        return min(MAX_OVERHEAD_S, max(STEP_S, start_s))
