"""Run one daemon and count what wakes it: ``-m bench.wakeups.measured``.

The counts are written as JSON to a file when the daemon is told to stop.
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

# What differs from one object to the next of the same kind.
OBJECT = re.compile(r"(0x[0-9a-f]+|fd=\d+|Task-\d+)")


class CountingSelector(selectors.DefaultSelector):
    """Count how often the loop waits, and thus is woken."""

    def __init__(self) -> None:
        super().__init__()
        self.wakeups = 0

    def select(self, timeout: float | None = None) -> Any:
        """Wait as the selector does; what does not wait is no wake-up."""
        if timeout is None or timeout > 0:
            self.wakeups += 1
        return super().select(timeout)


class Tally:
    """Count callbacks by what they are, and the time that each takes."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.seconds: defaultdict[str, float] = defaultdict(float)

    def watch(self) -> None:
        """Replace the method by which asyncio runs each callback."""
        run = events.Handle._run

        def counted(handle: events.Handle) -> None:
            name = name_callback(handle)
            began = time.process_time()
            run(handle)
            self.calls[name] += 1
            self.seconds[name] += time.process_time() - began

        events.Handle._run = counted  # type: ignore[method-assign,assignment]


def name_callback(handle: Any) -> str:
    """Return the task's name, or the function's, of a callback."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {OBJECT.sub('', owner.get_name())}"
    return getattr(callback, "__qualname__", type(callback).__name__)


def main() -> None:
    """Run the daemon with the settings file given, then write the counts."""
    settings, target = Path(sys.argv[1]), Path(sys.argv[2])
    tally = Tally()
    tally.watch()
    selector = CountingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    began: dict[str, float] = {}

    async def run() -> None:
        loop.call_later(float(sys.argv[3]), settle)
        await daemon.run(read_settings(settings).unwrap())

    def settle() -> None:
        tally.calls.clear()
        tally.seconds.clear()
        selector.wakeups = 0
        began.update(wall=time.monotonic(), cpu=time.process_time())

    loop.run_until_complete(run())
    counts = {
        "seconds": time.monotonic() - began["wall"],
        "cpu_s": time.process_time() - began["cpu"],
        "wakeups": selector.wakeups,
        "calls": tally.calls,
        "cpu_by_cause": tally.seconds,
    }
    target.write_text(json.dumps(counts), "utf-8")


if __name__ == "__main__":
    main()
