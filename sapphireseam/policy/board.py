"""Give each request a place at an upstream, or refuse it at once.

This answers the load of engines that know no priorities and admit in order of
arrival: whatever reaches such an engine first is served first, so nobody may
send it more than it works on at once. One board counts what runs at each
upstream. Online requests get the place with the least load; when none is free
they take one from batch work, which goes on elsewhere later. Who waits gets a place
by rank; those that can be on time before those that are late already; then by what
its customer has running, then by arrival. What can't be placed in its time is refused
at once, with the time at which there will be room.

Many come back at once after an outage, late already. Those get only the places that
requests which can be on time will leave over while they run, by how many of these
came lately (policy/demand.py).

Times are readings of one monotonic clock, in seconds. Nothing here waits or
sends: callers ask, and are told what became placed.
"""

from typing import NamedTuple

from sapphireseam.core.instance import Instance
from sapphireseam.policy.demand import Demand

# Share of a new measurement in the running means.
MEAN_SHARE = 0.1
# What a place is taken to be held for before any was measured, in seconds.
FIRST_HOLD_SECONDS = 0.5
# How much slower than the fastest an upstream may seem at the most.
SLOWEST_FACTOR = 8.0
# How old what an upstream says of itself may be, and how long it may take to drop
# a request whose connection was closed, together, in seconds.
REPORT_SECONDS = 1.0
# Load that a place in another failure domain counts more, in places.
DISTANCE_PLACES = 0.3
# Shortest and longest time to come back that a refusal tells, in seconds.
SHORTEST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 2.0
# Part of a service's places that late requests may have whatever else comes, and
# the most they may have while it isn't known what comes.
LATE_SHARE = 0.125
UNKNOWN_SHARE = 0.5


class Ask(NamedTuple):
    """Describe a request that wants a place until it leaves.

    `key` is its own, `until` the moment until which it may wait, `request` the id
    by which an upstream names it. One that `is_late` can't be answered on time any
    more, whatever is done.
    """

    key: str
    service: str
    customer: str
    rank: int
    domain: str
    arrived: float
    until: float
    excluded: frozenset[str] = frozenset()
    request: str = ""
    is_late: bool = False


class Grant(NamedTuple):
    """Give an ask its place; `evicted` is batch work that must stop for it."""

    ask: Ask
    instance: Instance
    evicted: str = ""


class Refusal(NamedTuple):
    """Refuse an ask; there will be room in `retry_after` seconds.

    `has_none` says that the service has no usable upstream at all.
    """

    ask: Ask
    retry_after: float
    has_none: bool


class _Run(NamedTuple):
    request: str
    customer: str
    since: float
    is_batch: bool
    is_late: bool


class _Site:
    """Count what runs at one instance."""

    def __init__(self, instance: Instance):
        self.instance = instance
        self.runs: dict[str, _Run] = {}
        self.benched = False
        self.pace = 0.0
        # Work that nobody here has placed, such as a lost leader's.
        self.foreign = 0
        # When the requests left that an upstream may still name.
        self._left: dict[str, float] = {}

    @property
    def is_usable(self) -> bool:
        return not self.benched and not self.instance.is_leaving

    def remove(self, key: str, now: float) -> _Run | None:
        """Take a run away; return it if it was there."""
        run = self.runs.pop(key, None)
        if run is not None:
            old = [id for id, at in self._left.items() if at < now - REPORT_SECONDS]
            for id in old:
                del self._left[id]
            self._left[run.request] = now
        return run

    def list_foreign(self, ids: tuple[str, ...], now: float) -> list[str]:
        """Return those of the requests that it works on that nobody here placed."""
        own = {run.request for run in self.runs.values()}
        own.update(id for id, at in self._left.items() if at >= now - REPORT_SECONDS)
        return [id for id in ids if id not in own]

    @property
    def room(self) -> int:
        return self.instance.slots - len(self.runs) - self.foreign


