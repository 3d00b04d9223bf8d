"""Heartbeats of a target, ordered by incarnation and sequence number."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Room


class TargetHeartbeat(NamedTuple):
    """One heartbeat of a target."""

    #: Id that the platform gives; a restarted target may have the same one.
    id: str
    #: Start time of the incarnation, in milliseconds since 1970.
    incarnation: int
    #: Time since the start on the target's clock, in seconds.
    clock: float
    #: Sequence number of the heartbeat within the incarnation, ascending.
    sequence: int
    service: str
    #: Whether the target refuses new work because it is leaving.
    draining: bool
    room: Room
    #: Kind of the worker; workers of one kind are alike. Empty if unknown.
    worker_kind: str = ''


class TargetRecord:
    """The newest heartbeat of the target beside a side."""

    def __init__(self) -> None:
        """Initialise the record without a target."""
        self.current: TargetHeartbeat | None = None
        #: Ids and incarnations of the targets that have left.
        self.left_incarnations: set[tuple[str, int]] = set()

    def update(self, heartbeat: TargetHeartbeat) -> bool:
        """Record a heartbeat unless it is stale.

        A heartbeat is stale if a newer one was recorded or if its incarnation
        has left.

        :param heartbeat: heartbeat that arrived.
        :returns: whether it was recorded.
        """
        if self.is_stale(heartbeat):
            return False
        self.current = heartbeat
        return True

    def is_stale(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether a newer heartbeat was recorded or the target has left.

        :param heartbeat: heartbeat that arrived.
        """
        if (heartbeat.id, heartbeat.incarnation) in self.left_incarnations:
            return True
        current = self.current
        return current is not None and not is_newer(heartbeat, current)

    def mark_left(self, target_id: str) -> bool:
        """Record that a target has left.

        :param target_id: id of the target.
        :returns: whether it was the current one.
        """
        current = self.current
        if current is None or current.id != target_id:
            return False
        self.left_incarnations.add((current.id, current.incarnation))
        self.current = None
        return True


def is_newer(heartbeat: TargetHeartbeat, current: TargetHeartbeat) -> bool:
    """Return whether one heartbeat is newer than another.

    :param heartbeat: heartbeat that arrived.
    :param current: newest heartbeat so far.
    """
    return (heartbeat.incarnation, heartbeat.sequence) > (
        current.incarnation,
        current.sequence,
    )
