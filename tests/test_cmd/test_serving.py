"""Tests of what runs a process."""

from __future__ import annotations

import time

from twisted.internet.task import Clock

from jackdawridge.cmd.serving import count_suspension


class TestClock:
    def test_time_goes_on_while_the_vm_is_suspended(self) -> None:
        reactor = count_suspension(Clock())
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        assert before <= reactor.seconds()
        assert reactor.seconds() <= time.clock_gettime(time.CLOCK_BOOTTIME)
