"""Run seeds, print violations and keep the logs of failed runs."""

import asyncio
import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire

from bench.soak.accounts import Accounts, check_accounts
from bench.soak.answers_of_endpoints import check_back_offs, check_leaving
from bench.soak.brittle import check_brittle, list_falls
from bench.soak.callers import Caller, CallResult, Ending
from bench.soak.checks import RECOVERY_S, History, check
from bench.soak.culprits import KNOWN_WITHIN_S, check_culprits, list_crash_faults
from bench.soak.daemon_process import find_total_loss
from bench.soak.limits import check_limits
from bench.soak.links import check_cut_service
from bench.soak.parts import check_parts
from bench.soak.plan import FAULTS_PER_S, Fault, make_plan
from bench.soak.retries import check_retries
from bench.soak.skew import check_skewed_service
from bench.soak.turned_away import check_turned_away
from bench.soak.versions import (
    ResumingCaller,
    check_streams_go_on,
    check_versioned_streams,
)
from bench.soak.violation import Violation
from bench.soak.world import DAEMONS_PER_ZONE, SoakWorld
from fescuekeel.helpers.http_connection import (
    IncompleteResponseError,
    NotConnectedError,
    connect,
    fetch,
)
from standins.forwarding.caller import MAX_ANSWER_BYTES, make_headers

__all__ = ["main", "run_seed"]

CALLERS = 16
HTTP_1_0_CALLERS = 4
RESUMING_CALLERS = 4
DEFAULT_SECONDS = 12.0
SEEDS = 5
FAILED_LOGS_FOLDER = Path("soak-logs")
MAX_SHOWN = 5
RECOVERY_ATTEMPTS = 3
RECOVERY_TIME_LEFT_S = 3.0


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    faults_per_s: float = FAULTS_PER_S,
    daemons_per_zone: int = DAEMONS_PER_ZONE,
) -> list[Violation]:
    """Run one seed; return its violations."""
    accounts = Accounts(seed)
    world = SoakWorld(folder, accounts, daemons_per_zone)
    faults = make_plan(seed, seconds, faults_per_s)
    try:
        await world.start()
        started_at = time.monotonic()
        addresses = [daemon.spec.addresses.callers for daemon in world.daemons]
        callers = [
            Caller(
                addresses,
                seed * CALLERS + number,
                accounts.choose_key,
                uses_http_1_0=number < HTTP_1_0_CALLERS,
            )
            for number in range(CALLERS)
        ]
        until = started_at + max(seconds, max(fault.ends_at for fault in faults))
        world.ends_at = until
        resuming = [
            ResumingCaller(addresses, seed * RESUMING_CALLERS + number)
            for number in range(RESUMING_CALLERS)
        ]
        load = asyncio.gather(
            *(caller.run(until) for caller in callers),
            *(caller.run(until) for caller in resuming),
        )
        await world.inject(faults, started_at)
        await load
        withdrawn = world.withdraw_endpoint_errors()
        if withdrawn:
            print(f"endpoint errors that no request met: {withdrawn}")
        violations = await check_recovery(world)
        workers = list(world.platform.workers_by_id.values())
        lives = [life for daemon in world.daemons for life in daemon.lives]
        lost_at = find_total_loss(lives, KNOWN_WITHIN_S)
        violations += await world.culprits.check_known_everywhere(
            workers, lost_at, world.was_alive
        )
        await world.republish_endpoints()
        violations += await check_cut_service(world.cuts, addresses, seed)
        violations += await check_turned_away(
            world.daemons, world.cuts.links, world.publish_next_configuration, seed
        )
        violations += await check_streams_go_on(world.versioned, addresses, seed)
        if daemons_per_zone == DAEMONS_PER_ZONE:
            pids = [daemon.process.pid for daemon in world.daemons if daemon.process]
            violations += await check_skewed_service(addresses, pids, seed)
        violations += list_exits(world)
        results = [result for caller in callers for result in caller.results]
        faults += list_crash_faults(workers, started_at)
        faults += list_falls(workers, started_at)
        history = History(started_at, faults, results, workers, world.drains)
        print_summary(seed, faults, results)
        violations += check_accounts(accounts, results, workers)
        violations += check_culprits(
            workers, results, lost_at, history.disturbs_daemons
        )
        violations += check_parts(
            world.parts, workers, lost_at, history.disturbs_daemons
        )
        violations += check_leaving(workers, results, history.overlaps_kinds)
        violations += check_back_offs(workers, results, history.overlaps_kinds)
        violations += check_limits(world.limits.periods, history.disturbs_daemons)
        slack = max(daemon.spec.retry_slack for daemon in world.daemons)
        violations += check_retries(workers, results, slack)
        violations += check_brittle(world.brittle.periods, history.disturbs_daemons)
        streams = [stream for caller in resuming for stream in caller.streams]
        violations += check_versioned_streams(
            streams, world.versioned, history.disturbs_versions
        )
        return violations + check(history)
    finally:
        await world.stop()


