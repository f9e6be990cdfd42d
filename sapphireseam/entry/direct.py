"""Forwards requests to upstreams that have no agent, with retries.

The route alone decides whether a request that may have run is repeated. A plain
answer is buffered until it is complete. A stream is passed on in complete events.
So a failed attempt can be replaced or resumed within the same answer. On a route
that does not allow repeats, the caller gets an error which says that the outcome
is unknown.

The quarantine is asked before each attempt. If the connection of an attempt breaks,
the next attempt or the error waits until it is known whether the upstream crashed.
"""

import asyncio
import functools
import logging
import random
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from sapphireseam.core import error, fleet, trait
from sapphireseam.core.instance import Instance
from sapphireseam.entry.delivery import Sink
from sapphireseam.entry.placer import HeldSlot, Placer, SlotSpec
from sapphireseam.entry.quarantine import QuarantineGate
from sapphireseam.entry.silence import SilenceWatch
from sapphireseam.utils import crash, metric, outbound
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# The largest plain answer that is buffered. A larger one fails the attempt.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
# Maximum offers of one request, including those that upstreams refuse without
# running it.
MAX_OFFERS = 6
# Share of the route's target that a request may wait for a slot.
SLOT_WAIT_SHARE = 0.6
# Longest wait for a slot if the route has no target, and for every later attempt.
SLOT_WAIT_SECONDS = 0.5
# Share of the time to its deadline that a late request may wait for a slot.
LATE_WAIT_SHARE = 0.3
# Share of the time to its deadline that a request which continues a stream may wait.
RESUMED_WAIT_SHARE = 0.5
# An upstream that sends nothing on a stream for this long is silent: a resumable stream
# continues at another one, if that has a free slot.
STREAM_SILENCE_SECONDS = 1.0
# An upstream that sends nothing of a plain answer for this multiple of the route's
# target is silent: an idempotent request is retried at another one, if that has a free
# slot.
TARGETS_PER_ATTEMPT = 2.5
# Pause before another slot is asked for in place of one in an evacuated domain.
RETURN_PAUSE_SECONDS = 0.01
# Metrics count every delivered answer under this status, whatever its own status.
DELIVERED_STATUS = 200
# The lowest status that isn't a success, and the lowest one of a server error.
FAILURE_STATUS = 300
SERVER_ERROR_STATUS = 500


class DirectRequest(NamedTuple):
    """An authorized request for an upstream that has no agent.

    `headers` are sent unchanged. `arrived` and `deadline` are on the entry's
    monotonic clock. `parts` are the ids of the prompt parts that other requests may
    share.
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
    # Number of the last event that the caller has; -1 if it has none.
    resume_after: int = -1
    # The attempt that began the caller's stream, if the caller names it.
    resumes: str = ""
    # Seconds that the caller had waited before this request.
    waited: float = 0.0
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    model: str = ""
    # The revision of the configuration by which the request was authorized.
    revision: int = 0

    def make_traits(self) -> tuple[str, ...]:
        """Return the traits by which requests that crash upstreams are recognised."""
        parts = trait.make_part_traits(self.model or self.route_name, self.parts)
        return (self.fingerprint, *parts) if self.fingerprint else parts

    @property
    def is_late(self) -> bool:
        """Whether the answer can no longer meet the route's target."""
        return 0.0 < self.route.target < self.waited


class CutCause(StrEnum):
    """What ended the last attempt of an answer that was cut."""

    SILENT = "silent"
    BROKEN = "broken"
    REFUSED = "refused"
    MALFORMED = "malformed"
    DEADLINE = "deadline"


class _Progress:
    """Track one request over its attempts."""

    def __init__(self, resume_after: int, traits: tuple[str, ...], proof: crash.Proof):
        self.traits = traits
        self.proof = proof
        # The exchange of the last attempt, for the detection of crashes.
        self.exchange: crash.Exchange | None = None
        # Whether the last attempt was part of a crash, once this is known.
        self.crash: asyncio.Future[bool] | None = None
        # Whether it was one, until the quarantine has been asked again.
        self.has_crashed = False
        self.offers = 0
        # Attempts that may have run at an upstream.
        self.runs = 0
        self.excluded: set[str] = set()
        # Upstreams that were left only because they were silent, by their ids.
        self.silent: dict[str, Instance] = {}
        # The one of these to which the request returns, if any.
        self.returns_to: Instance | None = None
        self.is_counted = False
        self.has_begun = False
        self.last_event = resume_after
        # Whether the caller's position in the stream is known.
        self.is_resumable = True
        # The slot for which a silent upstream was left.
        self.next_slot: HeldSlot | None = None
        # The upstream at which the stream began or went on.
        self.origin: Instance | None = None
        # Events that were passed on, over all attempts.
        self.events = 0
        # When events were passed on last, on the entry's monotonic clock.
        self.event_at = 0.0
        # The answer of the newest attempt.
        self.answer: outbound.Answer | None = None
        # Why the last failed attempt failed.
        self.failure: outbound.OutboundError | None = None

    def take_slot(self) -> HeldSlot | None:
        """Return the slot for which a silent upstream was left, if any."""
        slot, self.next_slot = self.next_slot, None
        return slot

    def describe(self) -> dict[str, object]:
        """Return what was received, for the log."""
        answer = self.answer.describe() if self.answer is not None else {}
        return {"runs": self.runs, "events": self.events, **answer}


