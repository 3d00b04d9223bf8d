"""Holds, which block starts in a failure domain whose removal is in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.configuration.state import Verdict

#: Maximum number of released change ids that are remembered, so that a delayed
#: announcement does not restore their holds.
MAX_RELEASED_IDS = 1000
#: A hold is released if the log does not contain its change this long after
#: the last announcement, in seconds. Must exceed the time between two
#: announcements by a publisher whose appends time out.
RELEASE_DELAY = 6.0


class Hold(NamedTuple):
    """Blocks starts in a failure domain."""

    #: Id of the change that takes the failure domain out of service.
    change_id: str
    failure_domain: str


class Holds:
    """The active holds known to one process.

    A hold is distributed before its change is appended. So no task starts in
    the failure domain even if the log accepts the change and fails before any
    entry has read it.
    """

    def __init__(self) -> None:
        """Initialize without holds."""
        #: Active holds by change id.
        self.active: dict[str, Hold] = {}
        #: Time of the last announcement by change id, in seconds.
        self.announced_at: dict[str, float] = {}
        #: Change ids of released holds, the newest last.
        self.released_ids: dict[str, None] = {}

    def is_held(self, failure_domain: str) -> bool:
        """Return whether starts in a failure domain are blocked.

        :param failure_domain: name of the failure domain.
        """
        return any(
            hold.failure_domain == failure_domain
            for hold in self.active.values()
        )

    def failure_domains(self) -> set[str]:
        """Return the names of the failure domains with an active hold."""
        return {hold.failure_domain for hold in self.active.values()}

    def add(self, holds: Iterable[Hold], now: float) -> tuple[Hold, ...]:
        """Add announced holds and return those that were not active before.

        Each announcement restarts the release delay of its hold.

        :param holds: announced by the publisher or a peer.
        :param now: current time in seconds.
        """
        new: list[Hold] = []
        for hold in holds:
            if hold.change_id in self.released_ids:
                continue
            self.announced_at[hold.change_id] = now
            if hold.change_id not in self.active:
                self.active[hold.change_id] = hold
                new.append(hold)
        return tuple(new)

    def release(self, change_ids: Iterable[str]) -> tuple[str, ...]:
        """Release holds and return the change ids of those that were active.

        :param change_ids: changes that have a verdict or are not in the log.
        """
        released: list[str] = []
        for change_id in change_ids:
            if self.active.pop(change_id, None) is not None:
                released.append(change_id)
            self.announced_at.pop(change_id, None)
            self.released_ids[change_id] = None
        while len(self.released_ids) > MAX_RELEASED_IDS:
            self.released_ids.pop(next(iter(self.released_ids)))
        return tuple(released)

    def release_decided(
        self, verdicts: Mapping[str, Verdict]
    ) -> tuple[str, ...]:
        """Release the holds whose changes have a verdict.

        :param verdicts: the verdicts of the current state by change id.
        """
        return self.release(
            [change_id for change_id in self.active if change_id in verdicts]
        )

    def release_absent(self, confirmed_at: float) -> tuple[str, ...]:
        """Release the holds whose changes are not in the log.

        :param confirmed_at: time at which the last read that reached the end of
            the log was sent, in seconds.
        """
        return self.release(
            [
                change_id
                for change_id, announced in self.announced_at.items()
                if confirmed_at >= announced + RELEASE_DELAY
            ]
        )
