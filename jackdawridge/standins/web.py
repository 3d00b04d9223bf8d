"""HTTP serving that the stand-ins share."""

from __future__ import annotations

import random
from functools import wraps
from typing import TYPE_CHECKING, Any, TypeVar, cast

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.http import BAD_REQUEST
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from jackdawridge.standins.faults import Faults
from jackdawridge.standins.lines import LinesRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from twisted.web.iweb import IRequest

#: Paths that work even while the service is dead.
CONTROL_PATHS = frozenset((b'/faults', b'/record'))

_Body = TypeVar('_Body')


class QuietSite(Site):
    """A site that writes no access log."""

    noisy = False

    def __init__(self, resource: Resource) -> None:
        """Show no tracebacks to clients.

        :param resource: serves all requests.
        """
        super().__init__(resource)
        self.displayTracebacks = False

    def log(self, request: Any) -> None:
        """Write nothing.

        :param request: that has ended.
        """


class StandInSite(QuietSite):
    """A site of a stand-in, which may take bodies line by line.

    :param stand_in: serves all requests.
    """

    def __init__(self, stand_in: StandIn) -> None:
        """Keep the stand-in."""
        super().__init__(Gate(stand_in, stand_in.app.resource()))
        self.requestFactory = LinesRequest
        self.stand_in = stand_in


class Gate(Resource):
    """Drops the connections of requests to a service that is dead.

    :param stand_in: whose faults count.
    :param inner: serves the other requests.
    """

    def __init__(self, stand_in: StandIn, inner: Resource) -> None:
        """Keep both."""
        super().__init__()
        self.isLeaf = True
        self.stand_in = stand_in
        self.inner = inner

    def render(self, request: Any) -> Any:
        """Pass a request on, or drop its connection.

        :param request: from any client.
        """
        if self.stand_in.is_dead and request.path not in CONTROL_PATHS:
            request.transport.abortConnection()
            return NOT_DONE_YET
        return self.inner.render(request)


class LimitedFactory(WrappingFactory[ProtocolWrapper]):
    """Knows its connections and drops those over a limit.

    :param site: serves the connections.
    :param limit: of connections at a time; None for any number.
    """

    noisy = False

    def __init__(self, site: Site, limit: int | None) -> None:
        """Keep both."""
        super().__init__(site)
        self.limit = limit

    def buildProtocol(self, addr: Any) -> Any:
        """Return a protocol, or None to drop a connection.

        :param addr: of the client.
        """
        if self.limit is not None and len(self.protocols) >= self.limit:
            return None
        return super().buildProtocol(addr)

    def drop_all(self, spared: object = None) -> None:
        """End all connections at once.

        :param spared: a connection that stays.
        """
        for connection in list(self.protocols):
            transport: Any = connection.transport
            if connection is not spared:
                transport.abortConnection()


