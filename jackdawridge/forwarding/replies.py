"""Handling of the replies of sides at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding.exchange import Phase
from jackdawridge.forwarding.messages import (
    BODY_PART_BYTES,
    CancelRequests,
    RequestBody,
)
from jackdawridge.forwarding.policy import RETRYABLE_STATUSES
from jackdawridge.forwarding.table import BAD_GATEWAY, UNAVAILABLE

if TYPE_CHECKING:
    from jackdawridge.forwarding.exchange import Attempt, Exchange
    from jackdawridge.forwarding.messages import (
        Credit,
        RequestLost,
        RequestRefused,
        Response,
        ResponseBody,
    )
    from jackdawridge.forwarding.router import Router

#: Lowest status code that counts as a failure of the minion.
_SERVER_ERROR = 500


class Replies:
    """Delivers responses to callers and repeats failed requests if allowed.

    :param router: sends requests to sides.
    """

    def __init__(self, router: Router) -> None:
        """Initialise the component."""
        self.router = router
        self.table = router.table

    def handle_refused(self, message: RequestRefused, now: float) -> None:
        """Handle the refusal of a request, which was not run.

        :param message: refusal of the side.
        :param now: local time in seconds.
        """
        attempt = self.table.release(message.number)
        if attempt is not None:
            attempt.minion.update_load(message.load, now)
            self.handle_not_run(
                attempt, message.reason, message.retry_after, now
            )

    def handle_unsent(self, number: int, now: float) -> None:
        """Handle an attempt whose message could not be sent to the side.

        :param number: number of the attempt.
        :param now: local time in seconds.
        """
        attempt = self.table.release(number)
        if attempt is not None:
            self.handle_not_run(attempt, 'no link to the side', 0, now)

    def handle_not_run(
        self, attempt: Attempt, reason: str, retry_after: float, now: float
    ) -> None:
        """Resend a request that was not run, or answer it with an error.

        :param attempt: attempt that was released from the table.
        :param reason: reason of the refusal.
        :param retry_after: delay in seconds that the refusal suggests.
        :param now: local time in seconds.
        """
        exchange = attempt.exchange
        pool = self.table.pool(exchange.call.service)
        if not self.has_no_attempt_left(attempt):
            self.router.dispatch(pool, now)
            return
        self.table.record_decision('refused', exchange, reason, attempt)
        exchange.avoided.add(attempt.minion.side)
        usable = pool.minions.usable(now)
        if usable and exchange.may_resend(now) and pool.resends.spend():
            self.router.requeue(exchange, now)
            return
        wait = max(retry_after, pool.retry_after(now))
        self.table.give_up(
            exchange, effects.ErrorReply(UNAVAILABLE, reason, wait)
        )

    def handle_lost(self, message: RequestLost, now: float) -> None:
        """Handle a request whose response is lost.

        :param message: report of the side.
        :param now: local time in seconds.
        """
        attempt = self.table.release(message.number)
        if attempt is not None:
            attempt.minion.update_load(message.load, now)
            self.handle_unknown_outcome(attempt, message.reason, now)

    def handle_unknown_outcome(
        self, attempt: Attempt, reason: str, now: float
    ) -> None:
        """Repeat a request that may have run, or answer it with an error.

        Only an idempotent request is repeated, within the budget.

        :param attempt: attempt that was released from the table.
        :param reason: reason why there is no response.
        :param now: local time in seconds.
        """
        exchange = attempt.exchange
        wanted = exchange.phase is Phase.trying
        pool = self.table.pool(exchange.call.service)
        if wanted:
            pool.minions.record_failure(attempt.minion, now)
            exchange.may_have_run = True
        if not self.has_no_attempt_left(attempt):
            self.router.dispatch(pool, now)
            return
        self.table.record_decision('lost', exchange, reason, attempt)
        exchange.avoided.add(attempt.minion.side)
        if self.may_repeat(exchange, now):
            self.router.requeue(exchange, now)
        else:
            self.table.give_up(
                exchange, effects.ErrorReply(BAD_GATEWAY, reason)
            )

    def may_repeat(self, exchange: Exchange, now: float) -> bool:
        """Return whether to repeat a request, and spend from the budget if so.

        :param exchange: state of a request that may have run.
        :param now: local time in seconds.
        """
        pool = self.table.pool(exchange.call.service)
        return (
            exchange.call.repeatable
            and exchange.may_resend(now)
            and bool(pool.minions.usable(now))
            and pool.repeats.spend()
        )

    def has_no_attempt_left(self, attempt: Attempt) -> bool:
        """Return whether a request is unanswered and has no other attempt.

        :param attempt: attempt that was released from the table.
        """
        exchange = attempt.exchange
        return exchange.phase is Phase.trying and not exchange.attempts

    def handle_response(self, message: Response, now: float) -> None:
        """Deliver a response, or discard it if the request has ended.

        :param message: response of the minion.
        :param now: local time in seconds.
        """
        attempt = self.table.release(message.number)
        if attempt is None:
            return
        attempt.minion.update_load(message.load, now)
        pool = self.table.pool(attempt.exchange.call.service)
        if attempt.exchange.phase is not Phase.trying:
            self.discard_response(attempt, message)
        elif self.is_failure(attempt, message):
            self.handle_unknown_outcome(
                attempt, f'status {message.status}', now
            )
        else:
            self.record_response(attempt, message, now)
            self.deliver(attempt, message)
        self.router.dispatch(pool, now)

    def is_failure(self, attempt: Attempt, message: Response) -> bool:
        """Return whether an error response is replaced by another attempt.

        :param attempt: attempt that was released from the table.
        :param message: response of the minion.
        """
        exchange = attempt.exchange
        if message.status not in RETRYABLE_STATUSES or not message.last:
            return False
        if not exchange.call.repeatable:
            return False
        pool = self.table.pool(exchange.call.service)
        return bool(exchange.attempts) or pool.repeats.tokens >= 1

    def discard_response(self, attempt: Attempt, message: Response) -> None:
        """Discard a response and cancel the rest of its body.

        :param attempt: attempt that was released from the table.
        :param message: response of the minion.
        """
        if not message.last:
            cancel = CancelRequests((message.number,))
            self.table.outbox.append(
                effects.Transmit(attempt.minion.side, cancel)
            )

    def record_response(
        self, attempt: Attempt, message: Response, now: float
    ) -> None:
        """Record the latency or the failure of a response.

        :param attempt: attempt that was released from the table.
        :param message: response of the minion.
        :param now: local time in seconds.
        """
        pool = self.table.pool(attempt.exchange.call.service)
        if message.status >= _SERVER_ERROR:
            pool.minions.record_failure(attempt.minion, now)
            return
        latency = now - attempt.sent_at
        attempt.minion.record_latency(latency)
        pool.latencies.add(latency)

    def deliver(self, attempt: Attempt, message: Response) -> None:
        """Start the answer to the caller and cancel the other attempts.

        :param attempt: attempt that was released from the table.
        :param message: response of the minion.
        """
        exchange = attempt.exchange
        exchange.lifecycle.answer_started()
        self.table.drop_attempts(exchange)
        self.table.outbox.append(
            effects.Respond(exchange.key, attempt.minion.side, message)
        )
        if message.last:
            self.table.finish(exchange)
        else:
            exchange.attempts[attempt.number] = attempt
            self.table.attempts[attempt.number] = attempt
            attempt.minion.in_flight.add(attempt.number)

    def handle_response_body(self, message: ResponseBody) -> None:
        """Deliver a further part of a response body.

        :param message: part of the body.
        """
        ends = message.last or not message.intact
        attempt = self.table.attempts.get(message.number)
        if attempt is None:
            return
        if ends:
            self.table.release(message.number)
        exchange = attempt.exchange
        if exchange.phase is not Phase.answering:
            return
        if not message.intact:
            reason = 'the minion closed the connection during the response'
            self.table.give_up(
                exchange, effects.ErrorReply(BAD_GATEWAY, reason)
            )
            return
        self.table.outbox.append(
            effects.ContinueAnswer(exchange.key, message.body, message.last)
        )
        if ends:
            self.table.finish(exchange)

    def handle_credit(self, message: Credit) -> None:
        """Send the part of a request body that a side requests.

        :param message: credit of the side that runs the request.
        """
        attempt = self.table.attempts.get(message.number)
        if attempt is None or attempt.number not in attempt.exchange.attempts:
            return
        body = attempt.exchange.call.body
        end = message.offset + BODY_PART_BYTES
        part = RequestBody(
            message.number,
            message.offset,
            body[message.offset : end],
        )
        self.table.outbox.append(effects.Transmit(attempt.minion.side, part))
