"""Handler of the messages by which other entries delegate placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.lead import Lead
from jackdawridge.coordination.messages import (
    Delegation,
    DelegationEnd,
    DelegationUpdate,
)
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.coordination.lead import Delegator
    from jackdawridge.coordination.links import EntryLinks
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer

logger = get_logger('coordination')

#: Time in seconds after which an entry may delegate again whose sides this
#: entry isn't linked to. Links are established within a second.
UNREACHABLE_RETRY_TIME = 1.0
#: Time in seconds after which an entry may delegate again in all other cases.
RETRY_TIME = 0.5
#: Rejection reason that the sender compares with.
SIDES_UNREACHABLE = 'sides are out of reach'


class DelegationHandler:
    """Accepts or rejects delegations and sends decisions to the delegators.

    :param application: the process.
    :param engine: owns the jobs of this entry.
    :param links: links to the other entries.
    """

    def __init__(
        self, application: Application, engine: JobEngine, links: EntryLinks
    ) -> None:
        """Register the message handlers."""
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.links = links
        self.lead = Lead(engine.placer)
        application.on_message(Delegation, self.delegation_received)
        application.on_message(DelegationUpdate, self.update_received)

    def delegation_received(self, peer: Peer, delegation: Delegation) -> None:
        """Accept a delegation, or reject it with a reason.

        :param peer: sender.
        :param delegation: queued and running tasks of the sender.
        """
        incarnation = peer.introduction.incarnation
        reason = self.rejection_reason(delegation)
        if reason:
            self.lead.forget(incarnation)
            retry_after = (
                UNREACHABLE_RETRY_TIME
                if reason == SIDES_UNREACHABLE
                else RETRY_TIME
            )
            peer.send(DelegationEnd(delegation.term, reason, retry_after))
            return
        self.lead.accept(incarnation, delegation, self.clock.seconds())
        self.engine.place_soon()

    def rejection_reason(self, delegation: Delegation) -> str:
        """Return why a delegation is rejected, empty if it is accepted.

        :param delegation: delegation of the other entry.
        """
        if self.application.draining:
            return 'entry is leaving'
        if self.engine.decider.is_delegated():
            return 'another entry decides'
        if not self.lead.reaches(delegation.sides):
            return SIDES_UNREACHABLE
        return ''

    def update_received(self, peer: Peer, update: DelegationUpdate) -> None:
        """Apply an update from a delegator.

        :param peer: sender.
        :param update: changes since the previous update.
        """
        incarnation = peer.introduction.incarnation
        if self.lead.apply_update(incarnation, update, self.clock.seconds()):
            self.engine.place_soon()
        else:
            peer.send(DelegationEnd(update.term, 'nothing is known', 0))

    def flush(self) -> None:
        """Send pending decisions to the delegators."""
        for answer in self.lead.collect_answers():
            self.links.send(answer.incarnation, answer.decisions)

    def forget_silent(self, now: float) -> None:
        """Forget delegators that have sent nothing for too long.

        :param now: current time in seconds.
        """
        for incarnation in self.lead.forget_silent(now):
            name = self.links.name(incarnation)
            logger.warning('entry is silent', step='lead', peer=name)

    def end_unreached(self, now: float) -> None:
        """End the delegations of entries whose sides are out of reach.

        :param now: current time in seconds.
        """
        for delegator in self.lead.find_unreached(now):
            self.end(delegator, SIDES_UNREACHABLE, UNREACHABLE_RETRY_TIME)

    def end_all(self, reason: str) -> None:
        """End all delegations to this entry.

        :param reason: sent to the delegators.
        """
        for delegator in tuple(self.lead.delegators.values()):
            self.end(delegator, reason, RETRY_TIME)

    def end(
        self, delegator: Delegator, reason: str, retry_after: float
    ) -> None:
        """End a delegation to this entry.

        :param delegator: entry that has delegated.
        :param reason: sent to the entry.
        :param retry_after: time before its next attempt, in seconds.
        """
        self.lead.forget(delegator.incarnation)
        ending = DelegationEnd(delegator.term, reason, retry_after)
        self.links.send(delegator.incarnation, ending)
