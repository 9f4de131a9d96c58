"""Play seeds, print what was broken, and keep the logs of what failed."""

import asyncio
import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire

from bench.soak.accounts import Accounts, check_accounts
from bench.soak.callers import Answer, Caller, Ending
from bench.soak.checks import AFTERMATH_S, Journal, check
from bench.soak.plan import FAULTS_PER_S, Fault, make_plan
from bench.soak.violation import Violation
from bench.soak.world import SoakWorld
from fescuekeel.helpers.http_connection import NotConnectedError, connect, fetch
from standins.forwarding.caller import make_headers

__all__ = ["main", "play_seed"]

CALLERS = 16
DEFAULT_SECONDS = 12.0
SEEDS = 5
FAILED_LOGS = Path("soak-logs")
MAX_SHOWN = 5
HEALED_TRIES = 3
HEALED_TIME_LEFT_S = 3.0


async def play_seed(
    seed: int, seconds: float, folder: Path, per_s: float = FAULTS_PER_S
) -> list[Violation]:
    """Play one seed, ``per_s`` faults a second; return broken promises."""
    accounts = Accounts(seed)
    world = SoakWorld(folder, accounts)
    faults = make_plan(seed, seconds, per_s)
    try:
        await world.start()
        began = time.monotonic()
        addresses = [daemon.spec.addresses.callers for daemon in world.daemons]
        callers = [
            Caller(addresses, seed * CALLERS + number, accounts.choose_key)
            for number in range(CALLERS)
        ]
        until = began + max(seconds, max(fault.ends for fault in faults))
        load = asyncio.gather(*(caller.run(until) for caller in callers))
        await world.play(faults, began)
        await load
        violations = await check_healed(world)
        answers = [answer for caller in callers for answer in caller.answers]
        workers = list(world.platform.workers_by_id.values())
        journal = Journal(began, faults, answers, workers, world.leavings)
        print_summary(seed, faults, answers)
        violations += check_accounts(accounts, answers, workers)
        return violations + check(journal)
    finally:
        await world.stop()


async def check_healed(world: SoakWorld) -> list[Violation]:
    """Check that every daemon serves the stated intent once all is over."""
    if not await world.wait_until_ready():
        return [Violation("recovery", "a daemon never became ready")]
    await asyncio.sleep(AFTERMATH_S)
    violations = []
    newest, older = f"/v{world.version}/x", f"/v{world.version - 1}/x"
    wanted = [(newest, "GET", "", 200), (older, "GET", "", 404)]
    wanted += [
        (f"/healed/{adapter}", "POST", adapter, 200)
        for adapter in sorted(world.adapter_versions)[:2] or ["a1"]
    ]
    for daemon in world.daemons:
        for path, method, adapter, status in wanted:
            found = await ask_until(
                daemon.spec.addresses.callers, path, method, adapter, status
            )
            if found != status:
                detail = f"{daemon.spec.id} {path}: {found}, not {status}"
                violations.append(Violation("recovery", detail))
    return violations + check_versions(world)


async def ask_until(
    address: str, path: str, method: str, adapter: str, status: int
) -> int:
    """Ask a few times, as a caller would; return the last status."""
    found = 0
    for _ in range(HEALED_TRIES):
        headers = make_headers(secrets.token_hex(8), HEALED_TIME_LEFT_S, adapter, b"")
        try:
            connection = await connect(address, 1.0)
            response = await fetch(connection, method, path, headers, b"", 5.0)
        except (NotConnectedError, OSError) as error:
            print(f"{address}{path}: {error!r}")
            continue
        found = response.status
        connection.close()
        if found == status:
            return found
        await asyncio.sleep(1.0)
    return found


def check_versions(world: SoakWorld) -> list[Violation]:
    """Check that the last run of each adapter was of its newest version."""
    last_by_adapter: dict[str, tuple[float, int]] = {}
    for worker in world.platform.workers_by_id.values():
        for record in worker.records:
            last = last_by_adapter.get(record.adapter, (0.0, 0))
            last_by_adapter[record.adapter] = max(last, (record.at, record.version))
    return [
        Violation("version", f"{adapter}: ran {last_by_adapter[adapter][1]} last")
        for adapter, newest in sorted(world.adapter_versions.items())[:2]
        if last_by_adapter.get(adapter, (0.0, newest))[1] != newest
    ]


def print_summary(seed: int, faults: list[Fault], answers: list[Answer]) -> None:
    """Print what was done and what callers got, one line a seed."""
    endings = Counter(answer.ending for answer in answers)
    statuses = Counter(
        answer.status for answer in answers if answer.ending is Ending.WHOLE
    )
    counts = " ".join(f"{ending.value}={endings[ending]}" for ending in Ending)
    told = " ".join(f"{status}={count}" for status, count in sorted(statuses.items()))
    kinds = Counter(fault.kind for fault in faults)
    done = ",".join(f"{kind.value}*{count}" for kind, count in sorted(kinds.items()))
    print(f"seed={seed} asked={len(answers)} {counts} {told} faults={done}", flush=True)


def run_seeds(
    seeds: int = SEEDS, first_seed: int = 0, seconds: float = DEFAULT_SECONDS
) -> int:
    """Play seeds in turn, fresh ones without a first; return the exit code."""
    first = first_seed or secrets.randbelow(2**31)
    failed = []
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory(prefix="fescuekeel-soak-") as name:
            folder = Path(name)
            violations = asyncio.run(play_seed(seed, seconds, folder))
            if violations:
                failed.append(seed)
                keep_logs(seed, folder)
        for violation in violations[:MAX_SHOWN]:
            print(f"violation seed={seed} {violation.promise}: {violation.detail}")
    print(f"seeds={seeds} failed={len(failed)} {failed}")
    return 1 if failed else 0


def keep_logs(seed: int, folder: Path) -> None:
    """Copy the daemons' logs of a seed that failed."""
    target = FAILED_LOGS / str(seed)
    target.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())
    print(f"logs of seed {seed}: {target}")


def main(arguments: list[str]) -> int:
    """Read the command line."""
    return int(fire.Fire(run_seeds, command=arguments, name="soak"))
