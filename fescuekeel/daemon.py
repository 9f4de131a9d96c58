"""The daemon, the same on every instance."""

import signal

if __name__ == "__main__":
    # Loading the libraries takes a while, in which a signal to read the
    # settings again would end the process; they are read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from returns.result import Failure as Err

from fescuekeel import collector
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import LineDestination, log_event
from fescuekeel.helpers.settings import Settings, read_settings
from fescuekeel.messages import DrainRequested

__all__ = ["main", "run"]

EXIT_BAD_SETTINGS = 2
USAGE = "usage: fescuekeeld [--settings=]SETTINGS.ini\n"
# A file's time of change in nanoseconds, and its size in bytes.
Stamp = tuple[int, int]

# How often the settings file is looked at: it may change without a signal.
SETTINGS_PERIOD_S = 2.0


async def run(
    settings: Settings, path: Path | None = None, stamp: Stamp | None = None
) -> None:
    """Run one instance until it is told to stop.

    The settings file at ``path`` is read again on SIGHUP and when it changes.
    ``stamp`` is that of the file before ``settings`` were read from it.
    """
    instance = Instance(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    instance.bus.subscribe(DrainRequested, lambda asked: stopping.set())
    if path is not None:
        loop.add_signal_handler(signal.SIGHUP, reload_settings, instance, path)
        instance.spawn(watch_settings(instance, path, stamp), "settings")
    await instance.start()
    collector.resume()
    log_event("instance_started", instance=instance.id)
    await stopping.wait()
    log_event("instance_stopping", instance=instance.id)
    await instance.stop()
    log_event("instance_stopped", instance=instance.id)


def reload_settings(instance: Instance, path: Path) -> None:
    """Read the settings again; invalid ones leave the old in force."""
    result = read_settings(path)
    if isinstance(result, Err):
        instance.metrics.count("reload.refused")
        log_event("reload", outcome="refused", detail=result.failure().detail)
        return
    settings = result.unwrap()
    if settings == instance.settings:
        log_event("reload", outcome="unchanged", detail="")
        return
    instance.metrics.count("reload.taken")
    instance.reload(settings)
    log_event("reload", outcome="taken", detail="")


async def watch_settings(
    instance: Instance, path: Path, seen: Stamp | None = None
) -> None:
    """Read the settings again whenever the file has another stamp."""
    seen = seen or _read_stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_PERIOD_S)
        stamp = _read_stamp(path)
        if stamp is not None and stamp != seen:
            seen = stamp
            reload_settings(instance, path)


def _read_stamp(path: Path) -> Stamp | None:
    try:
        stat = path.stat()
    except OSError:
        # A file that is being replaced is looked at again.
        return None
    return stat.st_mtime_ns, stat.st_size


def start(settings: str) -> None:
    """Start the daemon with the INI file SETTINGS."""
    path = Path(settings)
    stamp = _read_stamp(path)
    result = read_settings(path)
    if isinstance(result, Err):
        sys.stderr.write(f"fescuekeeld: {result.failure().detail}\n")
        raise SystemExit(EXIT_BAD_SETTINGS)
    destination = LineDestination()
    destination.start()
    try:
        asyncio.run(run(result.unwrap(), path, stamp))
    finally:
        destination.stop()


def main() -> None:
    """Read the command line: the path of the settings file and nothing else.

    By hand, since loading a library for it would make each start longer.
    """
    arguments = sys.argv[1:]
    if arguments in (["-h"], ["--help"]):
        sys.stdout.write(USAGE)
        return
    settings = find_settings(arguments)
    if settings is None:
        sys.stderr.write(USAGE)
        raise SystemExit(EXIT_BAD_SETTINGS)
    start(settings)


def find_settings(arguments: Sequence[str]) -> str | None:
    """Return the path that the command line names, ``None`` if it is wrong.

    >>> find_settings(["a.ini"]), find_settings(["--settings=a.ini"])
    ('a.ini', 'a.ini')
    >>> find_settings(["--settings", "a.ini"]), find_settings(["--port", "8"])
    ('a.ini', None)
    """
    match arguments:
        case ["--settings", path] | [path] if not path.startswith("-"):
            return path
        case [option] if option.startswith("--settings="):
            return option.removeprefix("--settings=") or None
    return None


if __name__ == "__main__":
    main()
