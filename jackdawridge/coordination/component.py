"""Lets one entry decide for all that are linked to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.coordination.choice import DISTRUST_TIME, LeadChoice
from jackdawridge.coordination.decider import JointDecider
from jackdawridge.coordination.delegate import Delegate
from jackdawridge.coordination.leading import OUT_OF_REACH, Leading
from jackdawridge.coordination.links import EntryLinks
from jackdawridge.coordination.messages import Decisions, Dismissal
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.membership.directory import Directory
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.util.clock import DelayedCall
    from jackdawridge.wire.peers import Peer, Peers

logger = get_logger('coordination')

#: Time between two looks at the others while there is work, in seconds.
LOOK_TIME = 0.05
#: Looks that may be missed before this process takes itself for paused.
MISSED_LOOKS = 3


class CoordinationStatus(NamedTuple):
    """What operators see of who decides."""

    #: Node of the entry that decides for this one, or empty.
    lead: str
    #: Number of entries for which this one decides.
    delegators: int


class Coordination:
    """Keeps an entry to its lead, or is one; a component.

    Everything works without a lead: sides admit each start, the entry that
    took a job owns it, and an entry whose lead is silent decides alone.

    :param application: the process.
    :param peers: its links.
    :param engine: owns the jobs.
    :param directory: knows the other entries.
    """

    def __init__(
        self,
        application: Application,
        peers: Peers,
        engine: JobEngine,
        directory: Directory,
    ) -> None:
        """Listen to messages and events."""
        self.clock = application.clock
        self.engine = engine
        self.links = EntryLinks(application.incarnation, peers, directory)
        self.leading = Leading(application, engine, self.links)
        self.delegate = Delegate(engine.placer)
        self.choice = LeadChoice()
        engine.decider = JointDecider(self)
        self.timer: DelayedCall | None = None
        self.looked_at = self.clock.seconds()
        application.on_message(Decisions, self.decisions_received)
        application.on_message(Dismissal, self.dismissal_received)
        events = application.events
        events.connect('peer_joined', self.others_changed)
        events.connect('member_changed', self.others_changed)
        events.connect('peer_left', self.peer_left)
        events.connect('sides_changed', self.sides_changed)
        events.connect('draining', self.leave)

    def start(self) -> None:
        """Do nothing until there is work."""

    def stop(self) -> None:
        """Look no more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def describe(self) -> CoordinationStatus:
        """Return what operators see of who decides."""
        lead = self.delegate.lead
        name = self.links.name(lead) if lead else ''
        return CoordinationStatus(name, len(self.leading.lead.delegators))

    def flush(self) -> None:
        """Send what has gathered, at the end of a turn."""
        now = self.clock.seconds()
        self.leading.flush()
        news = self.delegate.news(now)
        if news is not None:
            self.links.send(self.delegate.lead, news)
        if self.timer is None and self.has_to_look():
            self.looked_at = now
            self.timer = self.clock.callLater(LOOK_TIME, self.look)

    def has_to_look(self) -> bool:
        """Return whether this entry has to hear from another now."""
        if self.delegate.has_lead():
            return self.delegate.is_busy() or bool(self.delegate.unanswered)
        return bool(self.leading.lead.delegators)

    def look(self) -> None:
        """See whether the others still answer, while there is work."""
        self.timer = None
        now = self.clock.seconds()
        paused = now - self.looked_at > MISSED_LOOKS * LOOK_TIME
        self.looked_at = now
        if paused:
            # What has come meanwhile is read first.
            self.delegate.excuse(now)
        else:
            self.leading.forget_silent(now)
        if self.delegate.is_silent(now):
            self.lose_lead('lead is silent')
        self.review()
        self.flush()

    def lose_lead(self, reason: str, pause: float = DISTRUST_TIME) -> None:
        """Decide here again, and pass over the lead for a while.

        :param reason: for the log.
        :param pause: time until it may be asked again, in seconds.
        """
        lead = self.delegate.lead
        logger.notice(
            'entry decides alone',
            step='delegate',
            peer=self.links.name(lead),
            reason=reason,
        )
        self.choice.distrust(lead, self.clock.seconds(), pause)
        self.decide_here()

    def decide_here(self) -> None:
        """Go on with what waits here, without a lead."""
        self.delegate.end()
        self.engine.place_soon()

    def review(self) -> None:
        """Choose who decides, and tell the lead if it is a new one."""
        chosen = None
        if self.engine.placer.sides:
            chosen = self.choice.choose(
                self.links.candidates(), self.clock.seconds()
            )
        if chosen is None or chosen.incarnation == self.links.own:
            if self.delegate.has_lead():
                logger.info('entry decides itself', step='review')
                self.decide_here()
        elif chosen.incarnation != self.delegate.lead:
            self.delegate_to(chosen.incarnation)

    def delegate_to(self, incarnation: str) -> None:
        """Let another entry decide from now on.

        :param incarnation: of the entry.
        """
        self.leading.dismiss_all('another entry decides')
        name = self.links.name(incarnation)
        logger.info('entry has a lead', step='delegate', peer=name)
        delegation = self.delegate.begin(incarnation, self.clock.seconds())
        self.links.send(incarnation, delegation)
        self.engine.place_soon()

    def others_changed(self, _: object) -> None:
        """Look whether another entry should decide.

        :param _: the peer or member that has changed.
        """
        self.review()

    def peer_left(self, peer: Peer) -> None:
        """Do without an entry that is linked no more.

        :param peer: any peer.
        """
        incarnation = peer.introduction.incarnation
        self.leading.lead.forget(incarnation)
        if self.delegate.lead == incarnation:
            self.decide_here()
        self.review()

    def sides_changed(self) -> None:
        """Tell the lead anew which sides are in reach."""
        if self.delegate.has_lead():
            self.delegate_to(self.delegate.lead)
        else:
            self.choice.alone_until = self.clock.seconds()
            self.review()

    def leave(self) -> None:
        """Decide no more for others, since this entry ends."""
        self.leading.dismiss_all('entry is leaving')

    def decisions_received(self, peer: Peer, decisions: Decisions) -> None:
        """Start what the lead has placed, and give up what it has.

        :param peer: the lead, or an entry that was.
        :param decisions: from it.
        """
        incarnation = peer.introduction.incarnation
        verdicts = self.delegate.take(
            incarnation, decisions, self.clock.seconds()
        )
        self.engine.orders.start(verdicts.placements)
        for useless in verdicts.given_up:
            self.engine.fail(useless.ticket, useless.reason)
        if self.delegate.ended:
            self.engine.place_soon()

    def dismissal_received(self, peer: Peer, dismissal: Dismissal) -> None:
        """Decide here, as an entry does not.

        :param peer: the entry.
        :param dismissal: from it.
        """
        sender = (peer.introduction.incarnation, dismissal.term)
        if sender != (self.delegate.lead, self.delegate.term):
            return
        if dismissal.reason == OUT_OF_REACH:
            # Others would have to be reached by the lead, too.
            self.choice.alone_until = (
                self.clock.seconds() + dismissal.retry_after
            )
        self.lose_lead(dismissal.reason, dismissal.retry_after)
