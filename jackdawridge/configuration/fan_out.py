"""Requests that are sent to several entries at once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, TypeVar

from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from jackdawridge.wire.peers import Peer

ReplyT = TypeVar('ReplyT')


class PendingRequest(Generic[ReplyT]):
    """A request and the replies received so far.

    :param names: names of the entries that received the request.
    """

    def __init__(self, names: Iterable[str]) -> None:
        """Initialize without replies."""
        self.missing = set(names)
        self.replies: dict[str, ReplyT] = {}
        self.done: Deferred[None] = Deferred()


class FanOut(Generic[ReplyT]):
    """Sends numbered requests to several entries and collects the replies.

    :param clock: the reactor.
    """

    def __init__(self, clock: Any) -> None:
        """Initialize without pending requests."""
        self.clock = clock
        self.request_id = 0
        self.pending: dict[int, PendingRequest[ReplyT]] = {}

    async def gather(
        self,
        peers: Iterable[Peer],
        make_request: Callable[[int], object],
        wait: float,
    ) -> dict[str, ReplyT]:
        """Send a request and return the replies that arrive in time.

        :param peers: the entries to send the request to.
        :param make_request: returns the message for a request id.
        :param wait: timeout for the replies, in seconds.
        :returns: the replies by the name of the entry.
        """
        self.request_id += 1
        request_id = self.request_id
        recipients = tuple(peers)
        pending_request: PendingRequest[ReplyT] = PendingRequest(
            peer.name for peer in recipients
        )
        if not recipients:
            return {}
        self.pending[request_id] = pending_request
        pending_request.done.addTimeout(wait, self.clock, _timeout_to_none)
        for peer in recipients:
            peer.send(make_request(request_id))
        await pending_request.done
        self.pending.pop(request_id)
        return pending_request.replies

    def handle_reply(self, name: str, request_id: int, reply: ReplyT) -> None:
        """Add a reply to its request; a late or repeated one is dropped.

        :param name: name of the replying entry.
        :param request_id: the request that the reply belongs to.
        :param reply: the message.
        """
        pending_request = self.pending.get(request_id)
        if pending_request is None or name not in pending_request.missing:
            return
        pending_request.missing.discard(name)
        pending_request.replies[name] = reply
        if not pending_request.missing:
            pending_request.done.callback(None)


def _timeout_to_none(*_: object) -> None:
    """Fire the `Deferred` with None instead of a timeout error."""
