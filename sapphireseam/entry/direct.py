"""Carry requests to upstreams without an agent, attempt by attempt.

What may be repeated follows from the route alone. A whole answer is kept back
until it is whole, a stream goes on in whole events, so an attempt that fails can
be replaced or resumed within one answer. Who may not be asked twice is told that
the outcome isn't known.
"""

import asyncio
import logging
import random
from typing import NamedTuple

from sapphireseam.core import error, fleet
from sapphireseam.core.instance import Instance
from sapphireseam.entry.delivery import Sink
from sapphireseam.entry.placer import HeldSlot, Placer, SlotSpec
from sapphireseam.utils import event, metric, outbound
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# The largest answer that is kept back until it is whole, in bytes.
WHOLE_BYTES = 16 * 1024 * 1024
# How often one request is offered to upstreams that turn out not to run it.
MOST_OFFERS = 6
# Part of a route's target that a request may wait for its place.
PLACE_SHARE = 0.6
# How long it may wait where the route has no target, or once it was offered.
PLACE_SECONDS = 0.5
# Part of its caller's patience that a request may wait which is late already.
LATE_SHARE = 0.3
# An upstream that sends a stream nothing for so long is taken for lost, and a
# resumable stream goes on elsewhere, in seconds.
STREAM_SILENCE_SECONDS = 1.0
# How many targets a whole answer may take before another upstream is asked.
TARGETS_PER_ATTEMPT = 2.5
# The status under which delivered answers are counted.
DONE = 200
# A server's failure, from this status on.
SERVER_FAILURE = 500


class DirectRequest(NamedTuple):
    """Hold a request that may be carried.

    `headers` go on as they are; `deadline` is on the entry's clock.
    """

    id: str
    customer: str
    rank: int
    route_name: str
    route: fleet.Route
    host: str
    method: str
    target: str
    headers: outbound.Headers
    body: bytes
    arrived: float
    deadline: float
    # The event behind which the caller goes on; -1 from the beginning.
    resume_after: int = -1
    # How long the caller had waited before this request, in seconds.
    waited: float = 0.0

    @property
    def is_late(self) -> bool:
        """Say whether the answer can't be on time any more."""
        return 0.0 < self.route.target < self.waited


class _Trip:
    """Track one call over its attempts."""

    def __init__(self, resume_after: int):
        self.offers = 0
        # Attempts that an upstream may have run.
        self.runs = 0
        self.excluded: set[str] = set()
        self.is_counted = False
        self.has_begun = False
        self.last_event = resume_after


class _Pace:
    """Measure how fast the events of one attempt come."""

    def __init__(self):
        self.events = 0
        self.first_at = 0.0
        self.last_at = 0.0

    def note(self, count: int, now: float) -> None:
        """Note that events came."""
        if not self.events:
            self.first_at = now
        self.events += count
        self.last_at = now

    @property
    def seconds(self) -> float:
        """Return the seconds an event took, 0 if too few came."""
        if self.events < 2:
            return 0.0
        return (self.last_at - self.first_at) / (self.events - 1)


