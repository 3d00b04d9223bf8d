"""The HTTP server that the stand-ins share."""

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
from jackdawridge.standins.line_requests import LinesRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from twisted.web.iweb import IRequest

#: Paths that are served even while the fault `kill` is set.
CONTROL_PATHS = frozenset((b'/faults', b'/record'))

_Body = TypeVar('_Body')


class QuietSite(Site):
    """A site that writes no access log."""

    noisy = False

    def __init__(self, resource: Resource) -> None:
        """Initialise without tracebacks in error responses.

        :param resource: the resource that serves all requests.
        """
        super().__init__(resource)
        self.displayTracebacks = False

    def log(self, request: Any) -> None:
        """Skip the access log.

        :param request: the request that has ended.
        """


class StandInSite(QuietSite):
    """The site of a stand-in, which can receive bodies line by line.

    :param stand_in: the stand-in that serves all requests.
    """

    def __init__(self, stand_in: StandIn) -> None:
        """Serve the application of the stand-in unless it is killed."""
        super().__init__(KillSwitch(stand_in, stand_in.app.resource()))
        self.requestFactory = LinesRequest
        self.stand_in = stand_in


class KillSwitch(Resource):
    """Aborts the connections of requests while the fault `kill` is set.

    :param stand_in: the stand-in whose faults apply.
    :param inner: the resource that serves all other requests.
    """

    def __init__(self, stand_in: StandIn, inner: Resource) -> None:
        """Initialise as a leaf, which serves all paths."""
        super().__init__()
        self.isLeaf = True
        self.stand_in = stand_in
        self.inner = inner

    def render(self, request: Any) -> Any:
        """Serve a request, or abort its connection.

        :param request: the request of a client.
        """
        if self.stand_in.is_dead and request.path not in CONTROL_PATHS:
            request.transport.abortConnection()
            return NOT_DONE_YET
        return self.inner.render(request)


class ConnectionLimitFactory(WrappingFactory[ProtocolWrapper]):
    """Tracks its connections and refuses those over a limit.

    :param site: the site that serves the connections.
    :param limit: the highest number of open connections, or None for no
        limit.
    """

    noisy = False

    def __init__(self, site: Site, limit: int | None) -> None:
        """Initialise without connections."""
        super().__init__(site)
        self.limit = limit

    def buildProtocol(self, addr: Any) -> Any:
        """Return a protocol, or None to refuse a connection.

        :param addr: the address of the client.
        """
        if self.limit is not None and len(self.protocols) >= self.limit:
            return None
        return super().buildProtocol(addr)

    def abort_all(self, excluded: object = None) -> None:
        """Abort all connections.

        :param excluded: a connection to keep open.
        """
        for connection in list(self.protocols):
            transport: Any = connection.transport
            if connection is not excluded:
                transport.abortConnection()


