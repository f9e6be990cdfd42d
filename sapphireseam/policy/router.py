"""Choose a replica for each request at an entry.

Reports of load come late, and an entry that follows each one evens out what is
long past: all entries then swing together between replicas. So a replica's load
is what this entry has in flight there now, which it knows, and the mean over
some seconds of what the reports say of others. Only whether a replica is full is
read off the last report.

A prefix that a replica is thought to hold draws a request there, only while its
load is within a bound of the others', since the cache events behind that
thought are late and have gaps. Without such a replica the cheapest of the few
that this entry chose longest ago is taken. Many entries that read one stale
report then don't all choose one replica, and each entry spreads its own work
evenly, which random choices don't: a burst fits into a fleet only if it is
spread evenly.

A replica's cost is the wait expected there and the way to it, both in seconds.
Failure domains are about a millisecond apart and a stream takes far longer, so
distance decides between replicas that are about equally loaded, and no more.
Filling the near domains first instead lengthens their queues while the far
ones idle.
"""

import hashlib
import math
import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

# How far above the mean load a replica may be and still draw its prefixes,
# and the load by limit up to which it draws them in any case.
LOAD_BOUND = 1.25
FREE_LOAD = 0.5

# A replica this full gets what no holder draws only if all are as full.
ROOM_LOAD = 0.9

# The wait expected at a replica that runs as many streams as its limit; one
# that runs fewer answers the faster. Only its size against distances matters.
FULL_SECONDS = 0.1

# A replica this many times slower than the median gets no work by choice, but
# for a small share of requests that show whether it has become faster.
SLOW_FACTOR = 2.0
PROBE_SHARE = 0.02

# Blocks remembered for all replicas together.
HINT_BLOCKS = 65536

# Replicas among which the cheapest is taken.
CHOICES = 3

# The time over which reports of others' load count. Bursts are shorter, and a
# replica that stays slower than others shows all the same.
STEADY_SECONDS = 2.5

# What is remembered of a replica goes once it was no candidate for so long.
FORGET_SECONDS = 60.0


class Candidate(NamedTuple):
    """Describe one replica as its last report and this entry see it.

    `distance` and `latency` are in seconds, `reported_at` is on this entry's
    clock. `running`, `queued` and `limit` count streams in the report,
    `in_flight` those of this entry now and `in_flight_at_report` those when the
    report came.
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
    """Describe one request.

    `prefix` holds hashes of prompt blocks, each over all before it, the
    longest last. Replicas in `exclude` are never chosen. A request with
    `isolate` goes where it can harm the fewest others.
    """

    customer: str
    prefix: tuple[int, ...]
    exclude: frozenset[str]
    isolate: bool


class Router(Protocol):
    """Choose among replicas; leaving and excluded ones are never chosen."""

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return a replica's name, or nothing if none may be used."""

    def record(self, query: Query, name: str, now: float) -> None:
        """Note that the request was sent to this replica."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Take in a replica's cache events, a hint that may be wrong."""


def keep_usable(query: Query, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the replicas that may be chosen; suspect ones only if no other."""
    usable = [
        each
        for each in candidates
        if not each.leaving and each.name not in query.exclude
    ]
    trusted = [each for each in usable if not each.suspect]
    return trusted or usable


class RoundRobinRouter:
    """Take the replicas in turn (a baseline)."""

    def __init__(self, rng: random.Random):
        self._turn = rng.randrange(1 << 16)

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the next replica in the order of names."""
        usable = sorted(keep_usable(query, candidates))
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)].name

    def record(self, query: Query, name: str, now: float) -> None:
        """Learn nothing."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Learn nothing."""


class LeastLoadedRouter:
    """Take the replica with the lowest reported load (a baseline)."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the replica that its last report calls least loaded."""
        usable = keep_usable(query, candidates)
        if not usable:
            return None
        return min(usable, key=lambda each: each.running + each.queued).name

    def record(self, query: Query, name: str, now: float) -> None:
        """Learn nothing."""

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Learn nothing."""


def rank(block: int, name: str) -> bytes:
    """Return a replica's place for a block, the same at every entry."""
    return hashlib.blake2b(f"{block}/{name}".encode(), digest_size=8).digest()


