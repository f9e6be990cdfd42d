"""Place the requests of all entries at upstreams, while this control VM leads.

One board counts what every entry and the lots have running, so an upstream gets
no more than it works on at once whoever sends it. A request is debited and
placed in one exchange. An entry that reconnects says what it has running, so a
new leader's board is right before it places anything for that entry.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.ratelimit import RateLimitService
from sapphireseam.core import command, error, fleet, placement
from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often entries are told that the leader leads, in seconds.
BEAT_SECONDS = 0.1
# How often waiting requests are looked through for those that waited too long.
EXPIRE_SECONDS = 0.02
# How often an upstream that failed is probed, and for how long, in seconds.
PROBE_SECONDS = 0.4
PROBE_LIMIT_SECONDS = 0.3
# For so long after it took over, or an upstream refused, the leader asks upstreams
# what they work on: a lost leader's items may run on where its connections hang.
STOCK_SECONDS = 8.0

# How long a request waits for the limits' new owner to open, in seconds.
OPEN_SECONDS = 0.4
# The shortest time that a debit waits before it is tried again, in seconds.
SHORTEST_SLEEP_SECONDS = 0.005
# The longest time to come back that a customer over its rate is told.
LONGEST_RETRY_SECONDS = 5.0
# Stands between an entry's session and its request's number in a board's key.
SEPARATOR = ":"


class ProbeResult(NamedTuple):
    """Say which requests an upstream works on, by their ids."""

    ids: tuple[str, ...]


# Asks an instance on a path, for so many seconds, what it works on; None if it
# doesn't answer.
Probe = Callable[[Instance, str, float], Awaitable[ProbeResult | None]]
# Stops a request at an instance; another one is named for where that needs it.
StopRun = Callable[[Instance, str, Instance], Awaitable[None]]


class _Entry:
    """Hold one entry's stream."""

    def __init__(self, first: placement.Attach, stream: rpc.Stream, session: int):
        self.name = first.entry
        self.domain = first.domain
        self.stream = stream
        self.session = session

    def make_key(self, number: int) -> str:
        """Return the board's key of one of the entry's requests."""
        return f"{self.session}{SEPARATOR}{number}"


