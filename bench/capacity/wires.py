"""Cost of connections and HTTP exchanges, measured over loopback."""

import asyncio
import time
from dataclasses import dataclass

from bench.capacity.const import PACKET_BYTES
from fescuekeel.components.peers import Peers
from fescuekeel.components.peers.dialing import Dialer
from fescuekeel.const import PROTOCOL_VERSION
from fescuekeel.core import Instance
from fescuekeel.helpers.endpoint_http import EndpointClient
from fescuekeel.helpers.settings import parse_settings
from fescuekeel.messages import Hello
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.fleet import LOOPBACK, SETTINGS

__all__ = ["WireCost", "measure_wires"]

DIALS = 200
# TCP packets without payload of one HTTP exchange.
PACKETS = 9
LOADED = 8
KEY = "a-key-of-the-bench"
HASH = "0" * 64
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class WireCost:
    """Processor seconds to open a connection on both sides, and bytes."""

    opening_s: float
    report_bytes: int
    exchange_bytes: int


async def measure_connection_opening() -> float:
    """Return the processor seconds to open and close a peer connection."""
    address = f"{LOOPBACK}:0"
    text = SETTINGS.format(
        id="one",
        data_centre="here",
        shutdown_s=1,
        callers=address,
        operators=address,
        peers=address,
        advertised="",
        token_sha256=HASH,
        key=KEY,
        config_url="http://127.0.0.1:1",
        live_url="http://127.0.0.1:1",
    )
    instance = Instance(parse_settings(text).unwrap())
    peers = Peers(instance)
    await peers.start()
    dialer = Dialer((KEY.encode(),), None, time.monotonic)
    hello = Hello(PROTOCOL_VERSION, "two", "here", 1, address)
    started_at = time.process_time()
    for _ in range(DIALS):
        connection, _ = (await dialer.dial(peers.address, hello)).unwrap()
        await connection.close_gracefully()
    seconds = (time.process_time() - started_at) / DIALS
    await peers.stop()
    await instance.stop()
    return seconds


async def measure_exchange() -> tuple[int, int]:
    """Return the bytes of a report and of its protocol overhead."""
    engine, server = await start_engine(EngineSettings())
    engine.control({"loaded": [f"adapter-of-shop-{n:06}@1" for n in range(LOADED)]})
    client = EndpointClient(server.address)
    report = await client.fetch("GET", "/v1/report", timeout_s=5.0)
    client.close()
    head = sum(len(f"{name}: {value}\r\n") for name, value in report.headers.get_all())
    request = await measure_request_bytes(EndpointClient)
    await server.stop()
    engine.stop()
    return len(report.body), head + request + PACKETS * PACKET_BYTES


async def measure_request_bytes(make: type[EndpointClient]) -> int:
    """Return the size of the request that the client sends."""
    length: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()
        length.set_result(len(data))

    server = await asyncio.start_server(accept, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    client = make(f"{LOOPBACK}:{port}")
    await client.fetch("GET", "/v1/report", timeout_s=5.0)
    client.close()
    server.close()
    return await length


async def measure_wires() -> WireCost:
    """Measure connections and exchanges."""
    report, exchange = await measure_exchange()
    return WireCost(await measure_connection_opening(), report, exchange)
