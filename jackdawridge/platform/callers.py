"""The HTTP of callers, and the platform's question for readiness."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

from result import Err
from twisted.internet.defer import Deferred

from jackdawridge.logs import get_logger
from jackdawridge.operations.routes import ANY, GET, Route, Routes
from jackdawridge.platform.jobs import Unserved, read_job
from jackdawridge.submission.attended import RETRY_AFTER, Outcome, Verdict
from jackdawridge.submission.documents import digest_of
from jackdawridge.submission.interface import Reply, error_body
from jackdawridge.submission.replies import write_reply
from jackdawridge.util.web import write_json, write_later

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState, Queue
    from jackdawridge.submission.attended import AttendedJobs
    from jackdawridge.util.web import WebRequest

logger = get_logger('callers')

#: Tells how long the caller waits for the answer, in milliseconds.
PATIENCE_HEADER = 'Deadline-Ms'
#: Used without that header, in seconds.
DEFAULT_PATIENCE = 30.0
#: Longest time that is believed of a caller, in seconds.
MAX_PATIENCE = 600.0

_JOB_ID = re.compile('[0-9a-fA-F]{16}')
_MILLISECONDS = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_NOT_ALLOWED = 405
_GONE = 410
_TOO_MANY = 429
_INTERNAL = 500
_UNAVAILABLE = 503
_NO_ANSWER = 504

#: Status for each end of a job.
_STATUS = {  # noqa: WPS407
    Verdict.completed: _OK,
    Verdict.failed: _OK,
    Verdict.refused: _TOO_MANY,
    Verdict.given_up: _NO_ANSWER,
    Verdict.isolated: _UNAVAILABLE,
}


class CallerResource:
    """Serves jobs and queues by host and path.

    :param application: the process.
    :param state: what is in force.
    :param jobs: runs the jobs.
    """

    def __init__(
        self,
        application: Application,
        state: DeploymentState,
        jobs: AttendedJobs,
    ) -> None:
        """Keep the parts."""
        self.application = application
        self.state = state
        self.jobs = jobs
        self.most_tasks = application.settings.integer('job_tasks')
        self.routes = Routes(Route('/', ANY, self.serve))

    def serve(self, request: WebRequest, _: str) -> Deferred[bytes] | bytes:
        """Find the queue of a request and serve it.

        :param request: of a caller.
        """
        if self.application.draining:
            request.setHeader('Connection', 'close')
        if self.state.current is None:
            return refuse(
                request, _UNAVAILABLE, 'no configuration yet', RETRY_AFTER
            )
        path = request.path.decode('latin-1')
        queue = self.state.table.find(host_of(request), path)
        if queue is None:
            return refuse(request, _NOT_FOUND, f'no queue serves {path!r}')
        rest = path.removeprefix(queue.prefix)
        if not rest:
            return self.count(request, queue)
        if not _JOB_ID.fullmatch(rest):
            reason = f'{path!r} does not end with 16 hexadecimal digits'
            return refuse(request, _BAD_REQUEST, reason)
        return self.serve_job(request, queue, rest)

    def serve_job(
        self, request: WebRequest, queue: Queue, job_id: str
    ) -> Deferred[bytes] | bytes:
        """Run, show or cancel a job.

        :param request: of a caller.
        :param queue: of the job.
        :param job_id: of the job.
        """
        if request.method == b'POST':
            return self.submit(request, queue, job_id)
        if request.method not in {b'GET', b'DELETE'}:
            return refuse(request, _NOT_ALLOWED, 'allowed: POST, GET, DELETE')
        if not self.jobs.is_open(job_id):
            return refuse(request, _GONE, 'no such job')
        if request.method == b'GET':
            return write_json(request, {'state': 'running'})
        self.jobs.abandon(job_id, 'cancelled')
        return write_json(request, {'state': 'cancelled'})

    def count(self, request: WebRequest, queue: Queue) -> bytes:
        """Return how many jobs of a queue have begun nothing.

        :param request: of a caller.
        :param queue: that is asked about.
        """
        if request.method != b'GET':
            return refuse(request, _NOT_ALLOWED, 'allowed: GET')
        return write_json(
            request, {'pending': self.jobs.count_waiting(queue.name)}
        )

    def submit(
        self, request: WebRequest, queue: Queue, job_id: str
    ) -> Deferred[bytes] | bytes:
        """Run a job and answer at its end.

        :param request: of a caller.
        :param queue: that it was sent to.
        :param job_id: chosen by the caller.
        """
        content = request.content.read()
        read = read_job(content, queue, self.most_tasks)
        if isinstance(read, Err):
            logger.info('bad job', job=job_id, reason=read.err_value)
            return refuse(request, _BAD_REQUEST, read.err_value)
        spec = read.ok_value
        if isinstance(spec, Unserved):
            logger.info('job not served', job=job_id, reason=spec.reason)
            return refuse(request, _UNAVAILABLE, spec.reason)
        patience = patience_of(request)
        logger.info(
            'job arrives',
            job=job_id,
            queue=queue.name,
            version=self.state.version,
            tasks=len(spec.tasks),
            patience=patience,
        )
        ended = self.jobs.submit(
            job_id.lower(), spec, digest_of(content), patience
        )
        return write_later(
            logger,
            request,
            ended,
            lambda outcome: answer(request, outcome),
            lambda: refuse(request, _INTERNAL, 'internal error'),
        )


class ReadinessResource:
    """Tells the platform whether to send new connections here.

    :param is_ready: says so.
    """

    def __init__(self, is_ready: Any) -> None:
        """Keep the question."""
        self.is_ready = is_ready
        self.routes = Routes(Route('/v1/ready', GET, self.ready))

    def ready(self, request: WebRequest, _: str) -> bytes:
        """Answer the platform.

        :param request: of the platform.
        """
        ready = self.is_ready()
        if not ready:
            request.setResponseCode(_UNAVAILABLE)
        return write_json(request, {'ready': ready})


def host_of(request: Any) -> str:
    """Return the host that a caller has asked for.

    :param request: of a caller.
    """
    return str((request.getHeader(b'host') or b'').decode('latin-1'))


def patience_of(request: Any) -> float:
    """Return how long a caller waits, in seconds.

    :param request: of a caller.
    """
    text = request.getHeader(PATIENCE_HEADER)
    try:
        patience = float(text) / _MILLISECONDS
    except (TypeError, ValueError):
        return DEFAULT_PATIENCE
    if not math.isfinite(patience):
        return DEFAULT_PATIENCE
    return min(max(patience, 0), MAX_PATIENCE)


def answer(request: WebRequest, outcome: Outcome) -> bytes:
    """Write the outcome of a job.

    :param request: of the caller.
    :param outcome: of the job.
    """
    status = _STATUS[outcome.verdict]
    # Lines of failed requests are the last to be left out.
    is_good = outcome.verdict is Verdict.completed
    log = logger.info if is_good else logger.notice
    log(
        'job answered',
        path=request.path.decode('latin-1'),
        status=status,
        reason=outcome.reason,
        retry_after=outcome.retry_after,
    )
    if outcome.verdict is Verdict.isolated:
        # A new connection may lead to another entry.
        request.setHeader('Connection', 'close')
    if status != _OK:
        return refuse(request, status, outcome.reason, outcome.retry_after)
    return write_json(request, {'state': outcome.verdict.value})


def refuse(
    request: WebRequest, status: int, reason: str, retry_after: float = 0
) -> bytes:
    """Write an error.

    :param request: of the caller.
    :param status: of HTTP.
    :param reason: for the caller.
    :param retry_after: time after which to ask again in seconds, 0 for none.
    """
    reply = Reply(status, error_body(reason), retry_after=retry_after)
    return write_reply(request, reply)
