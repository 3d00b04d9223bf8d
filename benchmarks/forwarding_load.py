"""Open-loop HTTP load generator; prints its responses as JSON.

With a rate of 0 it is a closed loop of callers instead.
"""

from __future__ import annotations

import json
import random
import sys
from typing import Any, NamedTuple

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

#: Maximum number of persistent connections of one generator.
MAX_CONNECTIONS = 512
#: Ranges of service times in seconds, and the fraction of requests in each.
SERVICE_TIMES = ((0.05, 0.2), (0.2, 1))
SERVICE_TIME_WEIGHTS = (0.9, 0.1)

reactor: Any = default_reactor


class Response(NamedTuple):
    """Outcome of one request; the status is 0 if there was no response."""

    method: str
    #: Service time requested of the minion, in seconds.
    service_time: float
    status: int
    outcome: str
    #: Time from the planned start to the end of the response, in seconds.
    elapsed: float


class Plan(NamedTuple):
    """Parameters of a run."""

    #: URL without scheme and query.
    target: str
    #: Requests a second; 0 if each caller sends its next request after the
    #: response to the last.
    rate: float
    duration: float
    seed: int
    #: Number of concurrent callers if the rate is 0.
    callers: int
    #: Whether all requests have a service time of 0.
    empty: bool


class Generator:
    """Sends the requests of a plan.

    :param plan: parameters of the run.
    """

    def __init__(self, plan: Plan) -> None:
        """Create the connection pool; the duration of the plan starts now."""
        self.plan = plan
        self.random = random.Random(plan.seed)
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        pool.retryAutomatically = False
        self.agent = Agent(reactor, pool=pool)
        self.responses: list[Response] = []
        self.sent_count = 0
        self.in_flight = 0
        self.end_at = reactor.seconds() + plan.duration

    def start(self) -> None:
        """Send the first request, or the first one of each caller."""
        if self.plan.rate:
            self.send_scheduled(reactor.seconds())
        else:
            for _ in range(self.plan.callers):
                self.send(reactor.seconds()).addBoth(self.send_next_of_caller)

    def send_scheduled(self, planned: float) -> None:
        """Send one request and schedule the next as a Poisson process."""
        self.send(planned)
        next_planned = planned + self.random.expovariate(self.plan.rate)
        if next_planned < self.end_at:
            wait = max(next_planned - reactor.seconds(), 0)
            reactor.callLater(wait, self.send_scheduled, next_planned)
        else:
            self.end_at = 0
            self.stop_if_complete()

    def send_next_of_caller(self, _: object) -> None:
        """Send the next request of a caller until the duration has passed."""
        now = reactor.seconds()
        if now < self.end_at:
            self.send(now).addBoth(self.send_next_of_caller)
        else:
            self.end_at = 0
            self.stop_if_complete()

    def send(self, planned: float) -> Deferred[None]:
        """Send one request with a random service time.

        :param planned: planned start, from which the response time counts.
        """
        seconds = self.draw_service_time()
        method = 'POST' if self.sent_count % 2 else 'GET'
        name = f'{self.plan.seed}-{self.sent_count}'
        self.sent_count += 1
        self.in_flight += 1
        uri = f'http://{self.plan.target}?seconds={seconds:.4f}&answer={name}'
        headers = Headers({'X-Request-Id': [name]})
        responded: Any = self.agent.request(
            method.encode(), uri.encode(), headers
        )
        responded.addCallback(self.read_response)
        responded.addErrback(lambda _: (0, '', b''))
        responded.addCallback(
            self.record_response, (method, seconds, planned, name)
        )
        ended: Deferred[None] = responded
        return ended

    def read_response(self, response: Any) -> Any:
        """Return status code, outcome header and body of a response."""
        outcome = response.headers.getRawHeaders('X-Jackdawridge-Outcome')
        body: Any = readBody(response)
        text = outcome[0] if outcome else ''
        return body.addCallback(lambda data: (response.code, text, data))

    def record_response(
        self,
        response: tuple[int, str, bytes],
        request: tuple[str, float, float, str],
    ) -> None:
        """Record the response, as crossed if it belongs to another request."""
        status, outcome, body = response
        method, seconds, planned, name = request
        if status == 200 and body != name.encode():
            status, outcome = -1, 'crossed'
        elapsed = reactor.seconds() - planned
        self.responses.append(
            Response(method, seconds, status, outcome, elapsed)
        )
        self.in_flight -= 1
        self.stop_if_complete()

    def stop_if_complete(self) -> None:
        """Stop the reactor once sending has ended and none is in flight."""
        if not self.end_at and not self.in_flight and reactor.running:
            reactor.stop()

    def draw_service_time(self) -> float:
        """Draw the service time of a request, in seconds."""
        if self.plan.empty:
            return 0
        low, high = self.random.choices(SERVICE_TIMES, SERVICE_TIME_WEIGHTS)[0]
        return self.random.uniform(low, high)


def main() -> None:
    """Run the plan given as JSON on the command line."""
    generator = Generator(Plan(**json.loads(sys.argv[1])))
    reactor.callWhenRunning(generator.start)
    reactor.run()
    print(json.dumps([list(each) for each in generator.responses]))


if __name__ == '__main__':
    main()
