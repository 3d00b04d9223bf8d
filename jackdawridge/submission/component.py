"""Component of an entry that accepts jobs and runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

from jackdawridge.placement.placer import Placer
from jackdawridge.submission.engine import JobEngine
from jackdawridge.submission.interface import JobInterface
from jackdawridge.submission.relay import TicketRelay
from jackdawridge.submission.tickets import TicketFormat, TicketRegister
from jackdawridge.submission.tracking import SideTracker

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.wire.peers import Peers


class EntrySubmission:
    """Accepts jobs, runs their tasks and answers callers; a component.

    :param application: the process.
    :param peers: peers that the process is linked to.
    :param placer: decides which task starts at which side.
    """

    def __init__(
        self, application: Application, peers: Peers, placer: Placer
    ) -> None:
        """Create the parts and connect them."""
        settings = application.settings
        self.application = application
        register = TicketRegister(
            TicketFormat(settings.text('shared_key')),
            peers.introduction.address,
            application.incarnation,
            settings.integer('ticket_limit'),
        )
        self.engine = JobEngine(application, placer)
        self.interface = JobInterface(application, self.engine, register)
        self.relay = TicketRelay(application, self.interface, peers)
        self.tracker = SideTracker(application, self.engine)

    @classmethod
    def from_application(
        cls, application: Application, peers: Peers
    ) -> EntrySubmission:
        """Return the component of an entry with a placer of its own.

        :param application: the process.
        :param peers: peers that the process is linked to.
        """
        placer = Placer.from_config(
            application.settings, application.incarnation
        )
        return cls(application, peers, placer)

    def start(self) -> None:
        """Start following the sides."""
        self.tracker.start()

    def stop(self) -> Deferred[None]:
        """Return a `Deferred` that fires when no job is open any more.

        It fires after the drain time in any case.
        """
        if not self.engine.jobs:
            self.tracker.stop()
            return succeed(None)
        idle: Deferred[None] = Deferred()
        self.engine.idle = idle
        limit = self.application.settings.number('drain')
        self.application.clock.callLater(limit, self.drain_timed_out, idle)
        return idle.addCallback(lambda _: self.tracker.stop())

    def drain_timed_out(self, idle: Deferred[None]) -> None:
        """Stop waiting for open jobs when the drain time is over.

        :param idle: fires to end the wait.
        """
        if not idle.called:
            self.engine.idle = None
            idle.callback(None)
