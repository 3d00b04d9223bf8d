"""Case 6: an entry that wakes starts jobs whose clients have left."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    RESEND_TIME,
    Deployment,
    Record,
    has_trouble,
    job_id,
    make_job,
    run_case,
)

#: Time for which one entry stands still, in seconds.
FREEZE_TIME = 3.5
#: Time limit of the clients, in seconds.
TIME_LIMIT = 1.5
#: Time for which a task runs and number of tasks of a job, as `driver-fill`.
RUN_TIME = 1.0
TASKS = 8
CPU = 100
#: Interval between two jobs, and number of jobs, sent to the first entry.
INTERVAL = 0.01
JOBS = 50
#: Number of sides.
SIDES = 6
#: Time for which rounds begin, and pause after each, in seconds.
PLAY_TIME = 90
PAUSE_TIME = 1.5


async def send_until_answered(deployment: Deployment) -> int:
    """Send a job to the first entry, and without an answer to the second.

    The client closes its channel at its time limit, and sends the job again
    after the time of the pages.
    """
    job = job_id()
    body = make_job(RUN_TIME, TASKS, CPU)
    body['spec'] += f' {job * 200}'
    status = 0
    for entry in deployment.entries:
        status = await deployment.submit(entry, job, body, TIME_LIMIT)
        if status not in {0, 502, 504}:
            return status
        await asyncio.sleep(RESEND_TIME)
    return status


async def play_round(deployment: Deployment) -> list[int]:
    """Send jobs to an entry that stands still, and wake it."""
    first = deployment.entries[0]
    for _ in range(5):
        await deployment.submit(first, job_id(), make_job(0.05, 1), TIME_LIMIT)
    if has_trouble():
        deployment.record.write(f'{first.name} freezes')
        first.signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    wakes_at = loop.time() + FREEZE_TIME
    jobs = []
    for _ in range(JOBS):
        jobs.append(deployment.spawn(send_until_answered(deployment)))
        await asyncio.sleep(INTERVAL)
    await asyncio.sleep(wakes_at - loop.time())
    if has_trouble():
        deployment.record.write(f'{first.name} wakes')
        first.signal(signal.SIGCONT)
    statuses = await asyncio.gather(*jobs)
    await asyncio.sleep(PAUSE_TIME)
    return list(statuses)


async def play(record: Record) -> str:
    """Freeze an entry, again after a pause while the rule holds."""
    deployment = Deployment(record, 2, SIDES, ('zone-a', 'zone-b'))
    try:
        await deployment.start()
        until = time.monotonic() + PLAY_TIME
        served = 0
        rounds = 0
        while time.monotonic() < until:
            served += (await play_round(deployment)).count(200)
            rounds += 1
            if deployment.overlaps():
                break
        overlaps = deployment.overlaps()
        for run, other, shared in overlaps:
            record.write(
                f'TWICE: {run.task} ran at {run.minion.host} and at'
                f' {other.minion.host} together for {shared:.3f} s'
            )
        if overlaps:
            return (
                f'{len(overlaps)} tasks ran twice at the same time, in round'
                f' {rounds}'
            )
        if not served:
            raise AssertionError('no job was served')
        return ''
    finally:
        await deployment.close()


run_case(FOLDER, play)
