"""Write each program's log as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(program: str, node: str, level: str = "INFO") -> None:
    """Send all records to standard error, each with program and node."""
    handler = logging.StreamHandler(sys.stderr)
    static = {"program": program, "node": node}
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields=static))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Access logs would repeat callers' paths and, with them, query strings.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
