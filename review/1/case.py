"""A configuration that moves a model route to another service.

With CHANGE=split a tenth of the route goes to a plain service instead.
"""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from common.http import Answer, Client
from common.system import Machine, System
from common.workers import EngineWorker, PlainWorker

from standins.forwarding.store import start_store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANGE = os.environ.get("CHANGE", "move")
ZONES = ("kigali-a", "kigali-b", "kigali-c")
HOST = "shop.example"
MODELS, NEW_MODELS = "conjurer-llm", "conjurer-llm-2"
SHOP = "storefront-app"
CONTACT_S = 3.0
# When the configuration changes, and how long the traffic lasts.
CHANGE_S = 6.0
LENGTH_S = 26.0
# Clients of stock checks at each machine, and of explanations at all.
CLIENTS = 8
READERS = 18
ADAPTERS = 3000
# As the platform does: a process that ends is started again after a moment.
RESTART_S = 0.5
STOCK_BUDGET_S, STOCK_TIMEOUT_S = 2.5, 1.2
EXPLAIN_BUDGET_S = 8.0
ANSWER_SLACK_S = 0.5


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout_s: float, **more: object
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "route_kind": kind,
        "timeout_ms": int(timeout_s * 1000),
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        **more,
    }


def make_service(name: str) -> dict[str, object]:
    """Return a service of model workers."""
    model = {
        "name": EngineWorker.MODEL,
        "weights_mb": 65100,
        "load_s": 3.8,
        "adapters": ADAPTERS,
        "adapter_mb": 12,
    }
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 142722,
        "weights_mb": 67000,
        "adapter_slots": 20,
        "models": [model],
    }
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 370,
        "engine": engine,
    }


