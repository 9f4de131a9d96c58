"""What is known of endpoints' weights and load, and who orders them."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from fescuekeel.helpers.published import Weights
from fescuekeel.messages import HeldWeights, PlacementState

__all__ = [
    "LOADS_WAIT",
    "NOT_HELD",
    "NOT_HOLDER",
    "NO_ROOM",
    "TURNS_WAIT",
    "EndpointState",
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


@dataclass(slots=True)
class PlacementBoard:
    """Hold the last state of each endpoint; the placement component owns it.

    Others read it from the bus. ``holders_by_endpoint`` names who to ask for
    a load, and ``candidates_by_endpoint`` who will hold what nobody does.
    """

    states_by_endpoint: dict[str, EndpointState] = field(default_factory=dict)
    holders_by_endpoint: dict[str, str] = field(default_factory=dict)
    candidates_by_endpoint: dict[str, str] = field(default_factory=dict)

    def find_listener(self, endpoint: str) -> str | None:
        """Return who is to hear of the uses of an endpoint.

        Guards against a holder that takes over and does not know what runs:
        an instance that shuts down goes on with its streams for seconds, and
        hears no more who orders their endpoints. It shows as an unload that
        waits for one of them, while the endpoint refuses all other orders.
        """
        holder = self.holders_by_endpoint.get(endpoint)
        return holder or self.candidates_by_endpoint.get(endpoint)

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

    def note_held(self, endpoint: str, weights: Weights, version: int) -> None:
        """Add what a holder has just answered, ahead of its next news."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held[weights] = version

    def note_pending(self, endpoint: str, tokens: int) -> None:
        """Take the prompt tokens that a holder has just told of."""
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.pending_tokens = tokens

    def note_missing(self, endpoint: str, weights: Weights) -> None:
        """Drop what an endpoint has just said it does not hold.

        Guards against sending a request there again before the holder's next
        news: it shows as several refusals within milliseconds.
        """
        state = self.states_by_endpoint.get(endpoint)
        if state is not None:
            state.held.pop(weights, None)

    def forget_except(self, endpoints: Container[str]) -> None:
        """Forget endpoints that are gone."""
        for id in list(self.states_by_endpoint):
            if id not in endpoints:
                del self.states_by_endpoint[id]


def _read_weights(held: Iterable[HeldWeights]) -> dict[Weights, int]:
    return {Weights(item.model, item.adapter): item.version for item in held}
