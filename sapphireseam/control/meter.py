"""Registers and computes the metrics of a control VM."""

import time
from collections import Counter
from collections.abc import Callable, Collection
from pathlib import Path

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.watch import WatchHub
from sapphireseam.core.instance import Instance
from sapphireseam.policy.allocator import SlotAllocator
from sapphireseam.state import disk
from sapphireseam.state.replica import Replica
from sapphireseam.utils import metric
from sapphireseam.utils.mirror import LEASE_SECONDS
from sapphireseam.utils.timer import TimerService


class TimedDisk(disk.FileDisk):
    """Record the duration of each sync in a histogram."""

    def __init__(self, folder: Path, meter: metric.Meter, timer: TimerService):
        super().__init__(folder)
        self._meter = meter
        self._timer = timer

    async def sync(self, name: str) -> None:
        """Return once everything appended to the file is durable."""
        started_at = self._timer.read_clock()
        await super().sync(name)
        self._meter.observe(metric.SYNC, self._timer.read_clock() - started_at)


def report_state(
    meter: metric.Meter, replica: Replica, machine: StateMachine, hub: WatchHub
) -> None:
    """Register the metrics of the log, the watchers and the jobs of one control VM."""
    meter.read(metric.LEADER, lambda: replica.is_leader)
    meter.read(metric.TERM, lambda: replica.term)
    meter.read(metric.APPLIED, lambda: replica.applied)
    meter.read(metric.REVISION, lambda: record.read_revision(machine.state))
    meter.read(metric.LEASES, lambda: len(machine.state.leases))
    meter.read_many(metric.WATCHERS, lambda: count_watchers(hub))
    meter.read_many(metric.EVACUATED, lambda: list_evacuated(machine.state))
    meter.read_many(metric.JOBS, lambda: count_jobs(machine.state))
    meter.read_many(metric.ITEMS, lambda: count_items(machine.state))


def report_slots(
    meter: metric.Meter,
    allocator: SlotAllocator,
    machine: StateMachine,
    replica: Replica,
    list_resting: Callable[[], Collection[Instance]],
) -> None:
    """Register the metrics of slots, ejected upstreams and bulk jobs.

    Only the leader counts slots and ejections, for upstreams found by discovery.
    """
    meter.read_many(metric.SERVICE_SLOTS, lambda: count_slots(allocator, replica))
    meter.read_many(
        metric.EVACUATED_PLACES, lambda: count_evacuated(allocator, replica)
    )
    meter.read_many(
        metric.EJECTED,
        lambda: count_by_service(allocator, allocator.list_ejected(), replica),
    )
    meter.read_many(
        metric.RESTING,
        lambda: count_by_service(allocator, list_resting(), replica),
    )
    meter.read_many(metric.BULK_ITEMS, lambda: count_bulk_items(machine.state))
    meter.read_ceilings(
        lambda: machine.state.ceilings.values() if replica.is_leader else (),
        time.time,
    )


def count_slots(allocator: SlotAllocator, replica: Replica) -> list[metric.Value]:
    """Return the slots of each service by use; nothing on a VM that does not lead."""
    if not replica.is_leader:
        return []
    values = []
    for service in sorted({instance.service for instance in allocator.instances}):
        online = allocator.count_running(service, False)
        batch = allocator.count_running(service, True)
        counts = {
            "online": online,
            "batch": batch,
            "free": max(allocator.count_slots(service) - online - batch, 0),
            "waiting": allocator.count_waiting(service),
        }
        values += [
            (count, {"service": service, "work": work})
            for work, count in counts.items()
        ]
    return values


def count_by_service(
    allocator: SlotAllocator, instances: Collection[Instance], replica: Replica
) -> list[metric.Value]:
    """Return how many of the instances each service has; nothing without leadership."""
    if not replica.is_leader:
        return []
    counts = Counter(instance.service for instance in instances)
    services = sorted({instance.service for instance in allocator.instances})
    return [(counts[service], {"service": service}) for service in services]


def count_evacuated(allocator: SlotAllocator, replica: Replica) -> list[metric.Value]:
    """Return how much work still runs in each evacuated failure domain."""
    counts = allocator.count_evacuated() if replica.is_leader else {}
    return [(count, {"domain": domain}) for domain, count in counts.items()]


def list_evacuated(state: record.State) -> list[metric.Value]:
    """Return for each failure domain whether it is evacuated."""
    domains = {*record.read_fleet(state).failure_domains, *state.evacuations}
    return [(each in state.evacuations, {"domain": each}) for each in sorted(domains)]


def count_bulk_items(state: record.State) -> list[metric.Value]:
    """Return how many items of all retained bulk jobs are done, failed and open."""
    counts = Counter({"done": 0, "failed": 0, "open": 0})
    for job in state.lots.values():
        counts["open"] += len(job.items) - len(job.results)
        failed = sum(result.failed for result in job.results)
        counts["failed"] += failed
        counts["done"] += len(job.results) - failed
    return [(count, {"state": name}) for name, count in counts.items()]


def count_watchers(hub: WatchHub) -> list[metric.Value]:
    """Return how many watchers sent a message within the lease time or did not."""
    silences = [watcher.silent for watcher in hub.list_watchers()]
    silent = sum(seconds > LEASE_SECONDS for seconds in silences)
    return [
        (len(silences) - silent, {"state": "heard"}),
        (silent, {"state": "silent"}),
    ]


def count_jobs(state: record.State) -> list[metric.Value]:
    """Return how many jobs have each status."""
    counts = Counter(job.status for job in state.jobs.values())
    statuses = (
        record.IN_PROGRESS,
        record.COMPLETED,
        record.CANCELLING,
        record.CANCELLED,
    )
    return [(counts[status], {"status": status}) for status in statuses]


def count_items(state: record.State) -> list[metric.Value]:
    """Return how many items of batch jobs are done, failed and open."""
    jobs = state.jobs.values()
    open_items = sum(job.count - job.done - job.failed for job in jobs if not job.ended)
    return [
        (sum(job.done for job in jobs), {"state": "done"}),
        (sum(job.failed for job in jobs), {"state": "failed"}),
        (open_items, {"state": "open"}),
    ]