class DirectForwarder:
    """Place calls, send them, and bring their answers back."""

    def __init__(
        self,
        placer: Placer,
        upstreams: outbound.Outbound,
        meter: metric.Meter,
        timer: TimerService,
        rng: random.Random,
    ):
        self._meter = meter
        self._placer = placer
        self._upstreams = upstreams
        self._timer = timer
        self._rng = rng

    async def serve(self, call: DirectRequest, sink: Sink) -> None:
        """Deliver a whole answer, or raise why there is none.

        The error says whether the call may have run. Once the sink has begun,
        the answer can only be broken off.
        """
        trip = _Trip(call.resume_after)
        try:
            await self._serve_in_time(call, trip, sink)
        except error.SeamError as failure:
            self._observe(call, failure.answer.status)
            raise
        self._observe(call, DONE)

    def _observe(self, call: DirectRequest, status: int) -> None:
        took = self._timer.read_clock() - call.arrived
        labels = {"route": call.route_name, "status": str(status)}
        self._meter.observe(metric.REQUEST, took, **labels)

    async def _serve_in_time(
        self, call: DirectRequest, trip: _Trip, sink: Sink
    ) -> None:
        try:
            async with self._timer.limit(call.deadline - self._timer.read_clock()):
                await self._serve(call, trip, sink)
        except TimeoutError:
            raise _miss_deadline(trip) from None

    async def _serve(self, call: DirectRequest, trip: _Trip, sink: Sink) -> None:
        while True:
            ticket = await self._find_place(call, trip)
            trip.offers += 1
            failure = await self._attempt(call, trip, ticket, sink)
            if failure is None:
                self._log_answer(call, trip, ticket.instance)
                return
            self._judge(call, trip, ticket.instance, failure)

    def _log_answer(self, call: DirectRequest, trip: _Trip, instance: Instance) -> None:
        logger.info(
            "request answered",
            extra={
                "request": call.id,
                "customer": call.customer,
                "route": call.route_name,
                "upstream": instance.id,
                "offers": trip.offers,
                "runs": trip.runs,
                "took": round(self._timer.read_clock() - call.arrived, 3),
            },
        )

    async def _find_place(self, call: DirectRequest, trip: _Trip) -> HeldSlot:
        now = self._timer.read_clock()
        patience = call.route.target * PLACE_SHARE - (now - call.arrived)
        if not call.route.target or trip.offers:
            patience = PLACE_SECONDS
        elif call.is_late:
            patience = (call.deadline - now) * LATE_SHARE
        wish = SlotSpec(
            call.id,
            self._choose_service(call.route),
            call.customer,
            call.rank,
            max(patience, 0.0),
            frozenset(trip.excluded),
            not trip.is_counted,
            call.is_late,
        )
        try:
            ticket = await self._placer.place(wish)
        except error.CapacityError as failure:
            if trip.runs:
                raise _give_up(failure.message) from None
            raise
        trip.is_counted = True
        return ticket

    def _choose_service(self, route: fleet.Route) -> str:
        """Return the route's service, or one of its shares by weight."""
        if not route.shares:
            return route.service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    def _judge(
        self,
        call: DirectRequest,
        trip: _Trip,
        instance: Instance,
        failure: outbound.OutboundError,
    ) -> None:
        """Return if the call may be offered again, else raise its end."""
        logger.info(
            "attempt failed",
            extra={
                "request": call.id,
                "upstream": instance.id,
                "cause": str(failure),
                "not_run": failure.is_not_run,
                "runs": trip.runs,
            },
        )
        trip.excluded.add(instance.id)
        if trip.has_begun and not call.route.idempotent:
            raise error.OutcomeError("the stream broke off and can't be resumed")
        if not failure.is_not_run and not call.route.idempotent:
            raise error.OutcomeError(f"the upstream took the request: {failure}")
        if trip.runs >= call.route.attempts:
            raise _give_up(str(failure))
        if trip.offers >= MOST_OFFERS:
            if trip.runs:
                raise _give_up(str(failure))
            raise error.CapacityError("no upstream took the request", not_run=True)

    # One attempt.

    async def _attempt(
        self, call: DirectRequest, trip: _Trip, ticket: HeldSlot, sink: Sink
    ) -> outbound.OutboundError | None:
        """Send the call once; return why it failed, or None if it is delivered."""
        pace = _Pace()
        is_suspect = is_full = False
        now = self._timer.read_clock()
        request = outbound.Outgoing(
            call.id,
            call.customer,
            call.host,
            call.method,
            call.target,
            call.headers,
            call.body,
            max(call.deadline - now, 0.001),
            trip.last_event,
        )
        # Until a refusal says otherwise it may run.
        trip.runs += 1
        alarm = asyncio.get_running_loop().call_later(
            _expect_answer(call.route), self._placer.report_silent, ticket.instance
        )
        try:
            patience = self._choose_patience(call, trip)
            exchange = self._upstreams.send(request, ticket.instance, patience)
            async with exchange as answer:
                alarm.cancel()
                await self._take_answer(call, trip, answer, sink, pace, patience)
        except outbound.OutboundError as failure:
            is_suspect = not isinstance(failure, outbound.RefusalError)
            is_full = not is_suspect and failure.is_not_run
            if failure.is_not_run:
                trip.runs -= 1
            return failure
        finally:
            alarm.cancel()
            self._placer.release(ticket, is_suspect, pace.seconds, is_full)
        return None

    def _choose_patience(self, call: DirectRequest, trip: _Trip) -> float | None:
        """Return how long the upstream may be silent, or None for no limit."""
        if not call.route.idempotent:
            return None
        if call.route.streamed:
            return STREAM_SILENCE_SECONDS
        if not call.route.target or trip.runs >= call.route.attempts:
            return None
        return _expect_answer(call.route)

    async def _take_answer(
        self,
        call: DirectRequest,
        trip: _Trip,
        answer: outbound.Answer,
        sink: Sink,
        pace: _Pace,
        patience: float | None,
    ) -> None:
        head = answer.head
        if head.is_not_run:
            raise outbound.RefusalError("the upstream refused", True)
        if trip.has_begun and head.status >= 300:
            raise outbound.RefusalError(f"no resumption: {head.status}", False)
        may_retry = call.route.idempotent and trip.runs < call.route.attempts
        if head.status >= SERVER_FAILURE and may_retry:
            raise outbound.RefusalError(f"the upstream answered {head.status}", False)
        if head.is_stream and call.route.streamed:
            await self._pass_events(trip, answer, sink, pace, patience)
        else:
            body = await answer.read_all(WHOLE_BYTES, patience)
            pace.note(1, call.arrived)
            pace.note(1, self._timer.read_clock())
            await sink.begin(head.status, head.headers)
            await sink.write(body)
        await sink.finish()

    async def _pass_events(
        self,
        trip: _Trip,
        answer: outbound.Answer,
        sink: Sink,
        pace: _Pace,
        patience: float | None,
    ) -> None:
        splitter = event.Splitter()
        while data := await answer.read_some(patience):
            fresh = [
                item
                for item in splitter.feed(data)
                if item.number < 0 or item.number > trip.last_event
            ]
            if not fresh:
                continue
            pace.note(len(fresh), self._timer.read_clock())
            if not trip.has_begun:
                trip.has_begun = True
                await sink.begin(answer.head.status, answer.head.headers)
            await sink.write(b"".join(item.raw for item in fresh))
            trip.last_event = max(trip.last_event, fresh[-1].number)
        if splitter.has_rest:
            raise outbound.OutboundError("the answer ends within an event", False)
        if not trip.has_begun:
            trip.has_begun = True
            await sink.begin(answer.head.status, answer.head.headers)


def _expect_answer(route: fleet.Route) -> float:
    """Return after how many seconds without an answer an upstream seems lost."""
    if route.streamed:
        return STREAM_SILENCE_SECONDS
    return route.target * TARGETS_PER_ATTEMPT or route.timeout


def _miss_deadline(trip: _Trip) -> error.SeamError:
    if trip.runs:
        return error.SeamError("the deadline has passed", error.Kind.DEADLINE_EXCEEDED)
    return error.CapacityError("no place before the deadline", not_run=True)


def _give_up(text: str) -> error.SeamError:
    return error.SeamError(
        f"no upstream answered: {text}", error.Kind.UPSTREAM_FAILED, not_run=False
    )
