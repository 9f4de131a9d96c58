"""Handle load and admission requests of peers for the endpoints held here."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from fescuekeel.components.placement.admission import AdmissionController
from fescuekeel.components.placement.const import REPLICA_REQUEST_TTL_S
from fescuekeel.components.placement.holder import EndpointHolder
from fescuekeel.components.placement.model import LoadRequest, LoadResult
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement_view import (
    NO_FREE_PLACE,
    NOT_HELD,
    NOT_HOLDER,
    TOO_MANY_LOADS,
)
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import (
    AdmitAnswer,
    AdmitAsk,
    LoadAnswer,
    LoadAsk,
    PeerMessage,
)

__all__ = ["PeerRequestHandler"]


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """A peer's load request, and the message to answer."""

    message: PeerMessage
    request: LoadAsk


class PeerRequestHandler:
    """Accept requests for loads and admissions, and answer each once.

    ``find_local_holder`` returns the holder of an endpoint, or else the id of
    the instance that holds it, empty if unknown.
    """

    def __init__(
        self,
        instance: Instance,
        admission: AdmissionController,
        find_local_holder: Callable[[str], EndpointHolder | str],
    ) -> None:
        self._instance = instance
        self._admission = admission
        self._find_local_holder = find_local_holder
        self._pending_loads_by_number: dict[int, PendingLoad] = {}
        self._request_numbers = itertools.count(1)

    def handle_load(self, message: PeerMessage, request: LoadAsk) -> None:
        """Handle a load request, which is answered when it ends."""
        link = get_peer_link(self._instance)
        holder = self._find_local_holder(request.endpoint)
        if isinstance(holder, str):
            link.answer(message, LoadAnswer(False, NOT_HOLDER, holder=holder))
            return
        weights = Weights(request.model, request.adapter)
        now = self._instance.now()
        if holder.is_backed_off:
            link.answer(message, LoadAnswer(False, NO_FREE_PLACE))
            return
        if not request.patient and not self._has_room_now(holder, weights, now):
            link.answer(message, LoadAnswer(False, NO_FREE_PLACE))
            return
        if not holder.scheduler.accepts_request(weights, request.spread, now):
            link.answer(message, LoadAnswer(False, TOO_MANY_LOADS))
            return
        until = now + (
            REPLICA_REQUEST_TTL_S if request.spread else request.patience_ms / 1000
        )
        number = next(self._request_numbers)
        self._pending_loads_by_number[number] = PendingLoad(message, request)
        holder.scheduler.add_request(
            LoadRequest(
                number,
                weights,
                request.version,
                request.priority,
                request.spread,
                now,
                now + request.on_time_ms / 1000,
                until,
                request.tokens,
            )
        )
        holder.wake()

    def _has_room_now(
        self, holder: EndpointHolder, weights: Weights, now: float
    ) -> bool:
        """Return whether weights can be loaded and used at once."""
        if not holder.scheduler.can_load_now(weights, now):
            return False
        return not self._admission.is_crowded(holder.record, holder.scheduler)

    def answer_load(self, result: LoadResult) -> None:
        """Answer a load request that has ended."""
        pending = self._pending_loads_by_number.pop(result.number, None)
        if pending is None:
            return
        if result.load_s:
            _log_load(pending.request, result)
        answer = LoadAnswer(result.loaded, result.detail, version=result.version)
        get_peer_link(self._instance).answer(pending.message, answer)

    def handle_prompt(self, message: PeerMessage, request: AdmitAsk) -> None:
        """Handle an admission request, which is answered once decided."""
        link = get_peer_link(self._instance)
        holder = self._find_local_holder(request.endpoint)
        if isinstance(holder, str):
            answer = AdmitAnswer(False, reason=NOT_HOLDER, holder=holder)
            link.answer(message, answer)
            return
        weights = Weights(request.model, request.adapter)
        version = holder.scheduler.get_servable_version(weights)
        if version is None or version < request.version:
            link.answer(message, AdmitAnswer(False, reason=NOT_HELD))
            return
        self._admission.enqueue(message, request, holder.record, holder.scheduler)


def _log_load(request: LoadAsk, result: LoadResult) -> None:
    log_event(
        "load_ended",
        endpoint=request.endpoint,
        weights=str(Weights(request.model, request.adapter)),
        version=result.version,
        place_ms=round(result.slot_wait_s * 1000),
        took_ms=round(result.load_s * 1000),
        outcome="loaded",
    )
