"""Tests of the HTTP interface for callers, with a fake owner."""

import asyncio
import json
from dataclasses import replace

import pytest
from msgspec import structs
from returns.result import Failure as Err

from fescuekeel.components.gateway.component import Gateway
from fescuekeel.components.gateway.sink import AnswerHead
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.const import MAX_BODY_BYTES
from fescuekeel.errors import ErrorKind, Failure, RetryReason
from fescuekeel.helpers.listen import split_address
from fescuekeel.messages import CancelWork, MemberView, PeerConnectionLost
from standins.forwarding.raw_caller import call_raw
from tests.common import eventually
from tests.components.gateway.fakes import TOKEN, make_view, open_harness


def get_error(response):
    return json.loads(response.body)["error"]


class TestAnswers:
    def test_complete_response_is_relayed(self):
        async def run():
            async with open_harness() as harness:
                response = await harness.complete(X_Request_Id="order 7")
                assert response.code == 200
                assert response.body == b'{"text": "ab"}'
                assert response.headers["X-Request-Id"] == "order_7"
                assert response.headers["X-Stall-Ms"] == "3"
                assert harness.owner.submits[0].request_id.startswith("order_7.")
                assert harness.owner.submits[0].adapter.version == "1.10"

        asyncio.run(run())

    def test_stream_is_relayed(self):
        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.answer_stream
                response = await harness.complete(stream="true")
                assert response.headers["Content-Type"] == "text/event-stream"
                assert response.body == b"data: a\n\ndata: [DONE]\n\n"

        asyncio.run(run())

    # Guards against a stream that was given up and looks complete.
    @pytest.mark.parametrize("version", ["1.1", "1.0"])
    def test_stream_that_is_given_up_is_broken_off(self, version, monkeypatch):
        async def give_up(gateway, request_id, admission, sink):
            await sink.deliver(b"data: a\n\n", AnswerHead())

        async def run():
            async with open_harness() as harness:
                monkeypatch.setattr(Gateway, "serve", give_up)
                address = harness.gateway.server.address
                body = b'{"model": "patter/cups@1.10", "prompt": "p", "stream": true}'
                headers = [("Host", address), ("Authorization", f"Bearer {TOKEN}")]
                answer = await call_raw(
                    address, "POST", "/v1/completions", headers, body, version
                )
                assert answer.status == 200
                assert not answer.complete

        asyncio.run(run())

    def test_plain_service_receives_method_path_and_query(self):
        async def run():
            async with open_harness() as harness:
                response = await harness.fetch("/services/stock/kits?size=2", "GET")
                assert response.code == 200
                submit = harness.owner.submits[0]
                assert (submit.method, submit.path) == ("GET", "/kits?size=2")

        asyncio.run(run())

    def test_non_repeatable_request_requires_permission(self):
        async def run():
            async with open_harness() as harness:
                response = await harness.fetch("/services/charge/new", body=b"{}")
                assert response.code == 200
                assert harness.owner.start_answers == [True]

        asyncio.run(run())

    def test_disconnected_caller_cancels_the_request(self):
        """Guards against an engine that keeps running for a gone caller."""

        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.hang
                host, port = split_address(harness.gateway.server.address)
                _, writer = await asyncio.open_connection(host, port)
                body = b'{"model": "patter/cups", "prompt": "p"}'
                writer.write(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    b"Authorization: Bearer magic\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await eventually(lambda: harness.owner.submits)
                writer.close()
                await eventually(lambda: harness.owner.sent)
                submit = harness.owner.submits[0]
                assert harness.owner.sent == [CancelWork(submit.request_id, 1)]

        asyncio.run(run())

    def test_request_of_a_lost_owner_is_retried(self):
        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.hang
                task = asyncio.create_task(harness.complete())
                await eventually(lambda: harness.owner.submits)
                await asyncio.sleep(0)
                harness.owner.respond = harness.owner.answer_whole
                owner = next(iter(harness.gateway.requests_by_id.values()))
                await eventually(lambda: owner.placement is not None)
                harness.instance.bus.publish(PeerConnectionLost(owner.placement.owner))
                assert (await task).code == 200
                assert [submit.attempt for submit in harness.owner.submits] == [1, 2]

        asyncio.run(run())

    def test_owner_in_graceful_shutdown_completes_its_work(self):
        """Guards against "outcome unknown" when an instance is replaced.

        An owner in graceful shutdown leaves the view before its work ends.
        """

        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.answer_start_only
                harness.instance.bus.publish_state(make_view())
                task = asyncio.create_task(harness.fetch("/services/charge/new"))
                await eventually(lambda: harness.owner.start_answers)
                members = dict(make_view().members_by_id)
                (request,) = harness.gateway.requests_by_id.values()
                del members[request.placement.owner]
                left = frozenset({request.placement.owner})
                harness.instance.bus.publish_state(
                    replace(make_view(), members_by_id=members, left=left)
                )
                submit = harness.owner.submits[0]
                harness.owner.answer_whole(submit)
                assert (await task).code == 200
                assert len(harness.owner.submits) == 1

        asyncio.run(run())

    def test_repeated_report_of_a_loss_costs_one_attempt(self):
        """Guards against using up all attempts before a new owner is known.

        A loss that is reported again during the back-off must not fail the
        next attempt, which has not been sent.
        """

        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.hang
                task = asyncio.create_task(harness.complete())
                await eventually(lambda: harness.owner.submits)
                (request,) = harness.gateway.requests_by_id.values()
                harness.owner.respond = harness.owner.answer_whole
                for _ in range(10):
                    harness.instance.bus.publish(
                        PeerConnectionLost(request.placement.owner)
                    )
                    await asyncio.sleep(0)
                assert (await task).code == 200
                assert [submit.attempt for submit in harness.owner.submits] == [1, 2]

        asyncio.run(run())


REFUSED_BY_OWNER = [
    (ErrorKind.TOO_LATE, 503),
    (ErrorKind.EXPIRED, 504),
]
NOT_RUN_AFTER_RETRIES = [
    ErrorKind.QUEUE_FULL,
    ErrorKind.LOAD_FAILED,
    ErrorKind.ENDPOINT_REFUSED,
]
ENDED_BY_OWNER = [
    (ErrorKind.ANSWER_CUT, "yes", 502),
    (ErrorKind.INTERNAL, "unknown", 500),
]
REFUSED_FIRST = {
    RetryReason.NOT_OWNER: ErrorKind.NOT_OWNER,
    RetryReason.OWNER_DRAINING: ErrorKind.DRAINING,
    RetryReason.QUEUE_FULL: ErrorKind.QUEUE_FULL,
    RetryReason.LOAD_FAILED: ErrorKind.LOAD_FAILED,
    RetryReason.ENDPOINT_REFUSED: ErrorKind.ENDPOINT_REFUSED,
}


def fail_first(owner, reason):
    """Return the owner's response that causes a retry for this reason."""
    if reason in REFUSED_FIRST:
        return owner.refuse(REFUSED_FIRST[reason])
    if reason is RetryReason.MOVED:
        return owner.move("e3")
    if reason is RetryReason.OWNER_UNREACHABLE:
        return lambda submit: Err(Failure(ErrorKind.PEER_UNREACHABLE))
    if reason is RetryReason.ENDPOINT_LOST:
        return owner.end(ErrorKind.OUTCOME_UNKNOWN, "unknown")
    return owner.answer_stream_without_end


class TestRetries:
    @pytest.mark.parametrize("reason", RetryReason)
    def test_each_reason_is_counted_and_hidden_from_the_caller(self, reason):
        async def run():
            async with open_harness(retry_share=1.0) as harness:
                harness.instance.bus.publish_state(make_view("e3"))
                owner = harness.owner
                responses = [fail_first(owner, reason)]
                stream = reason is RetryReason.STREAM_RESUMED
                then = owner.answer_stream if stream else owner.answer_whole
                owner.respond = lambda submit: (responses.pop() if responses else then)(
                    submit
                )
                response = await harness.complete(stream=str(stream).lower())
                assert response.code == 200
                assert [submit.attempt for submit in owner.submits] == [1, 2]
                counters = harness.instance.metrics.counters_by_name
                assert counters[f"retry.{reason}"] == 1
                assert counters["routed"] == 1

        asyncio.run(run())

    def test_moved_request_is_marked(self):
        """Guards against two owners that redirect a request to each other."""

        async def run():
            async with open_harness(repeatable=False) as harness:
                harness.instance.bus.publish_state(make_view("e3"))
                owner = harness.owner
                responses = [owner.answer_whole, owner.refuse(ErrorKind.NOT_OWNER)]
                responses.append(owner.move("e3"))
                owner.respond = lambda submit: responses.pop()(submit)
                assert (await harness.complete()).code == 200
                assert [submit.moved for submit in owner.submits] == [False, True, True]
                assert owner.submits[1].endpoint == "e3"
                assert owner.start_answers == [True]

        asyncio.run(run())

    def test_later_requests_go_to_the_new_endpoint_directly(self):
        async def run():
            async with open_harness() as harness:
                harness.instance.bus.publish_state(make_view("e3"))
                owner = harness.owner
                await harness.complete()
                home = owner.submits.pop().endpoint
                other = "e3" if home == "e1" else "e1"
                responses = [owner.answer_whole, owner.answer_whole, owner.move(other)]
                owner.respond = lambda submit: responses.pop()(submit)
                for _ in range(2):
                    assert (await harness.complete()).code == 200
                to = [(submit.endpoint, submit.moved) for submit in owner.submits]
                assert to == [(home, False), (other, True), (other, False)]

        asyncio.run(run())


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "body", "token", "kind"),
        [
            ("/v1/completions", "{", "magic", ErrorKind.BAD_REQUEST),
            ("/v1/completions", "{}", "other", ErrorKind.UNAUTHENTICATED),
            ("/v1/completions", "{}", "", ErrorKind.UNAUTHENTICATED),
            ("/services/none/x", "", "magic", ErrorKind.UNKNOWN_SERVICE),
            ("/services/patter/x", "", "magic", ErrorKind.UNKNOWN_SERVICE),
            ("/elsewhere", "", "magic", ErrorKind.UNKNOWN_SERVICE),
        ],
    )
    def test_error_names_the_kind_of_failure(self, path, body, token, kind):
        async def run():
            async with open_harness() as harness:
                response = await harness.fetch(path, body=body, token=token)
                assert get_error(response)["kind"] == kind
                assert response.headers["X-Request-Ran"] == "no"
                counters = harness.instance.metrics.counters_by_name
                assert counters[f"refused.{kind}"] == 1

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("model", "kind"),
        [
            ("patter/other", ErrorKind.UNKNOWN_ADAPTER),
            ("patter/cups@2", ErrorKind.UNKNOWN_VERSION),
            ("stock/cups", ErrorKind.UNKNOWN_SERVICE),
            ("cups", ErrorKind.BAD_REQUEST),
        ],
    )
    def test_unknown_name_is_reported_by_kind(self, model, kind):
        async def run():
            async with open_harness() as harness:
                assert get_error(await harness.complete(model))["kind"] == kind

        asyncio.run(run())

    @pytest.mark.parametrize(("kind", "status"), REFUSED_BY_OWNER)
    def test_rejection_by_the_owner_is_not_retried(self, kind, status):
        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.refuse(kind, 2500)
                response = await harness.complete()
                error = get_error(response)
                assert (response.code, error["kind"]) == (status, kind)
                assert (error["ran"], error["retry_after_s"]) == ("no", 2.5)
                assert len(harness.owner.submits) == 1

        asyncio.run(run())

    def test_too_late_does_not_mark_the_endpoint_as_full(self):
        """Guards against moving adapters away because loads are slow.

        Adapters that are already loaded there can still be served at once.
        """

        async def run():
            async with open_harness() as harness:
                hints = harness.gateway.router.hints
                for kind, waits in (
                    (ErrorKind.TOO_LATE, False),
                    (ErrorKind.QUEUE_FULL, True),
                ):
                    harness.owner.respond = harness.owner.refuse(kind, 9000)
                    await harness.complete()
                    wait_s = hints.get_wait_s("e1", harness.instance.now())
                    assert (wait_s > 0) is waits

        asyncio.run(run())

    @pytest.mark.parametrize("kind", NOT_RUN_AFTER_RETRIES)
    def test_budgeted_retries_end_with_the_budget(self, kind):
        async def run():
            async with open_harness(retry_share=0.0) as harness:
                harness.owner.respond = harness.owner.refuse(kind)
                error = get_error(await harness.complete())
                assert error["kind"] in (kind, ErrorKind.RETRY_BUDGET_SPENT)
                assert error["ran"] == "no"

        asyncio.run(run())

    def test_queue_full_is_reported_if_every_endpoint_is_full(self):
        """Guards against "no endpoint" when all endpoints are only busy."""

        async def run():
            async with open_harness(retry_share=1.0) as harness:
                harness.instance.bus.publish_state(make_view("e3"))
                harness.owner.respond = harness.owner.refuse(ErrorKind.QUEUE_FULL, 2500)
                error = get_error(await harness.complete())
                assert error["kind"] == ErrorKind.QUEUE_FULL
                assert error["retry_after_s"] == 2.5
                endpoints = {submit.endpoint for submit in harness.owner.submits}
                assert endpoints == {"e1", "e3"}

        asyncio.run(run())

    @pytest.mark.parametrize(("kind", "ran", "status"), ENDED_BY_OWNER)
    def test_failed_run_reports_whether_it_ran(self, kind, ran, status):
        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.end(kind, ran)
                response = await harness.complete()
                error = get_error(response)
                assert (response.code, error["ran"]) == (status, ran)

        asyncio.run(run())

    def test_unclaimable_key_rejects_before_submitting(self):
        async def run():
            async with open_harness() as harness:
                for kind in (
                    ErrorKind.KEY_HOME_UNREACHABLE,
                    ErrorKind.KEY_IN_PROGRESS,
                    ErrorKind.KEY_USED,
                    ErrorKind.KEY_MISMATCH,
                ):
                    harness.keys.failure = Failure(kind)
                    response = await harness.complete(Idempotency_Key="k1")
                    assert get_error(response)["kind"] == kind
                assert harness.owner.submits == []

        asyncio.run(run())

    def test_key_is_settled_with_the_outcome(self):
        async def run():
            async with open_harness() as harness:
                await harness.complete(Idempotency_Key="k1")
                harness.owner.respond = harness.owner.refuse(ErrorKind.TOO_LATE)
                await harness.complete(Idempotency_Key="k2")
                assert harness.keys.settled == [
                    ("tricks/k1", "yes"),
                    ("tricks/k2", "no"),
                ]

        asyncio.run(run())

    def test_requests_are_rejected_before_the_tree_is_known(self):
        async def run():
            async with open_harness() as harness:
                harness.instance.bus.publish_state(TreeInForce(None))
                harness.instance.bus._latest_by_type.pop(TreeInForce)
                error = get_error(await harness.complete())
                assert error["kind"] == ErrorKind.TREE_NOT_READY
                assert (await harness.fetch("/healthz", "GET")).code == 503

        asyncio.run(run())

    def test_empty_pool_rejects_immediately(self):
        async def run():
            async with open_harness() as harness:
                members = make_view().members_by_id
                harness.instance.bus.publish_state(MemberView(members))
                error = get_error(await harness.complete())
                assert error["kind"] == ErrorKind.NO_ENDPOINT
                assert (error["ran"], error["retry_after_s"]) == ("no", 1.0)
                assert harness.owner.submits == []

        asyncio.run(run())

    def test_limits_are_divided_by_the_number_of_instances(self):
        """Guards against each instance admitting the full limit."""

        async def run():
            async with open_harness() as harness:
                harness.instance.bus.publish_state(make_view())
                assert harness.gateway.limits.instances == 2

        asyncio.run(run())

    def test_draining_instance_rejects_requests(self):
        async def run():
            async with open_harness() as harness:
                harness.instance.draining = True
                error = get_error(await harness.complete())
                assert error["kind"] == ErrorKind.DRAINING

        asyncio.run(run())

    @pytest.mark.parametrize("path", ["/services/charge/new", "/services/stock/x"])
    def test_shutdown_timeout_is_reported_to_the_caller(self, path):
        """Guards against closing a connection without a response.

        The request outlasts the graceful shutdown and may have run.
        """

        async def run():
            async with open_harness() as harness:
                harness.owner.respond = harness.owner.answer_start_only
                short = structs.replace(
                    harness.instance.settings.instance, shutdown_s=0.1
                )
                harness.instance.settings = structs.replace(
                    harness.instance.settings, instance=short
                )
                task = asyncio.create_task(harness.fetch(path, body=b"{}"))
                await eventually(lambda: harness.owner.submits)
                await harness.gateway.stop()
                error = get_error(await task)
                assert error["kind"] == ErrorKind.OUTCOME_UNKNOWN
                assert error["ran"] == "unknown"

        asyncio.run(run())

    def test_too_large_body_is_rejected(self):
        async def run():
            async with open_harness() as harness:
                body = b" " * (MAX_BODY_BYTES + 1)
                response = await harness.fetch("/v1/completions", body=body)
                assert response.code == 413
                assert get_error(response)["kind"] == ErrorKind.BODY_TOO_LARGE

        asyncio.run(run())

    def test_body_far_above_the_limit_is_not_read(self):
        async def run():
            async with open_harness() as harness:
                host, port = split_address(harness.gateway.server.address)
                reader, writer = await asyncio.open_connection(host, port)
                head = f"POST /v1/completions HTTP/1.1\r\nContent-Length: {10**9}"
                writer.write(head.encode() + b"\r\nHost: x\r\n\r\n")
                answer = await reader.read()
                assert answer.startswith(b"HTTP/1.1 400")
                writer.close()

        asyncio.run(run())
