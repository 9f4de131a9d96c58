"""More adapters are asked for at once than the memory for weights holds."""

import asyncio
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.common2.http import Answer, ClientConnection
from review.common2.nodes import Record, make_nodes, wait_ready
from review.common2.platform import (
    Store,
    Worker,
    make_configuration,
    make_engine,
    make_route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = Path(__file__).resolve().parent
ZONE = "kigali-a"
MODEL = "m0"
# Model and places of the site; adapters are as large as in merce-budapest.
MODEL_MB = 65100.0
ADAPTER_MB = 66.0
WEIGHTS_MB = 66000.0
ADAPTER_SLOTS = 20
WORKERS = 2
# Each worker has room for 13 adapters beside the model.
CALM_ADAPTERS = 10
RARE_ADAPTERS = 60
CALM_S = 8.0
LENGTH_S = 20.0
STREAMS_PER_S = 8.0
RARE_PER_S = 12.0
BUDGET_S = 8.0
DOWN_S = 3.0


class EngineWorker(Worker):
    """An engine that crashes if it is ordered to load more than it holds."""

    record: Record
    over_orders: int = 0
    most: int = 0

    def order(self, body: dict[str, Any]) -> int:
        """Carry out an order; crash if it asks for too much."""
        status = super().order(body)
        held = self.adapters.keys() | {name for name in self.pending if name}
        self.most = max(self.most, len(held))
        needed_mb = MODEL_MB + len(held) * ADAPTER_MB
        if needed_mb > WEIGHTS_MB or len(held) > ADAPTER_SLOTS:
            self.over_orders += 1
            self.record.write(
                f"worker {self.id}: {body['holder']} orders {len(held)} adapters, "
                f"{needed_mb:.0f} of {WEIGHTS_MB:.0f} MB: the worker crashes, "
                f"{sum(self.running_ids.values())} runs are lost"
            )
            task = asyncio.ensure_future(self.fall())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return status

    async def fall(self) -> None:
        """Crash, and start again some seconds later."""
        await self.crash()
        await asyncio.sleep(DOWN_S)
        await self.restart(self.software)
        self.publish()


@dataclass
class Sent:
    """One request of a client, and what became of it."""

    request_id: str
    adapter: str
    answer: Answer


async def run_request(
    record: Record, address: str, number: int, adapter: str, sent: list[Sent]
) -> None:
    """Ask for one stream."""
    request_id = f"{number:016x}"
    headers = [
        ("Host", "shop.example"),
        ("Fescuekeel-Request-Id", request_id),
        ("Fescuekeel-Model", f"{MODEL}/{adapter}"),
        ("Fescuekeel-Token-Count", "491,69"),
        ("Fescuekeel-Prompt-Prefix", f"5c1e07a2:93,{number:08x}:398"),
        ("Fescuekeel-Deadline-Ms", str(int(BUDGET_S * 1000))),
    ]
    answer, connection = Answer(), ClientConnection()
    try:
        async with asyncio.timeout(BUDGET_S):
            await connection.open(address)
            connection.send("POST", "/show-plan/x", headers, b"x" * 1300)
            await connection.read(answer)
    except (TimeoutError, OSError):
        pass
    finally:
        connection.close()
    sent.append(Sent(request_id, adapter, answer))
    outcome = "whole" if answer.whole else f"broken after {len(answer.body)} bytes"
    record.write(f"{request_id} {adapter}: {answer.status}, {outcome}")


async def play(folder: Path) -> int:
    """Play the case; return the exit code."""
    record = Record(FOLDER)
    store = Store()
    await store.start()
    workers = [
        EngineWorker("conjurer-llm", ZONE, MODEL, 64, events=23) for _ in range(WORKERS)
    ]
    for worker in workers:
        worker.record = record
        await worker.start(store)
    engine = make_engine(MODEL, weights_mb=WEIGHTS_MB, adapter_slots=ADAPTER_SLOTS)
    engine["models"][0] |= {"weights_mb": MODEL_MB, "adapter_mb": ADAPTER_MB}
    changes = {"timeout_ms": BUDGET_S * 1000, "target_latency_ms": 800, "priority": 0}
    route = make_route("show-plan", "stream", "conjurer-llm", **changes)
    services = [{"name": "conjurer-llm", "engine": engine}]
    store.put("op/config", make_configuration(1, [route], services))
    nodes = make_nodes([ZONE, ZONE], store.address, folder)
    try:
        for node in nodes:
            await node.start()
        if not await wait_ready(nodes):
            record.write("not ready")
            return 2
        await asyncio.sleep(3.5)
        record.began_at = record.loop.time()
        sent: list[Sent] = []
        tasks = []
        number = 0
        while record.now() < LENGTH_S:
            is_rare = TROUBLE and record.now() > CALM_S
            count = RARE_ADAPTERS if is_rare else CALM_ADAPTERS
            number += 1
            address = nodes[number % len(nodes)].frontend
            work = run_request(record, address, number, f"a{number % count + 1}", sent)
            tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(1 / (RARE_PER_S if is_rare else STREAMS_PER_S))
        await asyncio.gather(*tasks)
        for worker in workers:
            for run in worker.runs:
                record.write(f"ran {run.request_id} at {worker.id}")
            for at, holder, fence, operation, status in worker.orders:
                record.write(
                    f"order at {at - record.began_at:.3f} to {worker.id} by {holder} "
                    f"({fence}): {operation}: {status}"
                )
        return judge(record, workers, sent)
    finally:
        for node in nodes:
            await node.end()


def judge(record: Record, workers: list[EngineWorker], sent: list[Sent]) -> int:
    """Judge the rule LIMIT as it is written."""
    over_orders = sum(worker.over_orders for worker in workers)
    started = {run.request_id for worker in workers for run in worker.runs}
    lost = [
        each for each in sent if each.request_id in started and not each.answer.whole
    ]
    served = sum(each.answer.whole and each.answer.status == 200 for each in sent)
    record.write(
        f"{len(sent)} sent, {served} served; at most "
        f"{max(worker.most for worker in workers)} adapters at a worker; "
        f"{over_orders} orders beyond the memory, {len(lost)} requests that had begun "
        "to run ended without a whole answer"
    )
    if not served:
        return 2
    return 1 if over_orders else 0


def main() -> int:
    """Run the case."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
