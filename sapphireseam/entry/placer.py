"""Have an entry's requests placed by the leader, or alone while there is none.

One stream to the leader carries all questions. While no leader answers, the
entry places requests by what it was told last and by what it has running itself,
and admits of each customer only what the deployment's slack allows: better that
than refusing everybody for the second that an election takes.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from sapphireseam.core import error, fleet, message, placement
from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, fallback
from sapphireseam.utils import metric, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# A leader that says nothing for so long is left for another, in seconds.
SILENCE_SECONDS = 0.4
# After so long without a word from the leader nobody waits for its answers.
DOUBT_SECONDS = 0.25
# How often a waiting request looks whether the leader still answers.
LOOK_SECONDS = 0.05
# How much longer than its patience a request waits for the leader's answer.
ANSWER_SECONDS = 0.2
RECONNECT_SECONDS = 0.05
# How long the control VMs usually take to elect a leader, in seconds.
ELECTION_SECONDS = 0.6
# Who gave a place, as metrics name it.
PLACED = "placed"
ALONE = "alone"
REFUSED = "refused"


class SlotSpec(NamedTuple):
    """Say what kind of place a request wants; see `placement.Place`."""

    request: str
    service: str
    customer: str
    rank: int
    patience: float
    excluded: frozenset[str]
    is_counted: bool
    is_late: bool = False


class HeldSlot(NamedTuple):
    """Hold a request's place; give it back with `Placer.leave`."""

    number: int
    request: str
    instance: Instance
    customer: str


