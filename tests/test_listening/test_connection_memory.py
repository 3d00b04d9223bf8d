"""Tests of the limit on the memory of connections."""

from __future__ import annotations

from jackdawridge.listening.connection_memory import ConnectionMemory


class FakeHolder:
    """A connection that holds a given amount."""

    def __init__(self, size: int, since: float = 0) -> None:
        self.size = size
        self.received_after = since
        self.evicted = False
        #: Number of times that it was measured.
        self.measured = 0

    def measure(self) -> int:
        self.measured += 1
        return self.size

    def evict(self) -> None:
        self.evicted = True


class TestCrowd:
    def test_growing_crowd_is_evicted_and_the_others_stay(self) -> None:
        """64 clients grow without end; 50 send ordinary requests."""
        memory = ConnectionMemory(64 * 1000)
        callers = [FakeHolder(400) for _ in range(50)]
        crowd = [FakeHolder(0, since) for since in range(64)]
        for size in range(100, 4000, 100):
            for member in crowd:
                member.size = size
                if not member.evicted:
                    memory.count(member)
                assert memory.used <= memory.limit
            for caller in callers:
                memory.count(caller)
        assert not any(caller.evicted for caller in callers)
        assert sum(member.evicted for member in crowd) > 40

    def test_earliest_request_goes_first(self) -> None:
        memory = ConnectionMemory(250)
        holders = [FakeHolder(100, since) for since in (3, 1, 2)]
        for holder in holders:
            memory.count(holder)
        assert [holder.evicted for holder in holders] == [False, True, False]

    def test_many_small_connections_are_not_measured_each_time(self) -> None:
        """Each of 1,000 that come after 1,000 others takes one of them out."""
        memory = ConnectionMemory(1000 * 1000)
        crowd = [FakeHolder(1000, since) for since in range(2000)]
        for holder in crowd:
            memory.count(holder)
            assert memory.used <= memory.limit
        assert sum(holder.measured for holder in crowd) < 100 * len(crowd)

    def test_none_is_evicted_within_the_limit(self) -> None:
        memory = ConnectionMemory(1000)
        reader = FakeHolder(10)
        holders = [FakeHolder(990), reader]
        for holder in holders:
            memory.count(holder)
        reader.size = 0
        memory.count(FakeHolder(10))
        assert not any(holder.evicted for holder in holders)

    def test_answers_that_were_read_since_do_not_count(self) -> None:
        memory = ConnectionMemory(250)
        reader = FakeHolder(200)
        memory.count(reader)
        reader.size = 0
        other = FakeHolder(100)
        memory.count(other)
        assert not reader.evicted
        assert not other.evicted

    def test_released_connections_do_not_count(self) -> None:
        memory = ConnectionMemory(250)
        holder = FakeHolder(200)
        memory.count(holder)
        memory.release(holder)
        memory.release(holder)
        assert memory.used == 0
