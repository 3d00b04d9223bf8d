"""Deployment with a network partition between two groups of processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.processes.deployment import Deployment, wait_until
from tests.processes.operators import fetch_position

if TYPE_CHECKING:
    from tests.processes.nodes import Node
    from tests.processes.proxies import Proxy


class Regions(Deployment):
    """Deployment that can be partitioned into two groups.

    The first entry and the first half of the sides form the smaller group.
    """

    def start_nodes(self) -> None:
        """Start each process after the processes that it dials.

        Each process then knows its peers only by the addresses of the
        proxies, and does not bypass a proxy after a partition.
        """
        for entry in reversed(self.entries):
            entry.start()
            self.wait_reachable(entry)
        for side in self.sides:
            side.start()

    def wait_reachable(self, entry: Node) -> None:
        """Wait until an entry serves its status."""
        wait_until(lambda: entry.status() is not None, f'{entry.name} is up')

    def smaller_group(self) -> set[str]:
        """Return the names of the processes in the smaller group."""
        sides = self.sides[: len(self.sides) // 2]
        return {node.name for node in (self.entries[0], *sides)}

    def crossing_proxies(self) -> dict[str, Proxy]:
        """Return the proxies between the groups by the names of their links."""
        apart = self.smaller_group()
        names = {node.name for node in (*self.entries, *self.sides)}
        return {
            link: proxy
            for link, proxy in self.proxies.items()
            if set(link.split(':')) <= names
            and len(apart.intersection(link.split(':'))) == 1
        }

    def start(self) -> None:
        """Start all processes and wait until links use the proxies."""
        super().start()
        wait_until(self.use_proxies, 'links lead through proxies')

    def use_proxies(self) -> bool:
        """Return whether all links between the groups use proxies."""
        return all(
            proxy.status()['connections']
            for link, proxy in self.crossing_proxies().items()
            if link.startswith(('side-', 'entry-0:'))
        )

    def cut(self, without_log: set[str]) -> float:
        """Partition the groups, and some entries from the log service.

        :param without_log: names of the entries that lose the log service.
        :returns: the time of the partition on the monotonic clock.
        """
        for proxy in self.crossing_proxies().values():
            proxy.set_faults(mode='freeze')
        for name in without_log:
            self.proxies[f'{name}:log'].set_faults(mode='freeze')
        return time.monotonic()

    def heal(self) -> None:
        """Clear the faults of all proxies."""
        for proxy in self.proxies.values():
            proxy.set_faults()

    def have_same_position(self) -> bool:
        """Return whether all processes have the same configuration position."""
        nodes = (*self.entries, *self.sides)
        positions = {fetch_position(node) for node in nodes}
        return len(positions) == 1 and -1 not in positions
