"""Leases items of batch jobs to idle agents, on the control VM that leads.

The replicated log records which items a lease holds. The leader measures the
duration of a lease on its own clock, from when it received the agent's last
heartbeat. The agent measures from when it sent the heartbeat, so it stops the items
before the leader leases them to another agent. A new leader gives every lease its
full duration again.
"""

import json
import logging
from typing import NamedTuple

from sapphireseam.control import blob, record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, jsontext, message, outcome
from sapphireseam.policy import batch
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# An agent may run leased items for this many seconds after its last heartbeat.
LEASE_SECONDS = 3.0
# The leader waits this much longer before it leases the items to another agent.
MARGIN_SECONDS = 0.5
# How often leases and cancelled jobs are checked, in seconds.
REVIEW_SECONDS = 0.2
# Maximum number of input files whose lines are cached.
MAX_CACHED_FILES = 8

# Messages for the error lines of items, by error kind.
UNANSWERED_MESSAGES = {
    "outcome_unknown": "the item was sent to an upstream and its outcome is unknown;"
    " it will not be run again",
    "upstream_failed": "the item was tried several times without an answer",
}


class LastContact(NamedTuple):
    """Record when a lease was last renewed and whether its agent ever listed it.

    Before the first heartbeat that lists the lease, `at` is when it was granted
    or when this leader first saw it.
    """

    at: float
    listed: bool


