"""Read what a replica says of itself."""

import logging

import msgspec

logger = logging.getLogger(__name__)


class Report(msgspec.Struct):
    """Count a replica's requests; both are as of some hundred ms ago."""

    num_running: int = 0
    num_waiting: int = 0


_decoder = msgspec.json.Decoder(Report)


def read_load(body: bytes) -> int:
    """Return how many requests a replica works on or holds.

    One that answers a plain health check says nothing of that, and counts as 0.

    >>> read_load(b'{"num_running": 7, "num_waiting": 1, "stage": "both"}')
    8
    >>> read_load(b"ok")
    0
    """
    try:
        report = _decoder.decode(body)
    except msgspec.MsgspecError:
        logger.debug("no load in the answer")
        return 0
    return report.num_running + report.num_waiting
