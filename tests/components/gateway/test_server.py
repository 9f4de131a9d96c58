"""Tests of the callers' HTTP interface with a fake owner behind it."""

import asyncio
import json
from dataclasses import replace

import pytest
from msgspec import structs
from returns.result import Failure as Err

from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.const import MAX_BODY_BYTES
from fescuekeel.errors import ErrorKind, Failure, RetryReason
from fescuekeel.helpers.listen import split_address
from fescuekeel.messages import CancelWork, MemberView, PeerConnectionLost
from tests.common import eventually
from tests.components.gateway.fakes import make_view, open_bench


def get_error(response):
    return json.loads(response.body)["error"]


class TestAnswers:
    def test_a_whole_answer_passes_through(self):
        async def run():
            async with open_bench() as bench:
                response = await bench.complete(X_Request_Id="order 7")
                assert response.code == 200
                assert response.body == b'{"text": "ab"}'
                assert response.headers["X-Request-Id"] == "order_7"
                assert response.headers["X-Stall-Ms"] == "3"
                assert bench.owner.submits[0].request_id.startswith("order_7.")
                assert bench.owner.submits[0].adapter.version == "1.10"

        asyncio.run(run())

    def test_a_stream_passes_through(self):
        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.answer_stream
                response = await bench.complete(stream="true")
                assert response.headers["Content-Type"] == "text/event-stream"
                assert response.body == b"data: a\n\ndata: [DONE]\n\n"

        asyncio.run(run())

    def test_a_plain_service_sees_method_path_and_query(self):
        async def run():
            async with open_bench() as bench:
                response = await bench.fetch("/services/stock/kits?size=2", "GET")
                assert response.code == 200
                submit = bench.owner.submits[0]
                assert (submit.method, submit.path) == ("GET", "/kits?size=2")

        asyncio.run(run())

    def test_a_charge_asks_for_leave(self):
        async def run():
            async with open_bench() as bench:
                response = await bench.fetch("/services/charge/new", body=b"{}")
                assert response.code == 200
                assert bench.owner.leave == [True]

        asyncio.run(run())

    def test_a_caller_that_goes_away_stops_the_work(self):
        """An engine must not go on writing for a caller that hung up."""

        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.hang
                host, port = split_address(bench.gateway.server.address)
                _, writer = await asyncio.open_connection(host, port)
                body = b'{"model": "patter/cups", "prompt": "p"}'
                writer.write(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    b"Authorization: Bearer magic\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await eventually(lambda: bench.owner.submits)
                writer.close()
                await eventually(lambda: bench.owner.sent)
                submit = bench.owner.submits[0]
                assert bench.owner.sent == [CancelWork(submit.request_id, 1)]

        asyncio.run(run())

    def test_a_lost_owner_is_replaced(self):
        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.hang
                task = asyncio.create_task(bench.complete())
                await eventually(lambda: bench.owner.submits)
                await asyncio.sleep(0)
                bench.owner.play = bench.owner.answer_whole
                owner = next(iter(bench.gateway.requests_by_id.values()))
                await eventually(lambda: owner.placement is not None)
                bench.instance.bus.publish(PeerConnectionLost(owner.placement.owner))
                assert (await task).code == 200
                assert [submit.attempt for submit in bench.owner.submits] == [1, 2]

        asyncio.run(run())

    def test_an_owner_that_shuts_down_gracefully_finishes_its_work(self):
        """A quote ends as "outcome unknown" because an instance is replaced.

        Its owner begins a graceful shutdown: it tells all that it has left
        and is a member no more, but goes on carrying the answer.
        """

        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.answer_start_only
                bench.instance.bus.publish_state(make_view())
                task = asyncio.create_task(bench.fetch("/services/charge/new"))
                await eventually(lambda: bench.owner.leave)
                members = dict(make_view().members_by_id)
                (request,) = bench.gateway.requests_by_id.values()
                del members[request.placement.owner]
                left = frozenset({request.placement.owner})
                bench.instance.bus.publish_state(
                    replace(make_view(), members_by_id=members, left=left)
                )
                submit = bench.owner.submits[0]
                bench.owner.answer_whole(submit)
                assert (await task).code == 200
                assert len(bench.owner.submits) == 1

        asyncio.run(run())

    def test_a_loss_that_is_told_often_costs_one_attempt(self):
        """A script is cut half a second after an owner died.

        Each try to reach the dead owner tells of its loss again. Told while
        the next attempt still waits for its back-off, it must not count
        against that one, or all attempts are gone before a new owner is known.
        """

        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.hang
                task = asyncio.create_task(bench.complete())
                await eventually(lambda: bench.owner.submits)
                (request,) = bench.gateway.requests_by_id.values()
                bench.owner.play = bench.owner.answer_whole
                for _ in range(10):
                    bench.instance.bus.publish(
                        PeerConnectionLost(request.placement.owner)
                    )
                    await asyncio.sleep(0)
                assert (await task).code == 200
                assert [submit.attempt for submit in bench.owner.submits] == [1, 2]

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
    """Return how an owner gives a reason to try again."""
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
    def test_each_reason_is_counted_and_the_caller_sees_none_of_it(self, reason):
        async def run():
            async with open_bench(retry_share=1.0) as bench:
                bench.instance.bus.publish_state(make_view("e3"))
                owner = bench.owner
                plays = [fail_first(owner, reason)]
                stream = reason is RetryReason.STREAM_RESUMED
                then = owner.answer_stream if stream else owner.answer_whole
                owner.play = lambda submit: (plays.pop() if plays else then)(submit)
                response = await bench.complete(stream=str(stream).lower())
                assert response.code == 200
                assert [submit.attempt for submit in owner.submits] == [1, 2]
                counters = bench.instance.metrics.counters_by_name
                assert counters[f"retry.{reason}"] == 1

        asyncio.run(run())

    def test_a_request_that_was_moved_says_so(self):
        """Two owners each believe that the other has the copy.

        Without the mark they would send a request to and fro until its
        attempts are used up.
        """

        async def run():
            async with open_bench(repeatable=False) as bench:
                bench.instance.bus.publish_state(make_view("e3"))
                owner = bench.owner
                plays = [owner.answer_whole, owner.refuse(ErrorKind.NOT_OWNER)]
                plays.append(owner.move("e3"))
                owner.play = lambda submit: plays.pop()(submit)
                assert (await bench.complete()).code == 200
                assert [submit.moved for submit in owner.submits] == [False, True, True]
                assert owner.submits[1].endpoint == "e3"
                assert owner.leave == [True]

        asyncio.run(run())

    def test_the_next_requests_go_there_directly(self):
        async def run():
            async with open_bench() as bench:
                bench.instance.bus.publish_state(make_view("e3"))
                owner = bench.owner
                await bench.complete()
                home = owner.submits.pop().endpoint
                other = "e3" if home == "e1" else "e1"
                plays = [owner.answer_whole, owner.answer_whole, owner.move(other)]
                owner.play = lambda submit: plays.pop()(submit)
                for _ in range(2):
                    assert (await bench.complete()).code == 200
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
    def test_what_is_wrong_is_named(self, path, body, token, kind):
        async def run():
            async with open_bench() as bench:
                response = await bench.fetch(path, body=body, token=token)
                assert get_error(response)["kind"] == kind
                assert response.headers["X-Request-Ran"] == "no"
                counters = bench.instance.metrics.counters_by_name
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
    def test_what_is_not_in_the_tree_is_named(self, model, kind):
        async def run():
            async with open_bench() as bench:
                assert get_error(await bench.complete(model))["kind"] == kind

        asyncio.run(run())

    @pytest.mark.parametrize(("kind", "status"), REFUSED_BY_OWNER)
    def test_an_owners_refusal_is_told_at_once(self, kind, status):
        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.refuse(kind, 2500)
                response = await bench.complete()
                error = get_error(response)
                assert (response.code, error["kind"]) == (status, kind)
                assert (error["ran"], error["retry_after_s"]) == ("no", 2.5)
                assert len(bench.owner.submits) == 1

        asyncio.run(run())

    def test_a_wait_for_a_load_is_no_want_of_room(self):
        """Adapters must not move to other endpoints because a store is slow.

        A request is refused as too late, since loads queue up. The endpoint
        has room all the same, and what is loaded there is served at once.
        """

        async def run():
            async with open_bench() as bench:
                hints = bench.gateway.router.hints
                for kind, waits in (
                    (ErrorKind.TOO_LATE, False),
                    (ErrorKind.QUEUE_FULL, True),
                ):
                    bench.owner.play = bench.owner.refuse(kind, 9000)
                    await bench.complete()
                    wait_s = hints.get_wait_s("e1", bench.instance.now())
                    assert (wait_s > 0) is waits

        asyncio.run(run())

    @pytest.mark.parametrize("kind", NOT_RUN_AFTER_RETRIES)
    def test_costly_retries_end_with_the_budget(self, kind):
        async def run():
            async with open_bench(retry_share=0.0) as bench:
                bench.owner.play = bench.owner.refuse(kind)
                error = get_error(await bench.complete())
                assert error["kind"] in (kind, ErrorKind.RETRY_BUDGET_SPENT)
                assert error["ran"] == "no"

        asyncio.run(run())

    def test_full_queues_are_told_as_such_after_the_last(self):
        """An operator looks for dead endpoints while all are busy.

        Each endpoint of the pool refuses since its queue is full, until none
        is left to try; the answer must say why, and when to come back.
        """

        async def run():
            async with open_bench(retry_share=1.0) as bench:
                bench.instance.bus.publish_state(make_view("e3"))
                bench.owner.play = bench.owner.refuse(ErrorKind.QUEUE_FULL, 2500)
                error = get_error(await bench.complete())
                assert error["kind"] == ErrorKind.QUEUE_FULL
                assert error["retry_after_s"] == 2.5
                endpoints = {submit.endpoint for submit in bench.owner.submits}
                assert endpoints == {"e1", "e3"}

        asyncio.run(run())

    @pytest.mark.parametrize(("kind", "ran", "status"), ENDED_BY_OWNER)
    def test_a_failed_run_is_told_truthfully(self, kind, ran, status):
        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.end(kind, ran)
                response = await bench.complete()
                error = get_error(response)
                assert (response.code, error["ran"]) == (status, ran)

        asyncio.run(run())

    def test_a_key_that_cannot_be_claimed_refuses_before_any_owner(self):
        async def run():
            async with open_bench() as bench:
                for kind in (
                    ErrorKind.KEY_HOME_UNREACHABLE,
                    ErrorKind.KEY_IN_PROGRESS,
                    ErrorKind.KEY_USED,
                    ErrorKind.KEY_MISMATCH,
                ):
                    bench.keys.failure = Failure(kind)
                    response = await bench.complete(Idempotency_Key="k1")
                    assert get_error(response)["kind"] == kind
                assert bench.owner.submits == []

        asyncio.run(run())

    def test_a_key_is_settled_with_the_outcome(self):
        async def run():
            async with open_bench() as bench:
                await bench.complete(Idempotency_Key="k1")
                bench.owner.play = bench.owner.refuse(ErrorKind.TOO_LATE)
                await bench.complete(Idempotency_Key="k2")
                assert bench.keys.settled == [("tricks/k1", "yes"), ("tricks/k2", "no")]

        asyncio.run(run())

    def test_nothing_is_served_before_the_tree_is_known(self):
        async def run():
            async with open_bench() as bench:
                bench.instance.bus.publish_state(TreeInForce(None))
                bench.instance.bus._latest_by_type.pop(TreeInForce)
                error = get_error(await bench.complete())
                assert error["kind"] == ErrorKind.TREE_NOT_READY
                assert (await bench.fetch("/healthz", "GET")).code == 503

        asyncio.run(run())

    def test_a_pool_without_endpoints_refuses_at_once(self):
        async def run():
            async with open_bench() as bench:
                members = make_view().members_by_id
                bench.instance.bus.publish_state(MemberView(members))
                error = get_error(await bench.complete())
                assert error["kind"] == ErrorKind.NO_ENDPOINT
                assert (error["ran"], error["retry_after_s"]) == ("no", 1.0)
                assert bench.owner.submits == []

        asyncio.run(run())

    def test_limits_are_shared_by_the_instances(self):
        """Four instances must not let four times the limit through."""

        async def run():
            async with open_bench() as bench:
                bench.instance.bus.publish_state(make_view())
                assert bench.gateway.limits.instances == 2

        asyncio.run(run())

    def test_a_draining_instance_takes_no_more(self):
        async def run():
            async with open_bench() as bench:
                bench.instance.draining = True
                error = get_error(await bench.complete())
                assert error["kind"] == ErrorKind.DRAINING

        asyncio.run(run())

    @pytest.mark.parametrize("path", ["/services/charge/new", "/services/stock/x"])
    def test_a_shutdown_that_runs_out_of_time_is_told(self, path):
        """A caller's connection ends without a word while a charge may run.

        The instance shuts down, a request outlasts the time for that, and its
        connection is closed. The caller must hear that it may have run.
        """

        async def run():
            async with open_bench() as bench:
                bench.owner.play = bench.owner.answer_start_only
                short = structs.replace(
                    bench.instance.settings.instance, shutdown_s=0.1
                )
                bench.instance.settings = structs.replace(
                    bench.instance.settings, instance=short
                )
                task = asyncio.create_task(bench.fetch(path, body=b"{}"))
                await eventually(lambda: bench.owner.submits)
                await bench.gateway.stop()
                error = get_error(await task)
                assert error["kind"] == ErrorKind.OUTCOME_UNKNOWN
                assert error["ran"] == "unknown"

        asyncio.run(run())

    def test_a_body_that_is_too_large_is_named(self):
        async def run():
            async with open_bench() as bench:
                body = b" " * (MAX_BODY_BYTES + 1)
                response = await bench.fetch("/v1/completions", body=body)
                assert response.code == 413
                assert get_error(response)["kind"] == ErrorKind.BODY_TOO_LARGE

        asyncio.run(run())

    def test_a_body_far_too_large_is_not_read(self):
        async def run():
            async with open_bench() as bench:
                host, port = split_address(bench.gateway.server.address)
                reader, writer = await asyncio.open_connection(host, port)
                head = f"POST /v1/completions HTTP/1.1\r\nContent-Length: {10**9}"
                writer.write(head.encode() + b"\r\nHost: x\r\n\r\n")
                answer = await reader.read()
                assert answer.startswith(b"HTTP/1.1 400")
                writer.close()

        asyncio.run(run())
