"""Faults that the stand-ins can inject."""

from __future__ import annotations

from typing import TypedDict


class Faults(TypedDict, total=False):
    """Faults of all HTTP stand-ins."""

    #: Delay of an answer after the request was handled, in seconds.
    delay: float
    #: Delay of a request before it is handled, in seconds.
    delay_request: float
    #: Fraction of the answers dropped after the request was handled.
    lose_answers: float
    #: Whether the service is dead and aborts all connections.
    kill: bool


class WorkerFaults(Faults, total=False):
    """Faults of a worker; `kill` also discards all its tasks."""

    #: Whether each task fails as soon as it is started.
    fail_all: bool
    #: Whether each start is refused.
    refuse_all: bool
    #: Factor of the run time of all tasks.
    slowdown: float
    #: Lag of usage reports, in seconds.
    usage_lag: float


class LogFaults(Faults, total=False):
    """Faults of the log service."""

    #: Whether all appends and reads are refused.
    outage: bool
    #: Number of the newest records that each stream retains.
    retention_records: int
    #: Time for which records are retained, in seconds.
    retention_seconds: float
    #: Accepted appends per second.
    append_rate: float
    #: Whether requests to trim are refused.
    refuse_trim: bool


class MinionFaults(Faults, total=False):
    """Faults of a minion."""

    #: Fraction of the requests that fail.
    fail: float
    #: Factor of the run time of all requests.
    slowdown: float


class ProxyFaults(TypedDict, total=False):
    """Faults that a proxy applies to its connections."""

    #: `pass`, `freeze` or `refuse`.
    mode: str
    #: Delay of all bytes, in seconds.
    delay: float
    #: Upper bound of the random addition to the delay, in seconds.
    jitter: float
    #: Direction whose bytes are dropped: `up`, `down`, `both` or empty.
    drop: str
    #: Further bytes from the client after which a connection is cut.
    cut_after_up: int
    #: Further bytes from the target after which a connection is cut.
    cut_after_down: int
