"""Write the log, apply what is committed, and bound it by snapshots.

Three tasks of one member. Proposals that arrive while a sync runs are written
by the next one, all in one frame; that is the group commit.
"""

import asyncio
import logging
from collections.abc import Callable

from sapphireseam.core import error
from sapphireseam.state import message, node as nodes, store as stores

logger = logging.getLogger(__name__)

# How many entries are applied before other tasks get their turn.
_APPLY_BATCH = 64

Subscriber = Callable[[int, object], None]


class Applier:
    """Move entries from memory to disk, to the machine, to a snapshot."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self.subscribers: list[Subscriber] = []

    async def run_writes(self) -> None:
        """Sync what joined the log, many entries at once."""
        node = self._node
        while node.fatal is None:
            await node.log_grew.wait_until(
                lambda: node.fatal or node.log.synced < node.log.last_index
            )
            try:
                await node.run_storage(node.log.flush())
            except error.StorageError:
                return
            node.advance_commit()
            node.changed.notify()

    async def run_applies(self) -> None:
        """Apply what is committed, in order."""
        node = self._node
        while node.fatal is None:
            await node.commit_grew.wait_until(
                lambda: node.fatal or node.commit > node.applied
            )
            last = min(node.commit, node.applied + _APPLY_BATCH)
            while node.fatal is None and node.applied < last:
                self._apply_or_fail(node.log.get(node.applied + 1))
            node.changed.notify()
            await asyncio.sleep(0)

    def _apply_or_fail(self, entry: message.Entry) -> None:
        """Stop the member rather than go on with a state of its own."""
        try:
            self._apply(entry)
        except Exception as failure:
            logger.exception("an entry can't be applied")
            text = f"entry {entry.index} can't be applied: {failure}"
            self._node.fail(error.StorageError(text))

    def _apply(self, entry: message.Entry) -> None:
        node = self._node
        result = None
        if entry.kind == message.COMMAND:
            result = node.machine.apply(entry.index, entry.data)
        node.applied = entry.index
        node.applied_bytes += len(entry.data)
        node.resolve_proposal(entry.index, result)
        if entry.kind == message.COMMAND:
            self._call_subscribers(entry.index, result)

    def _call_subscribers(self, index: int, result: object) -> None:
        for subscriber in self.subscribers:
            try:
                subscriber(index, result)
            except Exception:
                logger.exception("a subscriber failed")

    async def run_snapshots(self) -> None:
        """Write a snapshot whenever enough entries were applied."""
        node = self._node
        while node.fatal is None:
            await node.changed.wait_until(self._is_snapshot_due)
            try:
                await self._write_snapshot()
            except error.SeamError:
                return

    def _is_snapshot_due(self) -> bool:
        node = self._node
        newer = node.applied - node.snapshot.index
        is_large = node.applied_bytes >= node.options.snapshot_bytes
        is_long = newer >= node.options.snapshot_entries
        return node.fatal is not None or (newer > 0 and (is_large or is_long))

    async def _write_snapshot(self) -> None:
        node = self._node
        async with node.snapshot_lock:
            if not self._is_snapshot_due():
                return
            node.check_running()
            index = node.applied
            members = node.roster.read(index)
            mark = stores.Mark(index, node.log.read_term(index), members)
            data = node.machine.encode()
            node.applied_bytes = 0
            await node.wait_synced(index)
            await node.run_storage(node.store.save_snapshot(mark, data))
            node.snapshot = mark
            await node.run_storage(node.log.compact(index))
            node.load_members(index, members)
