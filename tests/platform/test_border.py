"""Property tests of what the dialect lets in, and of what messages carry."""

import dataclasses
import typing

import msgspec
import orjson
import pytest
from fescuekeel_platform.dialect import PlatformDialect
from hypothesis import given, strategies as st

from fescuekeel import messages
from fescuekeel.helpers.dialect import EndpointReport
from fescuekeel.helpers.http_connection import NotConnectedError, connect
from fescuekeel.helpers.published import EndpointRecord, PublishedItem
from fescuekeel.helpers.wire import decode, encode
from tests.platform.test_path import run

DIALECT = PlatformDialect()
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "version": "v1",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
    "born": 1700000000000,
}
REPORT = {
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
    "runs": [["r1", 0, 1, 5]],
    "pending": ["m/a2@1"],
    "busy": False,
    "running": 1,
    "queued": 0,
    "kv_used": 10,
    "kv_total": 100,
    "sequence": 3,
    "born": 1700000000000,
}
NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.sampled_from([0, 2**31, 2**32, 2**53, 2**63, 10**400, -1]),
    st.floats(),
)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=5,
)
DEEP = [b"[" * 5000, b'{"note":' + b"[" * 1500, b'{"a":' * 2000]
ODD_VALUES = st.one_of(
    JSON,
    st.sampled_from(
        ["x" * 500_000, "a\r\nb", "\x00", "127.0.0.1:65536", "999.1.1.1:80", "v" * 300]
    ),
)
WIRE_KINDS = typing.get_args(messages.WireMessage)


def to_json(value):
    return msgspec.json.encode(value) if is_encodable(value) else b"{}"


def is_encodable(value):
    try:
        msgspec.json.encode(value)
    except (OverflowError, ValueError, UnicodeEncodeError):
        return False
    return True


@st.composite
def odd_bodies(draw, body):
    """Return the JSON of a body with odd values in some of its fields."""
    fields = draw(st.lists(st.sampled_from(sorted(body)), min_size=1, max_size=3))
    changes = {name: draw(ODD_VALUES) for name in fields}
    changes = {name: value for name, value in changes.items() if is_encodable(value)}
    number = draw(st.sampled_from([None, "9" * 30, "1" + "0" * 400, "1e400"]))
    encoded = msgspec.json.encode(body | changes).decode()
    if number is not None:
        encoded = encoded.replace(f'"{fields[0]}":', f'"{fields[0]}":{number},"x":', 1)
    return encoded.encode()


def decode_entry(value, key="servers/i-1"):
    return DIALECT.decode(PublishedItem(key, 1, value))


def check_record(record):
    assert isinstance(record, EndpointRecord)
    assert record.id.isprintable() and " " not in record.id
    host, _, port = record.address.rpartition(":")
    assert 0 < int(port) <= 65535
    assert all(int(part) <= 255 for part in host.split("."))
    for text in (record.service, record.data_centre, record.software):
        assert len(text) <= 256
    check_held(record.held)


def check_held(held):
    for weights, version in held.items():
        part = messages.HeldWeights(weights.model, weights.adapter, version)
        news = messages.PlacementNews((messages.PlacementState("e", 1, held=(part,)),))
        envelope = messages.Envelope(1, 0, news)
        assert decode(encode(envelope)).unwrap() == envelope


class TestEntries:
    # Guards against an entry of another writer that raises anything but the
    # error of an invalid value, or that breaks what uses it later.
    @given(st.one_of(st.binary(), st.sampled_from(DEEP)))
    def test_any_bytes_are_refused_as_invalid(self, value):
        with pytest.raises(ValueError):
            decode_entry(value)

    @given(JSON)
    def test_any_json_is_refused_as_invalid(self, value):
        with pytest.raises(ValueError):
            decode_entry(to_json(value))

    @given(odd_bodies(ENTRY))
    def test_what_is_let_in_fits_all_its_uses(self, value):
        try:
            record = decode_entry(value)
        except ValueError:
            return
        check_record(record)

    @given(st.text())
    def test_any_key(self, name):
        try:
            record = decode_entry(orjson.dumps(ENTRY), f"servers/{name}")
        except ValueError:
            return
        check_record(record)

    @pytest.mark.parametrize("kind", ["config", "version/m.a1"])
    @given(value=st.one_of(st.binary(), st.sampled_from(DEEP), JSON.map(to_json)))
    def test_other_kinds(self, kind, value):
        with pytest.raises(ValueError):
            decode_entry(value, f"op/{kind}")


