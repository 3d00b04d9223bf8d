"""Tests of the routes that every process serves."""

from __future__ import annotations

import io
from typing import Any

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.server import NOT_DONE_YET

from jackdawridge.operations.routes import ANY, GET, POST, Route, Routes


class Request:
    """A request as handlers see it."""

    def __init__(self, method: bytes, path: bytes) -> None:
        """Start without an answer."""
        self.method = method
        self.path = path
        self.content = io.BytesIO()
        self.code = 200
        self.headers: dict[str, str] = {}
        self.written = b''
        self.is_finished = False
        self.is_lost = False
        self.waiters: list[Deferred[None]] = []

    def setHeader(self, name: str, value: str) -> None:
        """Keep a header."""
        self.headers[name] = value

    def setResponseCode(self, code: int) -> None:
        """Keep the status."""
        self.code = code

    def notifyFinish(self) -> Deferred[None]:
        """Return what fails when the peer goes."""
        waiter: Deferred[None] = Deferred()
        self.waiters.append(waiter)
        return waiter

    def write(self, content: bytes) -> None:
        """Keep what is written."""
        assert not self.is_lost
        self.written += content

    def finish(self) -> None:
        """End the answer."""
        assert not self.is_lost
        self.is_finished = True

    def lose(self) -> None:
        """Let the peer go."""
        self.is_lost = True
        for waiter in self.waiters:
            waiter.errback(CancelledError())


@pytest.fixture
def routes() -> Routes:
    """Return some routes."""
    return Routes(
        Route('/one', GET, lambda request, rest: b'one'),
        Route('/beats/', POST, lambda request, rest: rest.encode()),
        Route('/any', ANY, lambda request, rest: request.method),
    )


class TestChoice:
    """Which route serves a request."""

    @pytest.mark.parametrize(
        ('method', 'path', 'status', 'body'),
        [
            (b'GET', b'/one', 200, b'one'),
            (b'HEAD', b'/one', 200, b'one'),
            (b'POST', b'/one', 405, None),
            (b'GET', b'/one/more', 404, None),
            (b'GET', b'/', 404, None),
            (b'POST', b'/beats/i-7%20f', 200, b'i-7 f'),
            (b'POST', b'/beats/', 200, b''),
            (b'GET', b'/beats/x', 405, None),
            (b'PATCH', b'/any', 200, b'PATCH'),
            (b'GET', b'/\xff', 404, None),
        ],
    )
    def test_request_reaches_its_route(
        self,
        routes: Routes,
        method: bytes,
        path: bytes,
        status: int,
        body: bytes | None,
    ) -> None:
        """Path and method choose; the rest is a clear error."""
        request = Request(method, path)
        rendered = routes.render(request)
        assert request.code == status
        if body is None:
            assert b'error' in rendered
        else:
            assert rendered == body


class TestAnswers:
    """Answers that come later or not at all."""

    def test_later_answer_is_written(self) -> None:
        """A body that is not there yet ends the request later."""
        later: Deferred[bytes] = Deferred()
        routes = Routes(Route('/', ANY, lambda request, rest: later))
        request = Request(b'GET', b'/x')
        assert routes.render(request) == NOT_DONE_YET
        later.callback(b'body')
        assert request.written == b'body'
        assert request.is_finished
        assert request.headers['Content-Length'] == '4'

    def test_peer_that_is_gone_is_written_nothing(self) -> None:
        """An answer that is ready after its peer has left is dropped."""
        later: Deferred[bytes] = Deferred()
        routes = Routes(Route('/', ANY, lambda request, rest: later))
        request = Request(b'GET', b'/x')
        routes.render(request)
        request.lose()
        later.callback(b'body')
        assert not request.is_finished

    def test_handler_that_ends_as_its_peer_goes(self) -> None:
        """The end of the peer may be what ends the answer."""
        later: Deferred[bytes] = Deferred()

        def handle(request: Any, rest: str) -> Deferred[bytes]:
            request.notifyFinish().addErrback(lambda _: later.callback(b''))
            return later

        request = Request(b'GET', b'/x')
        Routes(Route('/', ANY, handle)).render(request)
        request.lose()
        assert later.called
        assert not request.is_finished

    def test_error_of_a_handler_is_answered(self) -> None:
        """An unexpected error ends its request and nothing else."""

        def fail(request: Any, rest: str) -> bytes:
            raise KeyError(rest)

        request = Request(b'GET', b'/x')
        body = Routes(Route('/', ANY, fail)).render(request)
        assert request.code == 500
        assert b'internal error' in body

    def test_later_error_is_answered(self) -> None:
        """So does one that comes later."""
        later: Deferred[bytes] = Deferred()
        request = Request(b'GET', b'/x')
        Routes(Route('/', ANY, lambda *_: later)).render(request)
        later.errback(KeyError('x'))
        assert request.code == 500
        assert b'internal error' in request.written
