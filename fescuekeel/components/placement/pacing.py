"""Decide when each prompt may be sent to an engine; pure.

An engine reads prompts between the tokens that it makes for running streams.
Prompts that arrive together make every running stream pause until they are
read, and a pause beyond the callers' target spoils all of those streams at
once, while the new ones could well have waited a tenth of a second. So the
holder of an engine's orders, who hears of all its prompts, spaces them out.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    PROMPT_SHARE,
    PROMPT_TOKENS_PER_S,
)

__all__ = ["PromptPacer"]


@dataclass(order=True, slots=True)
class Waiting:
    """A prompt that waits, the most urgent and then the oldest first."""

    priority: int
    sequence: int
    number: int = field(compare=False)
    tokens: int = field(compare=False)


@dataclass(slots=True)
class PromptPacer:
    """Grant prompts so that a window never holds more than can be read in it.

    The window is the pause within a stream that callers still accept, in
    seconds. A prompt that is larger than a whole window goes when the window
    is empty.

    >>> pacer = PromptPacer(window_s=0.25)
    >>> pacer.ask(1, 3000, priority=1)
    >>> pacer.ask(2, 3000, priority=1)
    >>> pacer.grant(now=0.0), pacer.grant(now=0.1), pacer.grant(now=0.3)
    ([1], [], [2])
    """

    window_s: float
    waiting_tokens: int = 0
    _granted: deque[tuple[float, int]] = field(default_factory=deque)
    _granted_tokens: int = 0
    _queue: list[Waiting] = field(default_factory=list)
    _asked: int = 0

    @property
    def limit(self) -> int:
        """Return how many tokens a window may hold."""
        return int(self.window_s * PROMPT_SHARE * PROMPT_TOKENS_PER_S)

    def ask(self, number: int, tokens: int, priority: int) -> None:
        """Take a prompt that wants to be sent."""
        self._asked += 1
        heapq.heappush(self._queue, Waiting(priority, self._asked, number, tokens))
        self.waiting_tokens += tokens

    def count_pending(self, now: float) -> int:
        """Return the tokens that wait or were granted within the window."""
        self._forget(now)
        return self.waiting_tokens + self._granted_tokens

    def grant(self, now: float) -> list[int]:
        """Return the numbers of the prompts that may be sent now."""
        self._forget(now)
        numbers = []
        while self._queue and self._fits(self._queue[0].tokens):
            waiting = heapq.heappop(self._queue)
            self.waiting_tokens -= waiting.tokens
            self._granted.append((now, waiting.tokens))
            self._granted_tokens += waiting.tokens
            numbers.append(waiting.number)
        return numbers

    def _fits(self, tokens: int) -> bool:
        return not self._granted or self._granted_tokens + tokens <= self.limit

    def get_next_grant(self) -> float:
        """Return when ``grant`` may return something again."""
        if not self._queue:
            return float("inf")
        if not self._granted:
            return 0.0
        return self._granted[0][0] + self.window_s

    def _forget(self, now: float) -> None:
        while self._granted and now - self._granted[0][0] >= self.window_s:
            _, tokens = self._granted.popleft()
            self._granted_tokens -= tokens
