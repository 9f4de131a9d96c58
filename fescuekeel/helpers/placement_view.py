"""Local view of each endpoint's weights, load and order holder.

The holder of an endpoint is the instance that may order it to load and unload
weights.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field

from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import HeldWeights, PlacementState

__all__ = [
    "NOT_HELD",
    "NOT_HOLDER",
    "NO_FREE_PLACE",
    "TOO_MANY_LOADS",
    "TOO_MANY_PROMPTS",
    "EndpointState",
    "LoadSample",
    "PlacementView",
]

# The holder rejects a load request without queueing it.
TOO_MANY_LOADS = "too many loads wait"
# A load cannot start now, but could after a wait.
NO_FREE_PLACE = "no place is free"
# The asked instance is not the holder: the asker's view is stale.
NOT_HOLDER = "not the holder"
# A prompt is not admitted: its weights are not loaded, or the queue is full.
NOT_HELD = "not held"
TOO_MANY_PROMPTS = "too many prompts wait"

# Lifetime of a holder's placement update: twice its longest update period.
STATE_TTL_S = 2.0
# A holder's reply overrides what the endpoint has published for this long:
# longer than a change takes to be published and to arrive through the store.
OVERRIDE_TTL_S = 3.5
# Overrides kept per endpoint: more than the adapters that it can load.
MAX_OVERRIDES = 64
# An unresponsive holder is not asked again for this long, so that requests do
# not each run into the timeout before failure detection declares it dead.
HOLDER_BACKOFF_S = 1.0


@dataclass(slots=True)
class EndpointState:
    """The last placement update that an endpoint's holder sent.

    ``received_at`` is when it arrived, and ``number`` the number of its list
    of weights.
    """

    holder: str
    term: int
    received_at: float
    held: dict[Weights, int]
    running: int
    pending_tokens: int
    number: int = 0


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of an endpoint at one time, summed over all instances."""

    received_at: float
    running: int
    pending_tokens: int


@dataclass(frozen=True, slots=True)
class VersionOverride:
    """A version taken from a reply; ``None`` means that it is not loaded.

    It takes precedence over what the endpoint has published.
    """

    recorded_at: float
    version: int | None


def find_no_candidate(endpoint: str) -> str | None:
    """Return no candidate; used until the placement component starts."""
    return None


