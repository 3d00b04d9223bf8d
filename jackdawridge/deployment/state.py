"""The queues in force and the failure domains out of service."""

from __future__ import annotations

from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of jobs, which callers reach by host and path."""

    name: str
    host: str
    #: Beginning of the paths of its jobs, with the final slash.
    prefix: str
    #: Service whose workers run the tasks.
    service: str
    #: The queue with the lowest number comes first.
    priority: int
    #: Runs of a task that may fail before the job fails.
    attempts: int
    #: Factor on the expected run time up to which a job is in time.
    stretch: float
    #: Time that is added to that, in seconds.
    allowance: float
    #: Whether tasks need the word of an advisor on where they may run.
    is_advised: bool = False


class CallerLimits(NamedTuple):
    """Bounds on what callers send."""

    header_bytes: int
    body_bytes: int
    #: Time for a request's headers to arrive, in seconds.
    header_time: float
    #: Time without a request after which a connection is closed, in seconds.
    idle_time: float


class Deployment(NamedTuple):
    """One version of what operators have configured."""

    version: int
    queues: tuple[Queue, ...]
    limits: CallerLimits


class QueueTable:
    """Finds the queue of a request.

    :param queues: all that there are.
    """

    def __init__(self, queues: tuple[Queue, ...] = ()) -> None:
        """Sort the queues by host, the longest prefix first."""
        self.by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=prefix_length, reverse=True):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path.

        :param host: of the request, with or without a port.
        :param path: of the request, without its query.
        """
        name = host.lower().partition(':')[0]
        for queue in self.by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class DeploymentState:
    """What is in force; versions only rise."""

    def __init__(self) -> None:
        """Begin without a configuration."""
        self.current: Deployment | None = None
        self.table = QueueTable()
        #: Failure domains that are out of service.
        self.out: frozenset[str] = frozenset()
        #: Whether that has been read.
        self.knows_domains = False

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.current.version if self.current else 0

    def adopt(self, deployment: Deployment) -> bool:
        """Put a configuration in force unless it is not newer.

        :param deployment: that was read.
        :returns: whether it is in force now.
        """
        if deployment.version <= self.version:
            return False
        self.current = deployment
        self.table = QueueTable(deployment.queues)
        return True

    def take_out(self, domains: frozenset[str]) -> frozenset[str]:
        """Replace the failure domains that are out of service.

        :param domains: all that are out now.
        :returns: those whose state has changed.
        """
        changed = self.out ^ domains
        self.out = domains
        self.knows_domains = True
        return changed


def prefix_length(queue: Queue) -> int:
    """Return the length of a queue's prefix.

    :param queue: any queue.
    """
    return len(queue.prefix)
