"""Reach the control VMs as one: find the leader, resend, stop at a deadline.

A command may be resent because each is idempotent, by a request id or by its
nature. The client keeps to the leader that it found until that one fails.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sapphireseam.core import command, error, message, outcome
from sapphireseam.utils import broadcast, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, wait_for

# One try's time, and the pause before the next, in seconds.
TRY_SECONDS = 2.0
PAUSE_SECONDS = 0.1
# How long a call goes on trying by default, in seconds.
DEADLINE_SECONDS = 10.0

_RETRIED = frozenset(
    {
        error.Kind.NOT_LEADER,
        error.Kind.CONTROL_UNREACHABLE,
        error.Kind.OUTCOME_UNKNOWN,
        error.Kind.STORAGE_FAILED,
    }
)


class LeaderChangedError(rpc.LinkError):
    """Report that another control VM leads now; the outcome isn't known."""

    def __init__(self, leader: str):
        super().__init__("another control VM leads now")
        self.leader = leader


class ControlClient:
    """Call whichever control VM leads."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        credential: tuple[str, str],
        timer: TimerService,
    ):
        self._settled = tuple(addresses)
        self._addresses = list(addresses)
        self._tasks = TaskGroup()
        self._credential = credential
        self._timer = timer
        self._channels: dict[str, rpc.Channel] = {}
        self._next = 0
        self._leader = ""
        self._moved = broadcast.Broadcast()

    async def start(self) -> None:
        """Do nothing; channels open when they are first used."""

    async def stop(self) -> None:
        """Close every channel."""
        await self._tasks.cancel()
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the control VMs that are known."""
        return tuple(self._addresses)

    def update_addresses(self, addresses: tuple[str, ...]) -> None:
        """Take in the control VMs there are now; those of the settings stay."""
        known = dict.fromkeys((*self._settled, *addresses))
        if tuple(known) == self.addresses:
            return
        self._addresses = list(known)
        self._forget_channels()

    def set_configured_addresses(self, addresses: tuple[str, ...]) -> None:
        """Take in the addresses that the settings name from now on."""
        self._settled = tuple(addresses)
        self._addresses = list(dict.fromkeys((*addresses, *self._addresses)))

    def _forget_channels(self) -> None:
        for address in [name for name in self._channels if name not in self._addresses]:
            if address != self._leader:
                self._tasks.spawn(self._channels.pop(address).close())

    def open_channel(self, address: str) -> rpc.Channel:
        """Return a channel of the caller's own, which it closes itself."""
        return rpc.Channel(address, self._credential)

    def record_leader(self, address: str) -> None:
        """Take somebody's word for which control VM leads; empty for none.

        Calls that wait for another one are made again there.
        """
        is_news = bool(address) and address != self._leader
        self._leader = address
        if is_news:
            self._moved.notify()

    def get_channel(self, address: str) -> rpc.Channel:
        """Return the channel to one control VM."""
        if address not in self._channels:
            self._channels[address] = rpc.Channel(address, self._credential)
        return self._channels[address]

    def pick_address(self) -> str:
        """Return the leader's address if known, or the next one to try."""
        if self._leader:
            return self._leader
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address

    async def call_on_stream(
        self, request: Any, deadline: float = DEADLINE_SECONDS
    ) -> Any:
        """Do as `call`, over a kept stream; for what the leader answers at once."""
        return await self._try(request, deadline, self._ask)

    async def _ask(self, channel: rpc.Channel, request: Any, seconds: float) -> Any:
        try:
            return await wait_for(self._timer, channel.call_on_stream(request), seconds)
        except TimeoutError:
            await channel.close_call_stream()
            raise rpc.LinkError(f"{channel.address}: no answer in time") from None

    async def call(self, request: Any, deadline: float = DEADLINE_SECONDS) -> Any:
        """Return the leader's answer, trying for `deadline` seconds.

        Raises `ControlError` when no leader answered in time, and any error
        that the leader answered with. Only if each try was refused does the
        error say "not run": a try without an answer may have been carried out.
        """
        return await self._try(request, deadline, self._call)

    async def _call(self, channel: rpc.Channel, request: Any, seconds: float) -> Any:
        return await channel.call(request, seconds)

    async def _try(self, request: Any, deadline: float, make: Callable) -> Any:
        end = self._timer.read_clock() + deadline
        last: error.SeamError = error.ControlError("no control VM answered")
        refused = True
        while (left := end - self._timer.read_clock()) > 0:
            address = self.pick_address()
            try:
                channel = self.get_channel(address)
                work = make(channel, request, min(TRY_SECONDS, left))
                answer = await self._wait_or_move(work, address)
                self._leader = address
                return answer
            except error.SeamError as failure:
                if failure.kind not in _RETRIED:
                    raise
                last = failure
                refused = refused and failure.kind is error.Kind.NOT_LEADER
                self._leader = getattr(failure, "leader", "")
                if self._leader and self._leader != address:
                    continue
                self._leader = ""
            await self._timer.sleep(PAUSE_SECONDS)
        text = f"no control VM took the call: {last.message}"
        raise error.ControlError(text, not_run=refused)

    async def _wait_or_move(self, work: Coroutine, address: str) -> Any:
        """Return a call's answer; raise once another control VM is known to lead."""
        call = asyncio.ensure_future(work)
        moved = asyncio.ensure_future(self._wait_moved(address))
        try:
            await asyncio.wait({call, moved}, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
            raise LeaderChangedError(self._leader)
        finally:
            call.cancel()
            moved.cancel()

    async def _wait_moved(self, address: str) -> None:
        while self._leader in ("", address):
            await self._moved.wait()

    async def propose(self, item: Any, deadline: float = DEADLINE_SECONDS) -> Any:
        """Commit a command and return its outcome, or raise its refusal."""
        packed = command.REGISTRY.encode(item)
        reply = await self.call(message.Propose(packed), deadline)
        answer = outcome.REGISTRY.decode(reply.outcome)
        if isinstance(answer, outcome.Refused):
            kind = error.Kind(answer.kind)
            raise error.SeamError(answer.message, kind)
        return answer
