"""Writes a program's log as JSON lines to standard output, with a rate limit.

A record is one line for one decision: the message names its kind, and the fields
hold the inputs of the decision. Writing never blocks the event loop: records are
added to a bounded queue, which a thread writes out. Records that exceed the rate
limit of their kind, or that arrive while the queue is full, are dropped and counted.
The counts are logged.
"""

import logging
import os
import sys
import threading
import time
from collections import Counter, deque
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Maximum number of records of one kind per period; warnings are not limited.
LIMIT_RECORDS = 50
LIMIT_PERIOD_SECONDS = 1.0
# Capacity of the queue of lines to write.
QUEUE_LINES = 5000
# Interval at which queued lines are written, in seconds.
FLUSH_SECONDS = 0.25
# Maximum time that `close` waits for a stalled reader, in seconds.
CLOSE_SECONDS = 1.0
DROPPED = "log records dropped"


class RateLimitFilter(logging.Filter):
    """Limit the records of each kind that pass in one period."""

    def __init__(self, limit: int = LIMIT_RECORDS):
        super().__init__()
        self._limit = limit
        self._period_start = 0.0
        self._counts: Counter[str] = Counter()
        self.dropped_by_kind: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record may pass, and count it if not."""
        if record.levelno >= logging.WARNING:
            return True
        if record.created - self._period_start >= LIMIT_PERIOD_SECONDS:
            self._period_start = record.created
            self._counts.clear()
        kind = record.msg if isinstance(record.msg, str) else record.name
        self._counts[kind] += 1
        if self._counts[kind] <= self._limit:
            return True
        self.dropped_by_kind[kind] += 1
        return False


class QueueingHandler(logging.Handler):
    """Queue lines and write them in a separate thread."""

    def __init__(self, file: TextIO, rate_limit: RateLimitFilter):
        super().__init__()
        # A reference to the file keeps its descriptor open.
        self._file = file
        self._descriptor = file.fileno()
        self._rate_limit = rate_limit
        self._lines: deque[str] = deque()
        self.dropped = 0
        self._wake = threading.Event()
        self._is_closed = False
        self._thread = threading.Thread(target=self._write_forever, daemon=True)
        self._thread.start()
        self.addFilter(rate_limit)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line, or drop and count it if the queue is full."""
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
            self._write_queued()

    def _write_queued(self) -> None:
        self._report_dropped()
        count = len(self._lines)
        text = "".join(self._lines.popleft() + "\n" for _ in range(count))
        view = memoryview(text.encode())
        try:
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            # The reader has gone, and there is nowhere else to report the loss.
            self.dropped += count

    def _report_dropped(self) -> None:
        """Queue a record with the counts of dropped records by kind."""
        counts, self._rate_limit.dropped_by_kind = (
            self._rate_limit.dropped_by_kind,
            Counter(),
        )
        if self.dropped:
            counts["(queue full)"] = self.dropped
            self.dropped = 0
        if not counts:
            return
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, DROPPED, None, None
        )
        record.counts = dict(counts)
        self._lines.append(self.format(record))

    def close(self) -> None:
        """Write queued lines, but stop waiting after `CLOSE_SECONDS` if that blocks."""
        self._is_closed = True
        self._wake.set()
        if threading.current_thread() is not self._thread:
            self._thread.join(CLOSE_SECONDS)
        super().close()


def configure(
    program: str, node: str, level: str = "INFO", file: TextIO | None = None
) -> QueueingHandler:
    """Send all records to a file or standard output, with program and node added."""
    handler = QueueingHandler(file or sys.stdout, RateLimitFilter())
    static = {"program": program, "node": node}
    handler.setFormatter(JsonFormatter(_FORMAT, static_fields=static))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Access logs would contain callers' paths, including query strings.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    return handler
