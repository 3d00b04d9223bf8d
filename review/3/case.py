"""Stops that are carried out late let a job run twice after a kill."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import RESEND_TIME, TROUBLE, main

#: Share of the orders that get no answer and are carried out 2.5 s later.
LATE_SHARE = float(os.environ.get('LATE_SHARE', '0.5'))
ROUNDS = 8
JOBS = 8
TASKS = 6
#: Thousandths of a core for each task.
CPU = 500
RUN_TIME = 4


async def play_round(site, first, second, choice) -> None:
    """Kill the entry that has taken jobs; their clients send them again."""
    await site.wait_ready()
    job = site.job(TASKS, cpu=CPU, seconds=RUN_TIME)
    jobs = [next(site.job_ids) for _ in range(JOBS)]
    sent = [
        asyncio.create_task(site.call(first, 'POST', one, job, 6))
        for one in jobs
    ]
    await asyncio.sleep(1)
    if TROUBLE:
        for minion in site.minions:
            minion.fault = lambda path, _: (
                'late'
                if path.startswith('run-') and choice.random() < LATE_SHARE
                else ''
            )
    first.kill()
    killed = time.monotonic()
    first.start()
    await asyncio.gather(*sent)
    await asyncio.sleep(killed + RESEND_TIME - time.monotonic())
    again = [
        asyncio.create_task(site.call(second, 'POST', one, job, 6))
        for one in jobs
    ]
    await asyncio.sleep(1.2)
    for minion in site.minions:
        minion.fault = lambda *_: ''
    await asyncio.gather(*again)


async def scenario(site) -> bool:
    choice = random.Random(os.environ.get('SEED'))
    for number in range(ROUNDS):
        first = site.entries[number % 2]
        second = site.entries[1 - number % 2]
        await play_round(site, first, second, choice)
        site.record('round', number, 'pairs so far', len(site.overlaps()))
    for one, other in site.overlaps():
        together = round(one.ended - other.since, 3)
        site.record(
            f'at the same time for {together} s: {one.task} at',
            f'{one.minion.id} and at {other.minion.id}',
        )
    return not site.overlaps()


main(Path(__file__).parent, scenario, sides=3)
