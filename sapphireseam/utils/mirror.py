"""Mirror what a process must know from the control VMs, under a lease.

The mirror keeps one watch open to any control VM and moves to the next one
when it falls silent. `is_confirmed` is true only while the lease lasts that a
quorum renewed; it counts on this process's own clock from when the process
asked, so neither delays, frozen processes nor wrong clocks can stretch it.
Revisions never go back: a control VM that lags behind is left.
"""

import asyncio
import itertools
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from sapphireseam.core import error, fleet, key, message, notice
from sapphireseam.utils import broadcast, metric, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# What a process knows counts as in force for this long after it asked.
LEASE_SECONDS = 3.0
# How often it asks.
PING_SECONDS = 0.5
# A control VM that answers nothing for this long is left for another.
SILENCE_SECONDS = 1.5
RECONNECT_SECONDS = 0.2


class Mirror:
    """Hold the fleet, the keys and the lists that every entry and agent needs."""

    def __init__(
        self,
        node: str,
        program: str,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        self.fleet = fleet.Fleet()
        self.revision = 0
        self.keys: dict[str, key.Key] = {}
        self.leaving: set[str] = set()
        self.quarantined: set[str] = set()
        self.suspects: set[str] = set()
        self._document: dict[str, Any] = {}
        self._node = node
        self._program = program
        self._client = client
        self._turn = random.randrange(1000)
        self._timeline = timeline
        self._timer = timer
        self._tasks = TaskGroup()
        self._listeners: list[Callable[[], None]] = []
        self._lease_end = 0.0
        self._nonces = itertools.count(1)
        self._asked: dict[int, float] = {}
        self._sent_events = 0.0
        self._stream: rpc.Stream | None = None
        self._renewed: dict[int, asyncio.Future[None]] = {}
        self._refreshes = broadcast.Coalescer(self._refresh, self._tasks)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call back after every change."""
        self._listeners.append(listener)

    def report(self, meter: metric.Meter) -> None:
        """Let collectors read what is in force here and whether it holds."""
        meter.read(metric.CONFIRMED, self.is_confirmed)
        meter.read(metric.REVISION, lambda: self.revision)

    def is_confirmed(self) -> bool:
        """Tell whether a quorum stands behind what is mirrored."""
        return self._timer.read_clock() < self._lease_end

    def was_confirmed_within(self, seconds: float) -> bool:
        """Tell whether a quorum stood behind what is mirrored so lately.

        The seconds are counted from the end of the last lease.
        """
        return self._timer.read_clock() < self._lease_end + seconds

    async def refresh(self) -> None:
        """Return once all is here that was committed before the call.

        Raises `ControlError` when that can't be had in time.
        """
        try:
            await wait_for(self._timer, self._refreshes.run(), SILENCE_SECONDS)
        except TimeoutError:
            raise error.ControlError("no control VM answered in time") from None

    async def _refresh(self) -> None:
        if self._stream is None:
            raise error.ControlError("no control VM can be reached")
        nonce = self._ping(self._stream)
        future = asyncio.get_running_loop().create_future()
        self._renewed[nonce] = future
        try:
            await wait_for(self._timer, future, SILENCE_SECONDS)
        finally:
            del self._renewed[nonce]

    async def start(self) -> None:
        """Begin to watch."""
        self._tasks.spawn(self._watch_forever())

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    async def _watch_forever(self) -> None:
        while True:
            address = self._pick()
            try:
                await self._watch(address)
            except (error.SeamError, TimeoutError) as failure:
                detail = {"address": address, "cause": str(failure)}
                logger.info("watch ended", extra=detail)
            await self._timer.sleep(RECONNECT_SECONDS)

    def _pick(self) -> str:
        """Return the next control VM in turn, of those there are now."""
        addresses = self._client.addresses
        self._turn += 1
        return addresses[self._turn % len(addresses)]

    async def _watch(self, address: str) -> None:
        """Follow one control VM until it falls silent or behind."""
        first = notice.Watch(self._node, self._program, self.revision)
        opening = self._client.get_channel(address).open(first)
        stream = await wait_for(self._timer, opening, SILENCE_SECONDS)
        self._asked.clear()
        self._stream = stream
        pings = self._tasks.spawn(self._ping_forever(stream))
        try:
            while True:
                item = await wait_for(self._timer, stream.receive(), SILENCE_SECONDS)
                self._apply(item)
        finally:
            self._stream = None
            pings.cancel()
            await stream.close()

    async def _ping_forever(self, stream: rpc.Stream) -> None:
        while True:
            self._ping(stream)
            self._send_events(stream)
            await self._timer.sleep(PING_SECONDS)

    def _ping(self, stream: rpc.Stream) -> int:
        nonce = next(self._nonces)
        self._asked[nonce] = self._timer.read_clock()
        stream.post(notice.Ping(nonce, self.revision))
        return nonce

    def _send_events(self, stream: rpc.Stream) -> None:
        events = self._timeline.read(self._sent_events)
        if events:
            self._sent_events = events[-1].clock
            stream.post(message.SendEvents(self._node, events))

    def _apply(self, item: Any) -> None:
        match item:
            case notice.Renewal():
                self._renew(item)
                return
            case notice.Whole():
                self._replace(item)
            case notice.FleetChange():
                changes = json.loads(item.changes)
                self._take(item.revision, fleet.patch(self._document, changes))
            case notice.KeyChange():
                self.keys[item.key.id] = item.key
            case notice.LeavingChange():
                change = self.leaving.add if item.leaving else self.leaving.discard
                change(item.upstream)
            case notice.VerdictChange():
                self._judge(item)
            case message.Failure():
                raise rpc.unpack_failure(item)
        for listener in self._listeners:
            listener()

    def _renew(self, item: notice.Renewal) -> None:
        self._timeline.clock.update(item.clock)
        asked = self._asked.pop(item.nonce, None)
        if asked is None or item.revision > self.revision:
            return
        for nonce in [n for n in self._asked if n < item.nonce]:
            del self._asked[nonce]
        self._lease_end = max(self._lease_end, asked + LEASE_SECONDS)
        future = self._renewed.get(item.nonce)
        if future is not None and not future.done():
            future.set_result(None)

    def _replace(self, item: notice.Whole) -> None:
        if item.revision < self.revision:
            text = f"it has revision {item.revision}, {self.revision} was seen"
            raise error.ControlError(text)
        self.keys = {entry.id: entry for entry in item.keys}
        self.leaving = set(item.leaving)
        self.quarantined = set(item.quarantined)
        self.suspects = set(item.suspects)
        self._take(item.revision, json.loads(item.document))

    def _judge(self, item: notice.VerdictChange) -> None:
        """Take in which requests crash upstreams, or may."""
        self.suspects.update(item.suspects)
        self.suspects.difference_update(item.cleared, item.quarantined)
        self.quarantined.update(item.quarantined)

    def _take(self, revision: int, document: dict[str, Any]) -> None:
        """Put a configuration in force here."""
        if revision < self.revision:
            raise error.ControlError("a revision went back")
        parsed, findings = fleet.parse(document)
        if parsed is None or findings:
            raise error.ConfigurationError(fleet.render_findings(findings))
        if revision > self.revision:
            self._timeline.record("in_force", revision=revision)
        self._document = document
        self.fleet = parsed
        self.revision = revision
