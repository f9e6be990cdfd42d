"""Reads replicas' reports of their running requests, and stops orphaned requests.

A running request is called a run. A run is orphaned if its sender is lost, so that
its output is not used.
"""

import logging
from typing import Any

import msgspec

from sapphireseam.control.placement import ProbeResult
from sapphireseam.core import jsontext
from sapphireseam.core.instance import Instance
from sapphireseam.utils.outbound import ConnectionPool

logger = logging.getLogger(__name__)

# Timeout of each request that stops a run or frees a copy.
STOP_SECONDS = 1.0
MOVE_PATH = "/kv-move"
HANDLE_PATH = "/kv-handle/"
MOVED_STATUS = 200
NO_SPACE_STATUS = 503


class Report(msgspec.Struct):
    """A replica's running requests, as of some hundred milliseconds ago.

    Each of `runs` begins with the request's id. `born` is the replica's start.
    """

    runs: list[list] = []
    born: Any = 0


class Move(msgspec.Struct):
    """A request to copy a run's KV cache; `last` stops the run first."""

    id: str
    to: str
    last: bool = True


class Moved(msgspec.Struct):
    """The handle of the copy, which must be freed if it is not used."""

    handle: str = ""


_decoder = msgspec.json.Decoder(Report)
_moved_decoder = msgspec.json.Decoder(Moved)


def read_report(body: bytes) -> ProbeResult:
    """Return the ids of the requests that a replica runs.

    The answer to a plain health check contains none.

    >>> read_report(b'{"num_running": 7, "runs": [["a", 9, 2, 0]], "stage": "both"}')
    ProbeResult(ids=('a',), born=0)
    >>> read_report(b"ok").ids
    ()
    """
    try:
        report = jsontext.decode(body, _decoder)
    except jsontext.JsonError:
        logger.debug("answer has no list of running requests")
        return ProbeResult(())
    born = report.born if type(report.born) is int else 0
    ids = tuple(run[0] for run in report.runs if run and _is_string(run[0]))
    return ProbeResult(ids, born)


def _is_string(value: object) -> bool:
    return isinstance(value, str)


async def stop_run(
    upstreams: ConnectionPool, instance: Instance, request: str, target: Instance
) -> None:
    """Stop an orphaned run by moving it to another replica, then free the copy."""
    move = msgspec.json.encode(Move(request, target.address))
    reply = await upstreams.send_order(instance, "POST", MOVE_PATH, move, STOP_SECONDS)
    # Without space for the copy the run is stopped as well, but its KV cache is kept
    # until the handle is deleted.
    if reply is None or reply.status not in (MOVED_STATUS, NO_SPACE_STATUS):
        return
    try:
        handle = jsontext.decode(reply.body, _moved_decoder).handle
    except jsontext.JsonError:
        logger.warning(
            "answer to the move request is malformed", extra={"upstream": instance.id}
        )
        return
    if handle:
        path = HANDLE_PATH + handle
        await upstreams.send_order(instance, "DELETE", path, b"", STOP_SECONDS)
