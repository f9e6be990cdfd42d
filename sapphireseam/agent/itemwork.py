"""Runs one leased batch item at the upstream and renders its output line."""

import json
from typing import Any, NamedTuple, Protocol

from sapphireseam.agent import engine
from sapphireseam.agent.scheduler import Completion
from sapphireseam.core import error, exchange, jsontext, message
from sapphireseam.policy import queue
from sapphireseam.utils import crash, memory
from sapphireseam.utils.timer import TimerService, wait_for

# Tokens that an item is assumed to cost in addition to those of its line.
ITEM_TOKENS = 128
# Time limit of one item at the upstream. A longer run counts as a failed attempt.
ITEM_SECONDS = 900.0
# The largest answer to an item, in bytes. A larger one is a failed attempt.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Lowest status of an error that may be the fault of the upstream, not the item.
_SERVER_ERROR = 500
_CLIENT_ERROR = 400


class Result(NamedTuple):
    """An item's output line, which is stored until it is sent."""

    item: int
    line: bytes
    failed: bool


class ItemLease:
    """Track one lease: its items, their results and its expiry time.

    An item is open until it has a result here or is returned. Later results for
    it are ignored. `served` is the version or service for which it was leased.
    """

    def __init__(self, work: message.Work, expires_at: float, served: str):
        self.work = work
        self.served = served
        self.expires_at = expires_at
        self.open_items = {number for number, _ in work.items}
        self.results: list[Result] = []
        self.returned: list[int] = []
        self.blamed: set[int] = set()
        self.not_run: set[int] = set()

    def add_result(self, result: Result) -> None:
        """Store the result of an open item."""
        if result.item in self.open_items:
            self.open_items.discard(result.item)
            self.results.append(result)

    def return_item(
        self, item: int, blamed: bool = False, not_run: bool = False
    ) -> None:
        """Return an open item to its job.

        A `blamed` item has failed an attempt. A `not_run` item did not reach the
        upstream.
        """
        if item not in self.open_items:
            return
        self.open_items.discard(item)
        self.returned.append(item)
        if blamed:
            self.blamed.add(item)
        if not_run:
            self.not_run.add(item)

    def is_empty(self) -> bool:
        """Return whether no item is left to run and no result to send."""
        return not self.open_items and not self.results and not self.returned


class ItemContext(Protocol):
    """Provide the objects that an item needs to run."""

    upstream: engine.UpstreamClient
    crash_detector: crash.CrashDetector
    timer: TimerService
    buffers: memory.MemoryBudget

    async def mark_started(self, lease: ItemLease, item: int) -> bool:
        """Record the start of a non-idempotent item; return whether it may run."""


class ItemWork:
    """Run one batch item, as a unit of work for the scheduler."""

    def __init__(self, lease: ItemLease, item: int, line: bytes, context: ItemContext):
        work = lease.work
        now = context.timer.read_clock()
        remaining = work.due - context.timer.read_wall_clock()
        cost = len(line) / 4 + ITEM_TOKENS
        self.ticket = queue.Ticket(
            f"item/{work.lease}/{item}", work.customer, True, cost, now, now + remaining
        )
        self.alone = False
        self._document = jsontext.parse(line)
        self._body = json.dumps(self._document["body"]).encode()
        # An item is never suspected of a crash.
        self.traits: tuple[str, ...] = ()
        self._lease = lease
        self._item = item
        self._context = context

    def is_preemptible(self) -> bool:
        """Return whether the item may run again after it was cancelled."""
        return self._lease.work.idempotent

    def refuse(self, failure: error.SeamError) -> None:
        """Return the item as not run."""
        self._lease.return_item(self._item, not_run=True)

    async def run(self) -> Completion:
        """Run the item at the upstream and store its output line."""
        work = self._lease.work
        cost = self.ticket.cost
        if not work.idempotent and not await self._context.mark_started(
            self._lease, self._item
        ):
            self._lease.return_item(self._item, not_run=True)
            return Completion(0.0, False)
        if self._lease.served != self._context.upstream.served:
            # The configuration has changed since the item was leased.
            self._lease.return_item(self._item, not_run=True)
            return Completion(0.0, False)
        run = crash.Run(self._context.upstream.name)
        with self._context.crash_detector.open(run) as running:
            try:
                status, data = await wait_for(
                    self._context.timer, self._exchange(), ITEM_SECONDS
                )
            except engine.UpstreamError as failure:
                await self._return_failed(failure, running)
                return Completion(cost, False)
            except TimeoutError:
                self._lease.return_item(self._item, blamed=True)
                return Completion(cost, False)
        if status >= _SERVER_ERROR and work.idempotent:
            self._lease.return_item(self._item, blamed=True)
            return Completion(cost, True)
        line = render_line(work, self._item, self._document, status, data)
        self._lease.add_result(Result(self._item, line, status >= _CLIENT_ERROR))
        return Completion((len(self._body) + len(data)) / 4, True)

    async def _exchange(self) -> tuple[int, bytes]:
        """Return the status and the body of the upstream's answer."""
        document = self._document
        answer = self._context.upstream.run(
            document["method"],
            document["url"],
            (("Content-Type", "application/json"),),
            self._body,
        )
        status = 0
        data = bytearray()
        share = self._context.buffers.open()
        try:
            async for part in answer:
                if isinstance(part, exchange.Head):
                    status = part.status
                    continue
                data += part.body
                share.resize(len(data))
                if len(data) > MAX_ANSWER_BYTES:
                    text = f"the answer has more than {MAX_ANSWER_BYTES} bytes"
                    raise engine.UpstreamError(text, False)
            return status, bytes(data)
        except memory.BudgetError as failure:
            raise engine.UpstreamError(str(failure), False) from None
        finally:
            # The traceback of an error would keep the data alive.
            data.clear()
            share.close()
            await answer.aclose()

    async def _return_failed(
        self, failure: engine.UpstreamError, running: crash.Exchange
    ) -> None:
        """Return the item after a failed exchange.

        After a crash this is not counted as a failed attempt, and the item isn't
        suspected of it either.
        """
        has_crashed = False
        if failure.broken:
            has_crashed = await running.detect_crash(self.traits)
        blamed = not failure.not_run and not has_crashed
        self._lease.return_item(self._item, blamed, failure.not_run)


def render_line(
    work: message.Work, item: int, document: dict[str, Any], status: int, data: bytes
) -> bytes:
    """Return an item's output line in OpenAI's format, without a newline."""
    try:
        body = jsontext.parse(data)
    except jsontext.JsonError:
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
