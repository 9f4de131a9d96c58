"""Tests of what a daemon loads before it can serve."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Libraries of the tool, of the other interface, or of tests: each would add
# a tenth or more to the time in which a daemon starts.
UNWANTED = {"eliot", "fire", "pydantic", "tornado.web", "jinja2", "pytest"}
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
    def test_it_loads_no_library_that_it_does_not_need(self):
        """Callers waited for seconds after all instances had lost power.

        Each loaded a library of models and one of command lines first, on
        half of a core.
        """
        run = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            cwd=ROOT,
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(json.loads(run.stdout))
        assert loaded & UNWANTED == set()
