"""Admission of prompts: the requests and timers around ``PromptPacer``."""

import asyncio
import itertools
from dataclasses import dataclass, field, replace

from fescuekeel.components.placement.const import (
    DEFAULT_WINDOW_S,
    PROMPT_TOKENS_PER_S,
)
from fescuekeel.components.placement.pacing import (
    AdmissionDecision,
    Prompt,
    PromptPacer,
)
from fescuekeel.components.placement.scheduler import AdapterScheduler
from fescuekeel.core import Instance
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement_view import TOO_MANY_PROMPTS
from fescuekeel.helpers.published import Catalog, EndpointRecord, Weights
from fescuekeel.messages import AdmitAnswer, AdmitAsk, PeerMessage

__all__ = ["AdmissionController"]


@dataclass(frozen=True, slots=True)
class WaitingPrompt:
    """A prompt that waits for admission."""

    message: PeerMessage
    weights: Weights


@dataclass(slots=True)
class EngineQueue:
    """The waiting prompts of one engine, and the engine's state."""

    record: EndpointRecord
    scheduler: AdapterScheduler
    pacer: PromptPacer
    waiting_by_number: dict[int, WaitingPrompt] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        """Cancel the timer of the next step."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def count_free_slots(self, now: float) -> int:
        """Return how many more requests the engine can run."""
        usage = self.scheduler.usage
        running = usage.count_all_running(now) + usage.count_starting(now)
        return self.record.slots - running

    def is_crowded(self, now: float) -> bool:
        """Return whether a prompt should rather go to another engine.

        Prompts that wait for a load here will all request admission
        afterwards.
        """
        coming = self.scheduler.count_waiting_tokens()
        wait_s = self.pacer.estimate_wait_s(coming)
        return wait_s > self.scheduler.load_s or self.count_free_slots(now) <= 0


class AdmissionController:
    """Own the prompt queues of the engines that are held here.

    Engines of one service read at similar speeds, so that the estimate for
    one is the initial value for the next.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._numbers = itertools.count(1)
        self._queues_by_endpoint: dict[str, EngineQueue] = {}
        self._speeds_by_service: dict[str, float] = {}

    def drop(self, endpoint: str) -> None:
        """Remove an engine that is no longer held here.

        Its waiting prompts are admitted at once, as all prompts are while an
        engine has no holder.
        """
        queue = self._queues_by_endpoint.pop(endpoint, None)
        if queue is None:
            return
        queue.stop_timer()
        for decision in queue.pacer.drain():
            self._answer(queue, decision, AdmitAnswer(decision.granted))

    def record_speed(
        self, record: EndpointRecord, scheduler: AdapterScheduler, tokens_per_s: float
    ) -> None:
        """Record an instance's sample of an engine's prefill speed."""
        pacer = self._get_queue(record, scheduler).pacer
        pacer.record_speed(tokens_per_s)
        self._speeds_by_service[record.service] = pacer.tokens_per_s

    def record_pause(
        self, record: EndpointRecord, scheduler: AdapterScheduler, pause: float
    ) -> None:
        """Record the longest pause that an instance has seen in a stream."""
        pacer = self._get_queue(record, scheduler).pacer
        pacer.record_pause(pause, self._instance.now())

    def _get_queue(
        self, record: EndpointRecord, scheduler: AdapterScheduler
    ) -> EngineQueue:
        queue = self._queues_by_endpoint.get(record.id)
        if queue is None:
            pacer = PromptPacer(self._get_window_s(record.service))
            pacer.tokens_per_s = self._speeds_by_service.get(
                record.service, PROMPT_TOKENS_PER_S
            )
            queue = EngineQueue(record, scheduler, pacer)
            self._queues_by_endpoint[record.id] = queue
        return queue

    def is_crowded(self, record: EndpointRecord, scheduler: AdapterScheduler) -> bool:
        """Return whether a prompt should rather go to another engine."""
        return self._get_queue(record, scheduler).is_crowded(self._instance.now())

    def enqueue(
        self,
        message: PeerMessage,
        request: AdmitAsk,
        record: EndpointRecord,
        scheduler: AdapterScheduler,
    ) -> None:
        """Enqueue a prompt, which is answered once decided on."""
        queue = self._get_queue(record, scheduler)
        number = next(self._numbers)
        weights = Weights(request.model, request.adapter)
        scheduler.usage.record_prompt_waiting(weights)
        queue.waiting_by_number[number] = WaitingPrompt(message, weights)
        now = self._instance.now()
        queue.pacer.enqueue(
            Prompt(
                number,
                request.tokens,
                request.priority,
                now + request.on_time_ms / 1000,
                now + request.patience_ms / 1000,
                request.patient,
            )
        )
        self._step(queue)

    def _step(self, queue: EngineQueue) -> None:
        queue.stop_timer()
        pacer = queue.pacer
        now = self._instance.now()
        for decision in pacer.step(
            now, queue.count_free_slots(now), queue.scheduler.load_s
        ):
            pending = pacer.count_pending_tokens(now)
            wait_ms = int(pacer.estimate_wait_s() * 1000)
            reason = "" if decision.granted else TOO_MANY_PROMPTS
            answer = AdmitAnswer(decision.granted, pending, wait_ms, reason)
            self._answer(queue, decision, answer)
        due = pacer.get_next_step()
        if due < float("inf"):
            loop = asyncio.get_running_loop()
            delay_s = max(0.001, due - now)
            queue.timer = loop.call_later(delay_s, self._step, queue)

    def _answer(
        self, queue: EngineQueue, decision: AdmissionDecision, answer: AdmitAnswer
    ) -> None:
        waiting = queue.waiting_by_number.pop(decision.number)
        now = self._instance.now()
        scheduler = queue.scheduler
        answer = replace(
            answer,
            running=scheduler.usage.count_all_running(now),
            version=scheduler.get_servable_version(waiting.weights) or 0,
        )
        sender = waiting.message.sender
        scheduler.usage.record_prompt_decided(
            waiting.weights, sender, decision.granted, now
        )
        get_peer_link(self._instance).answer(waiting.message, answer)
        outcome = "granted" if decision.granted else "refused"
        self._instance.metrics.count(f"turn.{outcome}")

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
        """Return the prompt tokens that wait or are read at an engine."""
        queue = self._queues_by_endpoint.get(endpoint)
        return queue.pacer.count_pending_tokens(self._instance.now()) if queue else 0