class StandIn:
    """A simplified HTTP service of the platform, which can inject faults.

    A subclass sets the `Klein` application `app` and its `fault_type`.

    :param reactor: the Twisted reactor.
    :param seed: the seed of the random faults.
    """

    app: Klein
    fault_type: type[Any] = Faults
    connection_limit: int | None = None

    def __init__(self, reactor: Any, seed: int = 0) -> None:
        """Initialise without listening."""
        self.reactor = reactor
        self.random = random.Random(seed)
        self.faults: Mapping[str, Any] = {}
        self.port: Any = None
        self.connections: Any = None

    @property
    def is_dead(self) -> bool:
        """Whether the fault `kill` is set, so that no request is answered."""
        return bool(self.faults.get('kill', False))

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Start listening and return the bound address as `ip:port`.

        :param address: the address to listen on; port 0 for any free port.
        """
        host, _, port = address.rpartition(':')
        site = StandInSite(self)
        self.connections = ConnectionLimitFactory(site, self.connection_limit)
        self.port = self.reactor.listenTCP(
            int(port), self.connections, interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop listening and abort all connections."""
        self.connections.abort_all()
        return cast('Deferred[None]', self.port.stopListening())

    def change_faults(self, request: Any) -> Mapping[str, Any]:
        """Add faults to the present ones and return all.

        :param request: the request, whose body is a `fault_type`.
        :raises msgspec.ValidationError: if a fault is unknown or of wrong
            type.
        """
        body = read_body(request)
        self.faults = {**self.faults, **read_faults(body, self.fault_type)}
        if self.is_dead:
            self.connections.abort_all(request.transport)
        return self.faults

    async def delay_request(self) -> None:
        """Delay a request before it is handled if `delay_request` is set."""
        delay = self.faults.get('delay_request', 0)
        if delay:
            await deferLater(self.reactor, delay, _do_nothing)

    async def answer(self, request: IRequest, body: object) -> bytes:
        """Return the answer to a handled request unless a fault drops it.

        :param request: the request to answer.
        :param body: the object to encode as JSON.
        """
        await self.apply_answer_faults(request)
        return reply(request, body)

    async def apply_answer_faults(self, request: Any) -> None:
        """Delay an answer, or abort its connection, as the faults say.

        :param request: the request to answer.
        """
        if not await self.delay_answer():
            if request.transport is not None:
                request.transport.abortConnection()
            await Deferred()

    async def delay_answer(self) -> bool:
        """Wait for `delay` and return whether the answer is to be sent."""
        delay = self.faults.get('delay', 0)
        if delay:
            await deferLater(self.reactor, delay, _do_nothing)
        loss_fraction = self.faults.get('lose_answers', 0)
        return not (
            self.is_dead
            or (loss_fraction and self.random.random() < loss_fraction)
        )

    def handle_line(self, line: bytes) -> None:
        """Handle a line of a request body of JSON lines.

        :param line: the JSON text, or empty for a keep-alive.
        :raises NotImplementedError: if the service serves no such request.
        """
        raise NotImplementedError


def run_to_completion(
    route: Callable[..., Coroutine[Any, Any, bytes]],
) -> Callable[..., Deferred[bytes]]:
    """Return a route that runs to completion even if the client disconnects.

    :param route: the method that handles a request.
    """

    @wraps(route)
    def handle(*args: Any, **kwargs: Any) -> Deferred[bytes]:  # noqa: WPS430
        response: Deferred[bytes] = Deferred()
        completed = ensureDeferred(route(*args, **kwargs))
        completed.addBoth(_forward_result, response)
        return response

    return handle


def _forward_result(result: Any, response: Deferred[bytes]) -> None:
    """Pass a result on unless the client has cancelled the request."""
    if not response.called:
        response.callback(result)


def read_faults(body: bytes, fault_type: type[Any]) -> Mapping[str, Any]:
    """Decode and validate faults.

    :param body: the faults as JSON.
    :param fault_type: the `TypedDict` that lists the known faults.
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

    :param request: the request, with its whole body received.
    """
    return cast('bytes', request.content.read())


def read_json(request: Any, decoder: msgspec.json.Decoder[_Body]) -> _Body:
    """Decode and validate the body of a request.

    :param request: the request, with its whole body received.
    :param decoder: the decoder for the type of the body.
    :raises msgspec.DecodeError: if the body is not valid.
    """
    return decoder.decode(read_body(request))


def read_number(request: Any, name: str, default: float) -> float:
    """Return a numeric argument of the query string.

    :param request: the request.
    :param name: the name of the argument.
    :param default: the value if the argument is missing.
    :raises ValueError: if the argument is not a number.
    """
    values = request.args.get(name.encode())
    return float(values[0]) if values else default


def reply(request: Any, body: object, code: int = 200) -> bytes:
    """Set the status of a response and return its JSON body.

    :param request: the request to answer.
    :param body: the object to encode as JSON.
    :param code: the HTTP status.
    """
    request.setResponseCode(code)
    request.setHeader('Content-Type', 'application/json')
    return msgspec.json.encode(body)


def reply_bad_request(request: Any, failure: Any) -> bytes:
    """Answer a request that is not valid with status 400.

    :param request: the request to answer.
    :param failure: the failure that holds the error.
    """
    error = {'error': str(failure.value)}
    return reply(request, error, BAD_REQUEST)


def _do_nothing() -> None:
    """Do nothing, as the target of a delayed call."""
