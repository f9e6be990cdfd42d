"""Answer questions about lots, on the control VM that leads."""

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, message
from sapphireseam.state.replica import Replica
from sapphireseam.utils import broadcast, rpc
from sapphireseam.utils.timer import TimerService, wait_for

# The most bytes of output that one answer holds.
ANSWER_BYTES = 900 * 1024


class BulkService:
    """Read lots for entries."""

    def __init__(self, replica: Replica, machine: StateMachine, timer: TimerService):
        self._replica = replica
        self._machine = machine
        self._timer = timer
        self._listed = broadcast.Broadcast()
        machine.subscribe(self._follow)

    def register(self, server: rpc.Server) -> None:
        """Have the server answer with this."""
        roles = frozenset({rpc.Role.FLEET})
        server.add_call(message.ReadLot, roles, self._answer_lot)
        server.add_call(message.ReadLotItem, roles, self._answer_item)

    def _follow(self, item: object, answer: object) -> None:
        if item is None or isinstance(item, command.ListResults | command.EndLot):
            self._listed.notify()

    async def _find(self, lot: str, customer: str) -> record.Lot:
        """Return a customer's lot as of now, or raise that there is none."""
        if not self._replica.is_leader:
            leader = self._replica.leader
            raise error.NotLeaderError("this control VM doesn't lead", leader)
        await self._replica.read_index()
        found = self._machine.state.lots.get(lot)
        if found is None or found.customer != customer:
            raise error.RequestError(f"no lot {lot!r}", error.Kind.OBJECT_UNKNOWN)
        return found

    async def _answer_lot(
        self, request: message.ReadLot, caller: rpc.Caller
    ) -> message.LotView:
        lot = await self._find(request.lot, request.customer)
        if len(lot.results) <= request.after and lot.is_open and request.wait > 0:
            await self._wait_for_result(request)
            lot = await self._find(request.lot, request.customer)
        return message.LotView(len(lot.items), _take_results(lot, request.after))

    async def _wait_for_result(self, request: message.ReadLot) -> None:
        def has_result() -> bool:
            lot = self._machine.state.lots.get(request.lot)
            return lot is None or len(lot.results) > request.after or not lot.is_open

        waiting = self._listed.wait_until(has_result)
        try:
            await wait_for(self._timer, waiting, request.wait)
        except TimeoutError:
            return

    async def _answer_item(
        self, request: message.ReadLotItem, caller: rpc.Caller
    ) -> message.Piece:
        lot = await self._find(request.lot, request.customer)
        if not lot.is_ended:
            for number, item in enumerate(lot.items):
                if item.id == request.item and number not in lot.listed:
                    return message.Piece(item.body, True)
        text = f"no item {request.item!r} waits in lot {request.lot!r}"
        raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)


def _take_results(lot: record.Lot, after: int) -> tuple[tuple[str, bool, bytes], ...]:
    """Return results from a position on, at least one if there is one."""
    results = []
    size = 0
    for result in lot.results[max(after, 0) :]:
        size += len(result.output)
        if results and size > ANSWER_BYTES:
            break
        results.append((lot.items[result.item].id, result.failed, result.output))
    return tuple(results)