class Placer:
    """Ask the leader for places and give them back."""

    def __init__(
        self,
        node: str,
        domain: str,
        client: ControlClient,
        contracts: Callable[[], Mapping[str, fleet.Contract]],
        slack: fallback.Slack,
        meter: metric.Meter,
        timer: TimerService,
    ):
        self._meter = meter
        self.on_instances: Callable[[tuple[Instance, ...]], None] = lambda _: None
        self._node = node
        self._domain = domain
        self._client = client
        self._contracts = contracts
        self._timer = timer
        self._spare = fallback.FallbackLimiter(slack)
        # What this entry runs itself, for when it places alone.
        self._board = allocator.SlotAllocator()
        self._sharers = 1
        self._numbers = itertools.count(1)
        self._running: dict[int, HeldSlot] = {}
        self._waiting: dict[int, asyncio.Future] = {}
        self._stream: rpc.Stream | None = None
        self._heard_at = 0.0
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to look for the leader."""
        self._tasks.spawn(self._attend_forever())

    async def stop(self) -> None:
        """Leave the leader."""
        await self._tasks.cancel()

    @property
    def has_leader(self) -> bool:
        """Say whether a leader answers."""
        now = self._timer.read_clock()
        return self._stream is not None and now - self._heard_at < DOUBT_SECONDS

    # The stream to the leader.

    async def _attend_forever(self) -> None:
        while True:
            address = self._client.pick()
            try:
                await self._attend(address)
            except (error.SeamError, TimeoutError) as failure:
                leader = getattr(failure, "leader", "")
                self._client.note_leader(leader if leader != address else "")
                detail = {"address": address, "cause": str(failure) or "silent"}
                logger.info("leader left", extra=detail)
            finally:
                self._detach()
            await self._timer.sleep(RECONNECT_SECONDS)

    async def _attend(self, address: str) -> None:
        running = tuple(
            placement.Running(
                ticket.number, ticket.request, ticket.instance.id, ticket.customer
            )
            for ticket in self._running.values()
        )
        first = placement.Attach(self._node, self._domain, running)
        known = {item.number for item in running}
        channel = self._client.open_channel(address)
        try:
            opening = channel.open(first)
            stream = await wait_for(self._timer, opening, SILENCE_SECONDS)
            await self._follow(address, stream, known)
        finally:
            await channel.close()

    async def _follow(self, address: str, stream: rpc.Stream, known: set[int]) -> None:
        """Take what the leader says until it falls silent."""
        try:
            while True:
                receiving = stream.receive()
                item = await wait_for(self._timer, receiving, SILENCE_SECONDS)
                self._heard_at = self._timer.read_clock()
                if isinstance(item, placement.View) and self._stream is None:
                    self._catch_up(stream, known)
                    self._client.note_leader(address)
                self._take(item)
        finally:
            await stream.close()

    def _catch_up(self, stream: rpc.Stream, known: set[int]) -> None:
        """Tell a new leader what ended while the stream was opened."""
        self._stream = stream
        for number in known - self._running.keys():
            stream.post(placement.Left(number))

    def _detach(self) -> None:
        self._stream = None
        for future in self._waiting.values():
            if not future.done():
                future.set_result(None)

    def _take(self, item: object) -> None:
        match item:
            case placement.View():
                self._board.update(item.instances, self._timer.read_clock())
                self._sharers = max(item.entries, 1)
                self._client.learn(item.control)
                self.on_instances(item.instances)
            case placement.Placed() | placement.Turned():
                self._answer(item)
            case message.Failure():
                raise rpc.unpack_failure(item)

    def _answer(self, item: placement.Placed | placement.Turned) -> None:
        future = self._waiting.get(item.number)
        if future is not None and not future.done():
            future.set_result(item)
        elif isinstance(item, placement.Placed) and item.number not in self._running:
            self._post(placement.Left(item.number))

    def _post(self, item: object) -> None:
        if self._stream is not None:
            self._stream.post(item)

    # Places.

    async def place(self, wish: SlotSpec) -> HeldSlot:
        """Return a place; raise `CapacityError` if there is none in time."""
        begin = self._timer.read_clock()
        outcome = REFUSED
        try:
            ticket, outcome = await self._place(wish)
            return ticket
        finally:
            spent = self._timer.read_clock() - begin
            self._meter.observe(metric.PLACE, spent, outcome=outcome)

    async def _place(self, wish: SlotSpec) -> tuple[HeldSlot, str]:
        """Return a place and who gave it."""
        number = next(self._numbers)
        if not self.has_leader:
            return self._place_alone(number, wish), ALONE
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            self._post(_render(number, wish))
            answer = await self._wait_for_answer(future, wish.patience)
        except asyncio.CancelledError:
            self._post(placement.Left(number))
            raise
        finally:
            del self._waiting[number]
        if answer is None:
            self._post(placement.Left(number))
            return self._place_alone(next(self._numbers), wish), ALONE
        if isinstance(answer, placement.Turned):
            kind = error.Kind(answer.kind)
            raise error.CapacityError(answer.message, kind, answer.retry_after, True)
        return self._enter(number, wish, answer.instance), PLACED

    async def _wait_for_answer(
        self, future: asyncio.Future, patience: float
    ) -> placement.Placed | placement.Turned | None:
        """Return the leader's answer, or None if it doesn't answer."""
        end = self._timer.read_clock() + patience + ANSWER_SECONDS
        while self.has_leader and self._timer.read_clock() < end:
            await asyncio.wait({future}, timeout=LOOK_SECONDS)
            if future.done():
                return future.result()
        return None

    def _enter(self, number: int, wish: SlotSpec, instance: Instance) -> HeldSlot:
        ticket = HeldSlot(number, wish.request, instance, wish.customer)
        self._running[number] = ticket
        self._board.add_placed(self._make_ask(number, wish), instance.id)
        return ticket

    def _make_ask(self, number: int, wish: SlotSpec) -> allocator.SlotRequest:
        now = self._timer.read_clock()
        return allocator.SlotRequest(
            str(number),
            wish.service,
            wish.customer,
            wish.rank,
            self._domain,
            now,
            now,
            wish.excluded,
            is_late=wish.is_late,
        )

    def _place_alone(self, number: int, wish: SlotSpec) -> HeldSlot:
        """Place a request by what this entry knows itself."""
        now = self._timer.read_clock()
        contract = self._contracts().get(wish.customer)
        if wish.is_counted and contract is not None:
            wait = self._spare.spend(wish.customer, contract, self._sharers, now)
            if wait > 0.0:
                text = "the limits have no owner, and the spare requests are used up"
                raise error.CapacityError(text, error.Kind.RATE_LIMITED, wait, True)
        verdict = self._board.place(self._make_ask(number, wish), now)
        if not isinstance(verdict, allocator.Grant):
            text = f"no place at service {wish.service} that this entry knows of"
            wait = verdict.retry_after if verdict is not None else LOOK_SECONDS
            # The next leader knows more.
            wait = min(wait, ELECTION_SECONDS)
            raise error.CapacityError(text, error.Kind.OVERLOADED, wait, True)
        ticket = HeldSlot(number, wish.request, verdict.instance, wish.customer)
        self._running[number] = ticket
        silent = now - self._heard_at
        logger.info(
            "placed alone",
            extra={
                "request": wish.request,
                "upstream": verdict.instance.id,
                "leader_silent": round(silent, 3),
            },
        )
        return ticket

    def release(
        self,
        ticket: HeldSlot,
        is_suspect: bool = False,
        pace: float = 0.0,
        is_full: bool = False,
    ) -> None:
        """Give a place back; see `placement.Left`."""
        if self._running.pop(ticket.number, None) is None:
            return
        now = self._timer.read_clock()
        self._board.release(str(ticket.number), now)
        self._post(placement.Left(ticket.number, is_suspect, pace, is_full))

    def report_silent(self, instance: Instance) -> None:
        """Report that an instance is silent."""
        self._post(placement.Suspect(instance.id))


def _render(number: int, wish: SlotSpec) -> placement.Place:
    return placement.Place(
        number,
        wish.request,
        wish.service,
        wish.customer,
        wish.rank,
        wish.patience,
        tuple(wish.excluded),
        wish.is_counted,
        wish.is_late,
    )
