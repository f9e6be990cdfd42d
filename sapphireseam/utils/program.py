"""Runs a daemon: reads its settings, configures its log and runs its event loop.

Every daemon takes one JSON settings file. If settings are wrong, all findings go
to standard error and the exit code is 2. A program that can't start or run for another
reason logs the cause and exits with 1.
"""

import gc
import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sapphireseam.core import error
from sapphireseam.utils import log, loop, memory, setting
from sapphireseam.utils.application import Application

BAD_SETTINGS_EXIT = 2
FAILED_EXIT = 1
# Pause before an application is rebuilt after a storage failure, in seconds.
RESTART_SECONDS = 0.5

logger = logging.getLogger(__name__)


def run_daemon(
    name: str,
    kind: type[Any],
    build: Callable[[Any], Application],
    path: Path,
    restarts: bool = False,
) -> None:
    """Read the settings and run the application until a stop is requested.

    With `restarts`, an application whose storage fails is rebuilt, without a limit
    on the number of attempts, since space on a full disk may be freed later.
    """
    try:
        settings = setting.read(kind, path)
    except error.SettingsError as failure:
        print(failure.message, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    log.configure(name, settings.node)
    memory.limit_heap()
    while True:
        try:
            loop.run(build_and_run(build, settings))
            return
        except error.StorageError as failure:
            logger.error("storage failed", extra={"cause": failure.message})
            if not restarts:
                sys.exit(FAILED_EXIT)
        except error.SeamError as failure:
            logger.error("can't run", extra={"cause": failure.message})
            is_settings_error = failure.kind is error.Kind.BAD_SETTINGS
            sys.exit(BAD_SETTINGS_EXIT if is_settings_error else FAILED_EXIT)
        # The application that ended and its state are garbage now, but frozen.
        gc.unfreeze()
        gc.collect()
        time.sleep(RESTART_SECONDS)


async def build_and_run(build: Callable[[Any], Application], settings: Any) -> None:
    """Build the application inside the event loop and run it."""
    await build(settings).run()
