"""Run the forwarding interface on loopback under a sample load."""

import asyncio
import random
import tempfile
import time
from pathlib import Path

import fire
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from standins.fleet import free_addresses
from standins.forwarding.accounts import AccountCheck, check_accounts
from standins.forwarding.caller import make_headers
from standins.forwarding.daemons import (
    DaemonAddresses,
    DaemonSpec,
    start_daemon,
    wait_until_ready,
)
from standins.forwarding.platform import (
    ENGINES,
    HOST,
    MODEL,
    PLAIN,
    ZONES,
    StandInPlatform,
)
from standins.journals import RunViolation
from standins.load import Result, SampleRequest, Verdict
from standins.table import format_summary, format_table

__all__ = ["main"]

INSTANCES_PER_ZONE = 2
REQUESTS = 200
REQUESTS_PER_S = 25.0
ADAPTERS = 12
TIMEOUT_S = 5.0
REJECTION_STATUSES = frozenset({408, 421, 429, 503})


class SampleRun:
    """A stand-in platform in this process, and daemons in front of it."""

    def __init__(self, folder: Path) -> None:
        self.platform = StandInPlatform()
        self.callers: list[str] = []
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []
        self._client = AsyncHTTPClient(force_instance=True, max_clients=1000)

    async def start(self) -> None:
        """Start the platform and the daemons; wait until all are ready."""
        self.platform.start()
        zones = [zone for zone in ZONES for _ in range(INSTANCES_PER_ZONE)]
        free = iter(free_addresses(4 * len(zones)))
        addresses = [
            DaemonAddresses(next(free), next(free), next(free), next(free))
            for _ in zones
        ]
        seeds = tuple(item.peers for item in addresses[:2])
        for number, zone in enumerate(zones):
            spec = DaemonSpec(
                f"i{number + 1}",
                zone,
                addresses[number],
                addresses[number].peers,
                seeds,
                self.platform.store_server.address,
            )
            self._processes.append(await start_daemon(spec, self._folder))
            self.callers.append(spec.addresses.callers)
        for item in addresses:
            if not await wait_until_ready(self._client, item.ready):
                raise SystemExit(f"no instance became ready at {item.ready}")

    async def send(self, request: SampleRequest) -> Result:
        """Send one request when it is due and check its response."""
        await asyncio.sleep(request.due_s)
        _, _, adapter = request.model.partition("/")
        headers = dict(make_headers(request.marker, request.timeout_s, adapter))
        started_at = time.monotonic()
        address = random.choice(self.callers)
        result = Result(request, Verdict.LOST)
        try:
            response = await self._client.fetch(
                f"http://{address}{request.path}",
                method=request.method,
                headers=headers,
                body=b"" if request.method == "POST" else None,
                raise_error=False,
                request_timeout=request.timeout_s + 1,
            )
        except (HTTPClientError, OSError) as error:
            result.detail = repr(error)
            return result
        result.first_chunk_s = time.monotonic() - started_at
        if response.code == 200:
            result.verdict = Verdict.ANSWERED
        elif response.code in REJECTION_STATUSES:
            result.verdict, result.kind = Verdict.REFUSED, str(response.code)
        else:
            result.detail = f"status {response.code}"
        return result

    def find_run_violations(self, results: list[Result]) -> list[RunViolation]:
        """Return unrepeatable requests that ran twice or although rejected."""
        violations = []
        for result in results:
            runs = sum(
                worker.runs[result.request.marker]
                for worker in self.platform.workers_by_id.values()
            )
            refused = result.verdict is Verdict.REFUSED
            if runs > (0 if refused else 1) and not result.request.repeatable:
                violations.append(
                    RunViolation(result.request.marker, f"ran {runs} times")
                )
        return violations

    async def check_accounts(self) -> AccountCheck:
        """Check an unknown key, a rate limit and a revoked key."""
        return await check_accounts(self.platform, self.callers, self._client)

    async def stop(self) -> None:
        """Stop the daemons, then the platform."""
        for process in self._processes:
            if process.returncode is None:
                process.terminate()
        for process in self._processes:
            await process.wait()
        await self.platform.stop()


def make_plan() -> list[SampleRequest]:
    """Return a mixed load; adapter popularity is Pareto-distributed."""
    plan = []
    for number in range(REQUESTS):
        route = random.choice(("lookup", "charge", "script", "script", "explain"))
        stream = route in ("script", "explain")
        adapter = min(int(random.paretovariate(1.0)), ADAPTERS)
        plan.append(
            SampleRequest(
                marker=f"{number:016x}",
                shop=HOST,
                service=route,
                token="",
                due_s=number / REQUESTS_PER_S,
                timeout_s=TIMEOUT_S,
                repeatable=route in ("lookup", "explain"),
                model=f"{MODEL}/a{adapter}" if stream else "",
                stream=stream,
                method="GET" if route == "lookup" else "POST",
                path=f"/{route}/{number}",
            )
        )
    return plan


async def run(folder: Path) -> int:
    """Run the sample load; return the exit code."""
    sample = SampleRun(folder)
    try:
        print(f"starting a platform of stand-ins ({ENGINES}, {PLAIN})", flush=True)
        await sample.start()
        print(f"{len(sample.callers)} instances are ready", flush=True)
        results = list(
            await asyncio.gather(*(sample.send(request) for request in make_plan()))
        )
        violations = sample.find_run_violations(results)
        accounts = await sample.check_accounts()
        overrun = [id for id, w in sample.platform.workers_by_id.items() if w.overrun]
    finally:
        await sample.stop()
    print(format_table(results))
    for id in overrun:
        print(f"overrun {id}: it was ordered to hold more than it has places for")
    print(format_summary(results, violations))
    print(accounts.format_line())
    lost = any(result.verdict is Verdict.LOST for result in results)
    return 1 if lost or violations or overrun else 0


def start() -> None:
    """Send the sample load and print a table."""
    with tempfile.TemporaryDirectory(prefix="fescuekeel-") as folder:
        raise SystemExit(asyncio.run(run(Path(folder))))


def main() -> None:
    """Run the command line interface."""
    fire.Fire(start, name="run")


if __name__ == "__main__":
    main()
