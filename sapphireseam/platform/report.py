"""Read what a replica says of itself, and stop what runs there for nobody."""

import logging

import msgspec

from sapphireseam.control.placement import ProbeResult
from sapphireseam.core.instance import Instance
from sapphireseam.utils.outbound import ConnectionPool

logger = logging.getLogger(__name__)

# How long a replica may take to stop a run, in seconds.
STOP_SECONDS = 1.0
MOVE_PATH = "/kv-move"
HANDLE_PATH = "/kv-handle/"
DONE = 200
NO_ROOM = 503


class Report(msgspec.Struct):
    """List a replica's running requests, as of some hundred ms ago.

    Each of `runs` begins with the request's id.
    """

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


def read_load(body: bytes) -> ProbeResult:
    """Return which requests a replica works on.

    One that answers a plain health check says nothing of that.

    >>> read_load(b'{"num_running": 7, "runs": [["a", 9, 2, 0]], "stage": "both"}')
    ProbeResult(ids=('a',))
    >>> read_load(b"ok").ids
    ()
    """
    try:
        report = _decoder.decode(body)
    except msgspec.MsgspecError:
        logger.debug("no load in the answer")
        return ProbeResult(())
    return ProbeResult(tuple(run[0] for run in report.runs if run and _is_text(run[0])))


def _is_text(value: object) -> bool:
    return isinstance(value, str)


async def stop_run(
    upstreams: ConnectionPool, instance: Instance, request: str, other: Instance
) -> None:
    """Stop a run whose sender is gone, by moving it away and dropping the copy."""
    move = msgspec.json.encode(Move(request, other.address))
    reply = await upstreams.send_order(
        instance.address, "POST", MOVE_PATH, move, STOP_SECONDS
    )
    # Without room for the copy the run is stopped as well, and its memory kept.
    if reply is None or reply.status not in (DONE, NO_ROOM):
        return
    try:
        handle = _moved_decoder.decode(reply.body).handle
    except msgspec.MsgspecError:
        logger.warning("no handle in the answer", extra={"upstream": instance.id})
        return
    if handle:
        path = HANDLE_PATH + handle
        await upstreams.send_order(instance.address, "DELETE", path, b"", STOP_SECONDS)
