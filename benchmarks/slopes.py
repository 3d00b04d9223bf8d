"""Measures memory per object kept and processor time per message.

`python -m benchmarks.slopes` prints a table and writes
`docs/measurements/slopes.json`. No process is started.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.task import Clock

from jackdawridge.application import Application
from jackdawridge.config import Settings
from jackdawridge.execution.gate import OpenGate
from jackdawridge.execution.messages import (
    Ending,
    Heartbeat,
    OutcomeBatch,
    Room,
    Start,
    StartBatch,
    TaskKey,
)
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.send_windows import SendWindows
from jackdawridge.execution.sessions import Sessions
from jackdawridge.execution.state import SideState
from jackdawridge.membership.messages import Introduction, Member
from jackdawridge.membership.table import MemberTable, Timing
from jackdawridge.placement.placer import Placer
from jackdawridge.slices import SLICES
from jackdawridge.submission.engine import JobEngine
from jackdawridge.submission.jobs import JobAnswer, JobSpec, Started, TaskSpec
from jackdawridge.submission.tickets import TicketFormat, TicketRegister
from jackdawridge.wire.codec import Codec

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: File for the figures.
OUTPUT_PATH = Path('docs/measurements/slopes.json')
#: Number of tasks of a measured job.
JOB_TASKS = 100
#: Sizes of the payload and of the answer of a task.
PAYLOAD_BYTES = 100
ANSWER_BYTES = 20
#: Repetitions of a timed step.
ROUNDS = 2000
#: Starts or endings in a measured batch.
BATCH_SIZE = 20

_MICROSECONDS = 1e6
_KEY = 'a key that is long enough'
_ROOM = Room(1, 1, 0, 0)

#: Settings of an entry that is never linked to a peer.
ENTRY_SETTINGS: Mapping[str, object] = MappingProxyType(
    {
        'role': 'entry',
        'node': 'entry-1',
        'deployment': 'bench',
        'failure_domain': 'A',
        'shared_key': _KEY,
        'operator_address': '127.0.0.1:0',
        'entries': ['127.0.0.1:1'],
        'caller_address': '127.0.0.1:1',
        'peer_address': '127.0.0.1:1',
        'log_service': '127.0.0.1:1',
    }
)


class Slope(NamedTuple):
    """Memory, size or processor time of one item."""

    name: str
    value: float
    unit: str


def make_entry() -> Application:
    """Return an entry on a simulated clock, without a network."""
    document = {**ENTRY_SETTINGS, 'queue_limit': 10000000}
    clock: Any = Clock()
    return Application(Settings.from_config(document), clock, 'run1')


def measure_memory(
    name: str, count: int, make: Callable[[int], object]
) -> Slope:
    """Return the mean memory of each object that is kept.

    :param name: name of the slope.
    :param count: number of objects to make.
    :param make: makes and keeps the object with a given number.
    """
    kept = [make(0)]
    gc.collect()
    tracemalloc.start()
    kept.extend(make(number) for number in range(1, count + 1))
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return Slope(name, round(used / count, 1), 'bytes')


def time_step(name: str, items: int, step: Callable[[], object]) -> Slope:
    """Return the mean processor time per item of a repeated step.

    :param name: name of the slope.
    :param items: number of items that one step handles.
    :param step: function to repeat.
    """
    step()
    began = time.process_time()
    for _ in range(ROUNDS):
        step()
    spent = time.process_time() - began
    value = spent / ROUNDS / items * _MICROSECONDS
    return Slope(name, round(value, 2), 'us')


def make_spec(payload: int = PAYLOAD_BYTES) -> JobSpec:
    """Return a job of the measured size.

    :param payload: size of the payload of each task, in bytes.
    """
    tasks = tuple(
        TaskSpec('kind', 1, 100, 0, 1, bytes([number]) * payload)
        for number in range(JOB_TASKS)
    )
    return JobSpec('team', '', 0, tasks)


def measure_memory_slopes() -> list[Slope]:
    """Measure the memory of each kind of object that is kept."""
    application = make_entry()
    settings = application.settings
    engine = JobEngine(application, Placer.from_config(settings))
    tickets = TicketRegister(
        TicketFormat(_KEY), '127.0.0.1:7001', 'run1', 10**6
    )
    table = MemberTable(make_member(0), Timing(10), 0)
    state = make_side_state()
    jobs = measure_memory(
        'queued task at an entry (job of 100, payload of 100 bytes)',
        200,
        lambda number: engine.submit(f'ticket-{number}', make_spec(), b''),
    )
    return [
        jobs._replace(value=round(jobs.value / JOB_TASKS, 1)),
        measure_memory(
            'kept answer of a job of 100 tasks of 20 bytes',
            500,
            lambda number: engine.answers.keep(
                make_answer(number), b'0123456789abcdef', 0
            ),
        ),
        measure_memory('unused ticket', 20000, lambda _: tickets.issue()),
        measure_memory(
            'member in the table',
            4000,
            lambda number: table.merge(make_member(number), 0),
        ),
        measure_memory(
            'running task at a side', 2000, lambda number: admit(state, number)
        ),
    ]


def make_answer(number: int) -> JobAnswer:
    """Return a job answer of the measured size.

    :param number: number that makes the ticket and the answers unique.
    """
    answers = tuple(
        str(number + task).zfill(ANSWER_BYTES).encode()
        for task in range(JOB_TASKS)
    )
    return JobAnswer(f'ticket-{number}', 'complete', answers, '', Started.some)


def make_member(number: int) -> Member:
    """Return the record of a side in the member table.

    :param number: number that makes the node and its incarnation unique.
    """
    return Member(
        f'side-{number}',
        1,
        f'{number:012x}',
        0,
        0,
        leaving=False,
        role='side',
        failure_domain=f'domain-{number % 7}',
        address='',
        service='ledger',
    )


def make_side_state() -> SideState:
    """Return the state of a side that has room for every measured task."""
    sessions = Sessions(SendWindows(3), 6)
    sessions.open('run1', 0)
    sessions.windows.open(0)
    ledger = RoomLedger(Room(1e6, 1e9, 0, 0))
    return SideState(sessions, ledger, OpenGate())


def make_start(number: int) -> Start:
    """Return the start of a task.

    :param number: number of the task in its job.
    """
    key = TaskKey('127.0.0.1:7001~run1~1~0123456789abcdef', number, number)
    return Start(
        *key, 'kind', 'team', 1, 100, 0, 0.5, '', 0, b'x' * PAYLOAD_BYTES
    )


def admit(state: SideState, number: int) -> object:
    """Have a side admit the start of one task.

    :param state: state of the side.
    :param number: number of the start batch and of its task.
    """
    batch = StartBatch(number, 1, 0, (make_start(number),))
    return state.admit('run1', batch, 0)


def measure_message_slopes() -> list[Slope]:
    """Measure encoding, decoding and size of the frequent messages."""
    codec = Codec()
    for messages in SLICES:
        codec.register(messages.SCHEMA, messages.MESSAGES)
    starts = tuple(make_start(number) for number in range(BATCH_SIZE))
    endings = tuple(
        Ending(start.key(), 'succeeded', '', b'x' * ANSWER_BYTES, 1, 90, 0.5)
        for start in starts
    )
    samples = (
        ('start in a batch of 20', BATCH_SIZE, StartBatch(1, 1, 0, starts)),
        ('start alone', 1, StartBatch(1, 1, 0, starts[:1])),
        (
            'ending in a batch of 20',
            BATCH_SIZE,
            OutcomeBatch(1, 1, _ROOM, (), endings),
        ),
        ('ending alone', 1, OutcomeBatch(1, 1, _ROOM, (), endings[:1])),
        ('heartbeat', 1, Heartbeat(1, 1, _ROOM, draining=False, position=9)),
        ('introduction', 1, make_introduction()),
    )
    slopes: list[Slope] = []
    for name, items, message in samples:
        slopes.extend(measure_message(codec, name, items, message))
    return slopes


def make_introduction() -> Introduction:
    """Return the introduction of a side."""
    return Introduction(
        'side', 'side-1', 'run1', 'A', '', 'ledger', 64, 262144, 0, 8
    )


def measure_message(
    codec: Codec, name: str, items: int, message: Any
) -> tuple[Slope, Slope, Slope]:
    """Measure encoding, decoding and size of one item of a message.

    :param codec: codec with which the message type is registered.
    :param name: name of the item.
    :param items: number of items in the message.
    :param message: message to encode and decode.
    """
    frame = codec.encode(message)
    return (
        time_step(f'write {name}', items, lambda: codec.encode(message)),
        time_step(f'read {name}', items, lambda: codec.decode(frame)),
        Slope(f'size of {name}', round(len(frame) / items, 1), 'bytes'),
    )


def main() -> None:
    """Measure all slopes, print them and write them as JSON."""
    slopes = [*measure_memory_slopes(), *measure_message_slopes()]
    for slope in slopes:
        print(f'{slope.value:>10} {slope.unit:<6} {slope.name}')
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps([each._asdict() for each in slopes], indent=1)
    OUTPUT_PATH.write_text(f'{text}\n')


if __name__ == '__main__':
    main()