class StandIn:
    """A service of the platform, in small, over HTTP.

    A subclass has a `Klein` application named `app`, and a type of faults.

    :param reactor: Twisted's reactor.
    :param seed: makes faults that occur at random repeatable.
    """

    app: Klein
    fault_type: type[Any] = Faults
    connection_limit: int | None = None

    def __init__(self, reactor: Any, seed: int = 0) -> None:
        """Prepare without listening."""
        self.reactor = reactor
        self.random = random.Random(seed)
        self.faults: Mapping[str, Any] = {}
        self.port: Any = None
        self.connections: Any = None

    @property
    def is_dead(self) -> bool:
        """Whether the service answers nobody."""
        return bool(self.faults.get('kill', False))

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Listen and return the address as `ip:port`.

        :param address: port 0 for any free one.
        """
        host, _, port = address.rpartition(':')
        site = StandInSite(self)
        self.connections = LimitedFactory(site, self.connection_limit)
        self.port = self.reactor.listenTCP(
            int(port), self.connections, interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop listening and drop all connections."""
        self.connections.drop_all()
        return cast('Deferred[None]', self.port.stopListening())

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: whose body has faults by `fault_type`.
        """
        body = read_body(request)
        self.faults = {**self.faults, **read_faults(body, self.fault_type)}
        if self.is_dead:
            self.connections.drop_all(request.transport)
        return self.faults

    async def before(self) -> None:
        """Hold a request back before the deed if a fault says so."""
        delay = self.faults.get('delay_request', 0)
        if delay:
            await deferLater(self.reactor, delay, _nothing)

    async def answer(self, request: IRequest, body: object) -> bytes:
        """Return an answer after the deed, unless a fault loses it.

        :param request: that is answered.
        :param body: becomes JSON.
        """
        await self.after(request)
        return reply(request, body)

    async def after(self, request: Any) -> None:
        """Hold an answer back, or drop its connection, if a fault says so.

        :param request: that is answered.
        """
        if not await self.is_answered():
            if request.transport is not None:
                request.transport.abortConnection()
            await Deferred()

    async def is_answered(self) -> bool:
        """Hold an answer back, or return that a fault loses it."""
        delay = self.faults.get('delay', 0)
        if delay:
            await deferLater(self.reactor, delay, _nothing)
        lost = self.faults.get('lose_answers', 0)
        return not (self.is_dead or (lost and self.random.random() < lost))

    def take_line(self, line: bytes) -> None:
        """Act on a line of a request of JSON lines.

        :param line: of JSON, empty to keep the request open.
        :raises NotImplementedError: if the service takes no such request.
        """
        raise NotImplementedError


def act_anyway(
    route: Callable[..., Coroutine[Any, Any, bytes]],
) -> Callable[..., Deferred[bytes]]:
    """Let a route finish also when its client has gone.

    :param route: a method that handles a request.
    """

    @wraps(route)
    def handle(*args: Any, **names: Any) -> Deferred[bytes]:  # noqa: WPS430
        answered: Deferred[bytes] = Deferred()
        acted = ensureDeferred(route(*args, **names))
        acted.addBoth(_pass_on, answered)
        return answered

    return handle


def _pass_on(outcome: Any, answered: Deferred[bytes]) -> None:
    """Give an outcome to those who still wait for it."""
    if not answered.called:
        answered.callback(outcome)


def read_faults(body: bytes, fault_type: type[Any]) -> Mapping[str, Any]:
    """Return checked faults.

    :param body: JSON.
    :param fault_type: a `TypedDict`.
    :raises msgspec.ValidationError: if a fault is unknown or of wrong type.
    """
    names = set(msgspec.json.decode(body, type=dict[str, Any]))
    known = fault_type.__optional_keys__
    unknown = names - known
    if unknown:
        raise msgspec.ValidationError(
            f'faults {sorted(unknown)} are not known; known are {sorted(known)}'
        )
    return cast('Mapping[str, Any]', msgspec.json.decode(body, type=fault_type))


def read_body(request: Any) -> bytes:
    """Return the body of a request.

    :param request: whose body has arrived.
    """
    return cast('bytes', request.content.read())


def read_json(request: Any, decoder: msgspec.json.Decoder[_Body]) -> _Body:
    """Return the checked body of a request.

    :param request: whose body has arrived.
    :param decoder: of the type of the body.
    """
    return decoder.decode(read_body(request))


def read_number(request: Any, name: str, default: float) -> float:
    """Return a number of the query.

    :param request: any.
    :param name: of the argument.
    :param default: if there is none.
    """
    texts = request.args.get(name.encode())
    return float(texts[0]) if texts else default


def reply(request: Any, body: object, code: int = 200) -> bytes:
    """Return a JSON answer.

    :param request: that is answered.
    :param body: becomes JSON.
    :param code: HTTP status.
    """
    request.setResponseCode(code)
    request.setHeader('Content-Type', 'application/json')
    return msgspec.json.encode(body)


def refuse(request: Any, failure: Any) -> bytes:
    """Answer a request that is not valid.

    :param request: that is answered.
    :param failure: with the error.
    """
    error = {'error': str(failure.value)}
    return reply(request, error, BAD_REQUEST)


def _nothing() -> None:
    """Return after a delay."""
