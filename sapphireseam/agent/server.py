"""Take requests from entries, one stream a peer.

Each entry keeps one stream open. Its requests wait in the runner's queue; the
answers go back under the entry's attempt numbers. When the stream ends,
whatever it brought is dropped from the queue or cancelled, so an entry that
died leaves nothing behind.

Of each answer only so much is under way as the entry gave credit for, so a
caller that reads slowly holds up its own answer and no other.
"""

import asyncio
import logging
from typing import Any

from sapphireseam.agent import engine
from sapphireseam.agent.crash import CrashDetector
from sapphireseam.agent.scheduler import Completion, Scheduler
from sapphireseam.core import error, exchange
from sapphireseam.policy import queue
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically, wait_for

logger = logging.getLogger(__name__)

# How often entries are told the load; they take silence for a lost link.
LOAD_SECONDS = 0.25
# How long the entry may take to allow a hand-over.
GO_SECONDS = 2.0
# How long a graceful stop waits for running work, in seconds.
DRAIN_SECONDS = 60.0
# How long it waits for an entry to take the last messages, in seconds.
FLUSH_SECONDS = 2.0
# Bytes of one answer that may be on their way to the entry.
WINDOW_BYTES = 256 * 1024

STOPPING = "the upstream's agent is shutting down"


class OnlineWork:
    """Run one online request and send its answer to the entry."""

    def __init__(
        self, offer: exchange.Offer, stream: rpc.Stream, owner: "EntryServer", id: str
    ):
        now = owner.timer.read_clock()
        self.ticket = queue.Ticket(
            id, offer.customer, False, offer.cost, now, now + offer.remaining
        )
        self.alone = offer.alone
        self.fingerprint = offer.fingerprint
        self._offer = offer
        self._stream = stream
        self._owner = owner
        self._go = asyncio.Event()
        self._credit = WINDOW_BYTES
        self._credited = asyncio.Event()

    def allow(self) -> None:
        """Take the entry's word that the request may be handed over."""
        self._go.set()

    def add_credit(self, size: int) -> None:
        """Take the entry's word that so many bytes more may be sent."""
        self._credit += size
        self._credited.set()

    def is_preemptible(self) -> bool:
        """Return false: online work is never cancelled for other work."""
        return False

    def refuse(self, failure: error.SeamError) -> None:
        """Tell the entry that the request wasn't run."""
        self._stream.post(
            exchange.Fail(
                self._offer.attempt,
                str(failure.kind),
                failure.message,
                True,
                failure.retry_after,
            )
        )
        self._owner.forget(self.ticket.id)

    async def run(self) -> Completion:
        """Hand the request over and pass its answer on."""
        handed_over = False
        try:
            if self._offer.ask and not await self._ask():
                text = "the entry didn't allow the hand-over in time"
                self.refuse(error.CapacityError(text))
                return Completion(0.0, False)
            handed_over = True
            return await self._exchange()
        except Exception:
            logger.exception("a request failed here")
            text = "internal error in the upstream's agent"
            self._stream.post(
                exchange.Fail(
                    self._offer.attempt,
                    str(error.Kind.INTERNAL),
                    text,
                    not handed_over,
                )
            )
            return Completion(self._offer.cost, False)
        finally:
            self._owner.forget(self.ticket.id)

    async def _ask(self) -> bool:
        """Return whether the entry allows the hand-over, before the deadline."""
        timer = self._owner.timer
        self._stream.post(exchange.Ready(self._offer.attempt))
        try:
            await wait_for(timer, self._go.wait(), GO_SECONDS)
        except TimeoutError:
            return False
        # This process may have been frozen since.
        return timer.read_clock() < self.ticket.deadline

    async def _exchange(self) -> Completion:
        offer = self._offer
        pace = Pace(self, self._owner)
        size = 0
        answer = self._owner.upstream.run(
            offer.method, offer.target, offer.headers, offer.body, offer.attempt
        )
        try:
            async for item in answer:
                if isinstance(item, exchange.Head):
                    pace.begin(item)
                else:
                    pace.note()
                    size += len(item.body)
                    await self._take_credit(len(item.body))
                await self._stream.send(item)
        except engine.UpstreamError as failure:
            await self._report(failure)
            return Completion(offer.cost, False)
        except rpc.LinkError:
            return Completion(offer.cost, False)
        finally:
            await answer.aclose()
        self._stream.post(exchange.End(offer.attempt))
        return Completion(len(offer.body) / 4 + size / 4, True)

    async def _take_credit(self, size: int) -> None:
        """Wait until the entry has room for more of this answer."""
        while self._credit <= 0:
            self._credited.clear()
            await self._credited.wait()
        self._credit -= size

    async def _report(self, failure: engine.UpstreamError) -> None:
        """Tell the entry that the exchange failed, and whether by a death."""
        died = False
        if failure.broken:
            died = await self._owner.crash_detector.detect_crash(
                self.ticket.id, self.fingerprint
            )
        self._stream.post(engine.make_fail(failure, self._offer.attempt, died))