class Board:
    """Count places at all upstreams and the requests that wait for one."""

    def __init__(self):
        self._sites: dict[str, _Site] = {}
        self._waiting: list[Ask] = []
        self._places: dict[str, str] = {}
        self._holds: dict[str, float] = {}
        self._demand = Demand()

    # What is known of the upstreams.

    def update(self, instances: tuple[Instance, ...], now: float) -> list[Grant]:
        """Replace the known instances; return what became placed."""
        before, self._sites = self._sites, {}
        for instance in instances:
            held = before.get(instance.id)
            if held is None or held.instance.born != instance.born:
                self._sites[instance.id] = _Site(instance)
                continue
            held.instance = instance
            self._sites[instance.id] = held
        for key, name in list(self._places.items()):
            site = self._sites.get(name)
            if site is None or key not in site.runs:
                del self._places[key]
        return self._place_waiting(now)

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all known instances."""
        return tuple(site.instance for site in self._sites.values())

    def bench(self, name: str) -> bool:
        """Give an instance nothing more until `restore`; say if that is news."""
        site = self._sites.get(name)
        if site is None or site.benched:
            return False
        site.benched = True
        return True

    def restore(self, name: str, now: float) -> list[Grant]:
        """Use an instance again; return what became placed."""
        site = self._sites.get(name)
        if site is not None:
            site.benched = False
        return self._place_waiting(now)

    def list_benched(self) -> list[Instance]:
        """Return the instances that are given nothing now."""
        return [site.instance for site in self._sites.values() if site.benched]

    def note_load(self, name: str, ids: tuple[str, ...], now: float) -> list[Grant]:
        """Take in which requests an instance works on, by its own word.

        Those that were never placed here take up places until they are gone.
        Return what became placed.
        """
        site = self._sites.get(name)
        if site is None:
            return []
        site.foreign = min(len(site.list_foreign(ids, now)), site.instance.slots)
        return self._place_waiting(now)

    def list_foreign(self, name: str, ids: tuple[str, ...], now: float) -> list[str]:
        """Return those of an instance's requests that were never placed here."""
        site = self._sites.get(name)
        return site.list_foreign(ids, now) if site is not None else []

    def forget_load(self, name: str, now: float) -> list[Grant]:
        """Count only what was placed here again; return what became placed."""
        return self.note_load(name, (), now)

    def note_pace(self, name: str, pace: float) -> None:
        """Take in how fast an instance answered."""
        site = self._sites.get(name)
        if site is not None and pace > 0.0:
            site.pace += (pace - site.pace) * (MEAN_SHARE if site.pace else 1.0)

    # Requests.

    def adopt(self, ask: Ask, name: str) -> None:
        """Count a request that was placed by somebody else."""
        site = self._sites.get(name)
        if site is not None:
            self._enter(site, ask, False)

    def place(self, ask: Ask, now: float) -> Grant | Refusal | None:
        """Place a request, refuse it, or return None while it waits."""
        if not ask.is_late:
            self._demand.note(ask.service, now)
        grant = self._try_place(ask, now)
        if grant is not None:
            return grant
        refusal = self._judge_wait(ask, now)
        if refusal is None:
            self._waiting.append(ask)
        return refusal

    def has_spare(self, service: str) -> bool:
        """Say whether there is room for batch work of a service."""
        if self.count_waiting(service):
            return False
        return any(s.is_usable and s.room > 0 for s in self._list_sites(service))

    def take_spare(self, ask: Ask) -> Grant | None:
        """Place batch work where nothing online wants the place."""
        if self.count_waiting(ask.service):
            return None
        site = self._find_room(ask)
        if site is None:
            return None
        self._enter(site, ask, True)
        return Grant(ask, site.instance)

    def leave(self, key: str, now: float) -> list[Grant]:
        """Free a request's place or end its waiting; return what became placed."""
        self._waiting = [ask for ask in self._waiting if ask.key != key]
        name = self._places.pop(key, None)
        site = self._sites.get(name) if name is not None else None
        if site is None:
            return []
        run = site.remove(key, now)
        if run is not None and not run.is_batch:
            self._note_hold(site.instance.service, now - run.since)
        return self._place_waiting(now)

    def expire(self, now: float) -> list[Refusal]:
        """Refuse what has waited for too long."""
        late = [ask for ask in self._waiting if ask.until <= now]
        if not late:
            return []
        self._waiting = [ask for ask in self._waiting if ask.until > now]
        return [self._refuse(ask, now) for ask in late]

    def find_instance(self, key: str) -> str:
        """Return the instance at which a request has its place, or nothing."""
        return self._places.get(key, "")

    def count_running(self, service: str, is_batch: bool) -> int:
        """Return how many places of a service are taken by one kind of work."""
        return sum(
            run.is_batch == is_batch
            for site in self._list_sites(service)
            for run in site.runs.values()
        )

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a place of a service."""
        return sum(ask.service == service for ask in self._waiting)

    def count_slots(self, service: str) -> int:
        """Return how many places the usable upstreams of a service have."""
        sites = self._list_sites(service)
        return sum(site.instance.slots for site in sites if site.is_usable)

    def find_freest(self, service: str, excluded: str) -> Instance | None:
        """Return the upstream of a service with the most room, but for one."""
        sites = [
            site
            for site in self._list_sites(service)
            if site.instance.id != excluded and not site.benched
        ]
        if not sites:
            return None
        return max(sites, key=lambda site: (site.is_usable, site.room)).instance

    def describe(self, service: str) -> dict[str, str]:
        """Return each upstream's load, for the log.

        An entry reads `online+batch+foreign/slots`, with a mark for one that is
        leaving or benched.
        """
        described = {}
        for site in self._list_sites(service):
            batch = sum(run.is_batch for run in site.runs.values())
            online = len(site.runs) - batch
            mark = " leaving" if site.instance.is_leaving else ""
            mark += " benched" if site.benched else ""
            load = f"{online}+{batch}+{site.foreign}/{site.instance.slots}"
            described[site.instance.id] = load + mark
        return described

    # How a place is found.

    def _list_sites(self, service: str) -> list[_Site]:
        return [s for s in self._sites.values() if s.instance.service == service]

    def _list_fit(self, ask: Ask) -> list[_Site]:
        sites = [s for s in self._list_sites(ask.service) if s.is_usable]
        fit = [s for s in sites if s.instance.id not in ask.excluded]
        return fit or sites

    def _find_room(self, ask: Ask) -> _Site | None:
        sites = [site for site in self._list_fit(ask) if site.room > 0]
        if not sites:
            return None
        paces = [site.pace for site in sites if site.pace]
        fastest = min(paces, default=0.0)
        return min(sites, key=lambda site: _weigh(site, ask.domain, fastest))

    def _try_place(self, ask: Ask, now: float) -> Grant | None:
        if ask.is_late:
            late = self._count_late(ask.service)
            if late >= self._count_late_places(ask.service, now):
                return None
        site = self._find_room(ask)
        if site is not None:
            self._enter(site, ask, False)
            return Grant(ask, site.instance)
        return self._evict_for(ask)

    def _evict_for(self, ask: Ask) -> Grant | None:
        """Take the place of the batch work that began last."""
        candidates = [
            (run.since, key, site)
            for site in self._list_fit(ask)
            for key, run in site.runs.items()
            if run.is_batch
        ]
        if not candidates:
            return None
        _, key, site = max(candidates, key=lambda item: item[:2])
        site.remove(key, ask.arrived)
        self._places.pop(key, None)
        self._enter(site, ask, False)
        return Grant(ask, site.instance, key)

    def _count_late(self, service: str) -> int:
        """Return how many places late requests have."""
        return sum(
            run.is_late
            for site in self._list_sites(service)
            for run in site.runs.values()
        )

    def _count_late_places(self, service: str, now: float) -> float:
        """Return how many places late requests may have."""
        slots = self.count_slots(service)
        hold = self._holds.get(service, FIRST_HOLD_SECONDS)
        left_over = slots - self._demand.measure(service, now) * hold
        if not self._demand.is_known(now):
            left_over = min(left_over, slots * UNKNOWN_SHARE)
        return max(left_over, slots * LATE_SHARE)

    def _enter(self, site: _Site, ask: Ask, is_batch: bool) -> None:
        run = _Run(ask.request, ask.customer, ask.arrived, is_batch, ask.is_late)
        site.runs[ask.key] = run
        self._places[ask.key] = site.instance.id

    # Who waits, and for how long.

    def _note_hold(self, service: str, seconds: float) -> None:
        mean = self._holds.get(service, FIRST_HOLD_SECONDS)
        self._holds[service] = mean + (seconds - mean) * MEAN_SHARE

    def _estimate_wait(self, ask: Ask, ahead: int, now: float) -> float:
        """Return when a request will be placed with so many ahead of it."""
        places: float = self.count_slots(ask.service)
        if not places:
            return LONGEST_RETRY_SECONDS
        if ask.is_late:
            places = self._count_late_places(ask.service, now)
        hold = self._holds.get(ask.service, FIRST_HOLD_SECONDS)
        return (ahead + 1) * hold / places

    def _judge_wait(self, ask: Ask, now: float) -> Refusal | None:
        own = _rate(ask)
        ahead = sum(
            each.service == ask.service and _rate(each) <= own for each in self._waiting
        )
        has_slots = self.count_slots(ask.service) > 0
        wait = self._estimate_wait(ask, ahead, now)
        if has_slots and now + wait < ask.until:
            return None
        return self._refuse(ask, now)

    def _refuse(self, ask: Ask, now: float) -> Refusal:
        # Whoever comes back is late then.
        back = ask._replace(is_late=True)
        wait = self._estimate_wait(back, self.count_waiting(ask.service), now)
        bounded = min(max(wait, SHORTEST_RETRY_SECONDS), LONGEST_RETRY_SECONDS)
        return Refusal(ask, bounded, self.count_slots(ask.service) == 0)

    def _place_waiting(self, now: float) -> list[Grant]:
        """Place what waits, first by rank, then evenly among customers."""
        grants = []
        blocked: set[tuple[str, bool]] = set()
        while True:
            waiting = [
                ask
                for ask in self._waiting
                if (ask.service, ask.is_late) not in blocked
            ]
            if not waiting:
                return grants
            ask = min(waiting, key=self._order)
            grant = self._try_place(ask, now)
            if grant is None:
                blocked.add((ask.service, ask.is_late))
                continue
            self._waiting.remove(ask)
            grants.append(grant)

    def _order(self, ask: Ask) -> tuple[int, bool, int, float]:
        running = sum(
            run.customer == ask.customer
            for site in self._list_sites(ask.service)
            for run in site.runs.values()
        )
        return (*_rate(ask), running, ask.arrived)


def _rate(ask: Ask) -> tuple[int, bool]:
    """Return what decides first whose turn it is; the lowest goes first."""
    return (ask.rank, ask.is_late)


def _weigh(site: _Site, domain: str, fastest: float) -> float:
    """Return how loaded an upstream would seem to one more request."""
    slowness = 1.0
    if site.pace and fastest:
        slowness = min(site.pace / fastest, SLOWEST_FACTOR)
    distance = 0.0 if site.instance.domain == domain else DISTANCE_PLACES
    return (len(site.runs) + site.foreign + 1 + distance) * slowness
