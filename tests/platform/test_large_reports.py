"""Tests of reports and entries that hold more than an endpoint may tell."""

import pytest
from fescuekeel_platform.dialect import PlatformDialect

from fescuekeel.helpers.dialect import MAX_REPORT_BYTES
from fescuekeel.helpers.published import PublishedItem

VALUES = {
    "adapters": (b'{"models":[{"name":"m","adapters":[', b'"a"', b"]}]}"),
    "models": (b'{"models":[', b'{"name":"m"}', b"]}"),
    "runs": (b'{"runs":[', b'["r"]', b"]}"),
    "pending": (b'{"pending":[', b'"a"', b"]}"),
    "unknown": (b'{"other":[', b"[]", b"]}"),
}


@pytest.mark.parametrize("kind", VALUES)
class TestValues:
    # Guards against hundreds of thousands of values, which are legal and
    # decoded in one go, while no other request is served.
    def test_of_a_report_are_bounded(self, kind):
        with pytest.raises(ValueError, match="values"):
            PlatformDialect().read_report(make_body(kind))

    # Guards against the same in an endpoint's own entry in the store.
    def test_of_an_entry_are_bounded(self, kind):
        item = PublishedItem("servers/i-1", 7, make_body(kind))
        with pytest.raises(ValueError, match="values"):
            PlatformDialect().decode(item)


def make_body(kind):
    begin, value, end = VALUES[kind]
    count = (MAX_REPORT_BYTES - len(begin + end)) // (len(value) + 1)
    body = begin + b",".join([value] * count) + end
    assert len(body) <= MAX_REPORT_BYTES
    return body
