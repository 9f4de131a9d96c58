"""Decide when each prompt may be sent to an engine; pure.

An engine interleaves prefill with the decode steps of running streams. Prompts
that arrive together pause all running streams until they are read, beyond the
callers' target for the pause between tokens. The holder of an engine's claim,
which admits all its prompts, therefore spaces them out.

The queue is bounded. Prompts that can still meet their target go first, by
priority, and late ones get the remaining capacity. A prompt that does not fit
is refused at once, so that its caller can retry in time.
"""

from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    LONG_PAUSE_RATIO,
    MAX_PROMPT_QUEUE_S,
    MAX_PROMPT_SHARE,
    MIN_PROMPT_SHARE,
    PROMPT_SHARE,
    PROMPT_TOKENS_PER_S,
    SHARE_DECREASE,
    SHARE_INCREASE,
    SPEED_RANGE,
    SPEED_WEIGHT,
)

__all__ = ["AdmissionDecision", "Prompt", "PromptPacer"]

# Applies where the number of free request slots is unknown.
UNBOUNDED_SLOTS = 1_000_000


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt that waits for admission; times in seconds.

    A prompt admitted by ``on_time_until`` can meet its target; ``until`` is
    when its caller stops waiting. One that is not ``patient`` prefers another
    endpoint to a long wait.
    """

    number: int
    tokens: int
    priority: int
    on_time_until: float
    until: float
    patient: bool = True


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The decision that a prompt may be sent now, or is refused."""

    number: int
    granted: bool


