"""Faults that the stand-ins can be told to have."""

from __future__ import annotations

from typing import TypedDict


class Faults(TypedDict, total=False):
    """Faults that every stand-in over HTTP can have."""

    #: Time for which an answer is held back after the deed, in seconds.
    delay: float
    #: Time for which a request waits before the deed, in seconds.
    delay_request: float
    #: Fraction of the answers that are lost after the deed.
    lose_answers: float
    #: Whether the service is dead: it answers nobody.
    kill: bool


class WorkerFaults(Faults, total=False):
    """Faults of a worker; `kill` also loses all its tasks."""

    #: Whether each task fails as soon as it is started.
    fail_all: bool
    #: Whether each start is refused.
    refuse_all: bool
    #: Factor by which all tasks take longer.
    slowdown: float
    #: Time by which reports of usage lag, in seconds.
    usage_lag: float


class LogFaults(Faults, total=False):
    """Faults of the log service."""

    #: Whether all appends and reads are refused.
    outage: bool
    #: Number of newest records that each stream keeps.
    retention_records: int
    #: Time for which records are kept, in seconds.
    retention_seconds: float
    #: Appends a second that are taken.
    append_rate: float
    #: Whether requests to trim are refused.
    refuse_trim: bool


class MinionFaults(Faults, total=False):
    """Faults of a minion."""

    #: Fraction of the requests that fail.
    fail: float
    #: Factor by which all requests take longer.
    slowdown: float


class ProxyFaults(TypedDict, total=False):
    """What a fault proxy does to its connections."""

    #: `pass`, `freeze` or `refuse`.
    mode: str
    #: Time for which all bytes are held back, in seconds.
    delay: float
    #: Most that is added to the delay at random, in seconds.
    jitter: float
    #: Direction whose bytes vanish: `up`, `down`, `both` or empty.
    drop: str
    #: Number of further bytes after which a connection is cut, upwards.
    cut_after_up: int
    #: Likewise downwards.
    cut_after_down: int
