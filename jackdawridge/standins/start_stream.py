"""Batches of starts that a worker receives on a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.standins.messages import StartRequest
from jackdawridge.standins.runner import encode_line

if TYPE_CHECKING:
    from jackdawridge.standins.worker import Worker


class StartBatch(StartRequest):
    """A line of a stream of starts."""

    #: Identifier that the answer repeats.
    batch: str


_BATCH = msgspec.json.Decoder(StartBatch)


async def start_batch(worker: Worker, line: bytes) -> None:
    """Start tasks and write the answer to the event streams.

    A fault that drops the answer leaves the stream open.

    :param worker: the worker that starts the tasks.
    :param line: the batch as JSON.
    :raises msgspec.DecodeError: if the line is not valid.
    """
    batch = _BATCH.decode(line)
    await worker.delay_request()
    results = [worker.start_task(order) for order in batch['tasks']]
    if await worker.delay_answer():
        answer = {'batch': batch['batch'], 'results': results}
        worker.runner.write(encode_line(answer))
