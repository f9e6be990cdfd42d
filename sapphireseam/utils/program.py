"""Start a program the same way everywhere: settings, logs, loop.

Every daemon takes one JSON settings file. Wrong settings are listed whole on
standard error with exit code 2; a program that can't start for another reason
says why and exits with 1.
"""

import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sapphireseam.core import error
from sapphireseam.utils import log, loop, setting
from sapphireseam.utils.application import Application

BAD_SETTINGS_EXIT = 2
FAILED_EXIT = 1
# Pause before an application whose storage failed is built anew, in seconds.
RESTART_SECONDS = 0.5

logger = logging.getLogger(__name__)


def run_daemon(
    name: str,
    kind: type[Any],
    build: Callable[[Any], Application],
    path: Path,
    restarts: bool = False,
) -> None:
    """Read the settings, run the application until it is told to stop.

    With `restarts` an application whose storage fails is built anew, for as long
    as it takes: a disk that was full may have room again.
    """
    try:
        settings = setting.read(kind, path)
    except error.SettingsError as failure:
        print(failure.message, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    log.configure(name, settings.node)
    while True:
        try:
            loop.run(build_and_run(build, settings))
            return
        except error.StorageError as failure:
            logger.error("storage failed", extra={"cause": failure.message})
            if not restarts:
                sys.exit(FAILED_EXIT)
            time.sleep(RESTART_SECONDS)
        except error.SeamError as failure:
            logger.error("can't run", extra={"cause": failure.message})
            bad = failure.kind is error.Kind.BAD_SETTINGS
            sys.exit(BAD_SETTINGS_EXIT if bad else FAILED_EXIT)


async def build_and_run(build: Callable[[Any], Application], settings: Any) -> None:
    """Build the application inside the loop and run it."""
    await build(settings).run()
