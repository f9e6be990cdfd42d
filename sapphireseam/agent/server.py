"""Take requests from entries, one stream a peer.

Each entry keeps one stream open. Its requests wait in the runner's queue; the
answers go back under the entry's attempt numbers. When the stream ends,
whatever it brought is dropped from the queue or cancelled, so an entry that
died leaves nothing behind.
"""

import asyncio
import logging
from typing import Any

from sapphireseam.agent import engine
from sapphireseam.agent.runner import Runner
from sapphireseam.core import command, error, message
from sapphireseam.policy import queue
from sapphireseam.utils import rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
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


class OnlineWork:
    """Run one online request and send its answer to the entry."""

    def __init__(
        self, offer: message.Offer, stream: rpc.Stream, owner: "EntryServer", id: str
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

    def allow(self) -> None:
        """Take the entry's word that the request may be handed over."""
        self._go.set()

    def may_yield(self) -> bool:
        """Return false: online work is never cancelled for other work."""
        return False

    def refuse(self, failure: error.SeamError) -> None:
        """Tell the entry that the request wasn't run."""
        self._stream.post(
            message.Fail(
                self._offer.attempt,
                str(failure.kind),
                failure.message,
                True,
                failure.retry_after,
            )
        )
        self._owner.forget(self.ticket.id)

    async def run(self) -> float:
        """Hand the request over and pass its answer on."""
        try:
            if self._offer.ask and not await self._ask():
                text = "the entry didn't allow the hand-over in time"
                self.refuse(error.CapacityError(text))
                return 0.0
            return await self._exchange()
        finally:
            self._owner.forget(self.ticket.id)

    async def _ask(self) -> bool:
        self._stream.post(message.Ready(self._offer.attempt))
        try:
            await wait_for(self._owner.timer, self._go.wait(), GO_SECONDS)
        except TimeoutError:
            return False
        return True

    async def _exchange(self) -> float:
        offer = self._offer
        first = True
        size = 0
        answer = self._owner.upstream.run(
            offer.method,
            offer.target,
            offer.headers,
            offer.body,
            offer.ask,
            offer.attempt,
        )
        try:
            async for item in answer:
                if first and isinstance(item, message.Data):
                    first = False
                    self._owner.runner.observe_first_token(self)
                size += len(getattr(item, "body", b""))
                await self._stream.send(item)
        except engine.UpstreamError as failure:
            if not failure.not_run:
                await self._owner.report_death(self)
            self._stream.post(engine.explain(failure, offer.attempt))
            return offer.cost
        except rpc.LinkError:
            return offer.cost
        finally:
            await answer.aclose()
        self._stream.post(message.End(offer.attempt))
        return len(offer.body) / 4 + size / 4


class EntryServer:
    """Serve the streams of all entries."""

    def __init__(
        self,
        upstream: engine.Upstream,
        runner: Runner,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        self.upstream = upstream
        self.runner = runner
        self.timer = timer
        self._client = client
        self._timeline = timeline
        self._works: dict[str, OnlineWork] = {}
        self._streams: set[rpc.Stream] = set()
        self._next = 0
        self._tasks = TaskGroup()

    def register(self, server: rpc.Server) -> None:
        """Have the server pass entries' streams to this one."""
        server.add_stream(message.Connect, frozenset({Role.FLEET}), self._serve)

    async def start(self) -> None:
        """Begin to tell entries the load."""
        self._tasks.spawn(run_periodically(self.timer, LOAD_SECONDS, self._tell_load))

    async def stop(self) -> None:
        """Refuse what waits, finish what runs, and say so to every entry."""
        self.runner.refuse_waiting()
        await self._tell_load()
        await self.runner.wait_idle(DRAIN_SECONDS)
        for stream in list(self._streams):
            await stream.flush()
        await self._tasks.cancel()

    def forget(self, work_id: str) -> None:
        """Drop a request that has ended."""
        self._works.pop(work_id, None)

    def _describe_load(self) -> message.Load:
        runner = self.runner
        return message.Load(
            self.upstream.name,
            runner.count_running(False),
            runner.count_waiting(False),
            runner.slots,
            runner.draining,
            self.upstream.healthy,
        )

    async def _tell_load(self) -> None:
        load = self._describe_load()
        for stream in self._streams:
            stream.post(load)

    async def _serve(self, first: message.Connect, stream: rpc.Stream) -> None:
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
        match item:
            case message.Offer():
                self._timeline.clock.hear(item.clock)
                work = OnlineWork(item, stream, self, name)
                self._works[name] = work
                self.runner.submit(work)
            case message.Go():
                work = self._works.get(name)
                if work is not None:
                    work.allow()
            case message.Revoke():
                self._drop(name)

    def _drop(self, name: str) -> None:
        """Take a request out of the queue or cancel it upstream."""
        self._works.pop(name, None)
        self.runner.remove(name)

    async def report_death(self, work: Any) -> None:
        """Count the upstream's death against all that it was running."""
        fingerprints = self.runner.list_fingerprints()
        alone = len(fingerprints) == 1
        now = self.timer.read_wall_clock()
        request = f"death-{self.upstream.name}-{work.ticket.id}-{now}"
        item = command.ReportDeath(
            request, self.upstream.name, fingerprints, alone, now
        )
        self._timeline.record("upstream_died", self.upstream.name)
        try:
            await self._client.propose(item, GO_SECONDS)
        except error.SeamError as failure:
            logger.warning("death not reported", extra={"cause": failure.message})
