"""Make the event loop in one place, so that no program opens an io_uring.

uvloop reads `UV_USE_IO_URING` when the loop is made; releases from 0.23 on
ignore it, which is why the project pins an older one.
"""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any

os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a program's main coroutine on a fresh uvloop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
