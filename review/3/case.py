"""Reports that a faulty worker sends once more, late."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

from common.http import Answer, Client
from common.system import System
from common.workers import EngineWorker

from standins.forwarding.store import start_store

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("kigali-a", "kigali-b", "kigali-c")
HOST = "shop.example"
CLIENTS = 45
BUDGET_S = 8.0
# Clients come in clumps; each keeps its connection.
CLUMP_S = 2.5
# Times of the disruption, in seconds after the start of traffic.
WINDOWS = ((3.0, 8.0), (13.0, 18.0), (23.0, 28.0), (33.0, 38.0), (43.0, 48.0))
LENGTH_S = 50.0
EXTRA_SHARE = 0.03
SERVICE = "conjurer-llm"
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


async def use(
    address: str, number: int, began: float, answers: dict[str, Answer]
) -> None:
    """Send a stream in each clump, with an id of its own."""
    client = Client(address)
    chance = random.Random(number)
    for count in range(int(LENGTH_S / CLUMP_S)):
        at = began + count * CLUMP_S + chance.uniform(0.0, 0.2)
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        request_id = f"{number:04x}{count:08x}"
        headers = {
            "Host": HOST,
            "Fescuekeel-Request-Id": request_id,
            "Fescuekeel-Deadline-Ms": str(int(BUDGET_S * 1000)),
            "Fescuekeel-Model": EngineWorker.MODEL,
            "Fescuekeel-Token-Count": "300,36",
            "Fescuekeel-Prompt-Prefix": f"5c1e07a2:200,{request_id}:100",
        }
        answers[request_id] = await client.ask(
            "POST", "/explain/1", headers, b"how", BUDGET_S
        )
    client.close()


async def play() -> int:
    """Play the case; return the exit code."""
    store, store_server = start_store()
    began = time.monotonic() + 3600.0

    def is_in_window() -> bool:
        since = time.monotonic() - began
        return TROUBLE and any(first <= since < last for first, last in WINDOWS)

    workers = [
        EngineWorker(f"i-{number}", SERVICE, zone, seed=number)
        for number, zone in enumerate((*ZONES, ZONES[0], ZONES[1]))
    ]
    # Three of the five are faulty.
    for worker in workers[:3]:
        worker.extra_share = EXTRA_SHARE
        worker.is_faulty = is_in_window
    for worker in workers:
        await worker.start()
        store.put(f"servers/{worker.id}", worker.describe())
    store.put("op/config", CONFIGURATION)
    system = System(store_server.address, ZONES)
    answers: dict[str, Answer] = {}
    try:
        await system.start()
        await asyncio.sleep(6.0)
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(CLIENTS):
                machine = system.machines[number % len(system.machines)]
                work = use(machine.callers, number, began, answers)
                group.create_task(work)
        await asyncio.sleep(1.0)
    finally:
        await system.stop(os.environ.get("KEEP_LOGS", ""))
        for worker in workers:
            await worker.stop()
        await store_server.stop()
    return judge(workers, answers, began)


def judge(workers: list[EngineWorker], answers: dict[str, Answer], began: float) -> int:
    """Write the record, and return 1 if a rule was broken."""
    mixed = []
    for id, got in answers.items():
        if not (got.whole and 200 <= got.status < 300):
            continue
        events = "".join(
            f"id: {number}\ndata: {id} {number} v1\n\n"
            for number in range(1, EngineWorker.EVENTS + 1)
        )
        stamp = got.headers.get("fescuekeel-server-stamp")
        if stamp is None or got.body != events.encode():
            mixed.append((id, stamp, got))
    extras = [extra for worker in workers for extra in worker.extras]
    lines = [
        f"trouble: {int(TROUBLE)}",
        f"requests sent: {len(answers)}",
        f"answers by status: {dict(Counter(got.status for got in answers.values()))}",
        f"runs: {sum(len(worker.runs) for worker in workers)}",
        f"workers: {[(worker.id, dict(worker.counts)) for worker in workers]}",
        f"answers sent once more: {len(extras)}",
    ]
    lines += [
        f"  at {extra.at - began:.3f} s: {extra.status} to {extra.target} of"
        f" {extra.request_id}"
        for extra in extras
    ]
    lines.append(f"MIXED: {len(mixed)} requests")
    lines += [
        f"  {id}: {got.status}, stamp {stamp}, body {got.body[:300]!r}"
        for id, stamp, got in mixed
    ]
    (FOLDER / "record.txt").write_text("\n".join(lines) + "\n", "utf-8")
    if not any(got.status == 200 for got in answers.values()):
        return 2
    return 1 if mixed else 0


def main() -> int:
    """Return 2 if the case can't run."""
    try:
        return asyncio.run(play())
    except (OSError, RuntimeError, ExceptionGroup) as error:
        (FOLDER / "record.txt").write_text(f"can't run: {error!r}\n", "utf-8")
        return 2


sys.exit(main())
