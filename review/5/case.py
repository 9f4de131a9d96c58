"""All processes are killed, after each was stopped and started in turn."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from common.http import Client
from common.system import Bounds, System
from common.workers import EngineWorker

from standins.forwarding.store import start_store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("pest-1", "pest-2", "pest-3")
HOST = "shop.example"
BUDGET_S = 8.0
# The store's counter as of the start: what some thousand workers reach within
# a quarter of an hour, at a write each 1.2 s.
FIRST_REVISION = 1_000_000
LEASE_MS = 3000
SERVICE = "merce-models"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "method-explain",
            "hostname": HOST,
            "prefix": "/explain/",
            "route_kind": "stream",
            "timeout_ms": 8000,
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


async def use(address: str, number: int, name: str, answers: dict[str, int]) -> None:
    """Ask for an adapter that no worker holds yet."""
    client = Client(address)
    request_id = f"{name}{number:06x}"
    headers = {
        "Host": HOST,
        "Fescuekeel-Request-Id": request_id,
        "Fescuekeel-Deadline-Ms": str(int(BUDGET_S * 1000)),
        "Fescuekeel-Model": f"{EngineWorker.MODEL}/a{number}",
        "Fescuekeel-Token-Count": "300,36",
        "Fescuekeel-Prompt-Prefix": f"5c1e07a2:200,{request_id}:100",
    }
    got = await client.ask("POST", "/explain/1", headers, b"how", BUDGET_S)
    answers[request_id] = got.status
    client.close()


class Script:
    """The platform, the system and what was seen."""

    def __init__(self) -> None:
        self.store, self.store_server = start_store()
        self.store.revision = self.store.oldest = FIRST_REVISION
        self.system = System(
            self.store_server.address,
            ZONES,
            Bounds(LEASE_MS, fenced=False, retry_slack=58),
        )
        self.workers = [
            EngineWorker(f"i-{number}", SERVICE, zone, number, fenced=False)
            for number, zone in enumerate(ZONES)
        ]
        self.answers: dict[str, int] = {}
        self.notes: list[str] = []
        self.began = time.monotonic()
        self._adapters = 0

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f"{time.monotonic() - self.began:.3f} s: {text}")

    async def publish(self) -> None:
        """Start the workers, and publish them and the configuration."""
        for worker in self.workers:
            await worker.start()
            worker.publish = lambda worker=worker: self.store.put(
                f"servers/{worker.id}", worker.describe()
            )
            worker.publish()
        self.store.put("op/config", CONFIGURATION)

    async def ask_for_adapters(self, name: str) -> None:
        """Ask each machine for some adapters that nobody holds."""
        async with asyncio.TaskGroup() as group:
            for machine in self.system.machines:
                for _ in range(5):
                    self._adapters += 1
                    number = self._adapters
                    group.create_task(use(machine.callers, number, name, self.answers))
        self.note(f"asked for adapters: {name}")

    async def restart_in_turn(self) -> None:
        """Stop each process with SIGTERM, and start it again."""
        for machine in self.system.machines:
            self.note(f"SIGTERM to {machine.id}")
            machine.send(signal.SIGTERM)
            assert machine.process is not None
            await machine.process.wait()
            await self.system.start_machine(machine)
            await self.system.wait_until_ready(machine)
            self.note(f"{machine.id} is ready again")

    async def kill_all(self) -> None:
        """Kill all processes at once, and start them again."""
        self.note("SIGKILL to all")
        for machine in self.system.machines:
            machine.send(signal.SIGKILL)
        for machine in self.system.machines:
            assert machine.process is not None
            await machine.process.wait()
        await asyncio.sleep(1.0)
        await self.system.start()
        self.note("all are ready again")

    async def play(self) -> int:
        """Play the case; return the exit code."""
        try:
            await self.publish()
            await self.system.start()
            self.began = time.monotonic()
            await asyncio.sleep(6.0)
            await self.ask_for_adapters("first")
            await self.restart_in_turn()
            await asyncio.sleep(6.0)
            await self.ask_for_adapters("later")
            if TROUBLE:
                await self.kill_all()
            await asyncio.sleep(8.0)
            await self.ask_for_adapters("last")
        finally:
            await self.system.stop(os.environ.get("KEEP_LOGS", ""))
            for worker in self.workers:
                await worker.stop()
            await self.store_server.stop()
        return self.judge()

    def judge(self) -> int:
        """Write the record, and return 1 if a rule was broken."""
        broken = []
        lines = [f"trouble: {int(TROUBLE)}", *self.notes]
        lines.append(f"answers: {self.answers}")
        for worker in self.workers:
            highest = 0
            holders: dict[int, str] = {}
            lines.append(f"orders to {worker.id}:")
            for order in worker.orders:
                text = (
                    f"  {order.at - self.began:.3f} s: {order.operation}"
                    f" {order.adapter} by {order.holder}, generation {order.fence}"
                    f" = {order.fence >> 32} x 2^32 + {order.fence % 2**32}:"
                    f" {order.status}"
                )
                if order.fence < highest:
                    text += " LOWER AFTER HIGHER"
                if holders.setdefault(order.fence, order.holder) != order.holder:
                    text += " TWO HOLDERS WITH ONE NUMBER"
                if "LOWER" in text or "TWO HOLDERS" in text:
                    broken.append(text)
                highest = max(highest, order.fence)
                lines.append(text)
        lines.append(f"ONE: broken by {len(broken)} orders")
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")
        if not any(worker.orders for worker in self.workers):
            return 2
        return 1 if broken else 0


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
