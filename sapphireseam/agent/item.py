"""Pull batch items while the upstream is idle, run them and return results.

Items come in leased chunks. The lease is kept by heartbeats and counts on this
agent's clock from when a heartbeat was sent; once it lapses, its items are
cancelled here before the leader may give them to another agent. Results are
sent in groups.
"""

import asyncio
import json
import logging
from typing import Any, NamedTuple

from sapphireseam.agent import engine
from sapphireseam.agent.runner import Runner
from sapphireseam.agent.server import EntryServer
from sapphireseam.core import command, error, message
from sapphireseam.policy import queue
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService, run_periodically

logger = logging.getLogger(__name__)

PULL_SECONDS = 0.25
HEARTBEAT_SECONDS = 0.5
FLUSH_SECONDS = 0.2
# Leased items may run for this long after a heartbeat was sent. The leader
# waits longer, see `control.dispatch`.
LEASE_SECONDS = 3.0
CALL_SECONDS = 2.0
# Items that may wait here for each slot of the upstream.
ITEMS_PER_SLOT = 2

# Tokens that an item is taken to cost beyond its line.
ITEM_TOKENS = 128


class Result(NamedTuple):
    """Hold one item's output line until it is sent."""

    item: int
    line: bytes
    failed: bool


class Holding:
    """Track one lease: its items, their results and until when it holds."""

    def __init__(self, work: message.Work, until: float):
        self.work = work
        self.until = until
        self.open = {number for number, _ in work.items}
        self.results: list[Result] = []
        self.returned: list[int] = []
        self.blamed: list[int] = []


class ItemWork:
    """Run one batch item."""

    def __init__(self, holding: Holding, item: int, line: bytes, owner: "ItemRunner"):
        work = holding.work
        now = owner.timer.read_clock()
        left = work.due - owner.timer.read_wall_clock()
        cost = len(line) / 4 + ITEM_TOKENS
        self.ticket = queue.Ticket(
            f"item/{work.lease}/{item}", work.customer, True, cost, now, now + left
        )
        self.alone = False
        self.fingerprint = f"{work.job}/{item}"
        self._holding = holding
        self._item = item
        self._line = line
        self._owner = owner

    def may_yield(self) -> bool:
        """Tell whether the item may run again after a cancel."""
        return self._holding.work.idempotent

    def refuse(self, failure: error.SeamError) -> None:
        """Give the item back, not run."""
        self._owner.give_back(self._holding, self._item, blamed=False)

    async def run(self) -> float:
        """Run the item at the upstream and keep its output line."""
        document = json.loads(self._line)
        work = self._holding.work
        if not work.idempotent and not await self._owner.mark_started(
            self._holding, self._item
        ):
            return 0.0
        body = json.dumps(document["body"]).encode()
        answer = self._owner.upstream.run(
            document["method"],
            document["url"],
            (("Content-Type", "application/json"),),
            body,
            not work.idempotent,
        )
        status = 0
        data = bytearray()
        try:
            async for part in answer:
                if isinstance(part, message.Head):
                    status = part.status
                else:
                    data += part.body
        except engine.UpstreamError as failure:
            if not failure.not_run:
                await self._owner.server.report_death(self)
            self._owner.give_back(self._holding, self._item, not failure.not_run)
            return self.ticket.cost
        finally:
            await answer.aclose()
        if status >= 500 and work.idempotent:
            self._owner.give_back(self._holding, self._item, blamed=True)
            return self.ticket.cost
        line = render_line(work, self._item, document, status, bytes(data))
        self._owner.keep(self._holding, Result(self._item, line, status >= 400))
        return (len(body) + len(data)) / 4


def render_line(
    work: message.Work, item: int, document: dict[str, Any], status: int, data: bytes
) -> bytes:
    """Return an item's output line in the OpenAI shape, without line end."""
    try:
        body = json.loads(data)
    except ValueError:
        body = data.decode("utf-8", "replace")
    response = {
        "status_code": status,
        "request_id": f"{work.job}-{item}",
        "body": body,
    }
    line = {
        "id": f"{work.job}-{item}",
        "custom_id": document["custom_id"],
        "response": response,
        "error": None,
    }
    return json.dumps(line).encode()


