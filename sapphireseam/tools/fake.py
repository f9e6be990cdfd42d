"""Stand in for the control VMs in tests, within one event loop.

The state machine and the dispatcher are the real ones; only the replicated log
between them is left out. A test may lose any question or any answer.
"""

import hashlib
from collections.abc import Callable
from typing import Any

from sapphireseam.control import blob as blobs
from sapphireseam.control.dispatch import Dispatcher
from sapphireseam.control.machine import StateMachine
from sapphireseam.control.orderdispatch import OrderDispatcher
from sapphireseam.core import command, error, fleet, key, message, outcome
from sapphireseam.utils import rpc
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

# The log's index before the first command.
FIRST_INDEX = 10


class FakeReplica:
    """Apply what is proposed at once."""

    def __init__(self, machine: StateMachine):
        self.is_leader = True
        self.term = 1
        self._machine = machine
        self._index = FIRST_INDEX

    async def propose(self, data: bytes) -> Any:
        """Return the machine's answer."""
        self._index += 1
        return self._machine.apply(self._index, data)

    async def confirm_leadership(self) -> int:
        """Return the newest index."""
        return self._index


class FakeStore:
    """Keep blobs in memory."""

    def __init__(self):
        self._blobs: dict[str, bytes] = {}

    async def write(self, data: bytes) -> str:
        """Return the digest."""
        name = hashlib.sha256(data).hexdigest()
        self._blobs[name] = data
        return name

    async def write_piece(
        self, upload: str, offset: int, data: bytes, last: bool
    ) -> str:
        """Take an upload of one piece."""
        return await self.write(data)

    def read(self, blob: str) -> bytes:
        """Return a blob."""
        return self._blobs[blob]

    def read_piece(self, blob: str, offset: int) -> tuple[bytes, bool]:
        """Return a piece of a blob, and whether it ends there."""
        piece = self._blobs[blob][offset : offset + blobs.PIECE_BYTES]
        return piece, offset + len(piece) >= len(self._blobs[blob])


class FakeControl:
    """Be the control VMs and the client that reaches them.

    `lose` decides for each question whether it, or its answer, is lost: it
    gets the question and returns "", "question" or "answer".
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
        """Answer a question as the leader would."""
        lost = self.lose(request)
        if lost == "question":
            raise rpc.LinkError("the question was lost")
        self.asked.append(request)
        answer = await self._answer(request)
        if lost == "answer":
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
        """Apply a command; raise its refusal."""
        answer = await self.call(item)
        if isinstance(answer, outcome.Refused):
            raise error.SeamError(answer.message, error.Kind(answer.kind))
        return answer


class FakeMirror:
    """Mirror what a test says."""

    def __init__(self, document: dict[str, Any] | None = None):
        self.fleet = fleet.require(document or {})
        self.revision = 1
        self.keys: dict[str, key.Key] = {}
        self.leaving: set[str] = set()
        self.suspects: set[str] = set()
        self.quarantined: set[str] = set()
        self.confirmed = True
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call back when a test calls `notify`."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Tell all listeners of a change."""
        for listener in self._listeners:
            listener()

    def is_confirmed(self) -> bool:
        """Tell what the test set."""
        return self.confirmed

    async def refresh(self) -> None:
        """Know everything already."""
