"""Run the items of lots at upstreams, while this control VM leads.

Items take the places that online requests leave free and give them back at
once. An item that was stopped midway goes on behind its last whole event, at
whatever upstream has room. The log keeps what items have put out once a second:
after the loss of a leader the next one goes on behind that. An item may run more
than once and is listed once.
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
from sapphireseam.utils import event, outbound
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often all lots are looked through, in seconds.
LOOK_SECONDS = 0.25
# An upstream that sends an item nothing for so long is left, in seconds.
SILENCE_SECONDS = 3.0
# Pause before an item runs again after its upstream broke off without an event:
# the first one, doubled each time up to the longest, in seconds.
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 8.0
# How often the log keeps what items have put out, in seconds, and how many events
# of one item are worth a part.
KEEP_PARTS_SECONDS = 1.0
PART_EVENTS = 10
# Results that are ready together are listed by one command, up to this many bytes.
LIST_BYTES = 512 * 1024
# How long a finished lot's results are kept at least, from its acceptance.
RETENTION_SECONDS = 120.0
# What the wall clocks of two VMs may differ by: a lot is given up or forgotten
# later by so much, never sooner.
CLOCK_SKEW_SECONDS = 5.0
# Statuses of an answer: done, never to be done.
DONE = 200
IMPOSSIBLE = 422

_Key = tuple[str, int]


class BulkRunner:
    """Give items places, run them and have their results listed."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        placement: PlacementServer,
        upstreams: outbound.Outbound,
        timer: TimerService,
        retention_seconds: float = RETENTION_SECONDS,
    ):
        self._replica = replica
        self._machine = machine
        self._placement = placement
        self._upstreams = upstreams
        self._timer = timer
        self._keep_seconds = retention_seconds
        self._forecast = forecast.RunTimeEstimator()
        self._fleet = fleet.Fleet()
        self._progress: dict[_Key, ItemProgress] = {}
        self._runs: dict[str, asyncio.Task] = {}
        # Items that run, or whose result waits to be listed.
        self._busy: set[_Key] = set()
        # Items that have ended, to be listed; and whether they were given up.
        self._ended: list[tuple[_Key, bool]] = []
        self._has_ended = asyncio.Event()
        # A result says what the log keeps of its output, so neither is proposed
        # while the other is under way.
        self._proposing = asyncio.Lock()
        self._wake = asyncio.Event()
        self._tasks = TaskGroup()
        placement.on_evicted = self._evict
        placement.on_slot_free = self._wake.set
        placement.find_bulk_items = self._find_items
        machine.subscribe(self._follow)

    async def start(self) -> None:
        """Begin to run items."""
        self._tasks.spawn(self._fill_forever())
        self._tasks.spawn(self._list_forever())
        for period, work in (
            (LOOK_SECONDS, self._look),
            (KEEP_PARTS_SECONDS, self._keep_parts),
        ):
            self._tasks.spawn(run_periodically(self._timer, period, work))

    async def stop(self) -> None:
        """Stop every item; the next leader runs them."""
        await self._tasks.cancel()

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            found, _ = fleet.parse(
                record.decode_document(record.read_document(self._machine.state))
            )
            self._fleet = found or fleet.Fleet()
        if isinstance(item, command.EndLot):
            self._stop_lot(item.lot)
        if isinstance(item, command.ListResults):
            for result in item.results:
                self._settle((result.lot, result.item))
        self._wake.set()

    def _settle(self, key: _Key) -> None:
        """Forget an item that is listed."""
        self._progress.pop(key, None)
        self._busy.discard(key)

    def _stop_lot(self, lot: str) -> None:
        for name, task in list(self._runs.items()):
            if name.startswith(_name_run(lot, "")):
                task.cancel()
        for key in [key for key in self._progress if key[0] == lot]:
            del self._progress[key]

    def _evict(self, key: str) -> None:
        task = self._runs.get(key)
        if task is not None:
            task.cancel()

    def _find_items(self, ids: list[str]) -> list[str]:
        """Return those of the requests that are items of open lots."""
        named = set(ids)
        return [
            item.id
            for lot in self._machine.state.lots.values()
            if lot.is_open
            for item in lot.items
            if item.id in named
        ]

    async def _look(self) -> None:
        """Give up what is too old, drop what was kept long enough."""
        if not self._replica.is_leader:
            self._stop_all()
            return
        now = self._timer.read_wall_clock()
        state = self._machine.state
        for lot in list(state.lots.values()):
            if lot.is_open and self._is_over(lot, now):
                self._give_up(lot)
        old = tuple(
            lot.id
            for lot in state.lots.values()
            if not lot.is_open
            and lot.at + self._keep_seconds + CLOCK_SKEW_SECONDS < now
        )
        if old:
            await self._propose(command.ForgetLots(old))
        self._wake.set()

    def _stop_all(self) -> None:
        """Run nothing: another member leads, or nobody does."""
        for task in list(self._runs.values()):
            task.cancel()
        self._progress.clear()
        self._ended.clear()
        self._busy.clear()

    def _is_over(self, lot: record.Lot, now: float) -> bool:
        return (
            lot.abandon + CLOCK_SKEW_SECONDS < now
            or lot.route not in self._fleet.routes
        )

    def _give_up(self, lot: record.Lot) -> None:
        for number in range(len(lot.items)):
            if number not in lot.listed and (lot.id, number) not in self._busy:
                detail = {"request": lot.items[number].id, "lot": lot.id}
                logger.info("item given up as too old", extra=detail)
                self._end_item((lot.id, number), True)

    # Filling free places.

    async def _fill_forever(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._replica.is_leader:
                self._fill()

    def _fill(self) -> None:
        now = self._timer.read_clock()
        lots = bulk.order_jobs(
            lot
            for lot in self._machine.state.lots.values()
            if lot.is_open and lot.route in self._fleet.routes
        )
        full = {
            name
            for name in {_choose_service(self._fleet.routes[lot.route]) for lot in lots}
            if not self._placement.board.has_batch_slot(name)
        }
        for urgency in bulk.Urgency:
            for lot in lots:
                self._fill_with(lot, urgency, full, now)

    def _fill_with(
        self, lot: record.Lot, urgency: bulk.Urgency, full: set[str], now: float
    ) -> None:
        """Start the lot's items of one urgency while its service has room."""
        route = self._fleet.routes[lot.route]
        service = _choose_service(route)
        if service in full or urgency not in self._judge_lot(lot):
            return
        for number in range(len(lot.items)):
            if service in full:
                return
            key = (lot.id, number)
            if number in lot.listed or key in self._busy:
                continue
            progress = self._find_progress(lot, number)
            if progress.not_before > now or self._judge(lot, progress) != urgency:
                continue
            if not self._try_start(lot, number, route, service, now):
                full.add(service)

    def _find_progress(self, lot: record.Lot, number: int) -> ItemProgress:
        key = (lot.id, number)
        progress = self._progress.get(key)
        if progress is None:
            progress = ItemProgress(lot.partials.get(number))
            self._progress[key] = progress
        return progress

    def _judge(self, lot: record.Lot, progress: ItemProgress) -> bulk.Urgency:
        left = self._forecast.estimate(progress.events)
        return bulk.classify_item(lot, left, self._timer.read_wall_clock())

    def _judge_lot(self, lot: record.Lot) -> tuple[bulk.Urgency, ...]:
        """Return which urgencies the lot's items may have."""
        longest = self._forecast.estimate(0)
        return bulk.list_urgencies(lot, longest, self._timer.read_wall_clock())

    def _try_start(
        self, lot: record.Lot, number: int, route: fleet.Route, service: str, now: float
    ) -> bool:
        """Start an item if there is room; false if there is none."""
        key = (lot.id, number)
        progress = self._progress[key]
        name = _name_run(lot.id, number)
        ask = allocator.SlotRequest(
            name,
            service,
            lot.customer,
            route.rank,
            "",
            now,
            now,
            progress.excluded,
            lot.items[number].id,
        )
        grant = self._placement.board.place_batch(ask)
        if grant is None:
            return False
        self._busy.add(key)
        work = self._run(lot, number, route, progress, grant.instance)
        task = self._tasks.spawn(work)
        self._runs[name] = task
        task.add_done_callback(lambda done: self._finish_run(name, key, done))
        return True

    def _finish_run(
        self, name: str, key: _Key, task: asyncio.Task[bool | None]
    ) -> None:
        """Free the item's place, and list its result if it has one."""
        if self._runs.get(name) is task:
            del self._runs[name]
        self._placement.release(name)
        if task.cancelled() or task.exception() or task.result() is None:
            self._busy.discard(key)
            self._wake.set()
            return
        self._end_item(key, task.result())

    # Running one item.

    async def _run(
        self,
        lot: record.Lot,
        number: int,
        route: fleet.Route,
        progress: ItemProgress,
        instance: Instance,
    ) -> bool | None:
        """Return whether the item is given up, or None if it is to run again."""
        try:
            return await self._exchange(lot, number, route, progress, instance)
        except outbound.OutboundError as failure:
            self._note_break(lot.items[number].id, progress, instance, failure)
            return None

    def _note_break(
        self,
        item: str,
        progress: ItemProgress,
        instance: Instance,
        failure: outbound.OutboundError,
    ) -> None:
        logger.info(
            "item broke off",
            extra={
                "request": item,
                "upstream": instance.id,
                "cause": str(failure),
                "not_run": failure.is_not_run,
                "last_event": progress.last_event,
            },
        )
        progress.excluded = frozenset({instance.id})
        if failure.is_not_run:
            progress.not_before = self._timer.read_clock() + FIRST_PAUSE_SECONDS
            return
        self._placement.eject(instance.id)
        pause = FIRST_PAUSE_SECONDS * 2**progress.disconnects
        progress.disconnects += 1
        now = self._timer.read_clock()
        progress.not_before = now + min(pause, LONGEST_PAUSE_SECONDS)

    async def _exchange(
        self,
        lot: record.Lot,
        number: int,
        route: fleet.Route,
        progress: ItemProgress,
        instance: Instance,
    ) -> bool | None:
        """Send an item and read its output; the answer is that of `_run`."""
        item = lot.items[number]
        request = outbound.Outgoing(
            item.id,
            lot.customer,
            route.host,
            "POST",
            item.target,
            item.headers,
            item.body,
            resume_after=progress.last_event,
        )
        if not progress.is_resumable:
            progress.reset()
            request = request._replace(resume_after=-1)
        begun_at, before = self._timer.read_clock(), progress.events
        async with self._upstreams.send(request, instance, SILENCE_SECONDS) as answer:
            if answer.head.is_not_run:
                raise outbound.OutboundError("the upstream refused the item", True)
            if answer.head.status != DONE:
                return self._note_failure(item.id, progress, route, answer.head.status)
            await self._read_output(answer, progress)
        took = self._timer.read_clock() - begun_at
        self._forecast.record_run(progress.events - before, took)
        self._forecast.record_item(progress.events)
        return False

    def _note_failure(
        self, item: str, progress: ItemProgress, route: fleet.Route, status: int
    ) -> bool | None:
        """Return whether a failed item is given up, or None if it runs again."""
        progress.failures += 1
        progress.reset()
        most = route.batch.attempts if route.batch else 1
        is_over = status == IMPOSSIBLE or progress.failures >= most
        logger.info(
            "item given up" if is_over else "item failed",
            extra={
                "request": item,
                "status": status,
                "failures": progress.failures,
                "of": most,
            },
        )
        progress.not_before = self._timer.read_clock() + FIRST_PAUSE_SECONDS
        return True if is_over else None

    async def _read_output(
        self, answer: outbound.Answer, progress: ItemProgress
    ) -> None:
        if not answer.head.is_stream:
            progress.reset()
            progress.data.append(await answer.read_all(LIST_BYTES))
            return
        splitter = event.Splitter()
        while True:
            data = await answer.read_some(SILENCE_SECONDS)
            if not data:
                break
            for item in splitter.feed(data):
                progress.append_event(item)
        if splitter.has_rest:
            raise outbound.OutboundError("the answer ends within an event", False)

    # Listing results.

    def _end_item(self, key: _Key, failed: bool) -> None:
        self._busy.add(key)
        self._ended.append((key, failed))
        self._has_ended.set()

    def _make_result(self, key: _Key, failed: bool) -> command.LotResult:
        progress = self._progress.get(key)
        if failed or progress is None:
            return command.LotResult(*key, failed)
        return command.LotResult(
            *key,
            failed,
            progress.render_unsaved(),
            progress.saved_event,
            not progress.data,
        )

    async def _keep_parts(self) -> None:
        """Have the log keep what running items have put out."""
        if not self._replica.is_leader:
            return
        async with self._proposing:
            await self._keep_some_parts()

    async def _keep_some_parts(self) -> None:
        drafts = [
            (progress, progress.attempt, len(progress.data), progress.draft_part(*key))
            for key, progress in self._progress.items()
            if len(progress.data) >= PART_EVENTS and progress.is_resumable
        ]
        if not drafts:
            return
        parts = tuple(part for _, _, _, part in drafts)
        if not await self._propose(command.KeepParts(parts)):
            return
        for progress, run, count, part in drafts:
            if progress.attempt == run:
                del progress.data[:count]
                progress.saved_event = part.last

    async def _list_forever(self) -> None:
        while True:
            await self._has_ended.wait()
            self._has_ended.clear()
            while self._ended:
                async with self._proposing:
                    is_listed = await self._list_some()
                if not is_listed:
                    await self._timer.sleep(LOOK_SECONDS)

    async def _list_some(self) -> bool:
        """Have some results listed; say whether they are."""
        taken: list[tuple[_Key, bool]] = []
        results: list[command.LotResult] = []
        size = 0
        while self._ended and size < LIST_BYTES:
            taken.append(self._ended.pop(0))
            results.append(self._make_result(*taken[-1]))
            size += len(results[-1].output)
        if await self._propose(command.ListResults(tuple(results))):
            return True
        # Proposed again, each is listed once: the first listing wins.
        if self._replica.is_leader:
            self._ended[:0] = taken
        return False

    async def _propose(self, item: object) -> bool:
        try:
            await self._replica.propose(command.REGISTRY.encode(item))
        except error.SeamError as failure:
            detail = {"command": type(item).__name__, "cause": failure.message}
            logger.warning("not committed", extra=detail)
            return False
        return True


def _name_run(lot: str, number: int | str) -> str:
    """Return the board's key of an item's run."""
    return f"item/{lot}#{number}"


def _choose_service(route: fleet.Route) -> str:
    """Return the service of a batch route; of several the heaviest."""
    if not route.shares:
        return route.service
    return max(route.shares, key=lambda each: each.weight).service
