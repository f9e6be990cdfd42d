"""Polls the list of running upstreams while this control VM leads.

Only the leader reads the list and sends it to the entries, so the number of reads
doesn't grow with the number of entries. The list may be outdated: it may name
instances that have ended and lack instances that run. So a sender names the instance
that each request is meant for.
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

# Interval between reads of the list, and between checks whether this VM leads.
POLL_SECONDS = 0.5
LEADER_CHECK_SECONDS = 0.05


class Source(Protocol):
    """A list of the running upstreams."""

    async def list(self) -> tuple[Instance, ...]:
        """Return all listed instances; raise `SeamError` if the list can't be read."""


class InstancePoller:
    """Reads the list periodically and passes it to a callback."""

    def __init__(
        self,
        source: Source,
        replica: Replica,
        timer: TimerService,
        on_list: Callable[[tuple[Instance, ...]], None],
    ):
        self._source = source
        self._replica = replica
        self._timer = timer
        self._on_list = on_list
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Start to poll."""
        self._tasks.spawn(self._poll_forever())

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.cancel()

    async def _poll_forever(self) -> None:
        while True:
            if not self._replica.is_leader:
                await self._timer.sleep(LEADER_CHECK_SECONDS)
                continue
            try:
                self._on_list(await self._source.list())
            except error.SeamError as failure:
                logger.warning(
                    "can't read the list of upstreams", extra={"cause": failure.message}
                )
            except Exception:
                # The next list may be sound, and nobody else follows it.
                logger.exception("can't follow the list of upstreams")
            await self._timer.sleep(POLL_SECONDS)
