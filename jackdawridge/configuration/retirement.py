"""Retiring settled versions of agreements once no work is under them."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from jackdawridge.configuration.agreements import Pinned
from jackdawridge.configuration.messages import WorkAnswer, WorkQuestion
from jackdawridge.configuration.questions import Questions
from jackdawridge.configuration.records import Change
from jackdawridge.configuration.state import RETIRED, settlement_key
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.configuration.log_survey import LogSurvey
    from jackdawridge.configuration.publisher import Publisher
    from jackdawridge.wire.peers import Peer

logger = get_logger('configuration')

#: Time between two attempts to retire settled versions, in seconds.
INTERVAL = 5.0
#: Time for the answers of the other entries, in seconds.
ANSWER_TIMEOUT = 1.0
#: Time for the verdict on a retirement, in seconds.
VERDICT_TIMEOUT = 5.0


class OpenCount(NamedTuple):
    """Work that is still under a version of an agreement."""

    work: int
    #: Known entries that did not say, or do not know of the settlement yet.
    silent: tuple[str, ...]


class Retirement:
    """Counts the work under settled versions at all entries; a component.

    A version is retired only when every known entry has said that it knows
    of the settlement and has no work under the version left.

    :param application: the process.
    :param configuration: what is in force here.
    :param survey: knows the other entries.
    :param publisher: of the retirement.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        survey: LogSurvey,
        publisher: Publisher,
    ) -> None:
        """Listen to messages."""
        clock: Any = application.clock
        self.node = application.settings.text('node')
        self.configuration = configuration
        self.survey = survey
        self.publisher = publisher
        self.questions: Questions[WorkAnswer] = Questions(application.clock)
        self.loop = LoopingCall(self.check)
        self.loop.clock = clock
        application.on_message(WorkQuestion, self.asked)
        application.on_message(WorkAnswer, self.answered)

    def start(self) -> None:
        """Begin to look for settled versions."""
        self.loop.start(INTERVAL, now=False)

    def stop(self) -> None:
        """Retire no more."""
        if self.loop.running:
            self.loop.stop()

    def check(self) -> Any:
        """Retire the settled versions without work."""
        running = ensureDeferred(self.retire_all())
        return running.addErrback(_log_failure)

    async def retire_all(self) -> None:
        """Try to retire each settled version, at one entry only."""
        if min((self.node, *self.survey.entries)) != self.node:
            return
        for pinned in self.configuration.settled_versions():
            await self.retire(pinned)

    async def retire(self, pinned: Pinned) -> bool:
        """Retire a settled version if no work is left under it.

        :param pinned: the version.
        """
        left = await self.count(pinned)
        if left.work or left.silent:
            return False
        key = settlement_key(*pinned)
        change = Change(
            key,
            self.configuration.state.version(key),
            f'retire-{uuid.uuid4().hex}',
            {'status': RETIRED},
        )
        await self.publisher.publish(change, VERDICT_TIMEOUT)
        return self.configuration.is_retired(*pinned)

    async def count(self, pinned: Pinned) -> OpenCount:
        """Return the work under a version at all known entries.

        :param pinned: the version.
        """
        versions = self.configuration.state.records.get(
            settlement_key(*pinned), ()
        )
        settled_at = versions[-1].offset if versions else -1
        answers = await self.questions.ask(
            self.survey.entries.values(),
            lambda number: WorkQuestion(number, *pinned),
            ANSWER_TIMEOUT,
        )
        informed = {
            name: answer
            for name, answer in answers.items()
            if answer.position > settled_at
        }
        known = self.survey.known.names(self.survey.now())
        return OpenCount(
            self.configuration.open_work.count(pinned)
            + sum(answer.work for answer in answers.values()),
            tuple(sorted(known - set(informed))),
        )

    def asked(self, peer: Peer, question: WorkQuestion) -> None:
        """Answer another entry.

        :param peer: that asks.
        :param question: about a version.
        """
        pinned = Pinned(question.agreement, question.version)
        work = self.configuration.open_work.count(pinned)
        peer.send(
            WorkAnswer(question.number, self.configuration.position, work)
        )

    def answered(self, peer: Peer, answer: WorkAnswer) -> None:
        """Take the answer of another entry.

        :param peer: that answers.
        :param answer: its count.
        """
        self.questions.take(peer.name, answer.number, answer)


def _log_failure(failure: Any) -> None:
    """Log an error of an attempt."""
    logger.error(failure.getErrorMessage(), step='retire')
