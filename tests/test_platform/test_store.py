"""Tests of following what operators write."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.errors import PeerUnavailableError
from jackdawridge.platform.store import (
    RETRY_WAIT,
    Page,
    Record,
    RecordFollower,
)

OLD = Record('config', b'old', 0)
NEW = Record('config', b'new', 3)
OUT = Record('evacuate/soweto', b'{}', 2)
BACK = Record('evacuate/soweto', b'', 4)


class FakeStore:
    """Answers what it is told, then nothing."""

    address = 'store'

    def __init__(self, *answers: Page | Exception | None) -> None:
        self.answers = deque(answers)
        self.calls: list[str] = []

    async def newest(self, topic: str) -> Page:
        self.calls.append('newest')
        page = await self.next()
        assert page is not None
        return page

    async def read(self, topic: str, start: int) -> Page | None:
        self.calls.append(f'read {start}')
        return await self.next()

    async def next(self) -> Page | None:
        if not self.answers:
            await Deferred()
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Follower:
    """Follows a store on a clock, and keeps each change."""

    def __init__(self, *answers: Page | Exception | None) -> None:
        self.clock = Clock()
        fake: Any = FakeStore(*answers)
        self.store = fake
        self.changes: list[dict[str, bytes]] = []
        self.follower = RecordFollower(self.clock, fake, self.changed)
        self.follower.start()

    def changed(self, records: dict[str, Record]) -> None:
        self.changes.append({key: one.value for key, one in records.items()})


class TestRecordFollower:
    def test_reads_on_from_the_newest(self) -> None:
        bed = Follower(Page(2, (OLD,)), Page(4, (OUT, NEW)), Page(4, ()))
        assert bed.store.calls == ['newest', 'read 2', 'read 4', 'read 4']
        assert bed.changes == [
            {'config': b'old'},
            {'config': b'new', 'evacuate/soweto': b'{}'},
        ]

    def test_dropped_key_is_gone(self) -> None:
        bed = Follower(Page(3, (OLD, OUT)), Page(5, (BACK,)))
        assert bed.changes[-1] == {'config': b'old'}

    def test_forgotten_history_is_read_anew(self) -> None:
        bed = Follower(Page(3, (OLD, OUT)), None, Page(9, (NEW,)))
        assert bed.store.calls[:3] == ['newest', 'read 3', 'newest']
        assert bed.changes[-1] == {'config': b'new'}

    def test_last_state_stays_while_the_store_is_away(self) -> None:
        away = PeerUnavailableError('no answer', step='log-read')
        bed = Follower(Page(1, (OLD,)), away, away, Page(4, (NEW,)))
        assert bed.changes == [{'config': b'old'}]
        assert not bed.follower.is_reachable
        bed.clock.advance(RETRY_WAIT)
        assert bed.changes == [{'config': b'old'}]
        bed.clock.advance(RETRY_WAIT)
        assert bed.changes[-1] == {'config': b'new'}
        assert bed.follower.is_reachable

    def test_store_that_is_away_at_the_start_is_asked_again(self) -> None:
        away = PeerUnavailableError('status 503', step='log-newest')
        bed = Follower(away, Page(1, (OLD,)))
        assert not bed.changes
        bed.clock.advance(RETRY_WAIT)
        assert bed.changes == [{'config': b'old'}]

    def test_unexpected_error_does_not_end_it(self) -> None:
        bed = Follower(Page(1, (OLD,)), ValueError('odd'), Page(4, (NEW,)))
        bed.clock.advance(RETRY_WAIT)
        assert bed.changes[-1] == {'config': b'new'}

    def test_listener_that_fails_does_not_end_it(self) -> None:
        bed = Follower()
        seen: list[dict[str, Record]] = []

        def fail_once(records: dict[str, Record]) -> None:
            seen.append(records)
            if len(seen) == 1:
                raise KeyError('odd')

        bed.follower.changed = fail_once
        bed.store.answers.extend([Page(1, (OLD,)), Page(4, (NEW,))])
        bed.follower.start()
        bed.clock.advance(RETRY_WAIT)
        assert seen[-1] == {'config': NEW}
