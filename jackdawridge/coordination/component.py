"""Component that selects a lead and delegates placement to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.candidates import CandidateFinder
from jackdawridge.coordination.decider import JointDecider
from jackdawridge.coordination.delegate import Delegate
from jackdawridge.coordination.delegation_handler import (
    SIDES_UNREACHABLE,
    DelegationHandler,
)
from jackdawridge.coordination.links import EntryLinks
from jackdawridge.coordination.messages import Decisions, DelegationEnd
from jackdawridge.coordination.selection import EXCLUSION_TIME, LeadSelector
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.membership.directory import Directory
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Peer, Peers

logger = get_logger('coordination')

#: Interval in seconds between two checks for silent entries while there are
#: tasks.
CHECK_INTERVAL = 0.05
#: Checks that may be missed before this process considers itself to have been
#: paused.
MAX_MISSED_CHECKS = 3


class CoordinationStatus(NamedTuple):
    """Status section that tells which entry places tasks for which."""

    #: Node of this entry's lead, or empty.
    lead: str
    #: Number of entries whose tasks this entry places.
    delegators: int


class Coordination:
    """Delegates placement to a lead, or places tasks as the lead; a component.

    Jobs complete without a lead, too: sides admit each start, the entry that
    accepted a job owns it, and an entry whose lead doesn't answer places its
    own tasks.

    :param application: the process.
    :param peers: peers that the process is linked to.
    :param engine: owns the jobs of this entry.
    :param directory: lists the other entries.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        engine: JobEngine,
        directory: Directory,
    ) -> None:
        """Register the handlers of messages and events."""
        self.clock = application.clock
        self.engine = engine
        self.links = EntryLinks(application.incarnation, peers, directory)
        self.candidates = CandidateFinder.from_config(
            application.settings, self.links
        )
        self.delegations = DelegationHandler(application, engine, self.links)
        self.delegate = Delegate(engine.placer)
        self.selector = LeadSelector()
        engine.decider = JointDecider(self)
        #: Decisions of the lead that wait until the input of a pause is read.
        self.held_decisions: list[tuple[Peer, Decisions]] = []
        self.timer: DelayedCall | None = None
        self.checked_at = self.clock.seconds()
        application.on_message(Decisions, self.decisions_received)
        application.on_message(DelegationEnd, self.delegation_ended)
        events = application.events
        events.connect('peer_joined', self.entries_changed)
        events.connect('member_changed', self.entries_changed)
        events.connect('peer_left', self.peer_left)
        events.connect('sides_changed', self.sides_changed)
        events.connect('draining', self.end_delegations)
        events.connect('backlog_read', self.backlog_read)

    def start(self) -> None:
        """Do nothing: the check is scheduled as soon as there are tasks."""

    def stop(self) -> None:
        """Cancel the next check."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def status(self) -> CoordinationStatus:
        """Return the status section for operators."""
        lead = self.delegate.lead
        name = self.links.name(lead) if lead else ''
        return CoordinationStatus(name, len(self.delegations.lead.delegators))

    def flush(self) -> None:
        """Send pending updates and decisions, and schedule the next check."""
        now = self.clock.seconds()
        self.delegations.flush()
        update = self.delegate.make_update(now)
        if update is not None:
            self.links.send(self.delegate.lead, update)
        if self.timer is None and self.expects_messages():
            self.checked_at = now
            self.timer = self.clock.callLater(
                CHECK_INTERVAL, self.check_silence
            )

    def expects_messages(self) -> bool:
        """Return whether this entry expects messages from another entry."""
        if self.delegate.has_lead():
            return self.delegate.has_tasks() or bool(self.delegate.unanswered)
        return bool(self.delegations.lead.delegators)

    def check_silence(self) -> None:
        """Check that the lead and the delegators still answer."""
        self.timer = None
        now = self.clock.seconds()
        paused = now - self.checked_at > MAX_MISSED_CHECKS * CHECK_INTERVAL
        self.checked_at = now
        if paused:
            # Messages that arrived during the pause are processed before
            # timeouts apply.
            self.delegate.restart_timeouts(now)
        else:
            self.delegations.forget_silent(now)
            if self.candidates.lead_links:
                self.delegations.end_unreached(now)
        if self.delegate.is_overdue(now):
            self.abandon_lead('lead does not answer')
        self.select_lead()
        self.flush()

    def abandon_lead(
        self, reason: str, duration: float = EXCLUSION_TIME
    ) -> None:
        """Exclude the lead for a limited time and place tasks here again.

        :param reason: written to the log.
        :param duration: time for which the lead is excluded, in seconds.
        """
        lead = self.delegate.lead
        logger.notice(
            'entry decides alone',
            step='delegate',
            peer=self.links.name(lead),
            reason=reason,
        )
        self.selector.exclude(lead, self.clock.seconds(), duration)
        self.place_locally()

    def place_locally(self) -> None:
        """End the delegation and place the queued tasks at this entry."""
        self.delegate.end_term()
        self.engine.place_soon()

    def select_lead(self) -> None:
        """Select the lead again, and delegate to it if it has changed."""
        selected = None
        if self.engine.placer.sides:
            now = self.clock.seconds()
            selected = self.selector.select(self.candidates.find(now), now)
        if (
            selected is None
            or selected.incarnation == self.links.own_incarnation
        ):
            if self.delegate.has_lead():
                logger.info('entry places its own tasks', step='review')
                self.place_locally()
        elif selected.incarnation != self.delegate.lead:
            self.delegate_to(selected.incarnation)

    def delegate_to(self, incarnation: str) -> None:
        """Delegate the placement of this entry's tasks to another entry.

        :param incarnation: run of the other entry.
        """
        self.delegations.end_all('another entry decides')
        name = self.links.name(incarnation)
        delegation = self.delegate.start_term(incarnation, self.clock.seconds())
        logger.info(
            'entry has a lead',
            step='delegate',
            peer=name,
            candidates=self.candidates.found,
            sides=len(delegation.sides),
        )
        self.links.send(incarnation, delegation)
        self.engine.place_soon()

    def entries_changed(self, _: object) -> None:
        """Select the lead again after an entry has joined or changed.

        :param _: peer or member that has changed.
        """
        self.select_lead()

    def peer_left(self, peer: Peer) -> None:
        """Forget a delegator, or the lead, whose link has ended.

        :param peer: peer in any role.
        """
        incarnation = peer.introduction.incarnation
        self.delegations.lead.forget(incarnation)
        if self.delegate.lead == incarnation:
            self.place_locally()
        self.select_lead()

    def sides_changed(self) -> None:
        """Delegate again with the sides that this entry is now linked to."""
        if self.delegate.has_lead():
            self.delegate_to(self.delegate.lead)
        else:
            self.selector.no_lead_until = self.clock.seconds()
            self.select_lead()

    def end_delegations(self) -> None:
        """End the delegations to this entry, which is draining."""
        self.delegations.end_all('entry is leaving')

    def decisions_received(self, peer: Peer, decisions: Decisions) -> None:
        """Carry out the decisions of the lead.

        Starts the tasks that it has placed and sheds the jobs that it names;
        after a pause only once everything that had arrived was read, since the
        callers may have left.

        :param peer: sender, which may be a former lead.
        :param decisions: decisions of the sender.
        """
        if self.engine.backlog.is_pending():
            self.held_decisions.append((peer, decisions))
            return
        incarnation = peer.introduction.incarnation
        accepted = self.delegate.apply(
            incarnation, decisions, self.clock.seconds()
        )
        self.engine.orders.start(accepted.placements)
        for decision in accepted.given_up:
            self.engine.fail(decision.ticket, decision.reason)
        if self.delegate.ended:
            self.engine.place_soon()

    def backlog_read(self) -> None:
        """Carry out the decisions of the lead that have waited."""
        held = self.held_decisions
        self.held_decisions = []
        for peer, decisions in held:
            self.decisions_received(peer, decisions)

    def delegation_ended(self, peer: Peer, ending: DelegationEnd) -> None:
        """Place tasks at this entry again if the sender is the lead.

        :param peer: sender.
        :param ending: reason, and the time before the next attempt.
        """
        sender = (peer.introduction.incarnation, ending.term)
        if sender != (self.delegate.lead, self.delegate.term):
            return
        if ending.reason == SIDES_UNREACHABLE:
            # Any other lead would have to reach these sides, too.
            self.selector.no_lead_until = (
                self.clock.seconds() + ending.retry_after
            )
        self.abandon_lead(ending.reason, ending.retry_after)
