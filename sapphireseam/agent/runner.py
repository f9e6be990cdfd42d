"""Decide what runs at the upstream now: the last queue before the engine.

The engine admits what arrives and knows no priorities, so its own queue is
kept near empty: work waits here, in the order of the policy's queue, until
the policy's admission lets it start. Online work goes first, and batch work
that runs makes room at once. Work that is suspected of crashing upstreams
runs with nothing beside it.
"""

import asyncio
import logging
from collections import deque
from typing import NamedTuple, Protocol

from sapphireseam.core import error
from sapphireseam.policy import admission, dispatch, queue
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often waiting work is checked against its deadline.
EXPIRE_SECONDS = 0.1


class Work(Protocol):
    """Run one request or item once its turn has come."""

    ticket: queue.Ticket
    alone: bool
    fingerprint: str

    async def run(self) -> float:
        """Do the work and return what it cost in tokens."""

    def refuse(self, failure: error.SeamError) -> None:
        """Learn that it won't be run."""

    def may_yield(self) -> bool:
        """Tell whether the work may be cancelled and run again later."""


class _Running(NamedTuple):
    work: Work
    task: asyncio.Task
    due: bool
    started: float


class Runner:
    """Start, count and cancel the work of one upstream."""

    def __init__(
        self,
        line: queue.Queue,
        bound: admission.Admission,
        timer: TimerService,
    ):
        self._line = line
        self._bound = bound
        self._timer = timer
        self._waiting: dict[str, Work] = {}
        self._suspects: deque[Work] = deque()
        self._running: dict[str, _Running] = {}
        self._yielding: set[str] = set()
        self._tasks = TaskGroup()
        self.slots = 1
        self.queue_limit = 1
        self.draining = False

    async def start(self) -> None:
        """Begin to watch deadlines."""
        self._tasks.spawn(run_periodically(self._timer, EXPIRE_SECONDS, self._expire))

    async def stop(self) -> None:
        """Cancel whatever still runs."""
        await self._tasks.cancel()

    def set_policy(self, line: queue.Queue, bound: admission.Admission) -> None:
        """Go on with another queue and admission, keeping what waits."""
        now = self._timer.read_clock()
        for work in self._waiting.values():
            line.push(work.ticket, now)
        self._line = line
        self._bound = bound
        self.pump()

    def count_running(self, batch: bool | None = None) -> int:
        """Return how many works run, of one kind or of both."""
        if batch is None:
            return len(self._running)
        return sum(r.work.ticket.batch == batch for r in self._running.values())

    def count_waiting(self, batch: bool) -> int:
        """Return how many works of one kind wait."""
        suspects = sum(work.ticket.batch == batch for work in self._suspects)
        return self._line.count(batch) + suspects

    def list_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of what runs now."""
        return tuple(r.work.fingerprint for r in self._running.values())

    def submit(self, work: Work) -> None:
        """Let work wait for its turn, or refuse it at once."""
        if self.draining:
            text = "the upstream's agent is shutting down"
            work.refuse(error.CapacityError(text, error.Kind.SHUTTING_DOWN))
            return
        if not work.ticket.batch and self.count_waiting(False) >= self.queue_limit:
            work.refuse(error.CapacityError("the upstream's queue is full"))
            return
        if work.alone:
            self._suspects.append(work)
        else:
            self._waiting[work.ticket.id] = work
            self._line.push(work.ticket, self._timer.read_clock())
        self.pump()

    def remove(self, work_id: str) -> bool:
        """Take out work that waits, or cancel work that runs."""
        if self._line.remove(work_id):
            self._waiting.pop(work_id, None)
            return True
        for work in self._suspects:
            if work.ticket.id == work_id:
                self._suspects.remove(work)
                return True
        running = self._running.get(work_id)
        if running is not None:
            running.task.cancel()
        return False

    def refuse_waiting(self) -> None:
        """Refuse all that waits, truthfully, for a graceful stop."""
        self.draining = True
        failure = error.CapacityError(
            "the upstream's agent is shutting down", error.Kind.SHUTTING_DOWN
        )
        for work in [*self._waiting.values(), *self._suspects]:
            self._line.remove(work.ticket.id)
            work.refuse(failure)
        self._waiting.clear()
        self._suspects.clear()

    def pump(self) -> None:
        """Start whatever may start now and make batch work yield."""
        if any(running.work.alone for running in self._running.values()):
            return
        if self._suspects:
            if not self._running:
                self._begin(self._suspects.popleft(), False)
            return
        now = self._timer.read_clock()
        while len(self._running) < self.slots:
            start = dispatch.choose_start(self._line, self._bound, self._tally(), now)
            if start is None:
                break
            self._begin(self._waiting.pop(start.ticket.id), start.due)
        self._make_room()

    def _tally(self) -> dispatch.Running:
        online = self.count_running(False)
        due = sum(running.due for running in self._running.values())
        return dispatch.Running(online, len(self._running) - online - due, due)

    def _make_room(self) -> None:
        waiting = self._line.count(False)
        tally = self._tally()
        count = self._bound.must_yield(waiting, tally.online, tally.batch)
        if not count:
            return
        now = self._timer.read_clock()
        started = [
            (running.work.ticket, now - running.started)
            for name, running in self._running.items()
            if running.work.may_yield()
            and not running.due
            and name not in self._yielding
        ]
        for ticket in dispatch.choose_yield(started, count - len(self._yielding)):
            self._yielding.add(ticket.id)
            self._running[ticket.id].task.cancel()

    def _begin(self, work: Work, due: bool) -> None:
        now = self._timer.read_clock()
        name = work.ticket.id
        self._bound.observe_start(name, work.ticket.batch, now)
        task = self._tasks.spawn(self._run(work))
        self._running[name] = _Running(work, task, due, now)

    async def _run(self, work: Work) -> None:
        name = work.ticket.id
        cost = work.ticket.cost
        yielded = False
        try:
            cost = await work.run()
        except asyncio.CancelledError:
            yielded = name in self._yielding
            if not yielded:
                raise
        finally:
            self._yielding.discard(name)
            self._running.pop(name, None)
            now = self._timer.read_clock()
            self._bound.observe_end(name, now)
            self._line.settle(work.ticket, cost, now)
            if not yielded:
                self.pump()
        if yielded:
            self.submit(work)

    def observe_first_token(self, work: Work) -> None:
        """Tell the admission that a request's answer has begun."""
        self._bound.observe_first_token(work.ticket.id, self._timer.read_clock())

    async def _expire(self) -> None:
        """Give work that can't make its deadline its final answer at once."""
        now = self._timer.read_clock()
        for ticket in self._line.expire(now):
            work = self._waiting.pop(ticket.id)
            text = "the deadline would pass before the request's turn"
            work.refuse(
                error.CapacityError(text, error.Kind.DEADLINE_EXCEEDED, not_run=True)
            )
        self.pump()

    async def wait_idle(self, seconds: float) -> None:
        """Return once nothing runs, or after so many seconds."""
        end = self._timer.read_clock() + seconds
        while self._running and self._timer.read_clock() < end:
            await self._timer.sleep(0.05)
