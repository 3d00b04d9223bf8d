"""Retirement of settled agreement versions without open work."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from jackdawridge.configuration.agreements import AgreementVersion
from jackdawridge.configuration.fan_out import FanOut
from jackdawridge.configuration.messages import OpenWorkReply, OpenWorkRequest
from jackdawridge.configuration.records import Change
from jackdawridge.configuration.state import RETIRED, settlement_key
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.configuration.log_status_poller import LogStatusPoller
    from jackdawridge.configuration.publisher import Publisher
    from jackdawridge.wire.peers import Peer

logger = get_logger('configuration')

#: Interval between attempts to retire settled versions, in seconds.
CHECK_INTERVAL = 5.0
#: Timeout for the replies of the other entries, in seconds.
REPLY_TIMEOUT = 1.0
#: Timeout for the verdict on a retirement, in seconds.
VERDICT_TIMEOUT = 5.0


class RemainingWork(NamedTuple):
    """The open work under an agreement version."""

    work: int
    #: Known entries that did not reply or have not read the settlement yet.
    silent: tuple[str, ...]


class Retirement:
    """Retires settled versions that have no open work; a component.

    A version is retired only after every known entry has replied that it has
    read the settlement and has no open work under the version.

    :param application: the process.
    :param configuration: the configuration in force at this entry.
    :param status_poller: knows the other entries.
    :param publisher: publishes the retirement.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        status_poller: LogStatusPoller,
        publisher: Publisher,
    ) -> None:
        """Register the message handlers."""
        clock: Any = application.clock
        self.node = application.settings.text('node')
        self.configuration = configuration
        self.status_poller = status_poller
        self.publisher = publisher
        self.fan_out: FanOut[OpenWorkReply] = FanOut(application.clock)
        self.loop = LoopingCall(self.check)
        self.loop.clock = clock
        application.on_message(OpenWorkRequest, self.handle_request)
        application.on_message(OpenWorkReply, self.handle_reply)

    def start(self) -> None:
        """Start checking for settled versions."""
        self.loop.start(CHECK_INTERVAL, now=False)

    def stop(self) -> None:
        """Stop checking."""
        if self.loop.running:
            self.loop.stop()

    def check(self) -> Any:
        """Retire the settled versions without open work, in the background."""
        running = ensureDeferred(self.retire_settled())
        return running.addErrback(_log_failure)

    async def retire_settled(self) -> None:
        """Retire what can be retired, at the entry whose name sorts first.

        One entry suffices, so the others leave it to that one.
        """
        if min((self.node, *self.status_poller.entries)) != self.node:
            return
        for agreement_version in self.configuration.settled_versions():
            await self.retire(agreement_version)

    async def retire(self, agreement_version: AgreementVersion) -> bool:
        """Retire a settled version if it has no open work.

        :param agreement_version: the version to retire.
        :returns: whether the version is retired.
        """
        remaining = await self.count_open_work(agreement_version)
        if remaining.work or remaining.silent:
            return False
        key = settlement_key(*agreement_version)
        change = Change(
            key,
            self.configuration.state.version(key),
            f'retire-{uuid.uuid4().hex}',
            {'status': RETIRED},
        )
        await self.publisher.publish(change, VERDICT_TIMEOUT)
        return self.configuration.is_retired(*agreement_version)

    async def count_open_work(
        self, agreement_version: AgreementVersion
    ) -> RemainingWork:
        """Return the open work under a version at all known entries.

        :param agreement_version: the version to count.
        """
        versions = self.configuration.state.records.get(
            settlement_key(*agreement_version), ()
        )
        settlement_offset = versions[-1].offset if versions else -1
        replies = await self.fan_out.gather(
            self.status_poller.entries.values(),
            lambda number: OpenWorkRequest(number, *agreement_version),
            REPLY_TIMEOUT,
        )
        informed = {
            name: reply
            for name, reply in replies.items()
            if reply.position > settlement_offset
        }
        known = self.status_poller.entry_names.names(self.status_poller.now())
        return RemainingWork(
            self.configuration.open_work.count(agreement_version)
            + sum(reply.work for reply in replies.values()),
            tuple(sorted(known - set(informed))),
        )

    def handle_request(self, peer: Peer, request: OpenWorkRequest) -> None:
        """Reply to another entry with the open work of this one.

        :param peer: the requesting entry.
        :param request: names the agreement and the version.
        """
        agreement_version = AgreementVersion(request.agreement, request.version)
        work = self.configuration.open_work.count(agreement_version)
        peer.send(
            OpenWorkReply(request.number, self.configuration.position, work)
        )

    def handle_reply(self, peer: Peer, reply: OpenWorkReply) -> None:
        """Add the reply of another entry to the request that it belongs to.

        :param peer: the replying entry.
        :param reply: the open work of that entry.
        """
        self.fan_out.handle_reply(peer.name, reply.number, reply)


def _log_failure(failure: Any) -> None:
    """Log an exception that has ended an attempt."""
    logger.error(failure.getErrorMessage(), step='retire')
