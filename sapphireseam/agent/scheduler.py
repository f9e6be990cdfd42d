"""Schedules online and batch work at one upstream.

The scheduler holds the last queue before the engine. The engine admits every
request that arrives and has no priorities, so its own queue is kept nearly
empty. Work waits here, in the order of the policy's queue, until the policy's
admission lets it start. Online work goes first. If the admission policy requires
it, running batch work is preempted at once.

The trial of a request that is suspected of crashing upstreams runs alone. While it
waits, no other work starts and running batch work is preempted. The trial starts once
the upstream is idle. The verdicts are checked again right before a start, because
another request with the same traits may have crashed an upstream in the meantime: a
quarantined request is refused, and a suspect without a trial, too. A batch item is
never suspected: it is owed to its job, however many upstreams crashed while it ran.

While the upstream names a ceiling, work starts no faster than that, online work before
batch work. Online work that would wait for it too long is refused at once, so that
another upstream can take it.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from sapphireseam.core import error, verdict
from sapphireseam.policy import admission, dispatch, queue
from sapphireseam.policy.ceiling import CeilingBucket
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# Interval of the check for work past its deadline.
EXPIRE_SECONDS = 0.1
# A batch item's prompt is assumed to be prefilled after this time.
PREFILL_SECONDS = 0.05
# Time after the deadline in which the entry can still revoke running work. The
# agent cancels the work after that.
OVERDUE_SECONDS = 5.0
# Online work is refused if it would wait longer for the upstream's ceiling.
CEILING_WAIT_SECONDS = 0.3
# Polling interval of a stop that waits for running work.
IDLE_SECONDS = 0.05


class Completion(NamedTuple):
    """The cost of ended work in tokens and whether its answer was complete."""

    cost: float
    answered: bool


class Work(Protocol):
    """Run one online request or batch item when the scheduler starts it."""

    ticket: queue.Ticket
    alone: bool
    traits: tuple[str, ...]

    async def run(self) -> Completion:
        """Run the request or item and return its cost."""

    def refuse(self, failure: error.SeamError) -> None:
        """Report that the work will not run."""

    def is_preemptible(self) -> bool:
        """Return whether the work can be cancelled and run again later."""


class VerdictSource(Protocol):
    """Holds the verdicts on traits of requests under which upstreams crashed."""

    verdicts: Mapping[str, verdict.Verdict]


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
        work_queue: queue.Queue,
        admission_policy: admission.Admission,
        verdict_source: VerdictSource,
        timer: TimerService,
    ):
        self._queue = work_queue
        self._admission = admission_policy
        self._verdict_source = verdict_source
        self._timer = timer
        self._waiting: dict[str, Work] = {}
        self._waiting_trials: list[Work] = []
        self._running: dict[str, _Running] = {}
        # Numbers of running batch items and of running items that were started as
        # due. Counting both again at every start and end took most of the
        # scheduler's time.
        self._running_batch = 0
        self._running_due = 0
        self._preempted: set[str] = set()
        self._removed: set[str] = set()
        self._tasks = TaskGroup()
        self._refusal = ""
        self._is_final = False
        self._stopped = False
        self.slots = 1
        self.queue_limit = 1
        # Returns the requests per second that the upstream takes, 0 for no limit.
        self.find_ceiling: Callable[[], float] = lambda: 0.0
        self._ceiling: CeilingBucket | None = None
        # Whether the upstream is a plain service, whose answers have no tokens.
        self.is_service = False

    async def start(self) -> None:
        """Start the check of deadlines."""
        self._tasks.spawn(run_periodically(self._timer, EXPIRE_SECONDS, self._expire))

    async def stop(self) -> None:
        """Cancel all running work."""
        self._stopped = True
        await self._tasks.cancel()

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return bool(self._refusal)

    def set_policy(
        self, work_queue: queue.Queue, admission_policy: admission.Admission
    ) -> None:
        """Replace the queue and the admission; waiting work stays queued."""
        now = self._timer.read_clock()
        for work in self._waiting.values():
            work_queue.push(work.ticket, now)
        self._queue = work_queue
        self._admission = admission_policy
        self.schedule()

    def count_running(self, batch: bool | None = None) -> int:
        """Return the number of running requests and items, of one kind or both."""
        if batch is None:
            return len(self._running)
        if batch:
            return self._running_batch
        return len(self._running) - self._running_batch

    def count_waiting(self, batch: bool) -> int:
        """Return the number of waiting requests or waiting items."""
        trials = 0 if batch else len(self._waiting_trials)
        return self._queue.count(batch) + trials

    def _list_running_online(self) -> list[_Running]:
        return [r for r in self._running.values() if not r.work.ticket.batch]

    def list_running(self) -> frozenset[str]:
        """Return the ids of the running work."""
        return frozenset(self._running)

    def submit(self, work: Work) -> None:
        """Queue work, or refuse it at once."""
        if self._refusal:
            work.refuse(error.CapacityError(self._refusal, error.Kind.SHUTTING_DOWN))
            return
        if not work.ticket.batch and self.count_waiting(False) >= self.queue_limit:
            work.refuse(error.CapacityError("the upstream's queue is full"))
            return
        wait = 0.0 if work.ticket.batch else self._estimate_ceiling_wait()
        if wait > CEILING_WAIT_SECONDS:
            text = "the upstream takes no more requests now"
            work.refuse(error.CapacityError(text, retry_after=wait))
            return
        if work.alone:
            self._waiting_trials.append(work)
        else:
            self._waiting[work.ticket.id] = work
            self._queue.push(work.ticket, self._timer.read_clock())
        self.schedule()

    def _update_ceiling(self) -> CeilingBucket | None:
        """Return the bucket of the upstream's ceiling, None if it names none."""
        rate, now = self.find_ceiling(), self._timer.read_clock()
        if not rate:
            self._ceiling = None
        elif self._ceiling is None:
            self._ceiling = CeilingBucket(rate, now)
        else:
            self._ceiling.configure(rate, now)
        return self._ceiling

    def _estimate_ceiling_wait(self) -> float:
        """Return the seconds until more online work may start under the ceiling."""
        ceiling = self._update_ceiling()
        if ceiling is None:
            return 0.0
        return ceiling.compute_wait(self._timer.read_clock(), self.count_waiting(False))

    def _can_start(self, is_batch: bool) -> bool:
        """Return whether the upstream's ceiling allows one more start now."""
        ceiling = self._update_ceiling()
        return ceiling is None or ceiling.can_take(self._timer.read_clock(), is_batch)

    def remove(self, work_id: str) -> bool:
        """Remove waiting work from the queue, or cancel running work for good.

        Return whether the work was waiting.
        """
        if self._queue.remove(work_id):
            self._waiting.pop(work_id, None)
            return True
        for work in self._waiting_trials:
            if work.ticket.id == work_id:
                self._waiting_trials.remove(work)
                return True
        running = self._running.get(work_id)
        if running is not None:
            self._removed.add(work_id)
            running.task.cancel()
        return False

    def refuse_all(self, text: str, final: bool = False) -> None:
        """Refuse waiting and new work, as not run, until `accept_again`.

        After a `final` refusal no work is accepted again.
        """
        self._refusal = text
        self._is_final = self._is_final or final
        failure = error.CapacityError(text, error.Kind.SHUTTING_DOWN)
        waiting = [*self._waiting.values(), *self._waiting_trials]
        self._waiting.clear()
        self._waiting_trials.clear()
        for work in waiting:
            self._queue.remove(work.ticket.id)
            work.refuse(failure)

    def accept_again(self) -> None:
        """Accept new work again, unless the refusal is final."""
        if not self._is_final:
            self._refusal = ""

    def preempt_batch(self) -> None:
        """Cancel the batch work that can run again elsewhere."""
        for work_id, running in self._running.items():
            if running.work.is_preemptible():
                self._preempt(work_id)

    def _preempt(self, work_id: str) -> None:
        if work_id not in self._preempted:
            self._preempted.add(work_id)
            self._running[work_id].task.cancel()

    def schedule(self) -> None:
        """Start the work that may start now; preempt batch work for waiting work."""
        if self._stopped:
            return
        if self._is_trial_running() or self._start_trial():
            return
        now = self._timer.read_clock()
        while len(self._running) < self.slots:
            if not self._can_start(is_batch=self._queue.count(False) == 0):
                return
            start = dispatch.choose_start(
                self._queue, self._admission, self._count_by_kind(), now
            )
            if start is None:
                break
            work = self._waiting.pop(start.ticket.id)
            self._start_work(work, start.due, alone=False)
        self._preempt_for_online()

    def _is_trial_running(self) -> bool:
        """Return whether a trial runs."""
        return any(running.alone for running in self._running.values())

    def _start_trial(self) -> bool:
        """Start a waiting trial once the upstream is idle.

        Return whether all other work must wait for it.
        """
        if not self._waiting_trials:
            return False
        if self._running:
            self.preempt_batch()
        elif self._can_start(is_batch=False):
            self._start_work(self._waiting_trials.pop(0), due=False, alone=True)
        return True

    def _count_by_kind(self) -> dispatch.StreamCounts:
        online = self.count_running(False)
        due = self._running_due
        return dispatch.StreamCounts(online, len(self._running) - online - due, due)

    def _preempt_for_online(self) -> None:
        waiting = self._queue.count(False)
        counts = self._count_by_kind()
        count = self._admission.count_preemptions(waiting, counts.online, counts.batch)
        if not count:
            return
        now = self._timer.read_clock()
        started = [
            (running.work.ticket, now - running.started)
            for work_id, running in self._running.items()
            if running.work.is_preemptible()
            and not running.due
            and work_id not in self._preempted | self._removed
        ]
        for ticket in dispatch.choose_preempted(started, count - len(self._preempted)):
            self._preempt(ticket.id)

    def _find_refusal(self, work: Work, alone: bool) -> error.SeamError | None:
        """Return why online work must not start by the verdicts known now, or None."""
        now = self._timer.read_wall_clock()
        verdicts = self._verdict_source.verdicts
        cause = verdict.find_cause(verdicts, work.traits, now)
        if cause is not None:
            text = "upstreams crashed under requests like this one"
            kind = error.Kind.REQUEST_QUARANTINED
            return error.CapacityError(text, kind, cause.until - now)
        if not alone and verdict.list_suspects(verdicts, work.traits, now):
            return error.CapacityError("a suspect runs only as a trial")
        return None

    def _start_work(self, work: Work, due: bool, alone: bool) -> None:
        """Start work, or refuse it by the verdicts. A batch item is never refused."""
        refusal = None if work.ticket.batch else self._find_refusal(work, alone)
        if refusal is not None:
            work.refuse(refusal)
            return
        now = self._timer.read_clock()
        work_id = work.ticket.id
        if self._ceiling is not None:
            self._ceiling.take(now)
        self._admission.observe_start(work_id, work.ticket.batch, now)
        task = self._tasks.spawn(work.run())
        self._running[work_id] = _Running(work, task, due, alone, now)
        self._running_batch += work.ticket.batch
        self._running_due += due
        if work.ticket.batch:
            self._tasks.spawn(self._assume_prefilled(work_id))
        # A callback runs even if the task is cancelled before its first step.
        task.add_done_callback(lambda task: self._handle_end(work_id, task))

    def _handle_end(self, work_id: str, task: asyncio.Task) -> None:
        """Account for work that has ended and start the next."""
        running = self._running.pop(work_id)
        work = running.work
        self._running_batch -= work.ticket.batch
        self._running_due -= running.due
        is_removed = work_id in self._removed
        was_preempted = (
            work_id in self._preempted and task.cancelled() and not is_removed
        )
        self._preempted.discard(work_id)
        self._removed.discard(work_id)
        completion = Completion(work.ticket.cost, False)
        if not task.cancelled() and task.exception() is None:
            completion = task.result()
        now = self._timer.read_clock()
        self._admission.observe_end(work_id, now)
        self._queue.correct_cost(work.ticket, completion.cost, now)
        if was_preempted and not self._stopped:
            self.submit(work)
        self.schedule()

    async def _assume_prefilled(self, work_id: str) -> None:
        """Let the next batch item start once this one is assumed to be prefilled.

        An item's answer is not streamed, so its first token is not observed.
        """
        await self._timer.sleep(PREFILL_SECONDS)
        self._admission.assume_prefilled(work_id)
        self.schedule()

    def observe_step(self, seconds: float) -> None:
        """Report the time between two tokens of a stream to the admission."""
        self._admission.observe_step(seconds, self._timer.read_clock())

    def observe_first_token(self, work: Work) -> None:
        """Report the first token of a request's answer to the admission."""
        self._admission.observe_first_token(work.ticket.id, self._timer.read_clock())

    async def _expire(self) -> None:
        """Refuse online work that cannot start before its deadline."""
        now = self._timer.read_clock()
        expired = [self._waiting.pop(ticket.id) for ticket in self._queue.expire(now)]
        for work in list(self._waiting_trials):
            if work.ticket.deadline <= now:
                self._waiting_trials.remove(work)
                expired.append(work)
        for work in expired:
            text = "the deadline would pass before the request could start"
            kind = error.Kind.DEADLINE_EXCEEDED
            work.refuse(error.CapacityError(text, kind, not_run=True))
        self._cancel_overdue(now)
        self.schedule()

    def _cancel_overdue(self, now: float) -> None:
        """Cancel online work that its entry should have revoked at the deadline.

        An entry that was lost without closing its connection, or is frozen,
        revokes nothing.
        """
        for running in self._list_running_online():
            ticket = running.work.ticket
            if now > ticket.deadline + OVERDUE_SECONDS:
                self.remove(ticket.id)

    async def wait_idle(self, seconds: float) -> None:
        """Return once no work runs, or after `seconds`."""
        end = self._timer.read_clock() + seconds
        while self._running and self._timer.read_clock() < end:
            await self._timer.sleep(IDLE_SECONDS)
