"""Tests of reloading the daemon's settings."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from fescuekeel import daemon
from fescuekeel.core import Instance
from fescuekeel.helpers.settings import read_settings
from fescuekeel.messages import DrainRequested, SettingsReloaded
from tests.common import SETTINGS, eventually

TEXT = SETTINGS.format(id="i1", data_centre="dc1")


class TestReload:
    def make_instance(self, tmp_path):
        path = tmp_path / "settings.ini"
        path.write_text(TEXT)
        instance = Instance(read_settings(path).unwrap())
        reloads = []
        instance.bus.subscribe(SettingsReloaded, reloads.append)
        return path, instance, reloads

    def test_changed_settings_are_announced(self, tmp_path):
        path, instance, reloads = self.make_instance(tmp_path)
        path.write_text(TEXT.replace("[platform]", "seeds = 127.0.0.1:9\n[platform]"))
        daemon.reload_settings(instance, path)
        assert instance.settings.peers.seeds == ("127.0.0.1:9",)
        assert len(reloads) == 1

    def test_invalid_settings_are_not_applied(self, tmp_path):
        path, instance, reloads = self.make_instance(tmp_path)
        path.write_text("[instance]")
        daemon.reload_settings(instance, path)
        assert instance.settings.instance.id == "i1"
        assert reloads == []

    def test_sighup_does_not_terminate_the_daemon(self, tmp_path, monkeypatch):
        """The platform announces changed settings by SIGHUP.

        Its default action is to terminate the process.
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

    def test_change_during_the_start_is_reloaded(self, tmp_path, monkeypatch):
        """A change after the first read of the file must not be missed."""
        monkeypatch.setattr(daemon, "SETTINGS_POLL_INTERVAL_S", 0.01)
        path, instance, reloads = self.make_instance(tmp_path)
        file_stamp = daemon._read_file_stamp(path)
        path.write_text(TEXT.replace("[platform]", "seeds = 127.0.0.1:9\n[platform]"))

        async def work():
            watching = asyncio.ensure_future(
                daemon.watch_settings(instance, path, file_stamp)
            )
            await eventually(lambda: reloads)
            watching.cancel()

        asyncio.run(work())


class TestSettingsAtTheStart:
    def test_file_that_is_being_written_is_read_again(self, tmp_path, monkeypatch):
        """Guards against ending when the settings are rewritten in place."""
        path = tmp_path / "settings.ini"
        contents = iter(["", TEXT[:200], TEXT])
        path.write_text("")
        monkeypatch.setattr(
            daemon.time, "sleep", lambda _: path.write_text(next(contents))
        )
        settings, file_stamp = daemon.read_initial_settings(path)
        assert settings.instance.id == "i1"
        assert file_stamp == daemon._read_file_stamp(path)

    def test_lasting_error_ends_the_daemon(self, tmp_path, monkeypatch, capsys):
        path = tmp_path / "settings.ini"
        path.write_text("[instance]\n")
        monkeypatch.setattr(daemon, "START_READ_INTERVAL_S", 0.0)
        with pytest.raises(SystemExit) as error:
            daemon.read_initial_settings(path)
        assert error.value.code == daemon.EXIT_BAD_SETTINGS
        lines = capsys.readouterr().err.splitlines()
        assert lines == ["fescuekeeld: instance.id: missing key"] * daemon.START_READS


class TestReloadDuringTheStart:
    def test_sighup_during_imports_does_not_terminate_the_daemon(self, tmp_path):
        path = tmp_path / "settings.ini"
        path.write_text(TEXT)
        process = subprocess.Popen(
            [sys.executable, "-m", "fescuekeel.daemon", str(path)],
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            self.wait_until_imports_run(process)
            process.send_signal(signal.SIGHUP)
            assert any("event=instance_started" in line for line in process.stdout)
        finally:
            process.kill()
            process.communicate()

    def wait_until_imports_run(self, process):
        maps = Path(f"/proc/{process.pid}/maps")
        deadline = time.monotonic() + 30.0
        while "_asyncio" not in maps.read_text():
            assert time.monotonic() < deadline
            time.sleep(0.001)
