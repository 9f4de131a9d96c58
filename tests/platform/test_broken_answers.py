"""End-to-end tests of answers that break off, with each framing and caller."""

import asyncio
from collections import deque
from itertools import product

import pytest

from fescuekeel.components.forward.answer import ForwardedAnswer
from standins.forwarding.answers import (
    AnswerBreak,
    AnswerFraming,
    BreakPoint,
    make_event,
)
from standins.forwarding.caller import make_headers
from standins.forwarding.platform import ENGINES, MODEL, PLAIN
from standins.forwarding.raw_caller import call_raw
from standins.proxy import AnswerCut, Cut
from tests.platform.test_path import run, start_world

VERSIONS = ("1.1", "1.0")
LINE_ENDS = (b"\n", b"\r\n", b"\r")
PATHS = ("direct", "relayed")


def grant_retries(world):
    """Let the retry budget end no stream."""
    for instance in world.instances:
        instance.components_by_domain["forward"].budget.slack = 1000


async def start_path(world, path):
    """Let instance 0 reach endpoints on its own links or through a peer."""
    grant_retries(world)
    if path == "relayed":
        world.links[0].cut(Cut.HANG)
        await world.send_request("/lookup/first", 0)


async def call(world, target, version, body=b"body"):
    headers = make_headers(f"{next(world.request_numbers):016x}", 5.0)
    if not target.startswith(("/lookup", "/charge")):
        headers.append(("Fescuekeel-Model", MODEL))
        headers.append(("Fescuekeel-Token-Count", "500,20"))
    forward = world.instances[0].components_by_domain["forward"]
    address = forward.server.address
    return await call_raw(address, "POST", target, headers, body, version)


def set_answers(world, framing, line_end, *breaks):
    """Let the next answer, of whichever endpoint, be as described."""
    shared = deque(breaks)
    for worker in world.platform.workers_by_id.values():
        worker.framing, worker.line_end, worker.breaks = framing, line_end, shared


def make_stream(line_end):
    return b"".join(make_event(number, line_end) for number in range(1, 7))


def list_broken_streams():
    """Return framings, line ends and breaks; each break can be seen."""
    breaks = [AnswerBreak(point, reset) for point in BreakPoint for reset in (0, 1)]
    orderly = AnswerBreak(BreakPoint.BETWEEN_EVENTS, by_reset=False)
    return [
        (framing, line_end, broken)
        for framing in AnswerFraming
        for line_end in LINE_ENDS
        for broken in breaks
        if framing is not AnswerFraming.CLOSE or broken != orderly
    ]


