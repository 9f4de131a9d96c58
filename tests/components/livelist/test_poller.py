"""Tests of the livelist component."""

import asyncio
import json

import pytest
from msgspec import structs
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.components.livelist.poller import LiveListPoller
from fescuekeel.core import Instance
from fescuekeel.messages import LiveList
from tests.common import make_settings

ENTRY = {
    "id": "e1",
    "role": "endpoint",
    "address": "127.0.0.1:80",
    "data_centre": "dc1",
    "incarnation": 1,
}


class TestParse:
    @pytest.mark.parametrize(
        "change",
        [{"role": "other"}, {"address": "name:80"}, {"incarnation": -1}, {"id": ""}],
    )
    def test_an_invalid_entry_is_rejected(self, change):
        body = json.dumps({"entries": [ENTRY | change]}).encode()
        assert "entries.0" in parse_live_list(body).failure().detail

    def test_the_highest_incarnation_is_kept(self):
        entries = [ENTRY | {"incarnation": 2}, ENTRY]
        body = json.dumps({"entries": entries}).encode()
        assert parse_live_list(body).unwrap().entries_by_id["e1"].incarnation == 2


class TestPoller:
    def test_a_failure_keeps_the_last_list(self):
        """The platform sends a list, then invalid JSON, then redirects.

        All endpoints would disappear if a failure emptied the list.
        """
        answers = [(200, json.dumps({"entries": [ENTRY]})), (200, "{"), (302, "")]
        calls = []
        finished = asyncio.Event()

        class LiveHandler(RequestHandler):
            def get(self):
                status, body = answers[min(len(calls), len(answers) - 1)]
                calls.append(self.request.path)
                if len(calls) >= 5:
                    finished.set()
                self.set_status(status)
                if status == 302:
                    self.set_header("Location", "/elsewhere")
                self.write(body)

        published, instance = asyncio.run(poll_until(LiveHandler, finished))
        assert [list(live.entries_by_id) for live in published] == [["e1"]]
        assert instance.bus.latest(LiveList) is published[0]
        assert instance.metrics.counters_by_name["livelist.failed"] >= 2
        assert set(calls) == {"/v1/live"}

    def test_an_unchanged_list_is_not_sent_again(self):
        """A large list polled by many instances would waste bandwidth."""
        body = {"entries": [ENTRY]}
        statuses = []
        finished = asyncio.Event()

        class LiveHandler(RequestHandler):
            def get(self):
                if len(statuses) == 3:
                    body["entries"] = [ENTRY | {"id": "e2"}]
                self.write(body)

            def on_finish(self):
                statuses.append(self.get_status())
                if len(statuses) == 6:
                    finished.set()

        published, _ = asyncio.run(poll_until(LiveHandler, finished))
        assert statuses[:6] == [200, 304, 304, 200, 304, 304]
        assert [list(live.entries_by_id) for live in published] == [["e1"], ["e2"]]


async def poll_until(handler, finished):
    """Poll a platform until the event is set; return what was published."""
    server = HTTPServer(Application([("/.*", handler)]))
    sock, port = bind_unused_port()
    server.add_socket(sock)
    settings = make_settings()
    platform = structs.replace(settings.platform, live_url=f"http://127.0.0.1:{port}")
    instance = Instance(structs.replace(settings, platform=platform))
    published = []
    instance.bus.subscribe(LiveList, published.append)
    poller = LiveListPoller(instance, poll_s=0.01)
    await poller.start()
    await asyncio.wait_for(finished.wait(), timeout=10)
    await poller.stop()
    server.stop()
    await server.close_all_connections()
    return published, instance
