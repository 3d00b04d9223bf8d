"""What a target says of itself, told apart by its incarnations."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from jackdawridge.execution.messages import Room


class TargetNews(NamedTuple):
    """One heartbeat of a target."""

    #: Given by the platform; a target may start again under the same.
    id: str
    #: When the incarnation has started, in milliseconds since 1970.
    incarnation: int
    #: Time since then in seconds, by the target's clock.
    clock: float
    #: Rises with each heartbeat of an incarnation.
    sequence: int
    service: str
    #: Whether the target is leaving and wants no new work.
    draining: bool
    room: Room


class TargetRecord:
    """The newest that is known of the target beside a side."""

    def __init__(self) -> None:
        """Begin without a target."""
        self.current: TargetNews | None = None
        #: Incarnations that have said that they have left.
        self.left: set[tuple[str, int]] = set()

    def take(self, heartbeat: TargetNews) -> bool:
        """Take a heartbeat unless it is older than what is known.

        :param news: the heartbeat.
        :returns: whether it is the newest.
        """
        if (heartbeat.id, heartbeat.incarnation) in self.left:
            return False
        current = self.current
        if current is not None and not is_newer(heartbeat, current):
            return False
        self.current = heartbeat
        return True

    def leave(self, target_id: str) -> bool:
        """Note that a target has left.

        :param target_id: of the target.
        :returns: whether it was the current one.
        """
        current = self.current
        if current is None or current.id != target_id:
            return False
        self.left.add((current.id, current.incarnation))
        self.current = None
        return True


def is_newer(heartbeat: TargetNews, current: TargetNews) -> bool:
    """Return whether a heartbeat is newer than another.

    :param news: that has arrived.
    :param known: the newest so far.
    """
    return (heartbeat.incarnation, heartbeat.sequence) > (
        current.incarnation,
        current.sequence,
    )
