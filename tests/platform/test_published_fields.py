"""Tests of what is published, decoded, and then read by nothing."""

import ast
import dataclasses
from pathlib import Path

import msgspec
import pytest
from fescuekeel_platform import models

from fescuekeel.helpers import dialect, published

ROOT = Path(__file__).parent.parent.parent
PRODUCT = "fescuekeel"
ADAPTER = "platform"
# docs/design/published-fields.md says of each why it need not be read.
UNREAD = {
    "CallerLimits.header_timeout_s",
    "CallerLimits.idle_timeout_s",
    "CallerLimits.max_body_bytes",
    "CallerLimits.max_header_bytes",
    "Configuration.limits",
    "EndpointReport.kv_total",
    "EndpointReport.kv_used",
    "EngineSpec.kv_tokens",
    "ServerBody.cold_remaining_ms",
    "ServiceSpec.health_path",
    "ServiceSpec.max_connections",
}
NOTE = ROOT / "docs" / "design" / "published-fields.md"


def list_read_names(folder, definitions=()):
    """Return the names of all attributes that some module reads."""
    names = set()
    for path in (ROOT / folder).rglob("*.py"):
        if path.name in definitions:
            continue
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load):
                names.add(node.attr)
    return names


def list_types(module, base):
    return [
        each
        for each in vars(module).values()
        if isinstance(each, type) and each.__module__ == module.__name__ and base(each)
    ]


READ_BY_PRODUCT = list_read_names(PRODUCT)
READ_BY_ADAPTER = list_read_names(ADAPTER, {"models.py"})
PUBLISHED = [
    *list_types(published, dataclasses.is_dataclass),
    dialect.EndpointReport,
    dialect.ResponseMetadata,
    dialect.CallerMetadata,
    dialect.StoreReply,
]
BODIES = list_types(models, lambda each: issubclass(each, msgspec.Struct))


class TestPublishedFields:
    # Guards against a limit that is decoded and that nothing keeps to.
    @pytest.mark.parametrize("kind", PUBLISHED)
    def test_each_is_read_or_has_a_reason(self, kind):
        unread = {
            f"{kind.__name__}.{each.name}"
            for each in dataclasses.fields(kind)
            if each.name not in READ_BY_PRODUCT
        }
        assert unread <= UNREAD

    # Guards against a field that the border validates and drops.
    @pytest.mark.parametrize("kind", BODIES)
    def test_each_field_of_a_body_is_translated_or_has_a_reason(self, kind):
        unread = {
            f"{kind.__name__}.{name}"
            for name in kind.__struct_fields__
            if name not in READ_BY_ADAPTER
        }
        assert unread <= UNREAD

    def test_each_reason_is_written_down(self):
        text = NOTE.read_text("utf-8")
        assert {name for name in UNREAD if f"`{name}`" not in text} == set()
