"""Tests of the modules that a daemon imports at its start."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Libraries of the command-line tool, of the other interface or of tests, each
# of which would delay the start noticeably.
UNNEEDED = {"eliot", "fire", "pydantic", "tornado.web", "jinja2", "pytest"}
LIST_MODULES = """
import importlib, json, sys
sys.path.append("platform")
import fescuekeel.daemon
from fescuekeel.core import read_manifests, select_manifests
for domain in select_manifests(read_manifests(), "forwarding"):
    importlib.import_module(f"fescuekeel.components.{domain}")
import fescuekeel_platform
print(json.dumps(list(sys.modules)))
"""


class TestForwardingDaemon:
    def test_no_unneeded_library_is_imported(self):
        """Slow imports prolong an outage in which all instances restart."""
        run = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        imported = set(json.loads(run.stdout))
        assert imported & UNNEEDED == set()
