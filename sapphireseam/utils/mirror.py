"""Mirrors the shared state of the control VMs in a process, under a lease.

The shared state is the configuration, the keys, the leaving upstreams, the verdicts on
traits of requests, the ceilings of upstreams and the evacuated failure domains. The
mirror keeps one watch open to any control VM and connects to the next one if that VM
sends nothing for `SILENCE_SECONDS`.

`is_confirmed` is true only while the lease is valid. A quorum renews the lease.
The lease counts from the moment when this process sent the ping, on the clock of
this process, so delays, frozen processes and wrong clocks can't extend it.

A revision is never replaced by an older one: the mirror disconnects from a control
VM that has an older revision.
"""

import asyncio
import functools
import itertools
import logging
import random
from collections.abc import Callable
from typing import Any

from sapphireseam.core import (
    ceiling,
    codec,
    error,
    evacuation,
    fleet,
    jsontext,
    key,
    message,
    notice,
    verdict,
)
from sapphireseam.utils import broadcast, metric, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# Duration of the lease, counted from when the ping that renewed it was sent.
LEASE_SECONDS = 3.0
# Interval between pings. Each ping requests a renewal of the lease.
PING_SECONDS = 0.5
# The mirror connects to another control VM after this long without a message.
SILENCE_SECONDS = 1.5
RECONNECT_DELAY_SECONDS = 0.2


