"""Which requests a side runs, and when: the only way to its minion."""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING

from jackdawridge.forwarding import side_effects as effects
from jackdawridge.forwarding.identity import RequestKey
from jackdawridge.forwarding.messages import Load

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.forwarding.identity import EntryId
    from jackdawridge.forwarding.messages import Request, Response

#: Time for which an ended request and its response are kept, in seconds.
MEMORY_TIME = 15.0
#: Most ended requests that are kept for one entry.
MEMORY_LIMIT = 2048
#: Responses up to this size are kept, in bytes.
KEPT_RESPONSE_BYTES = 65536
#: Most bytes of kept responses in all.
KEPT_BYTES = 4194304
#: Time for which an entry without link and requests is kept, in seconds.
ENTRY_MEMORY_TIME = 600.0
#: Time after a deadline at which the minion is given up, in seconds.
STOP_GRACE = 0.5
#: Shortest and longest time after which a refused request may come back.
RETRY_FLOOR = 0.1
RETRY_CEILING = 5.0

_LATENCY_WEIGHT = 0.1


class Stage(enum.Enum):
    """Where a request is at its side."""

    waiting = 'waiting'
    running = 'running'
    #: Run, with or without a known response.
    ended = 'ended'
    #: Not run, and never will be.
    fenced = 'fenced'


class Known:
    """One request that a side remembers.

    :param request: as the entry sent it, None if it never arrived.
    :param deadline: in seconds.
    """

    def __init__(self, request: Request | None, deadline: float) -> None:
        """Start waiting."""
        self.request = request
        self.deadline = deadline
        self.stage = Stage.waiting
        self.started_at: float = 0
        self.response: Response | None = None


class EntryMemory:
    """What a side remembers of the requests of one run of an entry."""

    def __init__(self) -> None:
        """Start without requests."""
        #: Highest number that has arrived or been fenced.
        self.mark = 0
        self.known: dict[int, Known] = {}
        self.used_at: float = 0


