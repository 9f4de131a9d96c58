"""Grant turns to prompts: the questions and timers around ``PromptPacer``."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from fescuekeel.components.placement.const import (
    DEFAULT_WINDOW_S,
    PROMPT_TOKENS_PER_S,
)
from fescuekeel.components.placement.pacing import Prompt, PromptPacer, Turn
from fescuekeel.components.placement.places import EndpointPlaces
from fescuekeel.core import Instance
from fescuekeel.helpers.board import TURNS_WAIT
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import Catalog, EndpointRecord, Weights
from fescuekeel.messages import AdmitAnswer, AdmitAsk, PeerMessage

__all__ = ["TurnKeeper"]


@dataclass(frozen=True, slots=True)
class Question:
    """A prompt that waits for its turn."""

    message: PeerMessage
    weights: Weights


@dataclass(slots=True)
class EngineTurns:
    """The prompts of one engine, and what is known of it."""

    record: EndpointRecord
    places: EndpointPlaces
    pacer: PromptPacer
    questions_by_number: dict[int, Question] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        """Forget when the next step was due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def count_room(self, now: float) -> int:
        """Return how many more requests the engine can run at once."""
        usage = self.places.usage
        running = usage.count_all_running(now) + usage.count_starting(now)
        return self.record.slots - running

    def is_crowded(self, now: float) -> bool:
        """Tell whether a prompt should rather go to another engine.

        Prompts that wait for a load here will want their turn all at once.
        """
        coming = self.places.count_waiting_tokens()
        wait_s = self.pacer.estimate_wait_s(coming)
        return wait_s > self.places.load_s or self.count_room(now) <= 0


class TurnKeeper:
    """Own the turns of each engine whose orders this instance holds.

    Engines of one service read alike, so that what is learned of one's speed
    serves the next one that is held here.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._numbers = itertools.count(1)
        self._turns_by_endpoint: dict[str, EngineTurns] = {}
        self._speeds_by_service: dict[str, float] = {}

    def drop(self, endpoint: str) -> None:
        """Forget an engine whose orders are not held here any more.

        What waits goes at once, as all prompts do while nobody holds it.
        """
        engine = self._turns_by_endpoint.pop(endpoint, None)
        if engine is None:
            return
        engine.stop_timer()
        for turn in engine.pacer.drain():
            self._answer(engine, turn, AdmitAnswer(turn.granted))

    def note_speed(
        self, record: EndpointRecord, places: EndpointPlaces, tokens_per_s: float
    ) -> None:
        """Take what an instance has seen of an engine's speed."""
        pacer = self._get_engine(record, places).pacer
        pacer.note_speed(tokens_per_s)
        self._speeds_by_service[record.service] = pacer.tokens_per_s

    def note_pause(
        self, record: EndpointRecord, places: EndpointPlaces, pause: float
    ) -> None:
        """Take the longest pause in a stream that an instance has seen."""
        pacer = self._get_engine(record, places).pacer
        pacer.note_pause(pause, self._instance.now())

    def _get_engine(
        self, record: EndpointRecord, places: EndpointPlaces
    ) -> EngineTurns:
        engine = self._turns_by_endpoint.get(record.id)
        if engine is None:
            pacer = PromptPacer(self._get_window_s(record.service))
            pacer.tokens_per_s = self._speeds_by_service.get(
                record.service, PROMPT_TOKENS_PER_S
            )
            engine = EngineTurns(record, places, pacer)
            self._turns_by_endpoint[record.id] = engine
        return engine

    def is_crowded(self, record: EndpointRecord, places: EndpointPlaces) -> bool:
        """Tell whether a prompt should rather go to another engine."""
        return self._get_engine(record, places).is_crowded(self._instance.now())

    def take(
        self,
        message: PeerMessage,
        ask: AdmitAsk,
        record: EndpointRecord,
        places: EndpointPlaces,
    ) -> None:
        """Take a prompt; it is answered when its turn comes, or is refused."""
        engine = self._get_engine(record, places)
        number = next(self._numbers)
        weights = Weights(ask.model, ask.adapter)
        places.usage.expect(weights)
        engine.questions_by_number[number] = Question(message, weights)
        now = self._instance.now()
        engine.pacer.ask(
            Prompt(
                number,
                ask.tokens,
                ask.priority,
                now + ask.on_time_ms / 1000,
                now + ask.patience_ms / 1000,
                ask.patient,
            )
        )
        self._step(engine)

    def _step(self, engine: EngineTurns) -> None:
        engine.stop_timer()
        pacer = engine.pacer
        now = self._instance.now()
        for turn in pacer.step(now, engine.count_room(now), engine.places.load_s):
            pending = pacer.count_pending(now)
            wait_ms = int(pacer.estimate_wait_s() * 1000)
            reason = "" if turn.granted else TURNS_WAIT
            answer = AdmitAnswer(turn.granted, pending, wait_ms, reason)
            self._answer(engine, turn, answer)
        due = pacer.get_next_step()
        if due < float("inf"):
            loop = asyncio.get_running_loop()
            delay_s = max(0.001, due - now)
            engine.timer = loop.call_later(delay_s, self._step, engine)

    def _answer(self, engine: EngineTurns, turn: Turn, answer: AdmitAnswer) -> None:
        question = engine.questions_by_number.pop(turn.number)
        now = self._instance.now()
        places = engine.places
        answer = replace(
            answer,
            running=places.usage.count_all_running(now),
            version=places.read_version(question.weights) or 0,
        )
        sender = question.message.sender
        places.usage.settle(question.weights, sender, turn.granted, now)
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
        engine = self._turns_by_endpoint.get(endpoint)
        return engine.pacer.count_pending(self._instance.now()) if engine else 0
