"""Chooses a replica for each request at an entry.

Load reports arrive late. If entries followed each report, they would react to loads
that no longer exist, and all entries would move from replica to replica together.
So the load of a replica is the number of streams that this entry has in flight
there now, plus the mean over some seconds of the reported streams of other entries.
The last report alone is used only to tell whether a replica is full.

A request goes to a replica that probably holds its prefix, but only while the
replica's load is within a bound of the others', since cache events arrive late and
some are lost. If there is no such replica, the cheapest of the few that this entry
chose longest ago is used. So entries that read the same stale report don't all
choose the same replica, and each entry spreads its own requests evenly. Random
choices wouldn't be even, and a burst fits into a fleet only if it is spread evenly.

The cost of a replica is the expected wait there plus its distance, both in seconds.
Failure domains are about a millisecond apart and a stream takes far longer, so
distance only decides between replicas with about equal loads. Filling the near
domains first would lengthen their queues while the far ones are idle.
"""

import hashlib
import math
import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

# A replica gets requests with prefixes that it holds while its load is at most this
# multiple of the mean load, or at most MIN_LOAD_BOUND. A load is a number of streams
# divided by the limit.
LOAD_BOUND_FACTOR = 1.25
MIN_LOAD_BOUND = 0.5

# Requests whose prefix has no holder go to replicas below this load, if any.
NEARLY_FULL_LOAD = 0.9

# Expected wait at a replica that runs as many streams as its limit. The wait is
# proportional to the load. Only its ratio to the distances matters.
FULL_LOAD_SECONDS = 0.1

# A replica that is more than this many times slower than the median is avoided,
# except for a small share of requests that show whether it has become faster.
SLOW_FACTOR = 2.0
PROBE_SHARE = 0.02

# Largest number of blocks in the index of holders, for all replicas together.
MAX_BLOCKS = 65536

# Number of replicas among which the cheapest is chosen.
CHOICES = 3

# Time constant of the mean of other entries' streams. Bursts are shorter, so they
# change the mean little, but a replica that stays slower than others still shows.
SMOOTHING_SECONDS = 2.5

# The state of a replica is dropped after it has been no candidate for this time.
FORGET_SECONDS = 60.0


class Candidate(NamedTuple):
    """A replica, described by its last report and this entry's own counts.

    `distance` and `latency` are in seconds, `reported_at` is on this entry's
    clock. `running`, `queued` and `limit` are numbers of streams in the report.
    `in_flight` is the number of this entry's streams now, `in_flight_at_report`
    their number when the report arrived.
    """

    name: str
    failure_domain: str
    distance: float
    running: int
    queued: int
    limit: int
    in_flight: int
    in_flight_at_report: int
    reported_at: float
    latency: float
    leaving: bool
    suspect: bool


class Query(NamedTuple):
    """A request to be routed.

    `prefix` holds hashes of prompt blocks. Each hash also covers all blocks before
    it, so the longest prefix is last. Replicas in `exclude` are never chosen. A
    request with `isolate` goes where it can harm the fewest others.
    """

    customer: str
    prefix: tuple[int, ...]
    exclude: frozenset[str]
    isolate: bool


class Router(Protocol):
    """Chooses among replicas, but never a leaving or an excluded one."""

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return a replica's name, or None if no replica may be used."""

    def record(self, query: Query, name: str, now: float) -> None:
        """Record that the request was sent to this replica."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Apply a replica's cache events, which may be late or incomplete."""


def filter_usable(query: Query, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the replicas that may be chosen, suspect ones only as a last resort."""
    usable = [
        each
        for each in candidates
        if not each.leaving and each.name not in query.exclude
    ]
    trusted = [each for each in usable if not each.suspect]
    return trusted or usable


class RoundRobinRouter:
    """Chooses the replicas in turn (a baseline)."""

    def __init__(self, rng: random.Random):
        self._turn = rng.randrange(1 << 16)

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the next replica in the order of names."""
        usable = sorted(filter_usable(query, candidates))
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)].name

    def record(self, query: Query, name: str, now: float) -> None:
        """Do nothing."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Do nothing."""


class LeastLoadedRouter:
    """Chooses the replica with the lowest reported load (a baseline)."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the replica with the fewest streams in its last report."""
        usable = filter_usable(query, candidates)
        if not usable:
            return None
        return min(usable, key=lambda each: each.running + each.queued).name

    def record(self, query: Query, name: str, now: float) -> None:
        """Do nothing."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Do nothing."""


def compute_rank(block: int, name: str) -> bytes:
    """Return a replica's rendezvous hash for a block, the same at every entry."""
    return hashlib.blake2b(f"{block}/{name}".encode(), digest_size=8).digest()


