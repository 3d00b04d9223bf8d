"""Publishing of changes: each is appended and then read back from the log."""

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

#: Timeout of an append, in seconds.
APPEND_TIMEOUT = 2.0
#: Shortest and longest backoff before a change is appended again, in seconds.
MIN_RETRY_DELAY = 0.2
MAX_RETRY_DELAY = 2.0
#: Time after which a change is no longer retried, in seconds.
MAX_RETRY_TIME = 600.0
#: Maximum number of changes that wait for a verdict at a time.
MAX_PENDING_CHANGES = 1000


class ChangeStatus(enum.Enum):
    """The status of a change that was submitted for publishing."""

    #: The change is in force and durable.
    accepted = 'accepted'
    #: The record had another version, so the change will never be in force.
    conflict = 'conflict'
    #: The change may be in the log or still reach it; the operator queries it
    #: again by its id.
    unknown = 'unknown'
    #: The change was not accepted because too many changes are pending.
    refused = 'refused'


class ChangeOutcome(NamedTuple):
    """The result of publishing a change, as reported to the operator."""

    status: ChangeStatus
    change_id: str
    #: Current version of the record.
    version: int
    #: Offset of the change in the log, -1 if it is not in the log.
    offset: int
    reason: str


class PendingChange(NamedTuple):
    """A change without a verdict."""

    change: Change
    #: Time after which the change is no longer retried, in seconds.
    deadline: float
    waiters: list[Deferred[None]]


class Publisher:
    """Publishes changes to the log.

    :param log: the log stream.
    :param configuration: receives the verdicts as the log is read.
    :param clock: the reactor.
    :param announce_hold: distributes a hold to all peers.
    """

    def __init__(
        self,
        log: LogService,
        configuration: Configuration,
        clock: Any,
        announce_hold: Callable[[Hold], object],
    ) -> None:
        """Initialize without pending changes."""
        self.log = log
        self.configuration = configuration
        self.clock = clock
        self.announce_hold = announce_hold
        self.pending: dict[str, PendingChange] = {}

    async def publish(self, change: Change, wait: float) -> ChangeOutcome:
        """Publish a change and return its outcome.

        Publishing is idempotent: for a change id that already has a verdict the
        earlier outcome is returned.

        :param change: a change whose value was validated.
        :param wait: timeout for the verdict, in seconds.
        """
        outcome = self.look_up(change.change_id)
        if outcome is not None:
            return outcome
        current = self.configuration.state.version(change.key)
        if change.expected < current:
            return ChangeOutcome(
                ChangeStatus.conflict,
                change.change_id,
                current,
                -1,
                f'{change.key} has version {current}, not {change.expected}',
            )
        if change.change_id not in self.pending:
            if len(self.pending) >= MAX_PENDING_CHANGES:
                return _refused(change.change_id, current)
            self.start_publishing(change)
        return await self.await_verdict(change.change_id, wait)

    def start_publishing(self, change: Change) -> None:
        """Start the loop that appends a change.

        :param change: the change to append.
        """
        deadline = self.clock.seconds() + MAX_RETRY_TIME
        pending = PendingChange(change, deadline, [])
        self.pending[change.change_id] = pending
        publishing = ensureDeferred(self.append_until_decided(pending))
        publishing.addErrback(_log_failure, change.change_id)

    async def append_until_decided(self, pending: PendingChange) -> None:
        """Append a change, with retries, until it is read back with a verdict.

        The hold is announced before the first append and again before each
        retry. Otherwise other entries would conclude that the change is absent
        and release the hold.

        :param pending: the change.
        """
        change = pending.change
        delay = MIN_RETRY_DELAY
        appended = False
        while change.change_id in self.pending:
            if self.clock.seconds() > pending.deadline:
                self.pending.pop(change.change_id)
                return
            self.announce_removal(change)
            if not appended:
                reply = await self.log.append(change.document(), APPEND_TIMEOUT)
                appended = reply.is_ok()
            await deferLater(self.clock, delay)
            delay = min(delay * 2, MAX_RETRY_DELAY)

    def announce_removal(self, change: Change) -> None:
        """Announce a hold if a change takes a failure domain out of service.

        :param change: any change.
        """
        if change.key.kind != FAILURE_DOMAIN:
            return
        if not read_in_service(change.value):
            self.announce_hold(Hold(change.change_id, change.key.name))

    def resolve_decided(self) -> None:
        """Wake the callers whose change now has a verdict."""
        verdicts = self.configuration.state.verdicts
        decided = [
            pending_id for pending_id in self.pending if pending_id in verdicts
        ]
        for change_id in decided:
            for waiter in self.pending.pop(change_id).waiters:
                waiter.callback(None)

    async def await_verdict(self, change_id: str, wait: float) -> ChangeOutcome:
        """Wait for the verdict on a pending change and return its outcome.

        :param change_id: id of the change.
        :param wait: timeout in seconds, after which the status is unknown.
        """
        decided: Deferred[None] = Deferred()
        self.pending[change_id].waiters.append(decided)
        decided.addTimeout(wait, self.clock, _timeout_to_none)
        await decided
        outcome = self.look_up(change_id)
        if outcome is not None:
            return outcome
        return ChangeOutcome(
            ChangeStatus.unknown,
            change_id,
            0,
            -1,
            'the log has not answered yet and the change may still come into'
            f' force; query it again with change id {change_id!r}',
        )

    def look_up(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change, None if it was not read from the log.

        :param change_id: id of the change.
        """
        verdict = self.configuration.state.verdicts.get(change_id)
        if verdict is None:
            return self.find_in_history(change_id)
        status = (
            ChangeStatus.accepted if verdict.accepted else ChangeStatus.conflict
        )
        reason = (
            ''
            if verdict.accepted
            else f'{verdict.kind}/{verdict.name} had version'
            f' {verdict.version} when the change reached the log'
        )
        return ChangeOutcome(
            status, change_id, verdict.version, verdict.offset, reason
        )

    def find_in_history(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change whose verdict is no longer kept.

        Only accepted changes can be found, by the kept versions of the records.

        :param change_id: id of the change.
        """
        for versions in self.configuration.state.records.values():
            for record_version in versions:
                if record_version.change_id == change_id:
                    return ChangeOutcome(
                        ChangeStatus.accepted,
                        change_id,
                        record_version.version,
                        record_version.offset,
                        '',
                    )
        return None


def _refused(change_id: str, version: int) -> ChangeOutcome:
    """Return the outcome of a change that was not accepted for publishing."""
    return ChangeOutcome(
        ChangeStatus.refused,
        change_id,
        version,
        -1,
        f'{MAX_PENDING_CHANGES} changes already wait for the log;'
        ' the change was not published',
    )


def _timeout_to_none(*_: object) -> None:
    """Fire the `Deferred` with None instead of a timeout error."""


def _log_failure(failure: Any, change_id: str) -> None:
    """Log an exception that has ended the publishing of a change."""
    logger.error(
        f'publishing change {change_id!r} stopped by an error:'
        f' {failure.getErrorMessage()}',
        step='publish',
    )
