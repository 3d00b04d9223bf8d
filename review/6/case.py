"""A signal that the settings have changed ends a process that starts."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, main

#: Time from the start of a process to the signal, in seconds.
SIGNAL_DELAY = 0.25
#: Delay before a process that has ended is started again, in seconds.
RESTART_DELAY = 0.5
#: Time in which a signalled process may end, in seconds.
END_TIME = 1.0
CHANGES = 3
#: Ends of processes by themselves that make a fault: on this many machines, and
#: this many times.
FAULT_MACHINES = 2
FAULT_ENDS = 3


async def change_settings(site, node, ends) -> None:
    """Change the settings of a machine while its process starts."""
    for _ in range(CHANGES):
        await asyncio.sleep(SIGNAL_DELAY)
        if not TROUBLE:
            return
        node.signal(signal.SIGHUP)
        until = time.monotonic() + END_TIME
        while node.popen.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if node.popen.poll() is None:
            return
        ends[node.name] += 1
        status = node.popen.poll()
        site.record('process', node.name, 'has ended by itself:', status)
        await asyncio.sleep(RESTART_DELAY)
        node.start()


async def scenario(site) -> bool:
    changed = (*site.entries[:2], *site.sides[:2])
    ends = {node.name: 0 for node in changed}
    # The machines are stopped in turn, as for planned work, and start again.
    for node in changed:
        node.signal(signal.SIGTERM)
    until = time.monotonic() + 10
    while any(node.popen.poll() is None for node in changed):
        if time.monotonic() > until:
            raise RuntimeError('a process did not stop in time')
        await asyncio.sleep(0.05)
    for node in changed:
        node.start()
    await asyncio.gather(
        *(change_settings(site, node, ends) for node in changed)
    )
    site.record('ends by themselves:', ends)
    await site.wait_ready(40)
    often = [name for name, count in ends.items() if count >= FAULT_ENDS]
    return len(often) < FAULT_MACHINES


main(Path(__file__).parent, scenario, entries=3, sides=3)
