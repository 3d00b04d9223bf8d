"""Admission, dispatch, deadlines and hedging of requests at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.forwarding.entry_effects import ErrorReply
from jackdawridge.forwarding.exchange import Phase
from jackdawridge.forwarding.queues import equal_weight
from jackdawridge.forwarding.table import (
    TIMED_OUT,
    TOO_MANY,
    UNAVAILABLE,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.forwarding.exchange import Call, Exchange
    from jackdawridge.forwarding.minions import Minion
    from jackdawridge.forwarding.pool import ServicePool
    from jackdawridge.forwarding.table import Alarm, RequestTable

#: Interval at which waiting requests are dispatched without a reply, in
#: seconds. The reported load decays in the meantime.
POLL_INTERVAL = 0.05
#: Delay after which a caller may retry if no minion is known, in seconds.
NO_MINION_RETRY_DELAY = 1.0


class Router:
    """Admits requests and sends them to sides.

    :param table: open requests and attempts.
    """

    def __init__(self, table: RequestTable) -> None:
        """Initialise with equal weights of all teams."""
        self.table = table
        #: Returns the weight of a team.
        self.weight_of: Callable[[str], float] = equal_weight

    def next_alarm(self, now: float) -> float | None:
        """Return the local time of the next `tick`, None if there is none.

        :param now: local time in seconds.
        """
        times = [alarm.time for alarm in self.table.alarms[:1]]
        if any(pool.queues.size for pool in self.table.pools.values()):
            times.append(now + POLL_INTERVAL)
        return min(times, default=None)

    def admit(self, call: Call, now: float) -> int:
        """Queue or refuse a request and return its key.

        :param call: request of the caller.
        :param now: local time in seconds.
        """
        exchange = self.table.open(call)
        pool = self.table.pools.get(call.service)
        if pool is None:
            reason = f'no minion serves service {call.service!r}'
            error_reply = ErrorReply(UNAVAILABLE, reason, NO_MINION_RETRY_DELAY)
            self.table.give_up(exchange, error_reply)
            return exchange.key
        refusal = self.find_refusal(pool, call, now)
        if refusal is None:
            self.enqueue(pool, exchange, now)
        else:
            self.table.give_up(exchange, refusal)
        return exchange.key

    def find_refusal(
        self, pool: ServicePool, call: Call, now: float
    ) -> ErrorReply | None:
        """Return the error with which a new request is refused, if any.

        :param pool: pool of the service.
        :param call: request, which is in the table already.
        :param now: local time in seconds.
        """
        table = self.table
        limit = table.limits.requests
        retry_after = pool.retry_after(now)
        if table.teams[call.team] > max(limit * table.limits.team_share, 1):
            reason = f'team {call.team!r} has too many open requests'
            return ErrorReply(TOO_MANY, reason, retry_after)
        if len(table.exchanges) > limit:
            reason = 'too many open requests'
            return ErrorReply(UNAVAILABLE, reason, retry_after)
        if not pool.minions.usable(now):
            reason = 'no minion of the service accepts requests'
            return ErrorReply(UNAVAILABLE, reason, retry_after)
        if now + pool.expected_wait(now) >= call.deadline:
            reason = 'the expected wait exceeds the deadline'
            return ErrorReply(UNAVAILABLE, reason, retry_after)
        return None

    def enqueue(
        self, pool: ServicePool, exchange: Exchange, now: float
    ) -> None:
        """Queue a new request and dispatch its pool.

        :param pool: pool of the service.
        :param exchange: state of the request.
        :param now: local time in seconds.
        """
        call = exchange.call
        self.table.add_alarm(call.deadline, 'deadline', exchange.key)
        pushed = pool.queues.push(call.team, exchange)
        rejected = pushed.evicted if pushed.accepted else exchange
        if rejected is not None:
            self.table.give_up(
                rejected,
                ErrorReply(
                    UNAVAILABLE,
                    'the request queue is full',
                    pool.retry_after(now),
                ),
            )
        if pushed.accepted:
            pool.repeats.deposit()
            pool.resends.deposit()
            self.dispatch(pool, now)

    def dispatch(self, pool: ServicePool, now: float) -> None:
        """Send waiting requests while a minion has room.

        :param pool: pool of the service.
        :param now: local time in seconds.
        """
        while pool.queues.size:
            minion = pool.minions.choose(now)
            exchange = pool.queues.pop(self.weight_of) if minion else None
            if minion is None or exchange is None:
                return
            if exchange.avoided:
                minion = pool.minions.choose(now, exchange.avoided) or minion
            self.send(pool, exchange, minion, now)

    def send(
        self, pool: ServicePool, exchange: Exchange, minion: Minion, now: float
    ) -> None:
        """Start an attempt and schedule its hedge.

        :param pool: pool of the service.
        :param exchange: state of the request.
        :param minion: minion that is sent the request.
        :param now: local time in seconds.
        """
        load = minion.load(now)
        attempt = self.table.start_attempt(exchange, minion, now)
        reason = f'load {load:.1f} of {minion.slots}'
        self.table.record_decision('send', exchange, reason, attempt)
        hedge_delay = pool.latencies.hedge_delay
        wanted = exchange.call.hedging and not exchange.hedged
        if wanted and hedge_delay is not None:
            self.table.add_alarm(now + hedge_delay, 'hedge', exchange.key)

    def requeue(self, exchange: Exchange, now: float) -> None:
        """Queue a request again whose last attempt has failed.

        It returns to the head of the queue of its team.

        :param exchange: state of the request.
        :param now: local time in seconds.
        """
        exchange.lifecycle.attempts_ended()
        pool = self.table.pool(exchange.call.service)
        pool.queues.requeue(exchange.call.team, exchange)
        self.dispatch(pool, now)

    def abandon(self, key: int) -> None:
        """Drop a request whose caller has disconnected.

        :param key: key of the request.
        """
        exchange = self.table.exchanges.get(key)
        if exchange is not None:
            self.table.record_decision('drop', exchange, 'the caller has gone')
            self.table.finish(exchange)

    def tick(self, now: float) -> list[Alarm]:
        """Handle due deadlines and hedges and dispatch waiting requests.

        Return the other due alarms.

        :param now: local time in seconds.
        """
        others = []
        for alarm in self.table.pop_due_alarms(now):
            if alarm.kind == 'unresolved':
                others.append(alarm)
            else:
                self.handle_alarm(alarm, now)
        for pool in self.table.pools.values():
            self.dispatch(pool, now)
        return others

    def handle_alarm(self, alarm: Alarm, now: float) -> None:
        """Handle the deadline or hedge of a request, if it is still open.

        :param alarm: due alarm.
        :param now: local time in seconds.
        """
        exchange = self.table.exchanges.get(alarm.key)
        if exchange is None:
            return
        if alarm.kind == 'deadline':
            self.expire(exchange)
        else:
            self.hedge(exchange, now)

    def expire(self, exchange: Exchange) -> None:
        """End a request whose deadline has passed with an error.

        :param exchange: state of the request.
        """
        waits = exchange.phase is Phase.waiting
        reason = 'deadline passed while {0}'.format(
            'it waited for a minion' if waits else 'a minion had it',
        )
        self.table.give_up(exchange, ErrorReply(TIMED_OUT, reason))

    def hedge(self, exchange: Exchange, now: float) -> None:
        """Send a slow request to a second minion if load and budget allow it.

        :param exchange: state of the request.
        :param now: local time in seconds.
        """
        if not exchange.may_hedge(now):
            return
        pool = self.table.pool(exchange.call.service)
        first = next(iter(exchange.attempts.values())).minion
        minions = pool.minions
        # Hedging does not help a request that is slow by itself, and takes
        # a slot: under load, only requests at slow minions are hedged.
        if not (minions.is_slow(first) or minions.has_spare_capacity(now)):
            return
        minion = minions.choose(now, exchange.avoided | {first.side})
        idle = minion is not None and minion.load(now) < minion.slots
        if minion is None or not idle or not pool.repeats.spend():
            return
        exchange.hedged = True
        attempt = self.table.start_attempt(exchange, minion, now)
        self.table.record_decision(
            'hedge', exchange, 'no response after the hedge delay', attempt
        )
