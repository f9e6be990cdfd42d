"""Sends calls to the leader of the control VMs, with retries until a deadline.

A command may be sent again because every command is idempotent, by a request id or
by its nature. The client uses the leader that it found until a call to it fails.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sapphireseam.core import command, error, message, outcome
from sapphireseam.utils import broadcast, rpc
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, wait_for

# Timeout of one attempt, and the delay before the next, in seconds.
ATTEMPT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.1
# How long a call is retried by default, in seconds.
DEADLINE_SECONDS = 10.0

_RETRIED_KINDS = frozenset(
    {
        error.Kind.NOT_LEADER,
        error.Kind.CONTROL_UNREACHABLE,
        error.Kind.OUTCOME_UNKNOWN,
        error.Kind.STORAGE_FAILED,
        # The member is starting or stopping.
        error.Kind.SHUTTING_DOWN,
    }
)


class LeaderChangedError(rpc.LinkError):
    """Another control VM leads now, so the outcome of the call is unknown."""

    def __init__(self, leader: str):
        super().__init__("another control VM leads now")
        self.leader = leader


class MemberError(error.ControlError):
    """One control VM can't answer now; another one may."""


class ControlClient:
    """Finds the control VM that is the leader, and calls it."""

    def __init__(
        self,
        addresses: tuple[str, ...],
        credential: tuple[str, str],
        timer: TimerService,
    ):
        self._configured = tuple(addresses)
        self._addresses = list(addresses)
        self._tasks = TaskGroup()
        self._credential = credential
        self._timer = timer
        self._channels: dict[str, rpc.Channel] = {}
        self._next_index = 0
        self._leader = ""
        self._leader_changed = broadcast.Broadcast()

    async def start(self) -> None:
        """Do nothing; a channel connects when it is first used."""

    async def stop(self) -> None:
        """Close every channel."""
        await self._tasks.cancel()
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the known control VMs."""
        return tuple(self._addresses)

    def update_addresses(self, addresses: tuple[str, ...]) -> None:
        """Replace the known addresses; those of the settings are kept."""
        known = dict.fromkeys((*self._configured, *addresses))
        if tuple(known) == self.addresses:
            return
        self._addresses = list(known)
        self._close_old_channels()

    def set_configured_addresses(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses of the settings; all known addresses are kept."""
        self._configured = tuple(addresses)
        self._addresses = list(dict.fromkeys((*addresses, *self._addresses)))

    def _close_old_channels(self) -> None:
        for address in [name for name in self._channels if name not in self._addresses]:
            if address != self._leader:
                self._tasks.spawn(self._channels.pop(address).close())

    def open_channel(self, address: str) -> rpc.Channel:
        """Return a new channel, which the caller must close."""
        return rpc.Channel(address, self._credential)

    def record_leader(self, address: str) -> None:
        """Use the address as the leader's; an empty string means that none is known.

        Calls that wait for an answer from another control VM are sent again to the
        new leader.
        """
        is_new = bool(address) and address != self._leader
        self._leader = address
        if is_new:
            self._leader_changed.notify()

    def get_channel(self, address: str) -> rpc.Channel:
        """Return the shared channel to one control VM."""
        if address not in self._channels:
            self._channels[address] = rpc.Channel(address, self._credential)
        return self._channels[address]

    def pick_address(self) -> str:
        """Return the leader's address if it is known, else the next address in turn.

        Raises `ControlError` if the settings name no control VM.
        """
        if self._leader:
            return self._leader
        if not self._addresses:
            raise error.ControlError("no control VM is known")
        address = self._addresses[self._next_index % len(self._addresses)]
        self._next_index += 1
        return address

    async def call_on_stream(
        self, request: Any, deadline: float = DEADLINE_SECONDS
    ) -> Any:
        """Do the same as `call` over a call stream; see `Channel.call_on_stream`."""
        return await self._call_leader(request, deadline, self._call_on_stream)

    async def _call_on_stream(
        self, channel: rpc.Channel, request: Any, seconds: float
    ) -> Any:
        try:
            return await wait_for(self._timer, channel.call_on_stream(request), seconds)
        except TimeoutError:
            await channel.close_call_stream()
            raise rpc.LinkError(f"{channel.address}: the call timed out") from None

    async def call(self, request: Any, deadline: float = DEADLINE_SECONDS) -> Any:
        """Return the leader's answer; retry for `deadline` seconds.

        Raises `ControlError` if no leader answered in time, or the error that the
        leader answered with. The `ControlError` has `not_run` only if every attempt
        was refused, since a request without an answer may have been executed.
        """
        return await self._call_leader(request, deadline, self._call_once)

    async def call_member(self, address: str, request: Any, seconds: float) -> Any:
        """Return the answer of one control VM, whether or not it leads.

        Raises `MemberError` if it can't answer now, and the error that it answered with
        otherwise.
        """
        try:
            return await self._call_once(self.get_channel(address), request, seconds)
        except error.SeamError as failure:
            if failure.kind in _RETRIED_KINDS:
                raise MemberError(f"{address}: {failure.message}") from None
            raise

    @property
    def leader(self) -> str:
        """Return the address of the leader that was found last, or ""."""
        return self._leader

    async def _call_once(
        self, channel: rpc.Channel, request: Any, seconds: float
    ) -> Any:
        return await channel.call(request, seconds)

    async def _call_leader(
        self, request: Any, deadline: float, start_call: Callable
    ) -> Any:
        end = self._timer.read_clock() + deadline
        last_failure: error.SeamError = error.ControlError("no control VM answered")
        all_refused = True
        while (remaining := end - self._timer.read_clock()) > 0:
            address = self.pick_address()
            try:
                channel = self.get_channel(address)
                work = start_call(channel, request, min(ATTEMPT_SECONDS, remaining))
                answer = await self._wait_for_answer(work, address)
                self._leader = address
                return answer
            except error.SeamError as failure:
                if failure.kind not in _RETRIED_KINDS:
                    raise
                last_failure = failure
                all_refused = all_refused and failure.kind is error.Kind.NOT_LEADER
                self._leader = getattr(failure, "leader", "")
                if self._leader and self._leader != address:
                    continue
                self._leader = ""
            await self._timer.sleep(RETRY_DELAY_SECONDS)
        text = f"no control VM accepted the call: {last_failure.message}"
        raise error.ControlError(text, not_run=all_refused)

    async def _wait_for_answer(self, work: Coroutine, address: str) -> Any:
        """Return a call's answer, or raise if another control VM becomes leader."""
        call = asyncio.ensure_future(work)
        leader_change = asyncio.ensure_future(self._wait_for_leader_change(address))
        try:
            await asyncio.wait(
                {call, leader_change}, return_when=asyncio.FIRST_COMPLETED
            )
            if call.done():
                return call.result()
            raise LeaderChangedError(self._leader)
        finally:
            call.cancel()
            leader_change.cancel()

    async def _wait_for_leader_change(self, address: str) -> None:
        while self._leader in ("", address):
            await self._leader_changed.wait()

    async def propose(self, item: Any, deadline: float = DEADLINE_SECONDS) -> Any:
        """Commit a command and return its outcome, or raise if it was refused."""
        packed = command.REGISTRY.encode(item)
        reply = await self.call(message.Propose(packed), deadline)
        answer = outcome.REGISTRY.decode(reply.outcome)
        if isinstance(answer, outcome.Refused):
            kind = error.Kind(answer.kind)
            raise error.SeamError(answer.message, kind)
        return answer
