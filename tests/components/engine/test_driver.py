"""Tests of the engine driver against the stand-in engine."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from fescuekeel.components.engine.driver import EngineDriver
from fescuekeel.components.engine.events import END_MARK
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Ran
from fescuekeel.helpers.driver import Call
from fescuekeel.messages import AdapterRef
from standins.engine import Engine
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.server import Server
from standins.tokens import token_text
from tests.common import eventually, make_settings

CUPS = AdapterRef("cups", "3")
TOKENS = 12
PROMPT = "x"


@dataclass
class Bed:
    """One engine, one driver, and what the driver delivered."""

    engine: Engine
    server: Server
    driver: EngineDriver
    chunks: list[tuple[int, bytes, int]] = field(default_factory=list)

    def on_chunk(self, position: int, data: bytes, tokens: int) -> None:
        self.chunks.append((position, data, tokens))

    def texts(self) -> list[str]:
        assert self.chunks[-1][1:] == (END_MARK, 0)
        assert sum(tokens for _, _, tokens in self.chunks) == self.chunks[-1][0]
        events = b"".join(data for _, data, _ in self.chunks).split(b"\n\n")[:-2]
        fields = [json.loads(event[len("data: ") :]) for event in events]
        assert [item["position"] for item in fields] == list(range(len(fields)))
        return [item["choices"][0]["text"] for item in fields]


def run(
    story: Callable[[Bed], Awaitable[None]], settings: EngineSettings | None = None
) -> None:
    async def main() -> None:
        engine, server = await start_engine(settings or EngineSettings(step_ms=2))
        engine.loaded[str(CUPS)] = None
        driver = EngineDriver(Instance(make_settings()), server.address)
        driver.silence_s = 0.1
        try:
            async with asyncio.timeout(20):
                await story(Bed(engine, server, driver))
        finally:
            driver.close()
            engine.stop()
            await server.stop()

    asyncio.run(main())


def always() -> bool:
    return True


def make_call(
    request_id: str = "r1",
    stream: bool = True,
    fence: int = 0,
    max_tokens: int = TOKENS,
) -> Call:
    body = json.dumps({"prompt": PROMPT}).encode()
    return Call(
        request_id, CUPS, 0, 10.0, stream, "", body, max_tokens=max_tokens, fence=fence
    )


def expected_texts(count: int = TOKENS) -> list[str]:
    return [token_text(str(CUPS), PROMPT, position) for position in range(count)]


class TestDispatch:
    def test_stream_is_whole_and_in_order(self) -> None:
        async def story(bed: Bed) -> None:
            outcome = await bed.driver.dispatch(make_call(), bed.on_chunk)
            assert outcome.failure is None
            assert bed.texts() == expected_texts()

        run(story)

    def test_whole_answer_is_passed_on(self) -> None:
        async def story(bed: Bed) -> None:
            outcome = await bed.driver.dispatch(make_call(stream=False), bed.on_chunk)
            assert outcome.failure is None
            ((position, data, _),) = bed.chunks
            assert position == 0
            text = json.loads(data)["choices"][0]["text"]
            assert text == "".join(expected_texts())

        run(story)

    def test_explicit_refusals_mean_not_run(self) -> None:
        async def story(bed: Bed) -> None:
            bed.engine.settings.fenced = True
            first = await bed.driver.dispatch(make_call(fence=9), bed.on_chunk)
            assert first.failure is None
            stale = await bed.driver.dispatch(make_call("r2", fence=8), bed.on_chunk)
            assert (stale.ran, stale.stale_fence) == (Ran.NO, 9)
            bed.engine.loaded.clear()
            missing = await bed.driver.dispatch(make_call("r3"), bed.on_chunk)
            assert (missing.ran, missing.loaded) == (Ran.NO, False)
            bed.engine.loaded[str(CUPS)] = None
            bed.engine.settings.max_running = 0
            bed.engine.settings.max_waiting = 0
            full = await bed.driver.dispatch(make_call("r4"), bed.on_chunk)
            assert (full.ran, full.loaded) == (Ran.NO, True)
            assert [run.request_id for run in bed.engine.runs] == ["r1"]

        run(story)


class TestConnections:
    def test_no_connection_means_not_run(self) -> None:
        async def story(bed: Bed) -> None:
            await bed.server.stop()
            outcome = await bed.driver.dispatch(make_call(), bed.on_chunk)
            assert outcome.ran is Ran.NO

        run(story)

    def test_closed_before_answer_is_unknown(self) -> None:
        """A charge is sent, the connection closes before any answer.

        The engine may have taken the request in, so "not run" would be a
        guess: the caller must hear that the outcome is unknown.
        """

        async def story(bed: Bed) -> None:
            bed.engine.connection_faults.down = True
            for stream in (True, False):
                call = make_call(stream=stream)
                outcome = await bed.driver.dispatch(call, bed.on_chunk)
                assert outcome.ran is Ran.UNKNOWN

        run(story)

    def test_silent_stream_is_resumed(self) -> None:
        """Half-way through a script, its connection goes silent for good.

        The engine goes on and new connections work. The performer must get
        every token once, without waiting for the deadline.
        """

        async def story(bed: Bed) -> None:
            bed.engine.settings.silent_streams = 2
            bed.engine.settings.silent_after = 3
            outcome = await bed.driver.dispatch(make_call(), bed.on_chunk)
            assert outcome.failure is None
            assert bed.texts() == expected_texts()
            assert len(bed.engine.runs) == 1
            counters = bed.driver.instance.metrics.counters_by_name
            assert counters["engine.silent_stream"] == 2

        run(story)

    def test_whole_answer_lost_with_its_connection_is_recovered(self) -> None:
        """A script is written to its end, but its connection went silent.

        Running it again would cost its time twice; the engine still keeps the
        tokens, so that the answer is put together from these.
        """

        async def story(bed: Bed) -> None:
            bed.engine.connection_faults.mute = 1
            outcome = await bed.driver.dispatch(make_call(stream=False), bed.on_chunk)
            assert outcome.failure is None
            text = json.loads(bed.chunks[0][1])["choices"][0]["text"]
            assert text == "".join(expected_texts())
            assert len(bed.engine.runs) == 1

        run(story)

    def test_long_wait_inside_the_engine_is_no_failure(self) -> None:
        async def story(bed: Bed) -> None:
            bed.engine.settings.max_running = 1
            long_call = make_call("r1", max_tokens=500)
            ahead = asyncio.create_task(
                bed.driver.dispatch(long_call, lambda position, data, tokens: None)
            )
            await eventually(lambda: bed.engine.running)
            outcome = await bed.driver.dispatch(make_call("r2"), bed.on_chunk)
            assert outcome.failure is None
            assert bed.texts() == expected_texts()
            assert (await ahead).failure is None

        run(story)

    def test_cold_restart_cuts_what_ran(self) -> None:
        """An engine restarts in mid-answer and forgets everything.

        The driver resumes, hears that the request is unknown, and must not
        pass the half answer off as a whole one.
        """

        async def story(bed: Bed) -> None:
            call = make_call(max_tokens=5000)
            task = asyncio.create_task(bed.driver.dispatch(call, bed.on_chunk))
            await eventually(lambda: bed.chunks)
            bed.engine.restart()
            outcome = await task
            assert outcome.failure is not None
            assert outcome.failure.kind is ErrorKind.ANSWER_CUT

        run(story)


class TestCancel:
    def test_cancelled_stream_stops_the_engine(self) -> None:
        async def story(bed: Bed) -> None:
            call = make_call(max_tokens=5000)
            task = asyncio.create_task(bed.driver.dispatch(call, bed.on_chunk))
            await eventually(lambda: bed.chunks)
            await bed.driver.cancel("r1")
            outcome = await task
            assert outcome.failure is not None
            assert not bed.engine.running
            assert not bed.driver.client.exchanges
            assert not bed.driver.cancelled

        run(story)


class TestOrders:
    def test_load_evict_and_report(self) -> None:
        async def story(bed: Bed) -> None:
            other = AdapterRef("coins", "1")
            loaded = await bed.driver.load(other, 5, 5.0, always)
            assert loaded.ok
            report = await bed.driver.report(1.0)
            assert report is not None
            assert report.loaded == {CUPS, other}
            evicted = await bed.driver.evict(other, 5, 5.0, always)
            assert evicted.ok
            assert list(bed.engine.loaded) == [str(CUPS)]

        run(story, EngineSettings(step_ms=2, load_s=0.01, report_lag_s=0))

    def test_guard_is_asked_when_the_connection_stands(self) -> None:
        """An owner is paused while it connects, and wakes up too late.

        By then another owner serves from the adapter. The order must not be
        written on the connection that was asked for in time.
        """

        async def story(bed: Bed) -> None:
            evicted = await bed.driver.evict(CUPS, 5, 5.0, lambda: False)
            assert not evicted.ok
            call = replace(make_call(), guard=lambda: False)
            outcome = await bed.driver.dispatch(call, bed.on_chunk)
            assert outcome.ran is Ran.NO
            assert not bed.engine.runs
            assert not bed.engine.orders

        run(story)

    def test_failed_load_and_stale_fence(self) -> None:
        async def story(bed: Bed) -> None:
            other = AdapterRef("coins", "1")
            bed.engine.settings.fail_loads = 1
            failed = await bed.driver.load(other, 5, 5.0, always)
            assert (failed.ok, failed.stale_fence) == (False, 0)
            stale = await bed.driver.load(other, 4, 5.0, always)
            assert (stale.ok, stale.stale_fence) == (False, 5)

        run(story, EngineSettings(step_ms=2, load_s=0.01, fenced=True))

    def test_unreachable_engine_has_no_report(self) -> None:
        async def story(bed: Bed) -> None:
            bed.engine.connection_faults.down = True
            assert await bed.driver.report(0.5) is None

        run(story)
