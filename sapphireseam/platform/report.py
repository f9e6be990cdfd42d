"""Read what a replica says of itself, and stop what runs there for nobody."""

import logging

import msgspec

from sapphireseam.control.placement import Load
from sapphireseam.core.instance import Instance
from sapphireseam.utils.outbound import Outbound

logger = logging.getLogger(__name__)

# How long a replica may take to stop a run, in seconds.
STOP_SECONDS = 1.0
MOVE_PATH = "/kv-move"
HANDLE_PATH = "/kv-handle/"


class Report(msgspec.Struct):
    """Count a replica's requests; all is as of some hundred ms ago.

    Each of `runs` begins with the request's id.
    """

    num_running: int = 0
    num_waiting: int = 0
    runs: list[list] = []


class Move(msgspec.Struct):
    """Ask for a run's memory to be copied; `last` stops the run first."""

    id: str
    to: str
    last: bool = True


class Moved(msgspec.Struct):
    """Name the copy, which must be freed where it isn't used."""

    handle: str = ""


_decoder = msgspec.json.Decoder(Report)
_moved_decoder = msgspec.json.Decoder(Moved)


def read_load(body: bytes) -> Load:
    """Return how many requests a replica works on or holds, and which.

    One that answers a plain health check says nothing of that.

    >>> read_load(b'{"num_running": 7, "num_waiting": 1, "runs": [["a", 9, 2, 0]]}')
    Load(running=8, ids=('a',))
    >>> read_load(b"ok").running
    0
    """
    try:
        report = _decoder.decode(body)
    except msgspec.MsgspecError:
        logger.debug("no load in the answer")
        return Load(0, ())
    ids = tuple(run[0] for run in report.runs if run and isinstance(run[0], str))
    return Load(report.num_running + report.num_waiting, ids)


async def stop_run(
    upstreams: Outbound, instance: Instance, request: str, other: Instance
) -> None:
    """Stop a run whose sender is gone, by moving it away and dropping the copy."""
    move = msgspec.json.encode(Move(request, other.address))
    body = await upstreams.order(
        instance.address, "POST", MOVE_PATH, move, STOP_SECONDS
    )
    if body is None:
        return
    try:
        handle = _moved_decoder.decode(body).handle
    except msgspec.MsgspecError:
        logger.warning("no handle in the answer", extra={"upstream": instance.id})
        return
    if handle:
        path = HANDLE_PATH + handle
        await upstreams.order(instance.address, "DELETE", path, b"", STOP_SECONDS)