class Mirror:
    """Holds a copy of the shared state for one process."""

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
        self.verdicts: dict[str, verdict.Verdict] = {}
        self.ceilings: dict[str, ceiling.Ceiling] = {}
        self.evacuated = evacuation.Evacuated()
        self._document: dict[str, Any] = {}
        self._node = node
        self._program = program
        self._client = client
        self._next_index = random.randrange(1000)
        self._timeline = timeline
        self._timer = timer
        self._tasks = TaskGroup()
        self._listeners: list[Callable[[], None]] = []
        self._lease_end = 0.0
        self._nonces = itertools.count(1)
        self._ping_times: dict[int, float] = {}
        self._last_sent_clock = 0.0
        self._stream: rpc.Stream | None = None
        self._pending_refreshes: dict[int, asyncio.Future[None]] = {}
        self._refreshes = broadcast.Coalescer(self._refresh, self._tasks)
        self._confirmed = broadcast.Broadcast()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after every change."""
        self._listeners.append(listener)

    def report(self, meter: metric.Meter) -> None:
        """Register the metrics for the lease and the revision in force."""
        meter.read(metric.CONFIRMED, self.is_confirmed)
        meter.read(metric.REVISION, lambda: self.revision)

    def is_confirmed(self) -> bool:
        """Return whether the lease is valid."""
        return self._timer.read_clock() < self._lease_end

    def was_confirmed_within(self, seconds: float) -> bool:
        """Return whether the lease is valid or ended less than `seconds` ago."""
        return self._timer.read_clock() < self._lease_end + seconds

    async def wait_confirmed(self, seconds: float) -> None:
        """Wait until the lease is valid, at most for some seconds."""
        confirmed = self._confirmed.wait_until(self.is_confirmed)
        try:
            await wait_for(self._timer, confirmed, seconds)
        except TimeoutError:
            return

    async def refresh(self) -> None:
        """Return once all changes committed before the call are mirrored.

        Raises `ControlError` if no control VM confirms it in time.
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
        self._pending_refreshes[nonce] = future
        try:
            await wait_for(self._timer, future, SILENCE_SECONDS)
        finally:
            del self._pending_refreshes[nonce]

    async def start(self) -> None:
        """Start to watch."""
        self._tasks.keep(self._watch_forever)

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel()

    async def _watch_forever(self) -> None:
        while True:
            address = ""
            try:
                address = self._next_address()
                await self._watch(address)
            except (error.SeamError, TimeoutError) as failure:
                detail = {"address": address, "cause": str(failure)}
                logger.info("watch ended", extra=detail)
            await self._timer.sleep(RECONNECT_DELAY_SECONDS)

    def _next_address(self) -> str:
        """Return the next address of the known control VMs, in round-robin order."""
        addresses = self._client.addresses
        if not addresses:
            raise error.ControlError("no control VM is known")
        self._next_index += 1
        return addresses[self._next_index % len(addresses)]

    async def _watch(self, address: str) -> None:
        """Watch one control VM until it times out or has an older revision."""
        first = notice.Watch(self._node, self._program, self.revision)
        opening = self._client.get_channel(address).open(first)
        stream = await wait_for(self._timer, opening, SILENCE_SECONDS)
        self._ping_times.clear()
        self._stream = stream
        pings = self._tasks.keep(functools.partial(self._ping_forever, stream))
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
        self._ping_times[nonce] = self._timer.read_clock()
        stream.post(notice.Ping(nonce, self.revision))
        return nonce

    def _send_events(self, stream: rpc.Stream) -> None:
        events = self._timeline.read(self._last_sent_clock)
        if events:
            self._last_sent_clock = events[-1].clock
            stream.post(message.SendEvents(self._node, events))

    def _apply(self, item: Any) -> None:
        match item:
            case notice.Renewal():
                self._renew(item)
                return
            case notice.Whole():
                self._replace(item)
            case notice.FleetChange():
                changes = jsontext.parse(codec.decompress(item.changes))
                self._apply_configuration(
                    item.revision, fleet.patch(self._document, changes)
                )
            case notice.KeyChange():
                self.keys[item.key.id] = item.key
            case notice.LeavingChange():
                change = self.leaving.add if item.leaving else self.leaving.discard
                change(item.upstream)
            case notice.VerdictChange():
                self._apply_verdicts(item)
            case notice.CeilingChange():
                self.ceilings = {each.run: each for each in item.ceilings}
            case notice.EvacuationChange():
                self._apply_evacuated(item.evacuated)
            case message.Failure():
                raise rpc.unpack_failure(item)
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                # The others, and the watch, must not end with it.
                logger.exception("a part could not follow a change")

    def _renew(self, item: notice.Renewal) -> None:
        self._timeline.clock.update(item.clock)
        sent_at = self._ping_times.pop(item.nonce, None)
        if sent_at is None or item.revision > self.revision:
            return
        for nonce in [n for n in self._ping_times if n < item.nonce]:
            del self._ping_times[nonce]
        self._lease_end = max(self._lease_end, sent_at + LEASE_SECONDS)
        self._confirmed.notify()
        future = self._pending_refreshes.get(item.nonce)
        if future is not None and not future.done():
            future.set_result(None)

    def _replace(self, item: notice.Whole) -> None:
        if item.revision < self.revision:
            text = f"control VM revision {item.revision} is older than {self.revision}"
            raise error.ControlError(text)
        self.keys = {entry.id: entry for entry in item.keys}
        self.leaving = set(item.leaving)
        self.verdicts = {each.trait: each for each in item.verdicts}
        self.ceilings = {each.run: each for each in item.ceilings}
        self._apply_evacuated(item.evacuated)
        self._apply_configuration(
            item.revision, jsontext.parse(codec.decompress(item.document))
        )

    def _apply_verdicts(self, item: notice.VerdictChange) -> None:
        """Update the verdicts on requests under which upstreams crashed."""
        for trait in item.cleared:
            self.verdicts.pop(trait, None)
        self.verdicts.update((each.trait, each) for each in item.verdicts)

    def _apply_evacuated(self, item: evacuation.Evacuated) -> None:
        """Put the evacuations in force in this process, unless it knows newer ones."""
        if item.number <= self.evacuated.number:
            return
        self.evacuated = item
        detail = {"domains": item.domains, "number": item.number}
        logger.info("evacuations in force", extra=detail)

    def _apply_configuration(self, revision: int, document: dict[str, Any]) -> None:
        """Put a configuration in force in this process."""
        if revision < self.revision:
            raise error.ControlError("the control VM sent an older revision")
        parsed, findings = fleet.parse(document)
        if parsed is None or findings:
            raise error.ConfigurationError(fleet.render_findings(findings))
        if revision > self.revision:
            self._timeline.record("in_force", revision=revision)
            detail = {"revision": revision, "former": self.revision}
            logger.info("configuration in force", extra=detail)
        self._document = document
        self.fleet = parsed
        self.revision = revision
