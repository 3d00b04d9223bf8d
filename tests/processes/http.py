"""Synchronous HTTP client with JSON bodies for tests."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple

#: Default timeout of a request, in seconds.
TIMEOUT = 30


class Reply(NamedTuple):
    """Response to a request."""

    status: int
    #: Parsed JSON, or the text if the body is not JSON.
    body: Any
    headers: dict[str, str]


def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT,
) -> Reply:
    """Send one request on a new connection and return the response.

    :raises OSError: if the connection fails or the request times out.
    :raises http.client.HTTPException: if the connection closes early.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        return exchange(connection, method, path, body, headers)
    finally:
        connection.close()


def exchange(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a connection and return the response."""
    data = None if body is None else json.dumps(body)
    fields = {'Content-Type': 'application/json', **(headers or {})}
    connection.request(method, path, data, fields)
    response = connection.getresponse()
    text = response.read()
    names = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, parse(text), names)


def parse(text: bytes) -> Any:
    """Return the parsed JSON, or the text if the body is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text.decode(errors='replace')


def get_ticket(address: str) -> str:
    """Request a new ticket from an entry and return it."""
    reply = request(address, 'POST', '/v1/tickets')
    assert reply.status == 201, reply
    return str(reply.body['ticket'])