@pytest.mark.parametrize("path", PATHS)
class TestBrokenStreams:
    # Guards against a stream that broke off within an event, or by a reset,
    # and reaches its caller as a complete answer.
    @pytest.mark.parametrize("version", VERSIONS)
    @pytest.mark.parametrize("route", ["script", "explain"])
    def test_never_look_complete(self, route, version, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for case in list_broken_streams():
                    set_answers(world, *case)
                    answer = await call(world, f"/{route}/1", version)
                    whole = answer.body == make_stream(case[1])
                    looks_complete = answer.status == 200 and answer.complete
                    assert whole or not looks_complete, (case, answer)

        run(work)

    # Guards against a resumable stream that ends at its first break.
    def test_go_on_where_the_route_may_be_resumed(self, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for case in list_broken_streams():
                    set_answers(world, *case)
                    answer = await call(world, "/explain/1", "1.1")
                    assert answer.complete, (case, answer)
                    assert answer.body == make_stream(case[1])

        run(work)


class TestBreakBeforeTheFirstEvent:
    # Guards against a cut connection where the caller could get an error,
    # or be served by another endpoint.
    def test_is_an_error_or_a_retry(self):
        async def work():
            async with start_world(2) as world:
                grant_retries(world)
                for framing, by_reset in product(AnswerFraming, (True, False)):
                    for point in (BreakPoint.WITHIN_ID, BreakPoint.WITHIN_EVENT):
                        broken = AnswerBreak(point, by_reset, after_events=0)
                        set_answers(world, framing, b"\n", broken)
                        answer = await call(world, "/explain/1", "1.1")
                        assert answer.complete
                        assert answer.body == make_stream(b"\n")
                    broken = AnswerBreak(by_reset=True, after_events=0)
                    set_answers(world, framing, b"\n", broken)
                    answer = await call(world, "/script/1", "1.1")
                    assert (answer.status, answer.complete) == (502, True)

        run(work)


class TestSilenceWithinAnAnswer:
    # Guards against an answer that is cut since its endpoint was silent within
    # it, although nothing else could go on with it.
    def test_plain_answer_is_waited_for(self):
        async def work():
            async with start_world(2) as world:
                for worker in world.platform.list_workers(PLAIN):
                    worker.run_s = 0.2
                request = asyncio.ensure_future(call(world, "/lookup/1", "1.1"))
                await asyncio.sleep(0.1)
                for worker in world.platform.list_workers(PLAIN):
                    worker.pause(2.3)
                answer = await request
                assert answer.complete
                assert answer.body == b"POST /lookup/1 body"

        run(work)


class TestFaultOfTheProgram:
    # Guards against a caller that waits for its deadline after an unexpected
    # error, or takes what it has for a whole answer.
    @pytest.mark.parametrize("version", VERSIONS)
    def test_breaks_the_answer_at_once(self, version, monkeypatch):
        def fail(answer):
            raise RuntimeError("fault of the program")

        async def work():
            async with start_world(1) as world:
                monkeypatch.setattr(ForwardedAnswer, "check_end", fail)
                async with asyncio.timeout(2.0):
                    answer = await call(world, "/script/1", version)
                assert answer.status == 200
                assert not answer.complete

        run(work)


class TestResumedStreamWithALength:
    # Guards against a resumed stream that is cut since the endpoint that goes
    # on sends other bytes than the first one has announced.
    def test_arrives_whole_from_endpoints_with_other_line_ends(self):
        async def work():
            async with start_world(2) as world:
                grant_retries(world)
                for round in range(6):
                    broken = AnswerBreak(by_reset=True)
                    set_answers(world, AnswerFraming.LENGTH, b"\n", broken)
                    world.platform.list_workers(ENGINES)[round % 2].line_end = b"\r\n"
                    answer = await call(world, "/explain/1", "1.1")
                    assert answer.complete
                    assert answer.body.count(b"data: piece") == 6

        run(work)


@pytest.mark.parametrize("path", PATHS)
class TestWholeAnswers:
    # Guards against a whole stream that is cut or runs again since its lines
    # do not end with LF.
    def test_streams_arrive_once_with_any_line_end(self, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for route, version, framing, line_end in product(
                    ("script", "explain"), VERSIONS, AnswerFraming, LINE_ENDS
                ):
                    set_answers(world, framing, line_end)
                    before = count_all_runs(world)
                    answer = await call(world, f"/{route}/1", version)
                    case = (route, version, framing, line_end, answer)
                    assert answer.complete, case
                    assert answer.body == make_stream(line_end)
                    assert count_all_runs(world) == before + 1

        run(work)

    # Guards against an answer without length or chunks that is taken for a
    # broken one.
    def test_plain_answers_arrive(self, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for route, version, framing in product(
                    ("lookup", "charge"), VERSIONS, AnswerFraming
                ):
                    set_answers(world, framing, b"\n")
                    answer = await call(world, f"/{route}/1", version)
                    assert answer.complete, (route, version, framing, answer)
                    assert answer.body == f"POST /{route}/1 body".encode()

        run(work)


def count_all_runs(world):
    return sum(
        sum(worker.runs.values()) for worker in world.platform.workers_by_id.values()
    )


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("version", VERSIONS)
class TestBrokenPlainAnswers:
    # Guards against an answer that was reset in its midst and reaches its
    # caller as a complete one.
    def test_never_look_complete(self, version, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for route, framing, body in product(
                    ("lookup", "charge"), AnswerFraming, (b"body", b"b" * 200_000)
                ):
                    set_answers(world, framing, b"\n", AnswerBreak(by_reset=True))
                    answer = await call(world, f"/{route}/1", version, body)
                    whole = answer.body == f"POST /{route}/1 ".encode() + body
                    looks_complete = answer.status == 200 and answer.complete
                    assert whole or not looks_complete, (route, framing, answer)

        run(work)


class TestAnswersWithoutAStamp:
    # Guards against a success that reaches its caller though nothing shows
    # that an endpoint has made it.
    @pytest.mark.parametrize(
        ("route", "statuses"),
        [("charge", {502}), ("lookup", {200}), ("explain", {200})],
    )
    def test_successes_are_not_passed_on(self, route, statuses):
        async def work():
            async with start_world(2) as world:
                grant_retries(world)
                for service in (PLAIN, ENGINES):
                    first, *others = world.platform.list_workers(service)
                    for worker in others if route == "charge" else ():
                        worker.signs = False
                    first.signs = False
                answers = [await call(world, f"/{route}/1", "1.1") for _ in range(8)]
                assert {answer.status for answer in answers} == statuses

        run(work)


# Within the status line, between headers, before and within the last line end.
CUT_AT = (0, 1, 5, 9, 13, 17, 30, 60, 90, 110, 130, 150, 170, 190, 210, 230, 250)


def list_head_cuts():
    return [
        AnswerCut(number, by_reset, after_s)
        for number in CUT_AT
        for by_reset in (False, True)
        for after_s in (0.0, 0.02)
    ]


def cut_next_heads(world, path, *cuts):
    """Let the next answers stop, on the links that instance 0 uses."""
    number = 1 if path == "relayed" else 0
    world.links[number].cut_answers(deque(cuts))


@pytest.mark.parametrize("path", PATHS)
class TestHeadsThatStop:
    # Guards against an answer whose head stops, and that reaches its caller as
    # a whole one with an empty or a short body.
    @pytest.mark.parametrize("route", ["lookup", "charge", "script", "explain"])
    def test_never_look_complete(self, route, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                set_answers(world, None, b"\n")
                expected = f"POST /{route}/1 body".encode()
                if route in ("script", "explain"):
                    expected = make_stream(b"\n")
                for cut in list_head_cuts():
                    cut_next_heads(world, path, cut)
                    answer = await call(world, f"/{route}/1", "1.1")
                    cut_next_heads(world, path)
                    looks_complete = answer.status == 200 and answer.complete
                    assert answer.body == expected or not looks_complete, (cut, answer)

        run(work)

    # Guards against a stream whose second attempt stops in its head, and that
    # ends as whole after the events of the first.
    def test_second_attempts_do_not_end_streams(self, path):
        async def work():
            async with start_world(2, linked=True) as world:
                await start_path(world, path)
                for framing in AnswerFraming:
                    for cut in list_head_cuts()[::3]:
                        if framing is AnswerFraming.CLOSE and not cut.by_reset:
                            # Within the first attempt nobody could see it.
                            continue
                        broken = AnswerBreak(BreakPoint.WITHIN_EVENT)
                        set_answers(world, framing, b"\n", broken)
                        request = asyncio.ensure_future(
                            call(world, "/explain/1", "1.1")
                        )
                        await asyncio.sleep(0.012)
                        cut_next_heads(world, path, cut)
                        answer = await request
                        cut_next_heads(world, path)
                        whole = answer.body == make_stream(b"\n")
                        assert whole or not answer.complete, (framing, cut, answer)

        run(work)
