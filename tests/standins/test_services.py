"""Tests of the plain service, configuration service and live list."""

import asyncio
from dataclasses import asdict

from standins.config_service import start_config_service
from standins.live_list import Entry, start_live_list
from standins.plain import start_plain
from tests.standins.common import Client, run, until


class TestPlainService:
    def test_counts_runs_but_not_rejections(self) -> None:
        async def work() -> None:
            _, server = await start_plain(delay_s=0)
            client = Client(server)
            headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
            await client.post("/control", refuse=1, fail=1, break_after=1)
            codes = []
            for _ in range(4):
                response = await client.call("POST", "/charge", "{}", headers=headers)
                codes.append(response[0])
            assert codes == [503, 599, 500, 200]
            journal = (await client.get("/journal"))[1]
            assert journal["counts_by_id"] == {"r1": 3}
            assert journal["counts_by_key"] == {"k1": 3}
            assert (await client.get("/report"))[1]["running"] == []
            await server.stop()

        run(work())


class TestConfigService:
    def test_reads_watches_and_counts_calls(self) -> None:
        async def work() -> None:
            service, server = await start_config_service()
            client = Client(server)
            assert (await client.get("/v1/values/tree/manifest"))[0] == 404
            url = f"{server.url}/v1/watch/tree/manifest"
            watch = asyncio.ensure_future(client.http.fetch(f"{url}?after=0&wait_s=9"))
            await until(lambda: service.calls == 2)
            change = service.publish(1, {"main": b"[shop.a]\n"})
            response = await watch
            assert response.headers["X-Change"] == str(change)
            assert b"revision = 1" in response.body
            late = f"/v1/watch/tree/manifest?after={change}&wait_s=0.01"
            assert (await client.get(late))[0] == 304
            assert service.calls_by_kind == {"read": 1, "watch": 2}
            await server.stop()

        run(work())

    def test_serves_a_stale_state_and_goes_down(self) -> None:
        async def work() -> None:
            service, server = await start_config_service()
            client = Client(server)
            for revision in (1, 2, 3):
                service.publish(revision, {"main": f"# {revision}".encode()})
            assert service.read("tree/1/main") is None
            await client.post("/control", stale_at=2)
            version = service.read("tree/manifest")
            assert version and b"revision = 1" in (version.content or b"")
            await client.post("/control", stale_at=None, down=True)
            assert (await client.get("/v1/values/tree/manifest"))[0] == 599
            await client.post("/control", down=False)
            response = await client.http.fetch(f"{server.url}/v1/values/tree/3/main")
            assert response.body == b"# 3"
            await server.stop()

        run(work())


class TestLiveList:
    def test_lags_and_marks_leaving_entries(self) -> None:
        async def work() -> None:
            _, server = await start_live_list()
            client = Client(server)
            row = asdict(Entry("e1", "endpoint", "127.0.0.1:1", "dc1", pool="p"))
            await client.post("/control", set=[row])
            assert (await client.get("/v1/live"))[1]["entries"] == [row]
            await client.post("/control", lag_s=60, leave=["e1"])
            assert (await client.get("/v1/live"))[1]["entries"] == []
            await client.post("/control", lag_s=0)
            assert (await client.get("/v1/live"))[1]["entries"][0]["leaving"]
            await server.stop()

        run(work())
