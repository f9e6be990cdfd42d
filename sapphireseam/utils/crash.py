"""Detects crashes of upstreams and reports the requests that may cause them.

A process sees a crash only as broken connections, and the connections of all
running requests break at once. The first broken exchange therefore opens an
episode that covers all exchanges with that run of the upstream. After a short delay
the episode is classified as a whole. If one of its exchanges has received more since,
or the upstream still answers, it is no crash and no request is suspected. Else the run
has ended, and every request whose exchange broke is reported, unless it was proven
sound. A connection alone is no sign of life: a sidecar accepts it for an upstream that
is down. Items of batch jobs are part of an episode but are never reported. An agent
that is lost together with its VM reports no crash, so no request is blamed for the loss
of a VM.
"""

import asyncio
import logging
import math
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDictProxy

from sapphireseam.core import command, error
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.utils import framing
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# All broken connections of one crash are observed within this time.
COLLECT_SECONDS = 0.1
# An upstream that accepts no connection within this time is down.
CONNECT_SECONDS = 0.3
# An upstream that has sent no answer after this time may be busy, so it isn't down.
ANSWER_SECONDS = 0.3
# Statuses that a sidecar answers for an upstream that is down.
PROXY_STATUSES = frozenset({502, 503, 504})
# Failed requests wait at most this long for the crash report to be accepted before
# their callers get an answer.
REPORT_SECONDS = 2.0
# Pause before a failed report is sent again.
RETRY_SECONDS = 1.0
# A report that wasn't accepted for this long is dropped.
MAX_AGE_SECONDS = 60.0
# A request is proven sound once its upstream has sent this many events, the last of
# them at least so many seconds after the first.
PROVEN_EVENTS = 2
PROVEN_SECONDS = 0.5


class Run(NamedTuple):
    """One run of an upstream, from its start to its end.

    All processes use the same `name`. It is empty if only this process uses the
    upstream and doesn't know its start.
    """

    upstream: str
    name: str = ""
    address: str = ""
    service: str = ""


def get_run(instance: Instance) -> Run:
    """Return the run of an instance that was found by discovery."""
    name = get_run_name(instance)
    return Run(instance.id, name, instance.address, instance.service)


async def is_down(
    address: str,
    path: str,
    is_signed: Callable[[CIMultiDictProxy[str]], bool] = lambda headers: False,
) -> bool:
    """Return whether an upstream is down, by a request for `path`.

    It is down if it accepts no connection or breaks it without an answer. It is down
    as well if the answer may be a sidecar's, by its status, and `is_signed` says that
    none of its headers shows otherwise.
    """
    timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_SECONDS)
    try:
        async with framing.create_session(timeout=timeout) as session:
            # The library's own timeout covers the time to connect only.
            answering = session.get(f"http://{address}{path}", allow_redirects=False)
            async with asyncio.timeout(CONNECT_SECONDS + ANSWER_SECONDS):
                async with answering as response:
                    is_proxy_status = response.status in PROXY_STATUSES
                    return is_proxy_status and not is_signed(response.headers)
    except aiohttp.ConnectionTimeoutError:
        return True
    except TimeoutError:
        return False
    except (aiohttp.ClientResponseError, framing.MalformedAnswerError):
        # Something answers, although it isn't valid.
        return False
    except (aiohttp.ClientError, OSError):
        return True


class Proof:
    """Track whether the answers to a request prove it sound.

    `on_proven` is called once, as soon as `is_proven` is true.
    """

    def __init__(self, timer: TimerService, on_proven: Callable[[], None]):
        self.is_proven = False
        self._timer = timer
        self._on_proven = on_proven
        self._events = 0
        self._first_at = 0.0

    def restart(self) -> None:
        """Begin a new attempt; the events of the last one don't count any more."""
        self._events = 0

    def record_events(self, count: int = 1) -> None:
        """Record events of the attempt's answer that have just arrived."""
        now = self._timer.read_clock()
        if not self._events:
            self._first_at = now
        self._events += count
        lasted = now - self._first_at
        if self._events >= PROVEN_EVENTS and lasted >= PROVEN_SECONDS:
            self.record_success()

    def record_success(self) -> None:
        """Record that a successful answer is complete."""
        if not self.is_proven:
            self.is_proven = True
            self._on_proven()


class Exchange:
    """One exchange with an upstream, which is open until `close`."""

    def __init__(self, detector: "CrashDetector", run: Run):
        self.run = run
        # When the exchange received data last, on the detector's clock.
        self.received_at = -math.inf
        self._detector = detector

    def __enter__(self) -> "Exchange":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def has_received(self) -> bool:
        """Whether the upstream has sent data."""
        return self.received_at > -math.inf

    def close(self) -> None:
        """Record that the exchange has ended."""
        self._detector.remove(self)

    def record_received(self) -> None:
        """Record that the upstream has sent data."""
        self.received_at = self._detector.read_clock()

    def record_break(self, traits: tuple[str, ...] = ()) -> asyncio.Future[bool]:
        """Record that the connection broke, and return whether it was a crash.

        The exchange must still be open. Without traits, the request is not reported.
        """
        return self._detector.record_break(self, traits)

    async def detect_crash(self, traits: tuple[str, ...]) -> bool:
        """Return whether a broken exchange was part of a crash of the upstream.

        When this returns true, the control VMs have accepted the crash report, and
        the mirror has the verdict, unless that took longer than REPORT_SECONDS.
        """
        return await asyncio.shield(self.record_break(traits))


