"""Tests that the operators' page documents everything in the code."""

import re
from pathlib import Path

import pytest
from msgspec import structs

from fescuekeel.components.tree.levels import KEYS
from fescuekeel.components.tree.sections import PoolSection
from fescuekeel.errors import RESPONSES_BY_KIND, ErrorKind, RetryReason
from fescuekeel.helpers.settings import Settings

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATORS.md").read_text("utf-8")
# The literal part of a counter's name, up to an interpolated reason.
COUNTER = re.compile(r'\bcount\(\s*f?"([a-z_.]+)')


def is_documented(name):
    """Tell whether the page lists a counter, or its prefix with the reason."""
    prefix, _, reason = name.rpartition(".")
    with_reason = re.search(rf"`{re.escape(prefix)}\.[A-Z]+`.*`{reason}`", PAGE)
    return f"`{name}" in PAGE or bool(reason and with_reason)


class TestOperatorsPage:
    @pytest.mark.parametrize("kind", ErrorKind)
    def test_all_error_kinds_are_documented(self, kind):
        error = RESPONSES_BY_KIND[kind]
        retry = "yes" if error.retry else "no"
        row = f"| `{kind}` | {error.status} | {error.ran} | {retry} | {error.text} |"
        assert row in PAGE

    @pytest.mark.parametrize("reason", RetryReason)
    def test_all_retry_reasons_are_documented(self, reason):
        assert f"`{reason}`" in PAGE

    def test_all_settings_are_documented(self):
        for section in structs.fields(Settings):
            assert f"`[{section.name}] " in PAGE
            for key in section.type.__struct_fields__:
                assert f"`{key}`" in PAGE or f"`[{section.name}] {key}`" in PAGE
        for key in (*KEYS, *(f"[pool] {key}" for key in PoolSection.model_fields)):
            assert f"`{key}`" in PAGE

    def test_all_counters_are_documented(self):
        names = {
            name
            for path in (ROOT / "fescuekeel").rglob("*.py")
            for name in COUNTER.findall(path.read_text("utf-8"))
        }
        assert len(names) > 30
        assert [name for name in sorted(names) if not is_documented(name)] == []
