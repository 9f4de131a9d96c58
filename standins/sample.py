"""Run both deployments on loopback and send them the sample load."""

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import fire

from standins.fleet import Fleet, FleetError
from standins.journals import Doubled, count_runs, find_doubled
from standins.load import Caller, Result, SampleRequest, Verdict
from standins.plan import find_plain_service, make_plan
from standins.platform import DEPLOYMENTS_BY_NAME
from standins.table import format_summary, format_table, mean_fill
from standins.trees import Tree, find_token, read_tree

__all__ = ["main"]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CENTRES = 2
INSTANCES_PER_CENTRE = 2
REQUESTS = 150
REQUESTS_PER_S = 10.0
PROGRESS_S = 2.0
EXIT_STOPPED = 130
REPORT_LAG_S = 0.5
FAULTS_SHOWN = 10


@dataclass(frozen=True, slots=True)
class Deployed:
    """One deployment that is up, and its load."""

    name: str
    tree: Tree
    tokens: str
    requests: list[SampleRequest]
    caller: Caller


@dataclass(frozen=True, slots=True)
class Judged:
    """What came of one deployment's load."""

    name: str
    results: list[Result]
    doubled: list[Doubled]
    fill: float | None


def say(text: str) -> None:
    """Print at once, also into a pipe."""
    print(text, flush=True)


async def deploy(fleet: Fleet, name: str, examples: Path) -> Deployed:
    """Wait until a deployment's instances answer, and plan its load."""
    tree = read_tree(examples / name)
    tokens = (examples / "README.md").read_text("utf-8")
    requests = make_plan(name, tree, tokens, REQUESTS, REQUESTS_PER_S)
    plain = find_plain_service(tree)
    if plain is not None:
        shop, _, service = plain.partition("/")
        token = find_token(tree, shop, tokens) or ""
        path = f"/services/{service}/items?probe=1"
        await fleet.wait_until_answering(name, path, token)
    addresses = [item.callers for item in fleet.daemons if item.deployment == name]
    say(f"{name}: {len(addresses)} instances answer")
    return Deployed(name, tree, tokens, requests, Caller(addresses))


async def show_progress(deployed: Sequence[Deployed]) -> None:
    """Print how far the load is until cancelled."""
    start = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_S)
        parts = [
            f"{item.name} sent={item.caller.sent} ended={item.caller.ended}"
            f" of={len(item.requests)}"
            for item in deployed
        ]
        say(f"  {time.monotonic() - start:5.1f} s  " + "  ".join(parts))


async def send_load(deployed: Sequence[Deployed]) -> list[list[Result]]:
    """Send all loads at once."""
    progress = asyncio.ensure_future(show_progress(deployed))
    try:
        loads = (item.caller.run(item.requests) for item in deployed)
        return await asyncio.gather(*loads)
    finally:
        progress.cancel()


async def judge(fleet: Fleet, name: str, results: list[Result]) -> Judged:
    """Compare the results with the endpoints' journals."""
    await asyncio.sleep(REPORT_LAG_S)
    endpoints = fleet.ports_by_deployment[name]["endpoints"]
    journals = [await fleet.get_json(item["url"] + "/journal") for item in endpoints]
    reports = [
        await fleet.get_json(item["url"] + "/v1/report")
        for item in endpoints
        if item["kind"] == "engine"
    ]
    doubled = find_doubled(results, count_runs(journals))
    return Judged(name, results, doubled, mean_fill(reports))


def show(judged: Judged) -> None:
    """Print a deployment's table and what went wrong."""
    fill = "-" if judged.fill is None else f"{judged.fill:.3f}"
    say(f"\n{judged.name}: times in seconds, batch efficiency {fill}")
    say(format_table(judged.results))
    lost = [item for item in judged.results if item.verdict is Verdict.LOST]
    for item in lost[:FAULTS_SHOWN]:
        say(f"lost {item.request.marker}: {item.detail}")
    for fault in judged.doubled[:FAULTS_SHOWN]:
        say(f"doubled {fault.marker}: {fault.detail}")


def show_addresses(fleet: Fleet, deployed: Sequence[Deployed]) -> None:
    """Print where everything listens and how to call it."""
    for daemon in fleet.daemons:
        say(
            f"{daemon.id}: callers http://{daemon.callers} "
            f"operators http://{daemon.operators} pid {daemon.process.pid}"
        )
    say(f"operators' token: {fleet.operators_token}")
    say(
        f"FESCUEKEEL_TOKEN={fleet.operators_token} .venv/bin/fescuekeel status "
        f"--url http://{fleet.daemons[0].operators}"
    )
    for name, ports in fleet.ports_by_deployment.items():
        say(f"{name}: config {ports['config_url']} live list {ports['live_url']}")
    for item in deployed:
        request = next(each for each in item.requests if each.model and each.stream)
        say(
            f"curl -N http://{item.caller.addresses[0]}/v1/completions "
            f"-H 'Authorization: Bearer {request.token}' "
            f"-H 'Content-Type: application/json' -d '{request.body}'"
        )


async def run(folder: Path, stay: bool, examples: Path) -> int:
    """Run everything; return the exit code."""
    fleet = Fleet(folder)
    try:
        say("starting the stand-ins of both deployments")
        await fleet.start_standins("both", examples, CENTRES)
        names = list(DEPLOYMENTS_BY_NAME)
        for name in names:
            await fleet.start_daemons(name, INSTANCES_PER_CENTRE)
        deployed = await asyncio.gather(
            *(deploy(fleet, name, examples) for name in names)
        )
        results = await send_load(deployed)
        judged = [
            await judge(fleet, name, each)
            for name, each in zip(names, results, strict=True)
        ]
        for item in judged:
            show(item)
        every = [result for item in judged for result in item.results]
        doubled = [fault for item in judged for fault in item.doubled]
        if stay:
            show_addresses(fleet, deployed)
        say(format_summary(every, doubled))
        if stay:
            say("it stays up until Ctrl-C")
            await asyncio.Event().wait()
        lost = any(item.verdict is Verdict.LOST for item in every)
        return 1 if lost or doubled else 0
    finally:
        await fleet.stop()


async def run_until_signal(stay: bool, examples: Path) -> int:
    """Run in a folder of its own; a signal ends every process first."""
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    with tempfile.TemporaryDirectory(prefix="fescuekeel-") as folder:
        try:
            return await run_or_stop(Path(folder), stay, examples, stopping)
        except FleetError as error:
            sys.stderr.write(f"script/run: {error}\n")
            return 1


async def run_or_stop(
    folder: Path, stay: bool, examples: Path, stopping: asyncio.Event
) -> int:
    """Run, and cancel the run once if it is told to stop.

    Guards against a second signal (a second Ctrl-C) that would interrupt the
    ending of the processes and leave them behind: the event is set already,
    so only the first signal cancels anything.
    """
    running = asyncio.ensure_future(run(folder, stay, examples))
    stopped = asyncio.ensure_future(stopping.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        stopped.cancel()
        return running.result()
    running.cancel()
    await asyncio.wait({running})
    if running.cancelled():
        return 0 if stay else EXIT_STOPPED
    return running.result()


def start(stay: bool = False, examples: str = str(EXAMPLES)) -> None:
    """Send the sample load and print a table; STAY keeps everything up."""
    raise SystemExit(asyncio.run(run_until_signal(stay, Path(examples))))


def main() -> None:
    """Read the command line."""
    fire.Fire(start, name="run")


if __name__ == "__main__":
    main()
