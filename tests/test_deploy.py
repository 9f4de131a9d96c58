"""Tests of the deploy file and the template of settings."""

import tomllib
from pathlib import Path

from fescuekeel.components.metrics.server import PATH
from fescuekeel.helpers.settings import ForwardingSettings

ROOT = Path(__file__).parent.parent
# The last of the ports that are free for communication between machines.
LAST_INTERNAL_PORT = 7395


class TestMetrics:
    def test_deploy_file_names_where_the_settings_serve_them(self):
        """An incident's tables had none of the instances' own metrics."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        template = (ROOT / "deploy/settings.ini.tmpl").read_text("utf-8")
        named = deploy["roles"]["forwarder"]["metrics"]
        assert named == f"{LAST_INTERNAL_PORT}{PATH}"
        assert "metrics_address = {{ip}}:{{internal_ports.1}}" in template


class TestTemplate:
    def test_each_line_is_a_known_setting(self):
        """All instances refused their settings for one misspelt key."""
        template = (ROOT / "deploy/settings.ini.tmpl").read_text("utf-8")
        section = template.split("[forwarding]")[1]
        keys = {
            line.split("=")[0].strip() for line in section.splitlines() if "=" in line
        }
        assert keys <= set(ForwardingSettings.__struct_fields__)
