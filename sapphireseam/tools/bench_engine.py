"""Simulates one engine with its queue and admission limit, to compare policies.

The engine batches continuously. Each step decodes one token for every stream in
a slot and prefills a bounded number of prompt tokens; its duration grows with
both. Streams beyond the slots wait inside the engine, first come first served.
The speeds are made up and no network or cluster is simulated, so the figures
only compare policies with one another.
"""

import random
from collections import deque
from typing import NamedTuple

from sapphireseam.policy import admission, dispatch, queue

SLOTS = 32
STEP_SECONDS = 0.010
STEP_SECONDS_PER_STREAM = 0.0003
SECONDS_PER_PREFILL_TOKEN = 0.00002
PREFILL_TOKENS_PER_STEP = 512

# Batch tickets kept in the queue, so that idle capacity always has work.
BATCH_BACKLOG = 64
ONLINE_DEADLINE_SECONDS = 10.0

# Excluded from the results, because the adaptive limit has not converged yet.
WARM_UP_SECONDS = 20.0


class Load(NamedTuple):
    """The request load of one replica in a deployment."""

    customers: int
    prompt_tokens: int
    output_tokens: int
    requests_a_second: float
    burst_factor: float
    burst_share: float


class Request(NamedTuple):
    """A request: its queue ticket and its actual lengths in tokens."""

    ticket: queue.Ticket
    prompt: int
    output: int


class Result(NamedTuple):
    """The measures of one run after its warm-up.

    The waits are in seconds. `offered` and `served` are tokens by customer;
    `seconds` is the measured time.
    """

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
        self.output_done = 0


class Engine:
    """A simulated engine that advances its streams step by step."""

    def __init__(self):
        self.waiting: deque[_Stream] = deque()
        self.running: list[_Stream] = []

    def step(self) -> tuple[float, list[_Stream], list[_Stream]]:
        """Run one step; return its seconds and the decoded and the ended streams."""
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.popleft())
        budget, decoded = PREFILL_TOKENS_PER_STEP, []
        for stream in self.running:
            if stream.prefill_left:
                part = min(stream.prefill_left, budget)
                budget -= part
                stream.prefill_left -= part
                if stream.prefill_left:
                    continue
            stream.output_left -= 1
            stream.output_done += 1
            decoded.append(stream)
        ended = [each for each in decoded if each.output_left <= 0]
        self.running = [each for each in self.running if each.output_left > 0]
        seconds = STEP_SECONDS + STEP_SECONDS_PER_STREAM * len(decoded)
        seconds += SECONDS_PER_PREFILL_TOKEN * (PREFILL_TOKENS_PER_STEP - budget)
        return seconds, decoded, ended

    def cancel(self, id: str) -> _Stream:
        """Remove a stream and return it."""
        for streams in (self.waiting, self.running):
            for stream in streams:
                if stream.request.ticket.id == id:
                    streams.remove(stream)
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
    """Return online requests with Poisson arrivals and bursts of a few seconds."""
    arrivals, now, number = [], 0.0, 0
    names, weights = list(shares), list(shares.values())
    steady_share = 1.0 - load.burst_share
    while now < seconds:
        in_burst = (now % 20.0) >= 20.0 * steady_share
        rate = load.requests_a_second * (load.burst_factor if in_burst else 1.0)
        now += rng.expovariate(rate)
        customer = rng.choices(names, weights)[0]
        arrivals.append(make_request(rng, load, f"o{number}", customer, False, now))
        number += 1
    return arrivals


