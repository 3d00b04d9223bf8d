"""Batches of starts that come to a worker on a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.standins.messages import StartRequest
from jackdawridge.standins.runner import encode_line

if TYPE_CHECKING:
    from jackdawridge.standins.worker import Worker


class Batch(StartRequest):
    """A line of a stream of starts."""

    #: Named in the answer.
    batch: str


_BATCH = msgspec.json.Decoder(Batch)


async def start_batch(worker: Worker, line: bytes) -> None:
    """Start tasks and answer on the streams of events.

    A fault that loses the answer leaves the stream open.

    :param worker: starts them.
    :param line: a `Batch` as JSON.
    """
    batch = _BATCH.decode(line)
    await worker.before()
    results = [worker.start_task(order) for order in batch['tasks']]
    if await worker.is_answered():
        answer = {'batch': batch['batch'], 'results': results}
        worker.runner.write(encode_line(answer))
