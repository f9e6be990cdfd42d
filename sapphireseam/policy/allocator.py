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

from collections import Counter
from typing import NamedTuple

from sapphireseam.core.instance import Instance
from sapphireseam.policy.demand import ArrivalMeter
from sapphireseam.policy.occupancy import PlacedRequest, UpstreamLoad, compute_score

# Share of a new measurement in the running means.
MEAN_SHARE = 0.1
# What a place is taken to be held for before any was measured, in seconds.
FIRST_HOLD_SECONDS = 0.5
# Shortest and longest time to come back that a refusal tells, in seconds.
SHORTEST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 2.0
# Part of a service's places that late requests may have whatever else comes, and
# the most they may have while it isn't known what comes.
LATE_SHARE = 0.125
UNKNOWN_SHARE = 0.5


class SlotRequest(NamedTuple):
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
    request_id: str = ""
    is_late: bool = False


class Grant(NamedTuple):
    """Give an ask its place; `evicted` is batch work that must stop for it."""

    request: SlotRequest
    instance: Instance
    evicted: str = ""


class Refusal(NamedTuple):
    """Refuse an ask; there will be room in `retry_after` seconds.

    `has_no_upstream` says that the service has no usable upstream at all.
    """

    request: SlotRequest
    retry_after: float
    has_no_upstream: bool


