"""Tests of the process of a soak's daemon."""

import asyncio
import sys
from signal import SIGCONT, SIGHUP

from bench.soak.daemon_process import DaemonProcess, ProcessLife
from standins.forwarding.daemons import DaemonAddresses, DaemonSpec
from standins.proxy import Proxy

SLEEP = """
import signal, time
signal.signal(signal.SIGHUP, signal.SIG_DFL)
print("ready", flush=True)
time.sleep(60)
"""
SPEC = DaemonSpec("i1", "a", DaemonAddresses("", "", "", ""), "", (), "")


async def start_sleeping():
    """Start a process that SIGHUP ends, even where the tests ignore it."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", SLEEP, stdout=asyncio.subprocess.PIPE
    )
    assert await process.stdout.readline() == b"ready\n"
    return process


class TestDaemonProcess:
    def test_signal_leaves_the_exit_status_to_the_watcher(self, tmp_path):
        """Guards against status 255 for a daemon that a signal has ended."""

        async def run():
            daemon = DaemonProcess(SPEC, tmp_path, Proxy(""), Proxy(""))
            daemon.process = await start_sleeping()
            daemon.process.send_signal = None
            daemon.signal(SIGHUP)
            for _ in range(100):
                daemon.signal(SIGCONT)
            assert await daemon.process.wait() == -SIGHUP
            daemon.signal(SIGCONT)

        asyncio.run(run())

    def test_end_without_a_line_is_an_early_signal(self, tmp_path):
        """Guards against blaming a daemon for a signal before it runs."""

        async def run(writes):
            daemon = DaemonProcess(SPEC, tmp_path, Proxy(""), Proxy(""))
            log = tmp_path / "i1.log"
            log.write_text("event=instance_stopped\n")
            log_bytes = log.stat().st_size
            process = await start_sleeping()
            watch = asyncio.create_task(
                daemon._watch(process, ProcessLife(0.0), log_bytes)
            )
            if writes:
                log.write_text("event=instance_stopped\nevent=instance_started\n")
            process.send_signal(SIGHUP)
            await watch
            return daemon.early_signals, [item.status for item in daemon.exits]

        assert asyncio.run(run(writes=False)) == (1, [])
        assert asyncio.run(run(writes=True)) == (0, [-SIGHUP])