class Simulation:
    """Simulates requests in the queue, under the admission limit and in the engine."""

    def __init__(
        self, waiting: queue.Queue, limit: admission.Admission, load: Load, seed: int
    ):
        self.queue = waiting
        self.limit = limit
        self.load = load
        self.rng = random.Random(seed + 1)
        self.engine = Engine()
        self.requests: dict[str, Request] = {}
        self.streams: dict[str, _Stream] = {}
        self.resumed_from: dict[str, int] = {}
        self.due_ids: set[str] = set()
        self.batch_count = 0

    def run(self, arrivals: list[Request], batch: bool, seconds: float) -> Result:
        """Simulate `seconds` seconds; `batch` keeps batch work in the queue."""
        now, next_arrival, last_token = 0.0, 0, {}
        latest_arrival = seconds - ONLINE_DEADLINE_SECONDS
        waits, tokens = [], {True: 0.0, False: 0.0}
        served: dict[str, float] = {}
        while now < seconds:
            while (
                next_arrival < len(arrivals)
                and arrivals[next_arrival].ticket.arrived <= now
            ):
                self.push(arrivals[next_arrival], now)
                next_arrival += 1
            if batch:
                self.fill_backlog(now)
            self.dispatch(now)
            if not self.engine.running and not self.engine.waiting:
                if next_arrival >= len(arrivals):
                    break
                now = arrivals[next_arrival].ticket.arrived
                continue
            step, decoded, ended = self.engine.step()
            now += step
            for stream in decoded:
                ticket = stream.request.ticket
                count = 1.0
                if ticket.id in last_token:
                    self.limit.observe_step(now - last_token[ticket.id], now)
                else:
                    self.limit.observe_first_token(ticket.id, now)
                    if ticket.id not in self.resumed_from:
                        count += stream.request.prompt
                    if not ticket.batch and ticket.arrived >= WARM_UP_SECONDS:
                        waits.append(now - ticket.arrived)
                last_token[ticket.id] = now
                if now >= WARM_UP_SECONDS:
                    tokens[ticket.batch] += count
            for stream in ended:
                ticket = stream.request.ticket
                self.finish(stream, now)
                del last_token[ticket.id]
                if WARM_UP_SECONDS <= ticket.arrived < latest_arrival:
                    cost = stream.request.prompt + stream.request.output
                    name = ticket.customer
                    served[name] = served.get(name, 0.0) + cost
            for id in [each for each in last_token if each not in self.streams]:
                del last_token[id]
        offered: dict[str, float] = {}
        for each in arrivals[:next_arrival]:
            if not WARM_UP_SECONDS <= each.ticket.arrived < latest_arrival:
                continue
            name = each.ticket.customer
            offered[name] = offered.get(name, 0.0) + each.prompt + each.output
        measured = now - WARM_UP_SECONDS
        return Result(waits, tokens[False], tokens[True], offered, served, measured)

    def push(self, request: Request, now: float) -> None:
        """Add a request to the queue."""
        self.requests[request.ticket.id] = request
        self.queue.push(request.ticket, now)

    def fill_backlog(self, now: float) -> None:
        """Add batch tickets until the queue holds the backlog."""
        for _ in range(BATCH_BACKLOG - self.queue.count(True)):
            self.batch_count += 1
            id, customer = f"b{self.batch_count}", f"c{self.batch_count % 2}"
            self.push(make_request(self.rng, self.load, id, customer, True, now), now)

    def count_streams(self) -> dispatch.StreamCounts:
        """Return the number of streams in the engine by kind."""
        batch = sum(1 for each in self.streams.values() if each.request.ticket.batch)
        online = len(self.streams) - batch
        return dispatch.StreamCounts(
            online, batch - len(self.due_ids), len(self.due_ids)
        )

    def dispatch(self, now: float) -> None:
        """Expire, preempt and start requests with the agent's rules."""
        for ticket in self.queue.expire(now):
            del self.requests[ticket.id]
        running = self.count_streams()
        wanted = self.limit.count_preemptions(
            self.queue.count(False), running.online, running.batch
        )
        if wanted:
            self.preempt_streams(wanted, now)
        while start := dispatch.choose_start(
            self.queue, self.limit, self.count_streams(), now
        ):
            stream = _Stream(self.requests[start.ticket.id])
            output_done = self.resumed_from.get(start.ticket.id, 0)
            stream.prefill_left += output_done
            stream.output_left -= output_done
            stream.output_done = output_done
            self.streams[start.ticket.id] = stream
            if start.due:
                self.due_ids.add(start.ticket.id)
            self.engine.waiting.append(stream)
            self.limit.observe_start(start.ticket.id, start.ticket.batch, now)

    def preempt_streams(self, wanted: int, now: float) -> None:
        """Preempt batch streams.

        A preempted stream resumes later and prefills its earlier output again.
        """
        batch = [
            (each.request.ticket, float(each.output_done))
            for id, each in self.streams.items()
            if each.request.ticket.batch and id not in self.due_ids
        ]
        for ticket in dispatch.choose_preempted(batch, wanted):
            stream = self.engine.cancel(ticket.id)
            del self.streams[ticket.id]
            self.limit.observe_end(ticket.id, now)
            if stream.output_done:
                self.resumed_from[ticket.id] = stream.output_done
            self.queue.push(ticket, now)

    def finish(self, stream: _Stream, now: float) -> None:
        """Remove an ended stream and correct the cost of its request."""
        ticket = stream.request.ticket
        del self.streams[ticket.id], self.requests[ticket.id]
        self.due_ids.discard(ticket.id)
        self.resumed_from.pop(ticket.id, None)
        self.limit.observe_end(ticket.id, now)
        cost = float(stream.request.prompt + stream.request.output)
        self.queue.correct_cost(ticket, cost, now)
