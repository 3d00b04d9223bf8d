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
RETENTION_TIME = 15.0
#: Most ended requests that are kept for one entry.
MAX_RETAINED_REQUESTS = 2048
#: Responses up to this size are kept, in bytes.
MAX_RETAINED_RESPONSE_BYTES = 65536
#: Most bytes of kept responses in all.
MAX_RETAINED_BYTES = 4194304
#: Time for which an entry without link and requests is kept, in seconds.
ENTRY_RETENTION_TIME = 600.0
#: Time after a deadline at which the minion is given up, in seconds.
STOP_GRACE_TIME = 0.5
#: Shortest and longest time after which a refused request may come back.
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 5.0

_LATENCY_WEIGHT = 0.1


class Stage(enum.Enum):
    """Where a request is at its side."""

    waiting = 'waiting'
    running = 'running'
    #: Run, with or without a known response.
    ended = 'ended'
    #: Not run, and never will be.
    fenced = 'fenced'


class KnownRequest:
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


class EntryHistory:
    """What a side remembers of the requests of one run of an entry."""

    def __init__(self) -> None:
        """Start without requests."""
        #: Highest number that has arrived or been fenced.
        self.highest_number = 0
        self.requests: dict[int, KnownRequest] = {}
        self.last_used_at: float = 0


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
        self.histories: dict[EntryId, EntryHistory] = {}
        self.queue: deque[RequestKey] = deque()
        self.running: dict[RequestKey, KnownRequest] = {}
        #: Ended and fenced requests in the order in which they are forgotten.
        self.ended: deque[tuple[float, RequestKey]] = deque()
        self.retained_bytes = 0
        self.mean_run_time: float = 0
        #: Why no new request is taken, or an empty string.
        self.unavailable_reason = ''
        self.outbox: list[effects.SideEffect] = []

    def load(self) -> Load:
        """Return the load for replies."""
        return Load(
            len(self.running), len(self.queue), not self.unavailable_reason
        )

    def retry_after(self) -> float:
        """Return when a refused request may come back, in seconds."""
        wait = self.mean_run_time * (len(self.queue) + 1) / self.slots
        return min(max(wait, MIN_RETRY_DELAY), MAX_RETRY_DELAY)

    def find_request(self, key: RequestKey) -> KnownRequest | None:
        """Return a remembered request.

        :param key: of the request.
        """
        history = self.histories.get(key.entry)
        return history.requests.get(key.number) if history else None

    def receive(self, entry: EntryId, request: Request, now: float) -> None:
        """Decide about a request that has arrived.

        :param entry: who sent it.
        :param request: the request.
        :param now: in seconds.
        """
        history = self.histories.setdefault(entry, EntryHistory())
        history.last_used_at = now
        key = RequestKey(entry, request.number)
        known = history.requests.get(request.number)
        if known is not None:
            self.resend_reply(key, known)
            return
        if request.number <= history.highest_number:
            self.outbox.append(effects.ReportLost(key, 'the number is too old'))
            return
        history.highest_number = request.number
        known = KnownRequest(request, now + request.remaining)
        history.requests[request.number] = known
        self.admit(key, known, now)

    def admit(self, key: RequestKey, known: KnownRequest, now: float) -> None:
        """Run, queue or refuse a new request.

        :param key: of the request.
        :param known: the request.
        :param now: in seconds.
        """
        if self.unavailable_reason:
            self.refuse(key, known, self.unavailable_reason, now)
        elif known.deadline <= now:
            self.refuse(key, known, 'the deadline has passed', now)
        elif len(self.running) < self.slots:
            self.run(key, known, now)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(key)
        else:
            self.refuse(key, known, 'the minion is full', now)

    def resend_reply(self, key: RequestKey, known: KnownRequest) -> None:
        """Say again what became of a request.

        :param key: of the request.
        :param known: the request.
        """
        if known.stage is Stage.fenced:
            self.outbox.append(effects.Refuse(key, 'refused before', 0))
        elif known.stage is Stage.ended and known.response is None:
            self.outbox.append(
                effects.ReportLost(key, 'the response is not kept')
            )
        elif known.response is not None:
            self.outbox.append(effects.ResendResponse(key, known.response))

    def run(self, key: RequestKey, known: KnownRequest, now: float) -> None:
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
        self, key: RequestKey, known: KnownRequest, reason: str, now: float
    ) -> None:
        """Say 'not run' and fence the number.

        :param key: of the request.
        :param known: the request, which the minion never saw.
        :param reason: why.
        :param now: in seconds.
        """
        self.record_end(key, known, Stage.fenced, now)
        retry_after = self.retry_after()
        self.outbox.append(effects.Refuse(key, reason, retry_after))

    def record_end(
        self, key: RequestKey, known: KnownRequest, stage: Stage, now: float
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

    def request_finished(
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
        weight = _LATENCY_WEIGHT if self.mean_run_time else 1
        self.mean_run_time += (elapsed - self.mean_run_time) * weight
        self.record_end(key, known, Stage.ended, now)
        if (
            response is not None
            and len(response.body) <= MAX_RETAINED_RESPONSE_BYTES
        ):
            known.response = response
            self.retained_bytes += len(response.body)
        self.expire_requests(now)
        self.run_waiting(now)

    def request_not_sent(
        self, key: RequestKey, reason: str, now: float
    ) -> None:
        """Note that a request never reached the minion.

        :param key: of the request.
        :param reason: why.
        :param now: in seconds.
        """
        known = self.running.pop(key, None)
        if known is not None:
            self.refuse(key, known, reason, now)
            self.run_waiting(now)

    def run_waiting(self, now: float) -> None:
        """Run waiting requests while there are free slots.

        :param now: in seconds.
        """
        while self.queue and len(self.running) < self.slots:
            key = self.queue.popleft()
            known = self.find_request(key)
            if known is None:
                continue
            if known.deadline <= now:
                self.refuse(key, known, 'the deadline has passed', now)
            else:
                self.run(key, known, now)

    def update_availability(self, reason: str, now: float) -> None:
        """Refuse what waits and what will come, or take requests again.

        :param reason: why no request is taken, empty if they are.
        :param now: in seconds.
        """
        self.unavailable_reason = reason
        while reason and self.queue:
            key = self.queue.popleft()
            known = self.find_request(key)
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
            known = self.find_request(key)
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
        history = self.histories.setdefault(entry, EntryHistory())
        history.last_used_at = now
        highest_number = history.highest_number
        running: list[int] = []
        fenced: list[int] = []
        lost: list[int] = []
        for number in numbers:
            known = history.requests.get(number)
            if known is None:
                (fenced if number > highest_number else lost).append(number)
                history.highest_number = max(history.highest_number, number)
            elif known.stage in {Stage.waiting, Stage.running}:
                running.append(number)
            else:
                self.resend_reply(RequestKey(entry, number), known)
        self.outbox.append(
            effects.Resolved(entry, tuple(running), tuple(fenced), tuple(lost))
        )

    def tick(self, now: float) -> None:
        """Act on deadlines and forget what is old.

        :param now: in seconds.
        """
        for key in tuple(self.queue):
            known = self.find_request(key)
            if known is not None and known.deadline <= now:
                self.queue.remove(key)
                self.refuse(key, known, 'the deadline has passed', now)
        for running, current in self.running.items():
            if current.deadline + STOP_GRACE_TIME <= now:
                self.outbox.append(effects.Stop(running))
        self.expire_requests(now)

    def expire_requests(self, now: float) -> None:
        """Forget requests that ended long ago, and the oldest over a limit.

        :param now: in seconds.
        """
        limit = MAX_RETAINED_REQUESTS * max(len(self.histories), 1)
        while self.ended and (
            self.ended[0][0] + RETENTION_TIME <= now
            or len(self.ended) > limit
            or self.retained_bytes > MAX_RETAINED_BYTES
        ):
            key = self.ended.popleft()[1]
            known = self.histories[key.entry].requests.pop(key.number)
            if known.response is not None:
                self.retained_bytes -= len(known.response.body)
        for entry, history in tuple(self.histories.items()):
            old = history.last_used_at + ENTRY_RETENTION_TIME <= now
            if old and not history.requests:
                del self.histories[entry]
