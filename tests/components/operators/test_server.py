"""Tests of the HTTP interface for operators."""

import asyncio
import hashlib
import json

import pytest
from msgspec import structs
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fescuekeel.components.operators.server import OperatorsServer
from fescuekeel.components.tree.intent import build_intent
from fescuekeel.components.tree.model import TreeInForce
from fescuekeel.components.tree.parts import parse_part
from fescuekeel.core import Instance
from fescuekeel.messages import (
    DrainRequested,
    LiveEntry,
    LiveRole,
    Member,
    MemberView,
    TreeStored,
)
from tests.common import make_settings
from tests.components.tree.common import TOKEN as SHOP_TOKEN, make_contents

TOKEN = "operators-token"
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()
SHOP_TOKEN_SHA256 = hashlib.sha256(SHOP_TOKEN.encode()).hexdigest()


def make_instance():
    settings = make_settings()
    operators = structs.replace(settings.operators, token_sha256=TOKEN_SHA256)
    instance = Instance(structs.replace(settings, operators=operators))
    parts = [parse_part(*item).unwrap() for item in make_contents().items()]
    instance.bus.publish_state(TreeInForce(build_intent(7, parts).unwrap()))
    instance.bus.publish_state(TreeStored(7, "digest"))
    member = Member("i1", "127.0.0.1:1", "dc1", 1)
    endpoint = LiveEntry(
        "e1", LiveRole.ENDPOINT, "127.0.0.1:2", "dc1", 1, pool="engines"
    )
    instance.bus.publish_state(MemberView({"i1": member}, {"e1": endpoint}))
    return instance


def fetch(path, method="GET", token=TOKEN, instance=None):
    """Return the status and the JSON body of a response."""
    instance = instance or make_instance()

    async def run():
        server = OperatorsServer(instance)
        await server.start()
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            f"http://{server.address}{path}",
            method=method,
            headers={"Authorization": f"Bearer {token}"},
            body=b"" if method == "POST" else None,
        )
        response = await client.fetch(request, raise_error=False)
        client.close()
        await server.stop()
        return response.code, json.loads(response.body)

    return asyncio.run(run())


class TestAccess:
    @pytest.mark.parametrize(
        "path", ["/status", "/counters", "/tree", "/explain", "/drain"]
    )
    def test_each_path_requires_the_token(self, path):
        instance = make_instance()
        drains = []
        instance.bus.subscribe(DrainRequested, drains.append)
        method = "POST" if path == "/drain" else "GET"
        status, body = fetch(path, method, token="wrong", instance=instance)
        assert (status, body["error"]["kind"]) == (401, "unauthenticated")
        assert drains == []
        assert instance.metrics.counters_by_name["operators.unauthenticated"] == 1

    def test_no_secret_is_shown(self):
        for path in ("/status", "/tree?shop=tricks&service=orders"):
            _, body = fetch(path)
            text = json.dumps(body)
            for secret in ("a-shared-secret", TOKEN, TOKEN_SHA256, SHOP_TOKEN_SHA256):
                assert secret not in text


class TestViews:
    def test_status_names_the_owner_of_each_endpoint(self):
        status, body = fetch("/status")
        assert (status, body["tree"]["revision"]) == (200, 7)
        assert body["endpoints"]["e1"]["owner"] == "i1"

    def test_histograms_have_percentiles(self):
        instance = make_instance()
        instance.metrics.count("refused.queue_full", 3)
        instance.metrics.observe("request", 0.25)
        _, body = fetch("/counters", instance=instance)
        assert body["counters"]["refused.queue_full"] == 3
        assert 240 < body["histograms"]["request"]["p50_ms"] < 260

    def test_tree_resolves_a_version_as_text(self):
        _, body = fetch("/tree?shop=tricks&service=scripts&adapter=cups&version=1.10")
        assert body["policy"]["adapter"] == {"name": "cups", "version": "1.10"}

    def test_explain_names_endpoint_and_owner(self):
        _, body = fetch("/explain?shop=tricks&service=scripts&adapter=cups")
        assert body["adapter"] == "cups@1.10"
        assert body["candidates"][0] == {
            "endpoint": "e1",
            "data_centre": "dc1",
            "owner": "i1",
        }

    def test_an_unknown_version_is_reported(self):
        status, body = fetch(
            "/explain?shop=tricks&service=scripts&adapter=balls&version=9"
        )
        assert (status, body["error"]["kind"]) == (404, "unknown_version")

    def test_drain_requests_a_stop_of_the_daemon(self):
        instance = make_instance()
        drains = []
        instance.bus.subscribe(DrainRequested, drains.append)
        status, _ = fetch("/drain", "POST", instance=instance)
        assert (status, len(drains)) == (202, 1)
