"""Answer what other instances ask of the endpoints that are held here."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from fescuekeel.components.placement.const import SPREAD_ASK_TTL_S
from fescuekeel.components.placement.holder import EndpointHolder
from fescuekeel.components.placement.model import Ask, AskEnded
from fescuekeel.components.placement.turns import TurnKeeper
from fescuekeel.core import Instance
from fescuekeel.helpers.board import LOADS_WAIT, NO_ROOM, NOT_HELD, NOT_HOLDER
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import (
    AdmitAnswer,
    AdmitAsk,
    LoadAnswer,
    LoadAsk,
    PeerMessage,
)

__all__ = ["HolderQuestions"]


@dataclass(frozen=True, slots=True)
class LoadQuestion:
    """A peer's ask for a load, and the message to answer."""

    message: PeerMessage
    ask: LoadAsk


class HolderQuestions:
    """Take asks for loads and for turns, and answer each once.

    ``find_held`` returns the holder of an endpoint, or else the name of the
    instance that holds it, empty where none is known.
    """

    def __init__(
        self,
        instance: Instance,
        turns: TurnKeeper,
        find_held: Callable[[str], EndpointHolder | str],
    ) -> None:
        self._instance = instance
        self._turns = turns
        self._find_held = find_held
        self._questions_by_ask: dict[int, LoadQuestion] = {}
        self._ask_numbers = itertools.count(1)

    def take_load(self, message: PeerMessage, ask: LoadAsk) -> None:
        """Take an ask for a load; it is answered once it ends."""
        link = get_peer_link(self._instance)
        holder = self._find_held(ask.endpoint)
        if isinstance(holder, str):
            link.answer(message, LoadAnswer(False, NOT_HOLDER, holder=holder))
            return
        weights = Weights(ask.model, ask.adapter)
        now = self._instance.now()
        if not ask.patient and not self._has_room_now(holder, weights, now):
            link.answer(message, LoadAnswer(False, NO_ROOM))
            return
        if not holder.places.has_room_to_ask(weights, ask.spread, now):
            link.answer(message, LoadAnswer(False, LOADS_WAIT))
            return
        until = now + (SPREAD_ASK_TTL_S if ask.spread else ask.patience_ms / 1000)
        number = next(self._ask_numbers)
        self._questions_by_ask[number] = LoadQuestion(message, ask)
        holder.places.ask(
            Ask(
                number,
                weights,
                ask.version,
                ask.priority,
                ask.spread,
                now,
                now + ask.on_time_ms / 1000,
                until,
                ask.tokens,
            )
        )
        holder.wake()

    def _has_room_now(
        self, holder: EndpointHolder, weights: Weights, now: float
    ) -> bool:
        """Tell whether weights can be loaded, and be of use, at once."""
        if not holder.places.can_load_now(weights, now):
            return False
        return not self._turns.is_crowded(holder.record, holder.places)

    def end_load(self, ended: AskEnded) -> None:
        """Answer an ask for a load that has ended."""
        question = self._questions_by_ask.pop(ended.number, None)
        if question is None:
            return
        if ended.load_s:
            _log_load(question.ask, ended)
        answer = LoadAnswer(ended.loaded, ended.detail, version=ended.version)
        get_peer_link(self._instance).answer(question.message, answer)

    def take_prompt(self, message: PeerMessage, ask: AdmitAsk) -> None:
        """Take an ask for a prompt's turn; it is answered when it comes."""
        link = get_peer_link(self._instance)
        holder = self._find_held(ask.endpoint)
        if isinstance(holder, str):
            answer = AdmitAnswer(False, reason=NOT_HOLDER, holder=holder)
            link.answer(message, answer)
            return
        weights = Weights(ask.model, ask.adapter)
        version = holder.places.read_version(weights)
        if version is None or version < ask.version:
            link.answer(message, AdmitAnswer(False, reason=NOT_HELD))
            return
        self._turns.take(message, ask, holder.record, holder.places)


def _log_load(ask: LoadAsk, ended: AskEnded) -> None:
    log_event(
        "load_ended",
        endpoint=ask.endpoint,
        weights=str(Weights(ask.model, ask.adapter)),
        version=ended.version,
        place_ms=round(ended.place_s * 1000),
        took_ms=round(ended.load_s * 1000),
        outcome="loaded",
    )
