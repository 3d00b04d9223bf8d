"""The report of a run of the demo."""

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

#: Time after the removal of a failure domain from which a start in it counts
#: as late, in seconds.
REMOVAL_GRACE_TIME = 3.0

_P50 = 0.5
_P99 = 0.99
_DIGITS = 3


class JobOutcome(NamedTuple):
    """The result of one job as its caller saw it."""

    #: Either `complete`, `partial` or `failed`.
    state: str
    #: Number of tasks.
    tasks: int
    #: Response time divided by that of an ideal system, which is the run time
    #: of the longest task.
    slowdown: float


class Removal(NamedTuple):
    """The time in which a failure domain was out of service."""

    failure_domain: str
    #: Times on the monotonic clock of the machine, in seconds.
    removed_at: float
    restored_at: float


class Report(NamedTuple):
    """The counts and quantiles of a run."""

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
        """Return whether no guarantee was violated."""
        violations = (
            self.jobs_failed,
            self.jobs_partial,
            self.double_starts,
            self.late_starts_in_removed_domain,
            self.requests_failed,
            self.requests_crossed,
        )
        return not any(violations)


class RequestCounts(NamedTuple):
    """The number of requests by result as the caller saw it."""

    answered: int
    failed: int
    #: Requests that got the answer to another request.
    crossed: int


def build_report(
    outcomes: Sequence[JobOutcome],
    requests: RequestCounts,
    records: Sequence[Record],
    removal: Removal,
    message_count: int,
) -> Report:
    """Return the report of a run.

    :param outcomes: the results of all jobs.
    :param requests: the counts of all requests.
    :param records: the records of task starts that the workers kept.
    :param removal: the time in which the failure domain was out of service.
    :param message_count: the number of task messages between processes.
    """
    states = [outcome.state for outcome in outcomes]
    slowdowns = sorted(
        outcome.slowdown for outcome in outcomes if outcome.state == 'complete'
    )
    late_starts = find_late_starts(
        records,
        removal.failure_domain,
        removal.removed_at + REMOVAL_GRACE_TIME,
        removal.restored_at,
    )
    start_count = count_starts(records)
    return Report(
        states.count('complete'),
        states.count('failed'),
        states.count('partial'),
        start_count,
        len(find_double_starts(records)),
        len(late_starts),
        *requests,
        messages_per_task=round(message_count / max(start_count, 1), _DIGITS),
        slowdown_p50=quantile(slowdowns, _P50),
        slowdown_p99=quantile(slowdowns, _P99),
    )


def quantile(sorted_values: Sequence[float], fraction: float) -> float:
    """Return a quantile, rounded, or 0 if there are no values.

    :param sorted_values: the values in ascending order.
    :param fraction: the fraction of the values below the quantile, 0 to 1.
    """
    if not sorted_values:
        return 0
    position = min(int(fraction * len(sorted_values)), len(sorted_values) - 1)
    return round(sorted_values[position], _DIGITS)
