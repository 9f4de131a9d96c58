"""A body of empty lines without end, beside requests to a sound worker."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from pathlib import Path

from review.common2.http import Answer, ClientConnection, Request, call
from review.common2.nodes import Record, make_nodes, wait_ready
from review.common2.platform import (
    Store,
    Worker,
    make_configuration,
    make_engine,
    make_route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE = str(Path(__file__).resolve())
FOLDER = Path(__file__).resolve().parent
ZONE = "kigali-a"
# Three model workers, one of which is in trouble. The site asks for 12.8
# streams of this kind a second; this machine gets 8.
SOUND_ENGINES = 2
STREAMS = 64
STREAMS_PER_S = 8.0
STREAM_BUDGET_S = 8.0
# The route's timeout and the client's time budget of stock-check in the site.
TIMEOUT_S = 1.2
BUDGET_S = 2.5
SLACK_S = 0.5
CLIENTS = 12
CALM_S = 4.0
LENGTH_S = 26.0
BLOCK = b"\n" * 65536


class EngineWorker(Worker):
    """An engine; in trouble its streams are empty lines without end."""

    async def answer(
        self,
        request: Request,
        headers: tuple[tuple[str, str], ...],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write a whole stream, or an endless one."""
        if not TROUBLE:
            await super().answer(request, headers, writer)
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode())
        while True:
            writer.write(BLOCK)
            await writer.drain()
            await asyncio.sleep(0)


async def run_engine() -> None:
    """Run the engine worker in a process of its own; tell its entry."""
    worker = EngineWorker("conjurer-llm", ZONE, "m0", 64)
    await worker.start(None)
    print(worker.id, worker.address, worker.born, flush=True)
    await asyncio.Event().wait()


async def run_streams(address: str) -> None:
    """Ask for streams in a process of its own, and read what comes."""

    async def read_one(number: int) -> None:
        connection = ClientConnection()
        headers = [
            ("Host", "shop.example"),
            ("Fescuekeel-Request-Id", f"stream{number:010d}"),
            ("Fescuekeel-Model", "m0"),
            ("Fescuekeel-Token-Count", "491,69"),
            ("Fescuekeel-Prompt-Prefix", f"5c1e07a2:93,{number:08x}:398"),
            ("Fescuekeel-Deadline-Ms", str(int(STREAM_BUDGET_S * 1000))),
        ]
        await asyncio.sleep(number / STREAMS_PER_S)
        received, status = 0, b"no answer"
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(STREAM_BUDGET_S):
                await connection.open(address)
                connection.send("POST", "/show-plan/x", headers, b"x" * 1300)
                status = (await connection.reader.readline()).strip()
                while data := await connection.reader.read(2**18):
                    received += len(data)
        connection.close()
        print(f"stream {number}: {status.decode()}, {received} bytes", flush=True)

    await asyncio.gather(*(read_one(number) for number in range(STREAMS)))


async def run_client(
    record: Record, address: str, number: int, answers: list[tuple[float, float, int]]
) -> None:
    """Send requests on a kept connection; note how long each answer took."""
    connection, count, deadline = None, 0, LENGTH_S
    while record.now() < deadline:
        count += 1
        request_id = f"{number:04x}{count:012x}"
        headers = [
            ("Host", "shop.example"),
            ("Fescuekeel-Request-Id", request_id),
            ("Fescuekeel-Deadline-Ms", str(int(BUDGET_S * 1000))),
        ]
        answer = Answer()
        sent_at = record.now()
        try:
            if connection is None:
                connection = ClientConnection()
                await connection.open(address)
            sent_at = record.now()
            async with asyncio.timeout(BUDGET_S):
                connection.send("POST", "/stock-check/x", headers, b"stock")
                await connection.read(answer)
        except (TimeoutError, OSError):
            pass
        took_s = record.now() - sent_at
        status = answer.status if answer.whole else 0
        answers.append((sent_at, took_s, status))
        record.write(f"client {number} {request_id}: {status or 'none'} {took_s:.3f} s")
        if not status or answer.headers.get("connection") == "close":
            if connection is not None:
                connection.close()
            connection = None
        await asyncio.sleep(0.1)
    if connection is not None:
        connection.close()


async def run_probes(record: Record, address: str, misses: list[float]) -> None:
    """Ask once a second whether the machine is ready, as the platform does."""
    while True:
        headers = [("Host", address)]
        answer = await call(address, "GET", "/readyz", headers, b"", 1.0)
        if answer.status != 200:
            misses.append(record.now())
            record.write(f"/readyz: {answer.status or 'no answer'}")
        await asyncio.sleep(1.0)


