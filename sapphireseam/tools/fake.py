"""Provides fakes of the control VMs for tests within one event loop.

The state machine and the dispatchers are the real ones; only the replicated log
is left out. A test can drop any request or answer.
"""

import hashlib
from collections.abc import Callable
from typing import Any

from sapphireseam.control import blob as blobs
from sapphireseam.control.dispatch import Dispatcher
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.orderdispatch import OrderDispatcher
from sapphireseam.core import command, error, fleet, key, message, outcome
from sapphireseam.core.ceiling import Ceiling
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.core.verdict import Verdict
from sapphireseam.utils import rpc
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

# Index of the log before the first command.
FIRST_INDEX = 10


class FakeReplica:
    """A replica that applies each proposed command immediately."""

    def __init__(self, machine: StateMachine):
        self.is_leader = True
        self.term = 1
        self._machine = machine
        self._index = FIRST_INDEX

    async def propose(self, data: bytes) -> Any:
        """Apply a command and return the answer of the state machine."""
        self._index += 1
        return self._machine.apply(self._index, data)

    async def confirm_leadership(self) -> int:
        """Return the last index of the log."""
        return self._index

    async def wait_caught_up(self) -> None:
        """Do nothing; every command is applied when it is proposed."""


class FakeStore:
    """A blob store in memory."""

    def __init__(self):
        self._blobs: dict[str, bytes] = {}

    async def write(self, data: bytes) -> str:
        """Store a blob and return its digest."""
        name = hashlib.sha256(data).hexdigest()
        self._blobs[name] = data
        return name

    async def write_piece(
        self, upload: str, offset: int, data: bytes, last: bool
    ) -> str:
        """Store a blob that is uploaded in one piece."""
        return await self.write(data)

    def read(self, blob: str) -> bytes:
        """Return a blob."""
        return self._blobs[blob]

    def read_piece(self, blob: str, offset: int) -> tuple[bytes, bool]:
        """Return a piece of a blob, and whether it is the last piece."""
        piece = self._blobs[blob][offset : offset + blobs.PIECE_BYTES]
        return piece, offset + len(piece) >= len(self._blobs[blob])


class FakeControl:
    """A fake of the control VMs and of the client that calls them.

    `lose` selects the messages to drop: it is called with each request and
    returns "question" to drop the request, "answer" to drop the answer or "" to
    drop neither. `asked` holds the requests that arrived.
    """

    def __init__(self, timer: TimerService):
        self.machine = StateMachine()
        self.store = FakeStore()
        self.replica = FakeReplica(self.machine)
        self.timeline = Timeline("control-1", timer)
        self.dispatcher = Dispatcher(
            self.replica, self.machine, self.store, self.timeline, timer
        )
        self.orders = OrderDispatcher(self.replica, self.machine, self.timeline, timer)
        self.lose: Callable[[Any], str] = lambda request: ""
        self.asked: list[Any] = []

    async def call(self, request: Any, deadline: float = 0.0) -> Any:
        """Answer a request like the leader."""
        dropped = self.lose(request)
        if dropped == "question":
            raise rpc.LinkError("the request was lost")
        self.asked.append(request)
        answer = await self._answer(request)
        if dropped == "answer":
            raise rpc.LinkError("the answer was lost")
        return answer

    async def _answer(self, request: Any) -> Any:
        match request:
            case message.Pull():
                return await self.dispatcher.pull(request)
            case message.Heartbeat():
                return await self.dispatcher.heartbeat(request)
            case message.CompleteChunk():
                return await self.dispatcher.complete(request)
            case message.PullOrder():
                return await self.orders.pull(request)
            case message.WriteBlob():
                name = await self.store.write_piece(
                    request.upload, request.offset, request.data, request.last
                )
                return message.Written(name)
            case message.ReadBlob():
                return message.Piece(
                    *self.store.read_piece(request.blob, request.offset)
                )
        return await self.replica.propose(command.REGISTRY.encode(request))

    async def propose(self, item: Any, deadline: float = 0.0) -> Any:
        """Apply a command; raise `SeamError` if it is refused."""
        answer = await self.call(item)
        if isinstance(answer, outcome.Refused):
            raise error.SeamError(answer.message, error.Kind(answer.kind))
        return answer


class FakeMirror:
    """A mirror whose contents the test sets."""

    def __init__(self, document: dict[str, Any] | None = None):
        self.fleet = fleet.require(document or {})
        self.revision = 1
        self.keys: dict[str, key.Key] = {}
        self.leaving: set[str] = set()
        self.verdicts: dict[str, Verdict] = {}
        self.ceilings: dict[str, Ceiling] = {}
        self.evacuated = Evacuated()
        self.confirmed = True
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener for `notify`."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()

    def is_confirmed(self) -> bool:
        """Return the value that the test set."""
        return self.confirmed

    async def refresh(self) -> None:
        """Do nothing; the mirror is always up to date."""
