"""HTTP routes for processes that have to start fast.

Importing Klein takes 0.3 s at each start of a process. It serves only the
product's own interface; what every process serves uses these routes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import unquote

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from jackdawridge.logs import get_logger
from jackdawridge.util.web import write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.web import WebRequest

    #: Called with a request and the rest of the path after the route's path.
    Handler = Callable[[WebRequest, str], bytes | Deferred[bytes]]

logger = get_logger('listener')

GET = frozenset((b'GET', b'HEAD'))
POST = frozenset((b'POST',))
#: Methods of a route whose handler checks the method itself.
ANY: frozenset[bytes] = frozenset()

_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_INTERNAL_ERROR = 500


class Route(NamedTuple):
    """A path or path prefix with its handler."""

    #: The whole path, or a prefix of it if it ends with a slash.
    path: str
    #: Allowed methods; all if empty.
    methods: frozenset[bytes]
    handler: Handler

    def matches(self, path: str) -> bool:
        """Return whether the route matches a path.

        :param path: path of a request.
        """
        if self.path.endswith('/'):
            return path.startswith(self.path)
        return path == self.path


class Routes(Resource):
    """Dispatches each request to the first route that matches it.

    :param routes: the routes in their order of precedence.
    """

    def __init__(self, *routes: Route) -> None:
        """Make this resource the leaf for all paths."""
        super().__init__()
        # Twisted calls `render` for every path below.
        self.isLeaf = True
        self.routes = routes

    def render(self, request: Any) -> Any:
        """Answer a request, now or when the handler's `Deferred` fires.

        :param request: a request with any method and path.
        """
        # Registered before the callbacks of the handler, since these may finish
        # the answer when the peer disconnects.
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        try:
            body = self.serve(request)
        except Exception:
            return write_failure(request)
        if not isinstance(body, Deferred):
            return body
        body.addErrback(lambda failure: write_failure(request, failure))

        def finish(content: bytes) -> None:  # noqa: WPS430
            if not disconnects:
                request.setHeader('Content-Length', str(len(content)))
                request.write(content)
                request.finish()

        body.addCallback(finish)
        return NOT_DONE_YET

    def serve(self, request: WebRequest) -> bytes | Deferred[bytes]:
        """Return the body of the answer from the matching route.

        Without one the answer is 404, or 405 if the path matches a route that
        does not allow the method.

        :param request: a request with any method and path.
        """
        path = request.path.decode('latin-1')
        allowed: set[bytes] = set()
        for route in self.routes:
            if not route.matches(path):
                continue
            if not route.methods or request.method in route.methods:
                rest = unquote(path[len(route.path) :])
                return route.handler(request, rest)
            allowed |= route.methods
        if not allowed:
            return write_error(request, _NOT_FOUND, f'nothing is at {path!r}')
        names = b', '.join(sorted(allowed)).decode()
        return write_error(request, _METHOD_NOT_ALLOWED, f'allowed: {names}')


def write_error(request: WebRequest, status: int, reason: str) -> bytes:
    """Set the status of a request and return the body of the error.

    :param request: the request that is refused.
    :param status: HTTP status code.
    :param reason: text for the peer.
    """
    request.setResponseCode(status)
    return write_json(request, {'error': reason})


def write_failure(request: WebRequest, failure: Any = None) -> bytes:
    """Log an unexpected error and return the body of a 500 answer.

    :param request: the request whose handler failed.
    :param failure: Twisted's failure, or None for the exception in flight.
    """
    if failure is None:
        logger.exception('request handler failed', step='answer')
    else:
        logger.error(failure.getTraceback(), step='answer')
    return write_error(request, _INTERNAL_ERROR, 'internal error')
