"""Keeps the upstreams of one service in order, to find a slot without a search.

The upstreams with a free slot and without a ceiling are filed by version, occupancy and
failure domain, and there in order of pace. The best one for a request is the first of
one of these files. Those with the lowest occupancy are looked at first, until no other
can have a lower score. Upstreams that name a ceiling are looked at one by one, because
their turn comes with time.

What is filed about an upstream must be brought up to date with `refresh` after each
change of its load.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

from sapphireseam.policy.occupancy import PlacedRequest, UpstreamLoad, compute_score
from sapphireseam.policy.slot import SlotRequest

# The domain of a request that is at a distance from every upstream.
NO_DOMAIN = ""
# How many upstreams with a free slot the log names.
DESCRIBED_UPSTREAMS = 3

# Pace, number and name: the unmeasured first, then the fastest.
_Position = tuple[float, int, str]
# The positions by occupancy and failure domain.
_Files = SortedDict


class _Filing(NamedTuple):
    """Where an upstream is filed."""

    version: str
    domain: str
    slots: int
    is_usable: bool
    has_free_slot: bool
    is_limited: bool
    is_ejected: bool
    is_leaving: bool
    is_evacuated: bool
    is_awaited: bool
    external: int
    occupancy: int
    pace: float
    number: int
    name: str

    @property
    def position(self) -> _Position:
        """Return the position among upstreams of the same occupancy and domain."""
        return (self.pace, self.number, self.name)

    @property
    def is_ordered(self) -> bool:
        """Return whether the upstream is filed in order of pace."""
        return self.is_usable and self.has_free_slot and not self.is_limited


class UpstreamPool:
    """The upstreams of one service with the requests that hold their slots."""

    def __init__(self, loads: Iterable[UpstreamLoad]):
        self.loads: dict[str, UpstreamLoad] = {}
        self.online_count = 0
        self.batch_count = 0
        self.late_count = 0
        # How many upstreams of each version may get requests, and their slots.
        self._usable_counts: Counter[str] = Counter()
        self._slots: Counter[str] = Counter()
        # Slots of the upstreams that the next probe may bring back.
        self._awaited_slots = 0
        # The usable upstreams with a ceiling, in order of number.
        self._limited: dict[str, UpstreamLoad] = {}
        self._files: dict[str, _Files] = {}
        # The measured paces of the upstreams in the files.
        self._paces: dict[str, SortedList] = {}
        self._filings: dict[str, _Filing] = {}
        # How many upstreams are in each state, for the log.
        self._states: Counter[str] = Counter()
        # Batch requests that hold a slot: when they got it, their key, the upstream.
        self._batch: SortedList = SortedList()
        for load in loads:
            self._add(load)

    def _add(self, load: UpstreamLoad) -> None:
        self.loads[load.instance.id] = load
        for key, placed in load.requests.items():
            self._count(load, key, placed, 1)
        self.refresh(load)

    # Changes.

    def add_request(self, load: UpstreamLoad, key: str, placed: PlacedRequest) -> None:
        """Record that a request holds a slot."""
        self._count(load, key, placed, 1)
        load.add(key, placed)
        self.refresh(load)

    def remove_request(
        self, load: UpstreamLoad, key: str, now: float
    ) -> PlacedRequest | None:
        """Release and return a request, or return None if it holds no slot there."""
        placed = load.remove(key, now)
        if placed is not None:
            self._count(load, key, placed, -1)
            self.refresh(load)
        return placed

    def _count(
        self, load: UpstreamLoad, key: str, placed: PlacedRequest, change: int
    ) -> None:
        self.late_count += change * placed.is_late
        if not placed.is_batch:
            self.online_count += change
            return
        self.batch_count += change
        item = (placed.placed_at, key, load.instance.id)
        if change > 0:
            self._batch.add(item)
        else:
            self._batch.remove(item)

    def refresh(self, load: UpstreamLoad) -> None:
        """File an upstream by its present load."""
        name = load.instance.id
        former = self._filings.get(name)
        number = former.number if former is not None else len(self._filings)
        filing = _Filing(
            load.instance.version,
            load.instance.domain,
            load.instance.slots,
            load.is_usable,
            load.free_slots > 0,
            load.ceiling is not None,
            load.is_ejected,
            load.is_leaving,
            load.is_evacuated,
            load.is_awaited,
            load.external,
            len(load.requests) + load.external,
            load.pace,
            number,
            name,
        )
        if filing == former:
            return
        if former is not None:
            self._remove(former)
        self._filings[name] = filing
        self._count_states(filing, 1)
        if filing.is_usable:
            self._usable_counts[filing.version] += 1
            self._slots[filing.version] += filing.slots
            if filing.is_limited:
                self._limited[name] = load
        if filing.is_ordered:
            files = self._files.setdefault(filing.version, SortedDict())
            domains = files.setdefault(filing.occupancy, {})
            domains.setdefault(filing.domain, SortedList()).add(filing.position)
            if filing.pace:
                paces = self._paces.setdefault(filing.version, SortedList())
                paces.add(filing.position)

    def _count_states(self, filing: _Filing, change: int) -> None:
        self._states["external"] += change * filing.external
        self._states["leaving"] += change * filing.is_leaving
        self._states["evacuated"] += change * filing.is_evacuated
        self._states["ejected"] += change * filing.is_ejected
        self._states["limited"] += change * filing.is_limited
        self._awaited_slots += change * filing.is_awaited * filing.slots

    def _remove(self, filing: _Filing) -> None:
        self._count_states(filing, -1)
        if filing.is_usable:
            self._usable_counts[filing.version] -= 1
            self._slots[filing.version] -= filing.slots
            self._limited.pop(filing.name, None)
        if filing.is_ordered:
            files = self._files[filing.version]
            domains = files[filing.occupancy]
            domains[filing.domain].remove(filing.position)
            if not domains[filing.domain]:
                del domains[filing.domain]
            if not domains:
                del files[filing.occupancy]
            if filing.pace:
                self._paces[filing.version].remove(filing.position)

    # Counts.

    def count_slots(self, version: str = "") -> int:
        """Return how many slots the usable upstreams, of a version if any, have."""
        if version and not self._usable_counts[version]:
            return sum(load.instance.slots for load in self._list_last_resorts(version))
        return self._slots[version] if version else self._slots.total()

    def has_choice(self, request: SlotRequest) -> bool:
        """Return whether a request may get a slot once one is free or a probe succeeds.

        One for a version needn't wait for a probe.
        """
        version, held = request.version, request.held
        if request.returns_to:
            return self._find_former(request) is not None
        if not held:
            is_awaited = not version and self._awaited_slots > 0
            return is_awaited or self.count_slots(version) > 0
        if self._are_all_ejected(version):
            return bool(self._list_last_resorts(version, held=held))
        return self._count_usable(version, frozenset({held})) > 0

    def estimate_capacity(self, version: str, slot_seconds: float) -> float:
        """Return how many requests of this duration run at once at the most.

        Upstreams that a probe may bring back count if no other is usable.
        """
        if version and not self._usable_counts[version]:
            loads = self._list_last_resorts(version)
            return sum(load.estimate_capacity(slot_seconds) for load in loads)
        if not self.count_slots(version):
            return self._awaited_slots
        limited = [
            load
            for load in self._limited.values()
            if version in ("", load.instance.version)
        ]
        return self.count_slots(version) - sum(
            load.instance.slots - load.estimate_capacity(slot_seconds)
            for load in limited
        )

    @property
    def is_evacuated(self) -> bool:
        """Whether an upstream is in an evacuated failure domain."""
        return self._states["evacuated"] > 0

    def list_versions(self) -> set[str]:
        """Return the versions of all upstreams."""
        return {load.instance.version for load in self.loads.values()}

    def describe(self) -> dict[str, object]:
        """Return a summary of the loads for the log.

        It counts the upstreams by state and describes a few with a free slot.
        """
        files = [
            file
            for version in self._files.values()
            for domains in version.values()
            for file in domains.values()
        ]
        free = [self.loads[file[0][-1]] for file in files[:DESCRIBED_UPSTREAMS]]
        return {
            "upstreams": len(self.loads),
            **self._states,
            "free": {load.instance.id: load.describe() for load in free},
        }

    # Placement.

    def has_batch_slot(self, now: float) -> bool:
        """Return whether batch work may have a slot."""
        return any(self._files.values()) or any(
            load.can_take(now, True) for load in self._limited.values()
        )

    def find_free(
        self, request: SlotRequest, now: float, is_batch: bool = False
    ) -> UpstreamLoad | None:
        """Return the upstream with a free slot that is best for a request, if any."""
        version = request.version
        if request.returns_to:
            former = self._find_former(request)
            can_take = former is not None and former.can_take(now, is_batch)
            return former if can_take else None
        if self._are_all_ejected(version):
            loads = self._list_last_resorts(version, request.excluded, request.held)
            takers = [load for load in loads if load.can_take(now, is_batch)]
            return self._find_best(takers, request.domain, _find_fastest(takers))
        excluded = self._choose_excluded(request)
        limited = [
            load
            for name, load in self._limited.items()
            if name not in excluded and version in ("", load.instance.version)
            if load.can_take(now, is_batch)
        ]
        versions = [version] if version else list(self._files)
        firsts = [
            load
            for each in versions
            for load in self._list_firsts(self._paces.get(each, ()), excluded)
        ]
        fastest = _find_fastest([*limited, *firsts])
        candidates = self._list_candidates(versions, excluded, fastest)
        return self._find_best([*limited, *candidates], request.domain, fastest)

    def find_evictable(
        self, request: SlotRequest, now: float
    ) -> tuple[str, UpstreamLoad] | None:
        """Return the batch request that was placed last where this one may run."""
        version = request.version
        last_resorts = None
        if request.returns_to:
            former = self._find_former(request)
            last_resorts = {former.instance.id} if former is not None else set()
        elif self._are_all_ejected(version):
            loads = self._list_last_resorts(version, request.excluded, request.held)
            last_resorts = {load.instance.id for load in loads}
        excluded = self._choose_excluded(request)
        for _, key, name in reversed(self._batch):
            load = self.loads[name]
            if last_resorts is None:
                is_allowed = load.is_usable and name not in excluded
            else:
                is_allowed = name in last_resorts
            if not is_allowed or version not in ("", load.instance.version):
                continue
            if load.ceiling is None or load.ceiling.can_take(now):
                return key, load
        return None

    def _are_all_ejected(self, version: str) -> bool:
        """Return whether a request for a version can only have a last resort."""
        return version != "" and not self._usable_counts[version]

    def _find_former(self, request: SlotRequest) -> UpstreamLoad | None:
        """Return the upstream to which a request returns, unless that is closed."""
        load = self.loads.get(request.returns_to)
        if load is None or load.is_closed:
            return None
        return load if request.version in ("", load.instance.version) else None

    def _choose_excluded(self, request: SlotRequest) -> frozenset[str]:
        """Return the upstreams at which a request must not be placed.

        Those at which it failed are used only if there are no others, but never the one
        where it is held.
        """
        held = frozenset({request.held} if request.held else ())
        excluded = request.excluded | held
        if excluded and self._count_usable(request.version, excluded) == 0:
            return held
        return excluded

    def _count_usable(self, version: str, excluded: frozenset[str]) -> int:
        """Return how many usable upstreams, of a version if any, aren't excluded."""
        counts = self._usable_counts
        usable = counts[version] if version else counts.total()
        filings = [self._filings.get(name) for name in excluded]
        return usable - sum(
            filing is not None and filing.is_usable and version in ("", filing.version)
            for filing in filings
        )

    def _list_last_resorts(
        self, version: str, excluded: frozenset[str] = frozenset(), held: str = ""
    ) -> list[UpstreamLoad]:
        """Return the upstreams that may continue a stream if all are ejected."""
        loads = [
            load
            for load in self.loads.values()
            if load.instance.version == version and not load.is_closed
            if load.instance.id != held
        ]
        return [load for load in loads if load.instance.id not in excluded] or loads

    def _list_candidates(
        self, versions: list[str], excluded: frozenset[str], fastest: float
    ) -> list[UpstreamLoad]:
        """Return the upstreams in the files of which one has the lowest score."""
        found: list[UpstreamLoad] = []
        limit = math.inf
        for version in versions:
            for occupancy, domains in self._files.get(version, {}).items():
                # The score of one more request there is at least this.
                if occupancy + 1 > limit:
                    break
                for file in domains.values():
                    measured = file.bisect_left((math.ulp(0.0),))
                    for part in (file.islice(0, measured), file.islice(measured)):
                        for load in self._list_firsts(part, excluded):
                            found.append(load)
                            score = compute_score(load, NO_DOMAIN, fastest)
                            limit = min(limit, score)
        return found

    def _list_firsts(
        self, positions: Iterable[_Position], excluded: frozenset[str]
    ) -> list[UpstreamLoad]:
        """Return the first upstream that isn't excluded, if any."""
        for _, _, name in positions:
            if name not in excluded:
                return [self.loads[name]]
        return []

    def _find_best(
        self, loads: list[UpstreamLoad], domain: str, fastest: float
    ) -> UpstreamLoad | None:
        def get_order(load: UpstreamLoad) -> tuple[float, int]:
            number = self._filings[load.instance.id].number
            return compute_score(load, domain, fastest), number

        return min(loads, key=get_order, default=None)


def _find_fastest(loads: Iterable[UpstreamLoad]) -> float:
    """Return the lowest measured pace, or 0."""
    return min((load.pace for load in loads if load.pace), default=0.0)
