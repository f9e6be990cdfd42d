"""Compares the ways in which entries place alone, in simulated time.

Two plays, each without a network. In the first, every entry places a few requests at
once, without any knowledge. In the second, a leader places under steady load and is
lost; the entries go on alone for a second, by loads of some age, or until they have
attached to the next leader. A request at an upstream whose slots are taken waits there.
Example:
`python -m sapphireseam.tools.bench_evenload --entries 29 --upstreams 29`.
"""

import hashlib
import heapq
import itertools
import math
import statistics
from collections import Counter, deque
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple, Protocol

import typer

from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, spread
from sapphireseam.policy.occupancy import DISTANCE_SLOTS

SLOTS = 8
DOMAINS = "abcd"
SERVICE = "llm"
# Mean time for which a request runs at an upstream of full speed.
RUN_SECONDS = 0.5
# How long the leader places, and after it the entries alone.
LED_SECONDS = 2.0
ALONE_SECONDS = 1.0
MILLISECONDS = 1000.0


class Case(NamedTuple):
    """One fleet and its load.

    `load` is the share of the slots that the requests need. `age` is that of the last
    loads, in seconds. Each upstream in `slow_every` takes twice as long, 0 for none.
    Only the first `callers` entries get requests, or all. The next leader is elected at
    once, and the entries attach to it within `attach` seconds; 0 if there is none.
    """

    entries: int
    upstreams: int
    load: float = 0.7
    age: float = 0.5
    slow_every: int = 0
    callers: int = 0
    attach: float = 0.0


class Knowledge(NamedTuple):
    """What one entry knows: its number, the upstreams, and the loads by others."""

    number: int
    case: Case
    instances: tuple[Instance, ...]
    others: tuple[int, ...]
    random: Random


class Way(Protocol):
    """Chooses the upstream for a request."""

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the number of an upstream, or None to refuse the request.

        `own` counts this entry's requests by upstream.
        """
        ...


class Ordered:
    """Choose the upstream of the lowest score, and of those the first of an order."""

    def __init__(
        self,
        knowledge: Knowledge,
        uses_loads: bool = False,
        order: Callable[[Knowledge, int, int], float] = lambda known, serial, each: (
            each
        ),
    ):
        self._knowledge, self._order = knowledge, order
        self._others = knowledge.others if uses_loads else (0,) * len(knowledge.others)

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the upstream of the lowest score."""
        knowledge = self._knowledge
        domain = _get_domain(knowledge.number)
        return min(
            range(len(knowledge.instances)),
            key=lambda each: (
                own[each]
                + self._others[each]
                + DISTANCE_SLOTS * (knowledge.instances[each].domain != domain),
                self._order(knowledge, serial, each),
            ),
        )


def order_by_hash(knowledge: Knowledge, serial: int, each: int) -> float:
    """Return the rendezvous order of an upstream."""
    text = f"{knowledge.number}/{serial}/{each}".encode()
    return int.from_bytes(hashlib.blake2s(text, digest_size=4).digest())


