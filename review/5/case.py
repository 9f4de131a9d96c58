"""All processes are killed while workers of two software versions serve."""

import asyncio
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from common.http import read_head
from common.system import System
from common.workers import EngineWorker

from standins.forwarding.store import start_store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("kigali-a", "kigali-b", "kigali-c")
HOST = "shop.example"
STREAMS = 30
# New streams, which nobody takes up, to compare with.
OTHERS = 30
BUDGET_S = 25.0
EVENTS = 57
EVENT_S = 0.1
CONTACT_S = 3.0
SERVICE = "conjurer-llm"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "method-explain",
            "hostname": HOST,
            "prefix": "/explain/",
            "route_kind": "stream",
            "timeout_ms": 25000,
            "target_latency_ms": 1000,
            "gap_target_ms": 250,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 370,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 142722,
                "weights_mb": 67000,
                "adapter_slots": 20,
                "models": [
                    {
                        "name": EngineWorker.MODEL,
                        "weights_mb": 65100,
                        "load_s": 3.8,
                        "adapters": 3000,
                        "adapter_mb": 12,
                    }
                ],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


@dataclass(slots=True)
class Stream:
    """One client's stream over all its tries."""

    number: int
    first_id: str
    last_event: int = 0
    broke_at: float = 0.0
    tries: list[tuple[float, int, int]] = field(default_factory=list)
    whole: bool = False
    versions: set[str] = field(default_factory=set)


