"""What this instance sees of each endpoint: its load, speed and health."""

from dataclasses import dataclass, field

from fescuekeel.components.forward.const import (
    CROWDED_COST_S,
    CROWDED_SHARE,
    FAILURE_COST_S,
    HEALTH_HALF_LIFE_S,
    MAX_TOKEN_S,
    RESULT_WEIGHT,
    SILENCE_S,
    SPEED_TOKENS,
    SPEED_WEIGHT,
    STEP_S,
    TOKEN_S,
    UNREACHABLE_FIRST_S,
    UNREACHABLE_MAX_S,
)
from fescuekeel.helpers.board import KnownLoad
from fescuekeel.helpers.published import Weights

__all__ = ["EndpointHealth", "EndpointLoad"]


@dataclass(slots=True)
class EndpointHealth:
    """Remember failures, which count less the older they are.

    Guards against an endpoint that fails part of its requests while its own
    health probe is good: it shows as failures that others do not have. All
    endpoints' failures are compared as costs, so that one that all of them
    have, such as a caller's bad input, turns nobody away.
    """

    failing: float = 0.0
    seen: float = 0.0
    unreachable_until: float = 0.0
    _backoff_s: float = UNREACHABLE_FIRST_S
    _due_since: float | None = None
    _outstanding: int = 0

    def read_failing(self, now: float) -> float:
        """Return the share of failures, fading with time."""
        return self.failing * 0.5 ** ((now - self.seen) / HEALTH_HALF_LIFE_S)

    def note_result(self, failed: bool, now: float) -> None:
        """Count the end of a request."""
        before = self.read_failing(now)
        self.failing = before + RESULT_WEIGHT * (float(failed) - before)
        self.seen = now

    def note_connected(self) -> None:
        """Note that a connection was made."""
        self._backoff_s = UNREACHABLE_FIRST_S
        self.unreachable_until = 0.0

    def note_unreachable(self, now: float) -> None:
        """Leave the endpoint alone for a while that grows."""
        self.unreachable_until = now + self._backoff_s
        self._backoff_s = min(UNREACHABLE_MAX_S, 2 * self._backoff_s)

    def note_sent(self, now: float) -> None:
        """Note that the endpoint owes an answer."""
        self._outstanding += 1
        if self._due_since is None:
            self._due_since = now

    def note_heard(self, now: float) -> None:
        """Note that bytes came."""
        self._due_since = now if self._outstanding else None

    def note_ended(self, now: float) -> None:
        """Note that it owes one answer less."""
        self._outstanding = max(0, self._outstanding - 1)
        if not self._outstanding:
            self._due_since = None

    def is_silent(self, now: float) -> bool:
        """Tell whether nothing at all came although something was due."""
        return self._due_since is not None and now - self._due_since > SILENCE_S

    def is_avoided(self, now: float) -> bool:
        """Tell whether others are to be preferred whatever their load."""
        return now < self.unreachable_until or self.is_silent(now)


@dataclass(slots=True)
class EndpointLoad:
    """Estimate how long a new request waits at an endpoint.

    ``pending_tokens`` are prompt tokens of our own requests that have not had
    their first piece; ``running`` our own requests under way. What others
    have there comes from the holder's news.
    """

    health: EndpointHealth = field(default_factory=EndpointHealth)
    pending_tokens: int = 0
    running: int = 0
    token_s: float = TOKEN_S
    service_s: float = 0.02
    told_running: int = 0
    told_by_weights: dict[Weights, int] = field(default_factory=dict)
    told_at: float = float("-inf")
    running_by_weights: dict[Weights, int] = field(default_factory=dict)
    begun_by_weights: dict[Weights, int] = field(default_factory=dict)
    speeds: list[float] = field(default_factory=list)
    longest_pause: float = 0.0
    _speed_seen: float = 0.0

    def begin(self, weights: Weights | None, tokens: int) -> None:
        """Count a request that is sent."""
        self.pending_tokens += tokens
        self.running += 1
        if weights is not None:
            running = self.running_by_weights
            running[weights] = running.get(weights, 0) + 1
            begun = self.begun_by_weights
            begun[weights] = begun.get(weights, 0) + 1

    def note_first_piece(
        self, tokens: int, ahead: int, wait_s: float, overhead_s: float, now: float
    ) -> None:
        """Learn the endpoint's speed from the wait of one request.

        ``ahead`` are the tokens that were pending when it was sent, and
        ``overhead_s`` is the part of the wait in which nothing is read.
        """
        self.pending_tokens -= tokens
        if tokens <= 0:
            return
        reading_s = max(STEP_S, wait_s - overhead_s)
        if tokens >= SPEED_TOKENS and wait_s > 2 * STEP_S:
            # A lower bound: the engine may have read others' prompts besides.
            self.speeds.append(tokens / reading_s)
        sample = min(MAX_TOKEN_S, reading_s / (tokens + ahead))
        self.token_s = self._read_token_s(now)
        self.token_s += SPEED_WEIGHT * (sample - self.token_s)
        self._speed_seen = now

    def note_pause(self, pause: float) -> None:
        """Note a pause in a stream, as a share of what its route allows."""
        self.longest_pause = max(self.longest_pause, pause)

    def note_service(self, took_s: float) -> None:
        """Learn how long a plain request takes."""
        self.service_s += SPEED_WEIGHT * (took_s - self.service_s)

    def end(self, weights: Weights | None, tokens_left: int) -> None:
        """Count the end of a request; its pending tokens, if any, go too."""
        self.pending_tokens -= tokens_left
        self.running -= 1
        if weights is None:
            return
        running = self.running_by_weights
        running[weights] = running.get(weights, 1) - 1
        if running[weights] <= 0:
            del running[weights]

    def _read_token_s(self, now: float) -> float:
        # What was learned fades, so that an endpoint that was slow gets
        # another chance although nobody sends anything there.
        fade = 0.5 ** ((now - self._speed_seen) / HEALTH_HALF_LIFE_S)
        return TOKEN_S + (self.token_s - TOKEN_S) * fade

    def estimate_engine_s(
        self, tokens: int, slots: int, told: KnownLoad | None, now: float
    ) -> float:
        """Return the cost of one more prompt, in seconds until it is read."""
        others_tokens = others_running = 0
        if told is not None:
            others_tokens = max(0, told.pending_tokens - self.pending_tokens)
            others_running = max(0, told.running - self.told_running)
        waiting = self.pending_tokens + others_tokens + tokens
        share = (self.running + others_running) / max(1, slots)
        crowded = max(0.0, share - CROWDED_SHARE) / (1 - CROWDED_SHARE)
        failing = self.health.read_failing(now)
        return (
            waiting * self._read_token_s(now)
            + crowded * CROWDED_COST_S
            + failing * FAILURE_COST_S
        )

    def estimate_plain_s(self, slots: int, now: float) -> float:
        """Return the cost of one more plain request, in seconds."""
        turns = (self.running + 1) / max(1, slots)
        failing = self.health.read_failing(now)
        return self.service_s * (1 + turns) + failing * FAILURE_COST_S