class Pace:
    """Tell the admission how fast an answer's tokens come.

    Only a stream shows its first token and its steps. The end of an answer that
    comes whole says nothing of them; a plain service's answer counts as a first
    token.
    """

    def __init__(self, work: OnlineWork, owner: "EntryServer"):
        self._work = work
        self._owner = owner
        self._streamed = False
        self._last = 0.0

    def begin(self, head: exchange.Head) -> None:
        """Note whether the answer is a stream."""
        kind = next((v for n, v in head.headers if n.lower() == "content-type"), "")
        self._streamed = kind.startswith("text/event-stream")
        if not self._streamed and self._owner.scheduler.is_service:
            self._owner.scheduler.observe_first_token(self._work)

    def note(self) -> None:
        """Note that a piece of the answer came."""
        if not self._streamed:
            return
        now = self._owner.timer.read_clock()
        if self._last:
            self._owner.scheduler.observe_step(now - self._last)
        else:
            self._owner.scheduler.observe_first_token(self._work)
        self._last = now


class EntryServer:
    """Serve the streams of all entries."""

    def __init__(
        self,
        upstream: engine.UpstreamClient,
        scheduler: Scheduler,
        crash_detector: CrashDetector,
        timeline: Timeline,
        timer: TimerService,
    ):
        self.upstream = upstream
        self.scheduler = scheduler
        self.crash_detector = crash_detector
        self.timer = timer
        self._timeline = timeline
        self._works: dict[str, OnlineWork] = {}
        self._streams: set[rpc.Stream] = set()
        self._next = 0
        self._tasks = TaskGroup()

    def register(self, server: rpc.Server) -> None:
        """Have the server pass entries' streams to this one."""
        server.add_stream(exchange.Connect, frozenset({Role.FLEET}), self.serve)

    async def start(self) -> None:
        """Begin to tell entries the load."""
        self._tasks.spawn(run_periodically(self.timer, LOAD_SECONDS, self._tell_load))

    async def stop(self) -> None:
        """Refuse what waits, finish what runs, and say so to every entry.

        Batch work that may run elsewhere is cancelled; its items go back.
        """
        self.scheduler.refuse_all(STOPPING, final=True)
        self.send_load()
        self.scheduler.preempt_batch()
        await self.scheduler.wait_idle(DRAIN_SECONDS)
        flushes = [self._flush(stream) for stream in self._streams]
        await asyncio.gather(*flushes)
        await self._tasks.cancel()

    async def _flush(self, stream: rpc.Stream) -> None:
        try:
            await wait_for(self.timer, stream.flush(), FLUSH_SECONDS)
        except TimeoutError:
            logger.info("an entry didn't take the last messages")

    def forget(self, work_id: str) -> None:
        """Drop a request that has ended."""
        self._works.pop(work_id, None)

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

    async def _tell_load(self) -> None:
        self.send_load()

    def send_load(self) -> None:
        """Tell every entry the load now."""
        load = self._describe_load()
        for stream in self._streams:
            stream.post(load)

    async def serve(self, first: exchange.Connect, stream: rpc.Stream) -> None:
        """Serve one entry's stream until it ends."""
        prefix = f"{first.entry}/{self._next}"
        self._next += 1
        stream.post(self._describe_load())
        self._streams.add(stream)
        try:
            while True:
                self._take(await stream.receive(), stream, prefix)
        finally:
            self._streams.discard(stream)
            for name in [n for n in self._works if n.startswith(prefix + "/")]:
                self._drop(name)

    def _take(self, item: Any, stream: rpc.Stream, prefix: str) -> None:
        name = f"{prefix}/{item.attempt}"
        work = self._works.get(name)
        match item:
            case exchange.Offer():
                self._timeline.clock.hear(item.clock)
                work = OnlineWork(item, stream, self, name)
                self._works[name] = work
                self.scheduler.submit(work)
            case exchange.Go() if work is not None:
                work.allow()
            case exchange.Credit() if work is not None:
                work.add_credit(item.size)
            case exchange.Revoke():
                self._drop(name)

    def _drop(self, name: str) -> None:
        """Take a request out of the queue or cancel it upstream."""
        self._works.pop(name, None)
        self.scheduler.remove(name)
