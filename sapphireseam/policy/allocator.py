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
to retry. While all upstreams are ejected and the next probe may bring some back, a
request may wait for that.

A request that continues a stream goes before all others: most of its work is done, its
caller has waited longest, and only upstreams of one version can serve it. So streams
go on after an outage, although new requests fill all slots at once.

After an outage many callers retry at the same time, and their requests are already
late. Late requests get only the slots that the other requests are expected to
leave free, as estimated from the recent arrival rate of those (policy/demand.py).

An upstream that names a ceiling gets no more requests a second than that, online
requests before batch requests (policy/ceiling.py). The other upstreams take the rest.
So does one that is cold (policy/coldstart.py); it comes after those that aren't.

Where customers share a service by weight, one order decides who goes first, who is
refused and when refused requests return (policy/sharing.py, policy/comeback.py).

An operator may evacuate a failure domain. Then nothing new begins at its upstreams,
whatever else is lost. Requests that could only be placed there are refused at once.

The upstreams (policy/upstreampool.py) and the waiting requests (policy/waitlist.py) of
a service are kept in order, so a decision takes about the same time in a small and in a
large fleet.

Times are in seconds of one monotonic clock. The allocator does no I/O and never
blocks. Its methods return the requests that got a slot.
"""

import math
from collections import Counter
from collections.abc import Collection, Mapping

from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.policy.ceiling import CeilingBucket
from sapphireseam.policy.comeback import ReturnCalendar
from sapphireseam.policy.demand import WINDOW_SECONDS, ArrivalMeter
from sapphireseam.policy.occupancy import PlacedRequest, UpstreamLoad
from sapphireseam.policy.sharing import SharedWaitlist
from sapphireseam.policy.slot import Grant, Refusal, RefusalCause, SlotRequest
from sapphireseam.policy.upstreampool import UpstreamPool
from sapphireseam.policy.waitlist import (
    LineKey,
    Waitlist,
    get_line_key,
)

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
# A service is overloaded if more requests arrive than slots become free, by so many
# standard deviations of a random number of arrivals.
OVERLOAD_DEVIATIONS = 2.0


class SlotAllocator:
    """Tracks the slots of all upstreams and the requests that wait for one."""

    def __init__(self):
        # The ceilings by run, and the part of them that this process may use.
        self._rates: Mapping[str, float] = {}
        self._ceiling_share = 1.0
        # The same for the runs that are cold.
        self._cold_rates: Mapping[str, float] = {}
        self._cold_share = 1.0
        # How many requests of each service weren't placed at once while a cold upstream
        # had a free slot.
        self.held_back: Counter[str] = Counter()
        # The upstreams that have a ceiling.
        self._limited: list[UpstreamLoad] = []
        self._evacuated: frozenset[str] = frozenset()
        self._loads: dict[str, UpstreamLoad] = {}
        self._pools: dict[str, UpstreamPool] = {}
        # Online requests that hold a slot, by service and customer.
        self._online_counts: Counter[tuple[str, str]] = Counter()
        self._waitlists: dict[str, Waitlist] = {}
        # The returns of refused requests, by service that customers share by weight.
        self._calendars: dict[str, ReturnCalendar] = {}
        # How many requests were refused, by service and cause.
        self.refusal_counts: Counter[tuple[str, RefusalCause]] = Counter()
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
        """Rebuild the pools and the counts by customer from the instances."""
        by_service: dict[str, list[UpstreamLoad]] = {}
        former = list(self._online_counts)
        self._online_counts.clear()
        for load in self._loads.values():
            load.is_evacuated = load.instance.domain in self._evacuated
            service = load.instance.service
            by_service.setdefault(service, []).append(load)
            for placed in load.requests.values():
                if not placed.is_batch:
                    self._online_counts[service, placed.customer] += 1
        self._pools = {name: UpstreamPool(loads) for name, loads in by_service.items()}
        for service, customer in {*former, *self._online_counts}:
            self._update_running(service, customer)

    def _get_pool(self, service: str) -> UpstreamPool:
        return self._pools.get(service) or UpstreamPool(())

    def _get_waitlist(self, service: str) -> Waitlist:
        return self._waitlists.setdefault(service, Waitlist())

    def _refresh(self, load: UpstreamLoad) -> None:
        self._pools[load.instance.service].refresh(load)

    def _update_running(self, service: str, customer: str) -> None:
        """Bring a customer's place among the waiting requests up to date."""
        waitlist = self._waitlists.get(service)
        if waitlist is not None:
            running = self._online_counts[service, customer]
            waitlist.update_running(customer, running)

    def set_shares(
        self, services: Collection[str], weights: Mapping[str, float]
    ) -> None:
        """Let customers share some services by weight, and no others.

        Requests that wait go on to wait.
        """
        for service in {*self._waitlists, *services}:
            former = self._waitlists.get(service)
            if service not in services:
                self._calendars.pop(service, None)
                if isinstance(former, SharedWaitlist):
                    self._replace_waitlist(service, Waitlist())
            elif not isinstance(former, SharedWaitlist):
                self._calendars[service] = ReturnCalendar(MAX_RETRY_SECONDS)
                self._replace_waitlist(service, SharedWaitlist(weights))
            elif former.weights != weights:
                successor = SharedWaitlist(weights, former.arrivals)
                self._replace_waitlist(service, successor)

    def _replace_waitlist(self, service: str, waitlist: Waitlist) -> None:
        former = self._waitlists.get(service)
        self._waitlists[service] = waitlist
        for (name, customer), running in self._online_counts.items():
            if name == service:
                waitlist.update_running(customer, running)
        for request in former.list_requests() if former is not None else ():
            waitlist.add(request, self._online_counts[service, request.customer])

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all known instances."""
        return tuple(load.instance for load in self._loads.values())

    def set_evacuated(self, domains: frozenset[str], now: float) -> list[Grant]:
        """Place nothing in these failure domains until they aren't evacuated any more.

        Return new grants.
        """
        self._evacuated = domains
        for load in self._loads.values():
            load.is_evacuated = load.instance.domain in domains
            self._refresh(load)
        return self._place_waiting(now)

    def is_evacuated(self, name: str) -> bool:
        """Return whether an instance is in an evacuated failure domain."""
        load = self._loads.get(name)
        return load is not None and load.is_evacuated

    def count_evacuated(self) -> dict[str, int]:
        """Return how many requests hold a slot in each evacuated failure domain."""
        counts = dict.fromkeys(sorted(self._evacuated), 0)
        for load in self._loads.values():
            if load.is_evacuated:
                counts[load.instance.domain] += len(load.requests)
        return counts

    def set_ceilings(
        self, rates: Mapping[str, float], now: float, share: float = 1.0
    ) -> list[Grant]:
        """Set the ceilings by run, of which this allocator may use `share`.

        Return new grants.
        """
        self._rates, self._ceiling_share = dict(rates), share
        self._apply_rates(now)
        return self._place_waiting(now)

    def set_cold(
        self, rates: Mapping[str, float], now: float, share: float = 1.0
    ) -> list[Grant]:
        """Set the ceilings of the cold runs, of which this allocator may use `share`.

        Return new grants.
        """
        self._cold_rates, self._cold_share = dict(rates), share
        self._apply_rates(now)
        return self._place_waiting(now)

    def _apply_rates(self, now: float) -> None:
        for load in self._loads.values():
            run = get_run_name(load.instance)
            rate, cold_rate = self._rates.get(run), self._cold_rates.get(run)
            share, is_cold = self._ceiling_share, cold_rate is not None
            if cold_rate is not None:
                rate = min(cold_rate, rate or cold_rate)
                share = self._cold_share
            if rate is None:
                load.ceiling = None
            elif load.ceiling is None:
                load.ceiling = CeilingBucket(rate, now, share, is_cold)
            else:
                load.ceiling.configure(rate, now, share, is_cold)
            self._refresh(load)
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

    def read_cold_counts(self) -> dict[str, int]:
        """Return how many requests were sent to each cold run while it was cold."""
        cold = (load for load in self._limited if load.is_cold)
        return {get_run_name(load.instance): load.ceiling.taken for load in cold}

    def read_ceilings(self) -> dict[str, float]:
        """Return the ceilings in force, in requests per second by instance."""
        return {load.instance.id: load.ceiling.rate for load in self._limited}

    def find_listed(self, name: str) -> Instance | None:
        """Return the listed instance with an id, or None."""
        load = self._loads.get(name)
        return load.instance if load is not None else None

    def count_upstreams(self, service: str) -> int:
        """Return how many upstreams of a service are listed and not evacuated."""
        loads = self._list_loads(service)
        return sum(not load.is_evacuated for load in loads)

    def eject(self, name: str) -> bool:
        """Place nothing more at an instance until `restore` is called.

        Return false if it is unknown or already ejected.
        """
        load = self._loads.get(name)
        if load is None or load.is_ejected:
            return False
        load.is_ejected = True
        self._refresh(load)
        return True

    def record_down(self, name: str) -> None:
        """Record that a probe of an ejected instance has failed."""
        load = self._loads.get(name)
        if load is not None and load.is_ejected:
            load.is_down = True
            self._refresh(load)

    def restore(self, name: str, now: float) -> list[Grant]:
        """Place requests at an ejected instance again; return new grants."""
        load = self._loads.get(name)
        if load is not None:
            load.is_ejected = load.is_down = False
            self._refresh(load)
        return self._place_waiting(now)

    def mark_leaving(self, name: str, born: int) -> bool:
        """Place nothing more at a run of an instance, which has said that it leaves.

        Return false if the run isn't listed or this is known.
        """
        load = self._loads.get(name)
        if load is None or load.instance.born != born or load.has_said_leaving:
            return False
        load.has_said_leaving = True
        self._refresh(load)
        return True

    def list_leaving(self) -> list[Instance]:
        """Return the instances that have said that they leave."""
        return [load.instance for load in self._loads.values() if load.has_said_leaving]

    def list_ejected(self) -> list[Instance]:
        """Return the ejected instances."""
        return [load.instance for load in self._loads.values() if load.is_ejected]

    def list_awaited(self, name: str) -> list[Instance]:
        """Return the instances of the service of `name` that a probe may bring back.

        Return none if the service has usable ones.
        """
        load = self._loads.get(name)
        if load is None or self.count_slots(load.instance.service):
            return []
        loads = self._list_loads(load.instance.service)
        return [each.instance for each in loads if each.is_awaited]

    def record_load(self, name: str, ids: tuple[str, ...], now: float) -> list[Grant]:
        """Record the ids of the requests that an instance reports as running.

        External requests occupy slots until the instance no longer reports them.
        Return new grants.
        """
        load = self._loads.get(name)
        if load is None:
            return []
        load.external = min(len(load.list_external(ids, now)), load.instance.slots)
        self._refresh(load)
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
            self._refresh(load)

    # Requests.

    def add_placed(self, request: SlotRequest, name: str) -> None:
        """Add a request that another process placed at an instance."""
        load = self._loads.get(name)
        if load is not None:
            self._occupy(load, request, False, request.arrived, is_sent=False)

    def place(self, request: SlotRequest, now: float) -> Grant | Refusal | None:
        """Place or refuse a request, or queue it and return None."""
        # One that is held has arrived before.
        if not request.is_late and not request.held:
            self._arrivals.record(request.service, now)
            if (waitlist := self._waitlists.get(request.service)) is not None:
                waitlist.record_arrival(request, now)
        grant = self._try_place(request, now)
        if grant is not None:
            return grant
        if any(self._is_held_back(load, request) for load in self._limited):
            self.held_back[request.service] += 1
        wait = self.estimate_wait(request, now)
        refusal = self._check_wait(request, wait, now)
        if refusal is None:
            running = self._online_counts[request.service, request.customer]
            promised = request._replace(due=now + wait)
            self._get_waitlist(request.service).add(promised, running)
        return refusal

    def _is_held_back(self, load: UpstreamLoad, request: SlotRequest) -> bool:
        is_free = load.is_cold and load.is_usable and load.free_slots > 0
        return is_free and load.instance.service == request.service

    def has_batch_slot(self, service: str, now: float) -> bool:
        """Return whether a slot is free for batch work of a service."""
        if self._do_requests_wait(service):
            return False
        return self._get_pool(service).has_batch_slot(now)

    def place_batch(self, request: SlotRequest) -> Grant | None:
        """Place a batch request, unless no slot is free or online requests wait.

        Those that only some upstreams may serve don't count: if they could use the
        slot, they would have it. Only what a ceiling has room for by now isn't theirs
        before the next `retry_waiting`.
        """
        if self._do_requests_wait(request.service):
            return None
        pool = self._get_pool(request.service)
        load = pool.find_free(request, request.arrived, is_batch=True)
        if load is None or load.is_ejected:
            return None
        if load.ceiling is not None and self._is_retry_due(request):
            return None
        self._occupy(load, request, True, request.arrived)
        return Grant(request, load.instance)

    def _is_retry_due(self, batch: SlotRequest) -> bool:
        """Return whether a waiting request can be placed when a batch one arrives."""
        waitlist = self._waitlists.get(batch.service)
        return bool(waitlist) and any(
            self._may_place(each, batch.arrived)
            and self._get_pool(batch.service).find_free(each, batch.arrived)
            for each in waitlist.list_firsts()
        )

    def release(self, key: str, now: float) -> list[Grant]:
        """Release a request's slot or remove it from the queue; return new grants."""
        for service, waitlist in self._waitlists.items():
            request = waitlist.get(key)
            if request is not None:
                waitlist.remove(key, self._online_counts[service, request.customer])
        name = self._placements.pop(key, None)
        load = self._loads.get(name) if name is not None else None
        if load is None:
            return []
        service = load.instance.service
        placed = self._pools[service].remove_request(load, key, now)
        if placed is not None and not placed.is_batch:
            self._online_counts[service, placed.customer] -= 1
            self._update_running(service, placed.customer)
            self._record_slot_time(service, now - placed.placed_at)
        return self._place_waiting(now)

    def expire(self, now: float) -> list[Refusal]:
        """Refuse the requests that have waited for too long.

        Those whose version serves no more are refused at once, and so are those that
        can't be placed anywhere because of an evacuation.
        """
        expired = [
            request
            for service, waitlist in self._waitlists.items()
            if waitlist
            for request in self._list_expired(service, waitlist, now)
        ]
        self._remove_waiting(expired)
        refusals = [
            self._refuse(request, now, RefusalCause.EXPIRED) for request in expired
        ]
        for service, waitlist in self._waitlists.items():
            place_seconds = self._estimate_place_seconds(service) if waitlist else 0.0
            while waitlist and (found := waitlist.find_overtaken(place_seconds, now)):
                self._remove_waiting([found])
                refusals.append(self._refuse(found, now, RefusalCause.OVERTAKEN))
        return refusals

    def _remove_waiting(self, requests: list[SlotRequest]) -> None:
        for request in requests:
            running = self._online_counts[request.service, request.customer]
            self._waitlists[request.service].remove(request.key, running)

    def _list_expired(
        self, service: str, waitlist: Waitlist, now: float
    ) -> list[SlotRequest]:
        gone = self._list_gone_versions(service, waitlist)
        pool = self._get_pool(service)
        if not pool.is_evacuated:
            return waitlist.list_expired(now, gone)
        return waitlist.list_expired(now, gone, pool.has_choice)

    def _list_gone_versions(self, service: str, waitlist: Waitlist) -> set[str]:
        """Return the versions for which requests wait without any upstream."""
        return {
            version
            for version in waitlist.list_versions()
            if version and not self.count_slots(service, version)
        }

    def find_instance(self, key: str) -> str:
        """Return the id of the instance where a request holds a slot, or ""."""
        return self._placements.get(key, "")

    def count_running(self, service: str, is_batch: bool) -> int:
        """Return how many online or batch requests of a service hold a slot."""
        pool = self._get_pool(service)
        return pool.batch_count if is_batch else pool.online_count

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a slot of a service."""
        waitlist = self._waitlists.get(service)
        return len(waitlist) if waitlist else 0

    def _do_requests_wait(self, service: str) -> bool:
        """Return whether online requests wait that could use any slot."""
        waitlist = self._waitlists.get(service)
        return waitlist is not None and waitlist.has_untied

    def count_slots(self, service: str, version: str = "") -> int:
        """Return how many slots the usable upstreams of a service have.

        With a `version`, only upstreams of that software version count. If all of
        those are ejected, they count as a last resort.
        """
        return self._get_pool(service).count_slots(version)

    def has_free_slot(
        self, service: str, version: str, excluded: str, now: float
    ) -> bool:
        """Return whether an upstream of a version, except `excluded`, has a slot.

        It is one for batch work, so a ceiling must have room for that.
        """
        return any(
            load.is_usable
            and load.can_take(now, is_batch=True)
            and load.instance.version == version
            and load.instance.id != excluded
            for load in self._list_loads(service)
        )

    def list_versions(self, service: str) -> set[str]:
        """Return the software versions of a service's known upstreams."""
        return self._get_pool(service).list_versions()

    def find_least_loaded(self, service: str, excluded: str) -> Instance | None:
        """Return a service's upstream with the most free slots, except `excluded`.

        Ejected and evacuated upstreams are never returned, a leaving one only if there
        is no other.
        """
        loads = [
            load
            for load in self._list_loads(service)
            if load.instance.id != excluded
            and not load.is_ejected
            and not load.is_evacuated
        ]
        if not loads:
            return None
        return max(loads, key=lambda load: (load.is_usable, load.free_slots)).instance

    def describe(self, service: str) -> dict[str, object]:
        """Return a summary of a service's load for the log, of bounded size."""
        return self._get_pool(service).describe()

    # Placement.

    def _list_loads(self, service: str) -> Collection[UpstreamLoad]:
        return self._get_pool(service).loads.values()

    def _try_place(self, request: SlotRequest, now: float) -> Grant | None:
        if not self._may_place(request, now):
            return None
        load = self._get_pool(request.service).find_free(request, now)
        if load is not None:
            self._occupy(load, request, False, now)
            return Grant(request, load.instance)
        return self._evict_for(request, now)

    def _may_place(self, request: SlotRequest, now: float) -> bool:
        """Return whether a request isn't late, or late ones have slots left."""
        if not request.is_late or request.is_resumed:
            return True
        late_count = self._get_pool(request.service).late_count
        return late_count < self._count_late_slots(request.service, now)

    def _evict_for(self, request: SlotRequest, now: float) -> Grant | None:
        """Place a request in the slot of the batch request that was placed last."""
        pool = self._get_pool(request.service)
        found = pool.find_evictable(request, now)
        if found is None:
            return None
        key, load = found
        pool.remove_request(load, key, now)
        self._placements.pop(key, None)
        self._occupy(load, request, False, now)
        return Grant(request, load.instance, key)

    def _count_late_slots(self, service: str, now: float) -> float:
        """Return how many slots late requests may have."""
        slot_seconds = self.estimate_slot_seconds(service)
        slots = self._get_pool(service).estimate_capacity("", slot_seconds)
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
        service = load.instance.service
        self._pools[service].add_request(load, request.key, placed)
        self._placements[request.key] = load.instance.id
        if not is_batch:
            self._online_counts[service, request.customer] += 1
            self._update_running(service, request.customer)

    # Waiting and refusals.

    def estimate_slot_seconds(self, service: str) -> float:
        """Return the mean seconds for which an online request holds its slot."""
        return self._slot_seconds.get(service, INITIAL_SLOT_SECONDS)

    def _record_slot_time(self, service: str, seconds: float) -> None:
        mean = self.estimate_slot_seconds(service)
        self._slot_seconds[service] = mean + (seconds - mean) * MEAN_WEIGHT

    def estimate_wait(self, request: SlotRequest, now: float) -> float:
        """Return the expected wait of a new request that can't be placed at once."""
        waitlist = self._get_waitlist(request.service)
        wait = self._estimate_wait(request, waitlist.count_ahead(request), now)
        place_seconds = self._estimate_place_seconds(request.service)
        overtaking = waitlist.estimate_overtaking(request, now)
        arrivals = overtaking.arrival_rate * WINDOW_SECONDS
        served = WINDOW_SECONDS / place_seconds if place_seconds else math.inf
        if arrivals < served + OVERLOAD_DEVIATIONS * math.sqrt(arrivals):
            # The queue may clear by itself.
            return wait
        # The part of the slots that become free which goes to newcomers.
        taken = overtaking.rate * place_seconds
        # As long as its customer's requests hold their slots.
        seconds = overtaking.share * self.estimate_slot_seconds(request.service)
        drained = wait / (1.0 - taken) if taken < 1.0 else math.inf
        return min(drained, wait + taken * seconds)

    def _estimate_wait(self, request: SlotRequest, ahead: int, now: float) -> float:
        """Return the expected wait in seconds of a request with `ahead` before it."""
        slot_seconds = self.estimate_slot_seconds(request.service)
        pool = self._get_pool(request.service)
        slots = pool.estimate_capacity(request.version, slot_seconds)
        if request.is_late and not request.is_resumed:
            slots = min(slots, self._count_late_slots(request.service, now))
        if not slots:
            return MAX_RETRY_SECONDS
        return (ahead + 1) * slot_seconds / slots

    def _estimate_place_seconds(self, service: str) -> float:
        """Return how long it takes until one more waiting request is placed."""
        slot_seconds = self.estimate_slot_seconds(service)
        slots = self._get_pool(service).estimate_capacity("", slot_seconds)
        return slot_seconds / slots if slots else 0.0

    def _check_wait(
        self, request: SlotRequest, wait: float, now: float
    ) -> Refusal | None:
        has_choice = self._get_pool(request.service).has_choice(request)
        if has_choice and now + wait < request.wait_until:
            return None
        exceeds_share = self._get_waitlist(request.service).exceeds_share(
            request.customer
        )
        cause = RefusalCause.SHARE if exceeds_share else RefusalCause.FULL
        return self._refuse(request, now, cause, wait)

    def _refuse(
        self, request: SlotRequest, now: float, cause: RefusalCause, wait: float = 0.0
    ) -> Refusal:
        service = request.service
        has_no_upstream = self.count_slots(service, request.version) == 0
        if has_no_upstream:
            cause = RefusalCause.NO_UPSTREAM
        self.refusal_counts[service, cause] += 1
        largest = self._get_waitlist(service).find_largest()
        retry_after = self._choose_retry(request, now)
        return Refusal(request, retry_after, has_no_upstream, cause, wait, largest)

    def _choose_retry(self, request: SlotRequest, now: float) -> float:
        """Return the seconds after which a refused request may be retried."""
        service = request.service
        waiting = self.count_waiting(service)
        waitlist, calendar = self._get_waitlist(service), self._calendars.get(service)
        place_seconds = self._estimate_place_seconds(service)
        if calendar is None or not place_seconds:
            # The request will be late when it is retried.
            retried = request._replace(is_late=True)
            seconds = self._estimate_wait(retried, waiting, now)
        else:
            # Those that return get the slots that the others leave free.
            rate = self._count_late_slots(service, now)
            rate /= self.estimate_slot_seconds(service)
            share = waitlist.compute_share(request.customer)
            earliest = now + waiting * place_seconds
            seconds = calendar.book(
                request.customer, earliest, rate, 1.0 / (rate * share), now
            )
        return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def _place_waiting(self, now: float) -> list[Grant]:
        """Place waiting requests in order of precedence, then evenly by customer."""
        return [
            grant
            for service, waitlist in self._waitlists.items()
            if waitlist
            for grant in self._place_from(service, waitlist, now)
        ]

    def _place_from(self, service: str, waitlist: Waitlist, now: float) -> list[Grant]:
        waitlist.promote_overdue(now)
        grants = []
        blocked: set[LineKey] = set()
        while (grant := self._place_first(service, waitlist, blocked, now)) is not None:
            grants.append(grant)
        return grants

    def _place_first(
        self, service: str, waitlist: Waitlist, blocked: set[LineKey], now: float
    ) -> Grant | None:
        """Place the next request that can be placed, and block the lines before it."""
        for request in waitlist.list_firsts():
            line_key = get_line_key(request)
            if line_key in blocked:
                continue
            if (grant := self._try_place(request, now)) is not None:
                running = self._online_counts[service, request.customer]
                waitlist.remove(request.key, running)
                return grant
            blocked.add(line_key)
        return None
