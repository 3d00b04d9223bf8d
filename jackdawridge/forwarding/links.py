"""What an entry makes of sides that come, go and come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding.exchange import Phase
from jackdawridge.forwarding.messages import ResolveRequests
from jackdawridge.forwarding.minions import Minion

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from jackdawridge.forwarding.exchange import Attempt
    from jackdawridge.forwarding.identity import SideId
    from jackdawridge.forwarding.messages import (
        Load,
        RequestsResolved,
    )
    from jackdawridge.forwarding.replies import Replies

#: Time to wait for a side whose link broke before its requests count as lost,
#: in seconds.
RELINK_TIMEOUT = 3.0


class SideInfo(NamedTuple):
    """What a side says about itself."""

    side: SideId
    service: str
    domain: str
    slots: int


class Links:
    """Follows the links to sides and settles what was open on a broken one.

    :param replies: acts on what became of a request.
    """

    def __init__(self, replies: Replies) -> None:
        """Start without sides."""
        self.replies = replies
        self.table = replies.table
        #: Service of each known side.
        self.services: dict[SideId, str] = {}
        #: Attempts whose side is not linked, until the alarm.
        self.unresolved: dict[int, float] = {}

    def minion(self, side: SideId) -> Minion | None:
        """Return the minion of a side, if known.

        :param side: the side.
        """
        service = self.services.get(side)
        if service is None:
            return None
        return self.table.pool(service).minions.by_side.get(side)

    def side_joined(self, info: SideInfo, now: float) -> None:
        """Use a side that has a link, perhaps again.

        :param info: what it says about itself.
        :param now: in seconds.
        """
        minion = self.minion(info.side)
        if minion is None:
            minion = Minion(info.side, info.domain, info.slots)
            pool = self.table.pool(info.service)
            pool.minions.by_side[info.side] = minion
            self.services[info.side] = info.service
            self.drop_earlier_runs(info.side, now)
        minion.connected = True
        minion.accepting = True
        open_numbers = tuple(sorted(minion.in_flight))
        if open_numbers:
            resolve = ResolveRequests(open_numbers)
            self.table.outbox.append(effects.Transmit(info.side, resolve))
        self.replies.router.dispatch(self.table.pool(info.service), now)

    def drop_earlier_runs(self, side: SideId, now: float) -> None:
        """Count what was open at earlier runs of a side as lost.

        :param side: its new run.
        :param now: in seconds.
        """
        for older in tuple(self.services):
            minion = self.minion(older)
            replaced = older.node == side.node and older != side
            if minion is not None and replaced:
                minion.connected = False
                self.fail_attempts(
                    sorted(minion.in_flight), 'the side was replaced', now
                )
                self.remove(minion)

    def side_left(self, side: SideId, now: float) -> None:
        """Settle what was open at a side whose link has ended.

        What may be repeated is repeated at once; the rest waits for the side
        to come back and say what became of it.

        :param side: whose link has ended.
        :param now: in seconds.
        """
        minion = self.minion(side)
        if minion is None:
            return
        minion.connected = False
        for number in sorted(minion.in_flight):
            self.handle_link_loss(self.table.attempts[number], now)
        self.table.add_alarm(now + RELINK_TIMEOUT, 'unresolved', 0)

    def handle_link_loss(self, attempt: Attempt, now: float) -> None:
        """Decide about one attempt at a side whose link has ended.

        :param attempt: open at the side.
        :param now: in seconds.
        """
        exchange = attempt.exchange
        wanted = exchange.phase is Phase.trying
        pool = self.table.pool(exchange.call.service)
        repeats = (
            exchange.call.repeatable
            and exchange.may_resend(now)
            and pool.repeats.tokens >= 1
        )
        if wanted and not repeats:
            self.unresolved[attempt.number] = now + RELINK_TIMEOUT
        else:
            self.fail_attempts(
                (attempt.number,), 'the link to the side broke', now
            )

    def fail_attempts(
        self, numbers: Iterable[int], reason: str, now: float
    ) -> None:
        """Count attempts as lost.

        :param numbers: of the attempts.
        :param reason: why there will be no answer.
        :param now: in seconds.
        """
        for number in numbers:
            self.unresolved.pop(number, None)
            attempt = self.table.release(number)
            if attempt is None:
                continue
            if attempt.exchange.phase is Phase.answering:
                self.abort_answer(attempt, reason)
            else:
                self.replies.handle_unknown_outcome(attempt, reason, now)

    def abort_answer(self, attempt: Attempt, reason: str) -> None:
        """Cut off an answer whose rest will not come.

        :param attempt: already released.
        :param reason: why.
        """
        exchange = attempt.exchange
        self.table.outbox.append(effects.Abort(exchange.key, reason))
        self.table.finish(exchange)

    def handle_resolved(
        self, side: SideId, message: RequestsResolved, now: float
    ) -> None:
        """Act on what a side says of requests on a broken link.

        :param side: the side.
        :param message: its answer.
        :param now: in seconds.
        """
        for running in message.running:
            self.unresolved.pop(running, None)
        for number in message.fenced:
            self.unresolved.pop(number, None)
            attempt = self.table.release(number)
            if attempt is not None:
                reason = 'the request did not arrive'
                self.replies.handle_not_run(attempt, reason, 0, now)
        self.fail_attempts(
            message.lost, 'the answer was lost with the link', now
        )

    def handle_load_report(self, side: SideId, load: Load, now: float) -> None:
        """Learn that a side begins or ceases to take requests.

        :param side: the side.
        :param load: its load.
        :param now: in seconds.
        """
        minion = self.minion(side)
        if minion is not None:
            minion.update_load(load, now)
            pool = self.table.pool(self.services[side])
            self.replies.router.dispatch(pool, now)

    def expire_unresolved(self, now: float) -> None:
        """Count requests as lost whose side did not come back in time.

        :param now: in seconds.
        """
        late = [number for number, end in self.unresolved.items() if end <= now]
        self.fail_attempts(late, 'the side did not come back', now)
        for side in tuple(self.services):
            minion = self.minion(side)
            if minion is not None and not (
                minion.connected or minion.in_flight
            ):
                self.remove(minion)

    def remove(self, minion: Minion) -> None:
        """Forget a side.

        :param minion: the minion beside it.
        """
        service = self.services.pop(minion.side)
        self.table.pool(service).minions.by_side.pop(minion.side)

    def failure_domains(self) -> set[str]:
        """Return the failure domains of the known sides."""
        known = [self.minion(side) for side in self.services]
        return {minion.domain for minion in known if minion is not None}

    def set_out_of_service(self, domains: Collection[str], now: float) -> None:
        """Use no minion in some failure domains, and all others again.

        :param domains: those that operators have taken out.
        :param now: in seconds.
        """
        self.table.out_of_service.clear()
        self.table.out_of_service.update(domains)
        for pool in self.table.pools.values():
            self.replies.router.dispatch(pool, now)
