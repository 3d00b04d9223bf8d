"""The configuration of an entry, wired together."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from jackdawridge.configuration.configuration import Configuration
from jackdawridge.configuration.confirmations import Confirmations
from jackdawridge.configuration.exchange import Exchange
from jackdawridge.configuration.freshness import EntryFreshness
from jackdawridge.configuration.log_client import HttpLogService, LogService
from jackdawridge.configuration.log_survey import LogSurvey
from jackdawridge.configuration.publisher import Publisher
from jackdawridge.configuration.reader import LogReader
from jackdawridge.configuration.replay import Page, Replay
from jackdawridge.configuration.retirement import Retirement
from jackdawridge.configuration.writer import SnapshotWriter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.application import Application
    from jackdawridge.configuration.state import State


class EntryConfiguration:
    """Reads the log, publishes changes and keeps peers current; a component.

    Emits `configuration_changed` with the old and the new position, also
    when only the holds have changed.

    :param application: the process.
    :param log: the stream of the configuration.
    """

    def __init__(self, application: Application, log: LogService) -> None:
        """Make the parts."""
        settings = application.settings
        clock = application.clock
        self.application = application
        self.log = log
        #: What the other slices read.
        self.configuration = Configuration(self.changed)
        self.freshness = EntryFreshness()
        self.replay = Replay()
        self.reader = LogReader(
            log,
            self.replay,
            self.freshness,
            clock,
            settings.number('log_poll'),
            self.read,
        )
        self.exchange = Exchange(application, self.configuration, self)
        self.survey = LogSurvey(
            application, self.configuration, self.freshness, self.exchange
        )
        self.publisher = Publisher(
            log, self.configuration, clock, self.exchange.announce
        )
        self.confirmations = Confirmations(application, self.survey)
        self.retirement = Retirement(
            application, self.configuration, self.survey, self.publisher
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
        """Return the configuration of an entry.

        :param application: the process.
        :param reactor: Twisted's reactor.
        """
        settings = application.settings
        log = HttpLogService(
            reactor, settings.text('log_service'), settings.text('log_stream')
        )
        return cls(application, log)

    @property
    def position(self) -> int:
        """Return the offset up to which the configuration is known."""
        return self.configuration.position

    def age(self) -> float:
        """Return for how long something newer may have existed, in seconds."""
        return self.freshness.age(self.application.clock.seconds())

    def log_age(self) -> float:
        """Return the time since the end of the log was reached, in seconds."""
        return self.freshness.log_age(self.application.clock.seconds())

    def describe(self) -> Mapping[str, object]:
        """Return what operators see of how current this entry is."""
        return {
            'position': self.position,
            'age': _finite(self.age()),
            'log_age': _finite(self.log_age()),
            'log_failing': self.freshness.failing,
            'ready': self.is_ready(),
            'held_failure_domains': sorted(
                self.configuration.holds.failure_domains()
            ),
            'other_entries': sorted(self.survey.entries),
        }

    def is_ready(self) -> bool:
        """Return whether this entry has ever known a current configuration."""
        return self.freshness.is_ready

    def start(self) -> None:
        """Begin to read, to ask, to write snapshots and to retire."""
        self.reader.start()
        self.survey.start()
        self.writer.start()
        self.retirement.start()

    def stop(self) -> None:
        """Stop what was started."""
        self.retirement.stop()
        self.writer.stop()
        self.survey.stop()
        self.reader.stop()

    def read(self, start: int, page: Page) -> None:
        """Put in force what the reader has read.

        :param start: offset from which it was read.
        :param page: the answer of the log.
        """
        cursor = self.replay.cursor
        self.exchange.tail.extend(max(start, page.first), cursor, page.records)
        self.configuration.replace(self.replay.state)
        holds = self.configuration.holds
        self.exchange.passed_on(
            holds.release_absent(self.freshness.confirmed_at)
        )

    def changed(self, old: int, new: int) -> None:
        """Bring peers up to date, and wake those who wait for a verdict.

        :param old: the position before.
        :param new: the position now.
        """
        self.exchange.push()
        self.publisher.resolve()
        self.application.events.emit('configuration_changed', old, new)

    def adopt(self, state: State) -> None:
        """Take a state from a peer.

        :param state: folded from the same log.
        """
        self.replay.adopt(state)
        self.configuration.replace(self.replay.state)


def _finite(age: float) -> float | None:
    """Return an age, or None for one that is not known."""
    return round(age, 3) if math.isfinite(age) else None
