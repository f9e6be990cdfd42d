"""Counts the requests that occupy the slots of one upstream.

An allocator keeps one `UpstreamLoad` per upstream: the requests that it placed
there, and the external ones that the upstream reports beside them.
"""

from typing import NamedTuple

from sapphireseam.core.instance import Instance
from sapphireseam.policy.ceiling import CeilingBucket

# Maximum age of an upstream's load report plus the time that an upstream may take to
# drop a request whose connection was closed. A released request that is reported
# within this time isn't external.
REPORT_SECONDS = 1.0
# Upper limit of the ratio between an upstream's pace and that of the fastest one.
MAX_SLOWNESS = 8.0
# Added to the load of an upstream in another failure domain, in slots.
DISTANCE_SLOTS = 0.3


class PlacedRequest(NamedTuple):
    """A request that has held a slot since `placed_at`, in monotonic seconds."""

    request_id: str
    customer: str
    placed_at: float
    is_batch: bool
    is_late: bool = False


class UpstreamLoad:
    """Tracks the requests at one instance.

    `batch_count` and `late_count` are the numbers of batch and of late requests
    among them.
    """

    def __init__(self, instance: Instance):
        self.instance = instance
        self.requests: dict[str, PlacedRequest] = {}
        self.batch_count = 0
        self.late_count = 0
        self.is_ejected = False
        # Whether a probe has failed since the instance was ejected.
        self.is_down = False
        # Whether the failure domain is evacuated: nothing new may begin there.
        self.is_evacuated = False
        # Whether the instance itself has said that it is leaving, which the list of
        # instances may not tell yet.
        self.has_said_leaving = False
        # Mean seconds per event, 0 before the first measurement.
        self.pace = 0.0
        # Number of reported requests that this process didn't place, such as those
        # that a lost leader placed.
        self.external = 0
        # Release times of requests that the upstream may still report.
        self._released: dict[str, float] = {}
        # Spreads the requests while the instance names a ceiling.
        self.ceiling: CeilingBucket | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the instance is leaving."""
        return self.has_said_leaving or self.instance.is_leaving

    @property
    def is_usable(self) -> bool:
        """Return whether requests may be placed at the instance."""
        return not self.is_ejected and not self.is_closed

    @property
    def is_closed(self) -> bool:
        """Return whether nothing may be placed at the instance in any case."""
        return self.is_leaving or self.is_evacuated

    @property
    def is_awaited(self) -> bool:
        """Return whether the next probe may bring the instance back."""
        return self.is_ejected and not self.is_down and not self.is_closed

    @property
    def free_slots(self) -> int:
        """Return the number of free slots."""
        return self.instance.slots - len(self.requests) - self.external

    def can_take(self, now: float, is_batch: bool = False) -> bool:
        """Return whether one more request may be placed at the instance now."""
        if self.free_slots <= 0:
            return False
        return self.ceiling is None or self.ceiling.can_take(now, is_batch)

    def estimate_capacity(self, slot_seconds: float) -> float:
        """Return how many requests of this duration run at once at the most."""
        slots: float = self.instance.slots
        if self.ceiling is None:
            return slots
        return min(slots, self.ceiling.rate * slot_seconds)

    def add(self, key: str, request: PlacedRequest) -> None:
        """Add a placed request."""
        self.requests[key] = request
        self.batch_count += request.is_batch
        self.late_count += request.is_late

    def remove(self, key: str, now: float) -> PlacedRequest | None:
        """Remove and return a placed request, or return None if it isn't here."""
        request = self.requests.pop(key, None)
        if request is not None:
            self.batch_count -= request.is_batch
            self.late_count -= request.is_late
            old = [id for id, at in self._released.items() if at < now - REPORT_SECONDS]
            for id in old:
                del self._released[id]
            self._released[request.request_id] = now
        return request

    def list_external(self, ids: tuple[str, ...], now: float) -> list[str]:
        """Return the reported request ids that this process didn't place."""
        placed_here = {request.request_id for request in self.requests.values()}
        placed_here.update(
            id for id, at in self._released.items() if at >= now - REPORT_SECONDS
        )
        return [id for id in ids if id not in placed_here]

    def describe(self) -> str:
        """Return the load as `online+batch+external/slots`, for the log.

        " leaving", " evacuated", " benched" (ejected) and the ceiling are appended
        where they apply.
        """
        mark = " leaving" if self.is_leaving else ""
        mark += " evacuated" if self.is_evacuated else ""
        mark += " benched" if self.is_ejected else ""
        if self.ceiling is not None:
            mark += f" {self.ceiling.rate:.3g}/s"
        online = len(self.requests) - self.batch_count
        return (
            f"{online}+{self.batch_count}+{self.external}/{self.instance.slots}{mark}"
        )


def compute_score(load: UpstreamLoad, domain: str, fastest: float) -> float:
    """Return the score of an upstream for one more request; the lowest is best.

    It is the upstream's load with this request, in slots, multiplied by how much
    slower the upstream is than the fastest one.
    """
    slowness = 1.0
    if load.pace and fastest:
        slowness = min(load.pace / fastest, MAX_SLOWNESS)
    distance = 0.0 if load.instance.domain == domain else DISTANCE_SLOTS
    return (len(load.requests) + load.external + 1 + distance) * slowness
