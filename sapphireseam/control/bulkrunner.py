"""Runs the items of bulk jobs at upstreams, on the control VM that leads.

A bulk job is a submission of many requests, called items, that run later. Items
use the slots that online requests leave free and are preempted as soon as an
online request needs the slot. A preempted item resumes after its last complete
event, at any upstream with a free slot. The output of running items is saved in
the replicated log once a second. After the loss of a leader, the next leader
resumes them from the saved output. An item may run more than once, but exactly
one result is recorded for it.
"""

import asyncio
import logging

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.placement import PlacementServer
from sapphireseam.control.progress import ItemProgress
from sapphireseam.core import command, error, fleet
from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, bulk, forecast
from sapphireseam.state.replica import Replica
from sapphireseam.utils import outbound
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often all bulk jobs are checked for expiry, and the delay before results that
# were not committed are proposed again, in seconds.
REVIEW_SECONDS = 0.25
# An item's connection is closed after this many seconds without data.
IDLE_TIMEOUT_SECONDS = 3.0
IDLE_WAIT = outbound.limit_silence(IDLE_TIMEOUT_SECONDS)
# Delay before an item is retried, in seconds. It doubles with each broken connection
# of the item, this many times. A refused or failed item waits for the minimum.
MIN_BACKOFF_SECONDS = 0.2
MAX_DOUBLINGS = 3
# How long an item waits for a slot at which its output can be continued before it
# starts again, in seconds. An upstream may be listed for long after it was lost.
RESUME_WAIT_SECONDS = 3.0
# An item isn't sent to the upstream where it failed for so many seconds longer than it
# waits, if others may serve it.
AVOID_SECONDS = 1.0
# How often the output of running items is saved in the log, in seconds, and the
# minimum number of new events for which a part of an output is saved.
SAVE_PARTS_SECONDS = 1.0
MIN_PART_EVENTS = 10
# How often items that wait although slots are free are logged, in seconds, and how
# many of them are described.
WAIT_LOG_SECONDS = 5.0
MAX_DESCRIBED_ITEMS = 3
# One command records results, or parts of outputs, until they reach this many bytes in
# total. An answer that is not streamed may have at most this many.
MAX_RESULT_BYTES = 512 * 1024
# The largest output of one item, in bytes, with `progress.EVENT_OVERHEAD_BYTES` for
# each event.
MAX_OUTPUT_BYTES = 4 * 1024 * 1024
# Results are retained for at least this many seconds after the job was accepted.
RETENTION_SECONDS = 120.0
# Largest difference between the wall clocks of two VMs, in seconds. Jobs are abandoned
# and deleted this much later, so that a clock that runs ahead never does it too early.
CLOCK_SKEW_SECONDS = 5.0
# HTTP statuses of an answer: the item succeeded, its run failed, or it can never
# succeed.
STATUS_DONE = 200
STATUS_FAILED = 500
STATUS_IMPOSSIBLE = 422

_ItemKey = tuple[str, int]