async def start_child(*words: str) -> asyncio.subprocess.Process:
    """Start a part of this case as a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        CASE,
        *words,
        stdout=asyncio.subprocess.PIPE,
    )


async def play(folder: Path) -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER)
    store = Store()
    await store.start()
    engine = await start_child("engine")
    assert engine.stdout is not None
    name, address, born = (await engine.stdout.readline()).decode().split()
    entry = Worker("conjurer-llm", ZONE, "m0", 64, id=name, born=int(born))
    entry.address = address
    store.put(f"servers/{name}", entry.describe())
    for _ in range(SOUND_ENGINES):
        await Worker("conjurer-llm", ZONE, "m0", 64).start(store)
    plain = Worker("storefront-app", ZONE)
    await plain.start(store)
    stream = {
        "timeout_ms": STREAM_BUDGET_S * 1000,
        "target_latency_ms": 800,
        "priority": 0,
    }
    stock = {"timeout_ms": TIMEOUT_S * 1000, "target_latency_ms": 150}
    routes = [
        make_route("show-plan", "stream", "conjurer-llm", **stream),
        make_route("stock-check", "unsafe", "storefront-app", **stock),
    ]
    services = [
        {"name": "conjurer-llm", "engine": make_engine("m0")},
        {"name": "storefront-app", "max_conns": 110},
    ]
    store.put("op/config", make_configuration(1, routes, services))
    (node,) = make_nodes([ZONE], store.address, folder)
    children = [engine]
    try:
        await node.start()
        if not await wait_ready([node]):
            record.write("not ready")
            return 2
        await asyncio.sleep(3.5)
        record.began_at = record.loop.time()
        answers: list[tuple[float, float, int]] = []
        clients = [
            asyncio.ensure_future(run_client(record, node.frontend, number, answers))
            for number in range(CLIENTS)
        ]
        misses: list[float] = []
        probes = asyncio.ensure_future(run_probes(record, node.ready_address, misses))
        await asyncio.sleep(CALM_S)
        began_at = record.now()
        record.write(f"streams are asked for, {STREAMS_PER_S:.0f} a second")
        streams = await start_child("streams", node.frontend)
        children.append(streams)
        output, _ = await streams.communicate()
        ended_at = record.now()
        for line in output.decode().splitlines():
            record.write(line)
        await asyncio.gather(*clients)
        probes.cancel()
        record.write(f"{len(misses)} questions for /readyz without a 200")
        for run in plain.runs:
            record.write(
                f"ran {run.request_id} at {plain.id}, "
                f"{run.began_at - record.began_at:.3f} s"
            )
        assert node.process is not None
        code = node.process.returncode
        record.write(f"the process: {'runs' if code is None else f'ended with {code}'}")
        return judge(record, answers, began_at, ended_at, code)
    finally:
        await node.end()
        for child in children:
            if child.returncode is None:
                child.send_signal(signal.SIGKILL)
                await child.wait()


def judge(
    record: Record,
    answers: list[tuple[float, float, int]],
    began_at: float,
    ended_at: float,
    code: int | None,
) -> int:
    """Judge the rule CONFIG as it is written."""
    calm = [each for each in answers if each[0] < began_at - BUDGET_S]
    during = [each for each in answers if began_at <= each[0] < ended_at]
    late = [each for each in during if each[1] > TIMEOUT_S or not each[2]]
    silent = [each for each in late if each[1] > TIMEOUT_S + SLACK_S or not each[2]]
    never = [each for each in during if not each[2]]
    record.write(
        f"before: {len(calm)} sent, {sum(each[2] == 200 for each in calm)} served; "
        f"while the streams lasted ({ended_at - began_at:.1f} s): {len(during)} sent, "
        f"{sum(each[2] == 200 for each in during)} served, {len(late)} unanswered at "
        f"the route's timeout, {len(silent)} of them half a second later, "
        f"{len(never)} never answered"
    )
    if not calm or any(each[2] != 200 for each in calm):
        return 2
    return 1 if 2 * len(silent) > len(late) or code is not None else 0


def main() -> int:
    """Run the part that the first argument names, or the whole case."""
    if sys.argv[1:2] == ["engine"]:
        asyncio.run(run_engine())
    elif sys.argv[1:2] == ["streams"]:
        asyncio.run(run_streams(sys.argv[2]))
    else:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
