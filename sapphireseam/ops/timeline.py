"""Merge the events that all control VMs keep into one time line.

Each process brings its events to one control VM and may change it, so every
control VM is asked and what two of them keep is shown once.
"""

import asyncio
import re
from typing import NamedTuple

from sapphireseam.core import error, event, message
from sapphireseam.ops import status
from sapphireseam.ops.operator import Operator

_UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Filter(NamedTuple):
    """Say which events to show; what is empty fits every event."""

    subject: str = ""
    customer: str = ""
    key: str = ""
    revision: int = 0

    def matches(self, item: event.Event) -> bool:
        """Tell whether an event is to be shown."""
        return (
            self.subject in ("", item.subject)
            and self.customer in ("", item.customer)
            and self.key in ("", item.key)
            and self.revision in (0, item.revision)
        )


class Merged(NamedTuple):
    """Hold the events in order, and the control VMs that gave none."""

    events: list[event.Event]
    silent: list[str]


def parse_duration(text: str) -> float:
    """Return a time span in seconds.

    >>> parse_span("90s"), parse_span("2h")
    (90.0, 7200.0)
    """
    found = re.fullmatch(r"(\d+)([smhd])", text)
    if not found:
        message_text = f"--since: expected a number with s, m, h or d, found {text!r}"
        raise error.SettingsError(message_text)
    return float(found[1]) * _UNITS[found[2]]


def merge(parts: list[tuple[event.Event, ...]], wanted: Filter) -> list[event.Event]:
    """Return the wanted events of all parts once, in the order of clocks."""
    return sorted({item for part in parts for item in part if wanted.matches(item)})


async def read(operator: Operator, since: float, wanted: Filter) -> Merged:
    """Return the events since a clock value; raise if no control VM answers."""
    addresses = await status.list_addresses(operator)
    request = message.ReadEvents(since)
    replies = await asyncio.gather(
        *(status.query(operator, address, request) for address in addresses)
    )
    pairs = list(zip(addresses, replies, strict=True))
    parts = [reply.events for reply in replies if isinstance(reply, message.Events)]
    silent = [a for a, reply in pairs if not isinstance(reply, message.Events)]
    if not parts:
        raise replies[0]
    return Merged(merge(parts, wanted), silent)
