"""Tests of draining a daemon over its operators' port."""

import hashlib
import os
import re
import signal
import subprocess
import sys
import time

import pytest
from tornado.httpclient import HTTPClient

from tests.common import SETTINGS

TOKEN = "operators-token"
NO_DIGEST = "0" * 64
TIMEOUT_S = 30
# An idle daemon stops at once, and waits two seconds for its log's reader.
MAX_STOP_S = 10.0
SLOW_READER_S = 0.5


@pytest.fixture
def daemon(tmp_path):
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    text = SETTINGS.format(id="i1", data_centre="dc1").replace(NO_DIGEST, digest)
    path = tmp_path / "settings.ini"
    path.write_text(text)
    code = "from fescuekeel.daemon import main; main()"
    arguments = [sys.executable, "-c", code, "--settings", str(path)]
    process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
    yield process
    process.kill()
    process.communicate(timeout=TIMEOUT_S)


class TestDrain:
    def test_a_drained_daemon_exits(self, daemon):
        address = ""
        for line in daemon.stdout:
            match = re.search(r"event=operators_listening address=(\S+)", line)
            address = match[1] if match else address
            if "event=instance_started" in line:
                break
        client = HTTPClient()
        response = client.fetch(
            f"http://{address}/drain",
            method="POST",
            body=b"",
            headers={"Authorization": f"Bearer {TOKEN}"},
        )
        client.close()
        assert response.code == 202
        output, _ = daemon.communicate(timeout=TIMEOUT_S)
        assert "event=instance_stopped" in output
        assert daemon.returncode == 0


def fill(pipe):
    """Write to a pipe of another process until it takes no more."""
    path = f"/proc/self/fd/{pipe.fileno()}"
    own = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
    try:
        while True:
            os.write(own, b"x")
    except BlockingIOError:
        return
    finally:
        os.close(own)


class TestBlockedLog:
    """Nobody reads what the daemon writes to its standard output."""

    def test_daemon_ends_in_time(self, daemon):
        # Guards against a daemon that its platform has to kill for its log.
        for line in daemon.stdout:
            if "event=instance_started" in line:
                break
        fill(daemon.stdout)
        began_at = time.monotonic()
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(TIMEOUT_S) == 0
        assert time.monotonic() - began_at < MAX_STOP_S

    def test_last_lines_wait_for_a_slow_reader(self, daemon):
        # Guards against a stop whose lines are lost as the log is read late.
        for line in daemon.stdout:
            if "event=instance_started" in line:
                break
        fill(daemon.stdout)
        daemon.send_signal(signal.SIGTERM)
        time.sleep(SLOW_READER_S)
        output, _ = daemon.communicate(timeout=TIMEOUT_S)
        assert "event=instance_stopping" in output
        assert "event=component_stopped" in output
        assert "event=instance_stopped" in output
