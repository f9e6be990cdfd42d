"""Write each program's log as JSON lines on standard output, within a budget.

A record is one line for one decision; its message is its kind, its fields are
what decided it. Writing never holds up the event loop: lines wait in a bounded
list, and a thread writes what has gathered. What is over the budget of its kind,
or finds the list full, is counted, and the counts are logged.
"""

import logging
import os
import sys
import threading
import time
from collections import Counter, deque
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines of one kind that are written in a second; warnings have no such bound.
BUDGET_LINES = 50
BUDGET_SECONDS = 1.0
# Lines that may wait to be written.
QUEUE_LINES = 5000
# How often what has gathered is written, in seconds.
FLUSH_SECONDS = 0.25
# How long a stop waits for a reader that doesn't read, in seconds.
CLOSE_SECONDS = 1.0
LEFT_OUT = "lines left out"


class Budget(logging.Filter):
    """Let only so many records of one kind pass in a second."""

    def __init__(self, lines: int = BUDGET_LINES):
        super().__init__()
        self._lines = lines
        self._since = 0.0
        self._counts: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record passes."""
        if record.levelno >= logging.WARNING:
            return True
        if record.created - self._since >= BUDGET_SECONDS:
            self._since = record.created
            self._counts.clear()
        kind = record.msg if isinstance(record.msg, str) else record.name
        self._counts[kind] += 1
        if self._counts[kind] <= self._lines:
            return True
        self.left_out[kind] += 1
        return False


class GatheringHandler(logging.Handler):
    """Gather lines and write them from a thread of its own."""

    def __init__(self, file: TextIO, budget: Budget):
        super().__init__()
        # Kept, so that the descriptor stays open.
        self._file = file
        self._descriptor = file.fileno()
        self._budget = budget
        self._lines: deque[str] = deque()
        self.dropped = 0
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(target=self._write_forever, daemon=True)
        self._thread.start()
        self.addFilter(budget)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line, or count it if too many wait."""
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)
            return
        self._wake.set()

    def _write_forever(self) -> None:
        while not self._is_closed or self._lines:
            self._wake.wait()
            self._wake.clear()
            if not self._is_closed:
                time.sleep(FLUSH_SECONDS)
            self._write_gathered()

    def _write_gathered(self) -> None:
        self._report_left_out()
        count = len(self._lines)
        text = "".join(self._lines.popleft() + "\n" for _ in range(count))
        view = memoryview(text.encode())
        try:
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            self.dropped += count

    def _report_left_out(self) -> None:
        """Add a line that says what isn't there."""
        counts, self._budget.left_out = self._budget.left_out, Counter()
        if self.dropped:
            counts["(queue full)"] = self.dropped
            self.dropped = 0
        if not counts:
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, LEFT_OUT, None, None
        )
        record.counts = dict(counts)
        self._lines.append(self.format(record))

    def close(self) -> None:
        """Write what waits, but wait for no reader that is stuck."""
        self._is_closed = True
        self._wake.set()
        if threading.current_thread() is not self._thread:
            self._thread.join(CLOSE_SECONDS)
        super().close()


def configure(
    program: str, node: str, level: str = "INFO", file: TextIO | None = None
) -> GatheringHandler:
    """Send all records to standard output or a file, each with program and node."""
    handler = GatheringHandler(file or sys.stdout, Budget())
    static = {"program": program, "node": node}
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields=static))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Access logs would repeat callers' paths and, with them, query strings.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    return handler
