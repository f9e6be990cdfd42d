"""Merges the events that the control VMs store into one time line.

Each process sends its events to one control VM and may switch to another. All
control VMs are therefore queried, and an event that several store is shown once.
"""

import asyncio
import re
from typing import NamedTuple

from sapphireseam.core import error, event, message
from sapphireseam.ops import status
from sapphireseam.ops.operator import Operator

_UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Filter(NamedTuple):
    """The conditions for events to show; an empty field matches every event."""

    subject: str = ""
    customer: str = ""
    key: str = ""
    revision: int = 0

    def matches(self, item: event.Event) -> bool:
        """Return whether an event is to be shown."""
        return (
            self.subject in ("", item.subject)
            and self.customer in ("", item.customer)
            and self.key in ("", item.key)
            and self.revision in (0, item.revision)
        )


class Merged(NamedTuple):
    """The events in order, and the addresses that did not answer."""

    events: list[event.Event]
    silent: list[str]


def parse_duration(text: str) -> float:
    """Return a duration in seconds.

    >>> parse_duration("90s"), parse_duration("2h")
    (90.0, 7200.0)
    """
    found = re.fullmatch(r"(\d+)([smhd])", text)
    if not found:
        explanation = f"--since: expected a number with s, m, h or d, found {text!r}"
        raise error.SettingsError(explanation)
    return float(found[1]) * _UNIT_SECONDS[found[2]]


def merge(parts: list[tuple[event.Event, ...]], wanted: Filter) -> list[event.Event]:
    """Return the matching events of all parts, each once, sorted by clock."""
    return sorted({item for part in parts for item in part if wanted.matches(item)})


async def read(operator: Operator, since: float, wanted: Filter) -> Merged:
    """Return the events since a clock time; raise if no control VM answers."""
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
