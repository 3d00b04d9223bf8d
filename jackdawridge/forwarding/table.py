"""Open requests and attempts of an entry, with their alarms."""

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
from jackdawridge.forwarding.pool import ServicePool

if TYPE_CHECKING:
    from jackdawridge.forwarding.exchange import Call
    from jackdawridge.forwarding.minions import Minion

#: Status code if the response of the minion is missing or incomplete.
BAD_GATEWAY = 502
#: Status code if a request is refused or was not run.
UNAVAILABLE = 503
#: Status code if the deadline has passed.
TIMED_OUT = 504
#: Status code if the team has too many open requests.
TOO_MANY = 429


class Limits(NamedTuple):
    """Limits of one entry."""

    #: Highest number of open requests.
    requests: int = 4096
    #: Fraction of these that one team may have.
    team_share: float = 0.5
    #: Highest number of waiting requests per service.
    waiting: int = 1024


class Alarm(NamedTuple):
    """Action that is due at a time."""

    #: Local time in seconds.
    time: float
    #: `deadline`, `hedge` or `unresolved`.
    kind: str
    #: Key of the exchange; 0 for `unresolved`, which concerns all attempts.
    key: int


class RequestTable:
    """Open requests and attempts; does no input or output itself.

    Its methods keep the tables consistent and append the effects to be
    performed to `outbox`.

    :param domain: failure domain of the entry.
    :param limits: limits of the entry.
    :param seed: seed of the random choice between minions.
    """

    def __init__(
        self, domain: str, limits: Limits | None = None, seed: int = 0
    ) -> None:
        """Initialise without sides and requests."""
        self.domain = domain
        self.limits = limits or Limits()
        self.random = random.Random(seed)
        #: Failure domains that operators have taken out of service.
        self.out_of_service: set[str] = set()
        self.pools: dict[str, ServicePool] = {}
        self.exchanges: dict[int, Exchange] = {}
        #: Attempts without a reply of the side, abandoned ones included.
        self.attempts: dict[int, Attempt] = {}
        #: Open requests by team.
        self.teams: dict[str, int] = {}
        self.alarms: list[Alarm] = []
        self.outbox: list[effects.EntryEffect] = []
        self.last_key = 0
        self.last_number = 0

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service, creating it if absent.

        :param service: name of the service.
        """
        if service not in self.pools:
            minions = MinionSet(self.domain, self.random, self.out_of_service)
            self.pools[service] = ServicePool(
                service, minions, self.limits.waiting
            )
        return self.pools[service]

    def add_alarm(self, time: float, kind: str, key: int) -> None:
        """Schedule an alarm.

        :param time: local time in seconds.
        :param kind: `deadline`, `hedge` or `unresolved`.
        :param key: key of the exchange, 0 for `unresolved`.
        """
        heapq.heappush(self.alarms, Alarm(time, kind, key))

    def pop_due_alarms(self, now: float) -> list[Alarm]:
        """Remove and return the due alarms.

        :param now: local time in seconds.
        """
        due = []
        while self.alarms and self.alarms[0].time <= now:
            due.append(heapq.heappop(self.alarms))
        return due

    def open(self, call: Call) -> Exchange:
        """Add a new request.

        :param call: request of the caller.
        """
        self.last_key += 1
        exchange = Exchange(self.last_key, call)
        self.exchanges[exchange.key] = exchange
        self.teams[call.team] = self.teams.get(call.team, 0) + 1
        return exchange

    def start_attempt(
        self, exchange: Exchange, minion: Minion, now: float
    ) -> Attempt:
        """Start an attempt by sending a request to a side.

        :param exchange: state of the request.
        :param minion: minion that is sent the request.
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
        """Remove and return an attempt that has ended.

        Return None if it is unknown.

        :param number: number of the attempt.
        """
        attempt = self.attempts.pop(number, None)
        if attempt is None:
            return None
        attempt.minion.in_flight.discard(number)
        attempt.exchange.attempts.pop(number, None)
        return attempt

    def drop_attempts(self, exchange: Exchange) -> None:
        """Cancel the attempts of a request.

        They stay in the table and count as load until their sides reply.

        :param exchange: state of the request.
        """
        for number, attempt in exchange.attempts.items():
            cancel = CancelRequests((number,))
            self.outbox.append(effects.Transmit(attempt.minion.side, cancel))
        exchange.attempts.clear()

    def give_up(
        self, exchange: Exchange, error_reply: effects.ErrorReply
    ) -> None:
        """End a request with an error, or abort its answer if it has started.

        :param exchange: state of the request.
        :param error_reply: error for the caller.
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
        """Remove a request that has ended and cancel its attempts.

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
        """Append the log line of a routing decision to the outbox.

        :param step: name of the decision.
        :param exchange: state of the request.
        :param reason: reason of the decision.
        :param attempt: attempt that the decision concerns, if any.
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
    """Return the message that starts an attempt."""
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
