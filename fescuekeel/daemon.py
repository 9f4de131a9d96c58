"""The daemon process of an instance."""

import signal

if __name__ == "__main__":
    # SIGHUP, which requests a settings reload, would terminate the process
    # until a handler is installed. The settings are read after the imports,
    # so ignoring it until then loses no change.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio
import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from returns.result import Failure as Err, Success

from fescuekeel import collector
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import LineDestination, log_event
from fescuekeel.helpers.loop_watchdog import LoopWatchdog, TurnSelector, make_loop
from fescuekeel.helpers.process_usage import count_descriptors, read_resident_bytes
from fescuekeel.helpers.settings import Settings, read_settings
from fescuekeel.messages import DrainRequested

__all__ = ["main", "run"]

EXIT_BAD_SETTINGS = 2
USAGE = "usage: fescuekeeld [--settings=]SETTINGS.ini\n"
# A file's modification time in nanoseconds and its size in bytes.
FileStamp = tuple[int, int]

# Polls the settings file, since it may change without a SIGHUP.
SETTINGS_POLL_INTERVAL_S = 2.0
SLOW_CLIENT_PERIOD_S = 1.0
# Longer than it takes to write the file, shorter than a restart of the daemon.
START_READS = 5
START_READ_INTERVAL_S = 0.1


async def run(
    settings: Settings,
    path: Path | None = None,
    file_stamp: FileStamp | None = None,
    selector: TurnSelector | None = None,
) -> None:
    """Run an instance until a signal or an operator stops it.

    The settings file at ``path`` is reloaded on SIGHUP and when it changes.
    ``file_stamp`` was taken before ``settings`` were read from the file, so
    that a change during the start is detected. With the ``selector`` of the
    event loop, the process ends when the loop is blocked.
    """
    instance = Instance(settings)
    add_process_gauges(instance)
    instance.keep_running(partial(close_slow_clients, instance), "slow_clients")
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        instance.record_stop_requested()
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    instance.bus.subscribe(DrainRequested, lambda message: request_stop())
    if path is not None:
        loop.add_signal_handler(signal.SIGHUP, reload_settings, instance, path)
        watch = partial(watch_settings, instance, path, file_stamp)
        instance.keep_running(watch, "settings")
    if selector is not None:
        instance.keep_running(LoopWatchdog(instance, selector).run, "loop_watchdog")
    await instance.start()
    collector.resume()
    log_event("instance_started", instance=instance.id)
    await stop_requested.wait()
    log_event("instance_stopping", instance=instance.id)
    await instance.stop()
    log_event(
        "instance_stopped",
        instance=instance.id,
        took_ms=round(instance.since_stop_requested_s * 1000),
    )


async def close_slow_clients(instance: Instance) -> None:
    """Close the connections of clients whose requests do not come on."""
    while True:
        await asyncio.sleep(SLOW_CLIENT_PERIOD_S)
        instance.client_resources.close_slow()


def add_process_gauges(instance: Instance) -> None:
    """Register what the process holds of its machine."""
    metrics = instance.metrics
    try:
        read_resident_bytes(), count_descriptors()
    except OSError as error:
        log_event("process_usage_unknown", error=str(error))
    else:
        metrics.add_gauge("process_memory_bytes", lambda: {"": read_resident_bytes()})
        metrics.add_gauge(
            "process_descriptors", lambda: {"": float(count_descriptors())}
        )
    resources = instance.client_resources
    metrics.add_gauge("client_connections", resources.count_by_phase)
    metrics.add_gauge("client_bytes", resources.read_bytes)


def reload_settings(instance: Instance, path: Path) -> None:
    """Reload the settings; keep the current ones if the file is invalid."""
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
    instance: Instance, path: Path, last_stamp: FileStamp | None = None
) -> None:
    """Reload the settings whenever the file changes."""
    last_stamp = last_stamp or _read_file_stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        file_stamp = _read_file_stamp(path)
        if file_stamp is not None and file_stamp != last_stamp:
            last_stamp = file_stamp
            reload_settings(instance, path)


def _read_file_stamp(path: Path) -> FileStamp | None:
    try:
        stat = path.stat()
    except OSError:
        # The file may be missing while it is being replaced.
        return None
    return stat.st_mtime_ns, stat.st_size


def read_initial_settings(path: Path) -> tuple[Settings, FileStamp | None]:
    """Return the settings and the file's stamp from before they were read.

    Guards against a file that is rewritten in place while the daemon starts:
    invalid settings are read again a few times before the daemon ends.
    """
    for _ in range(START_READS):
        file_stamp = _read_file_stamp(path)
        result = read_settings(path)
        if isinstance(result, Success):
            return result.unwrap(), file_stamp
        sys.stderr.write(f"fescuekeeld: {result.failure().detail}\n")
        time.sleep(START_READ_INTERVAL_S)
    raise SystemExit(EXIT_BAD_SETTINGS)


def start(settings_path: str) -> None:
    """Run the daemon with the settings file at this path."""
    path = Path(settings_path)
    settings, file_stamp = read_initial_settings(path)
    destination = LineDestination()
    destination.start()
    selector = TurnSelector()
    try:
        with asyncio.Runner(loop_factory=lambda: make_loop(selector)) as runner:
            runner.run(run(settings, path, file_stamp, selector))
    except Exception as error:
        log_event("instance_failed", error=repr(error))
        raise
    finally:
        destination.stop()


def main() -> None:
    """Parse the command line and run the daemon.

    Parsed by hand, since importing a command-line library would slow down
    every start.
    """
    arguments = sys.argv[1:]
    if arguments in (["-h"], ["--help"]):
        sys.stdout.write(USAGE)
        return
    settings_path = parse_args(arguments)
    if settings_path is None:
        sys.stderr.write(USAGE)
        raise SystemExit(EXIT_BAD_SETTINGS)
    start(settings_path)


def parse_args(arguments: Sequence[str]) -> str | None:
    """Return the path of the settings file, ``None`` for invalid arguments.

    >>> parse_args(["a.ini"]), parse_args(["--settings=a.ini"])
    ('a.ini', 'a.ini')
    >>> parse_args(["--settings", "a.ini"]), parse_args(["--port", "8"])
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
