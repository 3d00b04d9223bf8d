"""Tests of a listener whose places are all taken."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from jackdawridge.listening.listeners import MAX_CONNECTIONS
from jackdawridge.listening.places import SPARE_PART
from tests.test_listening.test_http_channel import GET, OK, Listener

#: Number of connections that make room at a time.
LEAVING = MAX_CONNECTIONS // SPARE_PART


def fill(listener: Listener) -> list[Any]:
    """Return the connections of a crowd that takes all places."""
    crowd: list[Any] = []
    for _ in range(MAX_CONNECTIONS):
        listener.clock.advance(0.001)
        crowd.append(listener.connect())
    return crowd


def closed(crowd: list[Any]) -> list[Any]:
    """Return the connections that the listener has closed."""
    return [channel for channel in crowd if channel.transport.is_aborted]


class TestFullListener:
    def test_those_that_wait_longest_make_room(self) -> None:
        listener = Listener()
        crowd = fill(listener)
        crowd[0].dataReceived(GET)
        caller = listener.connect()
        caller.dataReceived(GET)
        assert caller.transport.value().startswith(OK)
        assert closed(crowd) == crowd[1 : LEAVING + 1]

    def test_callers_outlast_a_crowd_that_connects_again(self) -> None:
        """Almost as many newcomers as places while a request arrives."""
        listener = Listener()
        fill(listener)
        caller = listener.connect()
        caller.dataReceived(GET[:-1])
        for _ in range(MAX_CONNECTIONS - 2 * LEAVING):
            listener.connect()
        caller.dataReceived(GET[-1:])
        assert caller.transport.value().startswith(OK)

    def test_unfinished_requests_make_room(self) -> None:
        listener = Listener()
        crowd = fill(listener)
        for channel in crowd:
            channel.dataReceived(GET[:-1])
        listener.connect().dataReceived(GET)
        assert closed(crowd) == crowd[:LEAVING]
        assert listener.limits.memory.used > 0
        for channel in crowd[LEAVING:]:
            channel.connectionLost()
        assert listener.limits.memory.used == 0

    def test_requests_that_are_being_answered_stay(self) -> None:
        listener = Listener()
        crowd = fill(listener)
        listener.answers = [Deferred() for _ in crowd]
        for channel in crowd:
            channel.dataReceived(GET)
        assert listener.site.buildProtocol(None) is None
        assert not closed(crowd)

    def test_closed_connections_take_no_place(self) -> None:
        listener = Listener()
        crowd = fill(listener)
        for channel in crowd[:2]:
            channel.connectionLost()
        listener.connect()
        assert not closed(crowd[2:])
        assert len(listener.site.channels) == MAX_CONNECTIONS - 1