class _EventInterval:
    """Measure the mean interval between the events of one attempt's answer."""

    def __init__(self):
        self.events = 0
        self.first_at = 0.0
        self.last_at = 0.0

    def record(self, count: int, now: float) -> None:
        """Record the arrival of events."""
        if not self.events:
            self.first_at = now
        self.events += count
        self.last_at = now

    @property
    def mean_seconds(self) -> float:
        """Return the mean seconds between events, 0 with fewer than two."""
        if self.events < 2:
            return 0.0
        return (self.last_at - self.first_at) / (self.events - 1)


class DirectForwarder:
    """Get slots for requests, send them and deliver their answers."""

    def __init__(
        self,
        placer: Placer,
        upstreams: outbound.ConnectionPool,
        meter: metric.Meter,
        timer: TimerService,
        rng: random.Random,
        gate: QuarantineGate,
        crash_detector: crash.CrashDetector,
        grace: Grace | None = None,
    ):
        self._grace = grace or Grace(timer=timer)
        self._gate = gate
        self._crash_detector = crash_detector
        self._meter = meter
        self._placer = placer
        self._upstreams = upstreams
        self._timer = timer
        self._rng = rng
        self._cuts: Counter[CutCause] = Counter()
        meter.read_many(
            metric.CUT,
            lambda: [(self._cuts[each], {"cause": str(each)}) for each in CutCause],
        )

    async def serve(self, request: DirectRequest, sink: Sink) -> None:
        """Deliver the complete answer, or raise the final error.

        The error says whether the request may have run. Once the answer has begun
        at the sink, an error means that the answer must be aborted.
        """
        traits = request.make_traits()
        record_sound = functools.partial(self._gate.record_sound, traits)
        proof = crash.Proof(self._timer, record_sound)
        progress = _Progress(request.resume_after, traits, proof)
        try:
            await self._serve_in_time(request, progress, sink)
        except error.SeamError as failure:
            self._observe(request, failure.answer.status)
            if progress.has_begun:
                self._record_cut(request, progress, failure)
            raise
        finally:
            if (slot := progress.take_slot()) is not None:
                self._placer.release(slot)
            self._gate.release(request.id)
        self._observe(request, DELIVERED_STATUS)

    def _observe(self, request: DirectRequest, status: int) -> None:
        took = self._timer.read_clock() - request.arrived
        labels = {"route": request.route_name, "status": str(status)}
        self._meter.observe(metric.REQUEST, took, **labels)

    def _record_cut(
        self, request: DirectRequest, progress: _Progress, failure: error.SeamError
    ) -> None:
        """Count and log an answer that ends early."""
        cause = _classify_cut(progress, failure)
        self._cuts[cause] += 1
        now = self._timer.read_clock()
        logger.warning(
            "answer cut",
            extra={
                "request": request.id,
                "route": request.route_name,
                "revision": request.revision,
                "cause": str(cause),
                "silent": round(now - progress.event_at, 3),
                "took": round(now - request.arrived, 3),
                **progress.describe(),
            },
        )

    async def _serve_in_time(
        self, request: DirectRequest, progress: _Progress, sink: Sink
    ) -> None:
        try:
            remaining = request.deadline - self._timer.read_clock()
            async with self._grace.limit(), self._timer.limit(remaining):
                await self._serve(request, progress, sink)
        except TimeoutError:
            raise _make_deadline_error(progress) from None

    async def _serve(
        self, request: DirectRequest, progress: _Progress, sink: Sink
    ) -> None:
        while True:
            slot = progress.take_slot()
            if slot is None:
                slot = await self._acquire_admitted(request, progress)
            if self._placer.is_evacuated(slot):
                await self._return_slot(request, progress, slot)
                continue
            progress.offers += 1
            failure = await self._attempt(request, progress, slot, sink)
            if failure is None:
                self._log_answer(request, progress, slot.instance)
                return
            progress.failure = failure
            if progress.crash is not None and not progress.proof.is_proven:
                # The report of a crash must precede this retry and the caller's own.
                progress.has_crashed = await asyncio.shield(progress.crash)
            self._check_retry(request, progress, slot.instance, failure)

    async def _return_slot(
        self, request: DirectRequest, progress: _Progress, slot: HeldSlot
    ) -> None:
        """Give back a slot whose failure domain was evacuated after its grant.

        Raise the final error if the request may run nowhere else.
        """
        self._placer.release(slot)
        detail = {"request": request.id, "upstream": slot.instance.id}
        logger.info("slot given back, its domain is evacuated", extra=detail)
        if progress.runs >= request.route.attempts:
            raise _make_final_error("the failure domain is evacuated")
        # The leader may be about to apply what this entry knows already.
        await self._timer.sleep(RETURN_PAUSE_SECONDS)

    async def _acquire_admitted(
        self, request: DirectRequest, progress: _Progress, held: str = ""
    ) -> HeldSlot:
        """Return a slot for an attempt that the quarantine admits.

        The slot isn't at the upstream where the request is `held`.
        """
        await self._admit(request, progress)
        slot = await self._acquire_slot(request, progress, held)
        try:
            # A verdict may have come while the request waited for its slot, or the
            # stop of this process.
            await self._admit(request, progress)
            self._check_grace(request, progress)
        except BaseException:
            self._placer.release(slot)
            raise
        return slot

    def _check_grace(self, request: DirectRequest, progress: _Progress) -> None:
        """Raise an error if a stop may cut a request that must not be repeated."""
        if request.route.idempotent:
            return
        try:
            self._grace.bound(request.deadline, is_idempotent=False)
        except error.CapacityError as failure:
            if progress.runs:
                raise _make_final_error(failure.message) from None
            raise

    async def _admit(self, request: DirectRequest, progress: _Progress) -> None:
        """Raise an error if the quarantine refuses the next attempt."""
        if progress.proof.is_proven:
            return
        try:
            await self._gate.admit(progress.traits, request.id, progress.has_crashed)
        except error.CapacityError as failure:
            if progress.runs:
                raise _make_final_error(failure.message) from None
            raise
        progress.has_crashed = False

    def _log_answer(
        self, request: DirectRequest, progress: _Progress, instance: Instance
    ) -> None:
        logger.info(
            "request answered",
            extra={
                "request": request.id,
                "customer": request.customer,
                "route": request.route_name,
                "upstream": instance.id,
                "version": instance.version,
                "resume_after": request.resume_after,
                "offers": progress.offers,
                **progress.describe(),
                "took": round(self._timer.read_clock() - request.arrived, 3),
            },
        )

    async def _acquire_slot(
        self, request: DirectRequest, progress: _Progress, held: str
    ) -> HeldSlot:
        now = self._timer.read_clock()
        patience = request.route.target * SLOT_WAIT_SHARE - (now - request.arrived)
        began = progress.origin
        returns_to, progress.returns_to = progress.returns_to, None
        placed = returns_to or began
        is_resumed = request.resume_after >= 0 or began is not None
        if returns_to is not None:
            patience = SLOT_WAIT_SECONDS
        elif is_resumed:
            patience = (request.deadline - now) * RESUMED_WAIT_SHARE
        elif not request.route.target or progress.offers:
            patience = SLOT_WAIT_SECONDS
        elif request.is_late:
            patience = (request.deadline - now) * LATE_WAIT_SHARE
        spec = SlotSpec(
            request.id,
            placed.service if placed else self._choose_service(request.route),
            request.customer,
            request.rank,
            max(patience, 0.0),
            frozenset(progress.excluded),
            not progress.is_counted,
            request.is_late,
            began.version if began else "",
            is_resumed,
            request.resumes,
            _list_services(request.route),
            held,
            returns_to.id if returns_to else "",
        )
        try:
            slot = await self._placer.place(spec)
        except error.CapacityError as failure:
            if progress.silent and not held:
                _, progress.returns_to = progress.silent.popitem()
                return await self._acquire_slot(request, progress, held)
            if progress.runs:
                raise _make_final_error(failure.message) from None
            raise
        progress.is_counted = True
        return slot

    def _choose_service(self, route: fleet.Route) -> str:
        """Return the route's service, or one of its shares by weight."""
        if not route.shares:
            return route.service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    def _check_retry(
        self,
        request: DirectRequest,
        progress: _Progress,
        instance: Instance,
        failure: outbound.OutboundError,
    ) -> None:
        """Return if the request may be offered again, else raise the final error."""
        logger.info(
            "attempt failed",
            extra={
                "request": request.id,
                "upstream": instance.id,
                "version": instance.version,
                "cause": str(failure),
                "not_run": failure.is_not_run,
                **progress.describe(),
            },
        )
        if isinstance(failure, outbound.UnsendableError):
            raise error.RequestError(str(failure))
        if isinstance(failure, outbound.AnswerTimeoutError):
            progress.silent[instance.id] = instance
        else:
            progress.silent.pop(instance.id, None)
            if failure.is_not_run:
                # Those that were left for this one may be sound.
                progress.excluded -= progress.silent.keys()
        progress.excluded.add(instance.id)
        may_resume = request.route.idempotent and progress.is_resumable
        if progress.has_begun and not may_resume:
            raise error.OutcomeError("the stream ended early and can't be resumed")
        if not failure.is_not_run and not request.route.idempotent:
            raise error.OutcomeError(
                f"the upstream may have run the request: {failure}"
            )
        if progress.runs >= request.route.attempts:
            # Another run there adds no upstream to those at which the request ran.
            if not progress.silent:
                raise _make_final_error(str(failure))
            _, progress.returns_to = progress.silent.popitem()
        if progress.offers >= MAX_OFFERS:
            if progress.runs:
                raise _make_final_error(str(failure))
            raise error.CapacityError("no upstream accepted the request", not_run=True)

    async def _attempt(
        self, request: DirectRequest, progress: _Progress, slot: HeldSlot, sink: Sink
    ) -> outbound.OutboundError | None:
        """Send the request once; return the failure, or None after delivery."""
        interval = _EventInterval()
        is_suspect = is_full = False
        now = self._timer.read_clock()
        outgoing = outbound.Outgoing(
            request.id,
            request.customer,
            request.host,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(request.deadline - now, 0.001),
            progress.last_event,
        )
        # The request counts as run unless the failure proves that it did not run.
        progress.runs += 1
        progress.answer = None
        progress.crash = None
        progress.proof.restart()
        running = self._crash_detector.open(crash.get_run(slot.instance))
        progress.exchange = running
        silence_timer = asyncio.get_running_loop().call_later(
            _get_answer_timeout(request.route),
            self._placer.report_silent,
            slot.instance,
        )
        watch = self._watch_silence(request, progress, slot.instance)
        try:
            exchange = self._upstreams.send(outgoing, slot.instance, watch.wait)
            async with exchange as answer:
                silence_timer.cancel()
                progress.answer = answer
                await self._deliver_answer(
                    request, progress, slot, answer, sink, interval, watch.wait
                )
        except outbound.OutboundError as failure:
            progress.next_slot = watch.take_slot()
            is_suspect = not isinstance(failure, outbound.RefusalError)
            is_refusal = not is_suspect and failure.is_not_run
            is_full = is_refusal and not isinstance(
                failure, outbound.LeavingError | outbound.UnsendableError
            )
            if isinstance(failure, outbound.BrokenError):
                blamed = () if progress.proof.is_proven else progress.traits
                progress.crash = running.record_break(blamed)
            if failure.is_not_run:
                progress.runs -= 1
            if isinstance(failure, outbound.LeavingError):
                # This leader doesn't know it, or knew it too late.
                self._placer.report_leaving(slot.instance)
            return failure
        finally:
            watch.close()
            running.close()
            silence_timer.cancel()
            self._placer.release(slot, is_suspect, interval.mean_seconds, is_full)
        return None

    def _watch_silence(
        self, request: DirectRequest, progress: _Progress, instance: Instance
    ) -> SilenceWatch:
        """Return the watch over an attempt's upstream."""
        return SilenceWatch(
            self._choose_silence_limit(request, progress),
            functools.partial(self._find_other_slot, request, progress, instance),
            self._placer.release,
            self._timer,
        )

    async def _find_other_slot(
        self, request: DirectRequest, progress: _Progress, silent: Instance
    ) -> HeldSlot:
        """Return a slot at another upstream than a silent one, or raise an error."""
        if not progress.is_resumable:
            raise error.CapacityError("the stream can't be resumed")
        progress.excluded.add(silent.id)
        return await self._acquire_admitted(request, progress, silent.id)

    def _choose_silence_limit(
        self, request: DirectRequest, progress: _Progress
    ) -> float | None:
        """Return the seconds of silence after which another upstream is looked for.

        None means that the request can't be sent to another one.
        """
        is_last = (
            progress.runs >= request.route.attempts or progress.offers >= MAX_OFFERS
        )
        if is_last or not request.route.idempotent:
            return None
        if not request.route.streamed and not request.route.target:
            return None
        return _get_answer_timeout(request.route)

    async def _deliver_answer(
        self,
        request: DirectRequest,
        progress: _Progress,
        slot: HeldSlot,
        answer: outbound.Answer,
        sink: Sink,
        interval: _EventInterval,
        wait_scope: outbound.WaitScope,
    ) -> None:
        head = answer.head
        if head.is_not_run:
            raise outbound.RefusalError("the upstream refused the request", True)
        is_last = progress.runs >= request.route.attempts and not progress.silent
        may_retry = request.route.idempotent and not is_last
        if head.status >= SERVER_ERROR_STATUS and may_retry:
            raise outbound.RefusalError(f"the upstream answered {head.status}", False)
        is_stream = head.is_stream and head.status == outbound.STREAM_STATUS
        if progress.has_begun or (is_stream and request.route.streamed):
            try:
                await self._deliver_events(
                    request, progress, slot, answer, sink, interval, wait_scope
                )
            except outbound.NothingLeftError:
                # A caller that resumes may have every event, but not the end.
                if progress.has_begun or may_retry:
                    raise
            await self._begin_stream(progress, answer, sink)
        else:
            body = await answer.read_all(MAX_BUFFERED_BYTES, wait_scope)
            # For a plain answer, the interval is the time since the request arrived.
            interval.record(1, request.arrived)
            interval.record(1, self._timer.read_clock())
            await sink.begin(head.status, head.headers)
            await sink.write(body)
        if head.status < FAILURE_STATUS and answer.has_marked_end:
            progress.proof.record_success()
        await sink.finish()

    async def _deliver_events(
        self,
        request: DirectRequest,
        progress: _Progress,
        slot: HeldSlot,
        answer: outbound.Answer,
        sink: Sink,
        interval: _EventInterval,
        wait_scope: outbound.WaitScope,
    ) -> None:
        if progress.has_begun or request.resume_after >= 0:
            received = answer.read_continuation(progress.last_event, wait_scope)
        else:
            received = answer.read_events(wait_scope)
        async for events in received:
            new_events = [
                item
                for item in events
                if item.number < 0 or item.number > progress.last_event
            ]
            if not new_events:
                continue
            progress.event_at = self._timer.read_clock()
            interval.record(len(new_events), progress.event_at)
            progress.exchange.record_received()
            progress.proof.record_events(len(new_events))
            progress.events += len(new_events)
            if progress.origin is None:
                progress.origin = slot.instance
                self._placer.record_stream(slot)
            if any(item.number < 0 and not item.is_comment for item in new_events):
                progress.is_resumable = False
            await self._begin_stream(progress, answer, sink)
            await sink.write(b"".join(item.raw for item in new_events))
            numbers = [item.number for item in new_events]
            progress.last_event = max(progress.last_event, *numbers)

    async def _begin_stream(
        self, progress: _Progress, answer: outbound.Answer, sink: Sink
    ) -> None:
        """Begin the caller's stream, unless it has begun."""
        if not progress.has_begun:
            progress.has_begun = True
            await sink.begin(answer.head.status, answer.head.headers)


