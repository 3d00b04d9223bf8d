"""Tests of the component that follows the records of operators."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.errors import PeerUnavailableError
from jackdawridge.platform.store import (
    RETRY_DELAY,
    Page,
    Record,
    RecordFollower,
)

OLD = Record('config', b'old', 0)
NEW = Record('config', b'new', 3)
OUT = Record('evacuate/soweto', b'{}', 2)
OUT_DELETED = Record('evacuate/soweto', b'', 4)


class FakeStore:
    """Returns or raises the given answers, then never answers again."""

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


class FollowerHarness:
    """A record follower with a fake store and clock that lists all changes."""

    def __init__(self, *answers: Page | Exception | None) -> None:
        self.clock = Clock()
        fake: Any = FakeStore(*answers)
        self.store = fake
        self.changes: list[dict[str, bytes]] = []
        self.follower = RecordFollower(self.clock, fake, self.record_change)
        self.follower.start()

    def record_change(self, records: dict[str, Record]) -> None:
        self.changes.append(
            {key: record.value for key, record in records.items()}
        )


class TestRecordFollower:
    def test_reads_continue_after_the_newest_records(self) -> None:
        harness = FollowerHarness(
            Page(2, (OLD,)), Page(4, (OUT, NEW)), Page(4, ())
        )
        assert harness.store.calls == ['newest', 'read 2', 'read 4', 'read 4']
        assert harness.changes == [
            {'config': b'old'},
            {'config': b'new', 'evacuate/soweto': b'{}'},
        ]

    def test_deleted_key_is_removed(self) -> None:
        harness = FollowerHarness(Page(3, (OLD, OUT)), Page(5, (OUT_DELETED,)))
        assert harness.changes[-1] == {'config': b'old'}

    def test_all_keys_are_read_again_if_the_position_is_not_retained(
        self,
    ) -> None:
        harness = FollowerHarness(Page(3, (OLD, OUT)), None, Page(9, (NEW,)))
        assert harness.store.calls[:3] == ['newest', 'read 3', 'newest']
        assert harness.changes[-1] == {'config': b'new'}

    def test_last_state_is_kept_while_the_store_is_unreachable(self) -> None:
        unreachable = PeerUnavailableError('no answer', step='log-read')
        harness = FollowerHarness(
            Page(1, (OLD,)), unreachable, unreachable, Page(4, (NEW,))
        )
        assert harness.changes == [{'config': b'old'}]
        assert not harness.follower.is_reachable
        harness.clock.advance(RETRY_DELAY)
        assert harness.changes == [{'config': b'old'}]
        harness.clock.advance(RETRY_DELAY)
        assert harness.changes[-1] == {'config': b'new'}
        assert harness.follower.is_reachable

    def test_first_read_is_retried(self) -> None:
        unreachable = PeerUnavailableError('status 503', step='log-newest')
        harness = FollowerHarness(unreachable, Page(1, (OLD,)))
        assert not harness.changes
        harness.clock.advance(RETRY_DELAY)
        assert harness.changes == [{'config': b'old'}]

    def test_unexpected_error_does_not_end_the_loop(self) -> None:
        harness = FollowerHarness(
            Page(1, (OLD,)), ValueError('odd'), Page(4, (NEW,))
        )
        harness.clock.advance(RETRY_DELAY)
        assert harness.changes[-1] == {'config': b'new'}

    def test_failing_listener_does_not_end_the_loop(self) -> None:
        harness = FollowerHarness()
        seen: list[dict[str, Record]] = []

        def fail_once(records: dict[str, Record]) -> None:
            seen.append(records)
            if len(seen) == 1:
                raise KeyError('odd')

        harness.follower.changed = fail_once
        harness.store.answers.extend([Page(1, (OLD,)), Page(4, (NEW,))])
        harness.follower.start()
        harness.clock.advance(RETRY_DELAY)
        assert seen[-1] == {'config': NEW}
