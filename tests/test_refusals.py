"""Tests that every error kind is produced and tested."""

import ast
from pathlib import Path

import pytest

from fescuekeel.errors import ErrorKind

ROOT = Path(__file__).parent.parent
GATEWAY = "components/gateway/test_server.py::TestRefusals"
ATTEMPTS = "components/gateway/test_attempts.py"
SCHEDULING = "components/owner/scheduling/test_decision.py"
INTENT = "components/tree/test_intent.py"
KEYS = "components/keys/test_decision.py"
OWNER = "components/owner/test_endpoint.py"
NAMED = f"{GATEWAY}::test_error_names_the_kind_of_failure"
NOT_IN_TREE = f"{INTENT}::TestResolve::test_an_unknown_name_is_rejected"
SECOND_CLAIM = f"{KEYS}::TestLedger::test_a_second_request_is_refused"
FRAMES = "components/peers/test_frames.py::TestFrameReader"

# Each test covers the code that detects the failure, not code that relays it.
TESTS_BY_KIND = {
    ErrorKind.BAD_REQUEST: NAMED,
    ErrorKind.BODY_TOO_LARGE: f"{GATEWAY}::test_too_large_body_is_rejected",
    ErrorKind.UNAUTHENTICATED: NAMED,
    ErrorKind.UNKNOWN_SERVICE: NOT_IN_TREE,
    ErrorKind.UNKNOWN_ADAPTER: NOT_IN_TREE,
    ErrorKind.UNKNOWN_VERSION: NOT_IN_TREE,
    ErrorKind.TREE_NOT_READY: (
        f"{GATEWAY}::test_requests_are_rejected_before_the_tree_is_known"
    ),
    ErrorKind.CONFIGURATION_STALE: (
        "components/forward/test_accounts.py::TestAge::"
        "test_revoked_key_is_rejected_past_the_bound"
    ),
    ErrorKind.RATE_LIMITED: (
        "components/gateway/test_limits.py::TestLimits::"
        "test_rate_is_enforced_and_retry_after_is_exact"
    ),
    ErrorKind.QUARANTINED: (
        "components/quarantine/test_component.py::TestCheck::"
        "test_a_quarantined_request_is_refused"
    ),
    ErrorKind.ENDPOINTS_BACKED_OFF: (
        "platform/test_backing_off.py::TestAll::"
        "test_requests_are_refused_at_once_with_a_true_retry_after"
    ),
    ErrorKind.ENDPOINTS_LIMITED: (
        "platform/test_endpoint_limits.py::TestRefusal::"
        "test_a_request_is_refused_at_once_with_a_time_to_return"
    ),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: (
        "platform/test_software_versions.py::TestUnknownStream::"
        "test_is_refused_at_once_while_two_versions_serve"
    ),
    ErrorKind.WEIGHTS_TOO_LARGE: (
        "platform/test_weight_memory.py::TestRoomForNone::"
        "test_an_adapter_is_refused_at_once"
    ),
    ErrorKind.STREAM_VERSION_GONE: (
        "platform/test_software_versions.py::TestLostVersion::"
        "test_a_stream_is_refused_at_once"
    ),
    ErrorKind.QUEUE_FULL: f"{SCHEDULING}::TestRefusals::test_full_queue",
    ErrorKind.TOO_LATE: (
        f"{SCHEDULING}::TestRefusals::test_late_request_is_refused_on_arrival"
    ),
    ErrorKind.EXPIRED: (
        f"{SCHEDULING}::TestRefusals::test_request_expires_while_the_owner_is_paused"
    ),
    ErrorKind.NO_ENDPOINT: f"{GATEWAY}::test_empty_pool_rejects_immediately",
    ErrorKind.NOT_OWNER: (
        f"{OWNER}::TestSubmit::test_instance_that_is_not_the_owner_refuses"
    ),
    ErrorKind.MOVED: (
        "components/owner/test_arrivals.py::TestMoves::"
        "test_request_is_redirected_to_the_endpoint_with_the_adapter"
    ),
    ErrorKind.LOAD_FAILED: (
        f"{SCHEDULING}::TestLoads::"
        "test_requests_are_refused_after_the_last_load_attempt"
    ),
    ErrorKind.ENDPOINT_REFUSED: (
        "components/plain/test_driver.py::TestDispatch::"
        "test_explicit_refusal_means_not_run"
    ),
    ErrorKind.DRAINING: f"{GATEWAY}::test_draining_instance_rejects_requests",
    ErrorKind.KEY_HOME_UNREACHABLE: (
        f"{KEYS}::TestQuorumCounter::test_a_majority_of_three_wins"
    ),
    ErrorKind.KEY_IN_PROGRESS: SECOND_CLAIM,
    ErrorKind.KEY_USED: SECOND_CLAIM,
    ErrorKind.KEY_MISMATCH: SECOND_CLAIM,
    ErrorKind.RETRY_BUDGET_SPENT: (
        f"{ATTEMPTS}::TestOutcome::test_spent_retry_budget_is_reported_as_not_run"
    ),
    ErrorKind.CANCELLED: (
        f"{ATTEMPTS}::TestOutcome::test_disconnected_caller_cancels_the_attempt"
    ),
    ErrorKind.OUTCOME_UNKNOWN: (
        f"{ATTEMPTS}::TestOutcome::"
        "test_lost_owner_with_permission_leaves_outcome_unknown"
    ),
    ErrorKind.ANSWER_CUT: (
        f"{ATTEMPTS}::TestStream::test_stream_that_cannot_be_resumed_is_reported_as_cut"
    ),
    ErrorKind.PEER_UNREACHABLE: (
        "components/peers/test_link.py::TestPeers::"
        "test_an_unknown_peer_is_unreachable_at_once"
    ),
    ErrorKind.STRANGER: f"{FRAMES}::test_a_frame_signed_by_a_stranger_is_refused",
    ErrorKind.BAD_FRAME: (
        f"{FRAMES}::test_a_length_out_of_bounds_is_refused_before_its_bytes_come"
    ),
    ErrorKind.INVALID_TREE: (
        f"{INTENT}::TestInvalidTrees::test_the_error_names_part_and_location"
    ),
    ErrorKind.INVALID_SETTINGS: (
        "helpers/test_settings.py::TestSettings::test_error_names_the_section_and_key"
    ),
    ErrorKind.INTERNAL: (
        f"{OWNER}::TestEngineFailures::test_internal_error_is_reported_to_the_entry"
    ),
}


def find_test(test_id):
    """Return the syntax tree of a test, including its decorators."""
    path, *names = test_id.split("::")
    node = ast.parse((ROOT / "tests" / path).read_text("utf-8"))
    for name in names:
        node = next(item for item in node.body if getattr(item, "name", "") == name)
    return node


def list_kinds(node):
    """Return the names of all error kinds used in a syntax tree."""
    return {
        item.attr
        for item in ast.walk(node)
        if isinstance(item, ast.Attribute)
        and isinstance(item.value, ast.Name)
        and item.value.id == "ErrorKind"
    }


class TestErrorKinds:
    @pytest.mark.parametrize("kind", ErrorKind)
    def test_each_kind_has_a_test(self, kind):
        node = find_test(TESTS_BY_KIND[kind])
        assert kind.name in list_kinds(node)
        assert any(isinstance(item, ast.Assert) for item in ast.walk(node))

    @pytest.mark.parametrize("kind", ErrorKind)
    def test_each_kind_is_used(self, kind):
        paths = (ROOT / "fescuekeel").rglob("*.py")
        sources = [path.read_text("utf-8") for path in paths if path.stem != "errors"]
        assert any(f"ErrorKind.{kind.name}" in source for source in sources)
