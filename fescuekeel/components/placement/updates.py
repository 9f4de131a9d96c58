"""Encode the state of endpoints for peers, as full state or as deltas; pure.

The lists of held weights dominate the traffic between instances, and most
changes affect one item.
"""

from dataclasses import dataclass, field

from fescuekeel.components.placement.const import FULL_UPDATE_PERIOD_S
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import HeldWeights, PlacementState

__all__ = ["EndpointSnapshot", "UpdateWriter"]


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The current state of one endpoint."""

    endpoint: str
    term: int
    held: dict[Weights, int]
    running: int
    pending_tokens: int


@dataclass(slots=True)
class SentState:
    """The list of held weights last sent for an endpoint."""

    term: int
    number: int
    held: dict[Weights, int]
    full_sent_at: float


@dataclass(slots=True)
class UpdateWriter:
    """Track what was sent for each endpoint, and number the versions.

    >>> writer = UpdateWriter()
    >>> cups, rings = Weights("m", "cups"), Weights("m", "rings")
    >>> first = writer.write(EndpointSnapshot("e", 1, {cups: 1}, 0, 0), 0.0)
    >>> second = writer.write(EndpointSnapshot("e", 1, {rings: 1}, 0, 0), 0.1)
    >>> second.based_on == first.number, second.held, second.dropped
    ... # doctest: +NORMALIZE_WHITESPACE
    (True, (HeldWeights(model='m', adapter='rings', version=1),),
     (HeldWeights(model='m', adapter='cups', version=1),))
    """

    _sent_by_endpoint: dict[str, SentState] = field(default_factory=dict)

    def has_changed(self, snapshot: EndpointSnapshot) -> bool:
        """Return whether the held weights differ from what was last sent."""
        sent = self._sent_by_endpoint.get(snapshot.endpoint)
        return sent is None or sent.term != snapshot.term or sent.held != snapshot.held

    def write(self, snapshot: EndpointSnapshot, now: float) -> PlacementState:
        """Return the update to send, usually a delta.

        Full state is sent with a new claim, and periodically for instances
        that missed a message.
        """
        sent = self._sent_by_endpoint.get(snapshot.endpoint)
        if sent is None or sent.term != snapshot.term:
            sent = SentState(snapshot.term, 1, snapshot.held, now)
            self._sent_by_endpoint[snapshot.endpoint] = sent
            return _encode_full(snapshot, sent)
        before, based_on = sent.held, sent.number
        if before != snapshot.held:
            sent.held = snapshot.held
            sent.number += 1
        if now - sent.full_sent_at > FULL_UPDATE_PERIOD_S:
            sent.full_sent_at = now
            return _encode_full(snapshot, sent)
        held = {
            weights: version
            for weights, version in sent.held.items()
            if before.get(weights) != version
        }
        dropped = {
            weights: version
            for weights, version in before.items()
            if weights not in sent.held
        }
        return PlacementState(
            snapshot.endpoint,
            snapshot.term,
            held=_encode_held(held),
            running=snapshot.running,
            pending_tokens=snapshot.pending_tokens,
            number=sent.number,
            based_on=based_on,
            dropped=_encode_held(dropped),
        )

    def write_full(self, snapshot: EndpointSnapshot) -> PlacementState | None:
        """Return the full state as last sent, for instances without it."""
        sent = self._sent_by_endpoint.get(snapshot.endpoint)
        if sent is None or sent.term != snapshot.term:
            return None
        return _encode_full(snapshot, sent)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer held."""
        self._sent_by_endpoint.pop(endpoint, None)


def _encode_full(snapshot: EndpointSnapshot, sent: SentState) -> PlacementState:
    return PlacementState(
        snapshot.endpoint,
        snapshot.term,
        held=_encode_held(sent.held),
        running=snapshot.running,
        pending_tokens=snapshot.pending_tokens,
        number=sent.number,
    )


def _encode_held(held: dict[Weights, int]) -> tuple[HeldWeights, ...]:
    return tuple(
        HeldWeights(weights.model, weights.adapter, version)
        for weights, version in held.items()
    )
