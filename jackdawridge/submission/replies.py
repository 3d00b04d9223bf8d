"""Encoding of replies to callers as HTTP."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.submission.interface import Reply
    from jackdawridge.util.web import WebRequest


def write_reply(request: WebRequest, reply: Reply) -> bytes:
    """Set the status code and the headers, and return the body.

    :param request: request of the caller.
    :param reply: reply to the caller.
    """
    request.setResponseCode(reply.status)
    request.setHeader('Content-Type', 'application/json')
    if reply.outcome:
        request.setHeader('X-Jackdawridge-Outcome', reply.outcome)
    if reply.retry_after:
        seconds = max(1, math.ceil(reply.retry_after))
        request.setHeader('Retry-After', str(seconds))
    return reply.body