class SlotAllocator:
    """Count places at all upstreams and the requests that wait for one."""

    def __init__(self):
        self._sites: dict[str, UpstreamLoad] = {}
        self._by_service: dict[str, list[UpstreamLoad]] = {}
        # Online requests with a place, by service and customer.
        self._online: Counter[tuple[str, str]] = Counter()
        self._waiting: list[SlotRequest] = []
        self._places: dict[str, str] = {}
        self._holds: dict[str, float] = {}
        self._demand = ArrivalMeter()

    # What is known of the upstreams.

    def update(self, instances: tuple[Instance, ...], now: float) -> list[Grant]:
        """Replace the known instances; return what became placed."""
        before, self._sites = self._sites, {}
        for instance in instances:
            held = before.get(instance.id)
            if held is None or held.instance.born != instance.born:
                self._sites[instance.id] = UpstreamLoad(instance)
                continue
            held.instance = instance
            self._sites[instance.id] = held
        self._index()
        for key, name in list(self._places.items()):
            site = self._sites.get(name)
            if site is None or key not in site.runs:
                del self._places[key]
        return self._place_waiting(now)

    def _index(self) -> None:
        """Bring what is counted by service in line with the instances."""
        self._by_service = {}
        self._online.clear()
        for site in self._sites.values():
            service = site.instance.service
            self._by_service.setdefault(service, []).append(site)
            for run in site.runs.values():
                if not run.is_batch:
                    self._online[service, run.customer] += 1

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all known instances."""
        return tuple(site.instance for site in self._sites.values())

    def eject(self, name: str) -> bool:
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

    def list_ejected(self) -> list[Instance]:
        """Return the instances that are given nothing now."""
        return [site.instance for site in self._sites.values() if site.benched]

    def record_load(self, name: str, ids: tuple[str, ...], now: float) -> list[Grant]:
        """Take in which requests an instance works on, by its own word.

        Those that were never placed here take up places until they are gone.
        Return what became placed.
        """
        site = self._sites.get(name)
        if site is None:
            return []
        site.foreign = min(len(site.list_external(ids, now)), site.instance.slots)
        return self._place_waiting(now)

    def list_external(self, name: str, ids: tuple[str, ...], now: float) -> list[str]:
        """Return those of an instance's requests that were never placed here."""
        site = self._sites.get(name)
        return site.list_external(ids, now) if site is not None else []

    def clear_load(self, name: str, now: float) -> list[Grant]:
        """Count only what was placed here again; return what became placed."""
        return self.record_load(name, (), now)

    def record_pace(self, name: str, pace: float) -> None:
        """Take in how fast an instance answered."""
        site = self._sites.get(name)
        if site is not None and pace > 0.0:
            site.pace += (pace - site.pace) * (MEAN_SHARE if site.pace else 1.0)

    # Requests.

    def add_placed(self, ask: SlotRequest, name: str) -> None:
        """Count a request that was placed by somebody else."""
        site = self._sites.get(name)
        if site is not None:
            self._enter(site, ask, False, ask.arrived)

    def place(self, ask: SlotRequest, now: float) -> Grant | Refusal | None:
        """Place a request, refuse it, or return None while it waits."""
        if not ask.is_late:
            self._demand.record(ask.service, now)
        grant = self._try_place(ask, now)
        if grant is not None:
            return grant
        refusal = self._judge_wait(ask, now)
        if refusal is None:
            self._waiting.append(ask)
        return refusal

    def has_batch_slot(self, service: str) -> bool:
        """Say whether there is room for batch work of a service."""
        if self.count_waiting(service):
            return False
        return any(s.is_usable and s.room > 0 for s in self._list_sites(service))

    def place_batch(self, ask: SlotRequest) -> Grant | None:
        """Place batch work where nothing online wants the place."""
        if self.count_waiting(ask.service):
            return None
        site = self._find_room(ask)
        if site is None:
            return None
        self._enter(site, ask, True, ask.arrived)
        return Grant(ask, site.instance)

    def release(self, key: str, now: float) -> list[Grant]:
        """Free a request's place or end its waiting; return what became placed."""
        self._waiting = [ask for ask in self._waiting if ask.key != key]
        name = self._places.pop(key, None)
        site = self._sites.get(name) if name is not None else None
        if site is None:
            return []
        run = site.remove(key, now)
        if run is not None and not run.is_batch:
            service = site.instance.service
            self._online[service, run.customer] -= 1
            self._note_hold(service, now - run.since)
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
        sites = self._list_sites(service)
        batch = sum(site.batch for site in sites)
        return batch if is_batch else sum(len(site.runs) for site in sites) - batch

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a place of a service."""
        return sum(ask.service == service for ask in self._waiting)

    def count_slots(self, service: str) -> int:
        """Return how many places the usable upstreams of a service have."""
        sites = self._list_sites(service)
        return sum(site.instance.slots for site in sites if site.is_usable)

    def find_least_loaded(self, service: str, excluded: str) -> Instance | None:
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
        """Return each upstream's load, for the log; see `UpstreamLoad.describe`."""
        sites = self._list_sites(service)
        return {site.instance.id: site.describe() for site in sites}

    # How a place is found.

    def _list_sites(self, service: str) -> list[UpstreamLoad]:
        return self._by_service.get(service, [])

    def _list_fit(self, ask: SlotRequest) -> list[UpstreamLoad]:
        sites = [s for s in self._list_sites(ask.service) if s.is_usable]
        fit = [s for s in sites if s.instance.id not in ask.excluded]
        return fit or sites

    def _find_room(self, ask: SlotRequest) -> UpstreamLoad | None:
        sites = [site for site in self._list_fit(ask) if site.room > 0]
        if not sites:
            return None
        paces = [site.pace for site in sites if site.pace]
        fastest = min(paces, default=0.0)
        return min(sites, key=lambda site: compute_score(site, ask.domain, fastest))

    def _try_place(self, ask: SlotRequest, now: float) -> Grant | None:
        if ask.is_late:
            late = sum(site.late for site in self._list_sites(ask.service))
            if late >= self._count_late_places(ask.service, now):
                return None
        site = self._find_room(ask)
        if site is not None:
            self._enter(site, ask, False, now)
            return Grant(ask, site.instance)
        return self._evict_for(ask, now)

    def _evict_for(self, ask: SlotRequest, now: float) -> Grant | None:
        """Take the place of the batch work that began last."""
        candidates = [
            (run.since, key, site)
            for site in self._list_fit(ask)
            if site.batch
            for key, run in site.runs.items()
            if run.is_batch
        ]
        if not candidates:
            return None
        _, key, site = max(candidates, key=lambda item: item[:2])
        site.remove(key, now)
        self._places.pop(key, None)
        self._enter(site, ask, False, now)
        return Grant(ask, site.instance, key)

    def _count_late_places(self, service: str, now: float) -> float:
        """Return how many places late requests may have."""
        slots = self.count_slots(service)
        hold = self.measure_hold(service)
        left_over = slots - self._demand.measure(service, now) * hold
        if not self._demand.is_known(now):
            left_over = min(left_over, slots * UNKNOWN_SHARE)
        return max(left_over, slots * LATE_SHARE)

    def _enter(
        self, site: UpstreamLoad, ask: SlotRequest, is_batch: bool, now: float
    ) -> None:
        run = PlacedRequest(ask.request_id, ask.customer, now, is_batch, ask.is_late)
        site.enter(ask.key, run)
        self._places[ask.key] = site.instance.id
        if not is_batch:
            self._online[site.instance.service, ask.customer] += 1

    # Who waits, and for how long.

    def measure_hold(self, service: str) -> float:
        """Return the seconds for which an online request has its place."""
        return self._holds.get(service, FIRST_HOLD_SECONDS)

    def _note_hold(self, service: str, seconds: float) -> None:
        mean = self.measure_hold(service)
        self._holds[service] = mean + (seconds - mean) * MEAN_SHARE

    def _estimate_wait(self, ask: SlotRequest, ahead: int, now: float) -> float:
        """Return when a request will be placed with so many ahead of it."""
        places: float = self.count_slots(ask.service)
        if not places:
            return LONGEST_RETRY_SECONDS
        if ask.is_late:
            places = self._count_late_places(ask.service, now)
        hold = self.measure_hold(ask.service)
        return (ahead + 1) * hold / places

    def _judge_wait(self, ask: SlotRequest, now: float) -> Refusal | None:
        own = _rate(ask)
        ahead = sum(
            each.service == ask.service and _rate(each) <= own for each in self._waiting
        )
        has_slots = self.count_slots(ask.service) > 0
        wait = self._estimate_wait(ask, ahead, now)
        if has_slots and now + wait < ask.until:
            return None
        return self._refuse(ask, now)

    def _refuse(self, ask: SlotRequest, now: float) -> Refusal:
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

    def _order(self, ask: SlotRequest) -> tuple[int, bool, int, float]:
        running = self._online[ask.service, ask.customer]
        return (*_rate(ask), running, ask.arrived)


def _rate(ask: SlotRequest) -> tuple[int, bool]:
    """Return what decides first whose turn it is; the lowest goes first."""
    return (ask.rank, ask.is_late)
