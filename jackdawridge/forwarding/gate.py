"""Admission of requests at a side, with at-most-once decisions per number.

Every request for the minion passes through the `Gate`.
"""

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

#: Time for which an ended request and its response are retained, in seconds.
RETENTION_TIME = 15.0
#: Highest number of ended requests retained per entry on average.
MAX_RETAINED_REQUESTS = 2048
#: Size of the body up to which a response is retained, in bytes.
MAX_RETAINED_RESPONSE_BYTES = 65536
#: Highest total size of retained response bodies, in bytes.
MAX_RETAINED_BYTES = 4194304
#: Time for which the history of an entry without messages and requests is
#: retained, in seconds.
ENTRY_RETENTION_TIME = 600.0
#: Time after the deadline at which a running request is stopped, in seconds.
STOP_GRACE_TIME = 0.5
#: Shortest and longest delay suggested to refused requests, in seconds.
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 5.0

#: Weight of the newest run time in the moving average.
_RUN_TIME_WEIGHT = 0.1


class Stage(enum.Enum):
    """Stage of a request at its side."""

    waiting = 'waiting'
    running = 'running'
    #: Run, with or without a retained response.
    ended = 'ended'
    #: Refused for good: not run, and never will be under its number.
    fenced = 'fenced'


class KnownRequest:
    """Request that a side has decided about.

    :param request: request as the entry sent it; dropped at its end.
    :param deadline: local time in seconds.
    """

    def __init__(self, request: Request | None, deadline: float) -> None:
        """Initialise as waiting."""
        self.request = request
        self.deadline = deadline
        self.stage = Stage.waiting
        self.started_at: float = 0
        self.response: Response | None = None


class EntryHistory:
    """Requests of one run of an entry, as a side retains them."""

    def __init__(self) -> None:
        """Initialise without requests."""
        #: Highest number that was received or fenced.
        self.highest_number = 0
        self.requests: dict[int, KnownRequest] = {}
        self.last_used_at: float = 0


