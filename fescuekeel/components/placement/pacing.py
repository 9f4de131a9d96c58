"""Decide when each prompt may be sent to an engine, and which may not; pure.

An engine reads prompts between the tokens that it makes for running streams.
Prompts that arrive together make every running stream pause until they are
read, and a pause beyond the callers' target spoils all of those streams at
once, while the new ones could well have waited a tenth of a second. So the
holder of an engine's orders, who hears of all its prompts, spaces them out.

What waits is bounded. Prompts that can still be answered within their target
go first, the most urgent of them before the others; what is late already gets
what is left. A prompt for which there is no room is refused at once, so that
its caller can come again while that still helps.
"""

from collections import deque
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    LONG_PAUSE,
    MAX_PROMPT_SHARE,
    MAX_TURN_QUEUE_S,
    MIN_PROMPT_SHARE,
    PROMPT_SHARE,
    PROMPT_TOKENS_PER_S,
    SHARE_DOWN,
    SHARE_UP,
    SPEED_RANGE,
    SPEED_WEIGHT,
)

__all__ = ["Prompt", "PromptPacer", "Turn"]

# How many more requests an engine can run where nobody says.
UNBOUNDED_ROOM = 1_000_000


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt that wants to be sent; times in seconds.

    ``on_time_until`` is when its turn must come at the latest for an answer
    within its target, and ``until`` when waiting makes no sense any more. One
    that is not ``patient`` would rather go elsewhere than wait for long.
    """

    number: int
    tokens: int
    priority: int
    on_time_until: float
    until: float
    patient: bool = True


@dataclass(frozen=True, slots=True)
class Turn:
    """Say that a prompt may be sent now, or will not be."""

    number: int
    granted: bool


@dataclass(slots=True)
class PromptPacer:
    """Grant prompts so that a window never holds more than can be read in it.

    The window is the pause within a stream that callers still accept, in
    seconds. A prompt that is larger than a whole window goes when the window
    is empty.

    >>> pacer = PromptPacer(window_s=0.25)
    >>> pacer.ask(Prompt(1, 3000, 1, 1.0, 2.0))
    >>> pacer.ask(Prompt(2, 3000, 1, 1.0, 2.0))
    >>> [turn.number for turn in pacer.step(now=0.0)], pacer.step(now=0.1)
    ([1], [])
    >>> pacer.step(now=0.3)
    [Turn(number=2, granted=True)]
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
        """Return how many tokens a window may hold."""
        return self.window_s * self.share * self.tokens_per_s

    def note_speed(self, tokens_per_s: float) -> None:
        """Learn how fast the engine reads, from a prompt that it has read.

        Samples of prompts that were read beside others are low, so that an
        engine which is crowded gets fewer prompts. Where only those read alone
        were believed, none came under load, and an engine that reads 38,000
        tokens a second was taken to read 21,000: prompts waited for their
        turn for 0.13 s at the median and 0.43 s in a tenth of all cases, at
        an engine that was idle half of the time.
        """
        slowest = PROMPT_TOKENS_PER_S / SPEED_RANGE
        fastest = PROMPT_TOKENS_PER_S * SPEED_RANGE
        sample = min(fastest, max(slowest, tokens_per_s))
        self.tokens_per_s += SPEED_WEIGHT * (sample - self.tokens_per_s)

    def note_pause(self, pause: float, now: float) -> None:
        """Grant less while streams pause too long, once a window.

        How long streams pause for a prompt depends on the engine, and on what
        else it runs, more than on how fast it reads: so the share of a window
        that is used for prompts follows the pauses. One long pause spoils all
        running streams, and is told by all of their instances.
        """
        if pause < LONG_PAUSE or now - self._lowered_at < self.window_s:
            return
        self.share = max(MIN_PROMPT_SHARE, self.share * SHARE_DOWN)
        self._lowered_at = now

    def _grow_share(self, now: float) -> None:
        """Grant a little more in each window in which prompts have to wait."""
        changed = max(self._lowered_at, self._raised_at)
        if not self._waiting or now - changed < self.window_s:
            return
        self.share = min(MAX_PROMPT_SHARE, self.share * SHARE_UP)
        self._raised_at = now

    def ask(self, prompt: Prompt) -> None:
        """Take a prompt that wants to be sent; ``step`` decides on it."""
        self._waiting.append(prompt)
        self.waiting_tokens += prompt.tokens

    def count_pending(self, now: float) -> int:
        """Return the tokens that wait or were granted within the window."""
        self._forget(now)
        return self.waiting_tokens + self._granted_tokens

    def estimate_wait_s(self, coming_tokens: int = 0) -> float:
        """Return how long all that waits, and is about to come, will take."""
        return (self.waiting_tokens + coming_tokens) * self.window_s / self.limit

    def step(
        self, now: float, room: int = UNBOUNDED_ROOM, elsewhere_s: float = float("inf")
    ) -> list[Turn]:
        """Return the prompts that are granted or refused now.

        ``room`` is how many more requests the engine can run, and
        ``elsewhere_s`` how long it takes to get the same weights elsewhere.
        """
        self._forget(now)
        self._grow_share(now)
        turns = [
            self._take(prompt, granted=False)
            for prompt in list(self._waiting)
            if now >= prompt.until
        ]
        if room <= 0:
            turns += self._turn_away(self._list_impatient())
        while self._waiting:
            first = min(self._waiting, key=lambda prompt: self._rank(prompt, now))
            if self._granted and self._granted_tokens + first.tokens > self.limit:
                break
            self._granted.append((now, first.tokens))
            self._granted_tokens += first.tokens
            turns.append(self._take(first, granted=True))
        turns += self._turn_away(self._list_better_elsewhere(elsewhere_s, now))
        while self.estimate_wait_s() > MAX_TURN_QUEUE_S and len(self._waiting) > 1:
            last = max(self._waiting, key=lambda prompt: self._rank(prompt, now))
            turns.append(self._take(last, granted=False))
        return turns

    def _list_impatient(self) -> list[Prompt]:
        return [prompt for prompt in self._waiting if not prompt.patient]

    def _list_better_elsewhere(self, elsewhere_s: float, now: float) -> list[Prompt]:
        """Return the prompts that would wait here for longer than elsewhere.

        Guards against an adapter that one of many engines serves to all: each
        instance sees few of its requests and knows little of the engine's
        load, so that all of them queue here while the others stand idle. Of
        688 requests of one route 80 were late or refused for their turn, with
        a wait of 1.02 s at the median, in eight seconds at 195 instances.
        """
        if not self._list_impatient():
            return []
        better = []
        ahead = 0
        for prompt in sorted(self._waiting, key=lambda item: self._rank(item, now)):
            ahead += prompt.tokens
            wait_s = ahead * self.window_s / self.limit
            if not prompt.patient and wait_s > elsewhere_s:
                better.append(prompt)
        return better

    def _turn_away(self, prompts: list[Prompt]) -> list[Turn]:
        return [self._take(prompt, granted=False) for prompt in prompts]

    def drain(self) -> list[Turn]:
        """Grant all that waits: nobody keeps this engine's turns any more."""
        return [self._take(prompt, granted=True) for prompt in list(self._waiting)]

    def _rank(self, prompt: Prompt, now: float) -> tuple[bool, int, int]:
        return now > prompt.on_time_until, prompt.priority, prompt.number

    def _take(self, prompt: Prompt, granted: bool) -> Turn:
        self._waiting.remove(prompt)
        self.waiting_tokens -= prompt.tokens
        return Turn(prompt.number, granted)

    def get_next_step(self) -> float:
        """Return when ``step`` may decide something again."""
        if not self._waiting:
            return float("inf")
        expiry = min(prompt.until for prompt in self._waiting)
        if not self._granted:
            return expiry
        return min(expiry, self._granted[0][0] + self.window_s)

    def _forget(self, now: float) -> None:
        while self._granted and now - self._granted[0][0] >= self.window_s:
            _, tokens = self._granted.popleft()
            self._granted_tokens -= tokens
