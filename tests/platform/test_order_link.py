"""Tests of the calls to endpoints that send answers once more."""

import asyncio
from types import SimpleNamespace

from fescuekeel_platform.dialect import PlatformDialect

from fescuekeel.components.placement.orders import OrderLink
from fescuekeel.helpers.dialect import OrderKind, OrderReply, WeightOrder
from fescuekeel.helpers.http_connection import connect
from fescuekeel.helpers.published import EndpointRecord, Weights
from standins.forwarding.copies import AnswerCopies
from standins.forwarding.worker_http import start_worker
from standins.forwarding.workers import Worker


class Relay:
    """Connect, and count the connections."""

    def __init__(self):
        self.connections = 0

    async def connect_directly(self, endpoint, address):
        self.connections += 1
        return await connect(address, 1.0)


class Fixture:
    """A link to a stand-in engine."""

    def __init__(self, **changes):
        self.worker = Worker("scripts", "m1", **changes)
        self.server = start_worker(self.worker)
        self.relay = Relay()
        loop = asyncio.get_running_loop()
        instance = SimpleNamespace(
            now=loop.time, metrics=SimpleNamespace(count=lambda name: None)
        )
        endpoints = SimpleNamespace(record_response=lambda endpoint, response: None)
        record = EndpointRecord(
            self.worker.id, "scripts", self.server.address, "a", 8, False
        )
        self.link = OrderLink(
            instance, PlatformDialect(), self.relay, endpoints, record
        )

    def order(self, adapter, after_orders):
        order = WeightOrder(
            OrderKind.LOAD,
            self.worker.id,
            Weights("m1", adapter),
            "i1",
            7,
            after_orders=after_orders,
        )
        return self.link.send_order(order, lambda: True)

    async def stop(self):
        self.link.close()
        await self.server.stop()


def run(work):
    asyncio.run(asyncio.wait_for(work(), 10.0))


class TestCopiedAnswers:
    # Guards against an order that counts as accepted since the answer to an
    # earlier one came once more.
    def test_are_not_taken_for_those_of_later_orders(self):
        async def work():
            fixture = Fixture(copies=AnswerCopies(share=1.0))
            replies = [
                await fixture.order("a1", 0),
                await fixture.order("a2", 0),
                await fixture.order("a3", 1),
            ]
            expected = [OrderReply.ACCEPTED, OrderReply.BUSY, OrderReply.ACCEPTED]
            assert replies == expected
            await fixture.stop()

        run(work)

    # Guards against reports that lag behind by one for as long as their
    # connection lives.
    def test_are_not_taken_for_later_reports(self):
        async def work():
            fixture = Fixture(copies=AnswerCopies(share=1.0))
            await fixture.link.fetch_report()
            await fixture.order("a1", 0)
            for _ in range(3):
                report = await fixture.link.fetch_report()
                assert report.orders_taken == 1
            await fixture.stop()

        run(work)


class TestCalls:
    # Guards against a report that a plain service runs as a request of nobody.
    def test_have_no_id_of_a_request(self):
        async def work():
            fixture = Fixture()
            await fixture.link.fetch_report()
            await fixture.order("a1", 0)
            assert fixture.worker.calls_with_ids == 0
            await fixture.stop()

        run(work)

    # Guards against a second answer to one call that is taken for the answer
    # to the next.
    def test_have_a_connection_each(self):
        async def work():
            fixture = Fixture()
            for _ in range(5):
                assert await fixture.link.fetch_report() is not None
            assert fixture.relay.connections == 5
            await fixture.stop()

        run(work)