def _list_services(route: fleet.Route) -> tuple[str, ...]:
    """Return the services that may serve a route."""
    return tuple(share.service for share in route.shares) or (route.service,)


def _get_answer_timeout(route: fleet.Route) -> float:
    """Return the seconds without an answer after which an upstream seems lost."""
    if route.streamed:
        return STREAM_SILENCE_SECONDS
    return route.target * TARGETS_PER_ATTEMPT or route.timeout


def _classify_cut(progress: _Progress, failure: error.SeamError) -> CutCause:
    """Return what ended the last attempt of an answer that was cut."""
    if failure.kind is error.Kind.DEADLINE_EXCEEDED:
        return CutCause.DEADLINE
    match progress.failure:
        case outbound.AnswerTimeoutError():
            return CutCause.SILENT
        case outbound.BrokenError():
            return CutCause.BROKEN
        case outbound.RefusalError():
            return CutCause.REFUSED
    return CutCause.MALFORMED


def _make_deadline_error(progress: _Progress) -> error.SeamError:
    if progress.runs:
        return error.SeamError("the deadline has passed", error.Kind.DEADLINE_EXCEEDED)
    return error.CapacityError("no slot became free before the deadline", not_run=True)


def _make_final_error(text: str) -> error.SeamError:
    return error.SeamError(
        f"no upstream answered: {text}", error.Kind.UPSTREAM_FAILED, not_run=False
    )
