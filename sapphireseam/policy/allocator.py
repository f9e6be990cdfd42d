"""Allocates the slots of upstreams to requests, or refuses requests.

Some engines have no priorities and serve requests in order of arrival. Such an
engine must never get more requests than it runs at once, because the excess
would wait inside it in that order. So one allocator counts the requests at each
upstream.

An online request gets a slot at the least loaded upstream. If no slot is free,
it evicts a batch request, which resumes later at another upstream. Waiting
requests are placed in order of rank, the lowest first. Within a rank, requests that
can still meet their deadline come before late requests. Among these, requests of the
customer with fewer running requests come first, then those that arrived first. A
request that can't get a slot in time is refused at once, with the time after which
to retry.

A request that continues a stream goes before all others: most of its work is done, its
caller has waited longest, and only upstreams of one version can serve it. So streams
go on after an outage, although new requests fill all slots at once.

After an outage many callers retry at the same time, and their requests are already
late. Late requests get only the slots that the other requests are expected to
leave free, as estimated from the recent arrival rate of those (policy/demand.py).

An upstream that names a ceiling gets no more requests a second than that, online
requests before batch requests (policy/ceiling.py). The other upstreams take the rest.

Times are in seconds of one monotonic clock. The allocator does no I/O and never
blocks. Its methods return the requests that got a slot.
"""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.policy.ceiling import CeilingBucket
from sapphireseam.policy.demand import ArrivalMeter
from sapphireseam.policy.occupancy import PlacedRequest, UpstreamLoad, compute_score

# Weight of a new measurement in the moving averages.
MEAN_WEIGHT = 0.1
# Assumed time for which a request holds its slot, before the first measurement.
INITIAL_SLOT_SECONDS = 0.5
# Bounds of the time after which a refused request may be retried.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
# Share of a service's slots that late requests may always have.
MIN_LATE_SHARE = 0.125
# Largest share that they may have until the arrival rate has been measured over a
# whole window.
STARTUP_LATE_SHARE = 0.5


class SlotRequest(NamedTuple):
    """A request for a slot.

    `key` identifies it in the allocator and `request_id` at the upstream. It may wait
    until `wait_until`. A request that `is_late` can't meet its deadline any more, even
    if it starts now. One with a `version` is placed only at upstreams of that software
    version. One that `is_resumed` continues a stream that has begun.
    """

    key: str
    service: str
    customer: str
    rank: int
    domain: str
    arrived: float
    wait_until: float
    excluded: frozenset[str] = frozenset()
    request_id: str = ""
    is_late: bool = False
    version: str = ""
    is_resumed: bool = False


class Grant(NamedTuple):
    """A slot for a request; `evicted` is the key of batch work to stop for it."""

    request: SlotRequest
    instance: Instance
    evicted: str = ""


class Refusal(NamedTuple):
    """A refused request, which may be retried after `retry_after` seconds.

    `has_no_upstream` means that the service has no usable upstream, or none of the
    requested version.
    """

    request: SlotRequest
    retry_after: float
    has_no_upstream: bool