class ItemRunner:
    """Pull, run and return batch items for one upstream."""

    def __init__(
        self,
        node: str,
        upstream: engine.Upstream,
        runner: Runner,
        server: EntryServer,
        mirror: Mirror,
        client: ControlClient,
        timeline: Timeline,
        timer: TimerService,
    ):
        self.upstream = upstream
        self.server = server
        self.timer = timer
        self._node = node
        self._runner = runner
        self._mirror = mirror
        self._client = client
        self._timeline = timeline
        self._holdings: dict[int, Holding] = {}
        self._tasks = TaskGroup()
        self._flushing = asyncio.Lock()

    async def start(self) -> None:
        """Begin to pull."""
        for period, callback in (
            (PULL_SECONDS, self._pull),
            (HEARTBEAT_SECONDS, self._beat),
            (FLUSH_SECONDS, self._flush),
            (FLUSH_SECONDS, self._drop_lapsed),
        ):
            self._tasks.spawn(self._repeat(period, callback))

    async def stop(self) -> None:
        """Send the last results and give back what wasn't run."""
        await self._flush()
        await self._tasks.cancel()

    async def _repeat(self, period: float, callback: Any) -> None:
        async def attempt() -> None:
            try:
                await callback()
            except error.SeamError as failure:
                logger.info("batch work put off", extra={"cause": failure.message})

        await run_periodically(self.timer, period, attempt)

    def _count_free(self) -> int:
        """Return how many items the upstream's idle slots can take."""
        runner = self._runner
        if runner.draining or not self.upstream.healthy:
            return 0
        if runner.count_waiting(False):
            return 0
        waiting = runner.count_waiting(True) + runner.count_running(True)
        room = runner.slots - runner.count_running(False)
        return max(room * ITEMS_PER_SLOT - waiting, 0)

    async def _pull(self) -> None:
        free = self._count_free()
        target = self._mirror.fleet.upstreams.get(self.upstream.name)
        if not free or target is None or self.upstream.name in self._mirror.leaving:
            return
        model = find_model(self._mirror, target.version)
        if not model and not target.service:
            return
        sent = self.timer.read_clock()
        work = await self._client.call(
            message.Pull(self._node, self.upstream.name, model, target.service, free),
            CALL_SECONDS,
        )
        until = sent + LEASE_SECONDS
        if not work.lease or self.timer.read_clock() >= until:
            return
        holding = Holding(work, until)
        self._holdings[work.lease] = holding
        for number, line in work.items:
            self._runner.submit(ItemWork(holding, number, line, self))

    async def _beat(self) -> None:
        """Renew the leases and drop those that the leader names."""
        leases = tuple(self._holdings)
        if not leases:
            return
        sent = self.timer.read_clock()
        reply = await self._client.call(
            message.Heartbeat(self._node, leases), CALL_SECONDS
        )
        for lease in leases:
            holding = self._holdings.get(lease)
            if holding is None:
                continue
            if lease in reply.dropped:
                self._drop(lease)
            else:
                holding.until = sent + LEASE_SECONDS

    async def _drop_lapsed(self) -> None:
        now = self.timer.read_clock()
        for lease in [n for n, h in self._holdings.items() if h.until <= now]:
            self._drop(lease)

    def _drop(self, lease: int) -> None:
        """Stop all items of a lease that holds no more."""
        holding = self._holdings.pop(lease)
        for number in holding.open:
            self._runner.remove(f"item/{lease}/{number}")
        self._timeline.record("lease_dropped", holding.work.job, detail=str(lease))

    def give_back(self, holding: Holding, item: int, blamed: bool) -> None:
        """Return an item to its job with the next flush."""
        holding.open.discard(item)
        holding.returned.append(item)
        if blamed:
            holding.blamed.append(item)

    def keep(self, holding: Holding, result: Result) -> None:
        """Send a result with the next flush."""
        holding.open.discard(result.item)
        holding.results.append(result)

    async def mark_started(self, holding: Holding, item: int) -> bool:
        """Have a non-idempotent item marked before it is handed over.

        Without the mark's commit the item isn't run here.
        """
        mark = command.StartItems(holding.work.lease, (item,))
        try:
            await self._client.propose(mark, CALL_SECONDS)
        except error.SeamError:
            self.give_back(holding, item, blamed=False)
            return False
        return holding.until > self.timer.read_clock()

    async def _flush(self) -> None:
        async with self._flushing:
            for lease, holding in list(self._holdings.items()):
                await self._send_results(lease, holding)
                await self._send_returned(lease, holding)
                if not holding.open and not holding.results and not holding.returned:
                    self._holdings.pop(lease, None)

    async def _send_results(self, lease: int, holding: Holding) -> None:
        results = list(holding.results)
        if not results:
            return
        lines = b"\n".join(result.line for result in results)
        described = tuple(
            (result.item, place, result.failed) for place, result in enumerate(results)
        )
        try:
            await self._client.call(message.CompleteChunk(lease, lines, described))
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
        del holding.results[: len(results)]

    async def _send_returned(self, lease: int, holding: Holding) -> None:
        items = tuple(holding.returned)
        if not items:
            return
        now = self.timer.read_wall_clock()
        blamed = tuple(holding.blamed)
        try:
            await self._client.propose(
                command.ReturnItems(lease, items, blamed, now), CALL_SECONDS
            )
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
        del holding.returned[: len(items)]
        del holding.blamed[: len(blamed)]


def find_model(mirror: Mirror, version: str) -> str:
    """Return the model that a version serves now, or an empty string."""
    for name, model in mirror.fleet.models.items():
        if version and model.version == version:
            return name
    return ""
