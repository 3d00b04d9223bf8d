"""Open requests and attempts of an entry, and what is to be done for them."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding.exchange import Attempt, Exchange, Phase
from jackdawridge.forwarding.messages import (
    BODY_PART_BYTES,
    CancelRequests,
    Request,
)
from jackdawridge.forwarding.minions import MinionSet
from jackdawridge.forwarding.pool import Pool

if TYPE_CHECKING:
    from jackdawridge.forwarding.exchange import Call
    from jackdawridge.forwarding.minions import Minion

#: Status of an answer when a request may have run.
BAD_GATEWAY = 502
#: Status of an answer when a request found no place.
UNAVAILABLE = 503
#: Status of an answer when the deadline has passed.
TIMED_OUT = 504
#: Status of an answer when a team is over its limit.
TOO_MANY = 429


class Limits(NamedTuple):
    """Bounds of one entry."""

    #: Requests that are open at a time.
    requests: int = 4096
    #: Share of these that one team may have.
    team_share: float = 0.5
    #: Requests of one service that wait.
    waiting: int = 1024


class Alarm(NamedTuple):
    """Something to do at a time."""

    time: float
    #: `deadline`, `hedge` or `unresolved`.
    kind: str
    #: Key of the exchange, or number of the attempt in doubt.
    key: int


class RequestTable:
    """Tables of an entry, with the steps that keep them consistent.

    Each step appends to `outbox` what is to be done.

    :param domain: failure domain of the entry.
    :param limits: bounds of the entry.
    :param seed: of the choice between equal minions.
    """

    def __init__(
        self, domain: str, limits: Limits | None = None, seed: int = 0
    ) -> None:
        """Start without sides and requests."""
        self.domain = domain
        self.limits = limits or Limits()
        self.random = random.Random(seed)
        #: Failure domains that operators have taken out.
        self.out_of_service: set[str] = set()
        self.pools: dict[str, Pool] = {}
        self.exchanges: dict[int, Exchange] = {}
        #: Attempts whose side still owes a reply, wanted or not.
        self.attempts: dict[int, Attempt] = {}
        #: Open requests by team.
        self.teams: dict[str, int] = {}
        self.alarms: list[Alarm] = []
        self.outbox: list[effects.EntryEffect] = []
        self.last_key = 0
        self.last_number = 0

    def pool(self, service: str) -> Pool:
        """Return the pool of a service, made if need be.

        :param service: name of the service.
        """
        if service not in self.pools:
            minions = MinionSet(self.domain, self.random, self.out_of_service)
            self.pools[service] = Pool(service, minions, self.limits.waiting)
        return self.pools[service]

    def add_alarm(self, time: float, kind: str, key: int) -> None:
        """Have something done at a time.

        :param time: in seconds.
        :param kind: `deadline`, `hedge` or `unresolved`.
        :param key: of the exchange or attempt.
        """
        heapq.heappush(self.alarms, Alarm(time, kind, key))

    def pop_due_alarms(self, now: float) -> list[Alarm]:
        """Remove and return the alarms whose time has come.

        :param now: local time in seconds.
        """
        due = []
        while self.alarms and self.alarms[0].time <= now:
            due.append(heapq.heappop(self.alarms))
        return due

    def open(self, call: Call) -> Exchange:
        """Enter a new request.

        :param call: request of the caller.
        """
        self.last_key += 1
        exchange = Exchange(self.last_key, call)
        self.exchanges[exchange.key] = exchange
        self.teams[call.team] = self.teams.get(call.team, 0) + 1
        return exchange

    def begin(self, exchange: Exchange, minion: Minion, now: float) -> Attempt:
        """Send a request to a side.

        :param exchange: state of the request.
        :param minion: where to.
        :param now: local time in seconds.
        """
        self.last_number += 1
        number = self.last_number
        attempt = Attempt(number, exchange, minion, now)
        self.attempts[number] = attempt
        exchange.attempts[number] = attempt
        exchange.sends += 1
        exchange.lifecycle.attempt_started()
        minion.in_flight.add(number)
        request = _make_request(exchange.call, number, now)
        self.outbox.append(effects.Transmit(minion.side, request, number))
        return attempt

    def release(self, number: int) -> Attempt | None:
        """Remove an attempt that its side has replied to.

        :param number: of the attempt.
        """
        attempt = self.attempts.pop(number, None)
        if attempt is None:
            return None
        attempt.minion.in_flight.discard(number)
        attempt.exchange.attempts.pop(number, None)
        return attempt

    def drop_attempts(self, exchange: Exchange) -> None:
        """Cease to wait for the attempts of a request.

        They stay in the table, as their minions stay busy until they reply.

        :param exchange: state of the request.
        """
        for number, attempt in exchange.attempts.items():
            cancel = CancelRequests((number,))
            self.outbox.append(effects.Transmit(attempt.minion.side, cancel))
        exchange.attempts.clear()

    def give_up(
        self, exchange: Exchange, error_reply: effects.ErrorReply
    ) -> None:
        """End a request without an answer of a minion.

        :param exchange: state of the request.
        :param error_reply: why.
        """
        if exchange.phase is Phase.answering:
            self.outbox.append(effects.Abort(exchange.key, error_reply.reason))
        else:
            may_have_run = exchange.may_have_run or bool(exchange.attempts)
            outcome = (
                effects.Outcome.unknown
                if may_have_run
                else effects.Outcome.not_run
            )
            self.outbox.append(
                effects.GiveUp(exchange.key, outcome, error_reply),
            )
            self.record_decision(
                'give up', exchange, f'{outcome.value}: {error_reply.reason}'
            )
        self.finish(exchange)

    def finish(self, exchange: Exchange) -> None:
        """Forget a request to whose caller nothing more is owed.

        :param exchange: state of the request.
        """
        call = exchange.call
        if exchange.phase is Phase.waiting:
            self.pool(call.service).queues.discard(call.team, exchange)
        self.drop_attempts(exchange)
        exchange.lifecycle.finish()
        del self.exchanges[exchange.key]
        self.teams[call.team] -= 1
        if not self.teams[call.team]:
            del self.teams[call.team]

    def record_decision(
        self,
        step: str,
        exchange: Exchange,
        reason: str,
        attempt: Attempt | None = None,
    ) -> None:
        """Have the log line of a decision written.

        :param step: what was decided.
        :param exchange: state of the request.
        :param reason: why.
        :param attempt: to which minion, if any.
        """
        self.outbox.append(
            effects.LogDecision(
                step,
                attempt.minion.side.node if attempt else '',
                reason,
                exchange.call.request_id,
                attempt.number if attempt else 0,
            )
        )


def _make_request(call: Call, number: int, now: float) -> Request:
    """Return the message that begins an attempt."""
    return Request(
        number,
        call.method,
        call.path,
        call.headers,
        call.body[:BODY_PART_BYTES],
        len(call.body),
        max(call.deadline - now, 0),
        call.repeatable,
    )
