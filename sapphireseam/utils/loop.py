"""Creates the event loop of every program, so that none of them opens an io_uring.

uvloop reads the environment variable `UV_USE_IO_URING` when a loop is created.
uvloop 0.23 and later ignore it, so the project pins an older release.
"""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a program's main coroutine on a new uvloop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
