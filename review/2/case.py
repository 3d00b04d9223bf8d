"""Processes that start with stale seeds never find each other again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, main

#: Age of the seeds that the settings name, at most `seedLagS`, in seconds.
SEED_LAG = 2.9
#: Time after which a machine that was removed is replaced, in seconds.
REPLACE_TIME = 1.0
#: Time from the last replacement's beginning to the final fault, in seconds.
FAULT_TIME = 0.6
#: Time for which all processes are down at the final fault, in seconds.
DOWN_TIME = 0.7
#: Time after the machines are back from which requests count, in seconds.
RECOVERY_TIME = 12.0
COUNTED_TIME = 8.0


class Machines:
    """The machines that carry entries, and the seeds that the platform names.

    The platform writes the settings of a process anew at each start and
    whenever they change; the seeds are those of `SEED_LAG` before.
    """

    def __init__(self, site) -> None:
        self.site = site
        self.present = list(site.entries)
        self.history = [(time.monotonic() - 60, self.hosts())]
        site.seed_hosts = self.seed_hosts

    def hosts(self) -> list[str]:
        return [node.host for node in self.present[:3]]

    def seed_hosts(self) -> list[str]:
        known = time.monotonic() - SEED_LAG
        return [hosts for at, hosts in self.history if at <= known][-1]

    def changed(self) -> None:
        self.history.append((time.monotonic(), self.hosts()))
        self.site.record('machines with an entry:', *self.hosts())

    async def replace(self, node) -> None:
        """Remove a machine for good; another one comes at a new address."""
        node.kill()
        self.present.remove(node)
        self.changed()
        added = await self.site.add_entry(node.zone)
        await asyncio.sleep(REPLACE_TIME)
        added.start()
        self.present.append(added)
        self.changed()


async def send_traffic(site, machines, seconds: float) -> list:
    """Send five small jobs a second; return the statuses of the answers."""
    sent = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        node = machines.present[len(sent) % len(machines.present)]
        call = site.call(
            node, 'POST', next(site.job_ids), site.job(2, seconds=0.2), 2
        )
        sent.append(asyncio.create_task(call))
        await asyncio.sleep(0.2)
    return [answer and answer[0] for answer in await asyncio.gather(*sent)]


async def scenario(site) -> bool:
    machines = Machines(site)
    before = await send_traffic(site, machines, 3)
    site.record('before: answers 200', before.count(200), 'of', len(before))
    first, second, third = site.entries
    await machines.replace(first)
    await machines.replace(second)
    last = asyncio.create_task(machines.replace(third))
    if not TROUBLE:
        # The seeds are those of now again when the final fault comes.
        await last
        await asyncio.sleep(SEED_LAG + 1)
    await asyncio.sleep(FAULT_TIME)
    site.record('final fault: all processes are killed')
    nodes = [*machines.present, *site.sides]
    for node in nodes:
        node.kill()
    await asyncio.sleep(DOWN_TIME)
    for node in nodes:
        node.start()
    site.record('seeds of the settings:', *machines.seed_hosts())
    await last
    back = time.monotonic()
    await asyncio.sleep(SEED_LAG + 0.5)
    for node in (*machines.present, *site.sides):
        # The settings have changed: they name the present machines now.
        (site.folder / f'{node.name}.toml').write_text(site.settings(node))
        node.signal(signal.SIGHUP)
    site.record('seeds of the settings:', *machines.seed_hosts())
    await asyncio.sleep(back + RECOVERY_TIME - time.monotonic())
    after = await send_traffic(site, machines, COUNTED_TIME)
    site.record('after: answers 200', after.count(200), 'of', len(after))
    site.record(
        'sides that take work, by entry:',
        [await site.sides_of(node) for node in machines.present],
    )
    if before.count(200) < len(before) / 4:
        raise RuntimeError('too little was served before')
    return after.count(200) >= len(after) / 4


main(Path(__file__).parent, scenario, entries=3, sides=3)
