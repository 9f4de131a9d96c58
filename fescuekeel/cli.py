"""The command-line tool for operators."""

import json
import os
import sys
from pathlib import Path
from typing import Any

import fire
from fire import decorators
from returns.result import Success
from tornado.httpclient import HTTPClient, HTTPClientError, HTTPRequest
from tornado.httputil import url_concat

from fescuekeel.components.tree.intent import CompactIntent, build_intent
from fescuekeel.components.tree.parts import TreePartModel, parse_part
from fescuekeel.components.tree.revision import format_manifest
from fescuekeel.helpers.losses import Losses, read_losses
from fescuekeel.helpers.losses_view import make_view, plot_losses
from fescuekeel.helpers.table import format_view
from fescuekeel.helpers.trace import trace_request

__all__ = ["Tool", "ToolError", "main"]

ENV_URL = "FESCUEKEEL_URL"
ENV_TOKEN = "FESCUEKEEL_TOKEN"
DEFAULT_URL = "http://127.0.0.1:7100"
EXIT_FAILED = 1
EXIT_USAGE = 2
TIMEOUT_S = 10.0
PART_SUFFIX = ".ini"

# Fire parses arguments as Python literals by default, which would turn the
# version 1.10 into the number 1.1 and the adapter 007 into 7.
as_text = decorators.SetParseFn(str)


class ToolError(Exception):
    """A command failed; carries the message and the exit code."""

    def __init__(self, text: str, code: int = EXIT_FAILED) -> None:
        super().__init__(text)
        self.code = code


class Tool:
    """Validate a tree, inspect a running instance and analyse its logs.

    Commands: check DIRECTORY, manifest DIRECTORY REVISION, show, explain SHOP
    SERVICE, status, counters, drain, trace REQUEST_ID FILE..., losses FILE...;
    run COMMAND --help for details.

    Commands that query an instance take its operators' address from --url or
    FESCUEKEEL_URL. The operators' token is read from FESCUEKEEL_TOKEN only,
    since other users of the machine can read command-line arguments.
    """

    def __init__(self, url: str = "", json: bool = False) -> None:
        self._url = url or os.environ.get(ENV_URL, DEFAULT_URL)
        self._json = json

    @as_text
    def check(self, directory: str) -> None:
        """Validate the tree in DIRECTORY before publishing it."""
        contents = _read_parts(Path(directory))
        intent = _build_intent(contents)
        services = {path: intent.count_adapters(path) for path in intent.service_paths}
        view = {
            "valid": True,
            "parts": {name: len(content) for name, content in contents.items()},
            "pools": list(intent.pools_by_name),
            "adapters_by_service": services,
        }
        self._print(view)

    @as_text
    def manifest(self, directory: str, revision: str) -> None:
        """Print the manifest that publishes DIRECTORY as REVISION."""
        if not revision.isdecimal() or int(revision) < 1:
            raise ToolError("REVISION must be a positive integer", EXIT_USAGE)
        contents = _read_parts(Path(directory))
        _build_intent(contents)
        sys.stdout.write(format_manifest(int(revision), contents))

    @as_text
    def trace(self, request_id: str, *files: str) -> None:
        """Show the log lines of a request in the log FILES of instances."""
        if not files:
            raise ToolError("name at least one log file", EXIT_USAGE)
        trace = trace_request(request_id, [(name, _read_lines(name)) for name in files])
        for line in (*trace.request_lines, *trace.context_lines):
            sys.stdout.write(f"{line.file}:{line.number}: {line.text}\n")
        sys.stdout.write(f"cause: {trace.cause}\n")
        if not trace.request_lines:
            raise ToolError(f"no log lines found for request {request_id}")

    @as_text
    def losses(self, *files: str, plot: str = "") -> None:
        """Show where requests lost time, from the log FILES of instances.

        For each route: how many requests were answered on time, answered
        late, refused or failed, and the phase in which most of those not on
        time spent their time. Then the refusals, and the adapter loads with
        their waits. --plot PATH also writes a PNG chart.
        """
        if not files:
            raise ToolError("name at least one log file", EXIT_USAGE)
        losses = read_losses((name, _read_lines(name)) for name in files)
        if not losses.routes_by_name:
            raise ToolError("no finished requests found in the log files")
        self._print(make_view(losses))
        if plot:
            _plot(losses, Path(plot))

    @as_text
    def show(
        self, shop: str = "", service: str = "", adapter: str = "", version: str = ""
    ) -> None:
        """Show the current tree revision and the policy for a request."""
        self._print(self._get("/tree", shop, service, adapter, version))

    @as_text
    def explain(
        self, shop: str, service: str, adapter: str = "", version: str = ""
    ) -> None:
        """Show where a request would be routed, and why."""
        self._print(self._get("/explain", shop, service, adapter, version))

    def status(self) -> None:
        """Show members, endpoints, owners and queues."""
        self._print(self._send_request("GET", "/status"))

    @as_text
    def counters(self, prefix: str = "") -> None:
        """Show counters and durations whose names begin with PREFIX."""
        view = self._send_request("GET", "/counters")
        selected = {
            kind: {
                name: value for name, value in values.items() if name.startswith(prefix)
            }
            for kind, values in view.items()
        }
        self._print(selected)

    def drain(self) -> None:
        """Shut the instance down gracefully."""
        self._print(self._send_request("POST", "/drain"))

    def _get(
        self, path: str, shop: str, service: str, adapter: str, version: str
    ) -> dict[str, Any]:
        parameters = {
            "shop": shop,
            "service": service,
            "adapter": adapter,
            "version": version,
        }
        query = {name: value for name, value in parameters.items() if value}
        return self._send_request("GET", url_concat(path, query))

    def _send_request(self, method: str, path: str) -> dict[str, Any]:
        token = os.environ.get(ENV_TOKEN, "")
        if not token:
            raise ToolError(f"{ENV_TOKEN} is not set", EXIT_USAGE)
        request = HTTPRequest(
            self._url.rstrip("/") + path,
            method=method,
            headers={"Authorization": f"Bearer {token}"},
            body=b"" if method == "POST" else None,
            follow_redirects=False,
            request_timeout=TIMEOUT_S,
        )
        client = HTTPClient()
        try:
            return json.loads(client.fetch(request).body)
        except HTTPClientError as error:
            raise ToolError(_format_error(error)) from error
        except (OSError, ValueError) as error:
            raise ToolError(f"{self._url}: {error}") from error
        finally:
            client.close()

    def _print(self, view: dict[str, Any]) -> None:
        if self._json:
            sys.stdout.write(json.dumps(view) + "\n")
            return
        sys.stdout.write(format_view(view))


