"""Reloads the settings file when it changes and on SIGHUP."""

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

# Interval between checks of the file.
POLL_SECONDS = 1.0


class Reloader:
    """Passes the addresses of control VMs to the client when the settings change."""

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
        """Start checking the file periodically and on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._tasks.spawn(run_periodically(self._timer, POLL_SECONDS, self._poll))

    async def stop(self) -> None:
        """Stop the periodic checks; a SIGHUP has no effect from then on."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        await self._tasks.cancel()

    async def _poll(self) -> None:
        self._reload()

    def _reload(self) -> None:
        try:
            settings = setting.read(self._path)
        except error.SettingsError as failure:
            # The file may be half-written. The last valid settings stay in force.
            logger.warning(
                "invalid settings file; the last settings stay in force",
                extra={"cause": failure.message},
            )
            return
        if settings != self._settings:
            self._settings = settings
            self._client.set_configured_addresses(settings.control)
            logger.info("settings changed", extra={"control": settings.control})
