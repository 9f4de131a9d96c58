"""Run one daemon and count its wake-ups: ``-m bench.wakeups.measured``.

The counts are written to a JSON file when the daemon stops.
"""

import asyncio
import json
import re
import selectors
import sys
import time
from asyncio import events
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from fescuekeel import daemon
from fescuekeel.helpers.settings import read_settings

__all__ = ["main"]

# Addresses and numbers that differ between objects of a kind.
OBJECT_IDENTITY = re.compile(r"(0x[0-9a-f]+|fd=\d+|Task-\d+)")


class CountingSelector(selectors.DefaultSelector):
    """Count the wake-ups of the event loop."""

    def __init__(self) -> None:
        super().__init__()
        self.wakeups = 0

    def select(self, timeout: float | None = None) -> Any:
        """Count calls that may block; polls are not wake-ups."""
        if timeout is None or timeout > 0:
            self.wakeups += 1
        return super().select(timeout)


class CallbackStats:
    """Calls and processor time by callback name."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.seconds: defaultdict[str, float] = defaultdict(float)

    def install(self) -> None:
        """Patch the asyncio method that runs each callback."""
        run = events.Handle._run

        def counted(handle: events.Handle) -> None:
            name = get_callback_name(handle)
            started_at = time.process_time()
            run(handle)
            self.calls[name] += 1
            self.seconds[name] += time.process_time() - started_at

        events.Handle._run = counted  # type: ignore[method-assign,assignment]


def get_callback_name(handle: Any) -> str:
    """Return the name of the task or function that a callback runs."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {OBJECT_IDENTITY.sub('', owner.get_name())}"
    return getattr(callback, "__qualname__", type(callback).__name__)


def main() -> None:
    """Run the daemon with the given settings file, then write the counts."""
    settings, target = Path(sys.argv[1]), Path(sys.argv[2])
    stats = CallbackStats()
    stats.install()
    selector = CountingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    started_at: dict[str, float] = {}

    async def run() -> None:
        loop.call_later(float(sys.argv[3]), reset_counts)
        await daemon.run(read_settings(settings).unwrap())

    def reset_counts() -> None:
        stats.calls.clear()
        stats.seconds.clear()
        selector.wakeups = 0
        started_at.update(wall=time.monotonic(), cpu=time.process_time())

    loop.run_until_complete(run())
    counts = {
        "seconds": time.monotonic() - started_at["wall"],
        "cpu_s": time.process_time() - started_at["cpu"],
        "wakeups": selector.wakeups,
        "calls": stats.calls,
        "cpu_by_cause": stats.seconds,
    }
    target.write_text(json.dumps(counts), "utf-8")


if __name__ == "__main__":
    main()
