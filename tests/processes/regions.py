"""Two groups of processes of a deployment that lose each other."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.processes.deployment import Deployment, wait_until
from tests.processes.operators import position_of

if TYPE_CHECKING:
    from tests.processes.nodes import Node
    from tests.processes.proxies import Proxy


class Regions(Deployment):
    """A deployment that can be cut in two.

    The first entry and the first half of the sides are the smaller group.
    """

    def start_nodes(self) -> None:
        """Start each process once those that it dials are there.

        Each then knows the others by the addresses of the proxies, and
        dials no other ones after a cut.
        """
        for entry in reversed(self.entries):
            entry.start()
            self.wait_started(entry)
        for side in self.sides:
            side.start()

    def wait_started(self, entry: Node) -> None:
        """Wait until an entry answers."""
        wait_until(lambda: entry.status() is not None, f'{entry.name} is up')

    def apart(self) -> set[str]:
        """Return the names of the processes in the smaller group."""
        sides = self.sides[: len(self.sides) // 2]
        return {node.name for node in (self.entries[0], *sides)}

    def crossing(self) -> dict[str, Proxy]:
        """Return the proxies between the groups by their links."""
        apart = self.apart()
        names = {node.name for node in (*self.entries, *self.sides)}
        return {
            link: proxy
            for link, proxy in self.proxies.items()
            if set(link.split(':')) <= names
            and len(apart.intersection(link.split(':'))) == 1
        }

    def start(self) -> None:
        """Wait also until links between the groups are those of proxies."""
        super().start()
        wait_until(self.are_proxied, 'links lead through proxies')

    def are_proxied(self) -> bool:
        """Return whether a cut reaches all links between the groups."""
        return all(
            proxy.describe()['connections']
            for link, proxy in self.crossing().items()
            if link.startswith(('side-', 'entry-0:'))
        )

    def cut(self, without_log: set[str]) -> float:
        """Let the groups, and some entries and the log, lose each other.

        :param without_log: names of the entries.
        :returns: the time of the cut.
        """
        for proxy in self.crossing().values():
            proxy.set(mode='freeze')
        for name in without_log:
            self.proxies[f'{name}:log'].set(mode='freeze')
        return time.monotonic()

    def heal(self) -> None:
        """Let all hear each other again."""
        for proxy in self.proxies.values():
            proxy.set()

    def are_alike(self) -> bool:
        """Return whether all processes know the same configuration."""
        nodes = (*self.entries, *self.sides)
        positions = {position_of(node) for node in nodes}
        return len(positions) == 1 and -1 not in positions