def order_by_rotation(knowledge: Knowledge, serial: int, each: int) -> float:
    """Return the order of an upstream that begins elsewhere for each entry."""
    count = len(knowledge.instances)
    return (each - knowledge.number * count // knowledge.case.entries) % count


class ChoiceOfTwo:
    """Choose the less loaded of two upstreams that are drawn at random."""

    def __init__(self, knowledge: Knowledge):
        self._knowledge = knowledge

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the less loaded of two upstreams."""
        knowledge = self._knowledge
        count = len(knowledge.instances)
        drawn = knowledge.random.sample(range(count), min(2, count))
        return min(drawn, key=lambda each: own[each] + knowledge.others[each])


class FixedPart:
    """Use only the slots of this entry's number, and refuse what is more."""

    def __init__(self, knowledge: Knowledge):
        count, entries = len(knowledge.instances), knowledge.case.entries
        slots = range(knowledge.number, count * SLOTS, entries)
        self._slots = [each % count for each in slots]

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the upstream of the first slot that isn't used."""
        seen: Counter[int] = Counter()
        for each in self._slots:
            seen[each] += 1
            if own[each] < seen[each]:
                return each
        return None


class Spread:
    """Choose as `policy.spread` does."""

    def __init__(self, knowledge: Knowledge):
        position = spread.Position(knowledge.number, knowledge.case.entries)
        ordered = spread.order_instances(knowledge.instances, position)
        self._order = [int(instance.id) for instance in ordered]

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the first of the upstreams with the fewest own requests."""
        return min(self._order, key=own.__getitem__)


class Dealt:
    """Deal the slots that were free by the last loads to the entries in turn.

    An entry keeps the slots that its requests held, and goes on in the same way when
    those that fell to it are used.
    """

    def __init__(self, knowledge: Knowledge):
        self._knowledge = knowledge
        self._hand: list[int] = []

    def _deal(self, own: Counter[int]) -> None:
        knowledge = self._knowledge
        entries, number = knowledge.case.entries, knowledge.number
        self._hand = list(own.elements())
        taken = [mine + own[n] for n, mine in enumerate(knowledge.others)]
        levels = range(1, 3 * SLOTS)
        slots = sorted((level, n) for n, load in enumerate(taken) for level in levels)
        free = [n for level, n in slots if level > taken[n]]
        for round, begin in enumerate(range(0, len(free) - entries, entries)):
            self._hand.append(free[begin + (number + round * 11) % entries])

    def choose(self, own: Counter[int], serial: int) -> int | None:
        """Return the upstream of the first dealt slot that isn't used."""
        if not self._hand:
            self._deal(own)
        seen: Counter[int] = Counter()
        for each in self._hand:
            seen[each] += 1
            if own[each] < seen[each]:
                return each
        return min(range(len(self._knowledge.instances)), key=own.__getitem__)


WAYS: dict[str, Callable[[Knowledge], Way]] = {
    "one order": Ordered,
    "last loads": lambda knowledge: Ordered(knowledge, True),
    "choice of two": ChoiceOfTwo,
    "rendezvous": lambda knowledge: Ordered(knowledge, False, order_by_hash),
    "rotation": lambda knowledge: Ordered(knowledge, False, order_by_rotation),
    "loads, rotation": lambda knowledge: Ordered(knowledge, True, order_by_rotation),
    "fixed part": FixedPart,
    "loads, dealt": Dealt,
    "spread": Spread,
}


def _get_domain(number: int) -> str:
    return DOMAINS[number % len(DOMAINS)]


def make_instances(count: int) -> tuple[Instance, ...]:
    """Return the upstreams, of which the number is the id."""
    return tuple(
        Instance(str(n), SERVICE, f"10.0.0.1:{n + 1}", _get_domain(n), SLOTS)
        for n in range(count)
    )


def play_burst(way: str, case: Case, each: int, seed: int = 0) -> Counter[int]:
    """Let every entry place `each` requests; return the requests by upstream."""
    instances = make_instances(case.upstreams)
    random = Random(seed)
    zeros = (0,) * len(instances)
    loads: Counter[int] = Counter()
    for number in range(case.callers or case.entries):
        known = Knowledge(number, case, instances, zeros, random)
        chooser, own = WAYS[way](known), Counter[int]()
        for serial in range(each):
            chosen = chooser.choose(own, serial)
            if chosen is not None:
                own[chosen] += 1
        loads += own
    return loads


class Outcome(NamedTuple):
    """What the requests met that came after the loss of the leader.

    `overrun` is the share that had to wait while another upstream had a free slot,
    `refused` the share that was refused. Waits are in milliseconds. `fullest` is the
    most requests at one upstream, as a multiple of its slots.
    """

    overrun: float
    refused: float
    mean_wait: float
    long_wait: float
    fullest: float


class _Run(NamedTuple):
    """A request that runs or waits at an upstream, which it reached at `began`."""

    upstream: int
    entry: int
    key: str
    seconds: float
    began: float


class Simulation:
    """Plays the loss of a leader under load."""

    def __init__(self, way: str, case: Case, seed: int):
        self._way, self._case = way, case
        self._random = Random(seed)
        self._instances = make_instances(case.upstreams)
        self._slowness = [
            2.0 if case.slow_every and n % case.slow_every == 0 else 1.0
            for n in range(case.upstreams)
        ]
        self._leader = self._make_leader()
        self._lost_at = LED_SECONDS + case.age
        # When each entry attaches to the next leader, the last one first.
        self._unattached = sorted(
            (
                (self._lost_at + self._random.random() * case.attach, entry)
                for entry in range(case.entries if case.attach else 0)
            ),
            reverse=True,
        )
        self._attached: set[int] = set()
        self._live: list[dict[str, _Run]] = [{} for _ in range(case.entries)]
        self._own = [Counter[int]() for _ in range(case.entries)]
        self._running = [0] * case.upstreams
        self._queues: list[deque[_Run]] = [deque() for _ in range(case.upstreams)]
        self._free = case.upstreams * SLOTS
        self._ends: list[tuple[float, str, _Run]] = []
        self._serials = itertools.count()
        self._waits: list[float] = []

    def _make_leader(self) -> allocator.SlotAllocator:
        leader = allocator.SlotAllocator()
        leader.update(self._instances, 0.0)
        for number, slowness in enumerate(self._slowness):
            leader.record_pace(str(number), slowness)
        return leader

    def play(self) -> Outcome:
        """Return what the requests met that came after the loss of the leader."""
        capacity = sum(SLOTS / (RUN_SECONDS * each) for each in self._slowness)
        rate = self._case.load * capacity
        counts: Counter[str] = Counter()
        fullest = 0
        # First the leader places, until the loads are measured and it is lost.
        for now in self._draw_times(0.0, LED_SECONDS, rate):
            self._place_led(self._draw_entry(), now)
        loads, own = self._measure_loads(), [counter.copy() for counter in self._own]
        for now in self._draw_times(LED_SECONDS, self._lost_at, rate):
            self._place_led(self._draw_entry(), now)
        self._leader = self._make_leader()
        choosers = self._make_choosers(loads, own)
        end = self._lost_at + ALONE_SECONDS
        for now in self._draw_times(self._lost_at, end, rate):
            self._attach(now)
            entry = self._draw_entry()
            if entry in self._attached:
                run = self._place_led(entry, now)
            else:
                run = self._place_alone(entry, choosers[entry], now)
            counts["all"] += 1
            if run is None:
                counts["refused"] += 1
                continue
            load = self._running[run.upstream] + len(self._queues[run.upstream])
            counts["overrun"] += load > SLOTS and self._free > 0
            fullest = max(fullest, load)
        self._end_until(math.inf)
        waits = sorted(self._waits) or [0.0]
        return Outcome(
            counts["overrun"] / counts["all"],
            counts["refused"] / counts["all"],
            statistics.fmean(waits) * MILLISECONDS,
            waits[int(len(waits) * 0.99)] * MILLISECONDS,
            fullest / SLOTS,
        )

    def _draw_times(self, begin: float, end: float, rate: float) -> Iterator[float]:
        """Yield when requests come; what has ended by then is released."""
        now = begin
        while (now := now + self._random.expovariate(rate)) < end:
            self._end_until(now)
            yield now

    def _draw_entry(self) -> int:
        return self._random.randrange(self._case.callers or self._case.entries)

    def _measure_loads(self) -> list[int]:
        return [sum(own[n] for own in self._own) for n in range(self._case.upstreams)]

    def _make_choosers(self, loads: list[int], own: list[Counter[int]]) -> list[Way]:
        """Return how each entry chooses, by the loads of that time without its own."""
        choosers = []
        for number, counter in enumerate(own):
            others = tuple(taken - counter[n] for n, taken in enumerate(loads))
            known = Knowledge(number, self._case, self._instances, others, self._random)
            choosers.append(WAYS[self._way](known))
        return choosers

    def _attach(self, now: float) -> None:
        """Report the requests of the entries that attach to the next leader."""
        while self._unattached and self._unattached[-1][0] <= now:
            _, entry = self._unattached.pop()
            self._attached.add(entry)
            for key, run in self._live[entry].items():
                request = self._make_request(entry, key, now)
                self._leader.add_placed(request, str(run.upstream))

    def _make_request(self, entry: int, key: str, now: float) -> allocator.SlotRequest:
        domain = _get_domain(entry)
        return allocator.SlotRequest(key, SERVICE, "c", 0, domain, now, now)

    def _place_led(self, entry: int, now: float) -> _Run | None:
        key = str(next(self._serials))
        result = self._leader.place(self._make_request(entry, key, now), now)
        if not isinstance(result, allocator.Grant):
            return None
        return self._start(int(result.instance.id), entry, key, now)

    def _place_alone(self, entry: int, chooser: Way, now: float) -> _Run | None:
        serial = next(self._serials)
        chosen = chooser.choose(self._own[entry], serial)
        if chosen is None:
            return None
        return self._start(chosen, entry, str(serial), now)

    def _start(self, upstream: int, entry: int, key: str, now: float) -> _Run:
        """Start a request at its upstream, or let it wait there."""
        seconds = self._random.expovariate(1.0 / RUN_SECONDS)
        run = _Run(upstream, entry, key, seconds * self._slowness[upstream], now)
        self._live[entry][key] = run
        self._own[entry][upstream] += 1
        if self._running[upstream] >= SLOTS:
            self._queues[upstream].append(run)
        else:
            self._occupy(run, now)
        return run

    def _occupy(self, run: _Run, now: float) -> None:
        if run.began >= self._lost_at:
            self._waits.append(now - run.began)
        self._running[run.upstream] += 1
        self._free -= 1
        heapq.heappush(self._ends, (now + run.seconds, run.key, run))

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, key, run = heapq.heappop(self._ends)
            del self._live[run.entry][key]
            self._running[run.upstream] -= 1
            self._free += 1
            self._own[run.entry][run.upstream] -= 1
            self._leader.release(key, at)
            if self._queues[run.upstream]:
                self._occupy(self._queues[run.upstream].popleft(), at)


def print_bursts(cases: list[Case], ways: list[str], seeds: int) -> None:
    """Print how evenly the requests lie that all entries place at once."""
    typer.echo("| entries | upstreams | each | way | fullest by even | idle |")
    typer.echo("|---|---|---|---|---|---|")
    for case, each, way in itertools.product(cases, (1, 4), ways):
        even = (case.callers or case.entries) * each / case.upstreams
        plays = [play_burst(way, case, each, seed) for seed in range(seeds)]
        fullest = statistics.fmean(max(play.values(), default=0) for play in plays)
        idle = statistics.fmean(case.upstreams - len(+play) for play in plays)
        typer.echo(
            f"| {case.entries} | {case.upstreams} | {each} | {way}"
            f" | {fullest / max(even, 1.0):.2f} | {idle:.0f} |"
        )


def print_losses(cases: list[Case], ways: list[str], seeds: int) -> None:
    """Print what requests meet in the second after the loss of a leader."""
    typer.echo(
        "| entries | upstreams | load | age s | slow | way | overrun %", nl=False
    )
    typer.echo(" | refused % | mean wait ms | p99 ms | fullest by slots |")
    typer.echo("|---|---|---|---|---|---|---|---|---|---|---|")
    for case, way in itertools.product(cases, ways):
        plays = [Simulation(way, case, seed).play() for seed in range(seeds)]
        overrun, refused, mean, long, fullest = map(
            statistics.fmean, zip(*plays, strict=True)
        )
        typer.echo(
            f"| {case.entries} | {case.upstreams} | {case.load} | {case.age}"
            f" | {case.slow_every} | {way} | {overrun * 100:.1f} | {refused * 100:.1f}"
            f" | {mean:.0f} | {long:.0f} | {fullest:.2f} |"
        )


def main(
    entries: list[int] = typer.Option([29, 19], help="Numbers of entries."),
    upstreams: list[int] = typer.Option([29, 20], help="Upstreams, one a fleet."),
    ages: list[float] = typer.Option([0.5, 5.0], help="Ages of the loads, in seconds."),
    loads: list[float] = typer.Option([0.5, 0.8], help="Shares of the slots in use."),
    slow_every: int = typer.Option(0, help="Each of so many upstreams is slow."),
    callers: int = typer.Option(0, help="Entries that get requests, 0 for all."),
    attach: float = typer.Option(0.0, help="Seconds until all have the next leader."),
    ways: list[str] = typer.Option(list(WAYS), help="The ways to compare."),
    seeds: int = typer.Option(5, help="Number of seeds, counted from 0."),
) -> None:
    """Print tables of both plays."""
    fleets = [
        Case(*pair, callers=callers, attach=attach)
        for pair in zip(entries, upstreams, strict=True)
    ]
    print_bursts(fleets, ways, seeds)
    typer.echo()
    cases = [
        case._replace(load=load, age=age, slow_every=slow_every, callers=callers)
        for case, load, age in itertools.product(fleets, loads, ages)
    ]
    print_losses(cases, ways, seeds)


if __name__ == "__main__":
    typer.run(main)