async def check_recovery(world: SoakWorld) -> list[Violation]:
    """Check that all daemons recover and serve the latest configuration."""
    not_ready = await world.wait_until_ready()
    if not_ready:
        states = [await daemon.describe() for daemon in not_ready]
        return [
            Violation("recovery", f"a daemon never became ready: {state}")
            for state in states
        ]
    await asyncio.sleep(RECOVERY_S)
    violations = []
    newest, older = f"/v{world.version}/x", f"/v{world.version - 1}/x"
    wanted = [(newest, "GET", "", 200), (older, "GET", "", 404)]
    wanted += [
        (f"/healed/{adapter}", "POST", adapter, 200)
        for adapter in sorted(world.adapter_versions)[:2] or ["a1"]
    ]
    for daemon in world.daemons:
        for path, method, adapter, status in wanted:
            found = await request_until_status(
                daemon.spec.addresses.callers, path, method, adapter, status
            )
            if found != status:
                detail = (
                    f"{daemon.spec.id} {path}: got status {found}, expected {status}"
                )
                violations.append(Violation("recovery", detail))
    return violations + check_versions(world)


def list_exits(world: SoakWorld) -> list[Violation]:
    """Return the ends that no fault ordered; count those by early signals."""
    early = sum(daemon.early_signals for daemon in world.daemons)
    if early:
        print(f"restarted after a signal before the first statement: {early}")
    return [
        Violation("exit", str(found))
        for daemon in world.daemons
        for found in daemon.exits
    ]


async def request_until_status(
    address: str, path: str, method: str, adapter: str, status: int
) -> int:
    """Send a request until it gets the status; return the last status.

    Return zero at once for an answer that is cut: nothing may cut one after
    the faults, whether or not the next one is whole.
    """
    found = 0
    for _ in range(RECOVERY_ATTEMPTS):
        headers = make_headers(secrets.token_hex(8), RECOVERY_TIME_LEFT_S, adapter, b"")
        try:
            connection = await connect(address, 1.0)
            response = await fetch(
                connection, method, path, headers, b"", 5.0, MAX_ANSWER_BYTES
            )
        except (NotConnectedError, OSError) as error:
            print(f"{address}{path}: {error!r}")
            continue
        except IncompleteResponseError as error:
            print(f"{address}{path}: {error!r}")
            return 0
        found = response.status
        connection.close()
        if found == status:
            return found
        await asyncio.sleep(1.0)
    return found


def check_versions(world: SoakWorld) -> list[Violation]:
    """Check that each adapter last ran in its newest version."""
    last_by_adapter: dict[str, tuple[float, int]] = {}
    for worker in world.platform.workers_by_id.values():
        for record in worker.records:
            last = last_by_adapter.get(record.adapter, (0.0, 0))
            last_by_adapter[record.adapter] = max(
                last, (record.started_at, record.version)
            )
    return [
        Violation(
            "version", f"{adapter}: last run had version {last_by_adapter[adapter][1]}"
        )
        for adapter, newest in sorted(world.adapter_versions.items())[:2]
        if last_by_adapter.get(adapter, (0.0, newest))[1] != newest
    ]


def print_summary(seed: int, faults: list[Fault], results: list[CallResult]) -> None:
    """Print the faults and results of one seed on one line."""
    endings = Counter(result.ending for result in results)
    statuses = Counter(
        result.status for result in results if result.ending is Ending.WHOLE
    )
    ending_counts = " ".join(f"{ending.value}={endings[ending]}" for ending in Ending)
    status_counts = " ".join(
        f"{status}={count}" for status, count in sorted(statuses.items())
    )
    kinds = Counter(fault.kind for fault in faults)
    fault_counts = ",".join(
        f"{kind.value}*{count}" for kind, count in sorted(kinds.items())
    )
    print(
        f"seed={seed} asked={len(results)} {ending_counts} {status_counts}"
        f" faults={fault_counts}",
        flush=True,
    )


def run_seeds(
    seeds: int = SEEDS,
    first_seed: int = 0,
    seconds: float = DEFAULT_SECONDS,
    daemons_per_zone: int = DAEMONS_PER_ZONE,
) -> int:
    """Run consecutive seeds, from a random one by default."""
    first = first_seed or secrets.randbelow(2**31)
    failed = []
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="fescuekeel-soak-") as name:
            folder = Path(name)
            work = run_seed(seed, seconds, folder, FAULTS_PER_S, daemons_per_zone)
            violations = asyncio.run(work)
            if violations:
                failed.append(seed)
                keep_logs(seed, folder)
        for violation in violations[:MAX_SHOWN]:
            print(f"violation seed={seed} {violation.invariant}: {violation.detail}")
    print(f"seeds={seeds} failed={len(failed)} {failed}")
    return 1 if failed else 0


def keep_logs(seed: int, folder: Path) -> None:
    """Copy the daemon logs of a failed seed."""
    target = FAILED_LOGS_FOLDER / str(seed)
    target.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())
    print(f"logs of seed {seed}: {target}")


def main(arguments: list[str]) -> int:
    """Parse the command line and run the seeds."""
    return int(fire.Fire(run_seeds, command=arguments, name="soak"))
