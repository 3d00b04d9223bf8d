"""The simulated processes of the job tests, with a lead."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from jackdawridge.coordination.component import Coordination
from jackdawridge.membership.messages import Member, State
from tests.test_submission.world import FakeLink, FakeProcess, World

if TYPE_CHECKING:
    from jackdawridge.membership.messages import Introduction

#: Sides report the cores that they have, without oversubscription.
WHOLE_CORES: Mapping[str, object] = MappingProxyType(
    {'core_oversubscription': 1}
)

#: Processor cores of an entry.
ENTRY_CAPACITY = 4


class FakeDirectory:
    """Lists all entries of a world, including paused ones."""

    def __init__(self, world: JointWorld) -> None:
        self.world = world

        #: Further entries, which are not linked.
        self.unlinked: list[Member] = []

    def entries(self) -> list[Member]:
        linked = [
            make_record(process.introduction) for process in self.world.entries
        ]
        return linked + self.unlinked


def make_record(introduction: Introduction) -> Member:
    """Return the record of a living entry."""
    return Member(
        introduction.node,
        int(introduction.incarnation.removeprefix('run')),
        introduction.incarnation,
        0,
        int(State.alive),
        False,
        'entry',
        'Soweto',
        '',
        '',
        ENTRY_CAPACITY,
    )


def make_small_records(introduction: Introduction) -> list[Member]:
    """Return the records of further entries, which are smaller."""
    own = make_record(introduction)
    return [
        own._replace(
            node=f'other-{other}', incarnation=f'run9{other}', capacity=1
        )
        for other in range(8)
    ]


class JointWorld(World):
    """Two entries, of which the longer running one is the lead."""

    side_changes = WHOLE_CORES

    def make_entry(self, number: int) -> FakeProcess:
        process = super().make_entry(number)
        submission: Any = process.application.components[0]
        directory: Any = FakeDirectory(self)
        coordination = Coordination(
            process.application, process.peers, submission.engine, directory
        )
        process.application.add(coordination)
        return process

    def link_all(self) -> None:
        super().link_all()
        first, second = self.entries
        awake = not (first.paused or second.paused)
        if awake and not any(
            link.is_open and link.processes == {'entry': first, 'side': second}
            for link in self.links
        ):
            self.links.append(FakeLink(first, second))

    def coordination(self, number: int) -> Coordination:
        component: Any = self.entries[number].application.components[1]
        assert isinstance(component, Coordination)
        return component

    def link_of_entries(self) -> FakeLink:
        first, second = self.entries
        return next(
            link
            for link in self.links
            if link.processes == {'entry': first, 'side': second}
        )


class LinkedLeadWorld(JointWorld):
    """The same among ten entries, of which a side links to five."""

    entry_changes: Mapping[str, object] = MappingProxyType({'lead_links': 2})

    def make_entry(self, number: int) -> FakeProcess:
        process = super().make_entry(number)
        component: Any = process.application.components[1]
        component.links.directory.unlinked = make_small_records(
            process.introduction
        )
        return process
