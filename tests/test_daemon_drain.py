"""Tests of draining a daemon over its operators' port."""

import hashlib
import re
import subprocess
import sys

import pytest
from tornado.httpclient import HTTPClient

from tests.common import SETTINGS

TOKEN = "operators-token"
NO_DIGEST = "0" * 64
TIMEOUT_S = 30


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
