"""Sends requests at a rate, whatever their answers, and prints what it saw."""

from __future__ import annotations

import json
import random
import sys
from typing import Any, NamedTuple

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

#: Most connections of one generator.
CONNECTIONS = 512
#: Ranges of the times that requests take, in seconds, and their shares.
TIMES = ((0.05, 0.2), (0.2, 1))
SHARES = (0.9, 0.1)

reactor: Any = default_reactor


class Seen(NamedTuple):
    """One request and its end; status 0 if there was no answer."""

    method: str
    #: Time that the minion was asked to take, in seconds.
    asked: float
    status: int
    outcome: str
    #: Time from the planned start to the end of the answer, in seconds.
    elapsed: float


class Plan(NamedTuple):
    """What to send."""

    #: Address and path before the query.
    target: str
    #: Requests a second; 0 for one after the other on each caller.
    rate: float
    duration: float
    seed: int
    #: Callers when there is no rate.
    callers: int
    #: Whether all requests take no time.
    empty: bool


class Generator:
    """Sends the requests of a plan.

    :param plan: what to send.
    """

    def __init__(self, plan: Plan) -> None:
        """Prepare the connections."""
        self.plan = plan
        self.random = random.Random(plan.seed)
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS
        pool.retryAutomatically = False
        self.agent = Agent(reactor, pool=pool)
        self.seen: list[Seen] = []
        self.sent = 0
        self.open = 0
        self.end = reactor.seconds() + plan.duration

    def start(self) -> None:
        """Begin to send."""
        if self.plan.rate:
            self.send_next(reactor.seconds())
        else:
            for _ in range(self.plan.callers):
                self.send(reactor.seconds()).addBoth(self.send_again)

    def send_next(self, planned: float) -> None:
        """Send one request and plan the next."""
        self.send(planned)
        following = planned + self.random.expovariate(self.plan.rate)
        if following < self.end:
            wait = max(following - reactor.seconds(), 0)
            reactor.callLater(wait, self.send_next, following)
        else:
            self.end = 0
            self.stop_if_done()

    def send_again(self, _: object) -> None:
        """Send the next request of a caller."""
        now = reactor.seconds()
        if now < self.end:
            self.send(now).addBoth(self.send_again)
        else:
            self.end = 0
            self.stop_if_done()

    def send(self, planned: float) -> Deferred[None]:
        """Send one request."""
        asked = self.choose_time()
        method = 'POST' if self.sent % 2 else 'GET'
        name = f'{self.plan.seed}-{self.sent}'
        self.sent += 1
        self.open += 1
        uri = f'http://{self.plan.target}?seconds={asked:.4f}&answer={name}'
        headers = Headers({'X-Request-Id': [name]})
        responded: Any = self.agent.request(
            method.encode(), uri.encode(), headers
        )
        responded.addCallback(self.read)
        responded.addErrback(lambda _: (0, '', b''))
        responded.addCallback(self.note, (method, asked, planned, name))
        ended: Deferred[None] = responded
        return ended

    def read(self, response: Any) -> Any:
        """Read the answer."""
        outcome = response.headers.getRawHeaders('X-Jackdawridge-Outcome')
        body: Any = readBody(response)
        text = outcome[0] if outcome else ''
        return body.addCallback(lambda data: (response.code, text, data))

    def note(
        self,
        answer: tuple[int, str, bytes],
        asked: tuple[str, float, float, str],
    ) -> None:
        """Keep what was seen."""
        status, outcome, body = answer
        method, seconds, planned, name = asked
        if status == 200 and body != name.encode():
            status, outcome = -1, 'crossed'
        elapsed = reactor.seconds() - planned
        self.seen.append(Seen(method, seconds, status, outcome, elapsed))
        self.open -= 1
        self.stop_if_done()

    def stop_if_done(self) -> None:
        """End once every request has its answer."""
        if not self.end and not self.open and reactor.running:
            reactor.stop()

    def choose_time(self) -> float:
        """Return the time that a request takes, in seconds."""
        if self.plan.empty:
            return 0
        low, high = self.random.choices(TIMES, SHARES)[0]
        return self.random.uniform(low, high)


def main() -> None:
    """Run the plan that the command line gives as JSON."""
    generator = Generator(Plan(**json.loads(sys.argv[1])))
    reactor.callWhenRunning(generator.start)
    reactor.run()
    print(json.dumps([list(each) for each in generator.seen]))


if __name__ == '__main__':
    main()
