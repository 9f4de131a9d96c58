"""Decide from its last data whether a channel's connection is alive."""

from enum import Enum, auto

from fescuekeel.components.peers.const import (
    HEARTBEAT_S,
    HEARTBEAT_TIMEOUT_S,
    IDLE_HEARTBEAT_S,
    IDLE_S,
)
from fescuekeel.components.peers.outgoing import OutgoingChannel

__all__ = ["ChannelAction", "check_channel", "probe_channel"]


class ChannelAction(Enum):
    """What is due for a channel."""

    NONE = auto()
    CLOSE_IDLE = auto()
    SEND_HEARTBEAT = auto()
    DROP_SILENT = auto()


def check_channel(
    channel: OutgoingChannel, now: float, was_suspended: bool
) -> ChannelAction:
    """Return what is due for a channel at a monotonic time in seconds.

    After a pause of this process all connections look silent while data may be
    waiting in the sockets' buffers, so their silence starts anew.
    """
    connection = channel.connection
    if connection is None:
        return ChannelAction.NONE
    if connection.unanswered_since is None:
        is_idle = now - connection.last_message_at > IDLE_S
        if is_idle and not channel.pending_answers_by_number:
            return ChannelAction.CLOSE_IDLE
        return ChannelAction.NONE
    if was_suspended:
        connection.unanswered_since = now
        return ChannelAction.NONE
    unanswered_s = now - connection.unanswered_since
    heartbeat_after_s = _get_heartbeat_after_s(channel)
    if unanswered_s > heartbeat_after_s + HEARTBEAT_TIMEOUT_S:
        return ChannelAction.DROP_SILENT
    if unanswered_s > heartbeat_after_s:
        return ChannelAction.SEND_HEARTBEAT
    return ChannelAction.NONE


def probe_channel(channel: OutgoingChannel, now: float) -> None:
    """Send a heartbeat at once, even if no message is unanswered."""
    if channel.connection is not None:
        channel.connection.expect_answer(now - _get_heartbeat_after_s(channel))
        channel.connection.send_heartbeat()


def _get_heartbeat_after_s(channel: OutgoingChannel) -> float:
    return HEARTBEAT_S if channel.pending_answers_by_number else IDLE_HEARTBEAT_S
