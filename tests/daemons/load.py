"""Tree published by the tests of daemons, and load for its services."""

import asyncio
import hashlib
from collections.abc import Sequence
from itertools import count, cycle

from fescuekeel.components.tree.model import Pool, PoolKind
from standins.load import Caller, Result, SampleRequest, Verdict
from tests.common import eventually

__all__ = ["POOLS", "TOKEN", "Load", "make_tree"]

TOKEN = "magic"
ADAPTERS = 6
CALLER_TIMEOUT_S = 30.0
COMPLETIONS = "/v1/completions"
SERVICES = ("patter", "quote", "report", "stock", "charge")
NUMBERS = count()

POOLS = (
    Pool("fenced", PoolKind.ENGINE, fenced=True, slots=3, load_s=0.1),
    Pool("unfenced", PoolKind.ENGINE, fenced=False, slots=3, load_s=0.1),
    Pool("store", PoolKind.PLAIN),
)
TREE = """
[shop tricks]
token_sha256 = {digest}
answer_s = 15
retry_share = 1

[pool fenced]
kind = engine
fenced = yes
slots = 3
load_s = 0.1

[pool unfenced]
kind = engine
slots = 3
load_s = 0.1

[pool store]
kind = plain

[service tricks/patter]
pool = fenced

[roster tricks/patter]
names =
{names}

[service tricks/quote]
pool = fenced
repeatable = no

[roster tricks/quote]
names =
{names}

[service tricks/report]
pool = unfenced

[roster tricks/report]
names =
{names}

[service tricks/stock]
pool = store

[service tricks/charge]
pool = store
repeatable = no
"""


def make_tree(version: int = 1) -> dict[str, bytes]:
    """Return a tree that lists every adapter in one version."""
    names = "\n".join(f"    a{number} {version}" for number in range(ADAPTERS))
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    return {"main": TREE.format(digest=digest, names=names).encode()}


def make_request(number: int, service: str, tokens: int = 24) -> SampleRequest:
    """Return a request to one of the tree's services."""
    marker = f"sample-{number:05}"
    is_plain = service in ("stock", "charge")
    adapter = "" if is_plain else f"a{number % ADAPTERS}"
    return SampleRequest(
        marker=marker,
        shop="tricks",
        service=service,
        token=TOKEN,
        due_s=0.0,
        timeout_s=CALLER_TIMEOUT_S,
        repeatable=service not in ("quote", "charge"),
        model=f"{service}/{adapter}" if adapter else "",
        served_by=f"{adapter}@1" if adapter else "",
        prompt=f"{marker} for {adapter}" if adapter else "",
        max_tokens=tokens,
        stream=service in ("patter", "report") and number % 3 != 0,
        path=f"/services/{service}/x?marker={marker}" if is_plain else COMPLETIONS,
    )


class Load:
    """Sends requests at a fixed rate until it is stopped."""

    def __init__(
        self,
        addresses: Sequence[str],
        per_s: float = 40.0,
        tokens: int = 24,
        services: Sequence[str] = SERVICES,
    ) -> None:
        self.caller = Caller(addresses)
        self.results: list[Result] = []
        self._period_s = 1.0 / per_s
        self._tokens = tokens
        self._services = services
        self.sent_by_marker: dict[str, SampleRequest] = {}
        self._sends: list[asyncio.Task[Result]] = []
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        for number, service in zip(NUMBERS, cycle(self._services)):
            self.send(make_request(number, service, self._tokens))
            await asyncio.sleep(self._period_s)

    def send(self, request: SampleRequest, address: str = "") -> None:
        """Send one request in the background."""
        self.sent_by_marker[request.marker] = request
        self._sends.append(asyncio.ensure_future(self._send(request, address)))

    async def _send(self, request: SampleRequest, address: str) -> Result:
        result = await self.caller.send(request, address)
        self.results.append(result)
        return result

    async def wait_for_answers(self, answered: int) -> None:
        """Wait until a number of the requests sent from now on succeed."""
        sent = len(self._sends)
        await eventually(lambda: len(self._answered(sent)) >= answered)

    def _answered(self, start: int) -> list[Result]:
        done = [task.result() for task in self._sends[start:] if task.done()]
        return [item for item in done if item.verdict is Verdict.ANSWERED]

    def list_unfinished(self) -> set[str]:
        """Return the markers of the requests without a result yet."""
        ended = {result.request.marker for result in self.results}
        return self.sent_by_marker.keys() - ended

    def pause(self) -> None:
        """Stop sending new requests."""
        self._task.cancel()

    async def stop(self) -> list[Result]:
        """Stop sending, and return all results."""
        self.pause()
        return list(await asyncio.gather(*self._sends))
