"""Links of an entry to sides, and the requests open on a closed link."""

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

#: Time for a side whose link closed to relink before its requests count as
#: lost, in seconds.
RELINK_TIMEOUT = 3.0


class SideInfo(NamedTuple):
    """Properties of a side, from its introduction."""

    side: SideId
    service: str
    #: Failure domain.
    domain: str
    #: Highest number of requests running at the minion.
    slots: int


class SideLinks:
    """Tracks the links to sides and resolves requests open on a closed link.

    :param replies: handles the outcome of attempts.
    """

    def __init__(self, replies: Replies) -> None:
        """Initialise without sides."""
        self.replies = replies
        self.table = replies.table
        #: Service of each known side.
        self.services: dict[SideId, str] = {}
        #: Attempts whose side is unlinked and whose outcome is unknown, by
        #: number, with the local time at which they count as lost.
        self.unresolved: dict[int, float] = {}

    def minion(self, side: SideId) -> Minion | None:
        """Return the minion of a side, None if the side is unknown.

        :param side: identity of the side.
        """
        service = self.services.get(side)
        if service is None:
            return None
        return self.table.pool(service).minions.by_side.get(side)

    def side_linked(self, info: SideInfo, now: float) -> None:
        """Send requests to a side that has linked, for the first time or again.

        A side that relinks is asked for the outcome of its open requests.

        :param info: properties of the side.
        :param now: local time in seconds.
        """
        minion = self.minion(info.side)
        if minion is None:
            minion = Minion(info.side, info.domain, info.slots)
            pool = self.table.pool(info.service)
            pool.minions.by_side[info.side] = minion
            self.services[info.side] = info.service
            self.drop_earlier_runs(info.side, now)
        minion.linked = True
        minion.accepting = True
        open_numbers = tuple(sorted(minion.in_flight))
        if open_numbers:
            resolve = ResolveRequests(open_numbers)
            self.table.outbox.append(effects.Transmit(info.side, resolve))
        self.replies.router.dispatch(self.table.pool(info.service), now)

    def drop_earlier_runs(self, side: SideId, now: float) -> None:
        """Fail the attempts at earlier runs of a side and remove these runs.

        :param side: identity of the new run.
        :param now: local time in seconds.
        """
        for older in tuple(self.services):
            minion = self.minion(older)
            replaced = older.node == side.node and older != side
            if minion is not None and replaced:
                minion.linked = False
                self.fail_attempts(
                    sorted(minion.in_flight),
                    'the side was replaced by a new run',
                    now,
                )
                self.remove(minion)

    def side_unlinked(self, side: SideId, now: float) -> None:
        """Handle the attempts open at a side whose link has closed.

        Idempotent requests are repeated at once as far as the budget allows,
        and answers that have started are aborted. The other requests wait
        until the side relinks and reports their outcome.

        :param side: identity of the side.
        :param now: local time in seconds.
        """
        minion = self.minion(side)
        if minion is None:
            return
        minion.linked = False
        for number in sorted(minion.in_flight):
            self.handle_link_loss(self.table.attempts[number], now)
        self.table.add_alarm(now + RELINK_TIMEOUT, 'unresolved', 0)

    def handle_link_loss(self, attempt: Attempt, now: float) -> None:
        """Fail an attempt at an unlinked side, or wait for its outcome.

        :param attempt: attempt that is open at the side.
        :param now: local time in seconds.
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
                (attempt.number,), 'the link to the side closed', now
            )

    def fail_attempts(
        self, numbers: Iterable[int], reason: str, now: float
    ) -> None:
        """Fail attempts whose response will not arrive.

        :param numbers: numbers of the attempts.
        :param reason: reason why there is no response.
        :param now: local time in seconds.
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
        """Abort an answer whose remaining body will not arrive.

        :param attempt: attempt that was released from the table.
        :param reason: reason why the body is incomplete.
        """
        exchange = attempt.exchange
        self.table.outbox.append(effects.Abort(exchange.key, reason))
        self.table.finish(exchange)

    def handle_resolved(
        self, side: SideId, message: RequestsResolved, now: float
    ) -> None:
        """Handle the reported outcomes of requests on a closed link.

        :param side: identity of the side.
        :param message: reply of the side.
        :param now: local time in seconds.
        """
        for running in message.running:
            self.unresolved.pop(running, None)
        for number in message.fenced:
            self.unresolved.pop(number, None)
            attempt = self.table.release(number)
            if attempt is not None:
                reason = 'the request did not reach the side'
                self.replies.handle_not_run(attempt, reason, 0, now)
        self.fail_attempts(
            message.lost, 'the response was lost when the link closed', now
        )

    def handle_load_report(self, side: SideId, load: Load, now: float) -> None:
        """Handle a change in whether a side accepts requests.

        :param side: identity of the side.
        :param load: reported load.
        :param now: local time in seconds.
        """
        minion = self.minion(side)
        if minion is not None:
            minion.update_load(load, now)
            pool = self.table.pool(self.services[side])
            self.replies.router.dispatch(pool, now)

    def expire_unresolved(self, now: float) -> None:
        """Fail attempts whose side has not relinked in time.

        Unlinked sides without open attempts are removed.

        :param now: local time in seconds.
        """
        late = [number for number, end in self.unresolved.items() if end <= now]
        self.fail_attempts(late, 'the side did not relink in time', now)
        for side in tuple(self.services):
            minion = self.minion(side)
            if minion is not None and not (minion.linked or minion.in_flight):
                self.remove(minion)

    def remove(self, minion: Minion) -> None:
        """Remove a side and its minion.

        :param minion: minion of the side.
        """
        service = self.services.pop(minion.side)
        self.table.pool(service).minions.by_side.pop(minion.side)

    def failure_domains(self) -> set[str]:
        """Return the failure domains of the known sides."""
        known = [self.minion(side) for side in self.services]
        return {minion.domain for minion in known if minion is not None}

    def set_out_of_service(self, domains: Collection[str], now: float) -> None:
        """Set the failure domains whose minions get no requests.

        :param domains: failure domains that operators have taken out of
            service.
        :param now: local time in seconds.
        """
        self.table.out_of_service.clear()
        self.table.out_of_service.update(domains)
        for pool in self.table.pools.values():
            self.replies.router.dispatch(pool, now)
