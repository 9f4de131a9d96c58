"""Tests of parsing, validation, inheritance and resolving."""

import pytest
from returns.pipeline import is_successful

from fescuekeel.components.tree.intent import build_intent
from fescuekeel.components.tree.parts import parse_part
from fescuekeel.components.tree.revision import parse_manifest
from fescuekeel.errors import ErrorKind
from tests.components.tree.common import MAIN, ROSTER, TOKEN


def build(main=MAIN, roster=ROSTER):
    parts = []
    for name, text in (("main", main), ("roster", roster)):
        result = parse_part(name, text.encode())
        if not is_successful(result):
            return result
        parts.append(result.unwrap())
    return build_intent(7, parts)


class TestResolve:
    def test_each_level_overrides_only_what_differs(self):
        policy = build().unwrap().resolve("tricks", "scripts", "cups", "").unwrap()
        assert (policy.stall_weight, policy.urgency) == (4.0, 0)
        assert (policy.max_tokens, policy.pool.slots) == (99, 4)
        other = build().unwrap().resolve("tricks", "scripts", "balls", "").unwrap()
        assert other.max_tokens == 256

    def test_versions_stay_text_and_the_first_is_current(self):
        intent = build().unwrap()
        current = intent.resolve("tricks", "scripts", "cups", "").unwrap()
        older = intent.resolve("tricks", "scripts", "cups", "1.9").unwrap()
        assert [str(p.adapter) for p in (current, older)] == ["cups@1.10", "cups@1.9"]

    def test_limits_of_each_level_apply(self):
        policy = build().unwrap().resolve("tricks", "orders", "", "").unwrap()
        assert [limit.scope for limit in policy.limits] == ["tricks", "tricks/orders"]
        assert not policy.repeatable

    @pytest.mark.parametrize(
        ("target", "kind"),
        [
            (("tricks", "none", "", ""), ErrorKind.UNKNOWN_SERVICE),
            (("other", "scripts", "cups", ""), ErrorKind.UNKNOWN_SERVICE),
            (("tricks", "scripts", "cup", ""), ErrorKind.UNKNOWN_ADAPTER),
            (("tricks", "scripts", "", ""), ErrorKind.UNKNOWN_ADAPTER),
            (("tricks", "orders", "cups", ""), ErrorKind.UNKNOWN_ADAPTER),
            (("tricks", "scripts", "cups", "1.1"), ErrorKind.UNKNOWN_VERSION),
        ],
    )
    def test_an_unknown_name_is_rejected(self, target, kind):
        assert build().unwrap().resolve(*target).failure().kind == kind

    def test_only_the_token_of_a_shop_authenticates(self):
        intent = build().unwrap()
        assert intent.authenticate(TOKEN) == "tricks"
        assert intent.authenticate("") is None


class TestInvalidTrees:
    @pytest.mark.parametrize(
        ("old", "new", "location"),
        [
            ("urgency = 0", "urgency = soon", "[service tricks/scripts], key urgency"),
            ("answer_s = 4", "answer_s = nan", "key answer_s"),
            ("answer_s = 4", "Answer_s = 4", "key Answer_s"),
            ("pool = engines", "pool = other", "[service tricks/scripts], key pool"),
            ("[service tricks/orders]", "[service x/orders]", "no section [shop x]"),
            ("[service tricks/orders]", "[DEFAULT]", "[DEFAULT]"),
            ("[adapter tricks/scripts/cups]", "[adapter tricks/scripts/x]", "roster"),
            ("[adapter tricks/scripts/cups]", "[adapter cups]", "kind of section"),
            ("max_tokens = 99", "max_tokens = 9\nmax_tokens = 8", "max_tokens"),
            ("pool = plain", "pool = plain\nurgency = %(x)s", "key urgency"),
            ("kind = plain", "kind = plain\n[pool engines]", "pool engines"),
        ],
    )
    def test_the_error_names_part_and_location(self, old, new, location):
        assert old in MAIN
        failure = build(main=MAIN.replace(old, new)).failure()
        assert failure.kind == ErrorKind.INVALID_TREE
        assert "main" in failure.detail
        assert location in failure.detail

    @pytest.mark.parametrize(
        "line", ["cups 2", "lonely", "a@b 1", "twice 1 1", "accent\u00e9 1"]
    )
    def test_a_malformed_roster_line_is_rejected(self, line):
        failure = build(roster=ROSTER + f"    {line}\n").failure()
        assert "part roster, section [roster tricks/scripts]" in failure.detail

    def test_an_adapter_in_two_roster_parts_is_rejected(self):
        main = MAIN + "[roster tricks/scripts]\nnames = balls 1\n"
        assert "'balls' is listed twice" in build(main=main).failure().detail

    def test_a_section_in_two_parts_is_rejected(self):
        roster = ROSTER + "[pool plain]\nkind = plain\n"
        assert "also defined in part main" in build(roster=roster).failure().detail

    def test_an_error_never_contains_a_token_hash(self):
        failure = build(main=MAIN.replace("token_sha256 = ", "token_sha256 = 12zz"))
        assert "12zz" not in failure.failure().detail


class TestManifest:
    @pytest.mark.parametrize(
        "text",
        [
            "",
            "[tree]\nrevision = 0\n[parts]\na = " + "0" * 64,
            "[tree]\nrevision = 1\n[parts]\na = xyz",
            "[tree]\nrevision = 1\n[parts]\na/../b = " + "0" * 64,
            "[tree]\nrevision = 1\n[parts]",
        ],
    )
    def test_an_invalid_manifest_is_rejected(self, text):
        failure = parse_manifest(text.encode()).failure()
        assert failure.kind == ErrorKind.INVALID_TREE
