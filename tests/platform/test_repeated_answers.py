"""End-to-end tests of endpoints that send answers once more, late."""

import asyncio
import time
from collections import Counter

import pytest
from tornado.simple_httpclient import HTTPStreamClosedError

from fescuekeel.helpers.logging import add_destination, remove_destination
from standins.forwarding.copies import AnswerCopies, CopyMoment
from standins.forwarding.platform import ENGINES, PLAIN
from standins.forwarding.room import WorkerRoom
from tests.platform.test_path import run, start_world

CLIENTS = 24
LOAD_S = 3.0
MAX_LOAD_S = 20.0
PROMISES_NOT_RUN = (408, 421, 429, 503)
REJECTIONS = frozenset({503, 421})
FORMS = {
    "rejection": {"statuses": REJECTIONS},
    "rejection_without_id": {"statuses": REJECTIONS, "with_id": False},
    "rejection_later": {"statuses": REJECTIONS, "moment": CopyMoment.LATER},
    "rejection_after_next": {"statuses": REJECTIONS, "moment": CopyMoment.AFTER_NEXT},
    "rejection_twice": {"statuses": REJECTIONS, "number": 2},
    "success": {"statuses": frozenset({200})},
    "all_without_id": {"with_id": False},
}


def make_faulty(world, service, **form):
    for worker in world.platform.list_workers(service):
        worker.copies = AnswerCopies(share=0.2, **form)


def count_copies(world):
    workers = world.platform.list_workers(PLAIN)
    return sum(sum(each.copies.counts.values()) for each in workers)


async def load(world, path, copies):
    """Send requests one after the other from each client; return statuses.

    It goes on for ``LOAD_S``, and until so many answers were copied.
    """
    statuses_by_id = {}
    started_at = time.monotonic()

    def goes_on():
        took_s = time.monotonic() - started_at
        return took_s < LOAD_S or (count_copies(world) < copies and took_s < MAX_LOAD_S)

    async def use(number):
        while goes_on():
            instance = number % len(world.instances)
            try:
                answer, id = await world.send_request(path, instance, "POST")
            except HTTPStreamClosedError:
                # A copy came within an answer, which was cut.
                continue
            statuses_by_id[id] = answer.code

    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    return statuses_by_id


def limit_room(world):
    """Let plain workers reject a part of the load, some of it with 421."""
    for worker in world.platform.list_workers(PLAIN):
        worker.room = WorkerRoom(slots=3, max_waiting=3)
        worker.run_s = 0.01
        worker.misdirecting_share = 0.05


class TestUnsafeRequests:
    # Guards against a second answer to an earlier send that is taken for the
    # answer to a later one: the request runs twice, or after its refusal.
    @pytest.mark.parametrize("form", FORMS)
    def test_run_once_and_never_after_a_refusal(self, form):
        async def work():
            async with start_world(2) as world:
                limit_room(world)
                make_faulty(world, PLAIN, **FORMS[form])
                statuses = await load(world, "/charge/1", 20)
                await asyncio.sleep(0.5)
                runs = sum(
                    (each.runs for each in world.platform.workers_by_id.values()),
                    Counter(),
                )
                refused = [id for id, at in statuses.items() if at in PROMISES_NOT_RUN]
                assert count_copies(world) >= 20
                assert [id for id in runs if runs[id] > 1] == []
                assert [id for id in refused if runs[id]] == []

        run(work)

    # Guards against a rejection that names no request, and is believed for one
    # that the endpoint runs.
    @pytest.mark.parametrize(("route", "status"), [("charge", 502), ("lookup", 200)])
    def test_believe_no_rejection_without_an_id(self, route, status):
        async def work():
            async with start_world(1) as world:
                workers = world.platform.list_workers(PLAIN)
                for worker in workers:
                    worker.repeats_rejected_ids = False
                workers[0].shed = workers[1].shed = 1
                answer, _ = await world.send_request(f"/{route}/1", 0, "POST")
                assert answer.code == status

        run(work)

    # Guards against an innocent request that ends as unknown since a copy of
    # another one's answer came before its own.
    def test_get_their_own_answer_after_that_of_another(self):
        async def work():
            async with start_world(2) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.run_s = 0.01
                make_faulty(world, PLAIN, statuses=frozenset({200}))
                statuses = await load(world, "/charge/1", 50)
                assert count_copies(world) >= 50
                assert Counter(statuses.values()).keys() == {200}

        run(work)


class TestReports:
    # Guards against a report that is sent once more on a request's connection
    # and reaches the caller as its answer.
    def test_never_reach_a_caller(self):
        async def work():
            async with start_world(2) as world:
                make_faulty(world, ENGINES)
                for worker in world.platform.list_workers(ENGINES):
                    worker.copies.share = 0.5
                for instance in world.instances:
                    forward = instance.components_by_domain["forward"]
                    forward.budget.slack = 1000
                for _ in range(60):
                    answer, _ = await world.send_stream_request("/explain/1")
                    assert answer.code == 200
                    assert answer.body.startswith(b"id: 1\n")
                    assert answer.headers["Fescuekeel-Server-Stamp"]

        run(work)


class TestIncarnationChecks:
    # Guards against a check whose answer has no id, on a connection that has
    # carried something: nothing tells what that answer belongs to.
    def test_have_a_new_connection(self):
        async def work():
            async with start_world(1) as world:
                answer, _ = await world.send_stream_request("/script/1")
                assert answer.code == 200
                events = []
                add_destination(events.append)
                try:
                    for _ in range(4):
                        answer, _ = await world.send_stream_request("/script/1")
                        assert answer.code == 200
                        answer, _ = await world.send_stream_request("/explain/1")
                        assert answer.code == 200
                finally:
                    remove_destination(events.append)
                kinds = {event["message_type"] for event in events}
                assert "attempt_ended" in kinds
                assert "answer_dropped" not in kinds

        run(work)


class TestOrders:
    # Guards against an endpoint that is ordered beyond its places, since the
    # answer to an earlier order or report is taken for that to a later one.
    def test_endpoints_are_never_ordered_beyond_their_places(self):
        async def work():
            async with start_world(2) as world:
                make_faulty(world, ENGINES)
                for worker in world.platform.list_workers(ENGINES):
                    worker.copies.share = 0.3
                until = time.monotonic() + 6.0

                async def use(number):
                    count = 0
                    while time.monotonic() < until:
                        count += 1
                        adapter = f"a{(number * 7 + count) % 12}"
                        await world.send_stream_request(
                            "/explain/1", adapter, number % 2
                        )

                await asyncio.gather(*(use(number) for number in range(8)))
                workers = world.platform.list_workers(ENGINES)
                assert not any(worker.overrun for worker in workers)
                assert not any(worker.calls_with_ids for worker in workers)
                assert sum(sum(each.served_by_weights.values()) for each in workers)

        run(work)
