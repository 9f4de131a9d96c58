"""Show on running daemons how keys and limits of client accounts are met."""

import asyncio
import secrets
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from standins.forwarding.caller import make_headers
from standins.forwarding.platform import StandInPlatform, make_configuration

__all__ = ["AccountShow", "show_accounts"]

ACCOUNT = "sample-account"
KEPT_KEY, TAKEN_KEY = "sample-key-kept", "sample-key-taken"
RATE_PER_S, BURST = 1.0, 3.0
REQUESTS = 40
# A configuration is in force everywhere within this.
IN_FORCE_S = 3.0
TIME_LEFT_S = 3.0


@dataclass(frozen=True, slots=True)
class AccountShow:
    """The statuses that callers got, and how many runs of the account."""

    unknown: int
    limited: Counter[int]
    taken: int
    runs: int

    def format_line(self) -> str:
        """Return one line of key=value pairs."""
        return (
            f"unknown_key={self.unknown} taken_key={self.taken}"
            f" served={self.limited[200]} over_limit={self.limited[429]}"
            f" runs={self.runs}"
        )


def _configure(platform: StandInPlatform, version: int, *keys: str) -> None:
    account = {
        "name": ACCOUNT,
        "api_keys": list(keys),
        "rate_per_s": RATE_PER_S,
        "burst": BURST,
    }
    configuration = make_configuration(version) | {"tenants": [account]}
    platform.publish_configuration(configuration)


async def show_accounts(
    platform: StandInPlatform, callers: Sequence[str], client: AsyncHTTPClient
) -> AccountShow:
    """Ask with an unknown key, beyond a limit, and with a key taken away."""

    async def ask(number: int, key: str) -> int:
        headers = dict(make_headers(secrets.token_hex(8), TIME_LEFT_S, key=key))
        answer = await client.fetch(
            f"http://{callers[number % len(callers)]}/lookup/{number}",
            headers=headers,
            raise_error=False,
        )
        return int(answer.code)

    _configure(platform, 2, KEPT_KEY, TAKEN_KEY)
    await asyncio.sleep(IN_FORCE_S)
    unknown = await ask(0, "made-up")
    limited = Counter([await ask(number, TAKEN_KEY) for number in range(REQUESTS)])
    _configure(platform, 3, KEPT_KEY)
    await asyncio.sleep(IN_FORCE_S)
    taken = await ask(0, TAKEN_KEY)
    runs = sum(
        record.account == ACCOUNT
        for worker in platform.workers_by_id.values()
        for record in worker.records
    )
    return AccountShow(unknown, limited, taken, runs)
