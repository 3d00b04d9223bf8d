"""Counts what a run of the demo has shown."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.standins.record import (
    count_starts,
    find_double_starts,
    find_late_starts,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jackdawridge.standins.messages import Record

#: Time within which a removed failure domain must be quiet, in seconds.
LATE_AFTER = 3.0

_MEDIAN = 0.5
_TAIL = 0.99
_DIGITS = 3


class JobOutcome(NamedTuple):
    """How the caller saw one job."""

    #: `complete`, `partial` or `failed`.
    state: str
    tasks: int
    #: Response time over that of an ideal system.
    slowdown: float


class Removal(NamedTuple):
    """When a failure domain was out of service."""

    failure_domain: str
    #: Times of the machine's monotonic clock, in seconds.
    out: float
    back: float


class Report(NamedTuple):
    """What a run has shown."""

    jobs_complete: int
    jobs_failed: int
    jobs_partial: int
    tasks: int
    double_starts: int
    late_starts_in_removed_domain: int
    requests: int
    requests_failed: int
    requests_crossed: int
    messages_per_task: float
    slowdown_p50: float
    slowdown_p99: float

    def is_clean(self) -> bool:
        """Return whether every promise was kept."""
        broken = (
            self.jobs_failed,
            self.jobs_partial,
            self.double_starts,
            self.late_starts_in_removed_domain,
            self.requests_failed,
            self.requests_crossed,
        )
        return not any(broken)


class RequestCounts(NamedTuple):
    """How the caller saw the requests."""

    answered: int
    failed: int
    #: Answers that belong to another request.
    crossed: int


def make_report(
    outcomes: Sequence[JobOutcome],
    requests: RequestCounts,
    records: Sequence[Record],
    removal: Removal,
    messages: int,
) -> Report:
    """Return the report of a run.

    :param outcomes: of all jobs.
    :param requests: of all requests.
    :param records: the workers' own records of starts.
    :param removal: of the failure domain.
    :param messages: about tasks between entries and sides.
    """
    states = [outcome.state for outcome in outcomes]
    slowdowns = sorted(
        outcome.slowdown for outcome in outcomes if outcome.state == 'complete'
    )
    late = find_late_starts(
        records,
        removal.failure_domain,
        removal.out + LATE_AFTER,
        removal.back,
    )
    starts = count_starts(records)
    return Report(
        states.count('complete'),
        states.count('failed'),
        states.count('partial'),
        starts,
        len(find_double_starts(records)),
        len(late),
        *requests,
        messages_per_task=round(messages / max(starts, 1), _DIGITS),
        slowdown_p50=quantile(slowdowns, _MEDIAN),
        slowdown_p99=quantile(slowdowns, _TAIL),
    )


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return a quantile, 0 if there are no values.

    :param ordered: the values, the smallest first.
    :param share: 0 to 1.
    """
    if not ordered:
        return 0
    position = min(int(share * len(ordered)), len(ordered) - 1)
    return round(ordered[position], _DIGITS)
