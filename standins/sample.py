"""Run both deployments on loopback under a sample load."""

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
from standins.journals import RunViolation, count_runs, find_run_violations
from standins.load import Caller, Result, SampleRequest, Verdict
from standins.plan import find_plain_service, make_plan
from standins.platform import DEPLOYMENTS_BY_NAME
from standins.table import format_summary, format_table, mean_batch_fill
from standins.trees import Tree, find_token, read_tree

__all__ = ["main"]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CENTRES = 2
INSTANCES_PER_CENTRE = 2
REQUESTS = 150
REQUESTS_PER_S = 10.0
PROGRESS_S = 2.0
EXIT_INTERRUPTED = 130
REPORT_LAG_S = 0.5
MAX_FAULTS_SHOWN = 10


@dataclass(frozen=True, slots=True)
class RunningDeployment:
    """A running deployment and its load."""

    name: str
    tree: Tree
    tokens: str
    requests: list[SampleRequest]
    caller: Caller


@dataclass(frozen=True, slots=True)
class DeploymentOutcome:
    """Results of a deployment's load."""

    name: str
    results: list[Result]
    violations: list[RunViolation]
    fill: float | None


def print_now(text: str) -> None:
    """Print without buffering."""
    print(text, flush=True)


async def deploy(fleet: Fleet, name: str, examples: Path) -> RunningDeployment:
    """Wait until a deployment's instances respond, and plan its load."""
    tree = read_tree(examples / name)
    tokens = (examples / "README.md").read_text("utf-8")
    requests = make_plan(name, tree, tokens, REQUESTS, REQUESTS_PER_S)
    plain = find_plain_service(tree)
    if plain is not None:
        shop, _, service = plain.partition("/")
        token = find_token(tree, shop, tokens) or ""
        path = f"/services/{service}/items?probe=1"
        await fleet.wait_until_responding(name, path, token)
    addresses = [item.callers for item in fleet.daemons if item.deployment == name]
    print_now(f"{name}: {len(addresses)} instances answer")
    return RunningDeployment(name, tree, tokens, requests, Caller(addresses))


async def print_progress(deployed: Sequence[RunningDeployment]) -> None:
    """Print the progress of the load until cancelled."""
    start = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_S)
        parts = [
            f"{item.name} sent={item.caller.sent} ended={item.caller.ended}"
            f" of={len(item.requests)}"
            for item in deployed
        ]
        print_now(f"  {time.monotonic() - start:5.1f} s  " + "  ".join(parts))


async def send_load(deployed: Sequence[RunningDeployment]) -> list[list[Result]]:
    """Send the loads of all deployments concurrently."""
    progress = asyncio.ensure_future(print_progress(deployed))
    try:
        loads = (item.caller.run(item.requests) for item in deployed)
        return await asyncio.gather(*loads)
    finally:
        progress.cancel()


async def check_runs(
    fleet: Fleet, name: str, results: list[Result]
) -> DeploymentOutcome:
    """Compare the results with the endpoints' journals."""
    await asyncio.sleep(REPORT_LAG_S)
    endpoints = fleet.ports_by_deployment[name]["endpoints"]
    journals = [await fleet.get_json(item["url"] + "/journal") for item in endpoints]
    reports = [
        await fleet.get_json(item["url"] + "/v1/report")
        for item in endpoints
        if item["kind"] == "engine"
    ]
    violations = find_run_violations(results, count_runs(journals))
    return DeploymentOutcome(name, results, violations, mean_batch_fill(reports))


def print_outcome(outcome: DeploymentOutcome) -> None:
    """Print a deployment's table, lost requests and run violations."""
    fill = "-" if outcome.fill is None else f"{outcome.fill:.3f}"
    print_now(f"\n{outcome.name}: times in seconds, batch efficiency {fill}")
    print_now(format_table(outcome.results))
    lost = [item for item in outcome.results if item.verdict is Verdict.LOST]
    for item in lost[:MAX_FAULTS_SHOWN]:
        print_now(f"lost {item.request.marker}: {item.detail}")
    for violation in outcome.violations[:MAX_FAULTS_SHOWN]:
        print_now(f"doubled {violation.marker}: {violation.detail}")


def print_addresses(fleet: Fleet, deployed: Sequence[RunningDeployment]) -> None:
    """Print the addresses of all processes and commands to call them."""
    for daemon in fleet.daemons:
        print_now(
            f"{daemon.id}: callers http://{daemon.callers} "
            f"operators http://{daemon.operators} pid {daemon.process.pid}"
        )
    print_now(f"operators' token: {fleet.operators_token}")
    print_now(
        f"FESCUEKEEL_TOKEN={fleet.operators_token} .venv/bin/fescuekeel status "
        f"--url http://{fleet.daemons[0].operators}"
    )
    for name, ports in fleet.ports_by_deployment.items():
        print_now(f"{name}: config {ports['config_url']} live list {ports['live_url']}")
    for item in deployed:
        request = next(each for each in item.requests if each.model and each.stream)
        print_now(
            f"curl -N http://{item.caller.addresses[0]}/v1/completions "
            f"-H 'Authorization: Bearer {request.token}' "
            f"-H 'Content-Type: application/json' -d '{request.body}'"
        )


async def run(folder: Path, stay: bool, examples: Path) -> int:
    """Run the sample load; return the exit code."""
    fleet = Fleet(folder)
    try:
        print_now("starting the stand-ins of both deployments")
        await fleet.start_standins("both", examples, CENTRES)
        names = list(DEPLOYMENTS_BY_NAME)
        for name in names:
            await fleet.start_daemons(name, INSTANCES_PER_CENTRE)
        deployed = await asyncio.gather(
            *(deploy(fleet, name, examples) for name in names)
        )
        results = await send_load(deployed)
        outcomes = [
            await check_runs(fleet, name, each)
            for name, each in zip(names, results, strict=True)
        ]
        for item in outcomes:
            print_outcome(item)
        all_results = [result for item in outcomes for result in item.results]
        violations = [each for item in outcomes for each in item.violations]
        if stay:
            print_addresses(fleet, deployed)
        print_now(format_summary(all_results, violations))
        if stay:
            print_now("it stays up until Ctrl-C")
            await asyncio.Event().wait()
        lost = any(item.verdict is Verdict.LOST for item in all_results)
        return 1 if lost or violations else 0
    finally:
        await fleet.stop()


async def run_until_signal(stay: bool, examples: Path) -> int:
    """Run in a temporary folder; on a signal, stop all processes first."""
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
    """Run, and cancel the run once when ``stopping`` is set.

    A second signal has no effect: cancelling the cleanup as well would leave
    processes behind.
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
        return 0 if stay else EXIT_INTERRUPTED
    return running.result()


def start(stay: bool = False, examples: str = str(EXAMPLES)) -> None:
    """Send the sample load and print a table; STAY keeps everything up."""
    raise SystemExit(asyncio.run(run_until_signal(stay, Path(examples))))


def main() -> None:
    """Run the command line interface."""
    fire.Fire(start, name="run")


if __name__ == "__main__":
    main()
