"""Numbered questions to several entries, answered within a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from jackdawridge.wire.peers import Peer

AnswerT = TypeVar('AnswerT')


class Open(Generic[AnswerT]):
    """One question and the answers so far.

    :param names: of the entries that were asked.
    """

    def __init__(self, names: Iterable[str]) -> None:
        """Start without answers."""
        self.missing = set(names)
        self.answers: dict[str, AnswerT] = {}
        self.complete: Deferred[None] = Deferred()


class Questions(Generic[AnswerT]):
    """Asks entries and gathers their answers.

    :param clock: the reactor.
    """

    def __init__(self, clock: Any) -> None:
        """Start without questions."""
        self.clock = clock
        self.number = 0
        self.open: dict[int, Open[AnswerT]] = {}

    async def ask(
        self,
        peers: Iterable[Peer],
        question: Callable[[int], object],
        wait: float,
    ) -> dict[str, AnswerT]:
        """Ask and return the answers that came in time, by entry.

        :param peers: the entries.
        :param question: returns the message of a number.
        :param wait: for the answers, in seconds.
        """
        self.number += 1
        number = self.number
        asked = tuple(peers)
        current: Open[AnswerT] = Open(peer.name for peer in asked)
        if not asked:
            return {}
        self.open[number] = current
        current.complete.addTimeout(wait, self.clock, _nothing)
        for peer in asked:
            peer.send(question(number))
        await current.complete
        self.open.pop(number)
        return current.answers

    def take(self, name: str, number: int, answer: AnswerT) -> None:
        """Take an answer; one that comes too late is dropped.

        :param name: of the entry.
        :param number: of the question.
        :param answer: its message.
        """
        current = self.open.get(number)
        if current is None or name not in current.missing:
            return
        current.missing.discard(name)
        current.answers[name] = answer
        if not current.missing:
            current.complete.callback(None)


def _nothing(*_: object) -> None:
    """Take a timeout as an answer."""
