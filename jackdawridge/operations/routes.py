"""Routes of HTTP for processes whose start must be quick.

Klein serves the product's own interface. Its imports take 0.3 s at each start
of a process, so that what every process serves does without it.
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

    #: Called with a request and what follows the prefix of its route.
    Handler = Callable[[WebRequest, str], bytes | Deferred[bytes]]

logger = get_logger('listener')

GET = frozenset((b'GET', b'HEAD'))
POST = frozenset((b'POST',))
#: Of a handler that looks at the method itself.
ANY: frozenset[bytes] = frozenset()

_NOT_FOUND = 404
_NOT_ALLOWED = 405
_INTERNAL = 500


class Route(NamedTuple):
    """What serves a path."""

    #: The whole path, or the beginning of it if it ends with a slash.
    path: str
    #: Methods that are served; all if empty.
    methods: frozenset[bytes]
    handler: Handler

    def serves(self, path: str) -> bool:
        """Return whether the route is for a path.

        :param path: of a request.
        """
        if self.path.endswith('/'):
            return path.startswith(self.path)
        return path == self.path


class Routes(Resource):
    """Serves requests by the first route that fits.

    :param routes: in their order.
    """

    def __init__(self, *routes: Route) -> None:
        """Keep the routes."""
        super().__init__()
        # All paths below are served here.
        self.isLeaf = True
        self.routes = routes

    def render(self, request: Any) -> Any:
        """Answer a request, if need be later.

        :param request: of any method.
        """
        # Registered before the handler's own, which may end its answer.
        gone: list[object] = []
        request.notifyFinish().addErrback(gone.append)
        try:
            body = self.serve(request)
        except Exception:
            return fail(request)
        if not isinstance(body, Deferred):
            return body
        body.addErrback(lambda failure: fail(request, failure))

        def finish(content: bytes) -> None:  # noqa: WPS430
            if not gone:
                request.setHeader('Content-Length', str(len(content)))
                request.write(content)
                request.finish()

        body.addCallback(finish)
        return NOT_DONE_YET

    def serve(self, request: WebRequest) -> bytes | Deferred[bytes]:
        """Return the body of the answer.

        :param request: of any method.
        """
        path = request.path.decode('latin-1')
        allowed: set[bytes] = set()
        for route in self.routes:
            if not route.serves(path):
                continue
            if not route.methods or request.method in route.methods:
                rest = unquote(path[len(route.path) :])
                return route.handler(request, rest)
            allowed |= route.methods
        if not allowed:
            return write_error(request, _NOT_FOUND, f'nothing is at {path!r}')
        names = b', '.join(sorted(allowed)).decode()
        return write_error(request, _NOT_ALLOWED, f'allowed: {names}')


def write_error(request: WebRequest, status: int, reason: str) -> bytes:
    """Return the body of an error.

    :param request: that is refused.
    :param status: of HTTP.
    :param reason: for the peer.
    """
    request.setResponseCode(status)
    return write_json(request, {'error': reason})


def fail(request: WebRequest, failure: Any = None) -> bytes:
    """Return the body for an unexpected error, which gets a line in the log.

    :param request: whose handler has failed.
    :param failure: of Twisted; the exception at hand if it is None.
    """
    if failure is None:
        logger.exception('handler of a request failed', step='answer')
    else:
        logger.error(failure.getTraceback(), step='answer')
    return write_error(request, _INTERNAL, 'internal error')