@dataclass(slots=True)
class PromptPacer:
    """Admit no more prompts per window than the engine can read.

    The window, in seconds, is the pause within a stream that callers accept.
    A prompt larger than a window is admitted when the window is empty.

    >>> pacer = PromptPacer(window_s=0.25)
    >>> pacer.enqueue(Prompt(1, 3000, 1, 1.0, 2.0))
    >>> pacer.enqueue(Prompt(2, 3000, 1, 1.0, 2.0))
    >>> [item.number for item in pacer.step(now=0.0)], pacer.step(now=0.1)
    ([1], [])
    >>> pacer.step(now=0.3)
    [AdmissionDecision(number=2, granted=True)]
    """

    window_s: float
    tokens_per_s: float = PROMPT_TOKENS_PER_S
    share: float = PROMPT_SHARE
    waiting_tokens: int = 0
    _lowered_at: float = float("-inf")
    _raised_at: float = float("-inf")
    _granted: deque[tuple[float, int]] = field(default_factory=deque)
    _granted_tokens: int = 0
    _waiting: list[Prompt] = field(default_factory=list)

    @property
    def limit(self) -> float:
        """Return the token budget of a window."""
        return self.window_s * self.share * self.tokens_per_s

    def record_speed(self, tokens_per_s: float) -> None:
        """Add a sample of the engine's prefill speed.

        Prompts that were read concurrently yield low samples, which throttles
        a crowded engine. They are not filtered out, since an engine under load
        would yield no samples at all.
        """
        slowest = PROMPT_TOKENS_PER_S / SPEED_RANGE
        fastest = PROMPT_TOKENS_PER_S * SPEED_RANGE
        sample = min(fastest, max(slowest, tokens_per_s))
        self.tokens_per_s += SPEED_WEIGHT * (sample - self.tokens_per_s)

    def record_pause(self, pause: float, now: float) -> None:
        """Lower the share after a long pause, at most once a window.

        ``pause`` is relative to the accepted pause. Pauses depend on the
        engine and its other load more than on its prefill speed, so that the
        share of a window used for prompts adapts to them. All instances with
        running streams report the same pause.
        """
        if pause < LONG_PAUSE_RATIO or now - self._lowered_at < self.window_s:
            return
        self.share = max(MIN_PROMPT_SHARE, self.share * SHARE_DECREASE)
        self._lowered_at = now

    def _raise_share(self, now: float) -> None:
        """Raise the share a little in each window in which prompts wait."""
        changed = max(self._lowered_at, self._raised_at)
        if not self._waiting or now - changed < self.window_s:
            return
        self.share = min(MAX_PROMPT_SHARE, self.share * SHARE_INCREASE)
        self._raised_at = now

    def enqueue(self, prompt: Prompt) -> None:
        """Enqueue a prompt; ``step`` decides on it."""
        self._waiting.append(prompt)
        self.waiting_tokens += prompt.tokens

    def count_pending_tokens(self, now: float) -> int:
        """Return the tokens that wait or were admitted within the window."""
        self._expire_granted(now)
        return self.waiting_tokens + self._granted_tokens

    def estimate_wait_s(self, incoming_tokens: int = 0) -> float:
        """Return how long the queue takes, with ``incoming_tokens`` added."""
        return (self.waiting_tokens + incoming_tokens) * self.window_s / self.limit

    def step(
        self,
        now: float,
        free_slots: int = UNBOUNDED_SLOTS,
        elsewhere_s: float = float("inf"),
    ) -> list[AdmissionDecision]:
        """Return the prompts that are admitted or refused now.

        ``free_slots`` is how many more requests the engine can run, and
        ``elsewhere_s`` the time to load the same weights on another endpoint.
        """
        self._expire_granted(now)
        self._raise_share(now)
        decisions = [
            self._decide(prompt, granted=False)
            for prompt in list(self._waiting)
            if now >= prompt.until
        ]
        if free_slots <= 0:
            decisions += self._refuse(self._list_overdue())
        while self._waiting:
            first = min(self._waiting, key=lambda prompt: self._rank(prompt, now))
            if self._granted and self._granted_tokens + first.tokens > self.limit:
                break
            self._granted.append((now, first.tokens))
            self._granted_tokens += first.tokens
            decisions.append(self._decide(first, granted=True))
        decisions += self._refuse(self._list_better_elsewhere(elsewhere_s, now))
        while self.estimate_wait_s() > MAX_PROMPT_QUEUE_S and len(self._waiting) > 1:
            last = max(self._waiting, key=lambda prompt: self._rank(prompt, now))
            decisions.append(self._decide(last, granted=False))
        return decisions

    def _list_overdue(self) -> list[Prompt]:
        return [prompt for prompt in self._waiting if not prompt.patient]

    def _list_better_elsewhere(self, elsewhere_s: float, now: float) -> list[Prompt]:
        """Return the prompts that would wait longer here than elsewhere.

        Guards against an adapter that a single engine serves for all
        instances: each instance sends few requests and knows little of the
        engine's load, so that all prompts queue here while other engines are
        idle.
        """
        if not self._list_overdue():
            return []
        better = []
        ahead = 0
        for prompt in sorted(self._waiting, key=lambda item: self._rank(item, now)):
            ahead += prompt.tokens
            wait_s = ahead * self.window_s / self.limit
            if not prompt.patient and wait_s > elsewhere_s:
                better.append(prompt)
        return better

    def _refuse(self, prompts: list[Prompt]) -> list[AdmissionDecision]:
        return [self._decide(prompt, granted=False) for prompt in prompts]

    def drain(self) -> list[AdmissionDecision]:
        """Admit all waiting prompts, when the claim has ended."""
        return [self._decide(prompt, granted=True) for prompt in list(self._waiting)]

    def _rank(self, prompt: Prompt, now: float) -> tuple[bool, int, int]:
        return now > prompt.on_time_until, prompt.priority, prompt.number

    def _decide(self, prompt: Prompt, granted: bool) -> AdmissionDecision:
        self._waiting.remove(prompt)
        self.waiting_tokens -= prompt.tokens
        return AdmissionDecision(prompt.number, granted)

    def get_next_step(self) -> float:
        """Return when ``step`` may have a new decision."""
        if not self._waiting:
            return float("inf")
        expiry = min(prompt.until for prompt in self._waiting)
        if not self._granted:
            return expiry
        return min(expiry, self._granted[0][0] + self.window_s)

    def _expire_granted(self, now: float) -> None:
        while self._granted and now - self._granted[0][0] >= self.window_s:
            _, tokens = self._granted.popleft()
            self._granted_tokens -= tokens
