"""All events that are logged, and the fields that each requires.

A line about a request has its id, the input to the decision with its age or
version, and the outcome. A line about the view of a remote component names
that component, the version or age of the information, and the new view.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

__all__ = ["EVENTS_BY_NAME", "EventCategory", "EventSpec"]


class EventCategory(StrEnum):
    """Category of an event.

    ``VIEW`` events are changes in the view of the rest of the system.
    """

    REQUEST = "request"
    VIEW = "belief"
    DEPENDENCY = "dependency"
    PROCESS = "process"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class EventSpec:
    """Category and required fields of an event."""

    category: EventCategory
    fields: tuple[str, ...]


def _parse_specs(category: EventCategory, lines: str) -> dict[str, EventSpec]:
    """Parse lines that have an event's name and its fields."""
    specs = {}
    for line in lines.strip().splitlines():
        name, *fields = line.split()
        specs[name] = EventSpec(category, tuple(fields))
    return specs


EVENTS_BY_NAME: Final = {
    **_parse_specs(
        EventCategory.REQUEST,
        """
        allowance_refused request_id account price held home wait_ms outcome
        answer_dropped request_id answered_id status connection position outcome
        answer_broken request_id fingerprint endpoint kept age_ms error outcome
        answer_unflushed request_id bytes since_signal_ms outcome
        attempt_ended request_id send connection position endpoint took_ms outcome
        failover_ended request_id endpoint target failure silent_ms by_another_path \
            answer_started sends took_ms outcome
        load_waited request_id endpoint weights version cost_ms waited_ms outcome
        parts_in_crash request_id endpoint parts written_ms outcome
        request_cut request_id route resumable endpoint sends chunks age_ms \
            since_signal_ms reason outcome
        request_ended request_id service took_ms outcome
        request_in_crash request_id fingerprint endpoint crashes outcome
        request_refused request_id kind detail outcome
        retry_charged request_id service sends age_ms left outcome
        retry_decided request_id reason sends left outcome
        stream_origin_sought request_id resumes service software answers confirmed \
            age_ms outcome
        stream_version_sought request_id service software confirmed age_ms outcome
        work_failed request_id endpoint kind ran detail outcome
        """,
    ),
    **_parse_specs(
        EventCategory.VIEW,
        """
        catalog_from_peer peer since revision changed whole behind_ms asked_ms
        claim_held endpoint term before heard_age_ms waited_ms contact_ms outcome
        claim_lost endpoint after term outcome
        connections_closed connections lag_ms outcome
        concurrency_limit_lowered endpoint limit before slots in_use outcome
        configuration_in_force version before routes revision
        crash_checked endpoint first second outcome
        endpoint_backed_off endpoint retry_after_s outcome
        endpoint_changed endpoint state revision known_age_ms
        endpoint_leaving endpoint age_ms outcome
        endpoint_limit_changed endpoint rate_per_s age_ms outcome
        endpoint_path_changed endpoint reason cut_off outcome
        endpoint_rejecting endpoint request_id avoided_ms
        endpoint_restarted endpoint
        endpoint_unreachable endpoint error avoided_ms
        evict_held endpoint adapter reason request_id outcome
        evict_ordered endpoint adapter fence listed outcome
        holder_silent holder endpoint waited_ms outcome
        isolation_changed cut_off outcome
        livelist_changed entries
        load_asked endpoint weights version holder waited_ms outcome
        liveness_checked_for_peer peer endpoint reaches_others outcome
        load_ended endpoint weights version place_ms took_ms outcome
        load_missing endpoint weights reported taken places outcome
        load_repeated endpoint adapter waited_ms outcome
        member_changed member state incarnation
        endpoint_memory endpoint used_mb memory_mb taken outcome
        order_given endpoint kind weights version term fence after_orders \
            report_age_ms taken used_mb memory_mb outcome
        orders_of_another endpoint known reported held taken outcome
        owner_gained endpoint fence
        owner_lost endpoint
        part_quarantine_changed part endpoints seen_by age_ms outcome
        peer_polling_changed polling revision announced silent_s
        quarantine_changed fingerprint endpoints seen_by age_ms outcome
        relay_asked peer endpoint age_ms outcome
        relay_refused peer endpoint reaches_others outcome
        rejection_limit_changed service max_rejections_per_s age_ms outcome
        runs_read endpoints answered runs
        failover_begun endpoint requests path outcome
        store_era_changed before revision first_revision kept source
        stale_incarnation_dropped endpoint source born_ms newest_born_ms revision
        tree_ignored reason revision digest source
        tree_in_force revision digest
        tree_refused revision detail
        unreachable_endpoints_changed instance cut_off endpoints age_ms outcome
        versions_learned peer watched_s told_s age_ms versions outcome
        watch_duty_changed watching revision missed silent_s
        """,
    ),
    **_parse_specs(
        EventCategory.DEPENDENCY,
        """
        allowance_home_silent account home
        dependency_lost dependency call revision
        dependency_regained dependency call revision
        livelist_failed detail
        livelist_recovered
        peer_connection_lost peer channel reason age_ms
        peer_connection_replaced peer channel silent_ms outcome
        store_call_failed call error
        store_reply_defective error revision
        engine_answer_invalid kind error
        report_failed endpoint error
        tree_fetch_error error
        tree_service_failed
        tree_service_recovered
        turn_leader_silent leader
        """,
    ),
    **_parse_specs(
        EventCategory.PROCESS,
        """
        accept_paused port error
        callers_listening address
        clients_closed open_connections held_bytes outcome
        component_started domain
        component_stopped domain took_ms since_signal_ms outcome
        connection_state_unknown error
        drain_requested source
        instance_started instance
        instance_stopped instance took_ms
        instance_stopping instance
        key_home_ready instance
        operators_listening address
        process_usage_unknown error
        reload outcome detail
        shutdown_began requests grace_ms since_signal_ms
        shutdown_ended requests accepted cut accept_ms drain_ms cancel_ms close_ms \
            since_signal_ms outcome
        stop_timeout domain
        """,
    ),
    **_parse_specs(
        EventCategory.FAULT,
        """
        actor_error actor error
        lines_dropped dropped count
        instance_blocked cpu_ms
        instance_failed error
        load_failed endpoint adapter detail
        message_limited kind error
        peer_handler_error kind error
        peer_refused reason address
        published_item_refused key revision error
        stop_error domain error
        handler_error kind handler error
        task_error task error
        task_restarted task error lasted_ms failures
        turn_grant_timeout
        """,
    ),
}
