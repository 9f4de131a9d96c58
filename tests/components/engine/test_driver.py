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
class EngineHarness:
    """One engine, one driver, and the chunks that the driver delivered."""

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
    scenario: Callable[[EngineHarness], Awaitable[None]],
    settings: EngineSettings | None = None,
) -> None:
    async def main() -> None:
        engine, server = await start_engine(settings or EngineSettings(step_ms=2))
        engine.loaded[str(CUPS)] = None
        driver = EngineDriver(Instance(make_settings()), server.address)
        driver.silence_s = 0.1
        try:
            async with asyncio.timeout(20):
                await scenario(EngineHarness(engine, server, driver))
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
    def test_stream_is_complete_and_in_order(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            outcome = await harness.driver.dispatch(make_call(), harness.on_chunk)
            assert outcome.failure is None
            assert harness.texts() == expected_texts()

        run(scenario)

    def test_unstreamed_response_is_relayed(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            outcome = await harness.driver.dispatch(
                make_call(stream=False), harness.on_chunk
            )
            assert outcome.failure is None
            ((position, data, _),) = harness.chunks
            assert position == 0
            text = json.loads(data)["choices"][0]["text"]
            assert text == "".join(expected_texts())

        run(scenario)

    def test_explicit_rejections_mean_not_run(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            harness.engine.settings.fenced = True
            first = await harness.driver.dispatch(make_call(fence=9), harness.on_chunk)
            assert first.failure is None
            stale = await harness.driver.dispatch(
                make_call("r2", fence=8), harness.on_chunk
            )
            assert (stale.ran, stale.stale_fence) == (Ran.NO, 9)
            harness.engine.loaded.clear()
            missing = await harness.driver.dispatch(make_call("r3"), harness.on_chunk)
            assert (missing.ran, missing.loaded) == (Ran.NO, False)
            harness.engine.loaded[str(CUPS)] = None
            harness.engine.settings.max_running = 0
            harness.engine.settings.max_waiting = 0
            full = await harness.driver.dispatch(make_call("r4"), harness.on_chunk)
            assert (full.ran, full.loaded) == (Ran.NO, True)
            assert [run.request_id for run in harness.engine.runs] == ["r1"]

        run(scenario)


class TestConnections:
    def test_failed_connect_means_not_run(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            await harness.server.stop()
            outcome = await harness.driver.dispatch(make_call(), harness.on_chunk)
            assert outcome.ran is Ran.NO

        run(scenario)

    def test_connection_closed_before_response_is_unknown(self) -> None:
        """Guards against "not run" for a request that may have run."""

        async def scenario(harness: EngineHarness) -> None:
            harness.engine.connection_faults.down = True
            for stream in (True, False):
                call = make_call(stream=stream)
                outcome = await harness.driver.dispatch(call, harness.on_chunk)
                assert outcome.ran is Ran.UNKNOWN

        run(scenario)

    def test_silent_stream_is_resumed(self) -> None:
        """Guards against a connection that hangs while the engine continues.

        Every token must arrive once, without waiting for the deadline.
        """

        async def scenario(harness: EngineHarness) -> None:
            harness.engine.settings.silent_streams = 2
            harness.engine.settings.silent_after = 3
            outcome = await harness.driver.dispatch(make_call(), harness.on_chunk)
            assert outcome.failure is None
            assert harness.texts() == expected_texts()
            assert len(harness.engine.runs) == 1
            counters = harness.driver.instance.metrics.counters_by_name
            assert counters["engine.silent_stream"] == 2
            assert counters["engine.reconnected"] == 2
            # Guards against counting a connection as a request's attempt.
            assert [name for name in counters if name.startswith("retry.")] == []

        run(scenario)

    def test_unstreamed_response_on_a_hung_connection_is_recovered(self) -> None:
        """Guards against running a request again whose tokens still exist."""

        async def scenario(harness: EngineHarness) -> None:
            harness.engine.connection_faults.mute = 1
            outcome = await harness.driver.dispatch(
                make_call(stream=False), harness.on_chunk
            )
            assert outcome.failure is None
            text = json.loads(harness.chunks[0][1])["choices"][0]["text"]
            assert text == "".join(expected_texts())
            assert len(harness.engine.runs) == 1

        run(scenario)

    def test_queueing_inside_the_engine_is_not_a_failure(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            harness.engine.settings.max_running = 1
            long_call = make_call("r1", max_tokens=500)
            ahead = asyncio.create_task(
                harness.driver.dispatch(long_call, lambda position, data, tokens: None)
            )
            await eventually(lambda: harness.engine.running)
            outcome = await harness.driver.dispatch(make_call("r2"), harness.on_chunk)
            assert outcome.failure is None
            assert harness.texts() == expected_texts()
            assert (await ahead).failure is None

        run(scenario)

    def test_engine_restart_cuts_a_running_stream(self) -> None:
        """Guards against reporting a partial response as complete.

        After the restart the engine does not know the request.
        """

        async def scenario(harness: EngineHarness) -> None:
            call = make_call(max_tokens=5000)
            task = asyncio.create_task(harness.driver.dispatch(call, harness.on_chunk))
            await eventually(lambda: harness.chunks)
            harness.engine.restart()
            outcome = await task
            assert outcome.failure is not None
            assert outcome.failure.kind is ErrorKind.ANSWER_CUT

        run(scenario)


class TestCancel:
    def test_cancelled_request_stops_on_the_engine(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            call = make_call(max_tokens=5000)
            task = asyncio.create_task(harness.driver.dispatch(call, harness.on_chunk))
            await eventually(lambda: harness.chunks)
            await harness.driver.cancel("r1")
            outcome = await task
            assert outcome.failure is not None
            assert not harness.engine.running
            assert not harness.driver.client.exchanges
            assert not harness.driver.cancelled

        run(scenario)


class TestOrders:
    def test_load_evict_and_report(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            other = AdapterRef("coins", "1")
            loaded = await harness.driver.load(other, 5, 5.0, always)
            assert loaded.ok
            report = await harness.driver.report(1.0)
            assert report is not None
            assert report.loaded == {CUPS, other}
            evicted = await harness.driver.evict(other, 5, 5.0, always)
            assert evicted.ok
            assert list(harness.engine.loaded) == [str(CUPS)]

        run(scenario, EngineSettings(step_ms=2, load_s=0.01, report_lag_s=0))

    def test_guard_is_checked_once_the_connection_is_open(self) -> None:
        """Guards against an owner that is paused while it connects.

        Its lease may have expired, so it must not send the order.
        """

        async def scenario(harness: EngineHarness) -> None:
            evicted = await harness.driver.evict(CUPS, 5, 5.0, lambda: False)
            assert not evicted.ok
            call = replace(make_call(), guard=lambda: False)
            outcome = await harness.driver.dispatch(call, harness.on_chunk)
            assert outcome.ran is Ran.NO
            assert not harness.engine.runs
            assert not harness.engine.orders

        run(scenario)

    def test_failed_load_and_stale_fencing_token(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            other = AdapterRef("coins", "1")
            harness.engine.settings.fail_loads = 1
            failed = await harness.driver.load(other, 5, 5.0, always)
            assert (failed.ok, failed.stale_fence) == (False, 0)
            stale = await harness.driver.load(other, 4, 5.0, always)
            assert (stale.ok, stale.stale_fence) == (False, 5)

        run(scenario, EngineSettings(step_ms=2, load_s=0.01, fenced=True))

    def test_unreachable_engine_has_no_report(self) -> None:
        async def scenario(harness: EngineHarness) -> None:
            harness.engine.connection_faults.down = True
            assert await harness.driver.report(0.5) is None

        run(scenario)