class BulkRunner:
    """Schedule the items of bulk jobs, run them and record their results."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        placement: PlacementServer,
        upstreams: outbound.ConnectionPool,
        timer: TimerService,
        retention_seconds: float = RETENTION_SECONDS,
    ):
        self._replica = replica
        self._machine = machine
        self._placement = placement
        self._upstreams = upstreams
        self._timer = timer
        self._retention_seconds = retention_seconds
        self._estimator = forecast.RunTimeEstimator()
        self._fleet = fleet.Fleet()
        self._progress: dict[_ItemKey, ItemProgress] = {}
        self._runs: dict[str, asyncio.Task] = {}
        # Finished items whose result is not recorded yet, and whether they failed.
        self._finished: dict[_ItemKey, bool] = {}
        self._has_finished = asyncio.Event()
        # A result refers to the parts of its output that are saved in the log.
        # Parts and results are therefore never proposed at the same time.
        self._proposing = asyncio.Lock()
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()
        placement.on_evicted = self._preempt
        placement.on_slot_free = self._wake.set
        placement.find_bulk_items = self._find_items
        machine.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start to schedule items."""
        self._tasks.keep(self._schedule_forever)
        self._tasks.keep(self._append_results_forever)
        for period, callback in (
            (REVIEW_SECONDS, self._review),
            (SAVE_PARTS_SECONDS, self._save_parts),
            (WAIT_LOG_SECONDS, self._log_waiting),
        ):
            self._tasks.spawn(run_periodically(self._timer, period, callback))

    async def stop(self) -> None:
        """Stop every item; the next leader runs them again."""
        await self._tasks.cancel()

    def _on_applied(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            self._fleet = record.read_fleet(self._machine.state)
        if isinstance(item, command.EndLot):
            self._stop_job(item.lot)
        if isinstance(item, command.ListResults):
            self._log_unlisted(item)
            for result in item.results:
                self._preempt(_make_run_key(result.lot, result.item))
                self._remove_item((result.lot, result.item))
        self._wake.set()

    def _log_unlisted(self, item: command.ListResults) -> None:
        """Log the results of open jobs that did not fit the saved output."""
        for result in item.results:
            job = self._machine.state.lots.get(result.lot)
            if job is not None and job.is_open and result.item not in job.listed:
                detail = {
                    "request": job.items[result.item].id,
                    "after": result.after,
                    "saved": job.partials.get(
                        result.item, record.Partial(-1, b"")
                    ).last,
                }
                logger.warning("result does not continue the output", extra=detail)

    def _remove_item(self, key: _ItemKey) -> None:
        """Stop tracking an item whose result is recorded."""
        self._progress.pop(key, None)
        self._finished.pop(key, None)

    def _stop_job(self, job: str) -> None:
        for run_key, task in list(self._runs.items()):
            if run_key.startswith(_make_run_key(job, "")):
                task.cancel()
        for key in [key for key in self._progress if key[0] == job]:
            self._remove_item(key)

    def _preempt(self, run_key: str) -> None:
        task = self._runs.get(run_key)
        if task is not None:
            task.cancel()

    def _find_items(self, ids: list[str]) -> list[str]:
        """Return those of the request ids that belong to items of open jobs."""
        wanted = set(ids)
        return [
            item.id
            for job in self._machine.state.lots.values()
            if job.is_open
            for item in job.items
            if item.id in wanted
        ]

    async def _review(self) -> None:
        """Abandon expired jobs and delete finished jobs after their retention time."""
        if not self._replica.is_leader:
            self._stop_all()
            return
        if not self._replica.has_caught_up:
            return
        now = self._timer.read_wall_clock()
        state = self._machine.state
        for job in list(state.lots.values()):
            if job.is_open and self._must_abandon(job, now):
                self._abandon(job)
        deletable = tuple(
            job.id
            for job in state.lots.values()
            if not job.is_open
            and job.at + self._retention_seconds + CLOCK_SKEW_SECONDS < now
        )
        if deletable:
            await self._propose(command.ForgetLots(deletable))
        self._wake.set()

    def _stop_all(self) -> None:
        """Stop all items, because this member does not lead any more."""
        for task in list(self._runs.values()):
            task.cancel()
        self._progress.clear()
        self._finished.clear()

    def _must_abandon(self, job: record.Lot, now: float) -> bool:
        return (
            job.abandon + CLOCK_SKEW_SECONDS < now
            or job.route not in self._fleet.routes
        )

    def _abandon(self, job: record.Lot) -> None:
        for number in range(len(job.items)):
            if number not in job.listed and not self._is_busy((job.id, number)):
                detail = {"request": job.items[number].id, "lot": job.id}
                logger.info("item abandoned: job expired or route gone", extra=detail)
                self._finish_item((job.id, number), True)

    # Scheduling items on free slots.

    async def _schedule_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._replica.is_leader and self._replica.has_caught_up:
                self._schedule()

    def _schedule(self) -> None:
        now = self._timer.read_clock()
        jobs = bulk.order_jobs(
            job
            for job in self._machine.state.lots.values()
            if job.is_open and job.route in self._fleet.routes
        )
        full_services = {
            name
            for name in {_choose_service(self._fleet.routes[job.route]) for job in jobs}
            if not self._placement.allocator.has_batch_slot(name, now)
        }
        for urgency in bulk.Urgency:
            for job in jobs:
                self._schedule_job(job, urgency, full_services, now)

    def _schedule_job(
        self,
        job: record.Lot,
        urgency: bulk.Urgency,
        full_services: set[str],
        now: float,
    ) -> None:
        """Start the job's items of one urgency while its service has free slots."""
        route = self._fleet.routes[job.route]
        service = _choose_service(route)
        if service in full_services or urgency not in self._list_urgencies(job):
            return
        for number in range(len(job.items)):
            if service in full_services:
                return
            key = (job.id, number)
            if number in job.listed or self._is_busy(key):
                continue
            progress = self._get_progress(job, number)
            if (
                progress.not_before > now
                or self._classify_item(job, progress) != urgency
            ):
                continue
            if not self._try_start(job, number, route, service, now):
                full_services.add(service)

    def _is_busy(self, key: _ItemKey) -> bool:
        """Return whether the item has a run, or a result that is not recorded yet.

        A run that was stopped has ended only when its task has.
        """
        return key in self._finished or _make_run_key(*key) in self._runs

    def _get_progress(self, job: record.Lot, number: int) -> ItemProgress:
        key = (job.id, number)
        progress = self._progress.get(key)
        if progress is None:
            progress = ItemProgress(job.partials.get(number))
            self._progress[key] = progress
        return progress

    async def _log_waiting(self) -> None:
        """Log the items that wait although their service has a free slot."""
        if not (self._replica.is_leader and self._replica.has_caught_up):
            return
        now = self._timer.read_clock()
        waiting = [
            f"{job.items[number].id}: {self._get_progress(job, number).describe()}"
            for job in self._machine.state.lots.values()
            if job.is_open and job.route in self._fleet.routes
            if self._placement.allocator.has_batch_slot(
                _choose_service(self._fleet.routes[job.route]), now
            )
            for number in range(len(job.items))
            if number not in job.listed and not self._is_busy((job.id, number))
        ]
        if waiting:
            detail = {
                "count": len(waiting),
                "first": waiting[:MAX_DESCRIBED_ITEMS],
                "running": len(self._runs),
                "unrecorded": len(self._finished),
            }
            logger.warning("items wait although slots are free", extra=detail)

    def _classify_item(self, job: record.Lot, progress: ItemProgress) -> bulk.Urgency:
        remaining = self._estimator.estimate(progress.event_count)
        return bulk.classify_item(job, remaining, self._timer.read_wall_clock())

    def _list_urgencies(self, job: record.Lot) -> tuple[bulk.Urgency, ...]:
        """Return the urgencies that items of the job may have now."""
        longest = self._estimator.estimate(0)
        return bulk.list_urgencies(job, longest, self._timer.read_wall_clock())

    def _try_start(
        self, job: record.Lot, number: int, route: fleet.Route, service: str, now: float
    ) -> bool:
        """Start an item on a free slot; return False if the service has none."""
        key = (job.id, number)
        progress = self._progress[key]
        item = job.items[number]
        run_key = _make_run_key(job.id, number)
        is_avoiding = now < progress.not_before + AVOID_SECONDS
        request = allocator.SlotRequest(
            run_key,
            service,
            job.customer,
            route.rank,
            "",
            now,
            now,
            progress.excluded if is_avoiding else frozenset(),
            item.id,
            version=self._choose_version(progress, service, now),
        )
        grant = self._placement.allocator.place_batch(request)
        if grant is None:
            # Slots that it can't use may still be free.
            return bool(request.version or request.excluded)
        run = self._run(job, item, route, progress, grant.instance)
        task = self._tasks.spawn(run)
        self._runs[run_key] = task
        task.add_done_callback(
            lambda done: self._finish_run(run_key, key, progress, done)
        )
        return True

    def _choose_version(self, progress: ItemProgress, service: str, now: float) -> str:
        """Return the version at which an item must run, or an empty string for any.

        An item whose version serves no more, or is out of reach or full for too long,
        starts again at any version.
        """
        began = progress.origin
        if began is None or not progress.event_count or began.service != service:
            return ""
        slots = self._placement.allocator
        if not slots.count_slots(service, began.version):
            return ""
        if slots.has_free_slot(service, began.version, progress.unreachable, now):
            progress.unreachable_since = None
            return began.version
        if progress.unreachable_since is None:
            progress.unreachable_since = now
        is_overdue = now - progress.unreachable_since >= RESUME_WAIT_SECONDS
        return "" if is_overdue else began.version

    def _finish_run(
        self,
        run_key: str,
        key: _ItemKey,
        progress: ItemProgress,
        task: asyncio.Task[bool | None],
    ) -> None:
        """Release the item's slot and record its result if it has one.

        A run whose progress was dropped has none, because its output is gone.
        """
        del self._runs[run_key]
        self._placement.release(run_key)
        is_dropped = self._progress.get(key) is not progress
        has_ended = not task.cancelled() and not task.exception()
        if is_dropped and has_ended:
            detail = {"lot": key[0], "item": key[1]}
            logger.info("run ended after its output was dropped", extra=detail)
        if not task.cancelled() and task.exception() is not None:
            progress.not_before = self._timer.read_clock() + MIN_BACKOFF_SECONDS
        if is_dropped or not has_ended or task.result() is None:
            self._wake.set()
            return
        self._finish_item(key, task.result())

    # Running one item.

    async def _run(
        self,
        job: record.Lot,
        item: command.LotItem,
        route: fleet.Route,
        progress: ItemProgress,
        instance: Instance,
    ) -> bool | None:
        """Run an item; return whether it failed for good, or None to run it again.

        The item is that of the start, because the job drops its body with the result.
        """
        try:
            return await self._exchange(job, item, route, progress, instance)
        except outbound.UnsendableError as failure:
            detail = {"request": item.id, "cause": str(failure)}
            logger.warning("item can't be sent, no more attempts", extra=detail)
            return True
        except outbound.OutboundError as failure:
            self._handle_exchange_error(item.id, progress, instance, failure)
            return None

    def _handle_exchange_error(
        self,
        item: str,
        progress: ItemProgress,
        instance: Instance,
        failure: outbound.OutboundError,
    ) -> None:
        logger.info(
            "exchange with the upstream failed, item will be retried",
            extra={
                "request": item,
                "upstream": instance.id,
                "version": instance.version,
                "cause": str(failure),
                "not_run": failure.is_not_run,
                "last_event": progress.last_event,
            },
        )
        progress.excluded = frozenset({instance.id})
        is_refusal = isinstance(failure, outbound.RefusalError)
        progress.unreachable = "" if is_refusal else instance.id
        if isinstance(failure, outbound.EmptyAnswerError | outbound.NotResumedError):
            # Resumed after its last event again, the item might never end.
            progress.reset()
        if isinstance(failure, outbound.LeavingError):
            # It may have been listed anew since it said so.
            self._placement.mark_leaving(instance)
        elif not is_refusal:
            self._placement.eject(instance.id)
        if failure.is_not_run:
            progress.not_before = self._timer.read_clock() + MIN_BACKOFF_SECONDS
            return
        doublings = min(progress.disconnects, MAX_DOUBLINGS)
        progress.disconnects += 1
        now = self._timer.read_clock()
        progress.not_before = now + MIN_BACKOFF_SECONDS * 2**doublings

    async def _exchange(
        self,
        job: record.Lot,
        item: command.LotItem,
        route: fleet.Route,
        progress: ItemProgress,
        instance: Instance,
    ) -> bool | None:
        """Send an item and read its output; return the same as `_run`."""
        progress.begin_run(instance)
        request = outbound.Outgoing(
            item.id,
            job.customer,
            route.host,
            "POST",
            item.target,
            item.headers,
            item.body,
            resume_after=progress.last_event,
        )
        started_at, events_before = self._timer.read_clock(), progress.event_count
        exchange = self._upstreams.send(request, instance, IDLE_WAIT)
        async with exchange as answer:
            if answer.head.is_not_run:
                raise outbound.RefusalError("the upstream refused the item", True)
            status = answer.head.status
            if status in (STATUS_FAILED, STATUS_IMPOSSIBLE):
                return self._record_failure(item.id, progress, route, status)
            if status != STATUS_DONE:
                progress.reset()
                raise outbound.RefusalError(f"the upstream answered {status}", False)
            await self._read_output(answer, progress)
        elapsed = self._timer.read_clock() - started_at
        self._estimator.record_run(progress.event_count - events_before, elapsed)
        self._estimator.record_item(progress.event_count)
        return False

    def _record_failure(
        self, item: str, progress: ItemProgress, route: fleet.Route, status: int
    ) -> bool | None:
        """Record a failed attempt; return True if it was the last one, else None."""
        progress.failures += 1
        progress.reset()
        max_attempts = route.batch.attempts if route.batch else route.attempts
        is_final = status == STATUS_IMPOSSIBLE or progress.failures >= max_attempts
        logger.info(
            "item failed, no more attempts" if is_final else "item failed, will retry",
            extra={
                "request": item,
                "status": status,
                "failures": progress.failures,
                "of": max_attempts,
            },
        )
        progress.not_before = self._timer.read_clock() + MIN_BACKOFF_SECONDS
        return True if is_final else None

    async def _read_output(
        self, answer: outbound.Answer, progress: ItemProgress
    ) -> None:
        if progress.last_event >= 0:
            parts = answer.read_continuation(progress.last_event, IDLE_WAIT)
        elif answer.head.is_stream:
            parts = answer.read_events(IDLE_WAIT)
        else:
            progress.reset()
            body = await answer.read_all(MAX_RESULT_BYTES, IDLE_WAIT)
            progress.data.append(body)
            return
        async for events in parts:
            for received in events:
                if not received.is_comment:
                    progress.append_event(received)
            if progress.size > MAX_OUTPUT_BYTES:
                progress.reset()
                text = f"the output has more than {MAX_OUTPUT_BYTES} bytes"
                raise outbound.OutboundError(text, False)

    # Recording results.

    def _finish_item(self, key: _ItemKey, failed: bool) -> None:
        self._finished[key] = failed
        self._has_finished.set()

    def _make_result(self, key: _ItemKey, failed: bool) -> command.LotResult:
        if failed:
            return command.LotResult(*key, failed)
        progress = self._progress[key]
        return command.LotResult(
            *key,
            failed,
            progress.render_unsaved(),
            progress.saved_event,
            not progress.data,
            progress.saved_lineage,
        )

    async def _save_parts(self) -> None:
        """Save the new output of running items in the log."""
        if not self._replica.is_leader:
            return
        async with self._proposing:
            await self._propose_parts()

    async def _propose_parts(self) -> None:
        keys = [key for key, progress in self._progress.items() if _is_due(progress)]
        while keys:
            drafts = []
            size = 0
            while keys and size < MAX_RESULT_BYTES:
                key = keys.pop()
                # Its item may have ended or begun again meanwhile.
                progress = self._progress.get(key)
                if progress is not None and _is_due(progress):
                    part = progress.draft_part(*key)
                    drafts.append(
                        (progress, progress.attempt, len(progress.data), part)
                    )
                    size += len(part.output)
            if drafts and not await self._save_drafts(drafts):
                return

    async def _save_drafts(
        self, drafts: list[tuple[ItemProgress, int, int, command.LotPart]]
    ) -> bool:
        """Save parts of outputs in one command; return whether it was committed."""
        parts = tuple(part for _, _, _, part in drafts)
        if not await self._propose(command.KeepParts(parts)):
            return False
        for progress, attempt, count, part in drafts:
            if progress.attempt == attempt:
                progress.record_saved(part, count)
        return True

    async def _append_results_forever(self) -> None:
        while True:
            await self._has_finished.wait()
            self._has_finished.clear()
            while self._finished:
                async with self._proposing:
                    is_committed = await self._propose_results()
                if not is_committed:
                    await self._timer.sleep(REVIEW_SECONDS)

    async def _propose_results(self) -> bool:
        """Propose the first results; return whether they were committed.

        An item counts as finished until a result of it is applied. The results may
        have been committed even if this returns false. Proposing them again is safe,
        because only the first result of an item counts.
        """
        results: list[command.LotResult] = []
        size = 0
        for key, failed in self._finished.items():
            if size >= MAX_RESULT_BYTES:
                break
            results.append(self._make_result(key, failed))
            size += len(results[-1].output)
        return await self._propose(command.ListResults(tuple(results)))

    async def _propose(self, item: object) -> bool:
        try:
            await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            detail = {"command": type(item).__name__, "cause": failure.message}
            logger.warning("command was not committed", extra=detail)
            return False
        return True


def _is_due(progress: ItemProgress) -> bool:
    """Return whether enough of an item's output is unsaved to save it."""
    return len(progress.data) >= MIN_PART_EVENTS and progress.is_resumable


def _make_run_key(job: str, number: int | str) -> str:
    """Return the allocator's key of an item; an empty number gives the job's prefix."""
    return f"item/{job}#{number}"


def _choose_service(route: fleet.Route) -> str:
    """Return the service of a batch route; of several, the one with most weight."""
    if not route.shares:
        return route.service
    return max(route.shares, key=lambda each: each.weight).service
