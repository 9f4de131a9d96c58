"""Tests of the stand-in engine."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from standins.engine import Engine
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.tokens import expected_text
from standins.weight_store import start_weight_store
from tests.standins.common import Client, run, until

Scenario = Callable[[Engine, Client], Awaitable[None]]


def with_engine(scenario: Scenario, **settings: Any) -> None:
    async def work() -> None:
        engine, server = await start_engine(EngineSettings(step_ms=1, **settings))
        engine.control({"loaded": ["a@1"]})
        try:
            await scenario(engine, Client(server))
        finally:
            engine.stop()
            await server.stop()

    run(work())


def order(request_id: str, **more: Any) -> dict[str, Any]:
    return {
        "request_id": request_id,
        "model": "a@1",
        "prompt": request_id,
        "max_tokens": 5,
        **more,
    }


class TestCompletions:
    def test_streamed_and_unstreamed_responses_agree(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            status, whole = await client.post("/v1/completions", **order("r"))
            events = await client.stream("/v1/completions", **order("r", stream=True))
            assert status == 200
            assert whole["choices"][0]["text"] == expected_text("a@1", "r", 5)
            text = "".join(event["choices"][0]["text"] for event in events)
            assert text == expected_text("a@1", "r", 5)
            assert [event["position"] for event in events] == list(range(5))
            assert [item["tokens"] for item in engine.journal()["runs"]] == [5, 5]

        with_engine(scenario)

    def test_rejects_unloaded_adapters_and_when_full(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            response = await client.post("/v1/completions", **order("r", model="b@1"))
            assert response == (404, {"error": "not_loaded"})
            first = asyncio.ensure_future(
                client.post("/v1/completions", **order("r1", max_tokens=400))
            )
            await until(lambda: engine.running)
            response = await client.post("/v1/completions", **order("r2"))
            assert response == (503, {"error": "full"})
            assert await client.post("/v1/cancel", request_id="r1") == (
                200,
                {"cancelled": True},
            )
            assert (await first)[0] == 500

        with_engine(scenario, max_running=1, max_waiting=0)

    def test_lowest_priority_number_runs_first(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            engine.submit("long", "a@1", "p", 50, 0)
            engine.submit("low", "a@1", "p", 1, 5)
            engine.submit("high", "a@1", "p", 1, 0)
            await until(lambda: not engine.running and not engine.waiting)
            started = {item.request_id: item.started_at for item in engine.runs}
            assert started["long"] < started["high"] < started["low"]

        with_engine(scenario, max_running=1)

    def test_resumes_by_position(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            await client.post("/v1/completions", **order("r"))
            events = await client.stream("/v1/resume", request_id="r", position=3)
            assert [event["position"] for event in events] == [3, 4]
            engine.restart()
            response = await client.post("/v1/resume", request_id="r", position=0)
            assert response == (404, {"error": "unknown_request"})

        with_engine(scenario)


class TestOrders:
    def test_rejects_a_stale_fencing_token(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            assert (await client.post("/v1/completions", **order("r", fence=7)))[0]
            response = await client.post(
                "/v1/unload_lora_adapter", model="a@1", fence=6
            )
            assert response == (409, {"error": "stale_fence", "fence": 7})
            assert "a@1" in engine.loaded
            assert engine.stale_refusals == 1
            assert (await client.get("/v1/report"))[1]["fence"] == 7

        with_engine(scenario)

    def test_unfenced_engine_evicts_and_counts_the_violation(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            running = asyncio.ensure_future(
                client.post("/v1/completions", **order("r", max_tokens=400, fence=7))
            )
            await until(lambda: engine.running)
            response = await client.post(
                "/v1/unload_lora_adapter", model="a@1", fence=6
            )
            assert response[0] == 200
            assert await running == (500, {"error": "evicted"})
            assert len(engine.evictions_while_serving) == 1

        with_engine(scenario, fenced=False)

    def test_loads_share_the_store_and_the_slots(self) -> None:
        async def work() -> None:
            store, store_server = await start_weight_store(20.0)
            engine, server = await start_engine(
                EngineSettings(slots=2), store_server.url
            )
            client = Client(server)
            models = ("a@1", "a@1", "b@1", "c@1")
            responses = await asyncio.gather(
                *(client.post("/v1/load_lora_adapter", model=model) for model in models)
            )
            # The four requests may be served in any order: the first two
            # models get the slots, and requests for one model share a load.
            statuses_by_model: dict[str, set[int]] = {}
            for model, (status, _) in zip(models, responses, strict=True):
                statuses_by_model.setdefault(model, set()).add(status)
            loaded = [
                model for model, found in statuses_by_model.items() if found == {200}
            ]
            rejected = [
                model for model, found in statuses_by_model.items() if found == {507}
            ]
            assert (len(loaded), len(rejected)) == (2, 1)
            assert store.counts_by_model == dict.fromkeys(loaded, 1)
            assert store.max_concurrent_fetches == 2
            # Two concurrent loads at 20 loads/s take 0.1 s each.
            assert all(body["took_ms"] >= 90 for code, body in responses if code == 200)
            engine.stop()
            await server.stop()
            await store_server.stop()

        run(work())

    def test_a_failed_load_frees_its_slot(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            await client.post("/control", fail_loads=1)
            for status in (502, 200):
                response = await client.post("/v1/load_lora_adapter", model="b@1")
                assert response[0] == status

        with_engine(scenario, slots=2)


class TestFaults:
    def test_cold_restart_loses_all_state(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            boot_id = (await client.get("/v1/report"))[1]["boot_id"]
            running = asyncio.ensure_future(
                client.post("/v1/completions", **order("r", max_tokens=400))
            )
            await until(lambda: engine.running)
            await client.post("/control", restart=True)
            assert (await running)[0] == 599
            report = (await client.get("/v1/report"))[1]
            assert report["boot_id"] != boot_id
            assert report["loaded"] == report["running"] == []
            assert engine.journal()["runs"][0]["outcome"] == "restarted"

        with_engine(scenario)

    def test_stream_turns_unresponsive_and_a_new_connection_works(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            await client.post("/control", silent_streams=1, silent_after=2)
            chunks: list[bytes] = []
            body = '{"request_id": "r", "model": "a@1", "max_tokens": 5, "stream": 1}'
            status, _ = await client.call(
                "POST",
                "/v1/completions",
                body,
                request_timeout=0.3,
                streaming_callback=chunks.append,
            )
            assert status == 599
            assert b"".join(chunks).count(b"data: ") == 2
            events = await client.stream("/v1/resume", request_id="r", position=2)
            assert len(events) == 3

        with_engine(scenario)

    def test_open_connections_turn_unresponsive_or_close(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            for commands, works_after in (
                ({"silence_open": True}, 200),
                ({"down": True}, 599),
            ):
                body = '{"request_id": "r", "model": "a@1", "max_tokens": 300}'
                first = asyncio.ensure_future(
                    client.call("POST", "/v1/completions", body, request_timeout=1)
                )
                await until(lambda: engine.running)
                await client.post("/control", **commands)
                assert (await client.get("/v1/report"))[0] == works_after
                assert (await first)[0] == 599

        with_engine(scenario)

    def test_drops_single_requests_or_responses(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            body = '{"request_id": "r", "model": "a@1", "max_tokens": 1}'
            for fault, runs in (("swallow", 0), ("mute", 1)):
                await client.post("/control", **{fault: 1})
                path = "/v1/completions"
                response = await client.call("POST", path, body, request_timeout=0.2)
                assert response[0] == 599
                assert len(engine.runs) == runs
                assert (await client.get("/v1/report"))[0] == 200

        with_engine(scenario)

    def test_report_is_cached_for_its_lag(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            await client.get("/v1/report")
            engine.loaded["b@1"] = None
            assert (await client.get("/v1/report"))[1]["loaded"] == ["a@1"]
            engine.settings.report_lag_s = 0.0
            assert (await client.get("/v1/report"))[1]["loaded"] == ["a@1", "b@1"]

        with_engine(scenario, report_lag_s=60.0)

    def test_cache_events_have_gaps(self) -> None:
        async def scenario(engine: Engine, client: Client) -> None:
            for prompt in ("p0", "p1", "p2"):
                engine.submit(prompt, "a@1", prompt, 1, 0)
            await until(lambda: len(engine.cache.events) == 5)
            shown = (await client.get("/v1/cache_events?since=1"))[1]
            kinds = [(item["number"], item["kind"]) for item in shown["events"]]
            assert kinds == [(1, "stored"), (3, "stored"), (4, "removed")]
            assert shown["next"] == 5

        with_engine(scenario, cached_prefixes=1, gap_every=3)
