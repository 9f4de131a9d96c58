"""The gateway, which owns the open requests of callers at this instance."""

import asyncio

from returns.result import Success

from fescuekeel.components.gateway.admission import Admission
from fescuekeel.components.gateway.attempts import RequestStateMachine
from fescuekeel.components.gateway.const import DRAIN_POLL_S, IDEMPOTENCY_KEY_TTL_S
from fescuekeel.components.gateway.limits import Limits
from fescuekeel.components.gateway.request import CallerRequest
from fescuekeel.components.gateway.request_events import (
    CallerDisconnected,
    ShutdownTimedOut,
)
from fescuekeel.components.gateway.router import GatewayRouter
from fescuekeel.components.gateway.server import CallersServer
from fescuekeel.components.gateway.sink import CallerSink
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure, Ran
from fescuekeel.helpers.key_link import get_key_link
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    EntryRunningWork,
    MemberView,
    PeerConnectionLost,
    PeerMessage,
    RunningWork,
    StartAnswer,
    StartAsk,
    WorkChunk,
    WorkEnd,
    WorkStarted,
)

__all__ = ["Gateway"]


class Gateway:
    """Serve callers: check limits, claim idempotency keys, route requests."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.limits = Limits()
        self.router = GatewayRouter(instance, self.limits)
        self.server = CallersServer(self, instance.settings.callers)
        self.requests_by_id: dict[str, CallerRequest] = {}
        self._members: frozenset[str] = frozenset()

    @property
    def ready(self) -> bool:
        """Return whether the instance accepts new requests."""
        known = self.instance.bus.latest(TreeInForce) is not None
        return known and not self.instance.draining

    async def start(self) -> None:
        """Listen for callers and subscribe to the owners' messages."""
        bus = self.instance.bus
        for kind in (StartAsk, WorkStarted, WorkChunk, WorkEnd):
            bus.subscribe_peer(kind, self._post_message)
        bus.subscribe(
            PeerConnectionLost, lambda lost: self._handle_owner_loss(lost.instance_id)
        )
        bus.subscribe(MemberView, self._update_members)
        bus.publish_state(EntryRunningWork(self._list_open_work))
        self.server.start()
        log_event("callers_listening", address=self.server.address)

    async def stop(self) -> None:
        """Reject new requests, wait for those in progress, then close.

        The listening socket stays open meanwhile, and new requests are told
        that the instance is draining. Closing it would reset connections in
        the accept backlog without a response.
        """
        remaining_s = self.instance.settings.instance.shutdown_s
        await asyncio.sleep(DRAIN_POLL_S)
        while self.requests_by_id and remaining_s > 0:
            await asyncio.sleep(DRAIN_POLL_S)
            remaining_s -= DRAIN_POLL_S
        for request in self.requests_by_id.values():
            request.post(ShutdownTimedOut())
        self.server.stop_listening()
        await asyncio.sleep(DRAIN_POLL_S)
        await self.server.close()

    async def serve(
        self, request_id: str, admission: Admission, sink: CallerSink
    ) -> None:
        """Serve one admitted request to completion."""
        policy = admission.policy
        if self.instance.draining:
            failure = Failure(ErrorKind.DRAINING, retry_after_s=1.0)
            await self.refuse(request_id, failure, sink)
            return
        limited = self.limits.admit(policy, self.instance.now())
        if limited is not None:
            await self.refuse(request_id, limited, sink)
            return
        try:
            await self._serve_within_limits(request_id, admission, sink)
        finally:
            self.limits.release(policy)

    async def _serve_within_limits(
        self, request_id: str, admission: Admission, sink: CallerSink
    ) -> None:
        arrived_at = self.instance.now()
        state_machine = RequestStateMachine(
            repeatable=admission.policy.repeatable,
            stream=admission.stream,
            deadline=arrived_at + admission.policy.answer_s,
        )
        request = CallerRequest(
            self.instance,
            get_peer_link(self.instance),
            self.router,
            request_id,
            admission,
            sink,
            state_machine,
            arrived_at,
        )
        self.requests_by_id[request_id] = request
        try:
            await self._claim_and_run(request)
        finally:
            del self.requests_by_id[request_id]

    async def _claim_and_run(self, request: CallerRequest) -> None:
        key = request.admission.caller.idempotency_key
        if not key:
            self._report(request, await request.run())
            return
        scoped = f"{request.admission.policy.shop}/{key}"
        keys = get_key_link(self.instance)
        claim = await keys.claim(
            scoped, request.request_id, request.admission.digest, IDEMPOTENCY_KEY_TTL_S
        )
        if not isinstance(claim, Success):
            await self.refuse(request.request_id, claim.failure(), request.sink)
            return
        ran = Ran.UNKNOWN
        try:
            failure = await request.run()
            ran = Ran.YES if failure is None else failure.outcome
            self._report(request, failure)
        finally:
            keys.settle(scoped, request.request_id, ran)

    async def refuse(self, request_id: str, failure: Failure, sink: CallerSink) -> None:
        """Reject a request that was never routed."""
        self.instance.metrics.count(f"refused.{failure.kind}")
        log_event(
            "request_refused",
            request_id=request_id,
            kind=failure.kind.value,
            ran=failure.outcome.value,
            detail=failure.detail,
            outcome="refused",
        )
        await sink.fail(failure)

    def _report(self, request: CallerRequest, failure: Failure | None) -> None:
        metrics = self.instance.metrics
        took_s = self.instance.now() - request.arrived_at
        metrics.observe("request", took_s)
        metrics.observe("stall", request.head.stall_ms / 1000)
        if failure is None:
            metrics.count("answered")
        else:
            metrics.count(f"refused.{failure.kind}")
        policy = request.admission.policy
        log_event(
            "request_ended",
            request_id=request.request_id,
            shop=policy.shop,
            service=policy.service,
            adapter=policy.adapter,
            endpoint=request.placement.endpoint if request.placement else "",
            attempts=request.state_machine.attempt,
            kind=failure.kind.value if failure else "answered",
            ran=failure.outcome.value if failure else Ran.YES.value,
            stall_ms=request.head.stall_ms,
            took_ms=round(took_s * 1000),
            outcome=failure.kind.value if failure else "answered",
        )

    def handle_caller_disconnect(self, request_id: str) -> None:
        """Cancel a request whose caller closed the connection."""
        request = self.requests_by_id.get(request_id)
        if request is not None:
            request.post(CallerDisconnected())

    def _post_message(self, message: PeerMessage) -> None:
        request = self.requests_by_id.get(message.body.request_id)  # type: ignore[union-attr]
        if request is not None:
            request.post_message(message)
            return
        # The request has ended here. An owner that requests permission late,
        # such as after a pause, must not hand it over any more.
        if isinstance(message.body, StartAsk):
            get_peer_link(self.instance).answer(message, StartAnswer(False))
        if not isinstance(message.body, WorkEnd):
            self.instance.metrics.count("late_message")

    def _handle_owner_loss(self, owner: str) -> None:
        for request in self.requests_by_id.values():
            request.handle_owner_loss(owner)

    def _update_members(self, view: MemberView) -> None:
        members = frozenset(view.members_by_id)
        self.limits.instances = max(1, len(members))
        # An owner in graceful shutdown has left the view but completes its
        # work. If it ends before that, ``PeerConnectionLost`` reports it.
        for lost in self._members - members - view.left:
            self._handle_owner_loss(lost)
        self._members = members

    def _list_open_work(self, endpoint: str) -> tuple[RunningWork, ...]:
        return tuple(
            RunningWork(
                request.request_id,
                request.admission.policy.adapter,
                max(
                    0,
                    int((request.state_machine.deadline - self.instance.now()) * 1000),
                ),
            )
            for request in self.requests_by_id.values()
            if request.placement is not None
            and request.placement.endpoint == endpoint
            and request.state_machine.may_have_run
        )
