"""Follow the list of running upstreams while this control VM leads.

Only the leader reads the list, so the calls don't grow with the entries; it
tells them what it found. What is listed may be gone and what is gone may be
listed, so whoever sends names the instance that it means.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from sapphireseam.core import error
from sapphireseam.core.instance import Instance
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService

logger = logging.getLogger(__name__)

# How often the list is read, and looked at whether this VM leads, in seconds.
READ_SECONDS = 0.5
LOOK_SECONDS = 0.05


class Source(Protocol):
    """Give the list of running upstreams."""

    async def list(self) -> tuple[Instance, ...]:
        """Return all that are listed; raise `SeamError` if that can't be had."""


class InstancePoller:
    """Read the list and hand it on."""

    def __init__(
        self,
        source: Source,
        replica: Replica,
        timer: TimerService,
        take: Callable[[tuple[Instance, ...]], None],
    ):
        self._source = source
        self._replica = replica
        self._timer = timer
        self._take = take
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to read."""
        self._tasks.spawn(self._read_forever())

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.cancel()

    async def _read_forever(self) -> None:
        while True:
            if not self._replica.is_leader:
                await self._timer.sleep(LOOK_SECONDS)
                continue
            try:
                self._take(await self._source.list())
            except error.SeamError as failure:
                logger.warning("list not read", extra={"cause": failure.message})
            await self._timer.sleep(READ_SECONDS)
