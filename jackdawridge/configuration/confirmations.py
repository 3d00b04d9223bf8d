"""Tracking of the configuration position that each side has put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.configuration.fan_out import FanOut
from jackdawridge.configuration.messages import (
    ConfigurationApplied,
    ConfirmationReply,
    ConfirmationRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.application import Application
    from jackdawridge.configuration.log_status_poller import LogStatusPoller
    from jackdawridge.wire.peers import Peer

#: Time for which a side is still reported after its last link closed, in
#: seconds.
UNLINKED_SIDE_TIME = 15.0
#: Timeout for the replies of the other entries, in seconds.
REPLY_TIMEOUT = 1.0


class Confirmation(NamedTuple):
    """Names of the sides that have and have not confirmed a position."""

    confirmed: frozenset[str]
    missing: frozenset[str]


class KnownSide:
    """What an entry knows about the configuration of a side.

    :param failure_domain: the side's failure domain.
    :param position: the newest position that the side confirmed.
    """

    def __init__(self, failure_domain: str, position: int) -> None:
        """Initialize with one link."""
        self.failure_domain = failure_domain
        self.position = position
        #: Time at which its last link closed, None while one is open.
        self.unlinked_since: float | None = None
        #: Number of open links; a restarted side may briefly have two.
        self.links = 1


class Confirmations:
    """Collects the positions that sides confirm to this and the other entries.

    :param application: the process, whose messages are handled.
    :param status_poller: knows the linked entries.
    """

    def __init__(
        self, application: Application, status_poller: LogStatusPoller
    ) -> None:
        """Register the message handlers and event listeners."""
        self.application = application
        self.status_poller = status_poller
        self.sides: dict[str, KnownSide] = {}
        self.fan_out: FanOut[ConfirmationReply] = FanOut(application.clock)
        application.on_message(ConfigurationApplied, self.handle_applied)
        application.on_message(ConfirmationRequest, self.handle_request)
        application.on_message(ConfirmationReply, self.handle_reply)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)

    def peer_joined(self, peer: Peer) -> None:
        """Track a linked side; a new run of a side has confirmed nothing yet.

        :param peer: the process at the other end of the new link.
        """
        introduction = peer.introduction
        if introduction.role != 'side':
            return
        known = self.sides.get(peer.name)
        side = KnownSide(introduction.failure_domain, -1)
        if known is not None and known.unlinked_since is None:
            side.links = known.links + 1
        self.sides[peer.name] = side

    def peer_left(self, peer: Peer) -> None:
        """Count a closed link of a side.

        :param peer: the process whose link has closed.
        """
        side = self.sides.get(peer.name)
        if side is None or peer.introduction.role != 'side':
            return
        side.links -= 1
        if side.links <= 0:
            side.unlinked_since = self.application.clock.seconds()

    def handle_applied(self, peer: Peer, message: ConfigurationApplied) -> None:
        """Record the position that a side confirms.

        :param peer: the side.
        :param message: the position in force at the side.
        """
        side = self.sides.get(peer.name)
        if side is not None:
            side.position = max(side.position, message.position)

    def local_confirmation(
        self, failure_domain: str, position: int
    ) -> Confirmation:
        """Return which sides have confirmed a position to this entry.

        :param failure_domain: restricts the sides, empty for all.
        :param position: the position to be confirmed.
        """
        self.expire_unlinked()
        confirmed_by_side = {
            name: side.position >= position
            for name, side in self.sides.items()
            if failure_domain in {'', side.failure_domain}
        }
        return Confirmation(
            frozenset(name for name, done in confirmed_by_side.items() if done),
            frozenset(
                name for name, done in confirmed_by_side.items() if not done
            ),
        )

    def expire_unlinked(self) -> None:
        """Drop the sides that have been unlinked for `UNLINKED_SIDE_TIME`."""
        now = self.application.clock.seconds()
        expired = [
            name
            for name, side in self.sides.items()
            if side.unlinked_since is not None
            and now - side.unlinked_since > UNLINKED_SIDE_TIME
        ]
        for name in expired:
            self.sides.pop(name)

    async def gather(self, failure_domain: str, position: int) -> Confirmation:
        """Return which sides have confirmed a position to any entry.

        :param failure_domain: restricts the sides, empty for all.
        :param position: the position to be confirmed.
        """
        replies = await self.fan_out.gather(
            self.status_poller.entries.values(),
            lambda number: ConfirmationRequest(
                number, failure_domain, position
            ),
            REPLY_TIMEOUT,
        )
        confirmations = [self.local_confirmation(failure_domain, position)]
        confirmations.extend(
            Confirmation(frozenset(reply.confirmed), frozenset(reply.missing))
            for reply in replies.values()
        )
        return merge_confirmations(confirmations)

    def handle_request(self, peer: Peer, request: ConfirmationRequest) -> None:
        """Reply to another entry with the confirmations known here.

        :param peer: the requesting entry.
        :param request: names the failure domain and the position.
        """
        known = self.local_confirmation(
            request.failure_domain, request.position
        )
        peer.send(
            ConfirmationReply(
                request.number,
                tuple(sorted(known.confirmed)),
                tuple(sorted(known.missing)),
            )
        )

    def handle_reply(self, peer: Peer, reply: ConfirmationReply) -> None:
        """Add the reply of another entry to the request that it belongs to.

        :param peer: the replying entry.
        :param reply: the confirmations known to that entry.
        """
        self.fan_out.handle_reply(peer.name, reply.number, reply)


def merge_confirmations(confirmations: Iterable[Confirmation]) -> Confirmation:
    """Merge what several entries know.

    A side that has confirmed the position to any entry counts as confirmed.

    :param confirmations: one for each entry.
    """
    confirmed: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()
    for confirmation in confirmations:
        confirmed |= confirmation.confirmed
        missing |= confirmation.missing
    return Confirmation(confirmed, missing - confirmed)
