"""What may be done with a request: repeat it, hedge it, and for how long."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, cast

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Methods that HTTP defines as idempotent.
IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE')
)
#: Statuses of a minion after which a repeatable request is tried elsewhere.
RETRYABLE_STATUSES = frozenset((502, 503, 504))
#: Time for a request whose caller and service name none, in seconds.
DEFAULT_TIMEOUT = 10.0
#: Longest time that a caller may ask for, in seconds.
MAX_TIMEOUT = 300.0

_MILLISECONDS = 1000


class ServicePolicy(NamedTuple):
    """What a service's configuration record says about its requests."""

    #: Methods whose requests may run more than once.
    idempotent_methods: frozenset[str] = IDEMPOTENT_METHODS
    #: Whether the minions run a request once per `Idempotency-Key`.
    honours_key: bool = False
    #: Whether slow requests are sent to a second minion.
    hedging: bool = True
    #: Time for a request whose caller names none, in seconds.
    timeout: float = DEFAULT_TIMEOUT

    @classmethod
    def from_record(cls, record: Mapping[str, object] | None) -> ServicePolicy:
        """Return the policy of a service record; parts not given are usual.

        :param record: with the keys `idempotent_methods` and
            `non_idempotent_methods`, which change what HTTP says,
            `idempotency_key`, `hedging` and `timeout`, all optional.
        """
        if record is None:
            return cls()
        added = _read_methods(record.get('idempotent_methods'))
        removed = _read_methods(record.get('non_idempotent_methods'))
        return cls(
            idempotent_methods=(IDEMPOTENT_METHODS | added) - removed,
            honours_key=record.get('idempotency_key') is True,
            hedging=record.get('hedging') is not False,
            timeout=_read_timeout(record.get('timeout')),
        )

    def is_repeatable(self, method: str, has_key: bool) -> bool:
        """Return whether a request may run more than once.

        :param method: of the request.
        :param has_key: whether it carries an `Idempotency-Key`.
        """
        if method in self.idempotent_methods:
            return True
        return has_key and self.honours_key


def _read_methods(names: object) -> frozenset[str]:
    """Return the methods of a record."""
    if not isinstance(names, list | tuple):
        return frozenset()
    return frozenset(str(name).upper() for name in names)


def _read_timeout(seconds: object) -> float:
    """Return the time of a record if it is valid, else the usual one."""
    is_number = isinstance(seconds, int | float)
    if is_number and 0 < cast('float', seconds) <= MAX_TIMEOUT:
        return float(cast('float', seconds))
    return DEFAULT_TIMEOUT


def parse_deadline(text: str | None, default: float) -> float | None:
    """Return the time for a request in seconds, None if the text is wrong.

    :param text: the caller's header in milliseconds, None if absent.
    :param default: the service's own time, in seconds.
    """
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        return None
    seconds = int(text) / _MILLISECONDS
    return seconds if 0 < seconds <= MAX_TIMEOUT else None
