"""Turns in which costly input of connections is handled.

Answers a crowd of clients whose input takes much processor time: bodies in
many small chunks, pipelined requests, long bodies, requests for metrics.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.util.clock import Clock

logger = get_logger('listener')

#: Time in each iteration of the event loop after which no further turn
#: begins, in seconds.
TURN_TIME = 0.005


class Participant(Protocol):
    """A connection or a request with input that is not handled yet."""

    def take_turn(self) -> None:
        """Handle a limited part of the input; ask for another turn if needed.

        It is not called again without another request.
        """

    def abort(self) -> None:
        """Close the connection, whose turn has failed."""


class InputTurns:
    """Handles costly input bit by bit, the same for all connections.

    What other connections have sent is read between the turns, so that it waits
    for `TURN_TIME` and one turn at most, however many take part.

    :param clock: the reactor.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without participants."""
        self.clock = clock
        #: Participants in the order of their turns.
        self.waiting: dict[Participant, None] = {}
        #: Call that begins the next turns, None if nobody waits.
        self.call: Any = None

    def add(self, participant: Participant) -> None:
        """Give a turn to a participant; no effect if it waits for one.

        :param participant: connection or request with more input.
        """
        self.waiting[participant] = None
        if self.call is None:
            self.call = self.clock.callLater(0, self.run)

    def discard(self, participant: Participant) -> None:
        """Give no turn to a participant that has asked for one.

        :param participant: connection or request that has ended.
        """
        self.waiting.pop(participant, None)

    def run(self) -> None:
        """Give turns, one to each participant at most, until time is up."""
        self.call = None
        until = self.clock.seconds() + TURN_TIME
        for participant in tuple(self.waiting):
            if participant not in self.waiting:
                # It has ended in the turn of another one.
                continue
            self.waiting.pop(participant)
            give_turn(participant)
            if self.clock.seconds() >= until:
                break
        if self.waiting and self.call is None:
            self.call = self.clock.callLater(0, self.run)


def give_turn(participant: Participant) -> None:
    """Give a turn to a participant; close its connection if that fails.

    :param participant: connection or request with more input.
    """
    try:
        participant.take_turn()
    except Exception:
        logger.exception('input could not be handled', step='receive')
        participant.abort()
