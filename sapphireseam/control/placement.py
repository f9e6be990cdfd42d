"""Places the requests of all entries at upstreams, on the control VM that leads.

One allocator counts the running requests of all entries and of bulk jobs, so that
no upstream gets more requests than it has slots, whichever process sends them. The
rate limit is debited and the request placed in one exchange with the entry. An
entry that reconnects first reports its running requests. A new leader has therefore
counted them before it places anything for that entry.

The leader also decides which upstreams are cold (policy/coldstart.py) and tells all
processes with the replicated ceilings. Each control VM counts the seconds from when it
learns of them, so the next leader knows them.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.ratelimit import RateLimitService
from sapphireseam.core import command, error, evacuation, fleet, message, placement
from sapphireseam.core.instance import Instance, get_run_name, parse_start
from sapphireseam.policy import allocator, coldstart, origin, outlier, sharing
from sapphireseam.state.replica import Replica
from sapphireseam.utils import ceiling, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# How often the leader tells each entry that it still leads, in seconds.
HEARTBEAT_PERIOD_SECONDS = 0.1
# A message within this time before a heartbeat shows the same.
HEARTBEAT_SKIP_SECONDS = 0.05
# How often an entry that attaches checks whether the list of instances was read.
LIST_CHECK_SECONDS = 0.02
# How often waiting requests are checked for expiry, in seconds.
EXPIRE_PERIOD_SECONDS = 0.02
# Probe period and timeout, in seconds, for ejected upstreams and for load checks.
PROBE_PERIOD_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.3
# For this many seconds after a change of leader, or after an upstream refused a
# request as full, upstreams are asked which requests they run. Items of a lost leader
# may still run there if its connections hang.
RECONCILE_SECONDS = 8.0

# How long a request waits until the rate limits of a new leader are ready, in seconds.
READY_TIMEOUT_SECONDS = 0.4
# Shortest delay before a debit is retried, in seconds.
MIN_DEBIT_DELAY_SECONDS = 0.005
# Longest retry delay that is reported to a customer over its rate, in seconds.
MAX_RETRY_AFTER_SECONDS = 5.0
# Separates the entry's session from the request's number in an allocator key.
KEY_SEPARATOR = ":"


class ProbeResult(NamedTuple):
    """The ids of the requests that an upstream runs, and when it was started.

    `born` is 0 if the answer doesn't show it.
    """

    ids: tuple[str, ...]
    born: int = 0


# Asks an instance for its running requests; takes the instance, a path and a timeout
# in seconds. Returns None if the instance does not answer.
Probe = Callable[[Instance, str, float], Awaitable[ProbeResult | None]]
# Stops a request at an instance; takes the instance, the request's id and another
# instance, which some protocols need to stop a request.
StopRun = Callable[[Instance, str, Instance], Awaitable[None]]


class _EntrySession:
    """The stream of one connected entry."""

    def __init__(
        self,
        first: placement.Attach,
        stream: rpc.Stream,
        session: int,
        timer: TimerService,
    ):
        self.name = first.entry
        self.domain = first.domain
        self.session = session
        self._stream = stream
        self._timer = timer
        self._posted_at = -math.inf

    def post(self, item: object) -> None:
        """Send a message."""
        self._posted_at = self._timer.read_clock()
        self._stream.post(item)

    @property
    def silence(self) -> float:
        """Return the seconds since the last message to the entry."""
        return self._timer.read_clock() - self._posted_at

    def make_key(self, number: int) -> str:
        """Return the allocator's key of one of the entry's requests."""
        return f"{self.session}{KEY_SEPARATOR}{number}"


class PlacementServer:
    """Serve the entries' streams and allocate slots for their requests."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        rate_limits: RateLimitService,
        probe: Probe,
        stop_run: StopRun,
        timer: TimerService,
        spreads_load: bool = False,
    ):
        # Whether the entries get numbers, by which they spread what they place alone.
        self._spreads_load = spreads_load
        self.allocator = allocator.SlotAllocator()
        # Knows the ceilings that this control VM hears itself, beside the replicated.
        self.ceiling_monitor = ceiling.CeilingMonitor(
            lambda: machine.state.ceilings, self._propose_ceiling, timer
        )
        self.ceiling_monitor.on_heard = self._apply_ceilings
        # Returns the failure domain of a control VM, by its address.
        self.find_domain: Callable[[str], str] = lambda address: ""
        # Called with the key of a bulk item that is preempted.
        self.on_evicted: Callable[[str], None] = lambda key: None
        # Called with a failure domain whose evacuation ends, before anything is placed
        # there.
        self.on_returned: Callable[[str], None] = self.expect_cold
        # Called whenever a slot may have become free.
        self.on_slot_free: Callable[[], None] = lambda: None
        self._replica = replica
        self._machine = machine
        self._rate_limits = rate_limits
        self._probe = probe
        self._stop_run = stop_run
        # Returns those of the request ids that belong to items of bulk jobs.
        self.find_bulk_items: Callable[[list[str]], list[str]] = lambda ids: []
        self._timer = timer
        self._entries: dict[int, _EntrySession] = {}
        self._next_session = 0
        # Whether the entries get the view with the next heartbeat.
        self._is_view_due = False
        self._origins = origin.StreamOrigins()
        self._outliers = outlier.OutlierDetector()
        # The time until which each instance's load is reconciled.
        self._reconcile_until: dict[str, float] = {}
        self._term = -1
        self._evacuated = evacuation.Evacuated()
        self._contracts: dict[str, fleet.Contract] = {}
        self._services: dict[str, fleet.Service] = {}
        self._cold = coldstart.ColdTracker()
        # The rates of the cold runs that the allocator keeps.
        self._cold_rates: dict[str, float] = {}
        # When each instance last said in an answer whether it is cold.
        self._cold_answers: dict[str, float] = {}
        self._tasks = TaskGroup()
        machine.subscribe(self._on_applied)

    async def start(self) -> None:
        """Start the periodic tasks."""
        for period, callback in (
            (HEARTBEAT_PERIOD_SECONDS, self._send_heartbeats),
            (EXPIRE_PERIOD_SECONDS, self._expire_waiting),
            (PROBE_PERIOD_SECONDS, self._probe_ejected),
            (PROBE_PERIOD_SECONDS, self._reconcile_loads),
        ):
            self._tasks.spawn(run_periodically(self._timer, period, callback))

    async def stop(self) -> None:
        """Tell every entry to connect to the new leader."""
        self._redirect_entries()
        await self._tasks.cancel()
        await self.ceiling_monitor.stop()

    def register(self, server: rpc.Server) -> None:
        """Register the handler of the entries' streams with the server."""
        server.add_stream(placement.Attach, frozenset({rpc.Role.FLEET}), self.serve)

    def _on_applied(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.Publish | command.PublishNumbered):
            self._services = record.read_fleet(self._machine.state).services
            self._contracts = self._rate_limits.contracts
            self._apply_shares()
        if item is None:
            self._apply_ceilings()
            for each in self.ceiling_monitor.read_cold().values():
                self._learn_cold(each.upstream, each.run, each.rate, each.seconds)
        if item is None or isinstance(item, command.SetEvacuation):
            self._apply_evacuations()
        if isinstance(item, command.ReportCeiling) and item.is_cold:
            self._learn_cold(item.upstream, item.run, item.rate, item.seconds)
        elif isinstance(item, command.ReportCeiling):
            if self._replica.is_leader:
                self._log_ceiling(item)
            self._apply_ceilings()

    def _apply_shares(self) -> None:
        """Let customers share the services for which the configuration asks."""
        current = record.read_fleet(self._machine.state)
        self.allocator.set_shares(*sharing.read_shares(current))

    def _apply_evacuations(self) -> None:
        """Obey the evacuations that this member has applied, and tell the entries."""
        former, found = self._evacuated, record.read_evacuated(self._machine.state)
        if found == former:
            return
        self._evacuated = found
        for entry in self._entries.values():
            entry.post(placement.Evacuation(found))
        for domain in former.domains:
            if domain not in found.domains:
                self.on_returned(domain)
        now = self._timer.read_clock()
        grants = self.allocator.set_evacuated(frozenset(found.domains), now)
        if self._replica.is_leader:
            self._log_evacuations(former, found)
        self._send_decisions(grants)
        self.on_slot_free()

    def _log_evacuations(
        self, former: evacuation.Evacuated, found: evacuation.Evacuated
    ) -> None:
        """Log which domains this leader places nothing in from now on."""
        counts = self.allocator.count_evacuated()
        for domain in found.domains:
            if domain not in former.domains:
                detail = {"domain": domain, "running": counts[domain]}
                logger.info("failure domain evacuated", extra=detail)
        for domain in former.domains:
            if domain not in found.domains:
                detail = {"domain": domain}
                logger.info("failure domain back in service", extra=detail)
        places = [(each.service, each.domain) for each in self.allocator.instances]
        deserted = evacuation.list_deserted(places, found.domains)
        if deserted:
            detail = {"services": deserted, "domains": found.domains}
            logger.warning("evacuation leaves services no upstream", extra=detail)

    def is_late(self, item: command.ReportCeiling) -> bool:
        """Return whether a report is of a run that began before the listed one.

        It would end the ceilings of the listed run. The end of a cold run doesn't.
        """
        if item.is_cold and not item.rate:
            return False
        start = parse_start(item.run)
        return any(
            each.id == item.upstream and start < each.born
            for each in self.allocator.instances
        )

    async def _propose_ceiling(self, item: command.ReportCeiling) -> None:
        if self.is_late(item):
            return
        await self._replica.propose(command.REGISTRY.encode(item))

    def _log_ceiling(self, item: command.ReportCeiling) -> None:
        """Log the ceiling that the fleet keeps from now on, and since when."""
        known = self._machine.state.ceilings.get(item.run)
        detail = {
            "upstream": item.upstream,
            "run": item.run,
            "requests_per_second": item.rate,
            "age": round(item.at - known.since, 3) if known is not None else 0.0,
        }
        text = "upstream names a limit" if known else "upstream names no limit any more"
        logger.info(text, extra=detail)

    def _apply_ceilings(self) -> None:
        rates = self.ceiling_monitor.read_rates()
        now = self._timer.read_clock()
        self._send_decisions(self.allocator.set_ceilings(rates, now))

    def renew_view(self) -> None:
        """Send the view to all entries with the next heartbeat."""
        self._is_view_due = True

    # Cold upstreams.

    def _learn_cold(self, upstream: str, run: str, rate: float, seconds: float) -> None:
        """Follow what the log says of a cold run; only the leader ends one itself."""
        now = self._timer.read_clock()
        if rate:
            self._cold.learn(upstream, run, rate, seconds, now)
        elif not self._replica.is_leader:
            self._cold.forget(run)
        self._update_cold()

    def record_cold(self, instance: Instance, seconds: float) -> None:
        """Record for how long an upstream's answer says that it stays cold."""
        now = self._timer.read_clock()
        self._cold_answers[instance.id] = now
        self._cold.record_answer(instance, seconds, self._services, now)
        self._update_cold()

    def expect_cold(self, domain: str) -> None:
        """Presume that the upstreams of a failure domain are cold.

        It gets requests again, and its upstreams may have become cold before.
        """
        now = self._timer.read_clock()
        self._cold.record_returned(domain, self._services, now)
        self._update_cold()

    def _check_restored(
        self, instance: Instance, result: ProbeResult, asked: float
    ) -> None:
        """Presume that an instance is cold if it may have started again."""
        services = self._services
        if self._cold_answers.get(instance.id, -math.inf) >= asked:
            return
        if result.born and result.born == instance.born:
            return
        seconds = coldstart.UNKNOWN_SECONDS
        if result.born and instance.service in services:
            seconds = services[instance.service].cold_seconds
        self._cold.presume([instance], services, self._timer.read_clock(), seconds)
        self._update_cold()

    def list_cold(self) -> tuple[message.ColdView, ...]:
        """Return the cold runs if this control VM leads, by name."""
        if not self._replica.is_leader:
            return ()
        now = self._timer.read_clock()
        return tuple(
            message.ColdView(
                each.upstream, run, each.rate, each.end - now, each.is_presumed
            )
            for run, each in sorted(self._cold.read_cold().items())
            if each.end > now
        )

    def _update_cold(self) -> None:
        """Let the allocator follow what is cold now, and tell the other processes."""
        now = self._timer.read_clock()
        self._cold.expire(now)
        rates = self._cold.read_rates()
        if self._replica.is_leader:
            self._log_cold(now)
            self._tell_cold(now)
        if rates != self._cold_rates:
            self._cold_rates = rates
            self._send_decisions(self.allocator.set_cold(rates, now))
            self.on_slot_free()

    def _log_cold(self, now: float) -> None:
        """Log who is cold from now on and for how long, and who isn't any more."""
        cold = self._cold.read_cold()
        for run in cold.keys() - self._cold_rates.keys():
            each = cold[run]
            detail = {
                "upstream": each.upstream,
                "run": run,
                "requests_per_second": each.rate,
                "seconds": round(each.end - now, 3),
                "is_presumed": each.is_presumed,
            }
            logger.info("upstream is cold", extra=detail)
        counts = self.allocator.read_cold_counts()
        for run in self._cold_rates.keys() - cold.keys():
            detail = {"run": run, "sent": counts.get(run, 0)}
            logger.info("upstream is cold no more", extra=detail)

    def _tell_cold(self, now: float) -> None:
        """Report to the log what it doesn't say of the cold runs."""
        for run, each in self._cold.list_untold().items():
            self._cold.mark_told(run)
            seconds = each.end - now
            self.ceiling_monitor.record_cold(each.upstream, run, each.rate, seconds)
        cold = self._cold.read_cold()
        for run, known in self.ceiling_monitor.read_cold().items():
            if run not in cold:
                self.ceiling_monitor.record_cold(known.upstream, run, 0.0, 0.0)

    def update_instances(
        self, instances: tuple[Instance, ...], cold_left: Mapping[str, float] = {}
    ) -> None:
        """Replace the known instances by those that discovery found.

        `cold_left` is for how many seconds runs stay cold, as far as discovery says.
        """
        is_new_term = not self._has_list
        if is_new_term:
            self._cold.begin()
        now = self._timer.read_clock()
        self._cold.record_list(instances, cold_left, self._services, now)
        self._update_cold()
        if instances == self.allocator.instances and not is_new_term:
            return
        if is_new_term:
            self._term = self._replica.term
            # The former leader and the entries may just have sent as much as allowed.
            self.allocator.drain_ceilings(now)
            for instance in instances:
                self._reconcile_until[instance.id] = now + RECONCILE_SECONDS
            self._tasks.spawn(self._reconcile_loads())
        self._send_decisions(self.allocator.update(instances, now))
        self._outliers.keep_only(get_run_name(each) for each in instances)
        self._is_view_due = True
        self.on_slot_free()

    @property
    def _has_list(self) -> bool:
        """Whether the list of instances was read since this VM leads."""
        return self._replica.term == self._term

    # Entries' streams.

    async def serve(self, first: placement.Attach, stream: rpc.Stream) -> None:
        """Serve one entry until either side closes the stream.

        Without a list of instances an entry goes on with the last one that it had.
        """
        await self._wait_for_list()
        # What the former leader acknowledged must bind the first grant.
        await self._replica.wait_caught_up()
        self._next_session += 1
        entry = _EntrySession(first, stream, self._next_session, self._timer)
        self._entries[entry.session] = entry
        open_numbers: set[int] = set()
        self._add_known(entry, first, open_numbers)
        if self._evacuated.number:
            entry.post(placement.Evacuation(self._evacuated))
        self._send_views([entry])
        for instance in self.allocator.list_leaving():
            entry.post(placement.Leaving(instance.id, instance.born))
        # The others learn only how many entries there are.
        self._is_view_due = True
        logger.info("entry attached", extra={"entry": entry.name})
        try:
            while True:
                self._handle_message(entry, open_numbers, await stream.receive())
        finally:
            del self._entries[entry.session]
            self._release_all(entry, open_numbers)
            logger.info("entry detached", extra={"entry": entry.name})

    async def _wait_for_list(self) -> None:
        """Return once the list was read since this VM leads; raise if it doesn't."""
        self._require_leader()
        while not self._has_list:
            await self._timer.sleep(LIST_CHECK_SECONDS)
            self._require_leader()

    def _require_leader(self) -> None:
        if not self._replica.is_leader:
            leader = self._replica.leader
            raise error.NotLeaderError("this control VM is not the leader", leader)

    def _add_known(
        self, entry: _EntrySession, first: placement.Attach, open_numbers: set[int]
    ) -> None:
        """Add what an entry knows: its requests, its streams, and who leaves."""
        now = self._timer.read_clock()
        for each in first.origins:
            self._origins.record(each.request, _get_origin(each), now)
        for leaving in first.leaving:
            self._mark_leaving(leaving)
        for each in first.running:
            open_numbers.add(each.number)
            key = entry.make_key(each.number)
            request = allocator.SlotRequest(
                key,
                "",
                each.customer,
                0,
                entry.domain,
                now,
                now,
                request_id=each.request,
            )
            self.allocator.add_placed(request, each.instance)

    def _release_all(self, entry: _EntrySession, open_numbers: set[int]) -> None:
        now = self._timer.read_clock()
        for number in open_numbers:
            self._send_decisions(self.allocator.release(entry.make_key(number), now))
        # Requests that still wait for their debit aren't placed any more.
        open_numbers.clear()
        self.on_slot_free()

    def _handle_message(
        self, entry: _EntrySession, open_numbers: set[int], message: object
    ) -> None:
        match message:
            case placement.Place():
                open_numbers.add(message.number)
                self._tasks.spawn(self._place(entry, open_numbers, message))
            case placement.Left():
                open_numbers.discard(message.number)
                self._handle_left(entry, message)
            case placement.Began():
                now = self._timer.read_clock()
                self._origins.record(message.request, _get_origin(message), now)
            case placement.Suspect():
                self._eject(message.instance, entry.name)
            case placement.Leaving():
                self._mark_leaving(message)

    async def _place(
        self, entry: _EntrySession, open_numbers: set[int], message: placement.Place
    ) -> None:
        """Debit the customer and place the request, or refuse it."""
        try:
            target = self._find_target(message)
            if message.is_counted:
                await self._debit(message.customer, message.patience)
            if self._cold.has_cold:
                # Another leader may count what cold upstreams get.
                self._require_leader()
        except error.SeamError as failure:
            open_numbers.discard(message.number)
            self._send_refusal(entry, message.number, failure, message.request)
            return
        if message.number not in open_numbers:
            return
        now = self._timer.read_clock()
        request = allocator.SlotRequest(
            entry.make_key(message.number),
            target.service,
            message.customer,
            message.rank,
            entry.domain,
            now,
            now + message.patience,
            frozenset(message.excluded),
            message.request,
            message.is_late,
            target.version,
            message.is_resumed,
            message.held,
            message.returns_to,
        )
        # Those that wait come before it below a ceiling.
        self._send_decisions(self.allocator.retry_waiting(now))
        decision = self.allocator.place(request, now)
        self._log_decision(entry, message, decision)
        if decision is not None:
            self._send_decisions([decision])

    def _find_target(self, message: placement.Place) -> origin.Origin:
        """Return the service and the version, if any, that a request must get.

        Raise `CapacityError` if it resumes a stream that can't be continued.
        """
        if not message.resumes:
            return origin.Origin(message.service, message.version)
        now = self._timer.read_clock()
        return self._origins.require(message.resumes, message.services, now)

    def _log_decision(
        self,
        entry: _EntrySession,
        message: placement.Place,
        decision: allocator.Grant | allocator.Refusal | None,
    ) -> None:
        """Log the decision on a request and the load that it was based on."""
        is_placed = isinstance(decision, allocator.Grant)
        logger.info(
            "request placed" if is_placed else "request queued or refused",
            extra={
                "request": message.request,
                "entry": entry.name,
                "customer": message.customer,
                "service": message.service,
                "upstream": decision.instance.id if is_placed else "",
                "version": decision.instance.version if is_placed else "",
                "evicted": decision.evicted if is_placed else "",
                "online": self.allocator.count_running(message.service, False),
                "batch": self.allocator.count_running(message.service, True),
                "slots": self.allocator.count_slots(message.service),
                "waiting": self.allocator.count_waiting(message.service),
                "loads": {} if is_placed else self.allocator.describe(message.service),
            },
        )

    async def _debit(self, customer: str, patience: float) -> None:
        """Debit the customer's rate limit, or raise `CapacityError`.

        A request that the limit allows within its patience waits here, because a
        retry by the caller would take longer.
        """
        await self._replica.wait_caught_up()
        if customer not in self._contracts:
            return
        await self._rate_limits.wait_ready(READY_TIMEOUT_SECONDS)
        end = self._timer.read_clock() + patience
        while not (grant := await self._rate_limits.debit_one(customer)).granted:
            if self._timer.read_clock() + grant.retry_after > end:
                text = f"customer {customer} is over its rate limit"
                wait = min(grant.retry_after, MAX_RETRY_AFTER_SECONDS)
                raise error.CapacityError(text, error.Kind.RATE_LIMITED, wait)
            await self._timer.sleep(max(grant.retry_after, MIN_DEBIT_DELAY_SECONDS))

    def _handle_left(self, entry: _EntrySession, message: placement.Left) -> None:
        """Release a request's slot and record what its entry reports."""
        now = self._timer.read_clock()
        key = entry.make_key(message.number)
        instance_id = self.allocator.find_instance(key)
        if instance_id and message.pace:
            self.allocator.record_pace(instance_id, message.pace)
        if instance_id and message.is_suspect:
            self._eject(instance_id, entry.name)
        elif instance_id and message.is_full:
            self._reconcile_until[instance_id] = now + RECONCILE_SECONDS
            self._rest_after_refusal(instance_id, entry.name)
        elif instance_id and message.pace:
            self._record_success(instance_id)
        self._send_decisions(self.allocator.release(key, now))
        self.on_slot_free()

    def _eject(self, instance_id: str, reporter: str, is_refusal: bool = False) -> None:
        rest = self._record_failure(instance_id, reporter, is_refusal)
        if self.allocator.eject(instance_id):
            detail = {"upstream": instance_id, "by": reporter, "rest": round(rest, 3)}
            logger.info("upstream ejected", extra=detail)
            # Without another upstream, requests wait for the answer.
            for instance in self.allocator.list_awaited(instance_id):
                self._tasks.spawn(self._probe_one(instance))

    def _ejects_outliers(self, service: str) -> bool:
        return self._services.get(service, fleet.Service()).ejects_outliers

    def _record_failure(
        self, instance_id: str, reporter: str, is_refusal: bool
    ) -> float:
        """Count a failure; return the seconds for which the upstream rests."""
        instance = self.allocator.find_listed(instance_id)
        if instance is None or not self._ejects_outliers(instance.service):
            return 0.0
        now = self._timer.read_clock()
        run = get_run_name(instance)
        return self._outliers.record_failure(run, reporter, now, is_refusal)

    def _record_success(self, instance_id: str) -> None:
        instance = self.allocator.find_listed(instance_id)
        if instance is not None:
            self._outliers.record_success(get_run_name(instance))

    def _rest_after_refusal(self, instance_id: str, reporter: str) -> None:
        """Let an upstream rest that refused a request though it had a free slot."""
        instance = self.allocator.find_listed(instance_id)
        if instance is not None and self._ejects_outliers(instance.service):
            self._eject(instance_id, reporter, is_refusal=True)

    def release(self, key: str) -> None:
        """Release the slot of a bulk item."""
        self._send_decisions(self.allocator.release(key, self._timer.read_clock()))
        self.on_slot_free()

    def mark_leaving(self, instance: Instance) -> None:
        """Stop sending requests to a run of an instance that says that it leaves."""
        self._mark_leaving(placement.Leaving(instance.id, instance.born))

    def _mark_leaving(self, item: placement.Leaving) -> None:
        """Place nothing more at a run, and let the entries tell the next leader."""
        if self.allocator.mark_leaving(item.instance, item.born):
            for entry in self._entries.values():
                entry.post(item)

    def eject(self, instance_id: str) -> None:
        """Stop sending requests to an instance until a probe succeeds."""
        self._eject(instance_id, "lots")

    async def _probe_ejected(self) -> None:
        """Probe ejected instances and restore those that answer.

        The process that answers may be another one than before.
        """
        for instance in self._list_returning():
            self._tasks.spawn(self._probe_one(instance))

    def list_resting(self) -> list[Instance]:
        """Return the ejected instances that no probe may bring back yet."""
        returning = {instance.id for instance in self._list_returning()}
        ejected = self.allocator.list_ejected()
        return [instance for instance in ejected if instance.id not in returning]

    def _list_returning(self) -> list[Instance]:
        """Return the ejected instances that don't have to rest any longer."""
        now = self._timer.read_clock()
        by_service: dict[str, list[Instance]] = {}
        for instance in self.allocator.list_ejected():
            if self.allocator.is_evacuated(instance.id):
                continue
            by_service.setdefault(instance.service, []).append(instance)
        returning = []
        for service, instances in by_service.items():
            total = self.allocator.count_upstreams(service)
            runs = {get_run_name(instance) for instance in instances}
            chosen = self._outliers.choose_returning(runs, total, now)
            returning += [each for each in instances if get_run_name(each) in chosen]
        return returning

    async def _probe_one(self, instance: Instance) -> None:
        asked = self._timer.read_clock()
        result = await self._probe_load(instance)
        if result is None:
            self.allocator.record_down(instance.id)
            return
        self._check_restored(instance, result, asked)
        logger.info("upstream restored", extra={"upstream": instance.id})
        now = self._timer.read_clock()
        self._send_decisions(self.allocator.restore(instance.id, now))
        self.on_slot_free()

    async def _probe_load(self, instance: Instance) -> ProbeResult | None:
        service = self._services.get(instance.service, fleet.Service())
        self.allocator.count_sent(instance.id, self._timer.read_clock())
        return await self._probe(instance, service.probe_path, PROBE_TIMEOUT_SECONDS)

    async def _reconcile_loads(self) -> None:
        """Count the requests that upstreams run and that were not placed here."""
        now = self._timer.read_clock()
        for instance in self.allocator.instances:
            until = self._reconcile_until.get(instance.id)
            service = self._services.get(instance.service, fleet.Service())
            if until is None or not service.tells_load:
                continue
            if until > now:
                if not self.allocator.is_evacuated(instance.id):
                    self._tasks.spawn(self._reconcile_one(instance))
            else:
                del self._reconcile_until[instance.id]
                self._send_decisions(self.allocator.clear_load(instance.id, now))
                self.on_slot_free()

    async def _reconcile_one(self, instance: Instance) -> None:
        until = self._reconcile_until.get(instance.id, math.inf)
        load = await self._probe_load(instance)
        now = self._timer.read_clock()
        # Requests that are counted after the end would be counted for good.
        if load is None or now >= until:
            return
        external = self.allocator.list_external(instance.id, load.ids, now)
        if external:
            detail = {"upstream": instance.id, "requests": external}
            logger.info("upstream runs requests not placed here", extra=detail)
        self._send_decisions(self.allocator.record_load(instance.id, load.ids, now))
        self.on_slot_free()
        if self._replica.is_leader:
            await self._stop_orphans(instance, external)

    async def _stop_orphans(self, instance: Instance, external: list[str]) -> None:
        """Stop bulk items at an instance that a lost leader started there.

        This leader runs such an item again, so the output of the orphan is not
        used. Requests of entries are not stopped here, because the entries end
        them.
        """
        other = self.allocator.find_least_loaded(instance.service, instance.id)
        orphans = self.find_bulk_items(external)
        if other is None or not orphans:
            return
        detail = {"requests": orphans, "upstream": instance.id}
        logger.info("stopping orphaned items of a lost leader", extra=detail)
        stops = [self._stop_run(instance, request, other) for request in orphans]
        await asyncio.gather(*stops)

    # Messages to entries.

    def _send_decisions(
        self, decisions: list[allocator.Grant] | list[allocator.Refusal]
    ) -> None:
        for decision in decisions:
            session, _, number = decision.request.key.partition(KEY_SEPARATOR)
            if isinstance(decision, allocator.Grant) and decision.evicted:
                self.on_evicted(decision.evicted)
            entry = self._entries.get(int(session))
            if entry is None:
                continue
            if isinstance(decision, allocator.Grant):
                entry.post(placement.Placed(int(number), decision.instance))
            else:
                failure = _make_error(decision)
                self._send_refusal(
                    entry,
                    int(number),
                    failure,
                    decision.request.request_id,
                    _describe_refusal(decision),
                )

    def _send_refusal(
        self,
        entry: _EntrySession,
        number: int,
        failure: error.SeamError,
        request: str,
        detail: Mapping[str, object] = MappingProxyType({}),
    ) -> None:
        logger.info(
            "request refused",
            extra={
                "request": request,
                "entry": entry.name,
                "number": number,
                "kind": str(failure.kind),
                "retry_after": round(failure.retry_after, 3),
                **detail,
            },
        )
        entry.post(
            placement.Turned(
                number, str(failure.kind), failure.message, failure.retry_after
            )
        )

    async def _expire_waiting(self) -> None:
        now = self._timer.read_clock()
        if self._cold.has_cold:
            self._update_cold()
        if self._replica.is_leader or not self._cold.has_cold:
            self._send_decisions(self.allocator.retry_waiting(now))
        self._send_decisions(self.allocator.expire(now))

    async def _send_heartbeats(self) -> None:
        if self._entries and not self._replica.is_leader:
            self._redirect_entries()
        is_view_due, self._is_view_due = self._is_view_due, False
        if is_view_due:
            self._send_views(self._entries.values())
            return
        for entry in self._entries.values():
            if entry.silence >= HEARTBEAT_SKIP_SECONDS:
                entry.post(placement.Beat())

    def _redirect_entries(self) -> None:
        """Tell every entry to connect to another leader."""
        leader = self._replica.leader
        text = "this control VM is no longer the leader"
        failure = rpc.pack_failure(error.NotLeaderError(text, leader))
        for entry in self._entries.values():
            entry.post(failure)

    def _send_views(self, receivers: Iterable[_EntrySession]) -> None:
        """Send the view, with its own number to each receiver if that is in use."""
        control = tuple(member.address for member in self._replica.members)
        domains = tuple(self.find_domain(address) for address in control)
        instances = self.allocator.instances
        view = placement.View(instances, control, len(self._entries), domains)
        numbers = self._number_entries() if self._spreads_load else {}
        for entry in receivers:
            entry.post(view._replace(number=numbers.get(entry.session)))

    def _number_entries(self) -> dict[int, int]:
        """Return the numbers by session, in order of failure domain and name."""
        entries = sorted(
            self._entries.values(), key=lambda each: (each.domain, each.name)
        )
        return {entry.session: number for number, entry in enumerate(entries)}


def _get_origin(item: placement.Began) -> origin.Origin:
    return origin.Origin(item.service, item.version)


def _describe_refusal(refusal: allocator.Refusal) -> dict[str, object]:
    """Return for the log why a request gets no slot.

    `largest` is the customer whose requests wait last in order.
    """
    request = refusal.request
    return {
        "customer": request.customer,
        "cause": str(refusal.cause),
        "expected_wait": round(refusal.wait, 3),
        "patience": round(request.wait_until - request.arrived, 3),
        "largest": refusal.largest,
    }


def _make_error(refusal: allocator.Refusal) -> error.SeamError:
    """Return the error for a request that was not placed."""
    kind = error.Kind.NO_UPSTREAM if refusal.has_no_upstream else error.Kind.OVERLOADED
    text = f"no free slot at service {refusal.request.service}"
    return error.CapacityError(text, kind, refusal.retry_after)
