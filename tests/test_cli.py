"""Tests of the command-line tool for operators."""

import asyncio
import json
import sys
import threading

import pytest

from fescuekeel import cli
from fescuekeel.components.operators.server import OperatorsServer
from tests.components.operators.test_server import TOKEN, make_instance
from tests.components.tree.common import make_contents


def run_tool(monkeypatch, capsys, *arguments):
    """Run the tool and return its exit code, standard output and error."""
    monkeypatch.setattr(sys, "argv", ["fescuekeel", *arguments])
    code = 0
    try:
        cli.main()
    except SystemExit as stop:
        code = stop.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.fixture
def run(monkeypatch, capsys):
    return lambda *arguments: run_tool(monkeypatch, capsys, *arguments)


@pytest.fixture
def tree(tmp_path):
    for name, content in make_contents().items():
        (tmp_path / f"{name}.ini").write_bytes(content)
    return tmp_path


@pytest.fixture
def operators_server(monkeypatch):
    """Serve the operators' port of an instance in a separate thread."""
    loop = asyncio.new_event_loop()
    server = OperatorsServer(make_instance())

    async def call(work):
        await work()

    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(call(server.start), loop).result(10)
    monkeypatch.setenv(cli.ENV_URL, f"http://{server.address}")
    monkeypatch.setenv(cli.ENV_TOKEN, TOKEN)
    yield server
    asyncio.run_coroutine_threadsafe(call(server.stop), loop).result(10)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(10)
    loop.close()


class TestCheck:
    def test_a_valid_tree_exits_with_zero(self, run, tree):
        code, out, err = run("check", str(tree), "--json")
        assert (code, err) == (0, "")
        assert json.loads(out)["adapters_by_service"]["tricks/scripts"] == 2

    def test_an_invalid_tree_reports_every_invalid_part(self, run, tree):
        (tree / "main.ini").write_text("[pool p]\nkind = other\n")
        (tree / "roster.ini").write_text("[roster a/b]\nnames = lonely\n")
        code, out, err = run("check", str(tree))
        assert (code, out) == (1, "")
        assert "part main, section [pool p], key kind" in err
        assert "part roster, section [roster a/b], key names" in err

    def test_a_directory_without_parts_is_a_usage_error(self, run, tmp_path):
        code, _, err = run("check", str(tmp_path))
        assert code == 2
        assert "no .ini files" in err

    def test_manifest_is_printed_for_a_valid_revision_only(self, run, tree):
        code, out, _ = run("manifest", str(tree), "7")
        assert code == 0
        assert "revision = 7" in out
        assert run("manifest", str(tree), "zero")[0] == 2


class TestInstance:
    @pytest.mark.parametrize("command", ["show", "explain"])
    def test_a_version_is_not_parsed_as_a_number(self, run, operators_server, command):
        """Version 1.10 must not become 1.1."""
        arguments = ("tricks", "scripts", "cups")
        code, out, _ = run(command, *arguments, "--version=1.10", "--json")
        assert code == 0
        assert "1.10" in out
        code, out, _ = run(command, *arguments, "1.9", "--json")
        assert code == 0
        assert "1.9" in out

    def test_an_error_is_written_to_standard_error(self, run, operators_server):
        code, out, err = run("explain", "tricks", "scripts", "cups", "1.1")
        assert (code, out) == (1, "")
        assert "unknown_version" in err

    @pytest.mark.parametrize("command", ["status", "counters"])
    def test_output_is_text_without_the_json_flag(self, run, operators_server, command):
        code, out, _ = run(command)
        assert code == 0
        assert not out.startswith("{")

    def test_drain_is_accepted(self, run, operators_server):
        assert run("drain", "--json")[:2] == (0, '{"draining": true}\n')

    def test_a_missing_token_is_a_usage_error(self, run, monkeypatch):
        monkeypatch.delenv(cli.ENV_TOKEN, raising=False)
        assert run("status")[0] == 2

    def test_an_unreachable_instance_exits_with_one(
        self, run, operators_server, monkeypatch
    ):
        monkeypatch.setenv(cli.ENV_URL, "http://127.0.0.1:1")
        code, _, err = run("status")
        assert code == 1
        assert "127.0.0.1:1" in err or "refused" in err.lower()


class TestHelp:
    def test_all_commands_are_listed(self, run):
        code, out, messages = run("--help")
        assert code == 0
        commands = [name for name in vars(cli.Tool) if not name.startswith("_")]
        assert len(commands) > 5
        assert [name for name in commands if name not in out + messages] == []


class TestLosses:
    LINE = "event=request_ended request_id=a route=r first_ms=9 outcome=answered"

    def test_routes_are_shown(self, run, tmp_path):
        path = tmp_path / "i1.log"
        path.write_text(f"{self.LINE}\n")
        code, out, _ = run("losses", str(path), "--json")
        assert code == 0
        assert json.loads(out)["routes"]["r"]["on_time"] == 1

    @pytest.mark.parametrize("arguments", [(), ("/none.log",)])
    def test_missing_files_are_reported(self, run, arguments):
        code, _, err = run("losses", *arguments)
        assert code != 0
        assert "log file" in err or "/none.log" in err
