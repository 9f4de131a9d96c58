"""End-to-end tests of entries that another writer left in the store."""

import asyncio

import orjson
import pytest

from standins.forwarding.entries import ODD_ENTRIES
from standins.forwarding.platform import MODEL, PLAIN
from standins.forwarding.workers import Worker
from tests.common import eventually
from tests.platform.test_path import run, start_world


def list_known(instance, service):
    forward = instance.components_by_domain["forward"]
    return {
        record.name
        for record in forward._selector.records_by_service.get(service, {}).values()
    }


class TestOddEntries:
    # Guards against instances that no longer follow the store, or requests
    # without an answer, after one odd entry.
    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    def test_do_no_harm(self, kind):
        async def work():
            async with start_world(2) as world:
                template = world.platform.list_workers(PLAIN)[0]
                entry = template.describe("127.0.0.1:1", "a")
                if MODEL in kind:
                    engine = Worker("scripts", MODEL)
                    entry = engine.describe("127.0.0.1:1", "a")
                value = ODD_ENTRIES[kind](orjson.dumps(entry))
                world.platform.store.put_bytes("servers/odd", value)
                await asyncio.sleep(0.2)
                new = Worker(PLAIN)
                world.platform.add(new, "b")
                world.platform.publish_state(template, "draining")
                for instance in world.instances:
                    await eventually(lambda: new.id in list_known(instance, PLAIN))  # noqa: B023
                    assert template.id not in list_known(instance, PLAIN)
                    assert "odd" not in list_known(instance, PLAIN)
                for number in range(12):
                    instance = number % 2
                    answer, _ = await world.send_request("/lookup/x", instance)
                    assert answer.code == 200
                    answer, _ = await world.send_stream_request("/explain/1")
                    assert answer.code == 200
                for instance in world.instances:
                    assert not instance.metrics.counters_by_name["task_error"]
                    assert not instance.bus.handler_errors

        run(work)