class Gate:
    """Pure state of a side's requests; appends to `outbox` what is to be done.

    A number is decided once: the first time it arrives it is run, queued or
    refused. Later arrivals get the same answer again, and numbers that are
    old and no longer known count as lost, never as 'not run'.

    :param slots: requests that the minion takes at a time.
    :param queue_limit: requests that wait for a slot.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Start idle."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.memories: dict[EntryId, EntryMemory] = {}
        self.queue: deque[RequestKey] = deque()
        self.running: dict[RequestKey, Known] = {}
        #: Ended and fenced requests in the order in which they are forgotten.
        self.ended: deque[tuple[float, RequestKey]] = deque()
        self.kept_bytes = 0
        self.mean_time: float = 0
        #: Why no new request is taken, or an empty string.
        self.objection = ''
        self.outbox: list[effects.SideEffect] = []

    def load(self) -> Load:
        """Return the load for replies."""
        return Load(len(self.running), len(self.queue), not self.objection)

    def retry_after(self) -> float:
        """Return when a refused request may come back, in seconds."""
        wait = self.mean_time * (len(self.queue) + 1) / self.slots
        return min(max(wait, RETRY_FLOOR), RETRY_CEILING)

    def known(self, key: RequestKey) -> Known | None:
        """Return a remembered request.

        :param key: of the request.
        """
        memory = self.memories.get(key.entry)
        return memory.known.get(key.number) if memory else None

    def receive(self, entry: EntryId, request: Request, now: float) -> None:
        """Decide about a request that has arrived.

        :param entry: who sent it.
        :param request: the request.
        :param now: in seconds.
        """
        memory = self.memories.setdefault(entry, EntryMemory())
        memory.used_at = now
        key = RequestKey(entry, request.number)
        known = memory.known.get(request.number)
        if known is not None:
            self.repeat(key, known)
            return
        if request.number <= memory.mark:
            self.outbox.append(effects.Lose(key, 'the number is too old'))
            return
        memory.mark = request.number
        known = Known(request, now + request.remaining)
        memory.known[request.number] = known
        self.decide(key, known, now)

    def decide(self, key: RequestKey, known: Known, now: float) -> None:
        """Run, queue or refuse a new request.

        :param key: of the request.
        :param known: the request.
        :param now: in seconds.
        """
        if self.objection:
            self.refuse(key, known, self.objection, now)
        elif known.deadline <= now:
            self.refuse(key, known, 'the deadline has passed', now)
        elif len(self.running) < self.slots:
            self.run(key, known, now)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(key)
        else:
            self.refuse(key, known, 'the minion is full', now)

    def repeat(self, key: RequestKey, known: Known) -> None:
        """Say again what became of a request.

        :param key: of the request.
        :param known: the request.
        """
        if known.stage is Stage.fenced:
            self.outbox.append(effects.Refuse(key, 'refused before', 0))
        elif known.stage is Stage.ended and known.response is None:
            self.outbox.append(effects.Lose(key, 'the response is not kept'))
        elif known.response is not None:
            self.outbox.append(effects.Repeat(key, known.response))

    def run(self, key: RequestKey, known: Known, now: float) -> None:
        """Pass a request to the minion.

        :param key: of the request.
        :param known: the request.
        :param now: in seconds.
        """
        known.stage = Stage.running
        known.started_at = now
        self.running[key] = known
        if known.request is not None:
            self.outbox.append(effects.Run(key, known.request))

    def refuse(
        self, key: RequestKey, known: Known, reason: str, now: float
    ) -> None:
        """Say 'not run' and fence the number.

        :param key: of the request.
        :param known: the request, which the minion never saw.
        :param reason: why.
        :param now: in seconds.
        """
        self.end(key, known, Stage.fenced, now)
        retry_after = self.retry_after()
        self.outbox.append(effects.Refuse(key, reason, retry_after))

    def end(
        self, key: RequestKey, known: Known, stage: Stage, now: float
    ) -> None:
        """Note that a request is decided for good.

        :param key: of the request.
        :param known: the request.
        :param stage: ended or fenced.
        :param now: in seconds.
        """
        known.stage = stage
        known.request = None
        self.ended.append((now, key))

    def finished(
        self, key: RequestKey, response: Response | None, now: float
    ) -> None:
        """Note that the minion is done with a request.

        :param key: of the request.
        :param response: to be kept, None if it is lost or too large.
        :param now: in seconds.
        """
        known = self.running.pop(key, None)
        if known is None:
            return
        elapsed = now - known.started_at
        weight = _LATENCY_WEIGHT if self.mean_time else 1
        self.mean_time += (elapsed - self.mean_time) * weight
        self.end(key, known, Stage.ended, now)
        if response is not None and len(response.body) <= KEPT_RESPONSE_BYTES:
            known.response = response
            self.kept_bytes += len(response.body)
        self.forget(now)
        self.advance(now)

    def unsent(self, key: RequestKey, reason: str, now: float) -> None:
        """Note that a request never reached the minion.

        :param key: of the request.
        :param reason: why.
        :param now: in seconds.
        """
        known = self.running.pop(key, None)
        if known is not None:
            self.refuse(key, known, reason, now)
            self.advance(now)

    def advance(self, now: float) -> None:
        """Run waiting requests while there are free slots.

        :param now: in seconds.
        """
        while self.queue and len(self.running) < self.slots:
            key = self.queue.popleft()
            known = self.known(key)
            if known is None:
                continue
            if known.deadline <= now:
                self.refuse(key, known, 'the deadline has passed', now)
            else:
                self.run(key, known, now)

    def object(self, reason: str, now: float) -> None:
        """Refuse what waits and what will come, or take requests again.

        :param reason: why no request is taken, empty if they are.
        :param now: in seconds.
        """
        self.objection = reason
        while reason and self.queue:
            key = self.queue.popleft()
            known = self.known(key)
            if known is not None:
                self.refuse(key, known, reason, now)

    def cancel(
        self, entry: EntryId, numbers: Iterable[int], now: float
    ) -> None:
        """Drop requests that wait and that nobody wants any more.

        :param entry: who sent them.
        :param numbers: of the requests.
        :param now: in seconds.
        """
        for number in numbers:
            key = RequestKey(entry, number)
            known = self.known(key)
            if known is not None and known.stage is Stage.waiting:
                self.queue.remove(key)
                self.refuse(key, known, 'cancelled', now)

    def resolve(
        self, entry: EntryId, numbers: Iterable[int], now: float
    ) -> None:
        """Say what became of requests, and fence those that never arrived.

        :param entry: who asks, over a new link.
        :param numbers: of the requests.
        :param now: in seconds.
        """
        memory = self.memories.setdefault(entry, EntryMemory())
        memory.used_at = now
        mark = memory.mark
        running: list[int] = []
        fenced: list[int] = []
        lost: list[int] = []
        for number in numbers:
            known = memory.known.get(number)
            if known is None:
                (fenced if number > mark else lost).append(number)
                memory.mark = max(memory.mark, number)
            elif known.stage in {Stage.waiting, Stage.running}:
                running.append(number)
            else:
                self.repeat(RequestKey(entry, number), known)
        self.outbox.append(
            effects.Resolved(entry, tuple(running), tuple(fenced), tuple(lost))
        )

    def tick(self, now: float) -> None:
        """Act on deadlines and forget what is old.

        :param now: in seconds.
        """
        for key in tuple(self.queue):
            known = self.known(key)
            if known is not None and known.deadline <= now:
                self.queue.remove(key)
                self.refuse(key, known, 'the deadline has passed', now)
        for running, current in self.running.items():
            if current.deadline + STOP_GRACE <= now:
                self.outbox.append(effects.Stop(running))
        self.forget(now)

    def forget(self, now: float) -> None:
        """Forget requests that ended long ago, and the oldest over a limit.

        :param now: in seconds.
        """
        limit = MEMORY_LIMIT * max(len(self.memories), 1)
        while self.ended and (
            self.ended[0][0] + MEMORY_TIME <= now
            or len(self.ended) > limit
            or self.kept_bytes > KEPT_BYTES
        ):
            key = self.ended.popleft()[1]
            known = self.memories[key.entry].known.pop(key.number)
            if known.response is not None:
                self.kept_bytes -= len(known.response.body)
        for entry, memory in tuple(self.memories.items()):
            old = memory.used_at + ENTRY_MEMORY_TIME <= now
            if old and not memory.known:
                del self.memories[entry]
