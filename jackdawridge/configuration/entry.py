"""Assembly of the configuration components of an entry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from jackdawridge.configuration.configuration import Configuration
from jackdawridge.configuration.confirmations import Confirmations
from jackdawridge.configuration.exchange import ConfigurationExchange
from jackdawridge.configuration.freshness import EntryFreshness
from jackdawridge.configuration.log_client import HttpLogService, LogService
from jackdawridge.configuration.log_reader import LogReader
from jackdawridge.configuration.log_status_poller import LogStatusPoller
from jackdawridge.configuration.publisher import Publisher
from jackdawridge.configuration.replay import Page, Replay
from jackdawridge.configuration.retirement import Retirement
from jackdawridge.configuration.snapshot_writer import SnapshotWriter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.application import Application
    from jackdawridge.configuration.state import State


class EntryConfiguration:
    """Follows the log, publishes changes and updates peers; a component.

    Emits `configuration_changed` with the previous and the current position
    whenever the state or the set of holds changes.

    :param application: the process.
    :param log: the log stream that holds the configuration.
    """

    def __init__(self, application: Application, log: LogService) -> None:
        """Create the components."""
        settings = application.settings
        clock = application.clock
        self.application = application
        self.log = log
        #: The state in force, as read by the other slices.
        self.configuration = Configuration(self.handle_change)
        self.freshness = EntryFreshness()
        self.replay = Replay()
        self.reader = LogReader(
            log,
            self.replay,
            self.freshness,
            clock,
            settings.number('log_poll'),
            self.handle_page,
        )
        self.exchange = ConfigurationExchange(
            application, self.configuration, self
        )
        self.status_poller = LogStatusPoller(
            application, self.configuration, self.freshness, self.exchange
        )
        self.publisher = Publisher(
            log, self.configuration, clock, self.exchange.announce_hold
        )
        self.confirmations = Confirmations(application, self.status_poller)
        self.retirement = Retirement(
            application, self.configuration, self.status_poller, self.publisher
        )
        self.writer = SnapshotWriter(
            log,
            self.reader,
            self.freshness,
            clock,
            settings.number('snapshot_interval'),
        )

    @classmethod
    def from_application(
        cls, application: Application, reactor: Any
    ) -> EntryConfiguration:
        """Create the configuration of an entry from its settings.

        :param application: the process.
        :param reactor: Twisted's reactor, which serves the HTTP client.
        """
        settings = application.settings
        log = HttpLogService(
            reactor, settings.text('log_service'), settings.text('log_stream')
        )
        return cls(application, log)

    @property
    def position(self) -> int:
        """Return the log offset up to which the configuration is known."""
        return self.configuration.position

    def age(self) -> float:
        """Return for how many seconds a newer state may have existed."""
        return self.freshness.age(self.application.clock.seconds())

    def log_age(self) -> float:
        """Return the seconds since the log was last read to its end."""
        return self.freshness.log_age(self.application.clock.seconds())

    def status_document(self) -> Mapping[str, object]:
        """Return how current the configuration is, as JSON for operators."""
        return {
            'position': self.position,
            'age': _finite_or_none(self.age()),
            'log_age': _finite_or_none(self.log_age()),
            'log_failing': self.freshness.failing,
            'ready': self.is_ready(),
            'held_failure_domains': sorted(
                self.configuration.holds.failure_domains()
            ),
            'other_entries': sorted(self.status_poller.entries),
        }

    def is_ready(self) -> bool:
        """Return whether the configuration was ever known to be current."""
        return self.freshness.is_ready

    def start(self) -> None:
        """Start reading, polling entries, writing snapshots and retiring."""
        self.reader.start()
        self.status_poller.start()
        self.writer.start()
        self.retirement.start()

    def stop(self) -> None:
        """Stop the components in reverse order."""
        self.retirement.stop()
        self.writer.stop()
        self.status_poller.stop()
        self.reader.stop()

    def handle_page(self, start: int, page: Page) -> None:
        """Put newly read records in force and release obsolete holds.

        :param start: the offset from which the page was read.
        :param page: the page, already applied by the reader.
        """
        cursor = self.replay.cursor
        self.exchange.recent_changes.extend(
            max(start, page.first), cursor, page.records
        )
        self.configuration.apply_state(self.replay.state)
        holds = self.configuration.holds
        self.exchange.broadcast_releases(
            holds.release_absent(self.freshness.confirmed_at)
        )

    def handle_change(self, old_position: int, new_position: int) -> None:
        """Update peers, wake waiting publishers and emit the event.

        :param old_position: the position before the change.
        :param new_position: the current position.
        """
        self.exchange.push_to_peers()
        self.publisher.resolve_decided()
        self.application.events.emit(
            'configuration_changed', old_position, new_position
        )

    def adopt(self, state: State) -> None:
        """Adopt a state received from a peer if it is newer.

        :param state: folded from the same log.
        """
        self.replay.adopt(state)
        self.configuration.apply_state(self.replay.state)


def _finite_or_none(age: float) -> float | None:
    """Return an age rounded to milliseconds, or None if it is infinite."""
    return round(age, 3) if math.isfinite(age) else None