def make_configuration(version: int, change: str = "") -> dict[str, object]:
    """Return a configuration, with the route of the explanations changed."""
    explain = make_route(
        "method-explain",
        "/explain/",
        "stream",
        MODELS,
        EXPLAIN_BUDGET_S,
        gap_target_ms=250,
        sticky=True,
    )
    services = [make_service(MODELS), make_service(NEW_MODELS)]
    if change == "move":
        # No route leads to the old service any more.
        explain["service"] = NEW_MODELS
        del services[0]
    elif change == "split":
        explain["service"] = ""
        explain["split"] = [
            {"service": MODELS, "weight": 0.9},
            {"service": SHOP, "weight": 0.1},
        ]
    shop: dict[str, object] = {
        "name": SHOP,
        "health_path": "/healthz",
        "max_conns": 110,
    }
    return {
        "version": version,
        "routes": [
            explain,
            make_route("stock-check", "/stock/", "unsafe", SHOP, STOCK_TIMEOUT_S),
        ],
        "services": [*services, shop],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


@dataclass(slots=True)
class Sent:
    """A stock check: when it was sent, what came back and when."""

    at: float
    machine: str
    ended_at: float
    answer: Answer


class Script:
    """The platform, the system and what was seen."""

    def __init__(self) -> None:
        self.store, self.store_server = start_store()
        self.system = System(self.store_server.address, ZONES)
        self.engines = [
            EngineWorker(f"i-{service}-{number}", service, zone, number)
            for service in (MODELS, NEW_MODELS)
            for number, zone in enumerate(ZONES)
        ]
        self.plain = [
            PlainWorker(f"i-shop-{number}", SHOP, zone, number)
            for number, zone in enumerate(ZONES)
        ]
        self.sent: dict[str, Sent] = {}
        self.explained: Counter[int] = Counter()
        self.ends: list[tuple[float, str, int]] = []
        self.started_at: dict[str, float] = {}
        self.notes: list[str] = []
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f"{time.monotonic() - self.began:.3f} s: {text}")

    def publish(self, worker: EngineWorker | PlainWorker) -> None:
        """Write a worker's entry."""
        self.store.put(f"servers/{worker.id}", worker.describe())

    async def watch(self, machine: Machine) -> None:
        """Start a process again when it has ended by itself."""
        while True:
            assert machine.process is not None
            code = await machine.process.wait()
            self.ends.append((time.monotonic() - self.began, machine.id, code))
            self.note(f"the process of {machine.id} has ended by itself: {code}")
            await asyncio.sleep(RESTART_S)
            await self.system.start_machine(machine)
            self.started_at[machine.id] = time.monotonic()

    async def check_stock(self, number: int, until: float) -> None:
        """Send unsafe requests one after the other to one machine."""
        machine = self.system.machines[number % len(ZONES)]
        client = Client(machine.callers)
        chance = random.Random(number)
        count = 0
        while time.monotonic() < until:
            count += 1
            request_id = f"5{number:03x}{count:08x}"
            headers = {
                "Host": HOST,
                "Fescuekeel-Request-Id": request_id,
                "Fescuekeel-Deadline-Ms": str(int(STOCK_BUDGET_S * 1000)),
            }
            at = time.monotonic()
            answer = await client.ask(
                "POST", "/stock/1", headers, b"kit", STOCK_BUDGET_S
            )
            self.sent[request_id] = Sent(at, machine.id, time.monotonic(), answer)
            await asyncio.sleep(chance.uniform(0.1, 0.5))
        client.close()

    async def read_explanations(self, number: int, until: float) -> None:
        """Ask for streams one after the other, at any machine."""
        chance = random.Random(1000 + number)
        count = 0
        while time.monotonic() < until:
            count += 1
            client = Client(chance.choice(self.system.machines).callers)
            request_id = f"e{number:03x}{count:08x}"
            adapter = f"a{chance.randrange(ADAPTERS)}"
            headers = {
                "Host": HOST,
                "Fescuekeel-Request-Id": request_id,
                "Fescuekeel-Deadline-Ms": str(int(EXPLAIN_BUDGET_S * 1000)),
                "Fescuekeel-Model": f"{EngineWorker.MODEL}/{adapter}",
                "Fescuekeel-Token-Count": "300,36",
                "Fescuekeel-Prompt-Prefix": f"5c1e07a2:200,{request_id}:100",
            }
            answer = await client.ask(
                "POST", "/explain/1", headers, b"how", EXPLAIN_BUDGET_S
            )
            self.explained[answer.status if answer.whole else 0] += 1
            client.close()
            await asyncio.sleep(chance.uniform(0.2, 0.6))

    async def change(self) -> None:
        """Write the next configuration, once."""
        await asyncio.sleep(CHANGE_S)
        change = CHANGE if TROUBLE else ""
        self.store.put("op/config", make_configuration(4, change))
        self.note("the store has accepted version 4 of the configuration")

    async def play(self) -> int:
        """Play the case; return the exit code."""
        watchers: list[asyncio.Task[None]] = []
        workers = [*self.engines, *self.plain]
        try:
            for engine in self.engines:
                engine.publish = partial(self.publish, engine)
            for worker in workers:
                await worker.start()
                self.publish(worker)
            self.store.put("op/config", make_configuration(1))
            await self.system.start()
            await asyncio.sleep(2 * CONTACT_S)
            self.began = time.monotonic()
            for machine in self.system.machines:
                self.started_at[machine.id] = self.began - 2 * CONTACT_S
                watchers.append(asyncio.ensure_future(self.watch(machine)))
            until = self.began + LENGTH_S
            async with asyncio.TaskGroup() as group:
                group.create_task(self.change())
                for number in range(CLIENTS * len(ZONES)):
                    group.create_task(self.check_stock(number, until))
                for number in range(READERS):
                    group.create_task(self.read_explanations(number, until))
        finally:
            for watcher in watchers:
                watcher.cancel()
            await self.system.stop(os.environ.get("KEEP_LOGS", ""))
            for worker in workers:
                await worker.stop()
            await self.store_server.stop()
        return self.judge()

    def judge(self) -> int:
        """Write the record, and return 1 if a rule was broken.

        A process that ends by itself counts as running all the while, so that
        no machine is out of touch here.
        """
        waited = [
            item
            for item in self.sent.values()
            if item.ended_at - item.at >= STOCK_TIMEOUT_S
        ]
        unanswered = [
            item
            for item in waited
            if not item.answer.whole
            or item.ended_at - item.at > STOCK_TIMEOUT_S + ANSWER_SLACK_S
        ]
        ran = {run.request_id for worker in self.plain for run in worker.runs}
        lost = [
            id
            for id, item in self.sent.items()
            if id in ran and item.answer.status == 0
        ]
        lines = [f"trouble: {int(TROUBLE)}", *self.notes]
        lines += [
            f"stock checks sent: {len(self.sent)}, answers by status, 0 is none:"
            f" {dict(Counter(item.answer.status for item in self.sent.values()))}",
            f"explanations by status, 0 is no whole one: {dict(self.explained)}",
            f"processes that ended by themselves: {len(self.ends)} at"
            f" {len({id for _, id, _ in self.ends})} of {len(ZONES)} machines",
            f"CONFIG: {len(waited)} stock checks were unanswered at their route's"
            f" timeout of {STOCK_TIMEOUT_S} s, {len(unanswered)} of them had no"
            f" answer {ANSWER_SLACK_S} s later",
            f"LOST: {len(lost)} stock checks ran at a worker and got no answer",
        ]
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")
        if not any(item.answer.status == 200 for item in self.sent.values()):
            return 2
        is_broken = len(waited) >= 8 and len(unanswered) > len(waited) / 2
        return 1 if is_broken or len(lost) > 3 else 0


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
