"""Gets slots for an entry's requests from the leader, or locally without a leader.

One stream to the leader carries all slot requests. While no leader answers, the
entry places requests by the last instance list that it received and by the
requests that it has running itself. If the leader has numbered the entries, each
prefers other upstreams, so that they fill them evenly (policy/spread.py). Each customer
then gets no more than the deployment's fallback limits allow, and each upstream that
names a ceiling no more than this entry's part of it. Cold upstreams get nothing from an
entry that places alone, as the parts of all entries would sum up to too much. Without
this, all requests would be refused for the second that an election takes.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from sapphireseam.core import error, evacuation, fleet, message, placement
from sapphireseam.core.ceiling import Ceiling
from sapphireseam.core.instance import Instance
from sapphireseam.policy import (
    allocator,
    coldstart,
    fallback,
    origin,
    sharing,
    spread,
    upstreampool,
)
from sapphireseam.utils import metric, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# The entry drops a leader that sends nothing for this long and tries another.
SILENCE_SECONDS = 0.4
# After this long without a message from the leader, requests are placed locally.
LEADER_STALE_SECONDS = 0.25
# How often a waiting request checks whether the leader still answers.
CHECK_SECONDS = 0.05
# How long a request waits for the leader's answer beyond its own patience.
ANSWER_SECONDS = 0.2
RECONNECT_SECONDS = 0.05
# How long a request waits at an entry that has started and knows no upstream yet.
FIRST_VIEW_SECONDS = 0.5
# How long the control VMs usually take to elect a leader.
ELECTION_SECONDS = 0.6
# Outcomes of a slot request in the metrics.
PLACED = "placed"
LOCAL = "alone"
REFUSED = "refused"


class SlotSpec(NamedTuple):
    """Specify the slot that a request needs; see `placement.Place`.

    A request that `is_resumed` continues the stream of the attempt `resumes`. If its
    caller doesn't name the attempt, `resumes` is empty.
    """

    request: str
    service: str
    customer: str
    rank: int
    patience: float
    excluded: frozenset[str]
    is_counted: bool
    is_late: bool = False
    version: str = ""
    is_resumed: bool = False
    resumes: str = ""
    services: tuple[str, ...] = ()
    held: str = ""
    returns_to: str = ""


class HeldSlot(NamedTuple):
    """A request's slot, which is taken until `Placer.release`."""

    number: int
    request: str
    instance: Instance
    customer: str


