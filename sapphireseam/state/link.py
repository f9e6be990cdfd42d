"""Name the way from one member to another.

The replica knows nothing of addresses or of gRPC: it calls a peer through this
protocol, and tests cut, delay and duplicate behind it.
"""

from typing import NamedTuple, Protocol

from sapphireseam.core import error


class LinkError(error.ControlError):
    """Report that a call brought no answer; the peer may have done the work."""


class Link(Protocol):
    """Carry requests to one peer and its replies back."""

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the peer's reply or raise `LinkError`; it may hang."""
