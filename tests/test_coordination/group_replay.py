"""Replays of a load at groups of entries that have a lead each.

The load is that of a fleet in which a side links to some of the entries only:
jobs come to entries that can't reach all room, and demand differs by failure
domain and by entry.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING, Any, NamedTuple

from jackdawridge.coordination.delegate import Delegate
from jackdawridge.coordination.lead import Lead
from jackdawridge.coordination.messages import REFUSED
from jackdawridge.membership.entry_subset import choose_entries
from jackdawridge.membership.messages import Member, State
from jackdawridge.placement.learning import NO_USAGE, Usage
from jackdawridge.placement.tracking import NO_ROOM
from tests.test_placement.overload import (
    SHIFTED_KINDS,
    SHIFTED_TASK_CORES,
    Job,
    Outcome,
    Replay,
    make_jobs,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from jackdawridge.coordination.messages import Decisions
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask

#: Failure domain of each entry.
DOMAINS = 'aaaabbbccc'
ENTRIES = len(DOMAINS)
LINKS = 5
CALLERS = 64
#: Demand of the failure domains, and phases of their waves as fractions of the
#: period.
DOMAIN_DEMAND = (0.8, 1.1, 0.9)
DOMAIN_PHASES = (0, 0.33, 0.67)
SWING = 0.5
#: Period of the waves of demand, in seconds.
PERIOD = 8.0
#: Value of an answered job by its kind, and the part left if it is late.
JOB_VALUES = {  # noqa: WPS407
    'pump-tick': 0.00485,
    'tank-recon': 0.0267,
    'driver-fill': 0.00167,
}
LATE_FRACTION = 0.2


class Layout(NamedTuple):
    """The entries that each side links to, and the lead of each entry."""

    #: Numbers of the entries by side.
    links: Mapping[str, frozenset[int]]
    #: Number of the lead by entry, its own if it decides alone.
    leads: tuple[int, ...]
    #: Whether a job that would wait goes to the lead of a group with less work.
    forwards: bool = False


def make_entries(numbers: Sequence[int]) -> list[Member]:
    """Return the records of living entries."""
    return [
        Member(
            f'e{number}',
            number,
            f'run{number}',
            0,
            int(State.alive),
            False,
            'entry',
            DOMAINS[number],
            '',
            '',
        )
        for number in numbers
    ]


def link_by_rendezvous(side: str, count: int) -> frozenset[int]:
    """Return the entries of a side as an entry subset selects them."""
    chosen = choose_entries(side, make_entries(range(ENTRIES)), count)
    return frozenset(entry.generation for entry in chosen)


def apart_layout(sides: int) -> Layout:
    """Return a layout in which every entry decides alone."""
    links = {
        f's{side}': link_by_rendezvous(f's{side}', LINKS)
        for side in range(sides)
    }
    return Layout(links, tuple(range(ENTRIES)))


def single_layout(sides: int, entries: int = ENTRIES) -> Layout:
    """Return a layout in which all sides link to all entries, with a lead."""
    everyone = frozenset(range(entries))
    return Layout(
        {f's{side}': everyone for side in range(sides)}, (0,) * entries
    )


def linked_lead_layout(
    sides: int, candidates: Sequence[int], count: int = LINKS
) -> Layout:
    """Return a single lead; each side links to it and its substitutes.

    :param sides: number of sides.
    :param candidates: the lead and its substitutes.
    :param count: number of links of a side.
    """
    others = make_entries(
        [entry for entry in range(ENTRIES) if entry not in candidates]
    )
    links: dict[str, frozenset[int]] = {}
    for number in range(sides):
        chosen = choose_entries(f's{number}', others, count - len(candidates))
        links[f's{number}'] = frozenset(
            (*candidates, *(entry.generation for entry in chosen))
        )
    return Layout(links, (candidates[0],) * ENTRIES)


def group_layout(
    sides: int,
    groups: Sequence[Sequence[int]],
    groups_per_side: int,
    *,
    forwards: bool = False,
) -> Layout:
    """Return groups with a lead each; sides link to whole groups in turn."""
    leads = {entry: group[0] for group in groups for entry in group}
    choices = tuple(itertools.combinations(groups, groups_per_side))
    links = {
        f's{side}': frozenset(itertools.chain(*choices[side % len(choices)]))
        for side in range(sides)
    }
    ordered = tuple(leads[entry] for entry in range(ENTRIES))
    return Layout(links, ordered, forwards)


def even_demand(source: random.Random, jobs: Sequence[Job]) -> list[int]:
    """Return the entry of each job: any."""
    return [source.randrange(ENTRIES) for _ in jobs]


def domain_demand(source: random.Random, jobs: Sequence[Job]) -> list[int]:
    """Return the entry of each job: one of a failure domain that is busy."""
    found: list[int] = []
    for job in jobs:
        weights = [
            demand
            * (1 + SWING * math.sin(2 * math.pi * (job.at / PERIOD + phase)))
            for demand, phase in zip(DOMAIN_DEMAND, DOMAIN_PHASES, strict=True)
        ]
        domain = source.choices('abc', weights)[0]
        found.append(
            source.choice(
                [entry for entry in range(ENTRIES) if DOMAINS[entry] == domain]
            )
        )
    return found


def caller_demand(source: random.Random, jobs: Sequence[Job]) -> list[int]:
    """Return the entry of each job: that of its caller."""
    entries = [source.randrange(ENTRIES) for _ in range(CALLERS)]
    return [entries[source.randrange(CALLERS)] for _ in jobs]


class GroupReplay(Replay):
    """Entries in groups; messages arrive within the step.

    :param jobs: jobs in the order of their arrival.
    :param layout: links and leads.
    :param targets: number of the entry of each job.
    :param options: further parameters of `Replay`.
    """

    def __init__(
        self,
        jobs: list[Job],
        layout: Layout,
        targets: list[int],
        **options: Any,
    ) -> None:
        """Remove the sides that an entry isn't linked to, and delegate."""
        self.layout = layout
        self.targets = targets
        options['entries'] = len(layout.leads)
        super().__init__(jobs, len(layout.links), **options)
        for number, placer in enumerate(self.placers):
            for side_id, linked in layout.links.items():
                if number not in linked:
                    placer.side_left(side_id)
        self.leads = {
            self.placers[number]: Lead(self.placers[number])
            for number in set(layout.leads)
        }
        self.lead_of = {
            placer: self.leads[self.placers[number]]
            for placer, number in zip(self.placers, layout.leads, strict=True)
        }
        self.delegates: dict[Placer, Delegate] = {}
        for placer, lead in self.lead_of.items():
            if lead.placer is not placer:
                self.delegate(placer, lead)

    def delegate(self, placer: Placer, lead: Lead) -> None:
        """Delegate the placement of an entry's tasks to its lead."""
        delegate = Delegate(placer)
        self.delegates[placer] = delegate
        delegation = delegate.start_term('lead', -1)
        assert lead.reaches(delegation.sides)
        lead.accept(str(id(placer)), delegation, -1)

    def placer_of(self, number: int) -> Placer:
        """Return the placer of the entry that a job is sent to."""
        return self.placers[self.targets[number]]

    def arrive(self, number: int) -> None:
        """Queue a job, and record it for the lead of its entry."""
        if self.layout.forwards:
            self.forward(number)
        super().arrive(number)
        delegate = self.delegates.get(self.placer_of(number))
        if delegate is not None:
            delegate.record_queued(str(number))

    def forward(self, number: int) -> None:
        """Send a job to another lead if it would wait in its own group."""
        own = self.lead_of[self.placer_of(number)].placer
        least = min(self.leads, key=lambda placer: placer.queues.queued)
        if least.queues.queued < own.queues.queued:
            self.targets[number] = self.placers.index(least)

    def end(self, now: float, side_id: str, number: int, task: int) -> None:
        """End a task, and record it for the lead of its entry."""
        began = self.began[number, task]
        super().end(now, side_id, number, task)
        delegate = self.delegates.get(self.placer_of(number))
        if delegate is None and self.delegates:
            self.report(self.placer_of(number), side_id, now)
        elif delegate is not None:
            usage = Usage(self.jobs[number].cores, 1, now - began)
            delegate.record_ended((str(number), task), 'succeeded', usage)

    def refuse_start(
        self, placer: Placer, key: Key, side_id: str, now: float
    ) -> None:
        """Refuse a start for lack of room, and record it for the lead."""
        super().refuse_start(placer, key, side_id, now)
        delegate = self.delegates.get(placer)
        if delegate is not None:
            delegate.record_ended(key, REFUSED, NO_USAGE, NO_ROOM)
            delegate.record_requeued(key, '')

    def step(self, now: float) -> None:
        """End the tasks that are due, and let each lead place for its group."""
        self.end_due_tasks(now)
        for placer, delegate in self.delegates.items():
            update = delegate.make_update(now)
            if update is not None:
                assert self.lead_of[placer].apply_update(
                    str(id(placer)), update, now
                )
        for leader, lead in self.leads.items():
            self.shed_jobs(lead, leader.load_shedder.shed_expired(now), now)
            self.place(leader, now)
            self.shed_jobs(lead, leader.load_shedder.shed_excess(now), now)
            for answer in lead.collect_answers():
                self.carry_out(answer.incarnation, answer.decisions, now)

    def place(self, placer: Placer, now: float) -> None:
        """Start a lead's own tasks that it places, and grant the others."""
        lead = self.leads[placer]
        own: list[Placement] = []
        for placement in placer.place(now):
            if placement.request.ticket in lead.owners:
                lead.grant(placement)
            else:
                own.append(placement)
        self.send(placer, own, now)

    def carry_out(
        self, incarnation: str, decisions: Decisions, now: float
    ) -> None:
        """Apply the decisions of a lead at an entry."""
        placer = next(
            one for one in self.delegates if str(id(one)) == incarnation
        )
        accepted = self.delegates[placer].apply('lead', decisions, now)
        self.send(placer, accepted.placements, now)
        for decision in accepted.given_up:
            placer.cancel(decision.ticket)
            self.record_shed(int(decision.ticket), now)

    def shed_jobs(
        self, lead: Lead, impossible: tuple[UnplaceableTask, ...], now: float
    ) -> None:
        """Shed jobs of any entry of a group."""
        for one in impossible:
            if one.request.ticket in lead.owners:
                lead.shed(one)
            else:
                self.refuse(lead.placer, (one,), now)


def earned_fraction(jobs: Sequence[Job], outcomes: Sequence[Outcome]) -> float:
    """Return the fraction of the value of all jobs that was earned."""
    total = sum(JOB_VALUES[job.kind] for job in jobs)
    earned: float = 0
    for job, outcome in zip(jobs, outcomes, strict=True):
        if outcome.is_served:
            in_time = outcome.response_time <= job.target_time
            fraction = 1 if in_time else LATE_FRACTION
            earned += JOB_VALUES[job.kind] * fraction
    return earned / total


def make_shifted_jobs(seed: int, load: float, seconds: float) -> list[Job]:
    """Return the jobs of the shifted load."""
    return make_jobs(seed, load, seconds, SHIFTED_KINDS, SHIFTED_TASK_CORES)
