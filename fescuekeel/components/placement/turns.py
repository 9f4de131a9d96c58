"""Grant turns to prompts: the questions and timers around ``PromptPacer``."""

import asyncio
import itertools
from dataclasses import dataclass, replace

from fescuekeel.components.placement.const import (
    DEFAULT_WINDOW_S,
    PROMPT_TOKENS_PER_S,
)
from fescuekeel.components.placement.pacing import Prompt, PromptPacer, Turn
from fescuekeel.components.placement.places import EndpointPlaces
from fescuekeel.core import Instance
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement import TURNS_WAIT
from fescuekeel.helpers.published import Catalog, EndpointRecord, Weights
from fescuekeel.messages import AdmitAnswer, AdmitAsk, PeerMessage

__all__ = ["TurnKeeper"]


@dataclass(frozen=True, slots=True)
class Question:
    """A prompt that waits for its turn; ``places`` are its endpoint's."""

    message: PeerMessage
    weights: Weights
    places: EndpointPlaces


class TurnKeeper:
    """Own the pacer of each engine whose orders this instance holds.

    Engines of one service read alike, so that what is learned of one's speed
    serves the next one that is held here.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._numbers = itertools.count(1)
        self._pacers_by_endpoint: dict[str, PromptPacer] = {}
        self._questions_by_number: dict[int, Question] = {}
        self._speeds_by_service: dict[str, float] = {}
        self._timers_by_endpoint: dict[str, asyncio.TimerHandle] = {}

    def drop(self, endpoint: str) -> None:
        """Forget an engine whose orders are not held here any more.

        What waits goes at once, as all prompts do while nobody holds it.
        """
        pacer = self._pacers_by_endpoint.pop(endpoint, None)
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
        for turn in pacer.drain() if pacer is not None else ():
            self._answer(turn, AdmitAnswer(turn.granted))

    def note_speed(self, record: EndpointRecord, tokens_per_s: float) -> None:
        """Take what an instance has seen of an engine's speed."""
        pacer = self._get_pacer(record)
        pacer.note_speed(tokens_per_s)
        self._speeds_by_service[record.service] = pacer.tokens_per_s

    def note_pause(self, record: EndpointRecord, pause: float) -> None:
        """Take the longest pause in a stream that an instance has seen."""
        self._get_pacer(record).note_pause(pause, self._instance.now())

    def _get_pacer(self, record: EndpointRecord) -> PromptPacer:
        pacer = self._pacers_by_endpoint.get(record.id)
        if pacer is None:
            pacer = PromptPacer(self._get_window_s(record.service))
            pacer.tokens_per_s = self._speeds_by_service.get(
                record.service, PROMPT_TOKENS_PER_S
            )
            self._pacers_by_endpoint[record.id] = pacer
        return pacer

    def take(
        self,
        message: PeerMessage,
        ask: AdmitAsk,
        record: EndpointRecord,
        places: EndpointPlaces,
    ) -> None:
        """Take a prompt; it is answered when its turn comes, or is refused."""
        pacer = self._get_pacer(record)
        number = next(self._numbers)
        weights = Weights(ask.model, ask.adapter)
        places.usage.expect(weights)
        self._questions_by_number[number] = Question(message, weights, places)
        now = self._instance.now()
        pacer.ask(
            Prompt(
                number,
                ask.tokens,
                ask.priority,
                now + ask.on_time_ms / 1000,
                now + ask.patience_ms / 1000,
            )
        )
        self._step(ask.endpoint)

    def _step(self, endpoint: str) -> None:
        timer = self._timers_by_endpoint.pop(endpoint, None)
        if timer is not None:
            timer.cancel()
        pacer = self._pacers_by_endpoint.get(endpoint)
        if pacer is None:
            return
        now = self._instance.now()
        for turn in pacer.step(now):
            pending = pacer.count_pending(now)
            wait_ms = int(pacer.estimate_wait_s() * 1000)
            reason = "" if turn.granted else TURNS_WAIT
            answer = AdmitAnswer(turn.granted, pending, wait_ms, reason)
            self._answer(turn, answer)
        due = pacer.get_next_step()
        if due < float("inf"):
            loop = asyncio.get_running_loop()
            self._timers_by_endpoint[endpoint] = loop.call_later(
                max(0.001, due - now), self._step, endpoint
            )

    def _answer(self, turn: Turn, answer: AdmitAnswer) -> None:
        question = self._questions_by_number.pop(turn.number)
        places = question.places
        answer = replace(
            answer,
            running=max(0, places.running),
            version=places.read_version(question.weights) or 0,
        )
        places.usage.settle(
            question.weights,
            question.message.sender,
            turn.granted,
            self._instance.now(),
        )
        get_peer_link(self._instance).answer(question.message, answer)
        word = "granted" if turn.granted else "refused"
        self._instance.metrics.count(f"turn.{word}")

    def _get_window_s(self, service: str) -> float:
        """Return the shortest pause that callers of a service accept."""
        catalog = self._instance.bus.latest(Catalog)
        if catalog is None or catalog.configuration is None:
            return DEFAULT_WINDOW_S
        gaps = [
            route.gap_target_s
            for route in catalog.configuration.routes
            if route.gap_target_s
            and any(target.service == service for target in route.targets)
        ]
        return min(gaps, default=DEFAULT_WINDOW_S)

    def count_pending(self, endpoint: str) -> int:
        """Return the prompt tokens that wait at an engine, or are read."""
        pacer = self._pacers_by_endpoint.get(endpoint)
        return pacer.count_pending(self._instance.now()) if pacer else 0
