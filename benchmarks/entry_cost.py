"""Measures the processor time of an entry without its network and HTTP.

`python -m benchmarks.entry_cost` prints what a task and a job cost from the
caller's bytes to the answer, and how long the largest job holds the loop. The
sides are fakes that answer each start by a message of its own. `--profile`
prints where the time goes, `--lines` has each decision's line written.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from benchmarks.slopes import make_entry
from jackdawridge.execution.messages import (
    Ending,
    Heartbeat,
    OutcomeBatch,
    Room,
    StartBatch,
    TaskKey,
)
from jackdawridge.logs import install
from jackdawridge.membership.messages import Introduction
from jackdawridge.slices import SLICES
from jackdawridge.submission.component import EntrySubmission
from jackdawridge.submission.relay import TicketRequest
from jackdawridge.wire.handshake import Credentials
from jackdawridge.wire.peers import Peers

if TYPE_CHECKING:
    from collections.abc import Callable

#: Sides of the entry.
SIDES = 11
#: Tasks of the jobs that are measured; the last is the largest allowed.
SIZES = (1, 5, 20, 710)
#: Tasks over all jobs of a size.
TASKS = 2130
#: Repetitions, of which the least counts: other processes only add to it.
ROUNDS = 12
#: Lines of a profile.
PROFILE_LINES = 45

_ROOM = Room(64, 262144, 0, 0)
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3
_PAYLOAD = '{"seconds": 0.3, "cores": 0.1, "memory": 20, "answer": "done"}'


class FakeSide:
    """Stands for the peer of a side and keeps the starts it is sent.

    :param number: of the side.
    :param entry: whose codec is used.
    """

    def __init__(self, number: int, entry: Any) -> None:
        """Introduce the side."""
        self.codec = entry.codec
        self.name = f'side-{number}'
        self.introduction = Introduction(
            'side', self.name, 'run', 'A', '', '', 64, 262144, 0, 0
        )
        self.batches = 0
        self.frames: list[bytes] = []

    def send(self, message: Any) -> bool:
        """Take a message of the entry.

        :param message: as the entry made it.
        """
        frame = self.codec.encode(message)
        if isinstance(message, StartBatch):
            self.frames.append(frame)
        return True

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat."""
        return Heartbeat(1, 0, _ROOM, draining=False, position=0)

    def outcomes(self) -> list[bytes]:
        """Return a message for each task that was started, and forget it."""
        made: list[bytes] = []
        for frame in self.frames:
            batch = self.codec.decode(frame)
            made.extend(
                self.outcome(batch.number, start.key())
                for start in batch.starts
            )
        self.frames.clear()
        return made

    def outcome(self, processed: int, key: TaskKey) -> bytes:
        """Return the message that a task has succeeded.

        :param processed: number of the last start batch.
        :param key: of the task.
        """
        self.batches += 1
        ending = Ending(key, 'succeeded', '', b'done', 0.1, 20, 0.3)
        batch = OutcomeBatch(self.batches, processed, _ROOM, (), (ending,))
        frame: bytes = self.codec.encode(batch)
        return frame


class Cost(NamedTuple):
    """Processor time of the jobs of a size."""

    tasks: int
    #: Of a task in microseconds, with its part of the job.
    task: float
    #: Of parsing and queueing a job in milliseconds, at most.
    parse: float
    #: Of the longest turn of the loop that places, in milliseconds.
    place: float


class JobTimes(NamedTuple):
    """Processor time of one job, in seconds."""

    parse: float
    #: Of each turn of the loop that places.
    turns: tuple[float, ...]
    #: Of all outcomes.
    outcomes: float


