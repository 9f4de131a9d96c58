"""Load, speed and health of each endpoint, as observed by this instance."""

from dataclasses import dataclass, field

from fescuekeel.components.endpoints.availability import Block, BlockReason
from fescuekeel.components.endpoints.const import (
    CONGESTION_COST_S,
    CONGESTION_SHARE,
    DEFAULT_PREFILL_TOKEN_S,
    ENGINE_STEP_S,
    FAILOVER_AFTER_S,
    FAILURE_COST_S,
    HEALTH_HALF_LIFE_S,
    MAX_PREFILL_TOKEN_S,
    MAX_REJECTING_S,
    MAX_UNREACHABLE_S,
    MIN_REJECTING_S,
    MIN_SPEED_SAMPLE_TOKENS,
    MIN_UNREACHABLE_S,
    RELAY_COST_S,
    RESULT_WEIGHT,
    SILENCE_CHECK_S,
    SPEED_WEIGHT,
    UNRESPONSIVE_AFTER_S,
)
from fescuekeel.helpers.placement_view import LoadSample
from fescuekeel.helpers.published import Weights

__all__ = ["EndpointHealth", "EndpointLoad"]


@dataclass(slots=True)
class EndpointHealth:
    """Track failures with exponential decay, and reachability.

    Guards against an endpoint that fails requests while its own health probe
    passes. The failure rate is a cost relative to other endpoints, so failures
    that all of them have, such as invalid input, exclude none.
    """

    failure_rate: float = 0.0
    updated_at: float = 0.0
    unreachable_until: float = 0.0
    rejecting_until: float = 0.0
    _rejected_at: float = float("-inf")
    _rejecting_s: float = MIN_REJECTING_S
    _backoff_s: float = MIN_UNREACHABLE_S
    _waiting_since: float | None = None
    _outstanding: int = 0
    _checked_at: float = 0.0

    def read_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed with time."""
        return self.failure_rate * 0.5 ** ((now - self.updated_at) / HEALTH_HALF_LIFE_S)

    def record_result(self, failed: bool, now: float) -> None:
        """Record the result of a request."""
        before = self.read_failure_rate(now)
        self.failure_rate = before + RESULT_WEIGHT * (float(failed) - before)
        self.updated_at = now

    def record_connected(self) -> None:
        """Record a successful connect."""
        self._backoff_s = MIN_UNREACHABLE_S
        self.unreachable_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Avoid the endpoint, with exponential backoff."""
        self.unreachable_until = now + self._backoff_s
        self._backoff_s = min(MAX_UNREACHABLE_S, 2 * self._backoff_s)

    def record_rejected(self, sent_at: float, now: float) -> bool:
        """Prefer others to an endpoint that rejected and named no time.

        Guards against an endpoint that has the least load since it rejects at
        once. Requests that were sent before an earlier rejection say nothing
        new. Returns whether others are preferred for longer now.
        """
        if sent_at < self._rejected_at:
            return False
        self._rejected_at = now
        self.rejecting_until = now + self._rejecting_s
        self._rejecting_s = min(MAX_REJECTING_S, 2 * self._rejecting_s)
        return True

    def record_accepted(self, sent_at: float) -> None:
        """Record that the endpoint took a request."""
        if sent_at >= self._rejected_at:
            self.rejecting_until = 0.0
            self._rejecting_s = MIN_REJECTING_S

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        self._outstanding += 1
        if self._waiting_since is None:
            self._waiting_since = now

    def record_received(self, now: float) -> None:
        """Record that bytes of an answer were received."""
        self._waiting_since = now if self._outstanding else None

    def record_ended(self, now: float) -> None:
        """Record that a request has ended."""
        self._outstanding = max(0, self._outstanding - 1)
        if not self._outstanding:
            self._waiting_since = None

    def read_silent_s(self, now: float) -> float:
        """Return for how long answers are due and nothing is received."""
        return 0.0 if self._waiting_since is None else now - self._waiting_since

    def is_unresponsive(self, now: float) -> bool:
        """Return whether answers are due but nothing is received."""
        return (
            self._waiting_since is not None
            and now - self._waiting_since > UNRESPONSIVE_AFTER_S
        )

    @property
    def waiting_since(self) -> float | None:
        """Return since when answers are due and nothing is received."""
        return self._waiting_since

    @property
    def is_silent(self) -> bool:
        """Return whether answers are due and nothing came since a check."""
        since = self._waiting_since
        return since is not None and since <= self._checked_at

    def needs_check(self, now: float) -> bool:
        """Return whether to check the path to the silent endpoint now.

        It then counts as checked.
        """
        if self._waiting_since is None:
            return False
        if now - max(self._waiting_since, self._checked_at) <= SILENCE_CHECK_S:
            return False
        self._checked_at = now
        return True

    def must_fail_over(self, now: float) -> bool:
        """Return whether requests must not wait for the endpoint any more."""
        return (
            self._waiting_since is not None
            and now - self._waiting_since > FAILOVER_AFTER_S
        )

    def find_block(self, now: float) -> Block | None:
        """Return why others are preferred regardless of their load."""
        if now < self.unreachable_until:
            return Block(BlockReason.UNREACHABLE, self.unreachable_until)
        if self.is_unresponsive(now):
            return Block(BlockReason.UNRESPONSIVE)
        if now < self.rejecting_until:
            return Block(BlockReason.REJECTING, self.rejecting_until)
        return None


