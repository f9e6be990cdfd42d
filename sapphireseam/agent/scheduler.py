"""Decide what runs at the upstream now: the last queue before the engine.

The engine admits what arrives and knows no priorities, so its own queue is
kept near empty: work waits here, in the order of the policy's queue, until
the policy's admission lets it start. Online work goes first, and batch work
that runs makes room at once.

A request that is suspected of crashing upstreams runs with nothing beside it,
and one found to be quarantined doesn't run. Both are looked up again right before the
start, since other copies of it may have crashed an upstream while it waited.
An online suspect holds back what comes after it until the upstream is idle; a
batch suspect waits until no online work is there, and yields to it.
"""

import asyncio
import logging
from typing import NamedTuple, Protocol

from sapphireseam.core import error
from sapphireseam.policy import admission, dispatch, queue
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often waiting work is checked against its deadline.
EXPIRE_SECONDS = 0.1
# A batch item's prompt is taken to be prefilled after this long.
PREFILL_SECONDS = 0.05
# How long after its deadline running work may still be revoked by its entry.
OVERDUE_SECONDS = 5.0
# How often a stop looks whether all has ended.
IDLE_SECONDS = 0.05


class Completion(NamedTuple):
    """Say what a work cost in tokens and whether its answer came whole."""

    cost: float
    answered: bool


class Work(Protocol):
    """Run one request or item once its turn has come."""

    ticket: queue.Ticket
    alone: bool
    fingerprint: str

    async def run(self) -> Completion:
        """Do the work."""

    def refuse(self, failure: error.SeamError) -> None:
        """Learn that it won't be run."""

    def is_preemptible(self) -> bool:
        """Tell whether the work may be cancelled and run again later."""


class Verdicts(Protocol):
    """Know which requests crash upstreams."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request must run alone."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must not run."""

    def clear_suspect(self, fingerprint: str) -> None:
        """Note that a suspect was answered while it ran alone."""


class _Running(NamedTuple):
    work: Work
    task: asyncio.Task
    due: bool
    alone: bool
    started: float


