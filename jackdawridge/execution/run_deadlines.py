"""Times by which the runs of a side must have ended, without any I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawridge.execution.state import SideState


class RunDeadlines:
    """Bounds how long a side's runs may last that it has to stop.

    A caller whose entry is lost, or whose connection has ended, sends its job
    again after a known time. The runs of the first attempt must be over by
    then, even if the orders to stop them are not carried out.

    :param state: state of the side, with the tasks and the entries' leases.
    :param end_time: time in seconds after the last sign of life of an entry, or
        after a stop was requested, by which the runs concerned must have ended.
    """

    def __init__(self, state: SideState, end_time: float) -> None:
        """Derive the time that is left once the lease of an entry lapses."""
        self.state = state
        self.end_time = end_time
        self.time_after_lapse = end_time - state.sessions.task_lease

    def earliest(self, now: float) -> float:
        """Return the earliest deadline, infinity if there is none.

        Entries whose leases are valid count even without a task, so that no
        lease at the worker exceeds the deadline of a task that they send.

        :param now: local time in seconds.
        """
        deadlines = [
            record.lease_until + self.time_after_lapse
            for record in self.state.sessions.entries.values()
            if record.keys or record.lease_until >= now
        ]
        deadlines.extend(
            requested_at + self.end_time
            for requested_at in self.state.stopping.values()
        )
        return min(deadlines, default=float('inf'))
