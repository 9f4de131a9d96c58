"""The daemon, the same on every instance."""

import asyncio
import signal
import sys
from pathlib import Path

import fire
from returns.pipeline import is_successful

from fescuekeel.core import Instance
from fescuekeel.helpers.logging import LineDestination, log_event
from fescuekeel.helpers.settings import Settings, read_settings
from fescuekeel.messages import DrainRequested

__all__ = ["main", "run"]

EXIT_BAD_SETTINGS = 2


async def run(settings: Settings) -> None:
    """Run one instance until it is told to stop."""
    instance = Instance(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    instance.bus.subscribe(DrainRequested, lambda asked: stopping.set())
    await instance.start()
    log_event("instance_started", instance=instance.id)
    await stopping.wait()
    await instance.stop()
    log_event("instance_stopped", instance=instance.id)


def start(settings: str) -> None:
    """Start the daemon with the INI file SETTINGS."""
    result = read_settings(Path(str(settings)))
    if not is_successful(result):
        sys.stderr.write(f"fescuekeeld: {result.failure().detail}\n")
        raise SystemExit(EXIT_BAD_SETTINGS)
    destination = LineDestination()
    destination.start()
    try:
        asyncio.run(run(result.unwrap()))
    finally:
        destination.stop()


def main() -> None:
    """Read the command line."""
    fire.Fire(start, name="fescuekeeld")


if __name__ == "__main__":
    main()