class Script:
    """The platform, the system and what was seen."""

    def __init__(self) -> None:
        self.store, self.store_server = start_store()
        self.system = System(self.store_server.address, ZONES)
        self.workers = [
            EngineWorker(f"i-{number}", SERVICE, ZONES[number % 3], number)
            for number in range(4)
        ]
        for worker in self.workers[2:]:
            worker.software = "2"
        self.streams: list[Stream] = []
        self.others: list[Stream] = []
        self.notes: list[str] = []
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f"{time.monotonic() - self.began:.3f} s: {text}")

    async def try_once(self, stream: Stream, request_id: str, left_s: float) -> int:
        """Begin a stream or take it up again; return the status, 0 if none."""
        machine = random.choice(self.system.machines)
        headers = {
            "Host": HOST,
            "Fescuekeel-Request-Id": request_id,
            "Fescuekeel-Deadline-Ms": str(int(left_s * 1000)),
            "Fescuekeel-Model": EngineWorker.MODEL,
            "Fescuekeel-Token-Count": "300,171",
            "Fescuekeel-Prompt-Prefix": f"5c1e07a2:200,{stream.first_id}:100",
        }
        if stream.last_event:
            headers["Last-Event-Id"] = str(stream.last_event)
            headers["Resumes"] = stream.first_id
        at = time.monotonic()
        before = stream.last_event
        status = 0
        try:
            async with asyncio.timeout(left_s):
                host, port = machine.callers.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = ["POST /explain/1 HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += ["Content-Length: 0", "", ""]
                writer.write("\r\n".join(lines).encode())
                line, _ = await read_head(reader)
                status = int(line.split(" ")[1])
                if status == 200:
                    await self.read_events(stream, reader)
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            stream.broke_at = time.monotonic()
        stream.tries.append((at - self.began, status, stream.last_event - before))
        return status

    async def read_events(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        """Read the events of a chunked answer as they come."""
        text = ""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            text += (await reader.readexactly(size + 2))[:-2].decode()
            while "\n\n" in text:
                event, _, text = text.partition("\n\n")
                id_line, data_line = event.split("\n")
                stream.last_event = int(id_line.removeprefix("id: "))
                stream.versions.add(data_line.rpartition(" ")[2])
            if size == 0:
                stream.whole = stream.last_event == EVENTS
                return

    async def use(self, stream: Stream, begins_at: float) -> None:
        """Have a stream, and take it up again a few times if it breaks."""
        await asyncio.sleep(max(0.0, begins_at - time.monotonic()))
        until = time.monotonic() + BUDGET_S
        await self.try_once(stream, stream.first_id, BUDGET_S)
        # The first try once all machines are in touch again, two more later.
        for number, pause_s in enumerate((CONTACT_S + 3.0, 1.0, 2.0)):
            left_s = until - time.monotonic() - pause_s
            if stream.whole or not stream.last_event or left_s <= 0:
                return
            await asyncio.sleep(pause_s)
            request_id = f"{stream.first_id[:-1]}{number + 1}"
            await self.try_once(stream, request_id, left_s)

    async def kill_all(self, at: float) -> None:
        """Kill all processes at once, and start them again."""
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        if not TROUBLE:
            return
        self.note("SIGKILL to all")
        for machine in self.system.machines:
            machine.send(signal.SIGKILL)
        for machine in self.system.machines:
            assert machine.process is not None
            await machine.process.wait()
        await asyncio.sleep(0.5)
        await self.system.start()
        self.note("all are ready again")

    async def play(self) -> int:
        """Play the case; return the exit code."""
        try:
            for worker in self.workers:
                worker.EVENTS, worker.EVENT_S = EVENTS, EVENT_S
                await worker.start()
                self.store.put(f"servers/{worker.id}", worker.describe())
            self.store.put("op/config", CONFIGURATION)
            await self.system.start()
            await asyncio.sleep(6.0)
            self.began = time.monotonic()
            kill_at = self.began + 3.0
            async with asyncio.TaskGroup() as group:
                group.create_task(self.kill_all(kill_at))
                for number in range(STREAMS + OTHERS):
                    stream = Stream(number, f"{number:015x}0")
                    is_other = number >= STREAMS
                    begins_at = kill_at + 7.0 if is_other else self.began
                    (self.others if is_other else self.streams).append(stream)
                    at = begins_at + random.uniform(0.0, 1.5)
                    group.create_task(self.use(stream, at))
        finally:
            await self.system.stop(os.environ.get("KEEP_LOGS", ""))
            for worker in self.workers:
                await worker.stop()
            await self.store_server.stop()
        return self.judge()

    def judge(self) -> int:
        """Write the record, and return 1 if a rule was broken."""
        taken_up = [item for item in self.streams if len(item.tries) > 1]
        went_on = [item for item in taken_up if any(n for _, _, n in item.tries[1:])]
        begun = [item for item in self.others if item.tries and item.last_event]
        mixed = [item for item in self.streams if len(item.versions) > 1]
        lines = [
            f"trouble: {int(TROUBLE)}",
            f"software of the workers: {[worker.software for worker in self.workers]}",
            *self.notes,
            f"streams: {len(self.streams)}, taken up again: {len(taken_up)},"
            f" went on: {len(went_on)}, whole: {sum(s.whole for s in self.streams)}",
            f"new streams after the kill: {len(self.others)}, begun: {len(begun)}",
            f"streams of two software versions: {len(mixed)}",
            "tries of the streams (at s, status, events):",
        ]
        lines += [
            f"  {item.first_id}: "
            + ", ".join(f"({at:.2f}, {status}, {n})" for at, status, n in item.tries)
            for item in self.streams
        ]
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")
        if len(begun) < OTHERS // 2:
            return 2
        if len(taken_up) < 12:
            return 2 if TROUBLE else int(len(mixed) > 2)
        share = len(went_on) / len(taken_up)
        is_broken = share < 0.5 * len(begun) / len(self.others)
        return 1 if is_broken or len(mixed) > 2 else 0


async def play() -> int:
    """Play the case; return the exit code."""
    return await Script().play()


def main() -> int:
    """Return 2 if the case can't run."""
    try:
        return asyncio.run(play())
    except (OSError, RuntimeError, ExceptionGroup) as error:
        (FOLDER / "record.txt").write_text(f"can't run: {error!r}\n", "utf-8")
        return 2


sys.exit(main())