class TestReports:
    # Guards against a report that ends the work of an endpoint's holder.
    @given(st.one_of(odd_bodies(REPORT), st.sampled_from(DEEP), st.binary()))
    def test_what_is_let_in_fits_all_its_uses(self, body):
        try:
            report = DIALECT.read_report(body)
        except ValueError:
            return
        assert isinstance(report, EndpointReport)
        for count in (report.running, report.waiting):
            assert 0 <= count < 2**31
        for number in (report.kv_used, report.kv_total, report.orders_taken):
            assert 0 <= number < 2**53
        check_held(report.held)


RESPONSE_HEADERS = [
    "fescuekeel-server-load",
    "fescuekeel-server-limit",
    "server-brittle",
    "server-leaving",
    "retry-after",
    "keep-alive",
    "fescuekeel-request-id",
]
ODD_TEXTS = st.one_of(
    st.text(),
    st.sampled_from(
        ["inf", "nan", "-1", "1e400", "9" * 400, "\xb2", "timeout=\xb2", "1,\xb2,3"]
    ),
)


class TestHeaders:
    # Guards against a header of an answer that ends the request it is for.
    @given(
        st.integers(100, 599),
        st.dictionaries(st.sampled_from(RESPONSE_HEADERS), ODD_TEXTS),
    )
    def test_any_of_an_answer_can_be_read(self, status, headers):
        response = DIALECT.read_response(status, headers)
        for rate in (response.limit_per_s, response.max_rejections_per_s):
            assert rate is None or rate != float("inf")

    # Guards against a request that ends without an answer.
    @given(
        st.dictionaries(
            st.sampled_from(
                ["Fescuekeel-Token-Count", "Fescuekeel-Deadline-Ms", "Fescuekeel-Model"]
            ),
            ODD_TEXTS,
        )
    )
    def test_any_of_a_request_are_read_or_invalid(self, headers):
        try:
            metadata = DIALECT.read_request(headers)
        except ValueError:
            return
        assert 0 <= metadata.prompt_tokens < 2**31
        assert (metadata.time_left_s or 0.0) <= 86_400.0


@st.composite
def odd_messages(draw):
    """Return a message whose numbers may not fit their fields."""
    kind = draw(st.sampled_from(WIRE_KINDS))
    hints = typing.get_type_hints(kind)
    samples = {int: st.integers(-(2**70), 2**70), str: st.text(), bool: st.booleans()}
    values = {
        item.name: draw(samples[hints[item.name]])
        for item in dataclasses.fields(kind)
        if hints[item.name] in samples
    }
    required = [
        item
        for item in dataclasses.fields(kind)
        if item.default is dataclasses.MISSING and item.name not in values
    ]
    return kind(**values) if not required else messages.Ping()


class TestMessages:
    # Guards against a number that ends whatever sends it, such as an uptime
    # in milliseconds after 49.7 days.
    @given(odd_messages())
    def test_any_number_can_be_sent(self, body):
        frame = encode(messages.Envelope(1, 0, body))
        assert decode(frame).unwrap().body is not None


class TestAddresses:
    # Guards against an address that ends the request it was chosen for.
    @pytest.mark.parametrize(
        "address", ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x", "", "\x00:1"]
    )
    def test_odd_ones_are_not_connected(self, address):
        async def work():
            with pytest.raises(NotConnectedError):
                await connect(address, 1.0)

        run(work)
