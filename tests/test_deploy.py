"""Tests of the deploy file and the settings template."""

import configparser
import re
import tomllib
from pathlib import Path

import msgspec
from returns.pipeline import is_successful

from fescuekeel.components.metrics.server import PATH
from fescuekeel.helpers.settings import Settings, read_settings

ROOT = Path(__file__).parent.parent
# The last of the ports for communication between machines.
LAST_INTERNAL_PORT = 7395


def render_template():
    """Return the settings with each condition true and each value 1."""
    template = (ROOT / "deploy/settings.ini.tmpl").read_text("utf-8")
    lines = [line for line in template.splitlines() if not line.startswith("{{")]
    return re.sub(r"\{\{[^}]*\}\}", "1", "\n".join(lines)) + "\n"


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
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(render_template())
        sections = {item.name: item.type for item in msgspec.structs.fields(Settings)}
        for name in parser.sections():
            assert set(parser[name]) <= set(sections[name].__struct_fields__)

    def test_each_beginning_of_the_file_is_invalid(self, tmp_path):
        """Guards against starting with a part of a file that is being written.

        Sections with defaults come first, so that one with required keys is
        missing or incomplete until the whole file is written.
        """
        text = render_template()
        path = tmp_path / "settings.ini"
        path.write_text(text)
        assert is_successful(read_settings(path))
        for end in range(len(text)):
            path.write_text(text[:end])
            assert not is_successful(read_settings(path)), text[:end]