class _Episode:
    """Collect the broken exchanges that may belong to one crash.

    `members` are the exchanges that were open at the first break, which was at `began`.
    `broken` maps broken ones to the traits to report, and `crashed` resolves to whether
    the upstream crashed.
    """

    def __init__(self, run: Run, members: frozenset[Exchange], began: float):
        self.run = run
        self.members = members
        self.began = began
        self.broken: dict[Exchange, tuple[str, ...]] = {}
        self.crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class CrashDetector:
    """Detect and report crashes of the upstreams that this process uses.

    `has_ended` is called once an episode and returns whether a run has ended
    unexpectedly.
    """

    def __init__(
        self,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
        has_ended: Callable[[Run], Awaitable[bool]],
    ):
        # Called with the run that has crashed, before the report of it.
        self.on_crash: Callable[[Run], None] = lambda run: None
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._timer = timer
        self._has_ended = has_ended
        self._open: dict[Run, set[Exchange]] = {}
        self._episodes: list[_Episode] = []
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing; tasks start at the first broken exchange."""

    async def stop(self) -> None:
        """Cancel the reports that are not accepted yet."""
        await self._tasks.cancel()

    def open(self, run: Run) -> Exchange:
        """Return a new exchange with a run of an upstream."""
        exchange = Exchange(self, run)
        self._open.setdefault(run, set()).add(exchange)
        return exchange

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        exchanges = self._open.get(exchange.run, set())
        exchanges.discard(exchange)
        if not exchanges:
            self._open.pop(exchange.run, None)

    def record_break(
        self, exchange: Exchange, traits: tuple[str, ...]
    ) -> asyncio.Future[bool]:
        """Add a broken exchange to its episode, which begins with the first one.

        One that was opened after that, and got no data, may have met an upstream that
        was down already, so it is no other crash.
        """
        for episode in self._episodes:
            has_met_it = exchange.run == episode.run and not exchange.has_received
            if exchange in episode.members or has_met_it:
                break
        else:
            run = exchange.run
            members = frozenset(self._open[run])
            episode = _Episode(run, members, self._timer.read_clock())
            self._episodes.append(episode)
            self._tasks.spawn(self._classify(episode))
        episode.broken[exchange] = traits
        return episode.crashed

    async def _classify(self, episode: _Episode) -> None:
        has_crashed = True
        try:
            await self._timer.sleep(COLLECT_SECONDS)
            has_crashed = not self._has_survivors(episode) and await self._has_ended(
                episode.run
            )
            if has_crashed:
                self._timeline.record("upstream_died", episode.run.upstream)
                self.on_crash(episode.run)
                await self._report(episode)
        finally:
            self._episodes.remove(episode)
            if not episode.crashed.done():
                episode.crashed.set_result(has_crashed)

    def _has_survivors(self, episode: _Episode) -> bool:
        """Return whether an exchange has received data since the first break.

        One that waits for a slow caller doesn't notice that its connection broke.
        """
        running = self._open.get(episode.run, set())
        survivors = episode.members & running - episode.broken.keys()
        return any(each.received_at > episode.began for each in survivors)

    def read_clock(self) -> float:
        """Return the time of the detector's clock."""
        return self._timer.read_clock()

    async def _report(self, episode: _Episode) -> None:
        upstream = episode.run.upstream
        run = episode.run.name or f"{upstream}/{secrets.token_hex(8)}"
        broken = episode.broken.values()
        requests = tuple(dict.fromkeys(traits for traits in broken if traits))
        logger.info(
            "upstream crashed",
            extra={"run": run, "broken": len(broken), "suspects": len(requests)},
        )
        if not requests:
            return
        report = command.ReportCrash(
            f"crash-{secrets.token_hex(8)}",
            upstream,
            run,
            requests,
            self._timer.read_wall_clock(),
        )
        sending = self._tasks.spawn(self._propose(report))
        try:
            await wait_for(self._timer, asyncio.shield(sending), REPORT_SECONDS)
        except TimeoutError:
            logger.warning("crash report not accepted yet; retrying in the background")

    async def _propose(self, report: command.ReportCrash) -> None:
        """Send a report until it is accepted, then wait for the verdict."""
        end = self._timer.read_clock() + MAX_AGE_SECONDS
        while self._timer.read_clock() < end:
            try:
                await self._client.propose(report)
                break
            except error.SeamError as failure:
                logger.warning(
                    "crash report failed; retrying", extra={"cause": failure.message}
                )
            await self._timer.sleep(RETRY_SECONDS)
        try:
            await self._mirror.refresh()
        except error.SeamError as failure:
            logger.info("verdict not mirrored yet", extra={"cause": failure.message})
