"""Tests that the operators' page keeps up with the code."""

import re
from pathlib import Path

import pytest
from msgspec import structs

from fescuekeel.components.tree.levels import KEYS
from fescuekeel.components.tree.sections import PoolSection
from fescuekeel.errors import ANSWERS_BY_KIND, ErrorKind, RetryReason
from fescuekeel.helpers.settings import Settings

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATORS.md").read_text("utf-8")
# The fixed part of each counter's name, up to a reason that is filled in.
COUNTER = re.compile(r'\bcount\(\s*f?"([a-z_.]+)')


def is_named(name):
    """Tell whether a counter stands in the page, or with its reason beside."""
    head, _, reason = name.rpartition(".")
    beside = re.search(rf"`{re.escape(head)}\.[A-Z]+`.*`{reason}`", PAGE)
    return f"`{name}" in PAGE or bool(reason and beside)


class TestOperatorsPage:
    @pytest.mark.parametrize("kind", ErrorKind)
    def test_each_refusal_has_its_row(self, kind):
        answer = ANSWERS_BY_KIND[kind]
        retry = "yes" if answer.retry else "no"
        row = f"| `{kind}` | {answer.status} | {answer.ran} | {retry} | {answer.text} |"
        assert row in PAGE

    @pytest.mark.parametrize("reason", RetryReason)
    def test_each_retry_reason_is_named(self, reason):
        assert f"`{reason}`" in PAGE

    def test_each_setting_is_named(self):
        for section in structs.fields(Settings):
            assert f"`[{section.name}] " in PAGE
            for key in section.type.__struct_fields__:
                assert f"`{key}`" in PAGE or f"`[{section.name}] {key}`" in PAGE
        for key in (*KEYS, *(f"[pool] {key}" for key in PoolSection.model_fields)):
            assert f"`{key}`" in PAGE

    def test_each_counter_is_named(self):
        names = {
            name
            for path in (ROOT / "fescuekeel").rglob("*.py")
            for name in COUNTER.findall(path.read_text("utf-8"))
        }
        assert len(names) > 30
        assert [name for name in sorted(names) if not is_named(name)] == []
