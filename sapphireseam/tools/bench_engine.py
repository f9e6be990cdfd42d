"""Model one engine with its queue and admission, to measure policies.

The engine batches continuously: each step decodes a token for every stream in
its slots and prefills a bounded number of prompt tokens, and takes a time that
grows with both. What exceeds its slots waits inside, first come first served.
It is a measuring aid with made-up speeds, not a simulation of a cluster.
"""

import random
from collections import deque
from typing import NamedTuple

from sapphireseam.policy import admission, dispatch, queue

SLOTS = 32
STEP_SECONDS = 0.010
STREAM_SECONDS = 0.0003
PREFILL_TOKEN_SECONDS = 0.00002
PREFILL_TOKENS = 512

# Batch tickets kept waiting, so that idle capacity always finds work.
BATCH_BACKLOG = 64
ONLINE_DEADLINE_SECONDS = 10.0

# What happens before this is not counted: the limit is still being found.
WARM_UP_SECONDS = 20.0


class Load(NamedTuple):
    """Describe the work that one replica of a deployment gets."""

    customers: int
    prompt_tokens: int
    output_tokens: int
    requests_a_second: float
    burst_factor: float
    burst_share: float


class Request(NamedTuple):
    """Stand for one request: its ticket and its true lengths in tokens."""

    ticket: queue.Ticket
    prompt: int
    output: int


class Result(NamedTuple):
    """Hold one run after its warm-up: waits in seconds, tokens, seconds."""

    first_token_waits: list[float]
    online_tokens: float
    batch_tokens: float
    offered: dict[str, float]
    served: dict[str, float]
    seconds: float


class _Stream:
    def __init__(self, request: Request):
        self.request = request
        self.prefill_left = request.prompt
        self.output_left = request.output
        self.done = 0


class Engine:
    """Run streams step by step."""

    def __init__(self):
        self.waiting: deque[_Stream] = deque()
        self.running: list[_Stream] = []

    def step(self) -> tuple[float, list[_Stream], list[_Stream]]:
        """Return the step's seconds, streams that got a token, those at their end."""
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.popleft())
        budget, decoded = PREFILL_TOKENS, []
        for stream in self.running:
            if stream.prefill_left:
                part = min(stream.prefill_left, budget)
                budget -= part
                stream.prefill_left -= part
                if stream.prefill_left:
                    continue
            stream.output_left -= 1
            stream.done += 1
            decoded.append(stream)
        ended = [each for each in decoded if each.output_left <= 0]
        self.running = [each for each in self.running if each.output_left > 0]
        seconds = STEP_SECONDS + STREAM_SECONDS * len(decoded)
        seconds += PREFILL_TOKEN_SECONDS * (PREFILL_TOKENS - budget)
        return seconds, decoded, ended

    def cancel(self, id: str) -> _Stream:
        """Take a stream out and return it."""
        for place in (self.waiting, self.running):
            for stream in place:
                if stream.request.ticket.id == id:
                    place.remove(stream)
                    return stream
        raise KeyError(id)


def make_request(
    rng: random.Random, load: Load, id: str, customer: str, batch: bool, now: float
) -> Request:
    """Return a request with random lengths around the load's means."""
    prompt = max(int(rng.expovariate(1.0 / load.prompt_tokens)), 8)
    output = max(int(rng.expovariate(1.0 / load.output_tokens)), 1)
    cost = float(prompt + load.output_tokens)
    deadline = now + (1e6 if batch else ONLINE_DEADLINE_SECONDS)
    ticket = queue.Ticket(id, customer, batch, cost, now, deadline)
    return Request(ticket, min(prompt, 4096), min(output, 1024))


def make_arrivals(
    rng: random.Random, load: Load, shares: dict[str, float], seconds: float
) -> list[Request]:
    """Return online requests: Poisson, with bursts of a few seconds."""
    arrivals, now, number = [], 0.0, 0
    names, weights = list(shares), list(shares.values())
    calm = 1.0 - load.burst_share
    while now < seconds:
        in_burst = (now % 20.0) >= 20.0 * calm
        rate = load.requests_a_second * (load.burst_factor if in_burst else 1.0)
        now += rng.expovariate(rate)
        customer = rng.choices(names, weights)[0]
        arrivals.append(make_request(rng, load, f"o{number}", customer, False, now))
        number += 1
    return arrivals


