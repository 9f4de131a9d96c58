"""Check API keys and rate limits of client accounts on running daemons."""

import asyncio
import secrets
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from standins.forwarding.caller import make_headers
from standins.forwarding.platform import StandInPlatform, make_configuration

__all__ = ["AccountCheck", "check_accounts"]

ACCOUNT = "sample-account"
VALID_KEY, REVOKED_KEY = "sample-key-kept", "sample-key-taken"
RATE_PER_S, BURST = 1.0, 3.0
REQUESTS = 40
# Upper bound for a configuration to reach all instances.
PROPAGATION_S = 3.0
TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class AccountCheck:
    """The statuses that callers got, and the runs of the account."""

    unknown: int
    limited: Counter[int]
    revoked: int
    runs: int

    def format_line(self) -> str:
        """Return one line of key=value pairs."""
        return (
            f"unknown_key={self.unknown} taken_key={self.revoked}"
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


async def check_accounts(
    platform: StandInPlatform, callers: Sequence[str], client: AsyncHTTPClient
) -> AccountCheck:
    """Send requests with an unknown key, over a limit, with a revoked key."""

    async def send_lookup(number: int, key: str) -> int:
        headers = dict(make_headers(secrets.token_hex(8), TIMEOUT_S, key=key))
        response = await client.fetch(
            f"http://{callers[number % len(callers)]}/lookup/{number}",
            headers=headers,
            raise_error=False,
        )
        return int(response.code)

    _configure(platform, 2, VALID_KEY, REVOKED_KEY)
    await asyncio.sleep(PROPAGATION_S)
    unknown = await send_lookup(0, "made-up")
    limited = Counter(
        [await send_lookup(number, REVOKED_KEY) for number in range(REQUESTS)]
    )
    _configure(platform, 3, VALID_KEY)
    await asyncio.sleep(PROPAGATION_S)
    revoked = await send_lookup(0, REVOKED_KEY)
    runs = sum(
        record.account == ACCOUNT
        for worker in platform.workers_by_id.values()
        for record in worker.records
    )
    return AccountCheck(unknown, limited, revoked, runs)