def _format_error(error: HTTPClientError) -> str:
    body = error.response.body if error.response else b""
    try:
        failure = json.loads(body)["error"]
        return f"{failure['kind']}: {failure['text']}"
    except (ValueError, KeyError, TypeError):
        return f"{error.code} {error.message}"


def _read_lines(name: str) -> list[str]:
    try:
        return Path(name).read_text("utf-8", errors="replace").splitlines()
    except OSError as error:
        raise ToolError(str(error)) from error


def _plot(losses: Losses, path: Path) -> None:
    try:
        plot_losses(losses, path)
    except ImportError as error:
        raise ToolError(f"--plot requires matplotlib: {error}") from error
    except (OSError, ValueError) as error:
        raise ToolError(f"{path}: {error}") from error


def _read_parts(directory: Path) -> dict[str, bytes]:
    paths = sorted(directory.glob(f"*{PART_SUFFIX}"))
    if not paths:
        raise ToolError(f"{directory}: no {PART_SUFFIX} files", EXIT_USAGE)
    try:
        return {path.stem: path.read_bytes() for path in paths}
    except OSError as error:
        raise ToolError(str(error), EXIT_USAGE) from error


def _build_intent(contents: dict[str, bytes]) -> CompactIntent:
    """Build the tree; raise an error that lists every invalid part."""
    models: list[TreePartModel] = []
    problems: list[str] = []
    for name, content in contents.items():
        parsed = parse_part(name, content)
        if isinstance(parsed, Success):
            models.append(parsed.unwrap())
        else:
            problems.append(parsed.failure().detail)
    if problems:
        raise ToolError("\n".join(problems))
    built = build_intent(1, models)
    if not isinstance(built, Success):
        raise ToolError(built.failure().detail)
    return built.unwrap()


def main() -> None:
    """Run the command that the arguments name."""
    try:
        fire.Fire(Tool, name="fescuekeel")
    except ToolError as error:
        sys.stderr.write(f"fescuekeel: {error}\n")
        raise SystemExit(error.code) from error


if __name__ == "__main__":
    main()
