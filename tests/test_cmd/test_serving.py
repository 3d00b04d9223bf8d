"""Tests of the running of an application."""

from __future__ import annotations

import time

from twisted.internet.task import Clock

from jackdawridge.cmd.serving import use_boottime_clock


class TestBoottimeClock:
    def test_reactor_time_includes_suspension(self) -> None:
        reactor = use_boottime_clock(Clock())
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        assert before <= reactor.seconds()
        assert reactor.seconds() <= time.clock_gettime(time.CLOCK_BOOTTIME)
