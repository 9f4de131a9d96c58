"""Tests of reading the daemon's settings again."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from fescuekeel import daemon
from fescuekeel.core import Instance
from fescuekeel.helpers.settings import read_settings
from fescuekeel.messages import DrainRequested, SettingsReloaded
from tests.common import SETTINGS, eventually

TEXT = SETTINGS.format(id="i1", data_centre="dc1")


class TestReload:
    def make(self, tmp_path):
        path = tmp_path / "settings.ini"
        path.write_text(TEXT)
        instance = Instance(read_settings(path).unwrap())
        heard = []
        instance.bus.subscribe(SettingsReloaded, heard.append)
        return path, instance, heard

    def test_changed_settings_are_told(self, tmp_path):
        path, instance, heard = self.make(tmp_path)
        path.write_text(TEXT.replace("[platform]", "seeds = 127.0.0.1:9\n[platform]"))
        daemon.reload_settings(instance, path)
        assert instance.settings.peers.seeds == ("127.0.0.1:9",)
        assert len(heard) == 1

    def test_invalid_settings_leave_the_old_ones_in_force(self, tmp_path):
        path, instance, heard = self.make(tmp_path)
        path.write_text("[instance]")
        daemon.reload_settings(instance, path)
        assert instance.settings.instance.id == "i1"
        assert heard == []

    def test_signal_does_not_end_the_daemon(self, tmp_path, monkeypatch):
        """Every instance ended when the settings files were changed.

        The platform tells of the change by a signal that ends a process that
        does not handle it.
        """
        path = tmp_path / "settings.ini"
        path.write_text(TEXT)
        started = []

        async def start(self):
            started.append(self)

        async def stop(self):
            started.clear()

        monkeypatch.setattr(Instance, "start", start)
        monkeypatch.setattr(Instance, "stop", stop)

        async def work():
            settings = read_settings(path).unwrap()
            running = asyncio.ensure_future(daemon.run(settings, path))
            await eventually(lambda: started)
            instance = started[0]
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert not running.done()
            instance.bus.publish(DrainRequested("test"))
            await running

        asyncio.run(work())

    def test_change_during_the_start_is_read(self, tmp_path, monkeypatch):
        """Guards against a change that nobody reads."""
        monkeypatch.setattr(daemon, "SETTINGS_PERIOD_S", 0.01)
        path, instance, heard = self.make(tmp_path)
        stamp = daemon._read_stamp(path)
        path.write_text(TEXT.replace("[platform]", "seeds = 127.0.0.1:9\n[platform]"))

        async def work():
            watching = asyncio.ensure_future(
                daemon.watch_settings(instance, path, stamp)
            )
            await eventually(lambda: heard)
            watching.cancel()

        asyncio.run(work())


class TestReloadDuringTheStart:
    def test_signal_while_libraries_load_does_not_end_the_daemon(self, tmp_path):
        """Guards against a daemon that a change of its settings ends."""
        path = tmp_path / "settings.ini"
        path.write_text(TEXT)
        process = subprocess.Popen(
            [sys.executable, "-m", "fescuekeel.daemon", str(path)],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            self.wait_until_libraries_load(process)
            process.send_signal(signal.SIGHUP)
            assert any("event=instance_started" in line for line in process.stdout)
        finally:
            process.kill()
            process.communicate()

    def wait_until_libraries_load(self, process):
        maps = Path(f"/proc/{process.pid}/maps")
        deadline = time.monotonic() + 30.0
        while "_asyncio" not in maps.read_text():
            assert time.monotonic() < deadline
            time.sleep(0.001)
