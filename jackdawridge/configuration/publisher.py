"""Publishing of changes: appended, read back, and answered truthfully."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from jackdawridge.configuration.holds import Hold
from jackdawridge.configuration.records import FAILURE_DOMAIN
from jackdawridge.configuration.values import read_in_service
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.configuration.log_client import LogService
    from jackdawridge.configuration.records import Change

logger = get_logger('configuration')

#: Time for the answer to an append, in seconds.
APPEND_TIMEOUT = 2.0
#: Shortest and longest wait before a change is appended again, in seconds.
RETRY_FLOOR = 0.2
RETRY_CEILING = 2.0
#: Time after which a change is not appended again, in seconds.
RETRY_LIMIT = 600.0
#: Most changes that wait for the log at a time.
PENDING_LIMIT = 1000


class Status(enum.Enum):
    """What became of a change."""

    #: It is in force and stays.
    accepted = 'accepted'
    #: The record had another version; the change will never be in force.
    conflict = 'conflict'
    #: It may be in the log or get there; ask again with its id.
    unknown = 'unknown'
    #: It was not taken, because too many changes wait for the log.
    refused = 'refused'


class Outcome(NamedTuple):
    """The answer to an operator."""

    status: Status
    change_id: str
    #: Current version of the record.
    version: int
    #: Offset of the change in the log, or -1.
    offset: int
    reason: str


class Pending(NamedTuple):
    """A change that waits for its verdict."""

    change: Change
    #: Time after which it is not appended again, in seconds.
    deadline: float
    waiting: list[Deferred[None]]


class Publisher:
    """Publishes changes.

    :param log: the stream.
    :param configuration: in which verdicts appear.
    :param clock: the reactor.
    :param announce: spreads a hold to all peers.
    """

    def __init__(
        self,
        log: LogService,
        configuration: Configuration,
        clock: Any,
        announce: Callable[[Hold], object],
    ) -> None:
        """Start without changes."""
        self.log = log
        self.configuration = configuration
        self.clock = clock
        self.announce = announce
        self.pending: dict[str, Pending] = {}

    async def publish(self, change: Change, wait: float) -> Outcome:
        """Publish a change and say what became of it.

        A change id that was published before is not judged again.

        :param change: already checked.
        :param wait: for the verdict, in seconds.
        """
        known = self.look_up(change.change_id)
        if known is not None:
            return known
        current = self.configuration.state.version(change.key)
        if change.expected < current:
            return Outcome(
                Status.conflict,
                change.change_id,
                current,
                -1,
                f'{change.key} has version {current}, not {change.expected}',
            )
        if change.change_id not in self.pending:
            if len(self.pending) >= PENDING_LIMIT:
                return _refused(change.change_id, current)
            self.begin(change)
        return await self.await_verdict(change.change_id, wait)

    def begin(self, change: Change) -> None:
        """Start to append a change until it has been read back.

        :param change: to append.
        """
        deadline = self.clock.seconds() + RETRY_LIMIT
        pending = Pending(change, deadline, [])
        self.pending[change.change_id] = pending
        running = ensureDeferred(self.run(pending))
        running.addErrback(_log_failure, change.change_id)

    async def run(self, pending: Pending) -> None:
        """Append a change again and again until it is judged.

        The hold is spread before the first append, and again before each
        later one, so that no entry takes the change for absent meanwhile.

        :param pending: the change.
        """
        change = pending.change
        delay = RETRY_FLOOR
        appended = False
        while change.change_id in self.pending:
            if self.clock.seconds() > pending.deadline:
                self.pending.pop(change.change_id)
                return
            self.hold(change)
            if not appended:
                answer = await self.log.append(
                    change.document(), APPEND_TIMEOUT
                )
                appended = answer.is_ok()
            await deferLater(self.clock, delay)
            delay = min(delay * 2, RETRY_CEILING)

    def hold(self, change: Change) -> None:
        """Keep a failure domain that is being taken out without starts.

        :param change: any change.
        """
        if change.key.kind != FAILURE_DOMAIN:
            return
        if not read_in_service(change.value):
            self.announce(Hold(change.change_id, change.key.name))

    def resolve(self) -> None:
        """Wake those whose change has been judged."""
        verdicts = self.configuration.state.verdicts
        judged = [each for each in self.pending if each in verdicts]
        for change_id in judged:
            for waiting in self.pending.pop(change_id).waiting:
                waiting.callback(None)

    async def await_verdict(self, change_id: str, wait: float) -> Outcome:
        """Wait for the verdict on a pending change.

        :param change_id: of the change.
        :param wait: in seconds.
        """
        judged: Deferred[None] = Deferred()
        self.pending[change_id].waiting.append(judged)
        judged.addTimeout(wait, self.clock, _nothing)
        await judged
        known = self.look_up(change_id)
        if known is not None:
            return known
        return Outcome(
            Status.unknown,
            change_id,
            0,
            -1,
            'the log has not answered yet; the change may still come into'
            f' force; ask again with change id {change_id!r}',
        )

    def look_up(self, change_id: str) -> Outcome | None:
        """Return what became of a change, None if it was not read.

        :param change_id: of the change.
        """
        verdict = self.configuration.state.verdicts.get(change_id)
        if verdict is None:
            return self.look_up_history(change_id)
        status = Status.accepted if verdict.accepted else Status.conflict
        reason = (
            ''
            if verdict.accepted
            else f'{verdict.kind}/{verdict.name} had version'
            f' {verdict.version} by then'
        )
        return Outcome(
            status, change_id, verdict.version, verdict.offset, reason
        )

    def look_up_history(self, change_id: str) -> Outcome | None:
        """Return the outcome of a change whose verdict is no longer kept.

        :param change_id: of the change.
        """
        for versions in self.configuration.state.records.values():
            for each in versions:
                if each.change_id == change_id:
                    return Outcome(
                        Status.accepted,
                        change_id,
                        each.version,
                        each.offset,
                        '',
                    )
        return None


def _refused(change_id: str, version: int) -> Outcome:
    """Return the outcome of a change that was not taken."""
    return Outcome(
        Status.refused,
        change_id,
        version,
        -1,
        f'{PENDING_LIMIT} changes wait for the log already;'
        ' the change was not published',
    )


def _nothing(*_: object) -> None:
    """Take a timeout as an answer."""


def _log_failure(failure: Any, change_id: str) -> None:
    """Log the end of a publishing loop by an error."""
    logger.error(
        f'publishing {change_id!r} failed: {failure.getErrorMessage()}',
        step='publish',
    )
