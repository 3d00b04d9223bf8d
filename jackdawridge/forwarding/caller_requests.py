"""Parsing and validation of the HTTP requests of callers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Ok, Result

from jackdawridge.forwarding.exchange import Call
from jackdawridge.forwarding.messages import Header
from jackdawridge.forwarding.policy import MAX_TIMEOUT, parse_deadline

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.forwarding.policy import ServicePolicy

#: Path prefix under which callers reach the services.
SERVICES_PREFIX = '/v1/services'
#: Team of requests without an `X-Team` header.
DEFAULT_TEAM = 'default'
#: Methods that are forwarded to minions.
METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
)
#: Hop-by-hop headers and headers that this process sets itself; they are
#: not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-ms',
        'x-request-id',
        'x-ticket',
    )
)

_BAD_REQUEST = 400
_NOT_ALLOWED = 405
_MILLISECONDS = 1000
#: Longest excerpt of an invalid value in an error message, in characters.
_MAX_SHOWN_CHARACTERS = 64
_NAME = re.compile('[A-Za-z0-9._:@/+=-]{1,128}')
_URI = re.compile('[!-~]+')


class RequestTarget(NamedTuple):
    """Service and path that a request addresses."""

    service: str
    #: Path and query that are sent to the minion.
    path: str


class RequestError(NamedTuple):
    """Error with which a request is rejected before it is forwarded."""

    status: int
    message: str


def read_target(uri: bytes) -> Result[RequestTarget, RequestError]:
    """Return the service and path that a request addresses, or an error.

    :param uri: URI of the request with its query.
    """
    text = uri.decode('latin-1')
    if not _URI.fullmatch(text):
        return Err(
            RequestError(
                _BAD_REQUEST, 'path contains a character that is not allowed'
            )
        )
    path, mark, query = text[len(SERVICES_PREFIX) + 1 :].partition('?')
    service, _, rest = path.partition('/')
    if not text.startswith(f'{SERVICES_PREFIX}/') or not _NAME.fullmatch(
        service
    ):
        message = (
            f'service {service[:_MAX_SHOWN_CHARACTERS]!r} is not a valid name'
        )
        return Err(RequestError(_BAD_REQUEST, message))
    return Ok(RequestTarget(service, f'/{rest}{mark}{query}'))


class CallReader(NamedTuple):
    """Converts HTTP requests to calls."""

    policy: ServicePolicy
    #: Id of requests without an `X-Request-Id` header.
    request_id: str
    #: Local time at which the request arrived, in seconds.
    now: float

    def read(
        self, request: Any, target: RequestTarget
    ) -> Result[Call, RequestError]:
        """Return the call for a request, or why it is invalid.

        :param request: Twisted request with its whole body.
        :param target: service and path of the request.
        """
        text = request.getHeader('x-deadline-ms')
        timeout = parse_deadline(text, self.policy.timeout)
        request_error = find_request_error(request, text, timeout)
        if timeout is None or request_error is not None:
            return Err(
                request_error or RequestError(_BAD_REQUEST, 'no deadline')
            )
        request_id = request.getHeader('x-request-id') or self.request_id
        return Ok(
            Call(
                request_id=request_id,
                service=target.service,
                team=request.getHeader('x-team') or DEFAULT_TEAM,
                method=request.method.decode(),
                path=target.path,
                headers=(
                    *end_to_end_headers(
                        request.requestHeaders.getAllRawHeaders()
                    ),
                    Header('X-Request-Id', request_id),
                ),
                body=request.content.read(),
                repeatable=self.is_repeatable(request),
                hedging=self.policy.hedging,
                deadline=self.now + timeout,
            )
        )

    def is_repeatable(self, request: Any) -> bool:
        """Return whether a request may run more than once.

        :param request: Twisted request.
        """
        has_key = request.getHeader('idempotency-key') is not None
        method = request.method.decode()
        return self.policy.is_repeatable(method, has_key)


def find_request_error(
    request: Any, deadline: str | None, timeout: float | None
) -> RequestError | None:
    """Return the error in the method or headers of a request, if any.

    :param request: Twisted request.
    :param deadline: `X-Deadline-Ms` header of the caller, None if absent.
    :param timeout: time limit of the request in seconds, None if the header
        is invalid.
    """
    method = request.method.decode('latin-1')
    if method not in METHODS:
        allowed = ', '.join(sorted(METHODS))
        message = (
            f'method {method[:_MAX_SHOWN_CHARACTERS]!r} is not one of {allowed}'
        )
        return RequestError(_NOT_ALLOWED, message)
    if timeout is None:
        limit = int(MAX_TIMEOUT * _MILLISECONDS)
        shown = (deadline or '')[:_MAX_SHOWN_CHARACTERS]
        message = f'X-Deadline-Ms {shown!r} is not from 1 to {limit}'
        return RequestError(_BAD_REQUEST, message)
    for header in ('x-request-id', 'x-team'):
        name = request.getHeader(header)
        if name and not _NAME.fullmatch(name):
            message = (
                f'{header} {name[:_MAX_SHOWN_CHARACTERS]!r} is not a valid name'
            )
            return RequestError(_BAD_REQUEST, message)
    return None


def end_to_end_headers(
    raw: Iterable[tuple[bytes, Iterable[bytes]]],
) -> tuple[Header, ...]:
    """Return headers without the hop-by-hop ones.

    :param raw: header names, each with its values.
    """
    headers: list[Header] = []
    for raw_name, raw_values in raw:
        name = raw_name.decode('latin-1')
        if name.lower() not in CONNECTION_HEADERS:
            headers.extend(
                Header(name, each.decode('latin-1')) for each in raw_values
            )
    return tuple(headers)