class _Hints:
    """Remember which replicas are thought to hold which blocks."""

    def __init__(self):
        self._holders: OrderedDict[int, set[str]] = OrderedDict()

    def add(self, name: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            self._holders.setdefault(block, set()).add(name)
            self._holders.move_to_end(block)
        while len(self._holders) > HINT_BLOCKS:
            self._holders.popitem(last=False)

    def remove(self, name: str, blocks: Iterable[int]) -> None:
        for block in blocks:
            if block in self._holders:
                self.remove_from(block, {name})

    def forget(self, names: set[str]) -> None:
        for block in list(self._holders):
            self.remove_from(block, names)

    def remove_from(self, block: int, names: set[str]) -> None:
        holders = self._holders[block]
        holders -= names
        if not holders:
            del self._holders[block]

    def find(self, prefix: Sequence[int]) -> set[str]:
        """Return the holders of the longest block that has any."""
        for block in reversed(prefix):
            holders = self._holders.get(block)
            if holders:
                return holders
        return set()


def estimate_cost(candidate: Candidate, load: float) -> float:
    """Return the seconds that a request is expected to lose at this replica."""
    return candidate.distance + FULL_SECONDS * load


def count_others(candidate: Candidate) -> int:
    """Return the streams of others that the last report counts."""
    reported = candidate.running + candidate.queued
    return max(reported - candidate.in_flight_at_report, 0)


def has_room(candidate: Candidate) -> bool:
    """Tell whether the last report and what is in flight here leave room."""
    streams = count_others(candidate) + candidate.in_flight
    return streams < ROOM_LOAD * max(candidate.limit, 1)


class _Steady(NamedTuple):
    """Hold the mean of others' streams at a replica and the last report's time."""

    streams: float
    reported_at: float


class PrefixRouter:
    """Keep prefixes together as far as the load allows."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._hints = _Hints()
        self._steady: dict[str, _Steady] = {}
        self._turn = 0
        self._turns: dict[str, int] = {}
        self._seen: dict[str, float] = {}
        self._forgotten_at = -math.inf

    def record(self, query: Query, name: str, now: float) -> None:
        """Note the choice: others come first next time, and the prefix is there."""
        self._turn += 1
        self._turns[name] = self._turn
        self._hints.add(name, query.prefix)

    def apply_cache_events(
        self, name: str, added: Iterable[int], removed: Iterable[int], now: float
    ) -> None:
        """Take in a replica's cache events."""
        self._hints.add(name, added)
        self._hints.remove(name, removed)

    def estimate_load(self, candidate: Candidate) -> float:
        """Return the load by limit: others' steady streams and this entry's now."""
        others = self._follow_others(candidate)
        return (others + candidate.in_flight) / max(candidate.limit, 1)

    def _follow_others(self, candidate: Candidate) -> float:
        """Take in a report that is new; return the mean of others' streams."""
        others = float(count_others(candidate))
        known = self._steady.get(candidate.name)
        if known is not None:
            passed = max(candidate.reported_at - known.reported_at, 0.0)
            kept = math.exp(-passed / STEADY_SECONDS)
            others += kept * (known.streams - others)
        self._steady[candidate.name] = _Steady(others, candidate.reported_at)
        return others

    def choose(
        self, query: Query, candidates: Sequence[Candidate], now: float
    ) -> str | None:
        """Return the replica for this request, or nothing."""
        self._note_seen(candidates, now)
        usable = self._drop_slow(keep_usable(query, candidates))
        if not usable:
            return None
        loads = {each.name: self.estimate_load(each) for each in usable}
        if query.isolate:
            return min(usable, key=lambda each: (loads[each.name], each.name)).name
        name = self._find_holder(query, usable, loads)
        return name or self._choose_of_few(query, usable, loads)

    def _note_seen(self, candidates: Sequence[Candidate], now: float) -> None:
        """Forget replicas that are gone, once in a while."""
        self._seen.update((each.name, now) for each in candidates)
        if now - self._forgotten_at < FORGET_SECONDS:
            return
        self._forgotten_at = now
        oldest = now - FORGET_SECONDS
        gone = {name for name, seen in self._seen.items() if seen < oldest}
        if not gone:
            return
        self._hints.forget(gone)
        for name in gone:
            del self._seen[name]
            self._steady.pop(name, None)
            self._turns.pop(name, None)

    def _drop_slow(self, usable: list[Candidate]) -> list[Candidate]:
        """Leave out replicas far slower than the median one."""
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
        bound = max(LOAD_BOUND * sum(loads.values()) / len(loads), FREE_LOAD)
        names = self._hints.find(query.prefix)
        holders = [
            each for each in usable if each.name in names and loads[each.name] <= bound
        ]
        if not holders:
            return None
        return self._choose_cheapest(sorted(holders), loads)

    def _choose_of_few(
        self, query: Query, usable: list[Candidate], loads: dict[str, float]
    ) -> str:
        """Return the cheapest of a few replicas with room, in any failure domain.

        A prompt's first block names two by its hash, so that entries agree on
        where a new prefix goes without a message.
        """
        room = [each for each in usable if has_room(each)] or usable
        if query.prefix:
            block = query.prefix[0]
            few = sorted(room, key=lambda each: rank(block, each.name))[:2]
        else:
            self._rng.shuffle(room)
            room.sort(key=lambda each: self._turns.get(each.name, 0))
            few = room[:CHOICES]
        return self._choose_cheapest(few, loads)

    def _choose_cheapest(
        self, candidates: list[Candidate], loads: dict[str, float]
    ) -> str:
        """Return the first of the replicas where a request loses least."""
        return min(
            candidates, key=lambda each: estimate_cost(each, loads[each.name])
        ).name
