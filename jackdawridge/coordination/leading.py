"""Decides for other entries, as their messages ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.coordination.lead import Lead
from jackdawridge.coordination.messages import Delegation, Dismissal, News
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.coordination.links import EntryLinks
    from jackdawridge.submission.engine import JobEngine
    from jackdawridge.wire.peers import Peer

logger = get_logger('coordination')

#: Time after which an entry may ask again that reaches sides which this one
#: does not, in seconds: links are made within a second.
REACH_RETRY = 1.0
#: The same where another entry decides, or this one knows nothing.
RETRY = 0.5
OUT_OF_REACH = 'sides are out of reach'


class Leading:
    """Takes what other entries delegate and sends them decisions.

    :param application: the process.
    :param engine: owns the jobs of this entry.
    :param links: to the other entries.
    """

    def __init__(
        self, application: Application, engine: JobEngine, links: EntryLinks
    ) -> None:
        """Listen to messages."""
        self.application = application
        self.clock = application.clock
        self.engine = engine
        self.links = links
        self.lead = Lead(engine.placer)
        application.on_message(Delegation, self.delegation_received)
        application.on_message(News, self.news_received)

    def delegation_received(self, peer: Peer, delegation: Delegation) -> None:
        """Decide for an entry, or say that this one does not.

        :param peer: the entry.
        :param delegation: what it asks for.
        """
        incarnation = peer.introduction.incarnation
        reason = self.why_not(delegation)
        if reason:
            self.lead.forget(incarnation)
            retry_after = REACH_RETRY if reason == OUT_OF_REACH else RETRY
            peer.send(Dismissal(delegation.term, reason, retry_after))
            return
        self.lead.begin(incarnation, delegation, self.clock.seconds())
        self.engine.place_soon()

    def why_not(self, delegation: Delegation) -> str:
        """Return why this entry does not decide for another, or empty.

        :param delegation: of the other entry.
        """
        if self.application.draining:
            return 'entry is leaving'
        if self.engine.decider.is_elsewhere():
            return 'another entry decides'
        if not self.lead.reaches(delegation):
            return OUT_OF_REACH
        return ''

    def news_received(self, peer: Peer, news: News) -> None:
        """Take in what has changed at an entry.

        :param peer: the entry.
        :param news: from it.
        """
        incarnation = peer.introduction.incarnation
        if self.lead.take_news(incarnation, news, self.clock.seconds()):
            self.engine.place_soon()
        else:
            peer.send(Dismissal(news.term, 'nothing is known', 0))

    def flush(self) -> None:
        """Send the decisions that have gathered."""
        for answer in self.lead.answers():
            self.links.send(answer.incarnation, answer.decisions)

    def forget_silent(self, now: float) -> None:
        """Decide no longer for entries that say nothing.

        :param now: the time in seconds.
        """
        for incarnation in self.lead.forget_silent(now):
            name = self.links.name(incarnation)
            logger.warning('entry is silent', step='lead', peer=name)

    def dismiss_all(self, reason: str) -> None:
        """Decide no more for other entries.

        :param reason: for them.
        """
        for incarnation, delegator in tuple(self.lead.delegators.items()):
            self.lead.forget(incarnation)
            dismissal = Dismissal(delegator.term, reason, RETRY)
            self.links.send(incarnation, dismissal)
