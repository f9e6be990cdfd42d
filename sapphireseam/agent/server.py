"""Serves entries' requests over one stream per entry.

Each entry keeps one stream open. Its requests wait in the scheduler's queue, and
answers carry the entry's attempt numbers. When the stream ends, its requests are
removed from the queue or cancelled, so no request of a crashed entry remains.

The agent pauses an answer while the entry's credit for it is used up, so a caller
that reads slowly delays only its own answer.
"""

import asyncio
import logging
from typing import Any

from sapphireseam.agent import engine
from sapphireseam.agent.scheduler import Completion, Scheduler
from sapphireseam.core import error, exchange
from sapphireseam.policy import queue
from sapphireseam.utils import crash, grace, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically, wait_for

logger = logging.getLogger(__name__)

# Interval of load reports. Entries treat a link without messages as lost.
LOAD_SECONDS = 0.25
# How long the entry may take to permit sending a request to the upstream.
GO_SECONDS = 2.0
# How long a graceful stop waits at most for an entry to receive the last messages.
FLUSH_SECONDS = 2.0
# Bytes of one answer that may be sent before the entry gives more credit.
WINDOW_BYTES = 256 * 1024

STOPPING = "the upstream's agent is shutting down"


class OnlineWork:
    """Run one online request and send its answer to the entry."""

    def __init__(
        self,
        offer: exchange.Offer,
        stream: rpc.Stream,
        entry_server: "EntryServer",
        work_id: str,
    ):
        now = entry_server.timer.read_clock()
        self.ticket = queue.Ticket(
            work_id, offer.customer, False, offer.cost, now, now + offer.remaining
        )
        self.alone = offer.alone
        self.traits = offer.traits
        self._offer = offer
        self._stream = stream
        self._server = entry_server
        self._permitted = asyncio.Event()
        # Whether the request may have reached the upstream.
        self._was_sent = False
        self._credit = WINDOW_BYTES
        self._credit_added = asyncio.Event()

    def permit(self) -> None:
        """Record the entry's permission to send the request to the upstream."""
        self._permitted.set()

    def add_credit(self, size: int) -> None:
        """Allow `size` more bytes of the answer to be sent."""
        self._credit += size
        self._credit_added.set()

    def is_preemptible(self) -> bool:
        """Return false; online work is never cancelled for other work."""
        return False

    def refuse(self, failure: error.SeamError) -> None:
        """Tell the entry that the request was not run."""
        self._stream.post(
            exchange.Fail(
                self._offer.attempt,
                str(failure.kind),
                failure.message,
                True,
                failure.retry_after,
            )
        )
        self._server.remove_request(self.ticket.id)

    def end(self) -> None:
        """Tell the entry that the request ends here, and whether it may have run."""
        was_sent = self._was_sent
        kind = error.Kind.OUTCOME_UNKNOWN if was_sent else error.Kind.SHUTTING_DOWN
        retry_after = error.ANSWERS[kind].retry_after
        self._stream.post(
            exchange.Fail(
                self._offer.attempt, str(kind), STOPPING, not was_sent, retry_after
            )
        )

    async def run(self) -> Completion:
        """Send the request to the upstream and its answer to the entry."""
        try:
            if self._offer.ask and not await self._request_permission():
                text = "the entry did not permit sending the request in time"
                self.refuse(error.CapacityError(text))
                return Completion(0.0, False)
            if self._offer.served not in ("", self._server.upstream.served):
                text = "the upstream serves something else now"
                self.refuse(error.CapacityError(text, error.Kind.NO_UPSTREAM))
                return Completion(0.0, False)
            if self._server.upstream.has_crashed:
                # A sidecar would accept the request and break its connection.
                text = "the upstream has crashed and isn't back yet"
                self.refuse(error.CapacityError(text, error.Kind.NO_UPSTREAM))
                return Completion(0.0, False)
            self._was_sent = True
            return await self._exchange()
        except Exception:
            logger.exception("internal error while running a request")
            text = "internal error in the upstream's agent"
            self._stream.post(
                exchange.Fail(
                    self._offer.attempt,
                    str(error.Kind.INTERNAL),
                    text,
                    not self._was_sent,
                )
            )
            return Completion(self._offer.cost, False)
        finally:
            self._server.remove_request(self.ticket.id)

    async def _request_permission(self) -> bool:
        """Request the entry's permission to send; return whether it came in time."""
        timer = self._server.timer
        self._stream.post(exchange.Ready(self._offer.attempt))
        try:
            await wait_for(timer, self._permitted.wait(), GO_SECONDS)
        except TimeoutError:
            return False
        # This process may have been frozen after the permission arrived.
        return timer.read_clock() < self.ticket.deadline

    async def _exchange(self) -> Completion:
        offer = self._offer
        token_timer = TokenTimer(self, self._server)
        proof = crash.Proof(self._server.timer, lambda: None)
        running = self._server.crash_detector.open(
            crash.Run(self._server.upstream.name)
        )
        size = 0
        answer = self._server.upstream.run(
            offer.method, offer.target, offer.headers, offer.body, offer.attempt
        )
        try:
            async for item in answer:
                running.record_received()
                if isinstance(item, exchange.Head):
                    token_timer.begin(item)
                else:
                    token_timer.record_part()
                    if token_timer.is_streamed:
                        proof.record_events()
                    size += len(item.body)
                    await self._take_credit(len(item.body))
                await self._stream.send(item)
        except engine.UpstreamError as failure:
            blamed = () if proof.is_proven else self.traits
            await self._report_failure(failure, running, blamed)
            return Completion(offer.cost, False)
        except rpc.LinkError:
            return Completion(offer.cost, False)
        finally:
            running.close()
            await answer.aclose()
        self._stream.post(exchange.End(offer.attempt))
        return Completion(len(offer.body) / 4 + size / 4, True)

    async def _take_credit(self, size: int) -> None:
        """Wait while the answer's credit is used up; then take `size` bytes of it."""
        while self._credit <= 0:
            self._credit_added.clear()
            await self._credit_added.wait()
        self._credit -= size

    async def _report_failure(
        self,
        failure: engine.UpstreamError,
        running: crash.Exchange,
        blamed: tuple[str, ...],
    ) -> None:
        """Report a failed exchange to the entry, and whether it was a crash.

        The caller of a proven request, which has no `blamed` traits, doesn't wait until
        this is known.
        """
        has_crashed = False
        if failure.broken and blamed:
            has_crashed = await running.detect_crash(blamed)
        elif failure.broken:
            running.record_break()
        self._stream.post(engine.make_fail(failure, self._offer.attempt, has_crashed))


