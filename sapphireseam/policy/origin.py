"""Remembers where each stream began: the service and the version of its software.

What two versions of an upstream write doesn't fit together, so a stream continues
only at the version that began it. Callers name the attempt that began their stream.
Every entry remembers the streams that it began and reports them to the leader, which
knows those of all entries.

    origins.record("a1", Origin("llm", "v2"), now)
    origins.require("a1", ("llm",), now)  # Origin("llm", "v2")
"""

from typing import NamedTuple

from sapphireseam.core import error
from sapphireseam.core.instance import Instance

# How long a stream is remembered after it began or was last resumed. Callers don't
# resume a stream after their deadline, which is shorter.
MEMORY_SECONDS = 30.0
# After this time, a new leader knows the streams of the entries that reached it.
UNKNOWN_RETRY_SECONDS = 0.5


class Origin(NamedTuple):
    """The service and the software version of the upstream that began a stream."""

    service: str
    version: str


def get_origin(instance: Instance) -> Origin:
    """Return the origin of the streams that begin at an instance."""
    return Origin(instance.service, instance.version)


class StreamOrigins:
    """The origins of the streams that began recently.

    Times are in seconds of one monotonic clock.
    """

    def __init__(self):
        # Origin and expiry time by attempt, in order of the expiry time.
        self._origins: dict[str, tuple[Origin, float]] = {}

    def record(self, attempt: str, origin: Origin, now: float) -> None:
        """Record the origin of an attempt's stream; the newest one counts."""
        self._drop_expired(now)
        self._origins.pop(attempt, None)
        self._origins[attempt] = (origin, now + MEMORY_SECONDS)

    def find(self, attempt: str, now: float) -> Origin | None:
        """Return the origin of an attempt's stream, or None if it isn't known.

        The stream is remembered for longer, because it may be resumed again.
        """
        origin, expires_at = self._origins.get(attempt, (None, now))
        if origin is None or expires_at <= now:
            return None
        self.record(attempt, origin, now)
        return origin

    def require(self, attempt: str, services: tuple[str, ...], now: float) -> Origin:
        """Return the origin of an attempt's stream.

        Raise `CapacityError` if it isn't known, because any upstream could then be
        the wrong one, or if its service isn't one of `services`.
        """
        origin = self.find(attempt, now)
        if origin is None:
            text = "it is not known which upstreams may continue the stream"
            wait = UNKNOWN_RETRY_SECONDS
            raise error.CapacityError(text, error.Kind.NO_UPSTREAM, wait, True)
        check_service(origin, services)
        return origin

    def list(self, now: float) -> tuple[tuple[str, Origin], ...]:
        """Return the remembered attempts with their origins."""
        self._drop_expired(now)
        return tuple(
            (attempt, origin) for attempt, (origin, _) in self._origins.items()
        )

    def _drop_expired(self, now: float) -> None:
        while self._origins:
            oldest = next(iter(self._origins))
            if self._origins[oldest][1] > now:
                return
            del self._origins[oldest]


def check_service(origin: Origin, services: tuple[str, ...]) -> None:
    """Raise `CapacityError` if the service that began a stream isn't allowed."""
    if origin.service not in services:
        text = f"the route no longer leads to {origin.service}, which began the stream"
        raise error.CapacityError(text, error.Kind.NO_UPSTREAM, not_run=True)
