"""Cores that each kind of task uses at a side, integrated over time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.placement.interference import BACKGROUND

if TYPE_CHECKING:
    from collections.abc import Container

#: Weight of the newest task in the mean logarithmic ratio of a side.
SIDE_MEAN_WEIGHT = 0.05

#: Number of tasks after which the mean of a side is known.
MIN_SIDE_TASKS = 4


class KindUse:
    """Cores that one kind uses at a side."""

    __slots__ = ('core_seconds', 'cores', 'tasks', 'updated_at')

    def __init__(self, now: float) -> None:
        """Initialise without tasks.

        :param now: current time in seconds.
        """
        self.cores: float = 0
        self.tasks = 0
        #: Cores integrated up to the last update.
        self.core_seconds: float = 0
        self.updated_at = now

    def add(self, cores: float, tasks: int, now: float) -> None:
        """Change the cores in use.

        :param cores: cores to add.
        :param tasks: number of tasks to add.
        :param now: current time in seconds.
        """
        self.core_seconds += self.cores * (now - self.updated_at)
        self.updated_at = now
        self.tasks += tasks
        self.cores = max(self.cores + cores, 0)

    def total(self, now: float) -> float:
        """Return the cores integrated over time, in core-seconds.

        :param now: current time in seconds.
        """
        return self.core_seconds + self.cores * (now - self.updated_at)


class Neighbours:
    """Use of the cores of one side by kind.

    :param worker_cores: cores of the worker.
    """

    def __init__(self, worker_cores: float) -> None:
        """Initialise without tasks."""
        self.worker_cores = worker_cores
        self.uses: dict[str, KindUse] = {}
        #: Cores that the kinds other than the background use.
        self.known_cores: float = 0
        #: Moving average of the logarithm of measured over expected run time
        #: of all kinds. It differs from 0 at a slow worker.
        self.mean_log_ratio: float = 0
        self.tasks = 0

    def add(self, kind: str, cores: float, now: float) -> None:
        """Add a task that starts.

        :param kind: kind of the task.
        :param cores: cores of the task.
        :param now: current time in seconds.
        """
        use = self.uses.get(kind)
        if use is None:
            use = KindUse(now)
            self.uses[kind] = use
        use.add(cores, 1, now)
        self.known_cores += cores

    def remove(self, kind: str, cores: float, now: float) -> None:
        """Remove a task that was added.

        :param kind: kind of the task.
        :param cores: cores of the task.
        :param now: current time in seconds.
        """
        use = self.uses.get(kind)
        if use is None or not use.tasks:
            return
        before = use.cores
        use.add(-cores, -1, now)
        if not use.tasks:
            # Discard accumulated rounding errors.
            use.cores = 0
        self.known_cores += use.cores - before

    def set_used(self, cores: float, now: float) -> None:
        """Set the cores that all tasks use, of which some are of known kinds.

        :param cores: cores in use at the worker.
        :param now: current time in seconds.
        """
        background = self.uses.get(BACKGROUND)
        if background is None:
            background = KindUse(now)
            self.uses[BACKGROUND] = background
        unknown = max(cores - self.known_cores, 0)
        background.add(unknown - background.cores, 0, now)

    def retain(self, kinds: Container[str]) -> None:
        """Discard the use of all other kinds.

        :param kinds: kinds that are told apart, and the background.
        """
        for kind in tuple(self.uses):
            if kind not in kinds:
                self.known_cores -= self.uses.pop(kind).cores

    def totals(self, now: float) -> dict[str, float]:
        """Return the core-seconds of each kind so far.

        :param now: current time in seconds.
        """
        return {kind: use.total(now) for kind, use in self.uses.items()}

    def fraction(self, kind: str, cores: float = 0) -> float:
        """Return the fraction of the worker that a kind uses.

        :param kind: kind of the tasks.
        :param cores: cores that another task of the kind would use.
        """
        use = self.uses.get(kind)
        used = use.cores if use else 0
        return (used + cores) / self.worker_cores

    def adjusted(self, log_ratio: float) -> float | None:
        """Return a logarithmic ratio less the usual one at this side.

        :param log_ratio: logarithm of measured over expected run time.
        :returns: None while the usual ratio is unknown.
        """
        is_known = self.tasks >= MIN_SIDE_TASKS
        difference = log_ratio - self.mean_log_ratio
        self.tasks += 1
        weight = max(SIDE_MEAN_WEIGHT, 1 / self.tasks)
        self.mean_log_ratio += weight * difference
        return difference if is_known else None