class Gate:
    """State of the requests at a side; does no input or output itself.

    Its methods append the effects to be performed to `outbox`.

    A number is decided once: when it first arrives it is run, queued or
    refused. A duplicate gets the same reply again. An old number that is no
    longer retained is reported as lost, never as not run.

    :param slots: highest number of requests running at the minion.
    :param queue_limit: highest number of requests waiting for a slot.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Initialise without requests."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.histories: dict[EntryId, EntryHistory] = {}
        self.queue: deque[RequestKey] = deque()
        self.running: dict[RequestKey, KnownRequest] = {}
        #: Ended and fenced requests with the time of their end, oldest first.
        self.ended: deque[tuple[float, RequestKey]] = deque()
        self.retained_bytes = 0
        self.mean_run_time: float = 0
        #: Reason why new requests are refused, or an empty string.
        self.unavailable_reason = ''
        self.outbox: list[effects.SideEffect] = []

    def load(self) -> Load:
        """Return the current load, which every reply carries."""
        return Load(
            len(self.running), len(self.queue), not self.unavailable_reason
        )

    def retry_after(self) -> float:
        """Return the delay suggested to a refused request, in seconds."""
        wait = self.mean_run_time * (len(self.queue) + 1) / self.slots
        return min(max(wait, MIN_RETRY_DELAY), MAX_RETRY_DELAY)

    def find_request(self, key: RequestKey) -> KnownRequest | None:
        """Return a retained request, None if there is none.

        :param key: key of the request.
        """
        history = self.histories.get(key.entry)
        return history.requests.get(key.number) if history else None

    def receive(self, entry: EntryId, request: Request, now: float) -> None:
        """Admit a new request, or repeat the reply to a duplicate.

        :param entry: entry that sent the request.
        :param request: request that arrived.
        :param now: local time in seconds.
        """
        history = self.histories.setdefault(entry, EntryHistory())
        history.last_used_at = now
        key = RequestKey(entry, request.number)
        known = history.requests.get(request.number)
        if known is not None:
            self.resend_reply(key, known)
            return
        if request.number <= history.highest_number:
            self.outbox.append(
                effects.ReportLost(
                    key, 'the request number is no longer retained'
                )
            )
            return
        history.highest_number = request.number
        known = KnownRequest(request, now + request.remaining)
        history.requests[request.number] = known
        self.admit(key, known, now)

    def admit(self, key: RequestKey, known: KnownRequest, now: float) -> None:
        """Run, queue or refuse a new request.

        :param key: key of the request.
        :param known: state of the request.
        :param now: local time in seconds.
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
            self.refuse(
                key,
                known,
                'all slots of the minion are in use and the queue is full',
                now,
            )

    def resend_reply(self, key: RequestKey, known: KnownRequest) -> None:
        """Send the reply to a decided request again.

        A request that waits or runs has no reply yet.

        :param key: key of the request.
        :param known: state of the request.
        """
        if known.stage is Stage.fenced:
            self.outbox.append(
                effects.Refuse(key, 'the request was refused before', 0)
            )
        elif known.stage is Stage.ended and known.response is None:
            self.outbox.append(
                effects.ReportLost(key, 'the response is no longer retained')
            )
        elif known.response is not None:
            self.outbox.append(effects.ResendResponse(key, known.response))

    def run(self, key: RequestKey, known: KnownRequest, now: float) -> None:
        """Start a request at the minion.

        :param key: key of the request.
        :param known: state of the request.
        :param now: local time in seconds.
        """
        known.stage = Stage.running
        known.started_at = now
        self.running[key] = known
        if known.request is not None:
            self.outbox.append(effects.Run(key, known.request))

    def refuse(
        self, key: RequestKey, known: KnownRequest, reason: str, now: float
    ) -> None:
        """Refuse a request and fence its number.

        :param key: key of the request.
        :param known: state of the request, which never reached the minion.
        :param reason: reason of the refusal.
        :param now: local time in seconds.
        """
        self.record_end(key, known, Stage.fenced, now)
        retry_after = self.retry_after()
        self.outbox.append(effects.Refuse(key, reason, retry_after))

    def record_end(
        self, key: RequestKey, known: KnownRequest, stage: Stage, now: float
    ) -> None:
        """Record the final stage of a request.

        :param key: key of the request.
        :param known: state of the request.
        :param stage: `Stage.ended` or `Stage.fenced`.
        :param now: local time in seconds.
        """
        known.stage = stage
        known.request = None
        self.ended.append((now, key))

    def request_finished(
        self, key: RequestKey, response: Response | None, now: float
    ) -> None:
        """Handle the end of a request at the minion.

        :param key: key of the request.
        :param response: response to be retained, None if it is lost or was
            streamed.
        :param now: local time in seconds.
        """
        known = self.running.pop(key, None)
        if known is None:
            return
        elapsed = now - known.started_at
        weight = _RUN_TIME_WEIGHT if self.mean_run_time else 1
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
        """Refuse a request that never reached the minion.

        :param key: key of the request.
        :param reason: reason of the refusal.
        :param now: local time in seconds.
        """
        known = self.running.pop(key, None)
        if known is not None:
            self.refuse(key, known, reason, now)
            self.run_waiting(now)

    def run_waiting(self, now: float) -> None:
        """Start waiting requests while there are free slots.

        :param now: local time in seconds.
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
        """Refuse waiting and new requests, or accept requests again.

        :param reason: reason why requests are refused, empty to accept them.
        :param now: local time in seconds.
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
        """Refuse cancelled requests that still wait; running ones go on.

        :param entry: entry that sent the requests.
        :param numbers: numbers of the requests.
        :param now: local time in seconds.
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
        """Report the outcome of requests and fence those that never arrived.

        :param entry: entry that asks, over a new link.
        :param numbers: numbers of the requests.
        :param now: local time in seconds.
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
        """Apply deadlines and drop expired requests from the history.

        :param now: local time in seconds.
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
        """Drop ended requests that are too old or exceed the limits.

        The history of an entry is dropped once it is idle and empty.

        :param now: local time in seconds.
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
