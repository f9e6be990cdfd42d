"""Give out items of jobs to idle agents, while this control VM leads.

The log says which items a lease holds; how long it lasts is counted here, on
the leader's clock, from the agent's heartbeats. An agent counts from when it
sent them and stops its items first, so no item runs on after its lease is
given to another. A new leader gives every lease a whole term afresh.
"""

import json
import logging
from typing import NamedTuple

from sapphireseam.control import blob, record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message, outcome
from sapphireseam.policy import batch
from sapphireseam.state.replica import Replica
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

# An agent may run leased items for this long after its last heartbeat.
LEASE_SECONDS = 3.0
# The leader waits this much longer before it gives the items to another.
MARGIN_SECONDS = 0.5
# How often leases and cancels are looked after.
REVIEW_SECONDS = 0.2
# Input files whose lines are kept at hand.
CACHED_FILES = 8

# What an item's error line says, by error kind.
UNANSWERED = {
    "outcome_unknown": "the item was handed over and its outcome isn't known;"
    " it won't be run again",
    "upstream_failed": "the item was tried several times and never answered",
}


class Heard(NamedTuple):
    """Remember when an agent last listed a lease, if it ever did."""

    at: float
    listed: bool


class Dispatcher:
    """Lease items, watch over leases and close cancelled jobs."""

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
        self._heard: dict[int, Heard] = {}
        self._beats: dict[str, int] = {}
        self._received: dict[str, float] = {}
        self._lines: dict[str, list[bytes]] = {}

    async def start(self) -> None:
        """Begin to look after leases."""
        self._tasks.spawn(run_periodically(self._timer, REVIEW_SECONDS, self._review))

    async def stop(self) -> None:
        """Leave the leases to the next leader."""
        await self._tasks.cancel()

    async def propose(self, item: object) -> object:
        """Commit a command and return the state machine's answer."""
        return await self._replica.propose(command.REGISTRY.encode(item))

    def _require_leader(self) -> None:
        if not self._replica.is_leader:
            raise error.NotLeaderError("this control VM doesn't lead")
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._heard.clear()
            self._beats.clear()

    async def pull(self, request: message.Pull) -> message.Work:
        """Lease items that fit an idle agent; an empty lease if there are none."""
        self._require_leader()
        nothing = message.Work(0, "", "", "", True, 0.0, ())
        name = self._select(request)
        if not name:
            return nothing
        answer = await self.propose(
            command.LeaseItems(name, request.count, request.agent)
        )
        if not isinstance(answer, outcome.Leased) or not answer.items:
            return nothing
        self._heard[answer.lease] = Heard(self._timer.read_clock(), False)
        job = self._machine.state.jobs[name]
        self._received[job.customer] = self._received.get(job.customer, 0.0) + len(
            answer.items
        )
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

    def _select(self, request: message.Pull) -> str:
        """Return the job that the policy gives to this agent."""
        state = self._machine.state
        now = self._timer.read_wall_clock()
        jobs = [
            self._describe(job, now)
            for job in state.jobs.values()
            if job.status == record.IN_PROGRESS
            and job.model == request.model
            and job.service == request.service
            and (job.next_item < job.count or state.returned[job.id])
        ]
        picks = batch.select(jobs, request.count, now)
        return picks[0].job if picks else ""

    def _describe(self, job: record.Job, now: float) -> batch.Job:
        returned = len(self._machine.state.returned[job.id])
        return batch.Job(
            job.id,
            job.customer,
            1.0,
            job.due,
            self._received.get(job.customer, 0.0),
            job.count - job.next_item,
            returned,
            1.0,
            batch.FIRST_ITEM_SECONDS,
        )

    def _read_lines(self, name: str) -> list[bytes]:
        """Return the input file's lines that hold an item each."""
        if name not in self._lines:
            data = self._store.read(name)
            lines = [line for line in data.split(b"\n") if line.strip()]
            self._lines[name] = lines
            while len(self._lines) > CACHED_FILES:
                del self._lines[next(iter(self._lines))]
        return self._lines[name]

    def render_unanswered(
        self, job: record.Job, results: list[tuple[int, int, bool, str]]
    ) -> bytes:
        """Return the error lines of items that ended without an answer."""
        lines = self._read_lines(job.blob)
        rendered = []
        for number, _, _, kind in results:
            custom_id = json.loads(lines[number]).get("custom_id", "")
            failure = {"code": kind, "message": UNANSWERED[kind]}
            line = {
                "id": f"{job.id}-{number}",
                "custom_id": custom_id,
                "response": None,
                "error": failure,
            }
            rendered.append(json.dumps(line).encode() + b"\n")
        return b"".join(rendered)

    async def heartbeat(self, request: message.Heartbeat) -> message.HeartbeatReply:
        """Renew the leases that an agent lists; name those it must drop."""
        self._require_leader()
        now = self._timer.read_clock()
        state = self._machine.state
        dropped = []
        for number in request.leases:
            lease = state.leases.get(number)
            if lease is None or lease.agent != request.agent:
                dropped.append(number)
                continue
            self._heard[number] = Heard(now, True)
            if state.jobs[lease.job].status != record.IN_PROGRESS:
                dropped.append(number)
        if self._is_newest(request):
            await self._drop_unlisted(request.agent, set(request.leases))
        # Only a quorum can say that these are the leases in force.
        await self._replica.confirm_leadership()
        return message.HeartbeatReply(tuple(dropped))

    def _is_newest(self, request: message.Heartbeat) -> bool:
        """Tell whether no later heartbeat of the agent has come before.

        An agent that was restarted counts anew; its old leases end by silence.
        """
        newest = request.number >= self._beats.get(request.agent, 0)
        self._beats[request.agent] = request.number
        return newest

    async def _drop_unlisted(self, agent: str, listed: set[int]) -> None:
        """End the leases that an agent held and doesn't hold any more."""
        for number, lease in list(self._machine.state.leases.items()):
            heard = self._heard.get(number)
            if lease.agent != agent or number in listed:
                continue
            if heard is not None and heard.listed:
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
        """Return once a cancelled job has ended, on whatever leader."""
        while not self._machine.state.jobs[job].ended:
            self._require_leader()
            await self._timer.sleep(REVIEW_SECONDS / 4)

    async def _review(self) -> None:
        """End silent leases and close cancelled jobs without leases."""
        if not self._replica.is_leader:
            return
        try:
            self._require_leader()
            await self._end_silent_leases()
            await self._close_cancelled()
        except error.SeamError as failure:
            logger.info("review put off", extra={"cause": failure.message})

    async def _end_silent_leases(self) -> None:
        now = self._timer.read_clock()
        for number in list(self._machine.state.leases):
            heard = self._heard.setdefault(number, Heard(now, False))
            if now - heard.at > LEASE_SECONDS + MARGIN_SECONDS:
                await self._expire(number)

    async def _expire(self, number: int) -> None:
        lease = self._machine.state.leases.get(number)
        self._heard.pop(number, None)
        if lease is None:
            return
        await self.propose(command.ExpireLease(number, self._timer.read_wall_clock()))
        self._timeline.record("lease_ended", lease.job, detail=lease.agent)

    async def _close_cancelled(self) -> None:
        state = self._machine.state
        held = {lease.job for lease in state.leases.values()}
        for job in list(state.jobs.values()):
            if job.status == record.CANCELLING and job.id not in held:
                now = self._timer.read_wall_clock()
                await self.propose(command.FinishCancel(job.id, now))
                self._timeline.record("job_cancelled", job.id, job.customer)
