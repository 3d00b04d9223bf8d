"""Tests of the release of entries that a side no longer selects."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import Clock

from jackdawridge.execution.entry_release import EntryRelease
from jackdawridge.execution.heartbeats import HeartbeatSender
from tests.test_execution.test_state import (
    ENTRY,
    KEY,
    admit,
    make_start,
    make_state,
)

NODE = 'entry-1'


class FakePeer:
    """A linked entry that keeps what it is sent."""

    name = NODE

    def __init__(self) -> None:
        self.introduction = self
        self.incarnation = ENTRY
        self.sent: list[Any] = []

    def send(self, message: object) -> None:
        self.sent.append(message)


class FakePeers:
    """Peers of a side: one entry."""

    def __init__(self) -> None:
        self.entry = FakePeer()

    def of_role(self, role: str) -> list[FakePeer]:
        return [self.entry]


class FakeApplication:
    """The settings and the clock of a side."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.settings = self

    def number(self, name: str) -> float:
        return 0.25


class TestEntryRelease:
    def make_release(self) -> tuple[EntryRelease, FakePeers]:
        state = make_state()
        peers: Any = FakePeers()
        application: Any = FakeApplication()
        sender = HeartbeatSender(application, peers, state)
        return EntryRelease(peers, state, sender), peers

    def test_released_entry_hears_that_the_side_is_draining(self) -> None:
        release, peers = self.make_release()
        release.announce_release(NODE, is_released=True)
        assert peers.entry.sent[-1].draining
        release.announce_release(NODE, is_released=False)
        assert not peers.entry.sent[-1].draining

    def test_entry_is_idle_once_its_outcomes_are_acknowledged(self) -> None:
        release, _ = self.make_release()
        assert release.is_idle(NODE)
        state = release.state
        assert admit(state, make_start(), 1)
        assert not release.is_idle(NODE)
        state.confirm(KEY)
        state.refuse_unstarted(KEY, 'target is not available', 1)
        assert not release.is_idle(NODE)
        outbox = state.sessions.entry(ENTRY, 1).outbox
        batch = outbox.flush(1, state.room.free)
        assert batch is not None
        outbox.acknowledge(batch.number)
        assert release.is_idle(NODE)

    def test_entry_with_a_waiting_start_is_not_idle(self) -> None:
        release, _ = self.make_release()
        assert admit(release.state, make_start(cores=4), 1)
        other = KEY._replace(task=1)
        assert not admit(release.state, make_start(other, cores=4), 1)
        release.state.sessions.entry(ENTRY, 1).keys.clear()
        assert not release.is_idle(NODE)

    def test_entry_that_is_not_linked_is_idle(self) -> None:
        release, _ = self.make_release()
        assert release.is_idle('entry-2')
