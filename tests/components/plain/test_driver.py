"""Tests of the driver for plain HTTP services, against a stand-in service."""

import asyncio
from collections.abc import Awaitable, Callable

from fescuekeel.components.plain.driver import PlainDriver
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Ran
from fescuekeel.helpers.driver import Call
from fescuekeel.helpers.linger import reset_on_close
from fescuekeel.messages import AdapterRef
from standins.plain import PlainService, start_plain
from tests.common import eventually, make_settings

Scenario = Callable[[PlainDriver, PlainService, list[bytes]], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        service, server = await start_plain()
        driver = PlainDriver(Instance(make_settings()), server.address)
        try:
            async with asyncio.timeout(20):
                await scenario(driver, service, [])
        finally:
            driver.close()
            await server.stop()

    asyncio.run(main())


def make_call(path: str = "/orders", body: bytes = b"{}", method: str = "POST") -> Call:
    return Call(
        "r1",
        AdapterRef(),
        0,
        5.0,
        False,
        path,
        body,
        method=method,
        idempotency_key="k1",
    )


class TestDispatch:
    def test_method_and_response_are_forwarded(self) -> None:
        async def scenario(
            driver: PlainDriver, service: PlainService, received: list[bytes]
        ) -> None:
            call = make_call("/stock?x=1", b"", "GET")
            outcome = await driver.dispatch(
                call, lambda at, data, tokens: received.append(data)
            )
            assert outcome.failure is None
            assert outcome.content_type.startswith("application/json")
            assert len(received) == 1
            (seen,) = service.calls
            assert (seen.method, seen.path) == ("GET", "/stock?x=1")
            assert (seen.request_id, seen.key) == ("r1", "k1")

        run(scenario)

    def test_an_error_response_of_the_service_is_forwarded(self) -> None:
        async def scenario(
            driver: PlainDriver, service: PlainService, received: list[bytes]
        ) -> None:
            service.control({"fail": 1})
            outcome = await driver.dispatch(
                make_call(), lambda at, data, tokens: received.append(data)
            )
            assert (outcome.status, outcome.ran) == (500, Ran.YES)

        run(scenario)

    def test_explicit_refusal_means_not_run(self) -> None:
        async def scenario(
            driver: PlainDriver, service: PlainService, received: list[bytes]
        ) -> None:
            service.control({"refuse": 1})
            outcome = await driver.dispatch(
                make_call(), lambda at, data, tokens: received.append(data)
            )
            assert outcome.ran is Ran.NO
            assert outcome.failure.kind is ErrorKind.ENDPOINT_REFUSED
            assert not received
            assert not service.calls

        run(scenario)

    def test_a_broken_connection_is_unknown_and_not_retried(self) -> None:
        """Guards against running a request twice after a lost response.

        The driver must neither retry the request nor report it as not run,
        after which the caller would retry it.
        """

        async def scenario(
            driver: PlainDriver, service: PlainService, received: list[bytes]
        ) -> None:
            service.control({"break_after": 1})
            outcome = await driver.dispatch(
                make_call(), lambda at, data, tokens: received.append(data)
            )
            assert outcome.ran is Ran.UNKNOWN
            assert len(service.calls) == 1

        run(scenario)

    # Guards against half of a body that is answered as a whole one.
    def test_a_body_that_is_reset_is_unknown(self) -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of it")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()

        async def main() -> None:
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            driver = PlainDriver(Instance(make_settings()), f"{host}:{port}")
            received: list[bytes] = []
            outcome = await driver.dispatch(
                make_call(), lambda at, data, tokens: received.append(data)
            )
            assert outcome.ran is Ran.UNKNOWN
            assert not received
            driver.close()
            server.close()

        asyncio.run(main())

    def test_report_lists_running_requests(self) -> None:
        async def scenario(
            driver: PlainDriver, service: PlainService, received: list[bytes]
        ) -> None:
            service.control({"delay_s": 0.2})
            task = asyncio.create_task(
                driver.dispatch(
                    make_call(), lambda at, data, tokens: received.append(data)
                )
            )
            await eventually(lambda: service.running)
            report = await driver.report(1.0)
            assert report is not None
            assert [item.request_id for item in report.running] == ["r1"]
            assert (await task).failure is None

        run(scenario)
