"""Amounts of cores, memory and accelerators."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jackdawridge.placement.learning import Need
    from jackdawridge.placement.request import Placement


class Resources(NamedTuple):
    """An amount of cores, memory and accelerators."""

    cores: float
    #: Memory in MB.
    memory: float
    accelerators: int

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two amounts.

        :param other: amount to add.
        """
        return Resources(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference of two amounts.

        :param other: amount to subtract.
        """
        return Resources(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller value of each resource.

        :param other: amount to compare with.
        """
        return Resources(
            min(self.cores, other.cores),
            min(self.memory, other.memory),
            min(self.accelerators, other.accelerators),
        )


#: Empty amount of resources.
NO_RESOURCES = Resources(0, 0, 0)


def resources_of(need: Need) -> Resources:
    """Return the resources that a task reserves.

    :param need: estimated need of the task.
    """
    return Resources(need.cores, need.memory, need.accelerators)


def reserved_resources(placements: Iterable[Placement]) -> Resources:
    """Return the resources that placements reserve in total.

    :param placements: placements at one side.
    """
    resources = NO_RESOURCES
    for placement in placements:
        request = placement.request
        resources = resources.plus(
            Resources(placement.cores, placement.memory, request.accelerators)
        )
    return resources


class UnreportedPlacements:
    """Resources of placements that the last report does not include."""

    def __init__(self) -> None:
        """Initialise without placements."""
        #: Resources of placements that are in no batch yet.
        self.unsent = NO_RESOURCES
        #: Numbers and resources of batches that the side had not processed at
        #: its last report.
        self.batches: deque[tuple[int, Resources]] = deque()

    def sent(self, number: int, resources: Resources) -> None:
        """Record that placements were sent in a batch.

        :param number: number of the batch.
        :param resources: resources that its placements reserve.
        """
        self.unsent = self.unsent.minus(resources)
        self.batches.append((number, resources))

    def reported(self, processed: int) -> None:
        """Drop the batches that a report includes.

        :param processed: number of the last batch that the side processed.
        """
        while self.batches and self.batches[0][0] <= processed:
            self.batches.popleft()

    def total(self) -> Resources:
        """Return the resources that the placements reserve in total."""
        resources = self.unsent
        for _, in_batch in self.batches:
            resources = resources.plus(in_batch)
        return resources
