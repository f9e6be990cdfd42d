"""Merge the events that all control VMs keep into one time line.

Each process brings its events to one control VM and may change it, so every
control VM is asked and what two of them keep is shown once.
"""

import asyncio
import re
from typing import NamedTuple

from sapphireseam.core import error, event, message
from sapphireseam.ops.operator import Operator

CALL_SECONDS = 5.0

_UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Filter(NamedTuple):
    """Say which events to show; what is empty fits every event."""

    subject: str = ""
    customer: str = ""
    key: str = ""
    revision: int = 0

    def fits(self, item: event.Event) -> bool:
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


def parse_span(text: str) -> float:
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
    return sorted({item for part in parts for item in part if wanted.fits(item)})


async def read(operator: Operator, since: float, wanted: Filter) -> Merged:
    """Return the events since a clock value; raise if no control VM answers."""

    async def ask(address: str) -> tuple[event.Event, ...] | error.SeamError:
        channel = operator.client.reach(address)
        try:
            return (await channel.call(message.ReadEvents(since), CALL_SECONDS)).events
        except error.SeamError as failure:
            return failure

    answers = await asyncio.gather(*map(ask, operator.addresses))
    failures = [item for item in answers if isinstance(item, error.SeamError)]
    if len(failures) == len(answers):
        raise failures[0]
    pairs = zip(operator.addresses, answers, strict=True)
    silent = [a for a, item in pairs if isinstance(item, error.SeamError)]
    parts = [item for item in answers if not isinstance(item, error.SeamError)]
    return Merged(merge(parts, wanted), silent)
