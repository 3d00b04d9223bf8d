"""Tells failing kinds of tasks from failing sides.

Answers a load in which several of many sides fail all that they start, and so
look empty and draw work, as well as one in which a kind fails at every side.
"""

from __future__ import annotations

from collections import OrderedDict

#: Largest fraction of the sides with outcomes of a kind of task that are
#: blamed for its failures; if more of them fail it, the kind is blamed.
MAX_BLAMED_FRACTION = 0.3

#: Number of kinds of task whose outcomes are kept by side.
MAX_KINDS = 200


class KindOutcomes:
    """Newest outcome of each kind of task at each side."""

    def __init__(self) -> None:
        """Initialise without outcomes."""
        #: Whether the newest task of each kind has failed at each side, by
        #: kind and side; the kinds that were first seen longest ago first.
        self.has_failed: OrderedDict[str, dict[str, bool]] = OrderedDict()

    def record(self, kind: str, side_id: str, *, has_failed: bool) -> None:
        """Record the outcome of a task.

        :param kind: kind of the task.
        :param side_id: identifier of the side that ran it.
        :param has_failed: whether it has failed.
        """
        outcomes = self.has_failed.get(kind)
        if outcomes is None:
            outcomes = {}
            self.has_failed[kind] = outcomes
            if len(self.has_failed) > MAX_KINDS:
                self.has_failed.popitem(last=False)
        outcomes[side_id] = has_failed

    def forget(self, side_id: str) -> None:
        """Discard the outcomes of a side.

        :param side_id: identifier of the side.
        """
        for outcomes in self.has_failed.values():
            outcomes.pop(side_id, None)

    def sides_without_fault(self, kind: str) -> list[str]:
        """Return the sides that fail a kind of task through its own fault.

        :param kind: kind of the tasks.
        :returns: the sides at which its newest task has failed, if these are a
            large fraction of the sides that have run it; otherwise none.
        """
        outcomes = self.has_failed.get(kind, {})
        failing = [side for side, failed in outcomes.items() if failed]
        if len(failing) > max(1, MAX_BLAMED_FRACTION * len(outcomes)):
            return failing
        return []
