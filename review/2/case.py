"""A ping of another writer makes a side give up what its minion runs."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, main


async def send_stray_ping(site) -> None:
    """Send a ping that names a service which no configuration names."""
    minion = site.minions[0]
    ping = minion.ping()
    minion.sequence -= 1
    born = int(time.time() * 1000)
    ping.update(service='unnamed', address='127.0.0.9:9', born=born)
    status = await minion.send_ping('i-other', ping)
    site.record('ping of another writer, service "unnamed": answer', status)


async def scenario(site) -> bool:
    job = site.job(16, seconds=4)
    sent = asyncio.create_task(
        site.call(site.entries[0], 'POST', next(site.job_ids), job, 12)
    )
    await asyncio.sleep(1)
    if TROUBLE:
        await send_stray_ping(site)
    await sent
    await asyncio.sleep(6)
    for one, other in site.overlaps():
        together = round(one.ended - other.since, 3)
        site.record(
            f'at the same time for {together} s: {one.task} at',
            f'{one.minion.id} and at {other.minion.id}',
        )
    sides = [await site.sides_of(node) for node in site.entries]
    site.record('sides that take work 6 s after the job, by entry:', sides)
    return not site.overlaps()


main(Path(__file__).parent, scenario)
