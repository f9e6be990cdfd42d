"""Hears the ceilings that upstreams name in their answers, and reports them.

The control VMs replicate the ceilings, and every process gets them with its watch. A
process uses what it has heard itself at once. The first answer without a ceiling ends
it, unless the request was sent before this process knew of the ceiling: then the answer
may be older than what another process has heard.

Ceilings of cold upstreams are reported in the same way. They end when the leader says
so (control/placement.py).
"""

import logging
import math
from collections.abc import Awaitable, Callable, Mapping

from sapphireseam.core import command, error
from sapphireseam.core.ceiling import Ceiling, parse_rate
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# Rates that differ by less than this share are the same.
RATE_TOLERANCE = 0.01
# Pause before a failed report is sent again.
RETRY_SECONDS = 0.25
# A report that wasn't accepted for this long is dropped; a later answer is heard anew.
MAX_AGE_SECONDS = 10.0
# How long a process uses what it has heard until the watch brings it.
SETTLE_SECONDS = 1.0
# Longest text of an invalid ceiling in the log, and the runs that are remembered as
# having named one.
LOGGED_CHARACTERS = 40
INVALID_LIMIT = 1000


class CeilingMonitor:
    """Knows the ceilings, and reports those that this process hears."""

    def __init__(
        self,
        read_known: Callable[[], Mapping[str, Ceiling]],
        propose: Callable[[command.ReportCeiling], Awaitable[object]],
        timer: TimerService,
    ):
        # Called after a ceiling was heard that wasn't known.
        self.on_heard: Callable[[], None] = lambda: None
        self._read_known = read_known
        self._propose = propose
        self._timer = timer
        # What was heard here and may not be known by the watch yet, by its key.
        self._heard: dict[str, Ceiling] = {}
        self._reporting: set[str] = set()
        self._invalid: dict[str, str] = {}
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Do nothing; reports are sent when a ceiling is heard."""

    async def stop(self) -> None:
        """Stop sending reports."""
        await self._tasks.cancel()

    def find_rate(self, run: str) -> float:
        """Return the ceiling of a run in requests per second, 0 if it has none."""
        known = self._heard.get(run) or self._read_known().get(run)
        return known.rate if known is not None else 0.0

    def read_rates(self) -> dict[str, float]:
        """Return all ceilings in requests per second by run."""
        return {each.run: each.rate for each in self._list() if not each.is_cold}

    def read_cold(self) -> dict[str, Ceiling]:
        """Return the ceilings of all cold upstreams by run."""
        return {each.run: each for each in self._list() if each.is_cold}

    def _list(self) -> list[Ceiling]:
        known = {**self._read_known(), **self._heard}
        return [each for each in known.values() if each.rate]

    def record_cold(self, upstream: str, run: str, rate: float, seconds: float) -> None:
        """Report that a run is cold, or with a rate of 0 that it isn't any more."""
        now = self._timer.read_wall_clock()
        self._hear(Ceiling(upstream, run, rate, now, True, seconds))

    def record_answer(
        self, upstream: str, run: str, text: str, rate_at_sending: float
    ) -> None:
        """Record what an answer names; an empty text names nothing.

        `rate_at_sending` is what `find_rate` returned when the request was sent.
        """
        rate = parse_rate(text) if text else 0.0
        known = self.find_rate(run)
        if rate is None:
            self._log_invalid(upstream, run, text)
            return
        if math.isclose(rate, known, rel_tol=RATE_TOLERANCE):
            return
        if not rate and not rate_at_sending:
            return
        now = self._timer.read_wall_clock()
        self._hear(Ceiling(upstream, run, rate, now))
        self.on_heard()

    def _hear(self, ceiling: Ceiling) -> None:
        key = ceiling.key
        self._heard[key] = ceiling
        if key not in self._reporting:
            self._reporting.add(key)
            self._tasks.spawn(self._report(key))

    def _log_invalid(self, upstream: str, run: str, text: str) -> None:
        """Log a text that is no ceiling, once while it stays the same."""
        if self._invalid.pop(run, None) != text:
            detail = {"upstream": upstream, "named": text[:LOGGED_CHARACTERS]}
            logger.warning("upstream names no valid limit", extra=detail)
        self._invalid[run] = text
        while len(self._invalid) > INVALID_LIMIT:
            del self._invalid[next(iter(self._invalid))]

    async def _report(self, key: str) -> None:
        """Report what was heard until the newest is accepted or too old."""
        end = self._timer.read_clock() + MAX_AGE_SECONDS
        while True:
            heard = self._heard[key]
            is_accepted = await self._send(heard)
            if self._timer.read_clock() >= end:
                break
            if not is_accepted:
                await self._timer.sleep(RETRY_SECONDS)
            elif self._heard[key] is heard:
                break
        self._reporting.discard(key)
        await self._timer.sleep(SETTLE_SECONDS)
        if self._heard.get(key) is heard:
            del self._heard[key]

    async def _send(self, heard: Ceiling) -> bool:
        """Return whether a report was accepted."""
        report = command.ReportCeiling(*heard)
        try:
            await self._propose(report)
        except error.SeamError as failure:
            detail = {"upstream": heard.upstream, "cause": failure.message}
            logger.info("limit of an upstream not reported; retrying", extra=detail)
            return False
        return True
