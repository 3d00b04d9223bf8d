"""Case 7: a side takes a restarted minion over twice."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness_2  # noqa: E402
from harness_2 import (  # noqa: E402
    HEARTBEAT_INTERVAL,
    RESEND_TIME,
    Deployment,
    Minion,
    Record,
    has_trouble,
    job_id,
    make_job,
    run_case,
)

if TYPE_CHECKING:
    from harness_2 import Request

#: Share of the orders that get no answer and are carried out late, and how
#: late, in seconds.
LATE_SHARE = 0.066
LATE_DELAYS = (2.0, 12.0)
#: Time for which a minion leaves orders unanswered, in seconds.
LATE_TIME = 2.0
#: Time for which a minion is down, in seconds.
DOWN_TIME = 0.3
#: Time for which rounds begin and range of the pauses between them, in seconds.
PLAY_TIME = 95
PAUSE_TIMES = (0.5, 2.0)
#: Time limit of the clients, run time of a task, in seconds; tasks of a job,
#: and thousandths of a core for each.
TIME_LIMIT = 1.5
RUN_TIME = 0.8
TASKS = 30
CPU = 100
CLIENTS = 16


class LateMinion(Minion):
    """A minion that can leave orders unanswered, and restart under its id."""

    is_late = False
    is_down = False

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Carry out an order, now or late and without an answer."""
        is_order = request.path != '/v1/hold'
        if self.is_late and is_order and random.random() < LATE_SHARE:
            self.deployment.spawn(self.handle_late(request))
            return None
        return await super().handle(request)

    async def handle_late(self, request: Request) -> None:
        """Carry out an order late, unless this life has ended."""
        born = self.born
        await asyncio.sleep(random.uniform(*LATE_DELAYS))
        if self.born == born:
            await super().handle(request)

    async def beat_forever(self) -> None:
        """Send heartbeats while the minion is up."""
        while True:
            if not self.is_down:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def crash(self) -> None:
        """Crash, and start again under the same id.

        The heartbeats keep their interval, so the first one is sent up to
        `HEARTBEAT_INTERVAL` after the start.
        """
        self.record.write(f'minion at {self.host} crashes')
        self.is_down = True
        await self.server.close()
        for run in tuple(self.running.values()):
            self.end(run, 'crashed')
        await asyncio.sleep(DOWN_TIME)
        self.boot()
        await self.server.listen(self.address)
        self.is_down = False
        self.record.write(f'minion at {self.host} has started again')


async def send_jobs(deployment: Deployment, until: float) -> list[int]:
    """Send jobs one after the other, again without an answer."""
    statuses: list[int] = []
    while time.monotonic() < until:
        job = job_id()
        body = make_job(RUN_TIME, TASKS, CPU)
        status = 0
        for _ in range(2):
            entry = random.choice(deployment.entries)
            status = await deployment.submit(entry, job, body, TIME_LIMIT)
            if status not in {0, 502, 504}:
                break
            await asyncio.sleep(RESEND_TIME)
        statuses.append(status)
        if status != 200:
            await asyncio.sleep(0.2)
    return statuses


async def play_rounds(deployment: Deployment, until: float) -> int:
    """Restart one minion after the other until a task ran twice."""
    rounds = 0
    while time.monotonic() < until and not deployment.overlaps():
        minion = deployment.minions[rounds % len(deployment.minions)]
        rounds += 1
        if has_trouble():
            minion.is_late = True
            await minion.crash()
        await asyncio.sleep(LATE_TIME)
        minion.is_late = False
        await asyncio.sleep(random.uniform(*PAUSE_TIMES))
    return rounds


async def play(record: Record) -> str:
    """Restart minions while clients send jobs."""
    deployment = Deployment(record, 2, 4, ('zone-a', 'zone-b'))
    try:
        await deployment.start()
        until = time.monotonic() + PLAY_TIME
        clients = [
            deployment.spawn(send_jobs(deployment, until))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(2)
        rounds = await play_rounds(deployment, until - 5)
        served = sum(
            client.result().count(200) for client in clients if client.done()
        )
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
        statuses = await asyncio.gather(*clients)
        served = sum(one.count(200) for one in statuses)
        if not served:
            raise AssertionError('no job was served')
        return ''
    finally:
        await deployment.close()


harness_2.Minion = LateMinion
run_case(FOLDER, play)
