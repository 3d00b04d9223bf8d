"""Tests of the dispatch of HTTP requests to routes."""

from __future__ import annotations

import io
from typing import Any

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.server import NOT_DONE_YET

from jackdawridge.listening.routes import ANY, GET, POST, Route, Routes


class FakeRequest:
    """Implements the methods of Twisted's request that routes use."""

    def __init__(self, method: bytes, path: bytes) -> None:
        """Create a request without an answer."""
        self.method = method
        self.path = path
        self.content = io.BytesIO()
        self.code = 200
        self.headers: dict[str, str] = {}
        self.written = b''
        self.is_finished = False
        self.is_disconnected = False
        self.waiters: list[Deferred[None]] = []

    def setHeader(self, name: str, value: str) -> None:
        """Record a header of the answer."""
        self.headers[name] = value

    def setResponseCode(self, code: int) -> None:
        """Record the status of the answer."""
        self.code = code

    def notifyFinish(self) -> Deferred[None]:
        """Return a `Deferred` that fails when the peer disconnects."""
        waiter: Deferred[None] = Deferred()
        self.waiters.append(waiter)
        return waiter

    def write(self, content: bytes) -> None:
        """Record a part of the body; fail if the peer has disconnected."""
        assert not self.is_disconnected
        self.written += content

    def finish(self) -> None:
        """Record the end of the answer; fail if the peer has disconnected."""
        assert not self.is_disconnected
        self.is_finished = True

    def disconnect(self) -> None:
        """Simulate that the peer disconnects."""
        self.is_disconnected = True
        for waiter in self.waiters:
            waiter.errback(CancelledError())


@pytest.fixture
def routes() -> Routes:
    """Return routes for one path, a path prefix and any method."""
    return Routes(
        Route('/one', GET, lambda request, rest: b'one'),
        Route('/beats/', POST, lambda request, rest: rest.encode()),
        Route('/any', ANY, lambda request, rest: request.method),
    )


class TestDispatch:
    """Selection of the route for a request."""

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
    def test_request_is_dispatched_to_its_route(
        self,
        routes: Routes,
        method: bytes,
        path: bytes,
        status: int,
        body: bytes | None,
    ) -> None:
        """Path and method select the route; without one there is an error."""
        request = FakeRequest(method, path)
        rendered = routes.render(request)
        assert request.code == status
        if body is None:
            assert b'error' in rendered
        else:
            assert rendered == body


class TestAnswers:
    """Answers that are deferred, fail or are not delivered."""

    def test_deferred_answer_is_written(self) -> None:
        """A deferred body is written and ends the request when it fires."""
        deferred: Deferred[bytes] = Deferred()
        routes = Routes(Route('/', ANY, lambda request, rest: deferred))
        request = FakeRequest(b'GET', b'/x')
        assert routes.render(request) == NOT_DONE_YET
        deferred.callback(b'body')
        assert request.written == b'body'
        assert request.is_finished
        assert request.headers['Content-Length'] == '4'

    def test_nothing_is_written_after_the_peer_disconnects(self) -> None:
        """An answer that is ready after the peer disconnected is dropped."""
        deferred: Deferred[bytes] = Deferred()
        routes = Routes(Route('/', ANY, lambda request, rest: deferred))
        request = FakeRequest(b'GET', b'/x')
        routes.render(request)
        request.disconnect()
        deferred.callback(b'body')
        assert not request.is_finished

    def test_disconnect_may_complete_the_answer(self) -> None:
        """An answer that the disconnect itself completes is dropped."""
        deferred: Deferred[bytes] = Deferred()

        def handle(request: Any, rest: str) -> Deferred[bytes]:
            request.notifyFinish().addErrback(lambda _: deferred.callback(b''))
            return deferred

        request = FakeRequest(b'GET', b'/x')
        Routes(Route('/', ANY, handle)).render(request)
        request.disconnect()
        assert deferred.called
        assert not request.is_finished

    def test_handler_error_is_answered(self) -> None:
        """An unexpected error of a handler is answered with status 500."""

        def fail(request: Any, rest: str) -> bytes:
            raise KeyError(rest)

        request = FakeRequest(b'GET', b'/x')
        body = Routes(Route('/', ANY, fail)).render(request)
        assert request.code == 500
        assert b'internal error' in body

    def test_deferred_error_is_answered(self) -> None:
        """A deferred that fails is answered with status 500."""
        deferred: Deferred[bytes] = Deferred()
        request = FakeRequest(b'GET', b'/x')
        Routes(Route('/', ANY, lambda *_: deferred)).render(request)
        deferred.errback(KeyError('x'))
        assert request.code == 500
        assert b'internal error' in request.written
