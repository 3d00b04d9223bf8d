"""Failure domains without starts while their removal is being published."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from jackdawridge.configuration.state import Verdict

#: Released change ids that are remembered, so that they are not held again.
RELEASED_LIMIT = 1000
#: A hold is released when the log does not have its change this long after
#: the last announcement, in seconds. Longer than the time between two
#: announcements by a publisher whose appends time out.
RELEASE_DELAY = 6.0


class Hold(NamedTuple):
    """Keeps a failure domain without starts."""

    #: The change that takes the failure domain out of service.
    change_id: str
    failure_domain: str


class Holds:
    """All holds that one process knows.

    A hold is spread before its change is appended. So when the log takes the
    change and is down before anyone has read it, no start follows all the
    same.
    """

    def __init__(self) -> None:
        """Start without holds."""
        #: Holds by change id.
        self.held: dict[str, Hold] = {}
        #: Time of the last announcement, by change id.
        self.announced: dict[str, float] = {}
        #: Change ids that are known to be settled, the newest last.
        self.released: dict[str, None] = {}

    def is_held(self, failure_domain: str) -> bool:
        """Return whether nothing may start in a failure domain.

        :param failure_domain: its name.
        """
        return any(
            hold.failure_domain == failure_domain for hold in self.held.values()
        )

    def failure_domains(self) -> set[str]:
        """Return the failure domains that are held."""
        return {hold.failure_domain for hold in self.held.values()}

    def add(self, holds: Iterable[Hold], now: float) -> tuple[Hold, ...]:
        """Take announced holds and return those that are new.

        :param holds: from the publisher or from a peer.
        :param now: in seconds.
        """
        new: list[Hold] = []
        for hold in holds:
            if hold.change_id in self.released:
                continue
            self.announced[hold.change_id] = now
            if hold.change_id not in self.held:
                self.held[hold.change_id] = hold
                new.append(hold)
        return tuple(new)

    def release(self, change_ids: Iterable[str]) -> tuple[str, ...]:
        """Release holds and return the ids of those that were held.

        :param change_ids: their changes are in the log or will never be.
        """
        released: list[str] = []
        for change_id in change_ids:
            if self.held.pop(change_id, None) is not None:
                released.append(change_id)
            self.announced.pop(change_id, None)
            self.released[change_id] = None
        while len(self.released) > RELEASED_LIMIT:
            self.released.pop(next(iter(self.released)))
        return tuple(released)

    def release_judged(
        self, verdicts: Mapping[str, Verdict]
    ) -> tuple[str, ...]:
        """Release the holds whose changes have been folded.

        :param verdicts: of the current state.
        """
        return self.release(
            [change_id for change_id in self.held if change_id in verdicts]
        )

    def release_absent(self, confirmed_at: float) -> tuple[str, ...]:
        """Release the holds whose changes the log turned out not to have.

        :param confirmed_at: when the last read that reached the end of the
            log was sent.
        """
        return self.release(
            [
                change_id
                for change_id, announced in self.announced.items()
                if confirmed_at >= announced + RELEASE_DELAY
            ]
        )