class SlotAllocator:
    """Tracks the slots of all upstreams and the requests that wait for one."""

    def __init__(self):
        # The ceilings by run, and the part of them that this process may use.
        self._rates: Mapping[str, float] = {}
        self._ceiling_share = 1.0
        # The upstreams that have a ceiling.
        self._limited: list[UpstreamLoad] = []
        self._loads: dict[str, UpstreamLoad] = {}
        self._by_service: dict[str, list[UpstreamLoad]] = {}
        # Online requests that hold a slot, by service and customer.
        self._online_counts: Counter[tuple[str, str]] = Counter()
        self._waiting: list[SlotRequest] = []
        # Instance id by key of the request that holds a slot there.
        self._placements: dict[str, str] = {}
        # Mean time for which an online request holds its slot, by service.
        self._slot_seconds: dict[str, float] = {}
        self._arrivals = ArrivalMeter()

    # State of the upstreams.

    def update(self, instances: tuple[Instance, ...], now: float) -> list[Grant]:
        """Replace the known instances; return new grants."""
        before, self._loads = self._loads, {}
        for instance in instances:
            known = before.get(instance.id)
            if known is None or known.instance.born != instance.born:
                self._loads[instance.id] = UpstreamLoad(instance)
                continue
            known.instance = instance
            self._loads[instance.id] = known
        self._index()
        self._apply_rates(now)
        for key, name in list(self._placements.items()):
            load = self._loads.get(name)
            if load is None or key not in load.requests:
                del self._placements[key]
        return self._place_waiting(now)

    def _index(self) -> None:
        """Rebuild the lists and counts by service from the instances."""
        self._by_service = {}
        self._online_counts.clear()
        for load in self._loads.values():
            service = load.instance.service
            self._by_service.setdefault(service, []).append(load)
            for placed in load.requests.values():
                if not placed.is_batch:
                    self._online_counts[service, placed.customer] += 1

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all known instances."""
        return tuple(load.instance for load in self._loads.values())

    def set_ceilings(
        self, rates: Mapping[str, float], now: float, share: float = 1.0
    ) -> list[Grant]:
        """Set the ceilings by run, of which this allocator may use `share`.

        Return new grants.
        """
        self._rates, self._ceiling_share = dict(rates), share
        self._apply_rates(now)
        return self._place_waiting(now)

    def _apply_rates(self, now: float) -> None:
        for load in self._loads.values():
            rate = self._rates.get(get_run_name(load.instance))
            if rate is None:
                load.ceiling = None
            elif load.ceiling is None:
                load.ceiling = CeilingBucket(rate, now, self._ceiling_share)
            else:
                load.ceiling.configure(rate, now, self._ceiling_share)
        loads = self._loads.values()
        self._limited = [load for load in loads if load.ceiling is not None]

    def drain_ceilings(self, now: float) -> None:
        """Begin to count the requests below the ceilings anew, without a burst."""
        for load in self._limited:
            load.ceiling.drain(now)

    def count_sent(self, name: str, now: float) -> None:
        """Count a request to an instance that holds no slot, such as a probe."""
        load = self._loads.get(name)
        if load is not None and load.ceiling is not None:
            load.ceiling.take(now)

    def retry_waiting(self, now: float) -> list[Grant]:
        """Place the requests for which a ceiling has room by now."""
        return self._place_waiting(now) if self._limited else []

    def read_ceilings(self) -> dict[str, float]:
        """Return the ceilings in force, in requests per second by instance."""
        return {load.instance.id: load.ceiling.rate for load in self._limited}

    def eject(self, name: str) -> bool:
        """Place nothing more at an instance until `restore` is called.

        Return false if it is unknown or already ejected.
        """
        load = self._loads.get(name)
        if load is None or load.is_ejected:
            return False
        load.is_ejected = True
        return True

    def restore(self, name: str, now: float) -> list[Grant]:
        """Place requests at an ejected instance again; return new grants."""
        load = self._loads.get(name)
        if load is not None:
            load.is_ejected = False
        return self._place_waiting(now)

    def mark_leaving(self, name: str, born: int) -> None:
        """Place nothing more at a run of an instance, which has said that it leaves."""
        load = self._loads.get(name)
        if load is not None and load.instance.born == born:
            load.mark_leaving()

    def list_ejected(self) -> list[Instance]:
        """Return the ejected instances."""
        return [load.instance for load in self._loads.values() if load.is_ejected]

    def record_load(self, name: str, ids: tuple[str, ...], now: float) -> list[Grant]:
        """Record the ids of the requests that an instance reports as running.

        External requests occupy slots until the instance no longer reports them.
        Return new grants.
        """
        load = self._loads.get(name)
        if load is None:
            return []
        load.external = min(len(load.list_external(ids, now)), load.instance.slots)
        return self._place_waiting(now)

    def list_external(self, name: str, ids: tuple[str, ...], now: float) -> list[str]:
        """Return the reported ids of requests that this allocator didn't place."""
        load = self._loads.get(name)
        return load.list_external(ids, now) if load is not None else []

    def clear_load(self, name: str, now: float) -> list[Grant]:
        """Drop an instance's external requests; return new grants."""
        return self.record_load(name, (), now)

    def record_pace(self, name: str, pace: float) -> None:
        """Record the seconds per event of an instance's answer."""
        load = self._loads.get(name)
        if load is not None and pace > 0.0:
            load.pace += (pace - load.pace) * (MEAN_WEIGHT if load.pace else 1.0)

    # Requests.

    def add_placed(self, request: SlotRequest, name: str) -> None:
        """Add a request that another process placed at an instance."""
        load = self._loads.get(name)
        if load is not None:
            self._occupy(load, request, False, request.arrived, is_sent=False)

    def place(self, request: SlotRequest, now: float) -> Grant | Refusal | None:
        """Place or refuse a request, or queue it and return None."""
        if not request.is_late:
            self._arrivals.record(request.service, now)
        grant = self._try_place(request, now)
        if grant is not None:
            return grant
        refusal = self._check_wait(request, now)
        if refusal is None:
            self._waiting.append(request)
        return refusal

    def has_batch_slot(self, service: str, now: float) -> bool:
        """Return whether a slot is free for batch work of a service."""
        if self.count_waiting(service):
            return False
        return any(
            load.is_usable and load.can_take(now, is_batch=True)
            for load in self._list_loads(service)
        )

    def place_batch(self, request: SlotRequest) -> Grant | None:
        """Place a batch request, unless no slot is free or online requests wait."""
        if self.count_waiting(request.service):
            return None
        load = self._find_free(request, request.arrived, is_batch=True)
        if load is None or load.is_ejected:
            return None
        self._occupy(load, request, True, request.arrived)
        return Grant(request, load.instance)

    def release(self, key: str, now: float) -> list[Grant]:
        """Release a request's slot or remove it from the queue; return new grants."""
        self._waiting = [request for request in self._waiting if request.key != key]
        name = self._placements.pop(key, None)
        load = self._loads.get(name) if name is not None else None
        if load is None:
            return []
        placed = load.remove(key, now)
        if placed is not None and not placed.is_batch:
            service = load.instance.service
            self._online_counts[service, placed.customer] -= 1
            self._record_slot_time(service, now - placed.placed_at)
        return self._place_waiting(now)

    def expire(self, now: float) -> list[Refusal]:
        """Refuse the requests that have waited for too long."""
        expired = [request for request in self._waiting if request.wait_until <= now]
        if not expired:
            return []
        self._waiting = [
            request for request in self._waiting if request.wait_until > now
        ]
        return [self._refuse(request, now) for request in expired]

    def find_instance(self, key: str) -> str:
        """Return the id of the instance where a request holds a slot, or ""."""
        return self._placements.get(key, "")

    def count_running(self, service: str, is_batch: bool) -> int:
        """Return how many online or batch requests of a service hold a slot."""
        loads = self._list_loads(service)
        batch = sum(load.batch_count for load in loads)
        return batch if is_batch else sum(len(load.requests) for load in loads) - batch

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a slot of a service."""
        return sum(request.service == service for request in self._waiting)

    def count_slots(self, service: str, version: str = "") -> int:
        """Return how many slots the usable upstreams of a service have.

        With a `version`, only upstreams of that software version count.
        """
        loads = self._list_usable(service, version)
        return sum(load.instance.slots for load in loads)

    def has_free_slot(self, service: str, version: str, excluded: str) -> bool:
        """Return whether an upstream of a version, except `excluded`, has a slot."""
        return any(
            load.is_usable
            and load.free_slots > 0
            and load.instance.version == version
            and load.instance.id != excluded
            for load in self._list_loads(service)
        )

    def list_versions(self, service: str) -> set[str]:
        """Return the software versions of a service's known upstreams."""
        return {load.instance.version for load in self._list_loads(service)}

    def find_least_loaded(self, service: str, excluded: str) -> Instance | None:
        """Return a service's upstream with the most free slots, except `excluded`.

        Ejected upstreams are never returned, a leaving one only if there is no
        other.
        """
        loads = [
            load
            for load in self._list_loads(service)
            if load.instance.id != excluded and not load.is_ejected
        ]
        if not loads:
            return None
        return max(loads, key=lambda load: (load.is_usable, load.free_slots)).instance

    def describe(self, service: str) -> dict[str, str]:
        """Return each upstream's load for the log; see `UpstreamLoad.describe`."""
        loads = self._list_loads(service)
        return {load.instance.id: load.describe() for load in loads}

    # Placement.

    def _list_loads(self, service: str) -> list[UpstreamLoad]:
        return self._by_service.get(service, [])

    def _list_usable(self, service: str, version: str) -> list[UpstreamLoad]:
        """Return the upstreams where requests for a version, if any, may be placed.

        If all upstreams of a version are ejected, they are used as a last resort,
        since no other upstream can continue a stream.
        """
        loads = [
            load
            for load in self._list_loads(service)
            if version in ("", load.instance.version)
        ]
        usable = [load for load in loads if load.is_usable]
        if usable or not version:
            return usable
        return [load for load in loads if not load.is_leaving]

    def _list_candidates(self, request: SlotRequest) -> list[UpstreamLoad]:
        loads = self._list_usable(request.service, request.version)
        allowed = [load for load in loads if load.instance.id not in request.excluded]
        return allowed or loads

    def _find_free(
        self, request: SlotRequest, now: float, is_batch: bool = False
    ) -> UpstreamLoad | None:
        candidates = self._list_candidates(request)
        loads = [load for load in candidates if load.can_take(now, is_batch)]
        if not loads:
            return None
        paces = [load.pace for load in loads if load.pace]
        fastest = min(paces, default=0.0)
        return min(loads, key=lambda load: compute_score(load, request.domain, fastest))

    def _try_place(self, request: SlotRequest, now: float) -> Grant | None:
        if request.is_late and not request.is_resumed:
            late = sum(load.late_count for load in self._list_loads(request.service))
            if late >= self._count_late_slots(request.service, now):
                return None
        load = self._find_free(request, now)
        if load is not None:
            self._occupy(load, request, False, now)
            return Grant(request, load.instance)
        return self._evict_for(request, now)

    def _evict_for(self, request: SlotRequest, now: float) -> Grant | None:
        """Place a request in the slot of the batch request that was placed last."""
        candidates = [
            (placed.placed_at, key, load)
            for load in self._list_candidates(request)
            if load.batch_count
            if load.ceiling is None or load.ceiling.can_take(now)
            for key, placed in load.requests.items()
            if placed.is_batch
        ]
        if not candidates:
            return None
        _, key, load = max(candidates, key=lambda item: item[:2])
        load.remove(key, now)
        self._placements.pop(key, None)
        self._occupy(load, request, False, now)
        return Grant(request, load.instance, key)

    def _count_late_slots(self, service: str, now: float) -> float:
        """Return how many slots late requests may have."""
        slot_seconds = self.estimate_slot_seconds(service)
        usable = self._list_usable(service, "")
        slots = sum(load.estimate_capacity(slot_seconds) for load in usable)
        left_over = slots - self._arrivals.measure_rate(service, now) * slot_seconds
        if not self._arrivals.has_full_window(now):
            left_over = min(left_over, slots * STARTUP_LATE_SHARE)
        return max(left_over, slots * MIN_LATE_SHARE)

    def _occupy(
        self,
        load: UpstreamLoad,
        request: SlotRequest,
        is_batch: bool,
        now: float,
        is_sent: bool = True,
    ) -> None:
        if is_sent and load.ceiling is not None:
            load.ceiling.take(now)
        placed = PlacedRequest(
            request.request_id, request.customer, now, is_batch, request.is_late
        )
        load.add(request.key, placed)
        self._placements[request.key] = load.instance.id
        if not is_batch:
            self._online_counts[load.instance.service, request.customer] += 1

    # Waiting and refusals.

    def estimate_slot_seconds(self, service: str) -> float:
        """Return the mean seconds for which an online request holds its slot."""
        return self._slot_seconds.get(service, INITIAL_SLOT_SECONDS)

    def _record_slot_time(self, service: str, seconds: float) -> None:
        mean = self.estimate_slot_seconds(service)
        self._slot_seconds[service] = mean + (seconds - mean) * MEAN_WEIGHT

    def _estimate_wait(self, request: SlotRequest, ahead: int, now: float) -> float:
        """Return the expected wait in seconds of a request with `ahead` before it."""
        slot_seconds = self.estimate_slot_seconds(request.service)
        usable = self._list_usable(request.service, request.version)
        slots = sum(load.estimate_capacity(slot_seconds) for load in usable)
        if request.is_late and not request.is_resumed:
            slots = min(slots, self._count_late_slots(request.service, now))
        if not slots:
            return MAX_RETRY_SECONDS
        return (ahead + 1) * slot_seconds / slots

    def _check_wait(self, request: SlotRequest, now: float) -> Refusal | None:
        precedence = _get_precedence(request)
        ahead = sum(
            each.service == request.service and _get_precedence(each) <= precedence
            for each in self._waiting
        )
        has_slots = self.count_slots(request.service, request.version) > 0
        wait = self._estimate_wait(request, ahead, now)
        if has_slots and now + wait < request.wait_until:
            return None
        return self._refuse(request, now)

    def _refuse(self, request: SlotRequest, now: float) -> Refusal:
        # The request will be late when it is retried.
        retried = request._replace(is_late=True)
        wait = self._estimate_wait(retried, self.count_waiting(request.service), now)
        bounded = min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        has_no_upstream = self.count_slots(request.service, request.version) == 0
        return Refusal(request, bounded, has_no_upstream)

    def _place_waiting(self, now: float) -> list[Grant]:
        """Place waiting requests by rank, then evenly among customers."""
        grants = []
        blocked: set[tuple[str, bool, bool, str]] = set()
        while True:
            waiting = [
                request
                for request in self._waiting
                if _get_block_key(request) not in blocked
            ]
            if not waiting:
                return grants
            request = min(waiting, key=self._get_sort_key)
            grant = self._try_place(request, now)
            if grant is None:
                blocked.add(_get_block_key(request))
                continue
            self._waiting.remove(request)
            grants.append(grant)

    def _get_sort_key(self, request: SlotRequest) -> tuple[bool, int, bool, int, float]:
        running = self._online_counts[request.service, request.customer]
        return (*_get_precedence(request), running, request.arrived)


def _get_precedence(request: SlotRequest) -> tuple[bool, int, bool]:
    """Return the part of the sort key that doesn't depend on running requests.

    The lowest key is placed first.
    """
    return (not request.is_resumed, request.rank, request.is_late)


def _get_block_key(request: SlotRequest) -> tuple[str, bool, bool, str]:
    """Return the key that requests share if none of them can be placed."""
    return (request.service, request.is_late, request.is_resumed, request.version)
