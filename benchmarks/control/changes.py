"""Makes configuration changes and appends them to the log service."""

from __future__ import annotations

import json
from itertools import count
from typing import Any

import treq
from twisted.web.http_headers import Headers

#: Number of teams whose records are changed in turn.
TEAM_COUNT = 290

_numbers = count()


def make_change() -> bytes:
    """Return the log record of the next change, as JSON."""
    number = next(_numbers)
    version = number // TEAM_COUNT
    document = {
        'type': 'change',
        'kind': 'team',
        'name': f'team-{number % TEAM_COUNT}',
        'version': version + 1,
        'expected': version,
        'change_id': f'change-{number:012}',
        'value': {'quota': 100 + number, 'weight': 1},
    }
    return json.dumps(document).encode()


def append_change(reactor: Any, log: str) -> Any:
    """Append the next change to the log service.

    :param reactor: Twisted's reactor.
    :param log: address of the log service as `ip:port`.
    """
    return treq.post(
        f'http://{log}/v1/streams/configuration/records',
        data=make_change(),
        reactor=reactor,
        headers=Headers({'Content-Type': ['application/json']}),
    )
