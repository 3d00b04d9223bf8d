"""A minion falls silent for less than a second and starts again."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness_3 import Client, now, overlaps, require, run_case

SIDES = 6
#: Tasks of a job; ten of them go to each minion, which has room for forty.
TASKS = 10 * SIDES
RUN_TIME = 1.5
LIMIT = 12
#: Time for which crashes go on, in seconds.
DURATION = 60
#: Time of silence before the job is sent, and range of the whole silence, in
#: seconds.
SENT_AFTER = 0.3
SILENCE = (0.7, 0.95)


async def play(site, trouble):
    """Send one job after the other while one minion at a time crashes."""
    client = Client(site)
    until = now() + DURATION
    number = completed = 0
    while now() < until and not overlaps(site.runs()):
        minion = site.minions[number % SIDES]
        number += 1
        silence = site.random.uniform(*SILENCE)
        silent_at = now()
        if trouble:
            site.log('silent', minion.host)
            minion.dark = True
        await asyncio.sleep(SENT_AFTER)
        path = f'/fills/{site.random.getrandbits(64):016x}'
        job = client.job(TASKS, RUN_TIME, cpu=1600)
        host = site.entry_hosts[number % len(site.entry_hosts)]
        posted = asyncio.ensure_future(
            client.ask(host, 'POST', path, job, LIMIT)
        )
        await asyncio.sleep(silent_at + silence - now())
        if trouble:
            minion.dark = False
            minion.crash()
        answer, _ = await posted
        completed += answer == 200
        await asyncio.sleep(1)
    site.log(f'{number} jobs were sent, {completed} completed')
    require(completed, 'no job was completed')
    return [
        f'{one.name} ran at {one.minion} (run {one.run}) and at {other.minion}'
        f' (run {other.run}) at the same time for {time:.3f} s'
        for one, other, time in overlaps(site.runs())
    ]


run_case(
    Path(__file__).parent,
    play,
    trouble=os.environ.get('TROUBLE', '1') != '0',
    entries=2,
    sides=SIDES,
    cores=64,
    route={'stretch': 20},
    network=111,
)
