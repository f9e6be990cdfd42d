"""Answers the calls of processes and operators to a control VM.

A quorum confirms every read on which a caller may base a decision. So a control VM
that is cut off from the others answers none of these reads.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from sapphireseam.control import blob, publish, record
from sapphireseam.control.dispatch import Dispatcher
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.orderdispatch import OrderDispatcher
from sapphireseam.control.ratelimit import RateLimitService
from sapphireseam.control.watch import WatchHub
from sapphireseam.core import command, error, message, notice, outcome
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.rpc import Role
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

_FLEET = frozenset({Role.FLEET})
_OPERATOR = frozenset({Role.OPERATOR})
_BOTH = _FLEET | _OPERATOR

# The roles that may propose each command.
_COMMAND_ROLES: dict[type, frozenset[Role]] = {
    command.Publish: _OPERATOR,
    # Operators of a fleet that numbers its own configurations call the admin service,
    # which proposes with the fleet secret.
    command.PublishNumbered: _BOTH,
    command.AcceptLot: _FLEET,
    command.EndLot: _FLEET,
    command.IssueKey: _OPERATOR,
    command.WithdrawKey: _OPERATOR,
    command.IssueOrder: _OPERATOR,
    command.MarkLeaving: _BOTH,
    # As for `PublishNumbered`.
    command.SetEvacuation: _BOTH,
    command.CancelJob: _BOTH,
    command.CreateFile: _FLEET,
    command.RemoveFile: _FLEET,
    command.SubmitJob: _FLEET,
    command.StartItems: _FLEET,
    command.ReturnItems: _FLEET,
    command.ClaimRequest: _FLEET,
    command.SettleClaim: _FLEET,
    command.ReportDeath: _FLEET,
    command.ClearSuspects: _FLEET,
    command.ReportCrash: _FLEET,
    command.ReportCeiling: _FLEET,
    command.ClearTraits: _FLEET,
    command.ClaimTrial: _FLEET,
    command.ReleaseTrial: _FLEET,
    command.FinishOrder: _FLEET,
}
# Times of these commands are compared with each other, and the clocks of the VMs that
# send them differ. So the leader sets them.
_TIMED_BY_LEADER = (
    command.ReportCrash,
    command.ReportCeiling,
    command.ClearTraits,
    command.ClaimTrial,
)


class ControlService:
    """Registers and answers the calls of one control VM."""

    def __init__(
        self,
        node: str,
        replica: Replica,
        machine: StateMachine,
        store: blob.BlobStore,
        dispatcher: Dispatcher,
        orders: OrderDispatcher,
        rate_limits: RateLimitService,
        hub: WatchHub,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._node = node
        self._replica = replica
        self._machine = machine
        self._store = store
        self._dispatcher = dispatcher
        self._orders = orders
        self._rate_limits = rate_limits
        self._hub = hub
        self._timeline = timeline
        self._timer = timer
        # Returns the cold runs of upstreams, if this control VM knows them.
        self.list_cold: Callable[[], tuple[message.ColdView, ...]] = tuple
        # Returns whether a ceiling is of a former run. It isn't proposed, as members of
        # all software versions would let it end the ceilings of the later run.
        self.is_late: Callable[[command.ReportCeiling], bool] = lambda item: False

    def register(self, server: rpc.Server) -> None:
        """Register the calls that this service answers."""
        table: list[tuple[type, frozenset[Role], Callable[..., Awaitable[Any]]]] = [
            (message.Propose, _BOTH, self._propose),
            (message.WriteBlob, _FLEET, self._write_blob),
            (message.ReadBlob, _FLEET, self._read_blob),
            (message.ReadOutput, _BOTH, self._read_output),
            (message.ListJobs, _BOTH, self._list_jobs),
            (message.ListFiles, _FLEET, self._list_files),
            (message.Debit, _FLEET, self._debit),
            (message.Pull, _FLEET, self._pull),
            (message.Heartbeat, _FLEET, self._heartbeat),
            (message.CompleteChunk, _FLEET, self._complete),
            (message.PullOrder, _FLEET, self._pull_order),
            (message.ListOrders, _OPERATOR, self._list_orders),
            (message.ReadFleet, _BOTH, self._read_fleet),
            (message.CheckFleet, _OPERATOR, self._check_fleet),
            (message.ListHistory, _OPERATOR, self._list_history),
            (message.ListKeys, _OPERATOR, self._list_keys),
            (message.ReadStatus, _BOTH, self._read_status),
            (message.ReadEvents, _OPERATOR, self._read_events),
            (message.AddMember, _OPERATOR, self._add_member),
            (message.Promote, _OPERATOR, self._promote),
            (message.RemoveMember, _OPERATOR, self._remove_member),
        ]
        for kind, roles, handler in table:
            server.add_call(kind, roles, handler)
        server.add_stream(notice.Watch, _FLEET, self._hub.serve)

    async def _propose(
        self, request: message.Propose, caller: rpc.Caller
    ) -> message.Proposed:
        item = command.REGISTRY.decode(request.command)
        if not caller & _COMMAND_ROLES.get(type(item), frozenset()):
            name = type(item).__name__
            raise error.AccessError(
                f"the caller's role may not propose {name}", error.Kind.FORBIDDEN
            )
        if isinstance(item, command.ReportCeiling) and self.is_late(item):
            answer = outcome.Done(item.upstream)
            return message.Proposed(outcome.REGISTRY.encode(answer))
        packed = request.command
        if isinstance(item, _TIMED_BY_LEADER):
            item = item._replace(at=self._timer.read_wall_clock())
            packed = command.REGISTRY.encode(item)
        answer = await self._replica.propose(packed)
        self._record_event(item, answer)
        if isinstance(item, command.CancelJob) and isinstance(answer, outcome.Done):
            await self._dispatcher.wait_cancelled(item.job)
        return message.Proposed(outcome.REGISTRY.encode(answer))

    def _record_event(self, item: Any, answer: Any) -> None:
        """Record the event of an accepted command in the timeline."""
        if isinstance(answer, outcome.Refused):
            return
        match item:
            case command.Publish():
                self._timeline.record("published", revision=answer.number)
            case command.IssueKey():
                self._timeline.record("key_issued", key=item.id, customer=item.customer)
            case command.WithdrawKey():
                self._timeline.record("key_withdrawn", key=item.id)
            case command.SubmitJob():
                self._timeline.record("job_accepted", item.job, item.customer, item.key)
            case command.CancelJob():
                self._timeline.record("job_cancelling", item.job, item.customer)
            case command.ReportDeath() | command.ReportCrash():
                self._timeline.record("upstream_died", item.upstream)
            case command.MarkLeaving():
                name = "upstream_leaving" if item.leaving else "upstream_back"
                self._timeline.record(name, item.upstream)
            case command.SetEvacuation():
                name = "domain_evacuated" if item.is_evacuated else "domain_back"
                self._timeline.record(name, item.domain)

    async def _write_blob(
        self, request: message.WriteBlob, caller: rpc.Caller
    ) -> message.Written:
        if not self._replica.is_leader:
            raise error.NotLeaderError("blobs are written to the leader")
        name = await self._store.write_piece(
            request.upload, request.offset, request.data, request.last
        )
        return message.Written(name)

    async def _read_blob(
        self, request: message.ReadBlob, caller: rpc.Caller
    ) -> message.Piece:
        return message.Piece(*self._store.read_piece(request.blob, request.offset))

    async def _read_output(
        self, request: message.ReadOutput, caller: rpc.Caller
    ) -> message.Piece:
        await self._replica.read_index()
        state = self._machine.state
        job = state.jobs.get(request.job)
        if job is None or request.customer not in ("", job.customer):
            raise error.RequestError(
                f"no batch {request.job!r}", error.Kind.OBJECT_UNKNOWN
            )
        chunks = state.chunks[request.job]
        if request.chunk >= len(chunks):
            return message.Piece(b"", True)
        lines = self._render_chunk(job, chunks[request.chunk], request.failed)
        return message.Piece(lines, request.chunk + 1 >= len(chunks))

    def _render_chunk(
        self, job: record.Job, chunk: record.Chunk, failed: bool
    ) -> bytes:
        selected = [item for item in chunk.results if item[2] == failed]
        if not selected:
            return b""
        if not chunk.blob:
            return self._dispatcher.render_unanswered(job, selected)
        lines = self._store.read(chunk.blob).split(b"\n")
        return b"".join(lines[line] + b"\n" for _, line, _, _ in selected)

    async def _list_jobs(
        self, request: message.ListJobs, caller: rpc.Caller
    ) -> message.Jobs:
        await self._replica.read_index()
        jobs = [
            _view_job(job)
            for job in reversed(self._machine.state.jobs.values())
            if request.customer in ("", job.customer) and request.job in ("", job.id)
        ]
        return message.Jobs(tuple(jobs))

    async def _list_files(
        self, request: message.ListFiles, caller: rpc.Caller
    ) -> message.Files:
        await self._replica.read_index()
        files = [
            _view_file(file)
            for file in reversed(self._machine.state.files.values())
            if file.customer == request.customer and request.file in ("", file.id)
        ]
        return message.Files(tuple(files))

    async def _debit(
        self, request: message.Debit, caller: rpc.Caller
    ) -> message.Debited:
        return await self._rate_limits.debit(request)

    async def _pull(self, request: message.Pull, caller: rpc.Caller) -> message.Work:
        return await self._dispatcher.pull(request)

    async def _heartbeat(
        self, request: message.Heartbeat, caller: rpc.Caller
    ) -> message.HeartbeatReply:
        return await self._dispatcher.heartbeat(request)

    async def _complete(
        self, request: message.CompleteChunk, caller: rpc.Caller
    ) -> message.Empty:
        return await self._dispatcher.complete(request)

    async def _list_orders(
        self, request: message.ListOrders, caller: rpc.Caller
    ) -> message.Orders:
        await self._replica.read_index()
        orders = [
            message.OrderView(
                fence,
                order.upstream,
                order.action,
                order.argument,
                order.at,
                order.begun,
                order.finished,
                order.failure,
            )
            for fence, order in reversed(self._machine.state.orders.items())
            if request.upstream in ("", order.upstream)
        ]
        return message.Orders(tuple(orders))

    async def _pull_order(
        self, request: message.PullOrder, caller: rpc.Caller
    ) -> message.OrderGrant:
        return await self._orders.pull(request)

    async def _read_fleet(
        self, request: message.ReadFleet, caller: rpc.Caller
    ) -> message.FleetView:
        await self._replica.read_index()
        state = self._machine.state
        number = request.revision or record.read_revision(state)
        if number == 0:
            return message.FleetView(0, b"{}")
        revision = state.history.get(number)
        if revision is None:
            raise error.RequestError(
                f"revision {number} isn't in the history", error.Kind.OBJECT_UNKNOWN
            )
        return message.FleetView(number, revision.document)

    async def _check_fleet(
        self, request: message.CheckFleet, caller: rpc.Caller
    ) -> message.Findings:
        await self._replica.read_index()
        findings = publish.check(self._machine.state, request.document)
        return message.Findings(
            tuple((item.source, item.message, str(item.entry)) for item in findings)
        )

    async def _list_history(
        self, request: message.ListHistory, caller: rpc.Caller
    ) -> message.HistoryView:
        await self._replica.read_index()
        revisions = reversed(self._machine.state.history.values())
        return message.HistoryView(
            tuple((item.number, item.at, item.note) for item in revisions)
        )

    async def _list_keys(
        self, request: message.ListKeys, caller: rpc.Caller
    ) -> message.Keys:
        await self._replica.read_index()
        keys = self._machine.state.keys.values()
        return message.Keys(tuple(item._replace(digest="") for item in keys))

    async def _read_status(
        self, request: message.ReadStatus, caller: rpc.Caller
    ) -> message.Status:
        state = self._machine.state
        leader = self._replica.leader
        if leader == self._node and not self._replica.is_leader:
            leader = ""  # This VM's lease has expired, so it no longer leads.
        members = tuple(
            message.MemberView(m.name, m.address, m.voter, m.name == leader)
            for m in self._replica.members
        )
        return message.Status(
            self._node,
            leader,
            self._replica.term,
            self._replica.applied,
            record.read_revision(state),
            members,
            self._hub.list_watchers(),
            tuple(state.leaving),
            tuple(state.evacuations.values()),
            self.list_cold(),
        )

    async def _read_events(
        self, request: message.ReadEvents, caller: rpc.Caller
    ) -> message.Events:
        return message.Events(self._timeline.read(request.since))

    async def _add_member(
        self, request: message.AddMember, caller: rpc.Caller
    ) -> message.Empty:
        await self._replica.add_member(request.name, request.address)
        return message.Empty()

    async def _promote(
        self, request: message.Promote, caller: rpc.Caller
    ) -> message.Empty:
        await self._replica.promote(request.name)
        return message.Empty()

    async def _remove_member(
        self, request: message.RemoveMember, caller: rpc.Caller
    ) -> message.Empty:
        await self._replica.remove_member(request.name)
        return message.Empty()


def _view_job(job: record.Job) -> message.JobView:
    return message.JobView(
        job.id,
        job.customer,
        job.file,
        job.endpoint,
        job.status,
        job.count,
        job.done,
        job.failed,
        job.created,
        job.due,
        job.ended,
        job.metadata,
    )


def _view_file(file: record.File) -> message.FileView:
    return message.FileView(
        file.id,
        file.name,
        file.purpose,
        file.blob,
        file.size,
        file.lines,
        file.url,
        file.model,
        file.created,
    )
