"""Let collectors read how a control VM does."""

from collections import Counter
from pathlib import Path

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.watch import WatchHub
from sapphireseam.state import disk
from sapphireseam.state.replica import Replica
from sapphireseam.utils import metric
from sapphireseam.utils.mirror import LEASE_SECONDS
from sapphireseam.utils.timer import TimerService


class TimedDisk(disk.FileDisk):
    """Measure how long each sync takes."""

    def __init__(self, folder: Path, meter: metric.Meter, timer: TimerService):
        super().__init__(folder)
        self._meter = meter
        self._timer = timer

    async def sync(self, name: str) -> None:
        """Return once everything appended to the file is durable."""
        begin = self._timer.read_clock()
        await super().sync(name)
        self._meter.observe(metric.SYNC, self._timer.read_clock() - begin)


def report_state(
    meter: metric.Meter, replica: Replica, machine: StateMachine, hub: WatchHub
) -> None:
    """Report the log, the watchers and the jobs of one control VM."""
    meter.read(metric.LEADER, lambda: replica.is_leader)
    meter.read(metric.TERM, lambda: replica.term)
    meter.read(metric.APPLIED, lambda: replica.applied)
    meter.read(metric.REVISION, lambda: record.read_revision(machine.state))
    meter.read(metric.LEASES, lambda: len(machine.state.leases))
    meter.read_many(metric.WATCHERS, lambda: count_watchers(hub))
    meter.read_many(metric.JOBS, lambda: count_jobs(machine.state))
    meter.read_many(metric.ITEMS, lambda: count_items(machine.state))


def count_watchers(hub: WatchHub) -> list[metric.Value]:
    """Return how many processes were heard here lately, and how many not."""
    silences = [watcher.silent for watcher in hub.list_watchers()]
    silent = sum(item > LEASE_SECONDS for item in silences)
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
    """Return how many items are done, failed and still to run."""
    jobs = state.jobs.values()
    left = sum(job.count - job.done - job.failed for job in jobs if not job.ended)
    return [
        (sum(job.done for job in jobs), {"state": "done"}),
        (sum(job.failed for job in jobs), {"state": "failed"}),
        (left, {"state": "open"}),
    ]
