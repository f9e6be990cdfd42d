"""Defines the interface through which a replica calls its peers.

The replica is independent of addresses and of gRPC. Tests implement this
protocol with links that lose, delay and duplicate messages.
"""

from typing import NamedTuple, Protocol

from sapphireseam.core import error


class LinkError(error.ControlError):
    """Report a call without a reply; the peer may have handled the request."""


class Link(Protocol):
    """Send requests to one peer and receive its replies."""

    async def call(self, request: NamedTuple) -> NamedTuple:
        """Return the peer's reply or raise `LinkError`; the call may never return."""
