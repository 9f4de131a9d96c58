"""What is known of endpoints' weights and load, and who orders them."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field

from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import HeldWeights, PlacementState

__all__ = [
    "LOADS_WAIT",
    "NOT_HELD",
    "NOT_HOLDER",
    "NO_ROOM",
    "TURNS_WAIT",
    "EndpointState",
    "KnownLoad",
    "PlacementBoard",
]

# Why a holder refuses to load at once.
LOADS_WAIT = "too many loads wait"
# Why a load can't begin now, though it could after a wait.
NO_ROOM = "no place is free"
# Why an instance cannot say: the asker's belief of who orders is old.
NOT_HOLDER = "not the holder"
# Why a prompt gets no turn: its weights are not there (any more), or too many
# prompts wait.
NOT_HELD = "not held"
TURNS_WAIT = "too many prompts wait"

# A holder's word counts for so long: two of its longest periods.
STATE_TTL_S = 2.0
# What an endpoint has published of its weights is up to three seconds old when
# it arrives here: endpoints publish every 1.2 s or so, and the store's changes
# are gathered. Until then what a holder has answered counts instead.
CORRECTION_S = 3.5
# How many of these answers are remembered of one endpoint: more than it has
# places, so that only very old ones are dropped.
MAX_CORRECTIONS = 64
# Whoever has not answered is not asked again for so long: its callers would
# all wait in turn until it counts as gone, which takes some two seconds.
SILENT_HOLDER_S = 1.0


@dataclass(slots=True)
class EndpointState:
    """What the holder of an endpoint's orders last told of it.

    ``number`` is the one of the list of what is held.
    """

    holder: str
    term: int
    heard: float
    held: dict[Weights, int]
    running: int
    pending_tokens: int
    number: int = 0


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """How loaded an endpoint was at a moment, over all instances."""

    heard: float
    running: int
    pending_tokens: int


@dataclass(frozen=True, slots=True)
class Correction:
    """What a holder has answered of weights; no version: they are not held."""

    noted: float
    version: int | None


def find_no_candidate(endpoint: str) -> str | None:
    """Know nobody, until the placement component has started."""
    return None


@dataclass(slots=True)
class PlacementBoard:
    """Hold what is known of each endpoint; the placement component owns it.

    Holders tell the instances near their endpoints what these hold. All others
    go by what endpoints have published and by what holders answered when they
    were asked, so that what an instance hears depends on its own requests and
    not on the size of the fleet. A wrong belief costs one more question.

    ``holders_by_endpoint`` are the holders that told of themselves, and
    ``find_candidate`` names who is to hold an endpoint that none told of.
    """

    states_by_endpoint: dict[str, EndpointState] = field(default_factory=dict)
    holders_by_endpoint: dict[str, str] = field(default_factory=dict)
    find_candidate: Callable[[str], str | None] = find_no_candidate
    is_near: Callable[[str], bool] = field(default=lambda endpoint: True)
    _holders_answered: dict[str, str] = field(default_factory=dict)
    _loads_by_endpoint: dict[str, KnownLoad] = field(default_factory=dict)
    _corrections_by_endpoint: dict[str, dict[Weights, Correction]] = field(
        default_factory=dict
    )
    _silent_until_by_holder: dict[str, float] = field(default_factory=dict)

    # Who orders.

    def find_holder(self, endpoint: str, now: float) -> str | None:
        """Return who is to be asked about an endpoint, if anybody is.

        A holder tells the instances near its endpoint of itself: where none
        does, there is none. Elsewhere its candidate is asked, who knows.
        """
        holder = self.holders_by_endpoint.get(endpoint)
        if holder is None and not self.is_near(endpoint):
            holder = self._holders_answered.get(endpoint)
            holder = holder or self.find_candidate(endpoint)
        if holder is None or now < self._silent_until_by_holder.get(holder, now):
            return None
        return holder

    def find_listener(self, endpoint: str) -> str | None:
        """Return who is to hear of the uses of an endpoint.

        Guards against a holder that takes over and does not know what runs:
        an instance that shuts down goes on with its streams for seconds, and
        hears no more who orders their endpoints. It shows as an unload that
        waits for one of them, while the endpoint refuses all other orders.
        """
        holder = self.holders_by_endpoint.get(endpoint)
        holder = holder or self._holders_answered.get(endpoint)
        return holder or self.find_candidate(endpoint)

    def note_not_holder(self, endpoint: str, asked: str, holder: str) -> bool:
        """Take word that another holds an endpoint; true if it is news."""
        if self._holders_answered.get(endpoint) == asked:
            del self._holders_answered[endpoint]
        if not holder or holder == asked:
            return False
        self._holders_answered[endpoint] = holder
        return True

    def note_silent(self, holder: str, now: float) -> None:
        """Leave a holder alone that has not answered."""
        self._silent_until_by_holder[holder] = now + SILENT_HOLDER_S
        for endpoint, answered in list(self._holders_answered.items()):
            if answered == holder:
                del self._holders_answered[endpoint]

    # What holders tell.

    def hear(self, holder: str, state: PlacementState, now: float) -> None:
        """Take the state that a holder has told.

        A list that tells differences only counts after the one that it is
        based on, of the same claim. Without that the state is left as it is
        until the holder tells the whole list again.
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
        if state is None or now - state.heard > STATE_TTL_S:
            return None
        return state

    # What holders answer.

    def note_held(
        self, endpoint: str, weights: Weights, version: int, now: float
    ) -> None:
        """Add what a holder has just answered, ahead of its next news."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held[weights] = version
        self._correct(endpoint, weights, Correction(now, version))

    def note_missing(self, endpoint: str, weights: Weights, now: float) -> None:
        """Drop what an endpoint has just said it does not hold.

        Guards against sending a request there again before the holder's next
        news: it shows as several refusals within milliseconds.
        """
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held.pop(weights, None)
        self._correct(endpoint, weights, Correction(now, None))

    def _correct(self, endpoint: str, weights: Weights, correction: Correction) -> None:
        corrections = self._corrections_by_endpoint.setdefault(endpoint, {})
        corrections.pop(weights, None)
        corrections[weights] = correction
        if len(corrections) > MAX_CORRECTIONS:
            del corrections[next(iter(corrections))]

    def note_load(
        self, endpoint: str, running: int, pending_tokens: int, now: float
    ) -> None:
        """Take how loaded a holder has just said that an endpoint is."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.running = running
            state.pending_tokens = pending_tokens
        self._loads_by_endpoint[endpoint] = KnownLoad(now, running, pending_tokens)

    # What is known.

    def find_version(
        self, record: EndpointRecord, weights: Weights, now: float
    ) -> int | None:
        """Return the version of weights that an endpoint holds, if it does.

        What an endpoint has published itself counts unless its holder tells:
        after all instances were restarted, the first holder is known only
        seconds later.
        """
        state = self._get_state(record.id, now)
        if state is not None:
            return state.held.get(weights)
        corrections = self._corrections_by_endpoint.get(record.id)
        correction = corrections.get(weights) if corrections else None
        if correction is not None and now - correction.noted < CORRECTION_S:
            return correction.version
        return record.held.get(weights)

    def is_answered_for(self, endpoint: str, now: float) -> bool:
        """Tell whether what is known of an endpoint is no older than usual.

        Near endpoints are told of; of the others only what they published is
        known, which ends with their entries.
        """
        return self._get_state(endpoint, now) is not None or not self.is_near(endpoint)

    def read_load(self, endpoint: str, now: float) -> KnownLoad | None:
        """Return how loaded an endpoint is, if anybody told of it lately."""
        state = self._get_state(endpoint, now)
        if state is not None:
            return KnownLoad(state.heard, state.running, state.pending_tokens)
        load = self._loads_by_endpoint.get(endpoint)
        if load is None or now - load.heard > STATE_TTL_S:
            return None
        return load

    def forget_except(self, endpoints: Container[str]) -> None:
        """Forget endpoints that are gone."""
        for known in (
            self.states_by_endpoint,
            self._holders_answered,
            self._loads_by_endpoint,
            self._corrections_by_endpoint,
        ):
            for id in list(known):
                if id not in endpoints:
                    del known[id]


def _read_weights(held: Iterable[HeldWeights]) -> dict[Weights, int]:
    return {Weights(item.model, item.adapter): item.version for item in held}
