"""Policy of a service for repeats, hedging and timeouts of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, cast

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Methods that HTTP defines as idempotent.
IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE')
)
#: Status codes of a minion after which an idempotent request is repeated at
#: another.
RETRYABLE_STATUSES = frozenset((502, 503, 504))
#: Timeout of requests whose caller and service set none, in seconds.
DEFAULT_TIMEOUT = 10.0
#: Longest timeout that a caller or service may set, in seconds.
MAX_TIMEOUT = 300.0

_MILLISECONDS = 1000


class ServicePolicy(NamedTuple):
    """Policy from the configuration record of a service."""

    #: Methods whose requests may run more than once.
    idempotent_methods: frozenset[str] = IDEMPOTENT_METHODS
    #: Whether the minions deduplicate requests by `Idempotency-Key`.
    honours_key: bool = False
    #: Whether slow requests are hedged at a second minion.
    hedging: bool = True
    #: Timeout of requests whose caller sets none, in seconds.
    timeout: float = DEFAULT_TIMEOUT

    @classmethod
    def from_record(cls, record: Mapping[str, object] | None) -> ServicePolicy:
        """Return the policy of a service record, with defaults for absent keys.

        :param record: service record with the optional keys
            `idempotent_methods` and `non_idempotent_methods`, which override
            the methods that HTTP defines as idempotent, `idempotency_key`,
            `hedging` and `timeout`; None if there is no record.
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

        :param method: HTTP method of the request.
        :param has_key: whether it has an `Idempotency-Key` header.
        """
        if method in self.idempotent_methods:
            return True
        return has_key and self.honours_key


def _read_methods(names: object) -> frozenset[str]:
    """Return the methods in a record in upper case, none if it is invalid."""
    if not isinstance(names, list | tuple):
        return frozenset()
    return frozenset(str(name).upper() for name in names)


def _read_timeout(seconds: object) -> float:
    """Return the timeout of a record, or the default if it is invalid."""
    is_number = isinstance(seconds, int | float)
    if is_number and 0 < cast('float', seconds) <= MAX_TIMEOUT:
        return float(cast('float', seconds))
    return DEFAULT_TIMEOUT


def parse_deadline(text: str | None, default: float) -> float | None:
    """Return the timeout of a request in seconds, None if it is invalid.

    :param text: header of the caller in milliseconds, None if absent.
    :param default: timeout of the service in seconds.
    """
    if text is None:
        return default
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        return None
    seconds = int(text) / _MILLISECONDS
    return seconds if 0 < seconds <= MAX_TIMEOUT else None
