"""The load of `overload`, with one entry that decides for the others."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jackdawridge.coordination.delegate import Delegate
from jackdawridge.coordination.lead import Lead
from jackdawridge.coordination.messages import REFUSED
from jackdawridge.placement.learning import NO_USAGE, Usage
from jackdawridge.placement.tracking import NO_ROOM
from tests.test_placement.overload import Outcome, Replay

if TYPE_CHECKING:
    from jackdawridge.coordination.messages import Decisions
    from jackdawridge.placement.placer import Placer
    from jackdawridge.placement.request import Key, Placement, UnplaceableTask

#: Seeds the choice of the entry for each job.
SPREAD_SEED = 7919


class RandomReplay(Replay):
    """Entries that each decide alone; callers choose them at random."""

    def placer_of(self, number: int) -> Placer:
        """Return the entry that a job was sent to."""
        source = random.Random(number * SPREAD_SEED + 13)
        return self.placers[source.randrange(len(self.placers))]


class JointReplay(RandomReplay):
    """The first entry decides for all; messages take less than a step."""

    def run(self) -> list[Outcome]:
        """Let the others delegate, then play the load."""
        self.lead = Lead(self.placer)
        self.delegates: dict[Placer, Delegate] = {}
        for placer in self.placers[1:]:
            delegate = Delegate(placer)
            self.delegates[placer] = delegate
            delegation = delegate.begin('lead', -1)
            assert self.lead.reaches(delegation)
            self.lead.begin(str(id(placer)), delegation, -1)
        return super().run()

    def delegate_of(self, number: int) -> Delegate | None:
        """Return what the entry of a job tells the lead, if it has one."""
        return self.delegates.get(self.placer_of(number))

    def arrive(self, number: int) -> None:
        """Queue a job."""
        super().arrive(number)
        delegate = self.delegate_of(number)
        if delegate is not None:
            delegate.note_queued(str(number))

    def end(self, now: float, side_id: str, number: int, task: int) -> None:
        """End a task."""
        began = self.began[number, task]
        super().end(now, side_id, number, task)
        delegate = self.delegate_of(number)
        if delegate is None:
            self.report(self.placer, side_id, now)
        else:
            usage = Usage(self.jobs[number].cores, 1, now - began)
            delegate.note_ended((str(number), task), 'succeeded', usage)

    def refuse_start(
        self, placer: Placer, key: Key, side_id: str, now: float
    ) -> None:
        """Refuse a start for lack of room."""
        super().refuse_start(placer, key, side_id, now)
        delegate = self.delegates.get(placer)
        if delegate is not None:
            delegate.note_ended(key, REFUSED, NO_USAGE, NO_ROOM)
            delegate.note_repeated(key, '')

    def step(self, now: float) -> None:
        """End what has ended and let the lead decide for all."""
        self.end_due_tasks(now)
        for placer, delegate in self.delegates.items():
            news = delegate.news(now)
            if news is not None:
                assert self.lead.take_news(str(id(placer)), news, now)
        for useless in self.placer.load_shedder.shed_expired(now):
            self.give_up(useless, now)
        self.place(self.placer, now)
        for useless in self.placer.load_shedder.shed_excess(now):
            self.give_up(useless, now)
        for answer in self.lead.answers():
            self.carry_out(answer.incarnation, answer.decisions, now)

    def place(self, placer: Placer, now: float) -> None:
        """Start what the lead places of its own, and grant the rest."""
        own: list[Placement] = []
        for placement in placer.place(now):
            if placement.request.ticket in self.lead.owners:
                self.lead.grant(placement)
            else:
                own.append(placement)
        self.send(placer, own, now)

    def carry_out(
        self, incarnation: str, decisions: Decisions, now: float
    ) -> None:
        """Let an entry act on what the lead has decided."""
        placer = next(
            one for one in self.delegates if str(id(one)) == incarnation
        )
        verdicts = self.delegates[placer].take('lead', decisions, now)
        self.send(placer, verdicts.placements, now)
        for given_up in verdicts.given_up:
            placer.cancel(given_up.ticket)
            self.record_shed(int(given_up.ticket), now)

    def give_up(self, useless: UnplaceableTask, now: float) -> None:
        """Refuse a job of any entry."""
        if useless.request.ticket in self.lead.owners:
            self.lead.give_up(useless)
        else:
            self.refuse(self.placer, (useless,), now)