class _HolderIndex:
    """An index of the replicas that probably hold a block in their cache."""

    def __init__(self):
        self._holders: OrderedDict[int, set[str]] = OrderedDict()

    def add(self, name: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            self._holders.setdefault(block, set()).add(name)
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def remove(self, name: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            if block in self._holders:
                self.remove_holders(block, {name})

    def remove_replicas(self, names: set[str]) -> None:
        for block in list(self._holders):
            self.remove_holders(block, names)

    def remove_holders(self, block: int, names: set[str]) -> None:
        holders = self._holders[block]
        holders -= names
        if not holders:
            del self._holders[block]

    def find(self, prefix: Sequence[int]) -> set[str]:
        """Return the holders of the longest prefix that has any."""
        for block in reversed(prefix):
            holders = self._holders.get(block)
            if holders:
                return holders
        return set()


def estimate_cost(candidate: Candidate, load: float) -> float:
    """Return the expected wait at a replica plus its distance, in seconds."""
    return candidate.distance + FULL_LOAD_SECONDS * load


def count_other_streams(candidate: Candidate) -> int:
    """Return the number of other entries' streams in the last report."""
    reported = candidate.running + candidate.queued
    return max(reported - candidate.in_flight_at_report, 0)


def has_room(candidate: Candidate) -> bool:
    """Return whether the last report and this entry's streams leave room."""
    streams = count_other_streams(candidate) + candidate.in_flight
    return streams < NEARLY_FULL_LOAD * max(candidate.limit, 1)


class _SmoothedLoad(NamedTuple):
    """The mean of other entries' streams at a replica and its last report's time."""

    streams: float
    reported_at: float


class PrefixRouter:
    """Sends requests with the same prefix to one replica as far as loads allow."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._holder_index = _HolderIndex()
        self._smoothed_loads: dict[str, _SmoothedLoad] = {}
        self._choice_count = 0
        self._last_choices: dict[str, int] = {}
        self._seen: dict[str, float] = {}
        self._pruned_at = -math.inf

    def record(self, query: Query, name: str, now: float) -> None:
        """Record the choice and that the replica now holds the prefix.

        Other replicas are then preferred for the next request without a holder.
        """
        self._choice_count += 1
        self._last_choices[name] = self._choice_count
        self._holder_index.add(name, query.prefix)

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Apply a replica's cache events to the index of holders."""
        self._holder_index.add(name, added)
        self._holder_index.remove(name, removed)

    def estimate_load(self, candidate: Candidate) -> float:
        """Return other entries' mean streams plus this entry's, over the limit."""
        others = self._smooth_others(candidate)
        return (others + candidate.in_flight) / max(candidate.limit, 1)

    def _smooth_others(self, candidate: Candidate) -> float:
        """Update the mean of other entries' streams by a new report and return it."""
        others = float(count_other_streams(candidate))
        previous = self._smoothed_loads.get(candidate.name)
        if previous is not None:
            elapsed = max(candidate.reported_at - previous.reported_at, 0.0)
            factor = math.exp(-elapsed / SMOOTHING_SECONDS)
            others += factor * (previous.streams - others)
        self._smoothed_loads[candidate.name] = _SmoothedLoad(
            others, candidate.reported_at
        )
        return others

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the replica for this request, or None."""
        self._update_seen(candidates, now)
        usable = self._drop_slow(filter_usable(query, candidates))
        if not usable:
            return None
        loads = {each.name: self.estimate_load(each) for each in usable}
        if query.isolate:
            return min(usable, key=lambda each: (loads[each.name], each.name)).name
        name = self._find_holder(query, usable, loads)
        return name or self._choose_with_room(query, usable, loads)

    def _update_seen(self, candidates: Sequence[Candidate], now: float) -> None:
        """Record when replicas were seen, and drop the state of those that are gone."""
        self._seen.update((each.name, now) for each in candidates)
        if now - self._pruned_at < FORGET_SECONDS:
            return
        self._pruned_at = now
        oldest = now - FORGET_SECONDS
        gone = {name for name, seen in self._seen.items() if seen < oldest}
        if not gone:
            return
        self._holder_index.remove_replicas(gone)
        for name in gone:
            del self._seen[name]
            self._smoothed_loads.pop(name, None)
            self._last_choices.pop(name, None)

    def _drop_slow(self, usable: list[Candidate]) -> list[Candidate]:
        """Return the replicas that aren't far slower than the median.

        All are returned for a small share of requests, which probe the slow ones.
        """
        latencies = sorted(each.latency for each in usable)
        if not latencies or self._rng.random() < PROBE_SHARE:
            return usable
        median = latencies[(len(latencies) - 1) // 2]
        if median <= 0.0:
            return usable
        return [each for each in usable if each.latency <= SLOW_FACTOR * median]

    def _find_holder(
        self, query: Query, usable: list[Candidate], loads: dict[str, float]
    ) -> str | None:
        """Return the cheapest holder of the prefix within the load bound."""
        bound = max(
            LOAD_BOUND_FACTOR * sum(loads.values()) / len(loads), MIN_LOAD_BOUND
        )
        names = self._holder_index.find(query.prefix)
        holders = [
            each for each in usable if each.name in names and loads[each.name] <= bound
        ]
        if not holders:
            return None
        return self._choose_cheapest(sorted(holders), loads)

    def _choose_with_room(
        self, query: Query, usable: list[Candidate], loads: dict[str, float]
    ) -> str:
        """Return the cheapest of a few replicas with room, in any failure domain.

        If the request has a prefix, the hash of its first block selects two
        replicas. So entries choose the same replicas for a new prefix without a
        message.
        """
        with_room = [each for each in usable if has_room(each)] or usable
        if query.prefix:
            block = query.prefix[0]
            choices = sorted(
                with_room, key=lambda each: compute_rank(block, each.name)
            )[:2]
        else:
            self._rng.shuffle(with_room)
            with_room.sort(key=lambda each: self._last_choices.get(each.name, 0))
            choices = with_room[:CHOICES]
        return self._choose_cheapest(choices, loads)

    def _choose_cheapest(
        self, candidates: list[Candidate], loads: dict[str, float]
    ) -> str:
        """Return the first of the replicas with the lowest cost."""
        return min(
            candidates, key=lambda each: estimate_cost(each, loads[each.name])
        ).name
