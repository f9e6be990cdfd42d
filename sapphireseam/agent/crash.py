"""Tell an upstream's death from a broken exchange, and who may have caused it.

An agent sees a death only as broken connections, and all that ran breaks at
once. So the first break opens an episode over everything that runs then; after
a moment it is judged as one: if nothing of it still runs, the upstream died,
once, and whatever broke is suspected. What runs on shows that the upstream
lives, and nobody is suspected. An agent that is lost with its VM reports
nothing, so the loss of a VM is blamed on no request.
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

# How long the connections of one death may take to be seen broken.
COLLECT_SECONDS = 0.1
# How long those that broke wait for the report before they are told.
REPORT_SECONDS = 2.0
# The pause before a report that wasn't taken is made again.
RETRY_SECONDS = 1.0
# How long a report that was taken may need to come back through the watch.
MIRROR_SECONDS = 5.0


class _Episode:
    """Gather what breaks together."""

    def __init__(self, members: frozenset[str]):
        self.members = members
        self.broken: dict[str, str] = {}
        self.judged: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class CrashDetector:
    """Judge broken exchanges, report deaths and know who is suspected."""

    def __init__(
        self,
        upstream: str,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        # Return the ids of what runs now; the runner sets it.
        self.list_running: Callable[[], frozenset[str]] = frozenset
        self._upstream = upstream
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._timer = timer
        self._episodes: list[_Episode] = []
        # What this agent found out itself, and until when that counts here;
        # by then the mirror shows it.
        self._suspects: dict[str, float] = {}
        self._quarantined: dict[str, float] = {}
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing; tasks begin with the first break."""

    async def stop(self) -> None:
        """Give up reports that weren't taken."""
        await self._tasks.cancel()

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request must run alone."""
        return fingerprint in self._mirror.suspects or self._knows(
            self._suspects, fingerprint
        )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must not run."""
        return fingerprint in self._mirror.quarantined or self._knows(
            self._quarantined, fingerprint
        )

    def _knows(self, found: dict[str, float], fingerprint: str) -> bool:
        return self._timer.read_clock() < found.get(fingerprint, -math.inf)

    def _note(self, item: command.ReportDeath, until: float) -> None:
        """Judge here as the state machine will."""
        for fingerprint in item.fingerprints:
            if item.alone and self.is_suspect(fingerprint):
                self._quarantined[fingerprint] = until
            self._suspects[fingerprint] = until

    def _limit(self, item: command.ReportDeath) -> None:
        """Forget what was found out once the mirror had time to show it."""
        until = self._timer.read_clock() + MIRROR_SECONDS
        for found in (self._suspects, self._quarantined):
            for fingerprint in found.keys() & set(item.fingerprints):
                found[fingerprint] = until
            for fingerprint in [f for f in found if not self._knows(found, f)]:
                del found[fingerprint]

    async def detect_crash(self, work_id: str, fingerprint: str) -> bool:
        """Return whether a work that broke was under a death of the upstream.

        The work must still count as running. The death is on record by then,
        unless the control VMs can't be reached.
        """
        for episode in self._episodes:
            if work_id in episode.members:
                break
        else:
            episode = _Episode(self.list_running())
            self._episodes.append(episode)
            self._tasks.spawn(self._settle(episode))
        episode.broken[work_id] = fingerprint
        return await asyncio.shield(episode.judged)

    async def _settle(self, episode: _Episode) -> None:
        try:
            await self._timer.sleep(COLLECT_SECONDS)
            survivors = episode.members & self.list_running() - episode.broken.keys()
            died = not survivors
            if died:
                await self._report(episode)
            episode.judged.set_result(died)
        finally:
            self._episodes.remove(episode)
            if not episode.judged.done():
                episode.judged.set_result(True)

    async def _report(self, episode: _Episode) -> None:
        fingerprints = tuple(sorted(set(episode.broken.values())))
        item = command.ReportDeath(
            f"death-{self._upstream}-{secrets.token_hex(8)}",
            self._upstream,
            fingerprints,
            len(episode.members) == 1,
            self._timer.read_wall_clock(),
        )
        self._note(item, math.inf)
        self._timeline.record("upstream_died", self._upstream)
        task = self._tasks.spawn(self._propose(item))
        try:
            await wait_for(self._timer, asyncio.shield(task), REPORT_SECONDS)
        except TimeoutError:
            logger.warning("a death isn't on record yet")

    async def _propose(self, item: command.ReportDeath) -> None:
        """Report until the report is taken."""
        while True:
            try:
                await self._client.propose(item)
                break
            except error.SeamError as failure:
                logger.warning("death not reported", extra={"cause": failure.message})
            await self._timer.sleep(RETRY_SECONDS)
        self._limit(item)

    def clear_suspect(self, fingerprint: str) -> None:
        """Note that a suspect was answered while it ran alone."""
        self._suspects.pop(fingerprint, None)
        if fingerprint in self._mirror.suspects:
            self._tasks.spawn(self._clear(fingerprint))

    async def _clear(self, fingerprint: str) -> None:
        try:
            await self._client.propose(command.ClearSuspects((fingerprint,)))
        except error.SeamError as failure:
            # It runs alone once more, and may be cleared then.
            logger.info("suspect not cleared", extra={"cause": failure.message})
