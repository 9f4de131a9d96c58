"""Tests of the platform's dialect."""

import base64
import json
import math
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from fescuekeel_platform.dialect import PlatformDialect
from tornado.httputil import HTTPHeaders

from fescuekeel.helpers.dialect import (
    AdapterVersion,
    ForwardMetadata,
    OrderKind,
    OrderReply,
    StoreStatus,
    WeightOrder,
)
from fescuekeel.helpers.published import (
    Configuration,
    EndpointRecord,
    PublishedItem,
    RouteKind,
    Weights,
)

ROOT = Path(__file__).parent.parent.parent
DIALECT = PlatformDialect()
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "Shop.example",
            "prefix": "/a/",
            "route_kind": "stream",
            "timeout_ms": 15000,
            "target_latency_ms": 800,
            "priority": 1,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 250,
        }
    ],
    "services": [
        {
            "name": "s",
            "health_path": "/healthz",
            "max_conns": 370,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 1000,
                "models": [
                    {"name": "m", "weights_mb": 1.5, "load_s": 2, "adapters": 3}
                ],
                "weights_mb": 2.0,
                "adapter_slots": 20,
            },
        },
        {"name": "t", "health_path": "/healthz", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


SERVER = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "dc1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}


def publish(key, value):
    return PublishedItem(key, 1, json.dumps(value).encode())


class TestRootDirectory:
    def test_platform_module_is_not_shadowed(self):
        """The directory has the name of a standard library module.

        As a package, it would shadow that module for programs started here.
        """
        command = "import platform; print(platform.python_implementation())"
        done = subprocess.run(
            [sys.executable, "-c", command], cwd=ROOT, capture_output=True, text=True
        )
        assert done.stdout.strip(), done.stderr


class TestCallers:
    def read_request(self, **headers):
        return DIALECT.read_request(
            HTTPHeaders(
                {name.replace("_", "-"): text for name, text in headers.items()}
            )
        )

    def test_request_is_parsed(self):
        head = self.read_request(
            Fescuekeel_Request_Id="9c41",
            Fescuekeel_Model="m/a7",
            Fescuekeel_Token_Count="1460,80",
            Fescuekeel_Prompt_Prefix="5c1e:800,91bd:410",
            Fescuekeel_Deadline_Ms="2500",
        )
        assert head.request_id == "9c41"
        assert head.weights == Weights("m", "a7")
        assert head.prompt_tokens == 1460
        assert ("Fescuekeel-Prompt-Prefix", "5c1e:800,91bd:410") in head.headers
        assert head.time_left_s == 2.5

    @pytest.mark.parametrize("name", ["Resumes", "Fescuekeel_Resumes"])
    def test_stream_that_is_taken_up_again(self, name):
        head = self.read_request(**{name: "9c41", "Last_Event_Id": "7"})
        assert (head.resumes, head.resume_after) == ("9c41", "7")
        assert self.read_request().resumes == ""

    @pytest.mark.parametrize(
        "name",
        [
            "Fescuekeel-Hold",
            "Fescuekeel-Pin-Ms",
            "Fescuekeel-Kv-Backup",
            "Kv-From",
            "Fescuekeel-Expect-Instance",
            "Fescuekeel-Request-Priority",
            "Connection",
            "Transfer-Encoding",
        ],
    )
    def test_reserved_header_is_dropped(self, name):
        head = self.read_request(**{name: "x", "X-Other": "kept"})
        assert head.headers == (("X-Other", "kept"),)

    def test_error_names_the_header_with_an_invalid_number(self):
        with pytest.raises(ValueError, match="Fescuekeel-Deadline-Ms"):
            self.read_request(Fescuekeel_Deadline_Ms="soon")

    def test_headers_of_a_request_to_an_endpoint(self):
        head = self.read_request(Host="h", Last_Event_Id="3")
        written = dict(
            DIALECT.make_request_headers(
                head, ForwardMetadata("e1", 1.5, 1, 4, resume_after="9")
            )
        )
        assert written["Fescuekeel-Expect-Instance"] == "e1"
        assert written["Fescuekeel-Deadline-Ms"] == "1500"
        assert written["Fescuekeel-Request-Priority"] == "1"
        assert written["Fescuekeel-Expect-Version"] == "4"
        assert written["Last-Event-Id"] == "9"


class TestEndpoints:
    @pytest.mark.parametrize(
        ("status", "headers", "not_run"),
        [
            (503, {"fescuekeel-not-executed": "1"}, True),
            (421, {}, True),
            (503, {}, False),
            (500, {"fescuekeel-server-stamp": "x"}, False),
        ],
    )
    def test_response_tells_whether_the_request_ran(self, status, headers, not_run):
        assert DIALECT.read_response(status, headers).not_run is not_run

    @pytest.mark.parametrize(
        ("text", "seconds"), [("3", 3.0), ("0.8", 0.8), ("0", 0.0), ("3600", 3600.0)]
    )
    def test_an_endpoint_that_turns_a_request_away_names_a_time(self, text, seconds):
        assert (
            DIALECT.read_response(503, {"retry-after": text}).retry_after_s == seconds
        )
        assert DIALECT.read_response(503, {}).retry_after_s is None

    @pytest.mark.parametrize(
        "text",
        ["-3", "soon", "", "1e9", "inf", "Fri, 04 Dec 2026 09:00:00 GMT", "3, 5"],
    )
    def test_a_retry_after_that_is_no_number_of_seconds(self, text):
        answer = DIALECT.read_response(503, {"retry-after": text})
        assert math.isnan(answer.retry_after_s)

    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_a_retry_after_of_another_status_says_nothing(self, status):
        assert DIALECT.read_response(status, {"retry-after": "3"}).retry_after_s is None

    @pytest.mark.parametrize("name", ["server-leaving", "fescuekeel-server-leaving"])
    def test_an_endpoint_says_that_it_leaves(self, name):
        assert DIALECT.read_response(200, {name: "1"}).leaving
        assert DIALECT.read_response(503, {name: "1"}).leaving
        assert not DIALECT.read_response(200, {name: "0"}).leaving
        assert not DIALECT.read_response(200, {}).leaving

    @pytest.mark.parametrize("name", ["fescuekeel-server-limit", "server-limit"])
    def test_rate_limit_is_parsed(self, name):
        assert DIALECT.read_response(200, {name: "3.1"}).limit_per_s == 3.1
        assert DIALECT.read_response(200, {}).limit_per_s is None

    @pytest.mark.parametrize("text", ["", "3, 4", "many"])
    def test_invalid_rate_limit_is_no_number(self, text):
        answer = DIALECT.read_response(200, {"server-limit": text})
        assert math.isnan(answer.limit_per_s)

    def test_load_and_keep_alive_are_parsed(self):
        headers = {
            "fescuekeel-server-load": "3,1,8",
            "keep-alive": "timeout=5, max=100",
        }
        answer = DIALECT.read_response(200, headers)
        assert (answer.running, answer.waiting, answer.keep_alive_s) == (3, 1, 5.0)

    def test_order_is_encoded(self):
        order = WeightOrder(
            OrderKind.LOAD, "e1", Weights("m", "a3"), "i1", 41, version=2
        )
        call = DIALECT.make_order(order)
        assert json.loads(call.body) == {
            "operation": "load",
            "model": "m",
            "adapter": "a3",
            "version": 2,
            "holder": "i1",
            "fencing_token": 41,
        }
        assert ("Fescuekeel-Expect-Instance", "e1") in call.headers

    def test_order_has_the_number_of_preceding_orders(self):
        order = WeightOrder(OrderKind.LOAD, "e1", Weights("m"), "i1", 7)
        assert "precondition" not in json.loads(DIALECT.make_order(order).body)
        with_precondition = replace(order, after_orders=0)
        assert (
            json.loads(DIALECT.make_order(with_precondition).body)["precondition"] == 0
        )

    def test_order_replies_are_distinguished(self):
        read = DIALECT.read_order_reply
        assert read(202) is OrderReply.ACCEPTED
        assert read(412) is OrderReply.FENCED
        assert read(503) is OrderReply.UNAVAILABLE
        # Only some statuses promise that an order was not accepted.
        assert read(500) is None

    def test_report_is_parsed(self):
        body = json.dumps(
            {
                "models": [{"name": "m", "version": 1, "adapters": ["a3@2"]}],
                "pending": ["m/a7@1"],
                "queued": 1,
                "running": 12,
                "kv_used": 41000,
                "kv_total": 90000,
                "sequence": 17,
            }
        ).encode()
        report = DIALECT.read_report(body)
        assert report.orders_taken == 17
        assert report.held == {Weights("m"): 1, Weights("m", "a3"): 2}
        assert report.pending == {Weights("m", "a7")}


class TestStore:
    def test_page_is_parsed(self):
        value = base64.b64encode(b"text").decode()
        body = {
            "items": [{"key": "k", "value": value, "revision": 4, "created": 1}],
            "has_more": True,
            "as_of": 9,
        }
        reply = DIALECT.read_store_reply(200, (), json.dumps(body).encode())
        assert reply.items == (PublishedItem("k", 4, b"text"),)
        assert (reply.revision, reply.more) == (9, True)

    @pytest.mark.parametrize("value", ["!", 7, None, {"a": 1}])
    def test_unreadable_item_does_not_fail_its_page(self, value):
        """A rejected page would hide all further changes of the store."""
        good = {"key": "k", "value": "dGV4dA==", "revision": 4}
        body = {"items": [{"key": "b", "value": value, "revision": 3}, good]}
        body |= {"has_more": False, "as_of": 9}
        reply = DIALECT.read_store_reply(200, (), json.dumps(body).encode())
        assert reply.items == (
            PublishedItem("b", 3, b""),
            PublishedItem("k", 4, b"text"),
        )

    def test_deletion_is_parsed(self):
        body = {"events": [{"key": "k", "revision": 4, "tombstone": True}], "as_of": 4}
        reply = DIALECT.read_store_reply(200, (), json.dumps(body).encode())
        assert reply.items == (PublishedItem("k", 4, None),)

    @pytest.mark.parametrize(
        ("status", "expected"),
        [
            (410, StoreStatus.HISTORY_LOST),
            (429, StoreStatus.REJECTED),
            (503, StoreStatus.REJECTED),
        ],
    )
    def test_store_errors_are_distinguished(self, status, expected):
        assert DIALECT.read_store_reply(status, (), b"").status is expected


class TestEra:
    """Eras that a reply of the store names."""

    @pytest.mark.parametrize("status", [200, 410, 429, 503])
    def test_it_is_read_from_replies_of_any_kind(self, status):
        body = b'{"events": [], "as_of": 3}' if status == 200 else b""
        reply = DIALECT.read_store_reply(status, [("store-era", " 4 ")], body)
        assert (reply.era, reply.defect) == (4, "")

    def test_a_reply_without_one_has_no_defect(self):
        reply = DIALECT.read_store_reply(410, [], b"")
        assert (reply.era, reply.defect) == (None, "")

    @pytest.mark.parametrize("value", ["", "soon", "-1", "1.5", "1e3", "9" * 10])
    def test_what_is_no_number_counts_as_none(self, value):
        """Guards against an era so high that no later one is believed."""
        reply = DIALECT.read_store_reply(410, [("store-era", value)], b"")
        assert reply.era is None
        assert "is not a number" in reply.defect

    def test_two_in_one_reply_count_as_none(self):
        headers = [("store-era", "4"), ("store-era", "5")]
        reply = DIALECT.read_store_reply(410, headers, b"")
        assert reply.era is None
        assert "2 headers" in reply.defect

    def test_configuration_is_decoded(self):
        decoded = DIALECT.decode(publish("op/config", CONFIGURATION))
        assert isinstance(decoded, Configuration)
        (route,) = decoded.routes
        assert route.kind is RouteKind.STREAM
        assert route.host == "shop.example"
        assert (route.timeout_s, route.target_s, route.gap_target_s) == (15, 0.8, 0.25)
        assert [target.service for target in route.targets] == ["s", "t"]
        assert decoded.services_by_name["s"].engine.max_loaded_adapters == 20

    @pytest.mark.parametrize(
        ("change", "message"),
        [
            ({"service": "none", "split": []}, "route r1: service 'none'"),
            ({"route_kind": "odd"}, "route r1: kind 'odd'"),
            ({"timeout_ms": 0}, "timeout_ms"),
        ],
    )
    def test_invalid_configuration_names_route_and_field(self, change, message):
        changed = CONFIGURATION | {"routes": [CONFIGURATION["routes"][0] | change]}
        with pytest.raises(ValueError, match=message):
            DIALECT.decode(publish("op/config", changed))

    def test_server_is_decoded(self):
        entry = SERVER | {"state": "draining"}
        decoded = DIALECT.decode(publish("servers/e1", entry))
        assert isinstance(decoded, EndpointRecord)
        assert decoded.id == "e1"
        assert decoded.leaving

    def test_restarted_server_is_distinguished(self):
        decoded = DIALECT.decode(publish("servers/e1", SERVER | {"born": 1700}))
        assert (decoded.name, decoded.born_ms) == ("e1", 1700)
        headers = dict(DIALECT.make_report_call(decoded.id).headers)
        assert headers["Fescuekeel-Expect-Instance"] == "e1"

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"slots": "64"},
            {"slots": 0},
            {"service": 7},
            {"address": "somewhere"},
            {"zone": None},
            {"models": [{"name": "m", "adapters": "a1"}]},
            {"models": [{"name": "m", "adapters": ["a1@x"]}]},
            {"born": "1700"},
            {"born": 17.5},
            {"sequence": None},
        ],
    )
    def test_entry_with_an_invalid_field_is_refused(self, change):
        with pytest.raises(ValueError, match=r"(?s).+"):
            DIALECT.decode(publish("servers/e1", SERVER | change))

    @pytest.mark.parametrize("field", sorted(SERVER.keys() - {"models"}))
    def test_entry_with_a_missing_field_is_refused(self, field):
        entry = {name: value for name, value in SERVER.items() if name != field}
        with pytest.raises(ValueError, match=field):
            DIALECT.decode(publish("servers/e1", entry))

    @pytest.mark.parametrize("value", [b"", b"\xff\x00", b"[]", b"7", b'"text"'])
    def test_value_that_is_no_entry_is_refused(self, value):
        with pytest.raises(ValueError, match=r"(?s).+"):
            DIALECT.decode(PublishedItem("servers/e1", 1, value))

    def test_version_is_decoded(self):
        entry = {"model": "m", "adapter": "a3", "version": 2}
        decoded = DIALECT.decode(publish("op/version/m.a3", entry))
        assert decoded == AdapterVersion(Weights("m", "a3"), 2)

    def test_unrelated_key_is_ignored(self):
        assert DIALECT.decode(publish("other/key", {})) is None


class TestPromptParts:
    def test_the_last_part_belongs_to_the_request(self):
        read = PlatformDialect().read_request
        assert read({"Fescuekeel-Prompt-Prefix": "a1:5,b2:7,c3:1"}).prompt_parts == (
            "a1",
            "b2",
        )
        assert read({"Fescuekeel-Prompt-Prefix": "a1:5"}).prompt_parts == ()
        assert read({}).prompt_parts == ()

    def test_a_malformed_list_is_forwarded_and_its_empty_parts_are_not_judged(self):
        header = ",:,a1, b2:x:y ,,last"
        metadata = PlatformDialect().read_request({"Fescuekeel-Prompt-Prefix": header})
        assert metadata.prompt_parts == ("a1", "b2")
        assert ("Fescuekeel-Prompt-Prefix", header) in metadata.headers