class Scheduler:
    """Start, count and cancel the work of one upstream."""

    def __init__(
        self,
        line: queue.Queue,
        bound: admission.Admission,
        verdicts: Verdicts,
        timer: TimerService,
    ):
        self._line = line
        self._bound = bound
        self._verdicts = verdicts
        self._timer = timer
        self._waiting: dict[str, Work] = {}
        self._suspects: list[Work] = []
        self._running: dict[str, _Running] = {}
        # How many of them are batch work, and how many were started as due.
        # Counting them anew at each start and end took most of its time.
        self._running_batch = 0
        self._running_due = 0
        self._yielding: set[str] = set()
        self._removed: set[str] = set()
        self._tasks = TaskGroup()
        self._refusal = ""
        self._is_final = False
        self._stopped = False
        self.slots = 1
        self.queue_limit = 1
        # A plain service answers without tokens.
        self.is_service = False

    async def start(self) -> None:
        """Begin to watch deadlines."""
        self._tasks.spawn(run_periodically(self._timer, EXPIRE_SECONDS, self._expire))

    async def stop(self) -> None:
        """Cancel whatever still runs."""
        self._stopped = True
        await self._tasks.cancel()

    @property
    def draining(self) -> bool:
        """Tell whether new work is refused."""
        return bool(self._refusal)

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
        if batch:
            return self._running_batch
        return len(self._running) - self._running_batch

    def count_waiting(self, batch: bool) -> int:
        """Return how many works of one kind wait."""
        return self._line.count(batch) + len(self._list_suspects(batch))

    def _list_online(self) -> list[_Running]:
        return [r for r in self._running.values() if not r.work.ticket.batch]

    def _list_suspects(self, batch: bool) -> list[Work]:
        return [work for work in self._suspects if work.ticket.batch == batch]

    def list_running(self) -> frozenset[str]:
        """Return the ids of what runs now."""
        return frozenset(self._running)

    def submit(self, work: Work) -> None:
        """Let work wait for its turn, or refuse it at once."""
        if self._refusal:
            work.refuse(error.CapacityError(self._refusal, error.Kind.SHUTTING_DOWN))
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
        """Take out work that waits, or cancel work that runs, for good."""
        if self._line.remove(work_id):
            self._waiting.pop(work_id, None)
            return True
        for work in self._suspects:
            if work.ticket.id == work_id:
                self._suspects.remove(work)
                return True
        running = self._running.get(work_id)
        if running is not None:
            self._removed.add(work_id)
            running.task.cancel()
        return False

    def refuse_all(self, text: str, final: bool = False) -> None:
        """Refuse what waits and what comes, truthfully, until `accept_again`.

        After a `final` refusal nothing is accepted again.
        """
        self._refusal = text
        self._is_final = self._is_final or final
        failure = error.CapacityError(text, error.Kind.SHUTTING_DOWN)
        waiting = [*self._waiting.values(), *self._suspects]
        self._waiting.clear()
        self._suspects.clear()
        for work in waiting:
            self._line.remove(work.ticket.id)
            work.refuse(failure)

    def accept_again(self) -> None:
        """Take new work again."""
        if not self._is_final:
            self._refusal = ""

    def preempt_batch(self) -> None:
        """Cancel the batch work that may run again elsewhere."""
        for name, running in self._running.items():
            if running.work.is_preemptible():
                self._cancel_for_now(name)

    def _cancel_for_now(self, name: str) -> None:
        if name not in self._yielding:
            self._yielding.add(name)
            self._running[name].task.cancel()

    def pump(self) -> None:
        """Start whatever may start now and make batch work yield."""
        if self._stopped:
            return
        if self._is_isolating() or self._start_online_suspect():
            return
        now = self._timer.read_clock()
        while len(self._running) < self.slots:
            if self._hold_batch():
                break
            start = dispatch.choose_start(self._line, self._bound, self._tally(), now)
            if start is None:
                break
            self._try_begin(self._waiting.pop(start.ticket.id), start.due)
            if self._list_suspects(False):
                return self.pump()
        self._make_room()

    def _is_isolating(self) -> bool:
        """Tell whether something runs alone; batch work yields even then."""
        for name, running in self._running.items():
            if running.alone:
                if self.count_waiting(False) and running.work.is_preemptible():
                    self._cancel_for_now(name)
                return True
        return False

    def _start_online_suspect(self) -> bool:
        """Hold everything back while an online suspect waits for its turn."""
        suspects = self._list_suspects(False)
        if not suspects:
            return False
        if self._running:
            self.preempt_batch()
        else:
            self._suspects.remove(suspects[0])
            self._begin(suspects[0], due=False, alone=True)
        return True

    def _hold_batch(self) -> bool:
        """Start a batch suspect once nothing runs; hold other batch work back."""
        suspects = self._list_suspects(True)
        if not suspects or self._line.count(False):
            return False
        if not self._running:
            self._suspects.remove(suspects[0])
            self._begin(suspects[0], due=False, alone=True)
        return True

    def _tally(self) -> dispatch.Running:
        online = self.count_running(False)
        due = self._running_due
        return dispatch.Running(online, len(self._running) - online - due, due)

    def _make_room(self) -> None:
        waiting = self._line.count(False)
        tally = self._tally()
        count = self._bound.count_preemptions(waiting, tally.online, tally.batch)
        if not count:
            return
        now = self._timer.read_clock()
        started = [
            (running.work.ticket, now - running.started)
            for name, running in self._running.items()
            if running.work.is_preemptible()
            and not running.due
            and name not in self._yielding | self._removed
        ]
        for ticket in dispatch.choose_preempted(started, count - len(self._yielding)):
            self._cancel_for_now(ticket.id)

    def _try_begin(self, work: Work, due: bool) -> None:
        """Begin a work by what is known of it now."""
        if self._verdicts.is_suspect(work.fingerprint):
            self._suspects.append(work)
        else:
            self._begin(work, due, alone=False)

    def _begin(self, work: Work, due: bool, alone: bool) -> None:
        if self._verdicts.is_quarantined(work.fingerprint):
            text = "this request crashed the upstreams that ran it"
            work.refuse(error.RequestError(text, error.Kind.REQUEST_QUARANTINED))
            return
        now = self._timer.read_clock()
        name = work.ticket.id
        self._bound.observe_start(name, work.ticket.batch, now)
        task = self._tasks.spawn(work.run())
        self._running[name] = _Running(work, task, due, alone, now)
        self._running_batch += work.ticket.batch
        self._running_due += due
        if work.ticket.batch:
            self._tasks.spawn(self._assume_prefilled(name))
        # A callback runs even if the task is cancelled before its first step.
        task.add_done_callback(lambda task: self._end(name, task))

    def _end(self, name: str, task: asyncio.Task) -> None:
        """Settle a work that has ended, and go on with the next."""
        running = self._running.pop(name)
        work = running.work
        self._running_batch -= work.ticket.batch
        self._running_due -= running.due
        is_removed = name in self._removed
        yielded = name in self._yielding and task.cancelled() and not is_removed
        self._yielding.discard(name)
        self._removed.discard(name)
        ended = Completion(work.ticket.cost, False)
        if not task.cancelled() and task.exception() is None:
            ended = task.result()
        now = self._timer.read_clock()
        self._bound.observe_end(name, now)
        self._line.correct_cost(work.ticket, ended.cost, now)
        if running.alone and ended.answered:
            self._verdicts.clear_suspect(work.fingerprint)
        if yielded and not self._stopped:
            self.submit(work)
        self.pump()

    async def _assume_prefilled(self, name: str) -> None:
        """Let the next batch work start: an item's answer comes whole."""
        await self._timer.sleep(PREFILL_SECONDS)
        self._bound.assume_prefilled(name)
        self.pump()

    def observe_step(self, seconds: float) -> None:
        """Tell the admission the time between two tokens of a stream."""
        self._bound.observe_step(seconds, self._timer.read_clock())

    def observe_first_token(self, work: Work) -> None:
        """Tell the admission that a request's answer has begun."""
        self._bound.observe_first_token(work.ticket.id, self._timer.read_clock())

    async def _expire(self) -> None:
        """Give work that can't make its deadline its final answer at once."""
        now = self._timer.read_clock()
        late = [self._waiting.pop(ticket.id) for ticket in self._line.expire(now)]
        for work in self._list_suspects(False):
            if work.ticket.deadline <= now:
                self._suspects.remove(work)
                late.append(work)
        for work in late:
            text = "the deadline would pass before the request's turn"
            kind = error.Kind.DEADLINE_EXCEEDED
            work.refuse(error.CapacityError(text, kind, not_run=True))
        self._cancel_overdue(now)
        self.pump()

    def _cancel_overdue(self, now: float) -> None:
        """End online work that its entry should have revoked at the deadline.

        An entry that was lost without a word, or is frozen, revokes nothing.
        """
        for running in self._list_online():
            ticket = running.work.ticket
            if now > ticket.deadline + OVERDUE_SECONDS:
                self.remove(ticket.id)

    async def wait_idle(self, seconds: float) -> None:
        """Return once nothing runs, or after so many seconds.

        Online work that runs has until its own deadline in any case.
        """
        ends = [r.work.ticket.deadline for r in self._list_online()]
        end = max([self._timer.read_clock() + seconds, *ends])
        while self._running and self._timer.read_clock() < end:
            await self._timer.sleep(IDLE_SECONDS)