class PlacementServer:
    """Serve the entries' streams and own the board."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        owner: RateLimitService,
        probe: Probe,
        stop_run: StopRun,
        timer: TimerService,
    ):
        self.board = allocator.SlotAllocator()
        # Called with the key of batch work that must stop.
        self.on_evicted: Callable[[str], None] = lambda key: None
        # Called whenever a place may have become free.
        self.on_slot_free: Callable[[], None] = lambda: None
        self._replica = replica
        self._machine = machine
        self._owner = owner
        self._probe = probe
        self._stop_run = stop_run
        # Says which of the requests are items of lots.
        self.find_bulk_items: Callable[[list[str]], list[str]] = lambda ids: []
        self._timer = timer
        self._entries: dict[int, _Entry] = {}
        self._next_session = 0
        # Until when each instance is asked what it works on.
        self._stock: dict[str, float] = {}
        self._term = -1
        self._contracts: dict[str, fleet.Contract] = {}
        self._services: dict[str, fleet.Service] = {}
        self._tasks = TaskGroup()
        machine.subscribe(self._follow)

    async def start(self) -> None:
        """Begin to tell entries that this VM leads."""
        for period, work in (
            (BEAT_SECONDS, self._beat),
            (EXPIRE_SECONDS, self._expire),
            (PROBE_SECONDS, self._probe_benched),
            (PROBE_SECONDS, self._take_stock),
        ):
            self._tasks.spawn(run_periodically(self._timer, period, work))

    async def stop(self) -> None:
        """Have every entry look for the new leader."""
        self._dismiss_all()
        await self._tasks.cancel()

    def register(self, server: rpc.Server) -> None:
        """Have the server pass entries' streams to this one."""
        server.add_stream(placement.Attach, frozenset({rpc.Role.FLEET}), self.serve)

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            document = record.read_document(self._machine.state)
            found, _ = fleet.parse(record.decode_document(document))
            self._services = found.services if found else {}
            self._contracts = self._owner.contracts

    def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Take in what discovery has found."""
        is_new_term = self._replica.term != self._term
        if instances == self.board.instances and not is_new_term:
            return
        now = self._timer.read_clock()
        if self._replica.term != self._term:
            self._term = self._replica.term
            for instance in instances:
                self._stock[instance.id] = now + STOCK_SECONDS
            self._tasks.spawn(self._take_stock())
        self._send(self.board.update(instances, now))
        self._tell_view()
        self.on_slot_free()

    # Entries' streams.

    async def serve(self, first: placement.Attach, stream: rpc.Stream) -> None:
        """Serve one entry until either end breaks the stream."""
        self._check_leading()
        self._next_session += 1
        entry = _Entry(first, stream, self._next_session)
        self._entries[entry.session] = entry
        held: set[int] = set()
        self._adopt(entry, first, held)
        self._tell_view()
        logger.info("entry attached", extra={"entry": entry.name})
        try:
            while True:
                self._answer(entry, held, await stream.receive())
        finally:
            del self._entries[entry.session]
            self._release(entry, held)
            logger.info("entry detached", extra={"entry": entry.name})

    def _check_leading(self) -> None:
        if not self._replica.is_leader:
            leader = self._replica.leader
            raise error.NotLeaderError("this control VM doesn't lead", leader)

    def _adopt(self, entry: _Entry, first: placement.Attach, held: set[int]) -> None:
        now = self._timer.read_clock()
        for item in first.running:
            held.add(item.number)
            key = entry.make_key(item.number)
            ask = allocator.SlotRequest(
                key,
                "",
                item.customer,
                0,
                entry.domain,
                now,
                now,
                request_id=item.request,
            )
            self.board.add_placed(ask, item.instance)

    def _release(self, entry: _Entry, held: set[int]) -> None:
        now = self._timer.read_clock()
        for number in held:
            self._send(self.board.release(entry.make_key(number), now))
        self.on_slot_free()

    def _answer(self, entry: _Entry, held: set[int], item: object) -> None:
        match item:
            case placement.Place():
                held.add(item.number)
                self._tasks.spawn(self._place(entry, held, item))
            case placement.Left():
                held.discard(item.number)
                self._take_leave(entry, item)
            case placement.Suspect():
                self._suspect(item.instance, entry.name)

    async def _place(
        self, entry: _Entry, held: set[int], item: placement.Place
    ) -> None:
        """Debit the customer and place the request, or refuse it."""
        try:
            if item.is_counted:
                await self._debit(item.customer, item.patience)
        except error.SeamError as failure:
            held.discard(item.number)
            self._turn(entry, item.number, failure, item.request)
            return
        if item.number not in held:
            return
        now = self._timer.read_clock()
        ask = allocator.SlotRequest(
            entry.make_key(item.number),
            item.service,
            item.customer,
            item.rank,
            entry.domain,
            now,
            now + item.patience,
            frozenset(item.excluded),
            item.request,
            item.is_late,
        )
        verdict = self.board.place(ask, now)
        self._log_verdict(entry, item, verdict)
        if verdict is not None:
            self._send([verdict])

    def _log_verdict(
        self,
        entry: _Entry,
        item: placement.Place,
        verdict: allocator.Grant | allocator.Refusal | None,
    ) -> None:
        """Log where a request goes and what the board knew."""
        is_placed = isinstance(verdict, allocator.Grant)
        logger.info(
            "request placed" if is_placed else "request waits or is refused",
            extra={
                "request": item.request,
                "entry": entry.name,
                "customer": item.customer,
                "service": item.service,
                "upstream": verdict.instance.id if is_placed else "",
                "evicted": verdict.evicted if is_placed else "",
                "online": self.board.count_running(item.service, False),
                "batch": self.board.count_running(item.service, True),
                "slots": self.board.count_slots(item.service),
                "waiting": self.board.count_waiting(item.service),
                "loads": {} if is_placed else self.board.describe(item.service),
            },
        )

    async def _debit(self, customer: str, patience: float) -> None:
        """Pass the customer's limit, or raise `CapacityError`.

        Who may go within its patience waits for that: to come back would take a
        caller longer.
        """
        if customer not in self._contracts:
            return
        await self._owner.wait_ready(OPEN_SECONDS)
        end = self._timer.read_clock() + patience
        while not (grant := await self._owner.debit_one(customer)).granted:
            if self._timer.read_clock() + grant.retry_after > end:
                text = f"customer {customer} is over its rate"
                wait = min(grant.retry_after, LONGEST_RETRY_SECONDS)
                raise error.CapacityError(text, error.Kind.RATE_LIMITED, wait)
            await self._timer.sleep(max(grant.retry_after, SHORTEST_SLEEP_SECONDS))

    def _take_leave(self, entry: _Entry, item: placement.Left) -> None:
        now = self._timer.read_clock()
        key = entry.make_key(item.number)
        name = self.board.find_instance(key)
        if name and item.pace:
            self.board.record_pace(name, item.pace)
        if name and item.is_suspect:
            self._suspect(name, entry.name)
        if name and item.is_full:
            self._stock[name] = now + STOCK_SECONDS
        self._send(self.board.release(key, now))
        self.on_slot_free()

    def _suspect(self, name: str, by: str) -> None:
        if self.board.eject(name):
            logger.info("upstream benched", extra={"upstream": name, "by": by})

    def release(self, key: str) -> None:
        """Free the place of batch work."""
        self._send(self.board.release(key, self._timer.read_clock()))
        self.on_slot_free()

    def eject(self, name: str) -> None:
        """Give an instance nothing more until a probe finds it well."""
        self._suspect(name, "lots")

    async def _probe_benched(self) -> None:
        """Use again what answers; what has come back may be another run."""
        for instance in self.board.list_ejected():
            self._tasks.spawn(self._probe_one(instance))

    async def _probe_one(self, instance: Instance) -> None:
        if await self._ask(instance) is not None:
            logger.info("upstream used again", extra={"upstream": instance.id})
            self._send(self.board.restore(instance.id, self._timer.read_clock()))
            self.on_slot_free()

    async def _ask(self, instance: Instance) -> ProbeResult | None:
        service = self._services.get(instance.service, fleet.Service())
        return await self._probe(instance, service.probe_path, PROBE_LIMIT_SECONDS)

    async def _take_stock(self) -> None:
        """Count what upstreams work on beside what was placed here."""
        now = self._timer.read_clock()
        for instance in self.board.instances:
            until = self._stock.get(instance.id)
            service = self._services.get(instance.service, fleet.Service())
            if until is None or not service.tells_load:
                continue
            if until > now:
                self._tasks.spawn(self._count_one(instance))
            else:
                del self._stock[instance.id]
                self._send(self.board.clear_load(instance.id, now))
                self.on_slot_free()

    async def _count_one(self, instance: Instance) -> None:
        load = await self._ask(instance)
        if load is None:
            return
        now = self._timer.read_clock()
        foreign = self.board.list_external(instance.id, load.ids, now)
        if foreign:
            detail = {"upstream": instance.id, "requests": foreign}
            logger.info("foreign work", extra=detail)
        self._send(self.board.record_load(instance.id, load.ids, now))
        self.on_slot_free()
        if self._replica.is_leader:
            await self._stop_orphans(instance, foreign)

    async def _stop_orphans(self, instance: Instance, foreign: list[str]) -> None:
        """Stop the items that a lost leader has running there.

        Such an item runs here as well, or will: its other run brings nobody
        anything. What entries placed is theirs to end.
        """
        other = self.board.find_least_loaded(instance.service, instance.id)
        orphans = self.find_bulk_items(foreign)
        if other is None or not orphans:
            return
        detail = {"requests": orphans, "upstream": instance.id}
        logger.info("orphans stopped", extra=detail)
        stops = [self._stop_run(instance, request, other) for request in orphans]
        await asyncio.gather(*stops)

    # What entries are told.

    def _send(self, verdicts: list[allocator.Grant] | list[allocator.Refusal]) -> None:
        for verdict in verdicts:
            session, _, number = verdict.request.key.partition(SEPARATOR)
            if isinstance(verdict, allocator.Grant) and verdict.evicted:
                self.on_evicted(verdict.evicted)
            entry = self._entries.get(int(session))
            if entry is None:
                continue
            if isinstance(verdict, allocator.Grant):
                entry.stream.post(placement.Placed(int(number), verdict.instance))
            else:
                failure = _explain(verdict)
                self._turn(entry, int(number), failure, verdict.request.request_id)

    def _turn(
        self, entry: _Entry, number: int, failure: error.SeamError, request: str
    ) -> None:
        logger.info(
            "request refused",
            extra={
                "request": request,
                "entry": entry.name,
                "number": number,
                "kind": str(failure.kind),
                "retry_after": failure.retry_after,
            },
        )
        entry.stream.post(
            placement.Turned(
                number, str(failure.kind), failure.message, failure.retry_after
            )
        )

    async def _expire(self) -> None:
        self._send(self.board.expire(self._timer.read_clock()))

    async def _beat(self) -> None:
        if self._entries and not self._replica.is_leader:
            self._dismiss_all()
        for entry in self._entries.values():
            entry.stream.post(placement.Beat())

    def _dismiss_all(self) -> None:
        """Tell every entry to look for another leader."""
        leader = self._replica.leader
        text = "this control VM doesn't lead any more"
        failure = rpc.pack_failure(error.NotLeaderError(text, leader))
        for entry in self._entries.values():
            entry.stream.post(failure)

    def _tell_view(self) -> None:
        control = tuple(member.address for member in self._replica.members)
        count = len(self._entries)
        view = placement.View(self.board.instances, control, count)
        for entry in self._entries.values():
            entry.stream.post(view)


def _explain(refusal: allocator.Refusal) -> error.SeamError:
    """Return why a request wasn't placed."""
    kind = error.Kind.NO_UPSTREAM if refusal.has_no_upstream else error.Kind.OVERLOADED
    text = f"no place at service {refusal.ask.service}"
    return error.CapacityError(text, kind, refusal.retry_after)
