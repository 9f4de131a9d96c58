"""Tests of the deploy file and the settings template."""

import tomllib
from pathlib import Path

from fescuekeel.components.metrics.server import PATH
from fescuekeel.helpers.settings import ForwardingSettings

ROOT = Path(__file__).parent.parent
# The last of the ports for communication between machines.
LAST_INTERNAL_PORT = 7395


class TestMetrics:
    def test_deploy_file_and_settings_name_the_same_port(self):
        """Otherwise the platform cannot scrape the instances' metrics."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        template = (ROOT / "deploy/settings.ini.tmpl").read_text("utf-8")
        endpoint = deploy["roles"]["forwarder"]["metrics"]
        assert endpoint == f"{LAST_INTERNAL_PORT}{PATH}"
        assert "metrics_address = {{ip}}:{{internal_ports.1}}" in template


class TestTemplate:
    def test_all_keys_are_known_settings(self):
        """An unknown key makes every instance reject its settings."""
        template = (ROOT / "deploy/settings.ini.tmpl").read_text("utf-8")
        section = template.split("[forwarding]")[1]
        keys = {
            line.split("=")[0].strip() for line in section.splitlines() if "=" in line
        }
        assert keys <= set(ForwardingSettings.__struct_fields__)
