"""Questions to peers that have no answer yet."""

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

#: Time in which a peer whose link has ended may link again and be asked again,
#: in seconds: two processes that dial each other keep one of two links.
RELINK_TIME = 0.5


class OpenCall(NamedTuple):
    """A question that a peer has to answer."""

    #: None while the peer is not linked.
    peer: Peer | None
    incarnation: str
    message: Any
    #: Called once with the answer, or with None if there is none.
    finish: Callable[[Any], object]
    timer: DelayedCall


class OpenCalls:
    """Asks peers, and asks again over a link that replaces an older one.

    For questions that may arrive twice without harm.

    :param application: the process.
    :param limit: questions that may be open at a time.
    """

    def __init__(self, application: Application, limit: int) -> None:
        """Register for events."""
        self.clock = application.clock
        self.limit = limit
        self.numbers = count(1)
        self.calls: dict[int, OpenCall] = {}
        application.events.connect('peer_left', self.peer_left)
        application.events.connect('peer_joined', self.peer_joined)

    def ask(
        self,
        peer: Peer,
        message: Any,
        patience: float,
        finish: Callable[[Any], object],
    ) -> int | None:
        """Ask a peer and return the number of the question.

        Returns None if there are too many, or if the link takes nothing.

        :param peer: that is linked.
        :param message: with a field `number`, which is set here.
        :param patience: time for the answer, in seconds.
        :param finish: called once with the answer, or with None.
        """
        number = next(self.numbers)
        numbered = message._replace(number=number)
        if len(self.calls) >= self.limit or not peer.send(numbered):
            return None
        self.calls[number] = OpenCall(
            peer,
            peer.introduction.incarnation,
            numbered,
            finish,
            self.clock.callLater(patience, self.finish, number, None),
        )
        return number

    def answered(self, peer: Peer, number: int, answer: Any) -> None:
        """Take an answer.

        :param peer: that has sent it.
        :param number: of the question.
        :param answer: for the one who has asked.
        """
        call = self.calls.get(number)
        if call is not None and call.peer is peer:
            self.finish(number, answer)

    def finish(self, number: int, answer: Any) -> None:
        """Give the answer to the one who has asked, once.

        :param number: of the question.
        :param answer: None if there is none.
        """
        call = self.calls.get(number)
        if call is not None:
            self.forget(number)
            call.finish(answer)

    def forget(self, number: int) -> None:
        """Drop a question.

        :param number: of the question.
        """
        call = self.calls.pop(number, None)
        if call is not None and call.timer.active():
            call.timer.cancel()

    def peer_left(self, peer: Peer) -> None:
        """Give a peer whose link has ended some time to link again.

        :param peer: any peer.
        """
        for number, call in tuple(self.calls.items()):
            if call.peer is peer:
                self.calls[number] = call._replace(peer=None)
                self.clock.callLater(RELINK_TIME, self.give_up, number)

    def give_up(self, number: int) -> None:
        """Answer a question whose peer has not linked again.

        :param number: of the question.
        """
        call = self.calls.get(number)
        if call is not None and call.peer is None:
            self.finish(number, None)

    def peer_joined(self, peer: Peer) -> None:
        """Ask a peer again that has linked again.

        :param peer: any peer.
        """
        for number, call in tuple(self.calls.items()):
            is_same = call.incarnation == peer.introduction.incarnation
            if call.peer is None and is_same and peer.send(call.message):
                logger.info('asked again', peer=peer.name, number=number)
                self.calls[number] = call._replace(peer=peer)
