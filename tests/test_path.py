"""End-to-end tests: stand-ins and several instances in one process."""

import asyncio
import hashlib
import json
from contextlib import asynccontextmanager

from msgspec import structs
from tornado.httpclient import AsyncHTTPClient

from fescuekeel.components.tree.model import Pool, PoolKind, TreeInForce
from fescuekeel.core import Instance
from fescuekeel.helpers.endpoint_ranking import rank_endpoints
from fescuekeel.messages import AdapterRef, MemberView
from standins.platform import Platform
from standins.tokens import expected_text
from tests.common import eventually, make_settings

TOKEN = "magic"
TREE = f"""
[shop tricks]
token_sha256 = {hashlib.sha256(TOKEN.encode()).hexdigest()}
answer_s = 10

[pool script]
kind = engine
slots = 4

[pool store]
kind = plain

[service tricks/patter]
pool = script

[roster tricks/patter]
names =
    cups 3 2
    rings 1.10

[service tricks/vow]
pool = script
repeatable = no

[roster tricks/vow]
names =
    cups 3
    rings 1.10

[service tricks/charge]
pool = store
repeatable = no
"""
INSTANCES = 4


class World:
    """A stand-in platform with two instances in each of two data centres."""

    def __init__(self, platform, engines=2):
        self.platform = platform
        self.engines = engines
        self.instances = []

    async def start(self):
        for number in range(INSTANCES):
            data_centre = self.platform.data_centres[number % 2]
            settings = make_settings(f"i{number}", data_centre)
            urls = {
                "config_url": self.platform.config_server.url,
                "live_url": self.platform.live_server.url,
            }
            changed = structs.replace(settings.platform, **urls)
            settings = structs.replace(settings, platform=changed)
            instance = Instance(settings)
            self.instances.append(instance)
            await instance.start()
            address = instance.components_by_domain["peers"].address
            self.platform.add_instance(instance.id, address, data_centre)
        for instance in self.instances:
            await eventually(lambda instance=instance: self.is_ready(instance))

    def is_ready(self, instance):
        view = instance.bus.latest(MemberView)
        return (
            instance.bus.latest(TreeInForce) is not None
            and view is not None
            and len(view.members_by_id) == INSTANCES
            and len(view.endpoints_by_id) == self.engines + 2
        )

    def count(self, name):
        counters = (each.metrics.counters_by_name for each in self.instances)
        return sum(each[name] for each in counters)

    def find_situation(self, endpoint, adapter):
        """Return the owner's view of an adapter at an endpoint, if any."""
        owners = (each.components_by_domain["owner"] for each in self.instances)
        found = (each.owners_by_endpoint.get(endpoint) for each in owners)
        situations = (
            each.arrivals.describe_candidate(adapter)
            for each in found
            if each is not None
        )
        return next((each for each in situations if each is not None), None)

    async def post(self, instance, path, body, **headers):
        address = instance.components_by_domain["gateway"].server.address
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await AsyncHTTPClient().fetch(
            f"http://{address}{path}",
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {TOKEN}", **headers},
            raise_error=False,
        )


@asynccontextmanager
async def open_world(engines=2):
    """Start a platform with instances; stop them on exit."""
    platform = await Platform.start(("dc1", "dc2"), loads_per_s=50.0)
    await platform.add_pool(Pool("script", PoolKind.ENGINE, slots=4), engines)
    await platform.add_pool(Pool("store", PoolKind.PLAIN), 2)
    platform.publish(1, {"main": TREE.encode()})
    world = World(platform, engines)
    try:
        await world.start()
        yield world
    finally:
        await asyncio.gather(*(each.stop() for each in world.instances))
        await platform.stop()


class TestEndToEnd:
    def test_every_instance_answers_with_the_right_adapter(self):
        async def run():
            async with open_world() as world:
                for instance in world.instances:
                    for model, adapter_version in (
                        ("patter/cups", "cups@3"),
                        ("patter/cups@2", "cups@2"),
                        ("patter/rings@1.10", "rings@1.10"),
                    ):
                        body = {"model": model, "prompt": "hi", "max_tokens": 5}
                        answer = await world.post(instance, "/v1/completions", body)
                        text = json.loads(answer.body)["choices"][0]["text"]
                        assert text == expected_text(adapter_version, "hi", 5)

        asyncio.run(run())

    def test_a_stream_is_complete_and_in_order(self):
        async def run():
            async with open_world() as world:
                body = {"model": "patter/cups", "prompt": "hi", "max_tokens": 9}
                body["stream"] = True
                for instance in world.instances:
                    answer = await world.post(instance, "/v1/completions", body)
                    *events, end = answer.body.decode().strip().split("\n\n")
                    assert end == "data: [DONE]"
                    chunks = [json.loads(event[6:]) for event in events]
                    text = "".join(each["choices"][0]["text"] for each in chunks)
                    assert text == expected_text("cups@3", "hi", 9)

        asyncio.run(run())

    def test_a_redirected_request_runs_once(self):
        """The home's owner redirects to the endpoint that has the adapter."""

        async def run():
            async with open_world() as world:
                engines = world.platform.engines_by_id
                instance = world.instances[0]
                view = instance.bus.latest(MemberView)
                adapter = AdapterRef("rings", "1.10")
                home, other = rank_endpoints("script", adapter, view.endpoints_by_id)
                await eventually(lambda: world.find_situation(home, adapter))
                await eventually(lambda: world.find_situation(other, adapter))
                engines[other].control({"loaded": [str(adapter)]})
                await eventually(lambda: world.find_situation(other, adapter).held)
                for model in ("vow/rings", "patter/rings"):
                    for instance in world.instances:
                        body = {"model": model, "prompt": "hi", "max_tokens": 5}
                        answer = await world.post(instance, "/v1/completions", body)
                        text = json.loads(answer.body)["choices"][0]["text"]
                        assert text == expected_text(str(adapter), "hi", 5)
                    assert world.count("retry.moved") >= INSTANCES
                runs = [run for each in engines.values() for run in each.runs]
                assert len(runs) == len({run.request_id for run in runs}) == 8
                assert len(engines[other].runs) == 8

        asyncio.run(run())

    def test_an_idempotency_key_is_honoured_by_all_instances(self):
        """A retry that reaches another instance must not run again."""

        async def run():
            async with open_world() as world:
                answers = [
                    await world.post(
                        instance, "/services/charge/new", {}, Idempotency_Key="k"
                    )
                    for instance in world.instances
                ]
                assert [answer.code for answer in answers] == [200, 409, 409, 409]
                runs = [
                    len(each.journal()["runs"])
                    for each in world.platform.plains_by_id.values()
                ]
                assert sum(runs) == 1

        asyncio.run(run())
