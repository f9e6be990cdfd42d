"""Follow changes of the settings file, with or without a SIGHUP."""

import asyncio
import logging
import signal
from pathlib import Path

from sapphireseam.core import error
from sapphireseam.platform import setting
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often the file is looked at, in seconds.
LOOK_SECONDS = 1.0


class Reloader:
    """Have the control VMs that the settings name now be known."""

    def __init__(
        self,
        path: Path,
        settings: setting.Settings,
        client: ControlClient,
        timer: TimerService,
    ):
        self._path = path
        self._settings = settings
        self._client = client
        self._timer = timer
        self._tasks = TaskGroup()

    async def start(self) -> None:
        """Begin to look, also on a SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._look)
        self._tasks.spawn(run_periodically(self._timer, LOOK_SECONDS, self._look_on))

    async def stop(self) -> None:
        """Stop looking."""
        await self._tasks.cancel()

    async def _look_on(self) -> None:
        self._look()

    def _look(self) -> None:
        try:
            settings = setting.read(self._path)
        except error.SettingsError as failure:
            # Half-written perhaps; what was read before stays in force.
            logger.warning("settings not read", extra={"cause": failure.message})
            return
        if settings != self._settings:
            self._settings = settings
            self._client.set_configured_addresses(settings.control)
            logger.info("settings changed", extra={"control": settings.control})
