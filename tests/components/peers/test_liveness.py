"""Tests of the decision whether a connection is alive."""

import pytest

from fescuekeel.components.peers.connection import Connection
from fescuekeel.components.peers.const import (
    HEARTBEAT_S,
    HEARTBEAT_TIMEOUT_S,
    IDLE_HEARTBEAT_S,
    IDLE_S,
)
from fescuekeel.components.peers.frames import Direction
from fescuekeel.components.peers.liveness import (
    ChannelAction,
    check_channel,
    probe_channel,
)
from fescuekeel.components.peers.outgoing import OutgoingChannel

START_S = 1000.0


def make_channel(pending=False, unanswered=False):
    channel = OutgoingChannel("i2", 1, False, START_S)
    channel.connection = Connection((b"k",), Direction.CONNECTING, lambda: START_S)
    # No event loop runs that would send it.
    channel.connection.send_heartbeat = lambda: None
    if pending:
        channel.pending_answers_by_number[1] = None
    if unanswered:
        channel.connection.unanswered_since = START_S
    return channel


class TestCheckChannel:
    @pytest.mark.parametrize("pending", [False, True])
    def test_silence_is_followed_by_a_heartbeat_and_a_loss(self, pending):
        channel = make_channel(pending, unanswered=True)
        heartbeat_s = HEARTBEAT_S if pending else IDLE_HEARTBEAT_S
        for after_s, action in (
            (heartbeat_s - 0.01, ChannelAction.NONE),
            (heartbeat_s + 0.01, ChannelAction.SEND_HEARTBEAT),
            (heartbeat_s + HEARTBEAT_TIMEOUT_S + 0.01, ChannelAction.DROP_SILENT),
        ):
            assert check_channel(channel, START_S + after_s, False) is action

    def test_silence_starts_anew_after_a_pause(self):
        """Guards against losing all connections when a process resumes."""
        channel = make_channel(unanswered=True)
        paused_s = 10.0
        assert check_channel(channel, START_S + paused_s, True) is ChannelAction.NONE
        assert channel.connection.unanswered_since == START_S + paused_s

    def test_idle_channel_is_closed_unless_an_answer_is_due(self):
        later = START_S + IDLE_S + 1.0
        assert check_channel(make_channel(), later, False) is ChannelAction.CLOSE_IDLE
        pending = make_channel(pending=True)
        assert check_channel(pending, later, False) is ChannelAction.NONE

    def test_probe_of_a_quiet_channel_is_lost_after_the_timeout(self):
        """Guards against trusting a connection on which nothing was sent."""
        channel = make_channel()
        probe_channel(channel, START_S)
        late = START_S + HEARTBEAT_TIMEOUT_S
        assert (
            check_channel(channel, late - 0.01, False) is ChannelAction.SEND_HEARTBEAT
        )
        assert check_channel(channel, late + 0.01, False) is ChannelAction.DROP_SILENT

    def test_probe_does_not_prolong_a_silence(self):
        channel = make_channel(unanswered=True)
        probe_channel(channel, START_S + 1.0)
        lost_at = START_S + IDLE_HEARTBEAT_S + HEARTBEAT_TIMEOUT_S + 0.01
        assert check_channel(channel, lost_at, False) is ChannelAction.DROP_SILENT