class Server:
    """Run arrivals through queue, admission and engine."""

    def __init__(
        self, line: queue.Queue, bound: admission.Admission, load: Load, seed: int
    ):
        self.line = line
        self.bound = bound
        self.load = load
        self.rng = random.Random(seed + 1)
        self.engine = Engine()
        self.requests: dict[str, Request] = {}
        self.inside: dict[str, _Stream] = {}
        self.resumed: dict[str, int] = {}
        self.due: set[str] = set()
        self.serial = 0

    def run(self, arrivals: list[Request], batch: bool, seconds: float) -> Result:
        """Run for so many seconds; `batch` keeps batch work waiting."""
        now, place, last = 0.0, 0, {}
        latest = seconds - ONLINE_DEADLINE_SECONDS
        waits, tokens = [], {True: 0.0, False: 0.0}
        served: dict[str, float] = {}
        while now < seconds:
            while place < len(arrivals) and arrivals[place].ticket.arrived <= now:
                self.push(arrivals[place], now)
                place += 1
            if batch:
                self.fill_backlog(now)
            self.dispatch(now)
            if not self.engine.running and not self.engine.waiting:
                if place >= len(arrivals):
                    break
                now = arrivals[place].ticket.arrived
                continue
            step, decoded, ended = self.engine.step()
            now += step
            for stream in decoded:
                ticket = stream.request.ticket
                got = 1.0
                if ticket.id in last:
                    self.bound.observe_step(now - last[ticket.id], now)
                else:
                    self.bound.observe_first_token(ticket.id, now)
                    if ticket.id not in self.resumed:
                        got += stream.request.prompt
                    if not ticket.batch and ticket.arrived >= WARM_UP_SECONDS:
                        waits.append(now - ticket.arrived)
                last[ticket.id] = now
                if now >= WARM_UP_SECONDS:
                    tokens[ticket.batch] += got
            for stream in ended:
                ticket = stream.request.ticket
                self.finish(stream, now)
                del last[ticket.id]
                if WARM_UP_SECONDS <= ticket.arrived < latest:
                    cost = stream.request.prompt + stream.request.output
                    name = ticket.customer
                    served[name] = served.get(name, 0.0) + cost
            for id in [each for each in last if each not in self.inside]:
                del last[id]
        offered: dict[str, float] = {}
        for each in arrivals[:place]:
            if not WARM_UP_SECONDS <= each.ticket.arrived < latest:
                continue
            name = each.ticket.customer
            offered[name] = offered.get(name, 0.0) + each.prompt + each.output
        measured = now - WARM_UP_SECONDS
        return Result(waits, tokens[False], tokens[True], offered, served, measured)

    def push(self, request: Request, now: float) -> None:
        """Let a request wait."""
        self.requests[request.ticket.id] = request
        self.line.push(request.ticket, now)

    def fill_backlog(self, now: float) -> None:
        """Keep enough batch tickets waiting."""
        for _ in range(BATCH_BACKLOG - self.line.count(True)):
            self.serial += 1
            id, customer = f"b{self.serial}", f"c{self.serial % 2}"
            self.push(make_request(self.rng, self.load, id, customer, True, now), now)

    def count(self) -> dispatch.StreamCounts:
        """Return how many streams the engine has by kind."""
        batch = sum(1 for each in self.inside.values() if each.request.ticket.batch)
        online = len(self.inside) - batch
        return dispatch.StreamCounts(online, batch - len(self.due), len(self.due))

    def dispatch(self, now: float) -> None:
        """Expire, yield and start as the agent does."""
        for ticket in self.line.expire(now):
            del self.requests[ticket.id]
        running = self.count()
        wanted = self.bound.count_preemptions(
            self.line.count(False), running.online, running.batch
        )
        if wanted:
            self.yield_streams(wanted, now)
        while start := dispatch.choose_start(self.line, self.bound, self.count(), now):
            stream = _Stream(self.requests[start.ticket.id])
            done = self.resumed.get(start.ticket.id, 0)
            stream.prefill_left += done
            stream.output_left -= done
            stream.done = done
            self.inside[start.ticket.id] = stream
            if start.due:
                self.due.add(start.ticket.id)
            self.engine.waiting.append(stream)
            self.bound.observe_start(start.ticket.id, start.ticket.batch, now)

    def yield_streams(self, wanted: int, now: float) -> None:
        """Pause batch streams; each resumes later and prefills what it had."""
        batch = [
            (each.request.ticket, float(each.done))
            for id, each in self.inside.items()
            if each.request.ticket.batch and id not in self.due
        ]
        for ticket in dispatch.choose_preempted(batch, wanted):
            stream = self.engine.cancel(ticket.id)
            del self.inside[ticket.id]
            self.bound.observe_end(ticket.id, now)
            if stream.done:
                self.resumed[ticket.id] = stream.done
            self.line.push(ticket, now)

    def finish(self, stream: _Stream, now: float) -> None:
        """Account for a stream at its end."""
        ticket = stream.request.ticket
        del self.inside[ticket.id], self.requests[ticket.id]
        self.due.discard(ticket.id)
        self.resumed.pop(ticket.id, None)
        self.bound.observe_end(ticket.id, now)
        cost = float(stream.request.prompt + stream.request.output)
        self.line.correct_cost(ticket, cost, now)
