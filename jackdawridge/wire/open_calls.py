"""Calls to peers that have not been answered yet."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple

from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Application
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Peer

logger = get_logger('peers')

#: Time that a peer whose link has closed has to link again and be sent its
#: open calls again, in seconds. Two processes that dial each other at once
#: close one of their two links, which must not fail the calls sent over it.
RELINK_TIME = 0.5


class OpenCall(NamedTuple):
    """A call that was sent to a peer and not answered yet."""

    #: The peer, or None while it is unlinked.
    peer: Peer | None
    #: Run of the peer to which the call was sent.
    incarnation: str
    #: The request, sent again if the same run links again.
    message: Any
    #: Called once with the answer, or with None if the call fails.
    on_complete: Callable[[Any], object]
    #: Fails the call at its timeout.
    timer: DelayedCall
    #: Fails the call unless the peer links again, None while it is linked.
    relink_timer: DelayedCall | None = None


class OpenCalls:
    """Sends requests to peers and matches the answers by their number.

    A request is sent again over a link that replaces the one it was sent
    over, so it must be idempotent.

    :param application: the process.
    :param max_calls: maximum number of open calls.
    """

    def __init__(self, application: Application, max_calls: int) -> None:
        """Connect to the events of links."""
        self.clock = application.clock
        self.max_calls = max_calls
        self.numbers = count(1)
        self.calls: dict[int, OpenCall] = {}
        application.events.connect('peer_left', self.peer_left)
        application.events.connect('peer_joined', self.peer_joined)

    def ask(
        self,
        peer: Peer,
        message: Any,
        timeout: float,
        on_complete: Callable[[Any], object],
    ) -> int | None:
        """Send a request to a peer and return the number of the call.

        Returns None if too many calls are open or the link does not accept
        the message.

        :param peer: a linked peer.
        :param message: the request; its field `number` is set here.
        :param timeout: time limit for the answer, in seconds.
        :param on_complete: called once with the answer, or with None if the
            call times out or the peer does not link again in time.
        """
        number = next(self.numbers)
        numbered = message._replace(number=number)
        if len(self.calls) >= self.max_calls or not peer.send(numbered):
            return None
        self.calls[number] = OpenCall(
            peer,
            peer.introduction.incarnation,
            numbered,
            on_complete,
            self.clock.callLater(timeout, self.complete, number, None),
        )
        return number

    def handle_answer(self, peer: Peer, number: int, answer: Any) -> None:
        """Complete a call with its answer.

        Answers to unknown calls and from other peers are ignored.

        :param peer: peer that has sent the answer.
        :param number: number of the call.
        :param answer: passed to the callback of the call.
        """
        call = self.calls.get(number)
        if call is not None and call.peer is peer:
            self.complete(number, answer)

    def complete(self, number: int, answer: Any) -> None:
        """Remove a call and invoke its callback.

        Does nothing if the call is no longer open.

        :param number: number of the call.
        :param answer: the answer, or None if the call has failed.
        """
        call = self.calls.get(number)
        if call is not None:
            self.cancel(number)
            call.on_complete(answer)

    def cancel(self, number: int) -> None:
        """Remove a call without invoking its callback.

        :param number: number of the call.
        """
        call = self.calls.pop(number, None)
        if call is None:
            return
        for timer in (call.timer, call.relink_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def peer_left(self, peer: Peer) -> None:
        """Fail the calls to a peer unless it links again in time.

        :param peer: peer whose link has closed.
        """
        for number, call in tuple(self.calls.items()):
            if call.peer is peer:
                self.calls[number] = call._replace(
                    peer=None,
                    relink_timer=self.clock.callLater(
                        RELINK_TIME, self.complete, number, None
                    ),
                )

    def peer_joined(self, peer: Peer) -> None:
        """Send the open calls again to a peer that has linked again.

        :param peer: peer whose link has opened.
        """
        for number, call in tuple(self.calls.items()):
            is_same_run = call.incarnation == peer.introduction.incarnation
            if call.relink_timer is None or not is_same_run:
                continue
            if peer.send(call.message):
                logger.info('asked again', peer=peer.name, number=number)
                call.relink_timer.cancel()
                self.calls[number] = call._replace(peer=peer, relink_timer=None)
