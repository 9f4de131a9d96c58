"""A gateway with fakes for the components that it talks to."""

import asyncio
from contextlib import asynccontextmanager

from returns.result import Failure as Err, Success
from tornado.httpclient import AsyncHTTPClient

from fescuekeel.components.gateway.component import Gateway
from fescuekeel.components.tree.model import Policy, Pool, PoolKind, TreeInForce
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.messages import (
    AdapterRef,
    LiveEntry,
    LiveRole,
    Member,
    MemberView,
    PeerMessage,
    StartAnswer,
    StartAsk,
    SubmitAnswer,
    WorkChunk,
    WorkEnd,
    WorkStarted,
)
from tests.common import add_quarantine, make_settings

TOKEN = "magic"
ENGINE = Pool("script", PoolKind.ENGINE)
PLAIN = Pool("store", PoolKind.PLAIN)


def make_policy(service="patter", **changes):
    plain = service in ("stock", "charge")
    fields = {
        "shop": "tricks",
        "service": service,
        "pool": PLAIN if plain else ENGINE,
        "urgency": 0,
        "answer_s": 5.0,
        "repeatable": service != "charge",
        "stall_weight": 1.0,
        "batch_weight": 1.0,
        "max_in_flight": 0,
        "rate_per_s": 0.0,
        "retry_share": 0.1,
        "max_tokens": 100,
        "adapter": AdapterRef() if plain else AdapterRef("cups", "1.10"),
    }
    return Policy(**{**fields, **changes})


class FakeIntent:
    def __init__(self, **changes):
        self.revision = 1
        self.pools_by_name = {"script": ENGINE, "store": PLAIN}
        self.changes = changes

    def authenticate(self, token):
        return "tricks" if token == TOKEN else None

    def resolve(self, shop, service, adapter, version):
        if service not in ("patter", "stock", "charge"):
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE))
        if adapter not in ("", "cups"):
            return Err(Failure(ErrorKind.UNKNOWN_ADAPTER))
        if version not in ("", "1.10"):
            return Err(Failure(ErrorKind.UNKNOWN_VERSION))
        return Success(make_policy(service, **self.changes))


class FakeKeys:
    def __init__(self):
        self.settled = []
        self.failure = None

    async def claim(self, key, request_id, digest, lifetime_s):
        return Success(None) if self.failure is None else Err(self.failure)

    def settle(self, key, request_id, ran):
        self.settled.append((key, str(ran)))

    async def start(self):
        pass

    async def stop(self):
        pass


class FakeOwner:
    """Fake owner of every endpoint; ``respond`` answers each submit."""

    def __init__(self, instance):
        self.instance = instance
        self.respond = self.answer_whole
        self.submits = []
        self.sent = []
        self.start_answers = []

    def send(self, instance_id, body):
        self.sent.append(body)
        return True

    def answer(self, request, body):
        if isinstance(body, StartAnswer):
            self.start_answers.append(body.granted)

    async def ask(self, instance_id, body, timeout_s):
        self.submits.append(body)
        return self.respond(body)

    def publish(self, body, number=0):
        self.instance.bus.publish_peer(PeerMessage("i2", number, body))

    def publish_soon(self, *bodies):
        loop = asyncio.get_running_loop()
        for body in bodies:
            loop.call_soon(self.publish, body, 7 if isinstance(body, StartAsk) else 0)

    def answer_whole(self, submit):
        id, attempt = submit.request_id, submit.attempt
        start = WorkStarted if submit.repeatable else StartAsk
        self.publish_soon(
            start(id, attempt, stall_ms=3, queue_ms=4),
            WorkChunk(id, attempt, 0, b'{"text": "ab"}'),
            WorkEnd(id, attempt, content_type="application/json"),
        )
        return Success(SubmitAnswer(True))

    def answer_stream(self, submit):
        id, attempt = submit.request_id, submit.attempt
        self.publish_soon(
            WorkStarted(id, attempt),
            WorkChunk(id, attempt, 0, b"data: a\n\n"),
            WorkChunk(id, attempt, 1, b"data: [DONE]\n\n", 0),
            WorkEnd(id, attempt),
        )
        return Success(SubmitAnswer(True))

    def answer_stream_without_end(self, submit):
        id, attempt = submit.request_id, submit.attempt
        self.publish_soon(
            WorkStarted(id, attempt),
            WorkChunk(id, attempt, 0, b"data: a\n\n"),
            WorkEnd(id, attempt),
        )
        return Success(SubmitAnswer(True))

    def hang(self, submit):
        self.publish_soon(WorkStarted(submit.request_id, submit.attempt))
        return Success(SubmitAnswer(True))

    def answer_start_only(self, submit):
        kind = WorkStarted if submit.repeatable else StartAsk
        self.publish_soon(kind(submit.request_id, submit.attempt))
        return Success(SubmitAnswer(True))

    def refuse(self, kind, retry_after_ms=0):
        answer = SubmitAnswer(False, kind.value, "", retry_after_ms)
        return lambda submit: Success(answer)

    def move(self, endpoint):
        answer = SubmitAnswer(False, ErrorKind.MOVED.value, endpoint=endpoint)
        return lambda submit: Success(answer)

    def end(self, kind, ran):
        def respond(submit):
            id, attempt = submit.request_id, submit.attempt
            self.publish_soon(WorkEnd(id, attempt, kind.value, ran))
            return Success(SubmitAnswer(True))

        return respond


def make_view(*more):
    endpoints = [
        LiveEntry("e1", LiveRole.ENDPOINT, "127.0.0.1:1", "dc1", 1, pool="script"),
        LiveEntry("e2", LiveRole.ENDPOINT, "127.0.0.1:2", "dc1", 1, pool="store"),
    ]
    endpoints += [
        LiveEntry(id, LiveRole.ENDPOINT, "127.0.0.1:3", "dc1", 1, pool="script")
        for id in more
    ]
    members = [Member("i1", "", "dc1", 1), Member("i2", "", "dc1", 1)]
    return MemberView(
        {member.id: member for member in members},
        {endpoint.id: endpoint for endpoint in endpoints},
    )


class GatewayHarness:
    """A listening gateway with its fakes and an HTTP client."""

    def __init__(self, **changes):
        self.instance = Instance(make_settings())
        self.owner = FakeOwner(self.instance)
        self.keys = FakeKeys()
        self.instance.components_by_domain["peers"] = self.owner
        self.instance.components_by_domain["keys"] = self.keys
        self.instance.bus.publish_state(make_view())
        self.instance.bus.publish_state(TreeInForce(FakeIntent(**changes)))
        add_quarantine(self.instance)
        self.gateway = Gateway(self.instance)

    async def fetch(self, path, method="POST", body=None, token=TOKEN, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            names["Authorization"] = f"Bearer {token}"
        return await AsyncHTTPClient().fetch(
            f"http://{self.gateway.server.address}{path}",
            method=method,
            body=body,
            headers=names,
            raise_error=False,
            allow_nonstandard_methods=True,
        )

    async def complete(self, model="patter/cups@1.10", stream="false", **headers):
        body = f'{{"model": "{model}", "prompt": "p", "stream": {stream}}}'
        return await self.fetch("/v1/completions", body=body, **headers)


@asynccontextmanager
async def open_harness(**changes):
    """Start a gateway, and stop it on exit."""
    harness = GatewayHarness(**changes)
    await harness.gateway.start()
    try:
        yield harness
    finally:
        await harness.gateway.stop()
