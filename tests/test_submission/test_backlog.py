"""Tests of input that waits while the process is paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock

from jackdawridge.application import Application
from jackdawridge.submission.backlog import (
    CHECK_INTERVAL,
    MAX_CHECK_GAP,
    MAX_READING_TURNS,
    InputBacklog,
)
from tests.test_platform.leased_world import Caller, LeasedWorld
from tests.test_submission.test_attended import JOB, running, submit
from tests.test_submission.world import PendingBacklog, make_settings

if TYPE_CHECKING:
    from collections.abc import Callable

PAUSE_TIME = 2.0


class TurnClock(Clock):
    """A clock that makes calls without a delay in the next turn of the loop."""

    def __init__(self) -> None:
        super().__init__()
        self.due: list[Callable[[], object]] = []

    def callLater(
        self,
        delay: float,
        callable: Callable[..., object],  # noqa: A002
        *args: object,
        **kw: object,
    ) -> Any:
        if delay:
            return super().callLater(delay, callable, *args, **kw)
        self.due.append(lambda: callable(*args, **kw))
        return None

    def turn(self) -> None:
        """Make the calls that are due, without those that they add."""
        due = self.due
        self.due = []
        for call in due:
            call()


class Harness:
    """A backlog and its clock."""

    def __init__(self) -> None:
        self.clock = TurnClock()
        clock: Any = self.clock
        settings = make_settings('entry', 'entry-0', {})
        self.application = Application(settings, clock, 'run1')
        self.backlog = InputBacklog(self.application)
        self.ends = 0
        self.application.events.connect('backlog_read', self.read)
        self.backlog.start()
        for _ in range(20):
            self.clock.advance(CHECK_INTERVAL)

    def read(self) -> None:
        self.ends += 1

    def turns(self, number: int, *, reads: bool) -> None:
        """Turn the loop, each time after some input was read or none."""
        for _ in range(number):
            if reads:
                self.backlog.input_read()
            self.clock.turn()


class TestInputBacklog:
    def test_nothing_is_pending_without_a_pause(self) -> None:
        harness = Harness()
        harness.clock.advance(MAX_CHECK_GAP / 2)
        assert not harness.backlog.is_pending()
        assert harness.backlog.sent_after() == harness.clock.seconds()
        assert not harness.ends

    def test_pause_is_known_before_the_check_that_is_late(self) -> None:
        """The first input is read before any timer fires."""
        harness = Harness()
        before = harness.clock.seconds()
        harness.clock.rightNow += PAUSE_TIME
        assert harness.backlog.is_pending()
        assert harness.backlog.sent_after() == before

    def test_input_is_pending_until_a_turn_reads_nothing(self) -> None:
        harness = Harness()
        before = harness.clock.seconds()
        harness.clock.advance(PAUSE_TIME)
        harness.turns(3, reads=True)
        assert harness.backlog.is_pending()
        assert harness.backlog.sent_after() == before
        harness.turns(1, reads=False)
        assert not harness.backlog.is_pending()
        assert harness.backlog.sent_after() == harness.clock.seconds()
        assert harness.ends == 1

    def test_steady_input_is_pending_for_limited_turns(self) -> None:
        harness = Harness()
        harness.clock.advance(PAUSE_TIME)
        harness.turns(MAX_READING_TURNS - 1, reads=True)
        assert harness.backlog.is_pending()
        harness.turns(1, reads=True)
        assert not harness.backlog.is_pending()

    def test_nothing_is_pending_once_the_watch_has_stopped(self) -> None:
        """A draining entry goes on placing tasks."""
        harness = Harness()
        harness.backlog.stop()
        harness.clock.advance(PAUSE_TIME)
        assert not harness.backlog.is_pending()


class TestHeldStarts:
    def test_job_starts_once_the_input_was_read(self) -> None:
        world = LeasedWorld()
        entry = world.entries[0]
        backlog = PendingBacklog()
        entry.engine.backlog = backlog
        submit(world, [])
        world.run(0.3)
        assert not running(world)
        backlog.is_over = True
        entry.application.events.emit('backlog_read')
        world.run(0.1)
        assert running(world) == 2

    def test_job_that_is_abandoned_meanwhile_is_not_started(self) -> None:
        world = LeasedWorld()
        entry = world.entries[0]
        backlog = PendingBacklog()
        entry.engine.backlog = backlog
        waiting = submit(world, [])
        world.run(0.3)
        waiting.cancel()
        backlog.is_over = True
        entry.application.events.emit('backlog_read')
        world.run(0.3)
        assert not any(target.history for target in world.targets)

    def test_job_of_a_caller_without_time_is_refused(self) -> None:
        """It was started until a timer found its time to be over."""
        world = LeasedWorld()
        outcomes: list[Any] = []
        spec = Caller(world, JOB, 2).spec
        refused = world.entries[0].jobs.submit(JOB, spec, b'', 0)
        refused.addCallback(outcomes.append)
        world.run(0.3)
        assert outcomes[0].reason == 'caller may have left'
        assert outcomes[0].retry_after > 0
        assert not any(target.history for target in world.targets)
