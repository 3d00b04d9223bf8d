"""Case 8: a heartbeat of another writer ends the lives of a side's runs."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    Deployment,
    Record,
    ask,
    has_trouble,
    job_id,
    make_job,
    run_case,
)

if TYPE_CHECKING:
    from harness_2 import Minion

#: Time for which the tasks run, in seconds.
RUN_TIME = 1.5


async def send_foreign_ping(record: Record, minion: Minion) -> None:
    """Send a ping of a service that no page and no configuration names."""
    document = {
        **minion.heartbeat(),
        'service': 'svc-unknown',
        'seq': 1,
        'clockMs': 1000,
        'born': int(time.time() * 1000) - 1000,
    }
    path = '/v1/Instances.Heartbeat/i-foreign0'
    status, _ = await ask(minion.control, 'POST', path, document, timeout=1)
    record.write(f'foreign ping to the side at {minion.host}: {status}')


async def play(record: Record) -> str:
    """Send a ping of an unknown service while tasks run."""
    deployment = Deployment(record, 2, 4, ('zone-a', 'zone-b'))
    try:
        await deployment.start()
        jobs = [
            deployment.spawn(
                deployment.submit(
                    entry, job_id(), make_job(RUN_TIME, 4), wait=6
                )
            )
            for entry in deployment.entries * 2
        ]
        await asyncio.sleep(0.6)
        if has_trouble():
            busiest = max(deployment.minions, key=lambda one: len(one.running))
            await send_foreign_ping(record, busiest)
        statuses = await asyncio.gather(*jobs)
        await asyncio.sleep(0.5)
        overlaps = deployment.overlaps()
        for run, other, shared in overlaps:
            record.write(
                f'TWICE: {run.task} ran at {run.minion.host} and at'
                f' {other.minion.host} together for {shared:.3f} s'
            )
        if overlaps:
            return f'{len(overlaps)} tasks ran twice at the same time'
        if not any(status == 200 for status in statuses):
            raise AssertionError(f'no job was served: {statuses}')
        return ''
    finally:
        await deployment.close()


run_case(FOLDER, play)