class Bench:
    """An entry with fake sides."""

    def __init__(self) -> None:
        """Link the sides."""
        self.entry = make_entry()
        for messages in SLICES:
            self.entry.codec.register(messages.SCHEMA, messages.MESSAGES)
        introduction = Introduction(
            'entry', 'entry-1', 'run1', 'A', '127.0.0.1:1', '', 0, 0, 0, 0
        )
        identity = Credentials('bench', 'a key that is long enough')
        self.submission = EntrySubmission.from_application(
            self.entry, Peers(self.entry, identity, introduction)
        )
        self.sides = [FakeSide(number, self.entry) for number in range(SIDES)]
        self.clock: Any = self.entry.clock
        #: Processor time of the turns of the loop that place.
        self.turns: list[float] = []
        engine: Any = self.submission.engine
        engine.run_turn = partial(self.take_turn, engine.run_turn)
        self.link_sides()

    def link_sides(self) -> None:
        """Link the sides and wait until all of their room is used."""
        for _ in range(2):
            for side in self.sides:
                peer: Any = side
                self.entry.events.emit('peer_joined', peer)
                self.entry.dispatch(peer, side.heartbeat())
            self.clock.advance(3)

    def least(self, size: int) -> Cost:
        """Return the least cost of several runs.

        :param size: tasks of a job.
        """
        runs = [self.run(size, TASKS // size) for _ in range(ROUNDS)]
        return Cost(*map(min, zip(*runs, strict=True)))

    def run(self, size: int, count: int) -> Cost:
        """Return the cost of some jobs, one after another.

        :param size: tasks of a job.
        :param count: of jobs.
        """
        body = make_body(size)
        jobs = [self.run_job(body) for _ in range(count)]
        spent = sum(job.parse + sum(job.turns) + job.outcomes for job in jobs)
        return Cost(
            size,
            round(spent / size / count * _MICROSECONDS, 1),
            round(max(job.parse for job in jobs) * _MILLISECONDS, 1),
            round(max(max(job.turns) for job in jobs) * _MILLISECONDS, 1),
        )

    def run_job(self, body: bytes) -> JobTimes:
        """Run one job.

        :param body: of the caller.
        """
        answers: list[object] = []
        parse = timed(partial(self.submit, body, answers))
        outcomes: float = 0
        self.turns.clear()
        while not answers:
            self.clock.advance(0)
            outcomes += self.end_all()
        return JobTimes(parse, tuple(self.turns), outcomes)

    def take_turn(self, act: Callable[[], None]) -> None:
        """Place in a turn of the loop, and note its time.

        :param act: of the engine.
        """
        self.turns.append(timed(act))

    def submit(self, body: bytes, answers: list[object]) -> None:
        """Submit a job.

        :param body: of the caller.
        :param answers: takes the answer.
        """
        ticket = self.submission.interface.register.issue()
        question = TicketRequest('PUT', ticket, 60, body)
        self.submission.relay.ask(question).addCallback(answers.append)

    def end_all(self) -> float:
        """End the tasks that run and return the time in seconds."""
        return sum(
            timed(partial(self.take, side, frame))
            for side in self.sides
            for frame in side.outcomes()
        )

    def take(self, side: Any, frame: bytes) -> None:
        """Take a message as a link does.

        :param side: that sent it.
        :param frame: as it came in.
        """
        self.entry.dispatch(side, self.entry.codec.decode(frame))


def timed(step: Callable[[], object]) -> float:
    """Return the processor time of a step in seconds.

    :param step: to be done once.
    """
    began = time.process_time()
    step()
    return time.process_time() - began


def make_body(size: int) -> bytes:
    """Return the JSON of a job.

    :param size: its number of tasks.
    """
    task = {
        'kind': 'kind',
        'cores': 0.05,
        'memory': 20,
        'run_time': 0.3,
        'payload': _PAYLOAD,
    }
    return msgspec.json.encode(
        {'team': 'ledger', 'tasks': [task for _ in range(size)]}
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--lines', action='store_true')
    parser.add_argument('--profile', type=int, metavar='TASKS')
    arguments = parser.parse_args()
    level = 'info' if arguments.lines else 'warning'
    with Path('/dev/null').open('w') as stream:
        install(level, 1, 'entry-1', stream.fileno())
        bench = Bench()
        bench.run(20, 100)
        if arguments.profile:
            profile = cProfile.Profile()
            size = arguments.profile
            profile.runcall(bench.least, size)
            pstats.Stats(profile).sort_stats('tottime').print_stats(
                PROFILE_LINES
            )
            return
        for size in SIZES:
            print(bench.least(size))


if __name__ == '__main__':
    main()