class Dispatcher:
    """Lease items, expire silent leases and close cancelled jobs."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        store: blob.BlobStore,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._replica = replica
        self._machine = machine
        self._store = store
        self._timeline = timeline
        self._timer = timer
        self._tasks = TaskGroup()
        self._term = -1
        self._last_contacts: dict[int, LastContact] = {}
        self._heartbeat_numbers: dict[str, int] = {}
        self._items_received: dict[str, float] = {}
        self._lines: dict[str, list[bytes]] = {}

    async def start(self) -> None:
        """Start the periodic check of leases."""
        self._tasks.spawn(run_periodically(self._timer, REVIEW_SECONDS, self._review))

    async def stop(self) -> None:
        """Stop the check; the next leader takes over the leases."""
        await self._tasks.cancel()

    async def propose(self, item: object) -> object:
        """Commit a command and return the state machine's answer."""
        return await self._replica.propose(command.REGISTRY.encode(item))

    def _require_leader(self) -> None:
        """Raise unless this VM leads; forget all contacts of an earlier term."""
        if not self._replica.is_leader:
            raise error.NotLeaderError("this control VM is not the leader")
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._last_contacts.clear()
            self._heartbeat_numbers.clear()

    async def pull(self, request: message.Pull) -> message.Work:
        """Lease items to an idle agent; return an empty lease if there are none."""
        self._require_leader()
        empty_lease = message.Work(0, "", "", "", True, 0.0, ())
        job_id = self._select_job(request)
        if not job_id:
            return empty_lease
        answer = await self.propose(
            command.LeaseItems(job_id, request.count, request.agent)
        )
        if not isinstance(answer, outcome.Leased) or not answer.items:
            return empty_lease
        self._last_contacts[answer.lease] = LastContact(self._timer.read_clock(), False)
        job = self._machine.state.jobs[job_id]
        self._items_received[job.customer] = self._items_received.get(
            job.customer, 0.0
        ) + len(answer.items)
        self._timeline.record(
            "items_leased", job.id, job.customer, detail=request.agent
        )
        lines = self._read_lines(job.blob)
        items = tuple((number, lines[number]) for number in answer.items)
        return message.Work(
            answer.lease,
            job.id,
            job.customer,
            job.endpoint,
            job.idempotent,
            job.due,
            items,
        )

    def _select_job(self, request: message.Pull) -> str:
        """Return the id of the job that the policy selects for this agent, or ""."""
        state = self._machine.state
        upstream = record.read_fleet(state).upstreams.get(request.upstream)
        if upstream and record.read_evacuated(state).covers(upstream.failure_domain):
            return ""
        now = self._timer.read_wall_clock()
        jobs = [
            self._describe_job(job, now)
            for job in state.jobs.values()
            if job.status == record.IN_PROGRESS
            and job.model == request.model
            and job.service == request.service
            and (job.next_item < job.count or state.returned[job.id])
        ]
        selections = batch.select(jobs, request.count, now)
        return selections[0].job if selections else ""

    def _describe_job(self, job: record.Job, now: float) -> batch.Job:
        returned = len(self._machine.state.returned[job.id])
        return batch.Job(
            job.id,
            job.customer,
            1.0,
            job.due,
            self._items_received.get(job.customer, 0.0),
            job.count - job.next_item,
            returned,
            1.0,
            batch.FIRST_ITEM_SECONDS,
        )

    def _read_lines(self, name: str) -> list[bytes]:
        """Return the non-empty lines of an input file, one item each."""
        if name not in self._lines:
            data = self._store.read(name)
            lines = [line for line in data.split(b"\n") if line.strip()]
            self._lines[name] = lines
            while len(self._lines) > MAX_CACHED_FILES:
                del self._lines[next(iter(self._lines))]
        return self._lines[name]

    def render_unanswered(
        self, job: record.Job, results: list[tuple[int, int, bool, str]]
    ) -> bytes:
        """Return the error lines of items that ended without an answer."""
        lines = self._read_lines(job.blob)
        rendered = []
        for number, _, _, kind in results:
            custom_id = _read_custom_id(lines[number])
            failure = {"code": kind, "message": UNANSWERED_MESSAGES[kind]}
            line = {
                "id": f"{job.id}-{number}",
                "custom_id": custom_id,
                "response": None,
                "error": failure,
            }
            rendered.append(json.dumps(line).encode() + b"\n")
        return b"".join(rendered)

    async def heartbeat(self, request: message.Heartbeat) -> message.HeartbeatReply:
        """Renew the leases that an agent lists; return those it must drop."""
        self._require_leader()
        now = self._timer.read_clock()
        state = self._machine.state
        dropped = []
        for number in request.leases:
            lease = state.leases.get(number)
            if lease is None or lease.agent != request.agent:
                dropped.append(number)
                continue
            self._last_contacts[number] = LastContact(now, True)
            if state.jobs[lease.job].status != record.IN_PROGRESS:
                dropped.append(number)
        if self._is_newest(request):
            await self._expire_unlisted(request.agent, set(request.leases))
        # Only a quorum can confirm that this VM still leads and that these leases
        # are in force.
        await self._replica.confirm_leadership()
        return message.HeartbeatReply(tuple(dropped))

    def _is_newest(self, request: message.Heartbeat) -> bool:
        """Return whether the heartbeat is not older than the last one that arrived.

        A restarted agent numbers its heartbeats from the start, so the first one
        counts as old. The leases of its former process expire at the latest
        because nothing renews them.
        """
        is_newest = request.number >= self._heartbeat_numbers.get(request.agent, 0)
        self._heartbeat_numbers[request.agent] = request.number
        return is_newest

    async def _expire_unlisted(self, agent: str, listed: set[int]) -> None:
        """Expire the leases that an agent listed before and does not list any more."""
        for number, lease in list(self._machine.state.leases.items()):
            last_contact = self._last_contacts.get(number)
            if lease.agent != agent or number in listed:
                continue
            if last_contact is not None and last_contact.listed:
                await self._expire(number)

    async def complete(self, request: message.CompleteChunk) -> message.Empty:
        """Store result lines, then record which items they complete."""
        self._require_leader()
        blob_name = await self._store.write(request.lines)
        results = tuple(command.ItemResult(*item) for item in request.results)
        now = self._timer.read_wall_clock()
        answer = await self.propose(
            command.CompleteItems(request.lease, blob_name, results, now)
        )
        if isinstance(answer, outcome.Refused):
            raise error.SeamError(answer.message, error.Kind(answer.kind))
        return message.Empty()

    async def wait_cancelled(self, job: str) -> None:
        """Return once a cancelled job has ended; raise if this VM stops leading."""
        while not self._machine.state.jobs[job].ended:
            self._require_leader()
            await self._timer.sleep(REVIEW_SECONDS / 4)

    async def _review(self) -> None:
        """Expire silent leases and close cancelled jobs without leases."""
        if not self._replica.is_leader:
            return
        try:
            self._require_leader()
            await self._expire_silent_leases()
            await self._close_cancelled()
        except error.SeamError as failure:
            logger.info(
                "lease check failed, will retry", extra={"cause": failure.message}
            )

    async def _expire_silent_leases(self) -> None:
        now = self._timer.read_clock()
        for number in list(self._machine.state.leases):
            last_contact = self._last_contacts.setdefault(
                number, LastContact(now, False)
            )
            if now - last_contact.at > LEASE_SECONDS + MARGIN_SECONDS:
                await self._expire(number)

    async def _expire(self, number: int) -> None:
        lease = self._machine.state.leases.get(number)
        self._last_contacts.pop(number, None)
        if lease is None:
            return
        await self.propose(command.ExpireLease(number, self._timer.read_wall_clock()))
        self._timeline.record("lease_ended", lease.job, detail=lease.agent)

    async def _close_cancelled(self) -> None:
        state = self._machine.state
        leased_jobs = {lease.job for lease in state.leases.values()}
        for job in list(state.jobs.values()):
            if job.status == record.CANCELLING and job.id not in leased_jobs:
                now = self._timer.read_wall_clock()
                await self.propose(command.FinishCancel(job.id, now))
                self._timeline.record("job_cancelled", job.id, job.customer)


def _read_custom_id(line: bytes) -> str:
    """Return the caller's id of an item, or an empty string if it can't be read."""
    try:
        document = jsontext.parse(line)
    except jsontext.JsonError:
        return ""
    return document.get("custom_id", "") if isinstance(document, dict) else ""