class TokenTimer:
    """Report the times of an answer's tokens to the admission.

    The arrival of the first and later tokens can be observed only if the answer is
    streamed. No times are reported for other answers, except that the start of a
    plain service's answer counts as a first token.
    """

    def __init__(self, work: OnlineWork, entry_server: "EntryServer"):
        self._work = work
        self._server = entry_server
        self.is_streamed = False
        self._last = 0.0

    def begin(self, head: exchange.Head) -> None:
        """Record the start of the answer and whether it is streamed."""
        kind = next((v for n, v in head.headers if n.lower() == "content-type"), "")
        self.is_streamed = kind.startswith("text/event-stream")
        if not self.is_streamed and self._server.scheduler.is_service:
            self._server.scheduler.observe_first_token(self._work)

    def record_part(self) -> None:
        """Record that a part of the answer arrived."""
        if not self.is_streamed:
            return
        now = self._server.timer.read_clock()
        if self._last:
            self._server.scheduler.observe_step(now - self._last)
        else:
            self._server.scheduler.observe_first_token(self._work)
        self._last = now


class EntryServer:
    """Serve the streams of all entries."""

    def __init__(
        self,
        upstream: engine.UpstreamClient,
        scheduler: Scheduler,
        crash_detector: crash.CrashDetector,
        timeline: Timeline,
        timer: TimerService,
        its_grace: grace.Grace | None = None,
    ):
        self._grace = its_grace or grace.Grace(timer=timer)
        self.upstream = upstream
        self.scheduler = scheduler
        self.crash_detector = crash_detector
        self.timer = timer
        self._timeline = timeline
        self._requests: dict[str, OnlineWork] = {}
        self._streams: set[rpc.Stream] = set()
        self._next_stream_number = 0
        self._tasks = TaskGroup()

    def register(self, server: rpc.Server) -> None:
        """Register the handler of entries' streams."""
        server.add_stream(exchange.Connect, frozenset({Role.FLEET}), self.serve)

    async def start(self) -> None:
        """Start the periodic load reports to entries."""
        self._tasks.spawn(run_periodically(self.timer, LOAD_SECONDS, self._send_load))

    async def stop(self) -> None:
        """Refuse waiting requests, finish running ones and flush all streams.

        Batch work that can run elsewhere is cancelled and its items are returned.
        Requests that run on until the grace is nearly over are ended; their entries
        are told whether they may have run.
        """
        self._grace.begin()
        self.scheduler.refuse_all(STOPPING, final=True)
        self.send_load()
        self.scheduler.preempt_batch()
        await self.scheduler.wait_idle(self._grace.read_remaining(grace.DEADLINE_SHARE))
        self._end_requests()
        flushes = [self._flush(stream) for stream in self._streams]
        await asyncio.gather(*flushes)
        await self._tasks.cancel()

    def _end_requests(self) -> None:
        for work_id, work in list(self._requests.items()):
            work.end()
            self._remove(work_id)

    async def _flush(self, stream: rpc.Stream) -> None:
        try:
            remaining = self._grace.read_remaining(grace.CUT_SHARE)
            limit = min(FLUSH_SECONDS, remaining)
            await wait_for(self.timer, stream.flush(), limit)
        except TimeoutError:
            logger.info("an entry did not receive the last messages in time")

    def remove_request(self, work_id: str) -> None:
        """Remove a request that has ended."""
        self._requests.pop(work_id, None)

    def _describe_load(self) -> exchange.Load:
        scheduler = self.scheduler
        return exchange.Load(
            self.upstream.name,
            scheduler.count_running(False),
            scheduler.count_waiting(False),
            scheduler.slots,
            scheduler.draining,
            self.upstream.healthy,
        )

    async def _send_load(self) -> None:
        self.send_load()

    def send_load(self) -> None:
        """Send the current load to every entry."""
        load = self._describe_load()
        for stream in self._streams:
            stream.post(load)

    async def serve(self, first: exchange.Connect, stream: rpc.Stream) -> None:
        """Serve one entry's stream until it ends."""
        prefix = f"{first.entry}/{self._next_stream_number}"
        self._next_stream_number += 1
        stream.post(self._describe_load())
        self._streams.add(stream)
        try:
            while True:
                self._handle(await stream.receive(), stream, prefix)
        finally:
            self._streams.discard(stream)
            for work_id in [i for i in self._requests if i.startswith(prefix + "/")]:
                self._remove(work_id)

    def _handle(self, item: Any, stream: rpc.Stream, prefix: str) -> None:
        work_id = f"{prefix}/{item.attempt}"
        work = self._requests.get(work_id)
        match item:
            case exchange.Offer():
                self._timeline.clock.update(item.clock)
                work = OnlineWork(item, stream, self, work_id)
                self._requests[work_id] = work
                self.scheduler.submit(work)
            case exchange.Go() if work is not None:
                work.permit()
            case exchange.Credit() if work is not None:
                work.add_credit(item.size)
            case exchange.Revoke():
                self._remove(work_id)

    def _remove(self, work_id: str) -> None:
        """Remove a request from the queue, or cancel it at the upstream."""
        self._requests.pop(work_id, None)
        self.scheduler.remove(work_id)