class Placer:
    """Get slots from the leader or locally, and release them."""

    def __init__(
        self,
        node: str,
        domain: str,
        client: ControlClient,
        contracts: Callable[[], Mapping[str, fleet.Contract]],
        slack: fallback.Slack,
        meter: metric.Meter,
        timer: TimerService,
        read_ceilings: Callable[[], Mapping[str, float]] = dict,
        grants_by_use: bool = False,
        read_cold: Callable[[], Mapping[str, Ceiling]] = dict,
        read_services: Callable[[], Mapping[str, fleet.Service]] = dict,
    ):
        self._meter = meter
        self._read_ceilings = read_ceilings
        self._read_cold = read_cold
        self._read_services = read_services
        # Knows the runs of which the watch may not tell yet that they are cold.
        self._cold = coldstart.ColdTracker(coldstart.UNKNOWN_SECONDS)
        self._cold_rates: dict[str, float] = {}
        self.on_instances: Callable[[tuple[Instance, ...]], None] = lambda _: None
        # Called with the control VMs and their failure domains.
        self.on_control: Callable[[tuple[str, ...], tuple[str, ...]], None] = (
            lambda addresses, domains: None
        )
        self._node = node
        self._domain = domain
        self._client = client
        self._contracts = contracts
        self._timer = timer
        self._fallback = fallback.FallbackLimiter(slack, grants_by_use)
        # Counts only this entry's requests, to place locally without a leader.
        self._allocator = allocator.SlotAllocator()
        self._evacuated = evacuation.Evacuated()
        self._entry_count = 1
        # This entry's place among all, if it is to spread the load without a leader.
        self._position: spread.Position | None = None
        meter.read(metric.ENTRY_NUMBER, self._count_position)
        self._has_view = False
        # The streams that this entry began or resumed.
        self._origins = origin.StreamOrigins()
        self._numbers = itertools.count(1)
        self._running: dict[int, HeldSlot] = {}
        # Runs of upstreams that have said that they leave, until they are unlisted.
        self._leaving: set[placement.Leaving] = set()
        self._waiting: dict[int, asyncio.Future] = {}
        self._stream: rpc.Stream | None = None
        self._last_contact = 0.0
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start connecting to the leader."""
        self._tasks.keep(self._connect_forever)

    async def stop(self) -> None:
        """Disconnect from the leader."""
        await self._tasks.cancel()

    @property
    def has_leader(self) -> bool:
        """Whether the leader has sent a message recently."""
        now = self._timer.read_clock()
        return (
            self._stream is not None and now - self._last_contact < LEADER_STALE_SECONDS
        )

    # The stream to the leader.

    async def _connect_forever(self) -> None:
        while True:
            address = self._client.pick_address()
            try:
                await self._connect(address)
            except (error.SeamError, TimeoutError) as failure:
                leader = getattr(failure, "leader", "")
                self._client.record_leader(leader if leader != address else "")
                detail = {"address": address, "cause": str(failure) or "silent"}
                logger.info("disconnected from the leader", extra=detail)
            finally:
                self._disconnect()
            await self._timer.sleep(RECONNECT_SECONDS)

    async def _connect(self, address: str) -> None:
        running = tuple(
            placement.Running(
                slot.number, slot.request, slot.instance.id, slot.customer
            )
            for slot in self._running.values()
        )
        origins = tuple(
            placement.Began(attempt, *each)
            for attempt, each in self._origins.list(self._timer.read_clock())
        )
        leaving = tuple(sorted(self._leaving))
        first = placement.Attach(self._node, self._domain, running, origins, leaving)
        channel = self._client.open_channel(address)
        try:
            opening = channel.open(first)
            stream = await wait_for(self._timer, opening, SILENCE_SECONDS)
            await self._read_messages(address, stream, first)
        finally:
            await channel.close()

    async def _read_messages(
        self, address: str, stream: rpc.Stream, first: placement.Attach
    ) -> None:
        """Handle the leader's messages until it falls silent."""
        try:
            while True:
                receiving = stream.receive()
                item = await wait_for(self._timer, receiving, SILENCE_SECONDS)
                self._last_contact = self._timer.read_clock()
                self._allocator.drain_ceilings(self._last_contact)
                if isinstance(item, placement.View) and self._stream is None:
                    self._use_stream(stream, first)
                    self._client.record_leader(address)
                self._handle(item)
        finally:
            await stream.close()

    def _use_stream(self, stream: rpc.Stream, first: placement.Attach) -> None:
        """Use a new stream; report what has changed while it was opened."""
        self._stream = stream
        reported = {item.number for item in first.running}
        for number in reported - self._running.keys():
            stream.post(placement.Left(number))
        for item in self._leaving.difference(first.leaving):
            stream.post(item)

    def _disconnect(self) -> None:
        self._stream = None
        for future in self._waiting.values():
            if not future.done():
                future.set_result(None)

    def _handle(self, item: object) -> None:
        match item:
            case placement.View():
                self._has_view = True
                self._entry_count = max(item.entries, 1)
                self._update_position(item.number)
                self._update_instances(item.instances)
                self._client.update_addresses(item.control)
                self.on_control(item.control, item.domains)
                self.on_instances(item.instances)
            case placement.Placed() | placement.Turned():
                self._resolve(item)
            case placement.Leaving():
                self._mark_leaving(item)
            case placement.Evacuation():
                self.apply_evacuated(item.evacuated)
            case message.Failure():
                raise rpc.unpack_failure(item)

    def apply_evacuated(self, item: evacuation.Evacuated) -> None:
        """Place nothing in these failure domains, unless newer ones are known.

        They come from the leader and with the watch, in any order.
        """
        if item.number <= self._evacuated.number:
            return
        for domain in self._evacuated.domains:
            if domain not in item.domains:
                self.on_returned(domain)
        self._evacuated = item
        now = self._timer.read_clock()
        self._allocator.set_evacuated(frozenset(item.domains), now)

    def is_evacuated(self, slot: HeldSlot) -> bool:
        """Return whether a slot lies in a domain that was evacuated since its grant."""
        return self._evacuated.covers(slot.instance.domain)

    def _update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Use a list, which may not show yet which instances leave."""
        now = self._timer.read_clock()
        self._cold.record_list(instances, {}, self._read_services(), now)
        if self._position is not None:
            instances = spread.order_instances(instances, self._position)
        self._allocator.update(instances, now)
        listed = {placement.Leaving(each.id, each.born) for each in instances}
        self._leaving &= listed
        for item in self._leaving:
            self._allocator.mark_leaving(item.instance, item.born)

    def _update_position(self, number: int | None) -> None:
        position = None
        if number is not None:
            position = spread.Position(number, self._entry_count)
        if position != self._position:
            detail = {"number": number, "entries": self._entry_count}
            logger.info("entry numbered", extra=detail)
        self._position = position

    def _count_position(self) -> int:
        """Return this entry's number, counted from 1, or 0 without one."""
        return self._position.number + 1 if self._position is not None else 0

    def _resolve(self, item: placement.Placed | placement.Turned) -> None:
        future = self._waiting.get(item.number)
        if future is not None and not future.done():
            future.set_result(item)
        elif isinstance(item, placement.Placed) and item.number not in self._running:
            self._post(placement.Left(item.number))

    def _post(self, item: object) -> None:
        if self._stream is not None:
            self._stream.post(item)

    # Slots.

    async def place(self, spec: SlotSpec) -> HeldSlot:
        """Return a slot, or raise `CapacityError` if none is free in time."""
        begin = self._timer.read_clock()
        outcome = REFUSED
        try:
            slot, outcome = await self._place(self._find_origin(spec, begin))
            return slot
        finally:
            spent = self._timer.read_clock() - begin
            self._meter.observe(metric.PLACEMENT, spent, outcome=outcome)

    def record_stream(self, slot: HeldSlot) -> None:
        """Record that the stream of a slot's request began, or went on, there."""
        began = origin.get_origin(slot.instance)
        self._origins.record(slot.request, began, self._timer.read_clock())
        self._post(placement.Began(slot.request, *began))

    def _find_origin(self, spec: SlotSpec, now: float) -> SlotSpec:
        """Return the specification with the origin of the stream, if it is known here.

        Raise `CapacityError` if the stream can't be continued. A caller that doesn't
        name the attempt can continue only if there is a single version.
        """
        if not spec.is_resumed or spec.version:
            return spec
        if spec.resumes:
            known = self._origins.find(spec.resumes, now)
            if known is None:
                return spec
            origin.check_service(known, spec.services)
            return spec._replace(
                service=known.service, version=known.version, resumes=""
            )
        versions = self._allocator.list_versions(spec.service)
        if len(versions) != 1 or len(spec.services) != 1:
            text = "the caller doesn't name the attempt that began the stream"
            raise error.CapacityError(text, error.Kind.NO_UPSTREAM, not_run=True)
        return spec._replace(version=versions.pop())

    async def _place(self, spec: SlotSpec) -> tuple[HeldSlot, str]:
        """Return a slot and the outcome for the metrics."""
        number = next(self._numbers)
        if spec.resumes:
            # Only a leader knows the streams of other entries.
            await self._wait_for_leader(spec.patience)
        elif not self._has_view:
            # Without one it can only be refused, and a leader is about to answer.
            await self._wait_for_leader(FIRST_VIEW_SECONDS)
        if not self.has_leader:
            return self._place_locally(number, spec), LOCAL
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            self._post(_make_place(number, spec))
            answer = await self._wait_for_answer(future, spec.patience)
        except asyncio.CancelledError:
            self._post(placement.Left(number))
            raise
        finally:
            del self._waiting[number]
        if answer is None or _is_from_former_leader(answer):
            self._post(placement.Left(number))
            return self._place_locally(next(self._numbers), spec), LOCAL
        if isinstance(answer, placement.Turned):
            kind = error.Kind(answer.kind)
            raise error.CapacityError(answer.message, kind, answer.retry_after, True)
        if spec.is_counted:
            self._fallback.record_use(spec.customer, self._timer.read_clock())
        return self._add_running(number, spec, answer.instance), PLACED

    async def _wait_for_leader(self, seconds: float) -> None:
        """Wait until there is a leader, at most for some seconds."""
        end = self._timer.read_clock() + seconds
        while not self.has_leader and self._timer.read_clock() < end:
            await self._timer.sleep(CHECK_SECONDS)

    async def _wait_for_answer(
        self, future: asyncio.Future, patience: float
    ) -> placement.Placed | placement.Turned | None:
        """Return the leader's answer, or None if there is none in time."""
        end = self._timer.read_clock() + patience + ANSWER_SECONDS
        while self.has_leader and self._timer.read_clock() < end:
            await asyncio.wait({future}, timeout=CHECK_SECONDS)
            if future.done():
                return future.result()
        return None

    def _add_running(self, number: int, spec: SlotSpec, instance: Instance) -> HeldSlot:
        slot = HeldSlot(number, spec.request, instance, spec.customer)
        self._running[number] = slot
        self._allocator.add_placed(self._make_slot_request(number, spec), instance.id)
        return slot

    def _make_slot_request(self, number: int, spec: SlotSpec) -> allocator.SlotRequest:
        now = self._timer.read_clock()
        return allocator.SlotRequest(
            str(number),
            spec.service,
            spec.customer,
            spec.rank,
            self._domain,
            now,
            now,
            spec.excluded,
            is_late=spec.is_late,
            version=spec.version,
            is_resumed=spec.is_resumed,
            held=spec.held,
            returns_to=spec.returns_to,
        )

    def _place_locally(self, number: int, spec: SlotSpec) -> HeldSlot:
        """Place a request by the instances and requests that this entry has seen."""
        now = self._timer.read_clock()
        if spec.resumes:
            self._origins.require(spec.resumes, spec.services, now)
        contract = self._contracts().get(spec.customer)
        if spec.is_counted and contract is not None:
            wait = self._fallback.spend(
                spec.customer, contract, self._entry_count, now, self._last_contact
            )
            if wait > 0.0:
                text = "the limits have no owner, and the fallback limit is used up"
                raise error.CapacityError(text, error.Kind.RATE_LIMITED, wait, True)
        self.update_ceilings()
        request = self._make_slot_request(number, spec)
        if self._position is not None:
            # Entries that prefer their own failure domain could overrun it.
            request = request._replace(domain=upstreampool.NO_DOMAIN)
        result = self._allocator.place(request, now)
        if not isinstance(result, allocator.Grant):
            text = f"this entry found no free slot at service {spec.service}"
            wait = result.retry_after if result is not None else CHECK_SECONDS
            # After an election the new leader can place by the load of all entries.
            wait = min(wait, ELECTION_SECONDS)
            raise error.CapacityError(text, error.Kind.OVERLOADED, wait, True)
        slot = HeldSlot(number, spec.request, result.instance, spec.customer)
        self._running[number] = slot
        silent = now - self._last_contact
        logger.info(
            "placed without a leader",
            extra={
                "request": spec.request,
                "upstream": result.instance.id,
                "leader_silent": round(silent, 3),
                "entry_number": self._count_position(),
            },
        )
        return slot

    def update_shares(self, current: fleet.Fleet) -> None:
        """Let customers share the services for which a configuration asks."""
        self._allocator.set_shares(*sharing.read_shares(current))

    def update_ceilings(self) -> None:
        """Use this entry's part of each ceiling for what it places itself.

        It has no part of those of cold upstreams.
        """
        now, share = self._timer.read_clock(), 1.0 / self._entry_count
        self._allocator.set_ceilings(self._read_ceilings(), now, share)
        self._cold.expire(now)
        rates = {run: each.rate for run, each in self._read_cold().items()}
        rates |= self._cold.read_rates()
        if rates != self._cold_rates:
            self._cold_rates = rates
            self._allocator.set_cold(rates, now, 0.0)

    def on_returned(self, domain: str) -> None:
        """Presume that the upstreams of a failure domain, which is back, are cold."""
        now = self._timer.read_clock()
        self._cold.record_returned(domain, self._read_services(), now)

    def record_crash(self, run: str) -> None:
        """Record that a run has crashed, as its upstream may come back cold.

        A leader hears of the broken requests and probes the upstream itself.
        """
        now = self._timer.read_clock()
        self._cold.record_crash(run, self._read_services(), now)

    def release(
        self,
        slot: HeldSlot,
        is_suspect: bool = False,
        pace: float = 0.0,
        is_full: bool = False,
    ) -> None:
        """Release a slot; see `placement.Left`."""
        if self._running.pop(slot.number, None) is None:
            return
        now = self._timer.read_clock()
        self._allocator.release(str(slot.number), now)
        self._post(placement.Left(slot.number, is_suspect, pace, is_full))

    def report_leaving(self, instance: Instance) -> None:
        """Report to the leader that an instance has said that it is leaving."""
        item = placement.Leaving(instance.id, instance.born)
        self._mark_leaving(item)
        self._post(item)

    def _mark_leaving(self, item: placement.Leaving) -> None:
        self._leaving.add(item)
        self._allocator.mark_leaving(item.instance, item.born)

    def report_silent(self, instance: Instance) -> None:
        """Report to the leader that an instance is silent."""
        self._post(placement.Suspect(instance.id))


def _is_from_former_leader(answer: placement.Placed | placement.Turned) -> bool:
    """Return whether a leader refused a request because it leads no more."""
    is_refusal = isinstance(answer, placement.Turned)
    return is_refusal and answer.kind == error.Kind.NOT_LEADER


def _make_place(number: int, spec: SlotSpec) -> placement.Place:
    return placement.Place(
        number,
        spec.request,
        spec.service,
        spec.customer,
        spec.rank,
        spec.patience,
        tuple(spec.excluded),
        spec.is_counted,
        spec.is_late,
        spec.version,
        spec.resumes,
        spec.services,
        spec.is_resumed,
        spec.held,
        spec.returns_to,
    )