@dataclass(slots=True)
class EndpointLoad:
    """Estimate the wait of a new request at an endpoint.

    ``pending_tokens`` are the prompt tokens of this instance's requests that
    wait for their first chunk, and ``running`` counts its open requests. The
    ``reported`` fields are this instance's last report to the holder, whose
    totals include it. ``is_relayed`` says that the endpoint is reached through
    a peer. ``identified_at`` is when bytes last came on a connection that is
    known to lead to this incarnation, with no connection lost since.
    """

    health: EndpointHealth = field(default_factory=EndpointHealth)
    is_relayed: bool = False
    identified_at: float = float("-inf")
    pending_tokens: int = 0
    running: int = 0
    prefill_token_s: float = DEFAULT_PREFILL_TOKEN_S
    service_s: float = 0.02
    reported_running: int = 0
    reported_by_weights: dict[Weights, int] = field(default_factory=dict)
    reported_at: float = float("-inf")
    running_by_weights: dict[Weights, int] = field(default_factory=dict)
    started_by_weights: dict[Weights, int] = field(default_factory=dict)
    speeds: list[float] = field(default_factory=list)
    longest_pause: float = 0.0
    _speed_updated_at: float = 0.0

    def begin(self, weights: Weights | None, tokens: int) -> None:
        """Count a request at its start."""
        self.pending_tokens += tokens
        self.running += 1
        if weights is not None:
            running = self.running_by_weights
            running[weights] = running.get(weights, 0) + 1
            started = self.started_by_weights
            started[weights] = started.get(weights, 0) + 1

    def record_first_chunk(
        self,
        tokens: int,
        tokens_ahead: int,
        wait_s: float,
        overhead_s: float,
        now: float,
    ) -> None:
        """Update the endpoint's speed from the wait for a first chunk.

        ``tokens_ahead`` were pending when the request was sent. ``overhead_s``
        is the fixed part of the wait, without prefill.
        """
        self.pending_tokens -= tokens
        if tokens <= 0:
            return
        prefill_s = max(ENGINE_STEP_S, wait_s - overhead_s)
        if tokens >= MIN_SPEED_SAMPLE_TOKENS and wait_s > 2 * ENGINE_STEP_S:
            # A lower bound: the engine may have processed other prompts, too.
            self.speeds.append(tokens / prefill_s)
        sample = min(MAX_PREFILL_TOKEN_S, prefill_s / (tokens + tokens_ahead))
        self.prefill_token_s = self._read_prefill_token_s(now)
        self.prefill_token_s += SPEED_WEIGHT * (sample - self.prefill_token_s)
        self._speed_updated_at = now

    def record_pause(self, pause: float) -> None:
        """Record a pause in a stream, as a share of its route's target."""
        self.longest_pause = max(self.longest_pause, pause)

    def record_service(self, took_s: float) -> None:
        """Update the service time of plain requests."""
        self.service_s += SPEED_WEIGHT * (took_s - self.service_s)

    def end(self, weights: Weights | None, tokens_left: int) -> None:
        """Remove a request that has ended, with its pending tokens if any."""
        self.pending_tokens -= tokens_left
        self.running -= 1
        if weights is None:
            return
        running = self.running_by_weights
        running[weights] = running.get(weights, 1) - 1
        if running[weights] <= 0:
            del running[weights]

    def _read_prefill_token_s(self, now: float) -> float:
        # The estimate decays to the default, so that an endpoint that was slow
        # gets requests again.
        fade = 0.5 ** ((now - self._speed_updated_at) / HEALTH_HALF_LIFE_S)
        return (
            DEFAULT_PREFILL_TOKEN_S
            + (self.prefill_token_s - DEFAULT_PREFILL_TOKEN_S) * fade
        )

    def estimate_engine_s(
        self, tokens: int, slots: int, known_load: LoadSample | None, now: float
    ) -> float:
        """Return the cost of one more prompt, in seconds of waiting."""
        others_tokens = others_running = 0
        if known_load is not None:
            others_tokens = max(0, known_load.pending_tokens - self.pending_tokens)
            others_running = max(0, known_load.running - self.reported_running)
        waiting = self.pending_tokens + others_tokens + tokens
        share = (self.running + others_running) / max(1, slots)
        congested = max(0.0, share - CONGESTION_SHARE) / (1 - CONGESTION_SHARE)
        failure_rate = self.health.read_failure_rate(now)
        return (
            waiting * self._read_prefill_token_s(now)
            + congested * CONGESTION_COST_S
            + failure_rate * FAILURE_COST_S
            + self._path_cost_s
        )

    def estimate_plain_s(self, slots: int, now: float) -> float:
        """Return the cost of one more plain request, in seconds of waiting."""
        load_factor = (self.running + 1) / max(1, slots)
        failure_rate = self.health.read_failure_rate(now)
        return (
            self.service_s * (1 + load_factor)
            + failure_rate * FAILURE_COST_S
            + self._path_cost_s
        )

    @property
    def _path_cost_s(self) -> float:
        return RELAY_COST_S if self.is_relayed else 0.0
