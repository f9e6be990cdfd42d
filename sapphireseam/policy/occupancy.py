"""Count what runs at one upstream, as one board sees it."""

from typing import NamedTuple

from sapphireseam.core.instance import Instance

# How old what an upstream says of itself may be, and how long it may take to drop
# a request whose connection was closed, together, in seconds.
REPORT_SECONDS = 1.0
# How much slower than the fastest an upstream may seem at the most.
SLOWEST_FACTOR = 8.0
# Load that a place in another failure domain counts more, in places.
DISTANCE_PLACES = 0.3


class PlacedRequest(NamedTuple):
    """Hold a request that has a place, since a moment in seconds."""

    request: str
    customer: str
    since: float
    is_batch: bool
    is_late: bool = False


class UpstreamLoad:
    """Hold one instance's runs; `batch` and `late` count those of these kinds."""

    def __init__(self, instance: Instance):
        self.instance = instance
        self.runs: dict[str, PlacedRequest] = {}
        self.batch = 0
        self.late = 0
        self.benched = False
        # Seconds an event takes, 0 before any was measured.
        self.pace = 0.0
        # Work that nobody here has placed, such as a lost leader's.
        self.foreign = 0
        # When the requests left that an upstream may still name.
        self._left: dict[str, float] = {}

    @property
    def is_usable(self) -> bool:
        """Say whether the instance may be given anything."""
        return not self.benched and not self.instance.is_leaving

    @property
    def room(self) -> int:
        """Return how many places are free."""
        return self.instance.slots - len(self.runs) - self.foreign

    def enter(self, key: str, run: PlacedRequest) -> None:
        """Add a run."""
        self.runs[key] = run
        self.batch += run.is_batch
        self.late += run.is_late

    def remove(self, key: str, now: float) -> PlacedRequest | None:
        """Take a run away; return it if it was there."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.batch -= run.is_batch
            self.late -= run.is_late
            old = [id for id, at in self._left.items() if at < now - REPORT_SECONDS]
            for id in old:
                del self._left[id]
            self._left[run.request] = now
        return run

    def list_external(self, ids: tuple[str, ...], now: float) -> list[str]:
        """Return those of the requests that it works on that nobody here placed."""
        own = {run.request for run in self.runs.values()}
        own.update(id for id, at in self._left.items() if at >= now - REPORT_SECONDS)
        return [id for id in ids if id not in own]

    def describe(self) -> str:
        """Return the load as `online+batch+foreign/slots`, and what keeps it out."""
        mark = " leaving" if self.instance.is_leaving else ""
        mark += " benched" if self.benched else ""
        online = len(self.runs) - self.batch
        return f"{online}+{self.batch}+{self.foreign}/{self.instance.slots}{mark}"


def compute_score(site: UpstreamLoad, domain: str, fastest: float) -> float:
    """Return how loaded an upstream would seem to one more request."""
    slowness = 1.0
    if site.pace and fastest:
        slowness = min(site.pace / fastest, SLOWEST_FACTOR)
    distance = 0.0 if site.instance.domain == domain else DISTANCE_PLACES
    return (len(site.runs) + site.foreign + 1 + distance) * slowness