@dataclass(slots=True)
class PlacementView:
    """Local view of all endpoints; the placement component owns it.

    Holders send placement updates to the instances near their endpoints. Other
    instances use what endpoints have published and the replies of holders, so
    that the traffic of an instance depends on its own requests and not on the
    size of the fleet. A stale entry costs one extra round trip.

    ``holders_by_endpoint`` has the holders that announced themselves.
    ``find_candidate`` returns the instance that is expected to become the
    holder of an endpoint, and ``is_near`` says whether this instance receives
    the placement updates of an endpoint.
    """

    states_by_endpoint: dict[str, EndpointState] = field(default_factory=dict)
    holders_by_endpoint: dict[str, str] = field(default_factory=dict)
    find_candidate: Callable[[str], str | None] = find_no_candidate
    is_near: Callable[[str], bool] = field(default=lambda endpoint: True)
    _redirects_by_endpoint: dict[str, str] = field(default_factory=dict)
    _loads_by_endpoint: dict[str, LoadSample] = field(default_factory=dict)
    _overrides_by_endpoint: dict[str, dict[Weights, VersionOverride]] = field(
        default_factory=dict
    )
    _backoff_until_by_holder: dict[str, float] = field(default_factory=dict)

    # Holders.

    def find_holder(self, endpoint: str, now: float) -> str | None:
        """Return the instance to ask about an endpoint, if any.

        Instances near an endpoint receive its holder's announcement; without
        one there is no holder. Other instances ask the candidate, which knows.
        """
        holder = self.holders_by_endpoint.get(endpoint)
        if holder is None and not self.is_near(endpoint):
            holder = self._redirects_by_endpoint.get(endpoint)
            holder = holder or self.find_candidate(endpoint)
        if holder is None or now < self._backoff_until_by_holder.get(holder, now):
            return None
        return holder

    def find_usage_recipient(self, endpoint: str) -> str | None:
        """Return the instance that receives usage reports of an endpoint.

        Unlike ``find_holder`` it falls back to the candidate near the endpoint
        too. An instance that shuts down still serves its streams but receives
        no announcements; a new holder that does not know of these streams
        would order an unload that blocks the endpoint until they end.
        """
        holder = self.holders_by_endpoint.get(endpoint)
        holder = holder or self._redirects_by_endpoint.get(endpoint)
        return holder or self.find_candidate(endpoint)

    def record_redirect(self, endpoint: str, asked: str, holder: str) -> bool:
        """Record a redirect to another holder; return whether it names one."""
        if self._redirects_by_endpoint.get(endpoint) == asked:
            del self._redirects_by_endpoint[endpoint]
        if not holder or holder == asked:
            return False
        self._redirects_by_endpoint[endpoint] = holder
        return True

    def record_unresponsive(self, holder: str, now: float) -> None:
        """Stop asking an unresponsive holder for a while."""
        self._backoff_until_by_holder[holder] = now + HOLDER_BACKOFF_S
        for endpoint, answered in list(self._redirects_by_endpoint.items()):
            if answered == holder:
                del self._redirects_by_endpoint[endpoint]

    # Placement updates.

    def apply_update(self, holder: str, state: PlacementState, now: float) -> None:
        """Apply a placement update from a holder.

        A delta applies only to the list that it is based on, sent under the
        same claim. Otherwise it is ignored until the holder's next full list.
        """
        held = _read_weights(state.held)
        if state.based_on:
            known = self.states_by_endpoint.get(state.endpoint)
            claim = (holder, state.term, state.based_on)
            if known is None or (known.holder, known.term, known.number) != claim:
                return
            held = known.held | held
            for weights in _read_weights(state.dropped):
                held.pop(weights, None)
        self.states_by_endpoint[state.endpoint] = EndpointState(
            holder,
            state.term,
            now,
            held,
            state.running,
            state.pending_tokens,
            state.number,
        )

    def _get_state(self, endpoint: str, now: float) -> EndpointState | None:
        state = self.states_by_endpoint.get(endpoint)
        if state is None or now - state.received_at > STATE_TTL_S:
            return None
        return state

    # Replies to requests.

    def record_held(
        self, endpoint: str, weights: Weights, version: int, now: float
    ) -> None:
        """Record weights that a holder reported loaded in a reply."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held[weights] = version
        self._set_override(endpoint, weights, VersionOverride(now, version))

    def record_missing(self, endpoint: str, weights: Weights, now: float) -> None:
        """Record that an endpoint rejected a request for missing weights.

        Prevents retries to the same endpoint before the holder's next update.
        """
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held.pop(weights, None)
        self._set_override(endpoint, weights, VersionOverride(now, None))

    def _set_override(
        self, endpoint: str, weights: Weights, override: VersionOverride
    ) -> None:
        overrides = self._overrides_by_endpoint.setdefault(endpoint, {})
        overrides.pop(weights, None)
        overrides[weights] = override
        if len(overrides) > MAX_OVERRIDES:
            del overrides[next(iter(overrides))]

    def record_load(
        self, endpoint: str, running: int, pending_tokens: int, now: float
    ) -> None:
        """Record the load of an endpoint from a holder's reply."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.running = running
            state.pending_tokens = pending_tokens
        self._loads_by_endpoint[endpoint] = LoadSample(now, running, pending_tokens)

    # Queries.

    def find_version(
        self, record: EndpointRecord, weights: Weights, now: float
    ) -> int | None:
        """Return the version of weights loaded at an endpoint, if any.

        Without a recent update from the holder, such as after a restart of all
        instances, recent replies and then the published record are used.
        """
        state = self._get_state(record.id, now)
        if state is not None:
            return state.held.get(weights)
        overrides = self._overrides_by_endpoint.get(record.id)
        override = overrides.get(weights) if overrides else None
        if override is not None and now - override.recorded_at < OVERRIDE_TTL_S:
            return override.version
        return record.held.get(weights)

    def is_current(self, endpoint: str, now: float) -> bool:
        """Return whether the view of an endpoint is current.

        A near endpoint needs a recent placement update. For any other one the
        published record is all there is, and it is removed with the endpoint.
        """
        return self._get_state(endpoint, now) is not None or not self.is_near(endpoint)

    def read_load(self, endpoint: str, now: float) -> LoadSample | None:
        """Return the load of an endpoint, if a recent one is known."""
        state = self._get_state(endpoint, now)
        if state is not None:
            return LoadSample(state.received_at, state.running, state.pending_tokens)
        load = self._loads_by_endpoint.get(endpoint)
        if load is None or now - load.received_at > STATE_TTL_S:
            return None
        return load

    def forget_except(self, endpoints: Container[str]) -> None:
        """Remove all endpoints but the given ones."""
        for known in (
            self.states_by_endpoint,
            self._redirects_by_endpoint,
            self._loads_by_endpoint,
            self._overrides_by_endpoint,
        ):
            for id in list(known):
                if id not in endpoints:
                    del known[id]


def _read_weights(held: Iterable[HeldWeights]) -> dict[Weights, int]:
    return {Weights(item.model, item.adapter): item.version for item in held}
