"""Which sides have put the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.configuration.messages import (
    ConfigurationApplied,
    ConfirmationAnswer,
    ConfirmationQuestion,
)
from jackdawridge.configuration.questions import Questions

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.configuration.log_survey import LogSurvey
    from jackdawridge.wire.peers import Peer

#: Time for which a side that is no longer linked is still named, in seconds.
MEMORY = 15.0
#: Time for the answers of the other entries, in seconds.
ANSWER_TIMEOUT = 1.0


class Confirmation(NamedTuple):
    """Sides of a failure domain by whether they confirmed a position."""

    confirmed: frozenset[str]
    missing: frozenset[str]


class KnownSide:
    """What an entry knows about the configuration of a side.

    :param failure_domain: of the side.
    :param position: that it confirmed.
    """

    def __init__(self, failure_domain: str, position: int) -> None:
        """Start as linked."""
        self.failure_domain = failure_domain
        self.position = position
        #: When the last link to it ended, None while there is one.
        self.left_at: float | None = None
        #: Links to runs of this side.
        self.links = 1


class Confirmations:
    """Gathers what sides confirm, at this entry and at the others.

    :param application: the process.
    :param survey: knows the other entries.
    """

    def __init__(self, application: Application, survey: LogSurvey) -> None:
        """Listen to messages and peers."""
        self.application = application
        self.survey = survey
        self.sides: dict[str, KnownSide] = {}
        self.questions: Questions[ConfirmationAnswer] = Questions(
            application.clock
        )
        application.on_message(ConfigurationApplied, self.applied)
        application.on_message(ConfirmationQuestion, self.asked)
        application.on_message(ConfirmationAnswer, self.answered)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)

    def peer_joined(self, peer: Peer) -> None:
        """Take note of a side; a new run has confirmed nothing yet.

        :param peer: at the other end of a new link.
        """
        introduction = peer.introduction
        if introduction.role != 'side':
            return
        known = self.sides.get(peer.name)
        side = KnownSide(introduction.failure_domain, -1)
        if known is not None and known.left_at is None:
            side.links = known.links + 1
        self.sides[peer.name] = side

    def peer_left(self, peer: Peer) -> None:
        """Take note that a side is no longer linked.

        :param peer: whose link has ended.
        """
        side = self.sides.get(peer.name)
        if side is None or peer.introduction.role != 'side':
            return
        side.links -= 1
        if side.links <= 0:
            side.left_at = self.application.clock.seconds()

    def applied(self, peer: Peer, message: ConfigurationApplied) -> None:
        """Take what a side confirms.

        :param peer: the side.
        :param message: the position that is in force there.
        """
        side = self.sides.get(peer.name)
        if side is not None:
            side.position = max(side.position, message.position)

    def local(self, failure_domain: str, position: int) -> Confirmation:
        """Return what the sides known here have confirmed.

        :param failure_domain: whose sides are meant, empty for all.
        :param position: to confirm.
        """
        self.forget_gone()
        meant = {
            name: side.position >= position
            for name, side in self.sides.items()
            if failure_domain in {'', side.failure_domain}
        }
        return Confirmation(
            frozenset(name for name, done in meant.items() if done),
            frozenset(name for name, done in meant.items() if not done),
        )

    def forget_gone(self) -> None:
        """Drop the sides that have not been linked for a while."""
        now = self.application.clock.seconds()
        gone = [
            name
            for name, side in self.sides.items()
            if side.left_at is not None and now - side.left_at > MEMORY
        ]
        for name in gone:
            self.sides.pop(name)

    async def gather(self, failure_domain: str, position: int) -> Confirmation:
        """Return what the sides known to any entry have confirmed.

        :param failure_domain: whose sides are meant, empty for all.
        :param position: to confirm.
        """
        answers = await self.questions.ask(
            self.survey.entries.values(),
            lambda number: ConfirmationQuestion(
                number, failure_domain, position
            ),
            ANSWER_TIMEOUT,
        )
        parts = [self.local(failure_domain, position)]
        parts.extend(
            Confirmation(frozenset(each.confirmed), frozenset(each.missing))
            for each in answers.values()
        )
        return merge(parts)

    def asked(self, peer: Peer, question: ConfirmationQuestion) -> None:
        """Answer another entry.

        :param peer: that asks.
        :param question: about sides of a failure domain.
        """
        known = self.local(question.failure_domain, question.position)
        peer.send(
            ConfirmationAnswer(
                question.number,
                tuple(sorted(known.confirmed)),
                tuple(sorted(known.missing)),
            )
        )

    def answered(self, peer: Peer, answer: ConfirmationAnswer) -> None:
        """Take the answer of another entry.

        :param peer: that answers.
        :param answer: about the sides it knows.
        """
        self.questions.take(peer.name, answer.number, answer)


def merge(parts: Iterable[Confirmation]) -> Confirmation:
    """Return what several entries know together.

    A side that confirmed to one entry has the configuration in force.

    :param parts: what each entry knows.
    """
    confirmed: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()
    for part in parts:
        confirmed |= part.confirmed
        missing |= part.missing
    return Confirmation(confirmed, missing - confirmed)
