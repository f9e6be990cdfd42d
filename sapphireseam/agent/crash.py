"""Detects crashes of the upstream and tracks the requests that may cause them.

The agent sees a crash only as broken connections, and the connections of all
running requests break at once. The first broken connection therefore opens an
episode that covers all work running at that time. After a short delay the
episode is classified as a whole. If none of its work still runs, the upstream
crashed once, and every request whose connection broke is suspected. If some of
the work still runs, the upstream is alive and no request is suspected. Batch items
are part of an episode but are never suspected. An agent that is lost together with
its VM reports no crash, so no request is blamed for the loss of a VM.
"""

import asyncio
import logging
import math
import secrets
from collections.abc import Callable

from sapphireseam.core import command, error
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, wait_for

logger = logging.getLogger(__name__)

# All broken connections of one crash are observed within this time.
COLLECT_SECONDS = 0.1
# Failed requests wait at most this long for the crash report to be accepted before
# their callers get an answer.
REPORT_SECONDS = 2.0
# Pause before a failed report is sent again.
RETRY_SECONDS = 1.0
# An accepted report reaches this agent's mirror within this time. Until then the
# agent relies on its own copy.
MIRROR_SECONDS = 5.0


class _Episode:
    """Collect the broken exchanges that may belong to one crash.

    `members` are the ids of the work that ran at the first break, `broken` maps
    the ids of broken work to fingerprints, and `crashed` resolves to whether the
    upstream crashed.
    """

    def __init__(self, members: frozenset[str]):
        self.members = members
        self.broken: dict[str, str] = {}
        self.crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class CrashDetector:
    """Detect and report crashes; track suspected and quarantined requests."""

    def __init__(
        self,
        upstream: str,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        # Returns the ids of the running work; set to the scheduler's method.
        self.list_running: Callable[[], frozenset[str]] = frozenset
        self._upstream = upstream
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._timer = timer
        self._episodes: list[_Episode] = []
        # Fingerprints from this agent's own reports and the times at which they are
        # dropped here. By then the mirror has them.
        self._suspects: dict[str, float] = {}
        self._quarantined: dict[str, float] = {}
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing; tasks start at the first broken exchange."""

    async def stop(self) -> None:
        """Cancel the reports that are not accepted yet."""
        await self._tasks.cancel()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request must run alone."""
        return fingerprint in self._mirror.suspects or self._is_listed(
            self._suspects, fingerprint
        )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run."""
        return fingerprint in self._mirror.quarantined or self._is_listed(
            self._quarantined, fingerprint
        )

    def _is_listed(self, expiries: dict[str, float], fingerprint: str) -> bool:
        return self._timer.read_clock() < expiries.get(fingerprint, -math.inf)

    def _apply_locally(self, report: command.ReportDeath, expires_at: float) -> None:
        """Apply a report locally by the rule of the state machine.

        The state machine also ignores the crash of a leaving upstream.
        """
        for fingerprint in report.fingerprints:
            if report.alone and self.is_suspect(fingerprint):
                self._quarantined[fingerprint] = expires_at
            self._suspects[fingerprint] = expires_at

    def _schedule_expiry(self, report: command.ReportDeath) -> None:
        """Drop a report's fingerprints here once the mirror has had time to get them.

        Fingerprints of earlier reports that have expired are dropped now.
        """
        expires_at = self._timer.read_clock() + MIRROR_SECONDS
        for expiries in (self._suspects, self._quarantined):
            for fingerprint in expiries.keys() & set(report.fingerprints):
                expiries[fingerprint] = expires_at
            for fingerprint in [
                f for f in expiries if not self._is_listed(expiries, f)
            ]:
                del expiries[fingerprint]

    async def detect_crash(self, work_id: str, fingerprint: str) -> bool:
        """Return whether a broken exchange was part of a crash of the upstream.

        An empty fingerprint stands for work that is never suspected. The work must
        still be in `list_running`. When this returns true, the control VMs have
        accepted the crash report, unless they could not be reached within
        REPORT_SECONDS.
        """
        for episode in self._episodes:
            if work_id in episode.members:
                break
        else:
            episode = _Episode(self.list_running())
            self._episodes.append(episode)
            self._tasks.spawn(self._classify(episode))
        episode.broken[work_id] = fingerprint
        return await asyncio.shield(episode.crashed)

    async def _classify(self, episode: _Episode) -> None:
        try:
            await self._timer.sleep(COLLECT_SECONDS)
            survivors = episode.members & self.list_running() - episode.broken.keys()
            has_crashed = not survivors
            if has_crashed:
                await self._report(episode)
            episode.crashed.set_result(has_crashed)
        finally:
            self._episodes.remove(episode)
            if not episode.crashed.done():
                episode.crashed.set_result(True)

    async def _report(self, episode: _Episode) -> None:
        self._timeline.record("upstream_died", self._upstream)
        fingerprints = tuple(sorted(set(episode.broken.values()) - {""}))
        if not fingerprints:
            return
        report = command.ReportDeath(
            f"death-{self._upstream}-{secrets.token_hex(8)}",
            self._upstream,
            fingerprints,
            len(episode.members) == 1,
            self._timer.read_wall_clock(),
        )
        self._apply_locally(report, math.inf)
        sending = self._tasks.spawn(self._propose(report))
        try:
            await wait_for(self._timer, asyncio.shield(sending), REPORT_SECONDS)
        except TimeoutError:
            logger.warning("crash report not accepted yet; retrying in the background")

    async def _propose(self, report: command.ReportDeath) -> None:
        """Send a report until it is accepted."""
        while True:
            try:
                await self._client.propose(report)
                break
            except error.SeamError as failure:
                logger.warning(
                    "crash report failed; retrying", extra={"cause": failure.message}
                )
            await self._timer.sleep(RETRY_SECONDS)
        self._schedule_expiry(report)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a suspect that was answered while it ran alone."""
        self._suspects.pop(fingerprint, None)
        if fingerprint in self._mirror.suspects:
            self._tasks.spawn(self._clear(fingerprint))

    async def _clear(self, fingerprint: str) -> None:
        try:
            await self._client.propose(command.ClearSuspects((fingerprint,)))
        except error.SeamError as failure:
            # The request runs alone again the next time and can be cleared then.
            logger.info("failed to clear a suspect", extra={"cause": failure.message})
