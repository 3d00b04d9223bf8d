"""Measures the processor time of an entry without its network and HTTP.

`python -m benchmarks.entry_cost` prints the processor time of a task and a job
from the request body to the answer, and how long the largest job blocks the
event loop. Fake sides answer each start with a message of its own.
`--profile` prints a profile instead, `--lines` enables the decision log lines.
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

#: Number of fake sides linked to the entry.
SIDE_COUNT = 11
#: Numbers of tasks in a measured job; the last is the largest allowed.
JOB_SIZES = (1, 5, 20, 710)
#: Number of tasks over all jobs of one size.
TASKS_PER_SIZE = 2130
#: Repetitions of each measurement. The least time of them counts, as other
#: processes can only add to it.
ROUNDS = 12
#: Number of functions printed in a profile.
PROFILE_LINES = 45

_ROOM = Room(64, 262144, 0, 0)
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3
_PAYLOAD = '{"seconds": 0.3, "cores": 0.1, "memory": 20, "answer": "done"}'


class FakeSide:
    """Fake peer of a side that records the start batches sent to it.

    :param number: number that makes the name of the side.
    :param entry: application of the entry, whose codec is used.
    """

    def __init__(self, number: int, entry: Any) -> None:
        """Create the introduction of the side."""
        self.codec = entry.codec
        self.name = f'side-{number}'
        self.introduction = Introduction(
            'side', self.name, 'run', 'A', '', '', 64, 262144, 0, 0
        )
        self.batches = 0
        self.start_frames: list[bytes] = []

    def send(self, message: Any) -> bool:
        """Encode a message of the entry and record it if it holds starts.

        :param message: message before it is encoded.
        """
        frame = self.codec.encode(message)
        if isinstance(message, StartBatch):
            self.start_frames.append(frame)
        return True

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat that reports a free worker."""
        return Heartbeat(1, 0, _ROOM, draining=False, position=0)

    def collect_outcomes(self) -> list[bytes]:
        """Return an encoded outcome of each recorded start, and clear them."""
        messages: list[bytes] = []
        for frame in self.start_frames:
            batch = self.codec.decode(frame)
            messages.extend(
                self.encode_outcome(batch.number, start.key())
                for start in batch.starts
            )
        self.start_frames.clear()
        return messages

    def encode_outcome(self, processed: int, key: TaskKey) -> bytes:
        """Return the encoded message that a task has succeeded.

        :param processed: number of the last start batch processed.
        :param key: key of the task.
        """
        self.batches += 1
        ending = Ending(key, 'succeeded', '', b'done', 0.1, 20, 0.3)
        batch = OutcomeBatch(self.batches, processed, _ROOM, (), (ending,))
        frame: bytes = self.codec.encode(batch)
        return frame


class Cost(NamedTuple):
    """Processor time of the jobs of one size."""

    tasks: int
    #: Mean time of a task in microseconds, including its share of the job.
    task: float
    #: Longest time to parse and queue a job, in milliseconds.
    parse: float
    #: Longest loop iteration that places tasks, in milliseconds.
    place: float


class JobTimes(NamedTuple):
    """Processor time of one job, in seconds."""

    parse: float
    #: Times of the loop iterations that place tasks.
    turns: tuple[float, ...]
    #: Time to process all outcomes.
    outcomes: float


class Bench:
    """An entry without a network that is linked to fake sides."""

    def __init__(self) -> None:
        """Create the entry and link the fake sides to it."""
        self.entry = make_entry()
        for messages in SLICES:
            self.entry.codec.register(messages.SCHEMA, messages.MESSAGES)
        introduction = Introduction(
            'entry', 'entry-1', 'run1', 'A', '127.0.0.1:1', '', 0, 0, 0, 0
        )
        credentials = Credentials('bench', 'a key that is long enough')
        self.submission = EntrySubmission.from_application(
            self.entry, Peers(self.entry, credentials, introduction)
        )
        self.sides = [
            FakeSide(number, self.entry) for number in range(SIDE_COUNT)
        ]
        self.clock: Any = self.entry.clock
        #: Processor time of the loop iterations that place tasks.
        self.turns: list[float] = []
        engine: Any = self.submission.engine
        engine.run_turn = partial(self.time_turn, engine.run_turn)
        self.link_sides()

    def link_sides(self) -> None:
        """Link the sides and advance the clock until all their room is used."""
        for _ in range(2):
            for side in self.sides:
                peer: Any = side
                self.entry.events.emit('peer_joined', peer)
                self.entry.dispatch(peer, side.heartbeat())
            self.clock.advance(3)

    def measure_minimum(self, size: int) -> Cost:
        """Return the least of each cost over several runs.

        :param size: number of tasks in a job.
        """
        runs = [self.run(size, TASKS_PER_SIZE // size) for _ in range(ROUNDS)]
        return Cost(*map(min, zip(*runs, strict=True)))

    def run(self, size: int, count: int) -> Cost:
        """Run jobs one after another and return their cost.

        :param size: number of tasks in a job.
        :param count: number of jobs.
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
        """Run one job until its answer and return its times.

        :param body: JSON of the job, as sent by a caller.
        """
        answers: list[object] = []
        parse = measure_time(partial(self.submit, body, answers))
        outcomes: float = 0
        self.turns.clear()
        while not answers:
            self.clock.advance(0)
            outcomes += self.finish_tasks()
        return JobTimes(parse, tuple(self.turns), outcomes)

    def time_turn(self, place: Callable[[], None]) -> None:
        """Run a loop iteration of the engine and record its time.

        :param place: original method of the engine that places tasks.
        """
        self.turns.append(measure_time(place))

    def submit(self, body: bytes, answers: list[object]) -> None:
        """Submit a job under a new ticket.

        :param body: JSON of the job, as sent by a caller.
        :param answers: list to which the answer is appended.
        """
        ticket = self.submission.interface.register.issue()
        request = TicketRequest('PUT', ticket, 60, body)
        self.submission.relay.ask(request).addCallback(answers.append)

    def finish_tasks(self) -> float:
        """Deliver an outcome of each running task; return the time, seconds."""
        return sum(
            measure_time(partial(self.receive, side, frame))
            for side in self.sides
            for frame in side.collect_outcomes()
        )

    def receive(self, side: Any, frame: bytes) -> None:
        """Decode and dispatch a message as a link does.

        :param side: side that sent the message.
        :param frame: encoded message.
        """
        self.entry.dispatch(side, self.entry.codec.decode(frame))


def measure_time(step: Callable[[], object]) -> float:
    """Return the processor time of a step in seconds.

    :param step: function to call once.
    """
    began = time.process_time()
    step()
    return time.process_time() - began


def make_body(size: int) -> bytes:
    """Return the JSON of a job.

    :param size: number of tasks in the job.
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
    """Measure each job size and print its cost, or print a profile."""
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
            profile.runcall(bench.measure_minimum, size)
            pstats.Stats(profile).sort_stats('tottime').print_stats(
                PROFILE_LINES
            )
            return
        for size in JOB_SIZES:
            print(bench.measure_minimum(size))


if __name__ == '__main__':
    main()
