"""Replays of the `overload` load in which one entry places the tasks of all."""

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

#: Factor that derives the random seed for the entry of each job.
SEED_FACTOR = 7919


class RandomReplay(Replay):
    """Entries that place independently; each job goes to a random entry."""

    def placer_of(self, number: int) -> Placer:
        """Return the placer of the entry that a job is sent to."""
        source = random.Random(number * SEED_FACTOR + 13)
        return self.placers[source.randrange(len(self.placers))]


class JointReplay(RandomReplay):
    """The first entry is the lead; messages arrive within the step."""

    def run(self) -> list[Outcome]:
        """Delegate to the first entry, then replay the load."""
        self.lead = Lead(self.placer)
        self.delegates: dict[Placer, Delegate] = {}
        for placer in self.placers[1:]:
            delegate = Delegate(placer)
            self.delegates[placer] = delegate
            delegation = delegate.start_term('lead', -1)
            assert self.lead.reaches(delegation)
            self.lead.accept(str(id(placer)), delegation, -1)
        return super().run()

    def delegate_of(self, number: int) -> Delegate | None:
        """Return the delegate of a job's entry, None if that is the lead."""
        return self.delegates.get(self.placer_of(number))

    def arrive(self, number: int) -> None:
        """Queue a job and record it for the lead."""
        super().arrive(number)
        delegate = self.delegate_of(number)
        if delegate is not None:
            delegate.record_queued(str(number))

    def end(self, now: float, side_id: str, number: int, task: int) -> None:
        """End a task and record it for the lead."""
        began = self.began[number, task]
        super().end(now, side_id, number, task)
        delegate = self.delegate_of(number)
        if delegate is None:
            self.report(self.placer, side_id, now)
        else:
            usage = Usage(self.jobs[number].cores, 1, now - began)
            delegate.record_ended((str(number), task), 'succeeded', usage)

    def refuse_start(
        self, placer: Placer, key: Key, side_id: str, now: float
    ) -> None:
        """Refuse a start for lack of capacity and record it for the lead."""
        super().refuse_start(placer, key, side_id, now)
        delegate = self.delegates.get(placer)
        if delegate is not None:
            delegate.record_ended(key, REFUSED, NO_USAGE, NO_ROOM)
            delegate.record_requeued(key, '')

    def step(self, now: float) -> None:
        """End the tasks that are due and let the lead place for all entries."""
        self.end_due_tasks(now)
        for placer, delegate in self.delegates.items():
            update = delegate.make_update(now)
            if update is not None:
                assert self.lead.apply_update(str(id(placer)), update, now)
        for impossible in self.placer.load_shedder.shed_expired(now):
            self.shed_job(impossible, now)
        self.place(self.placer, now)
        for impossible in self.placer.load_shedder.shed_excess(now):
            self.shed_job(impossible, now)
        for answer in self.lead.collect_answers():
            self.carry_out(answer.incarnation, answer.decisions, now)

    def place(self, placer: Placer, now: float) -> None:
        """Start the lead's own tasks that it places, and grant the others."""
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
        """Apply the decisions of the lead at an entry."""
        placer = next(
            one for one in self.delegates if str(id(one)) == incarnation
        )
        accepted = self.delegates[placer].apply('lead', decisions, now)
        self.send(placer, accepted.placements, now)
        for decision in accepted.given_up:
            placer.cancel(decision.ticket)
            self.record_shed(int(decision.ticket), now)

    def shed_job(self, impossible: UnplaceableTask, now: float) -> None:
        """Shed a job of any entry."""
        if impossible.request.ticket in self.lead.owners:
            self.lead.shed(impossible)
        else:
            self.refuse(self.placer, (impossible,), now)
