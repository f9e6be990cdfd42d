"""Serves reads of bulk jobs to entries, on any control VM.

A quorum confirms each read first, so an answer is as new on every VM as on the leader.
"""

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils import broadcast, rpc
from sapphireseam.utils.timer import TimerService, wait_for

# Largest total output in one answer; a single larger result is still sent.
ANSWER_BYTES = 900 * 1024


class BulkService:
    """Answer entries that read bulk jobs or single items."""

    def __init__(self, replica: Replica, machine: StateMachine, timer: TimerService):
        self._replica = replica
        self._machine = machine
        self._timer = timer
        self._changed = broadcast.Broadcast()
        machine.subscribe(self._on_applied)

    def register(self, server: rpc.Server) -> None:
        """Register the calls with the server."""
        roles = frozenset({rpc.Role.FLEET})
        server.add_call(message.ReadLot, roles, self._answer_job)
        server.add_call(message.ReadLotItem, roles, self._answer_item)

    def _on_applied(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.ListResults | command.EndLot):
            self._changed.notify()

    async def _find_job(self, job: str, customer: str) -> record.Lot:
        """Return a customer's job after a confirmed read; raise if there is none."""
        await self._replica.read_index()
        found = self._machine.state.lots.get(job)
        if found is None or found.customer != customer:
            raise error.RequestError(f"no bulk job {job!r}", error.Kind.OBJECT_UNKNOWN)
        return found

    async def _answer_job(
        self, request: message.ReadLot, caller: rpc.Caller
    ) -> message.LotView:
        job = await self._find_job(request.lot, request.customer)
        if len(job.results) <= request.after and job.is_open and request.wait > 0:
            await self._wait_for_result(request)
            job = await self._find_job(request.lot, request.customer)
        return message.LotView(len(job.items), _select_results(job, request.after))

    async def _wait_for_result(self, request: message.ReadLot) -> None:
        def has_result() -> bool:
            job = self._machine.state.lots.get(request.lot)
            return job is None or len(job.results) > request.after or not job.is_open

        waiting = self._changed.wait_until(has_result)
        try:
            await wait_for(self._timer, waiting, request.wait)
        except TimeoutError:
            return

    async def _answer_item(
        self, request: message.ReadLotItem, caller: rpc.Caller
    ) -> message.Piece:
        job = await self._find_job(request.lot, request.customer)
        if not job.is_ended:
            for number, item in enumerate(job.items):
                if item.id == request.item and number not in job.listed:
                    return message.Piece(item.body, True)
        text = f"no open item {request.item!r} in bulk job {request.lot!r}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)


def _select_results(job: record.Lot, after: int) -> tuple[tuple[str, bool, bytes], ...]:
    """Return the results from a position on, up to the size limit but at least one."""
    results = []
    size = 0
    for result in job.results[max(after, 0) :]:
        size += len(result.output)
        if results and size > ANSWER_BYTES:
            break
        results.append((job.items[result.item].id, result.failed, result.output))
    return tuple(results)
