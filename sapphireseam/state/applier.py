"""Writes the log, applies committed entries and takes snapshots.

Each of the three runs in a task of its own. Proposals that arrive during a sync
are written together in one frame by the next sync (group commit).
"""

import asyncio
import logging
from collections.abc import Callable

from sapphireseam.core import error
from sapphireseam.state import message, node as nodes, store as stores

logger = logging.getLogger(__name__)

# Entries applied before the task yields to other tasks.
_APPLY_BATCH = 64

Subscriber = Callable[[int, object], None]


class Applier:
    """Run the tasks that write, apply and snapshot one member's log."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self.subscribers: list[Subscriber] = []
        # The last index up to which the state was encoded, or failed to be encoded.
        self._encoded = 0

    async def run_writes(self) -> None:
        """Sync the entries appended to the log, in batches."""
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
        """Apply committed entries in order."""
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
        """Apply an entry; on failure stop the member, as its state would diverge."""
        try:
            self._apply(entry)
        except Exception as failure:
            logger.exception("applying a log entry failed")
            text = f"applying log entry {entry.index} failed: {failure}"
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
                logger.exception("subscriber of applied commands failed")

    async def run_snapshots(self) -> None:
        """Write a snapshot whenever enough entries or bytes have been applied."""
        node = self._node
        while node.fatal is None:
            await node.changed.wait_until(self._is_snapshot_due)
            try:
                await self._write_snapshot()
            except error.SeamError:
                return

    def _is_snapshot_due(self) -> bool:
        node = self._node
        newer = node.applied - max(node.snapshot.index, self._encoded)
        is_large = node.applied_bytes >= node.options.snapshot_bytes
        is_long = newer >= node.options.snapshot_entries
        return node.fatal is not None or (newer > 0 and (is_large or is_long))

    def _encode(self, index: int) -> bytes | None:
        """Return the state machine's encoded state, or None if it can't be encoded.

        The log is then kept until the next snapshot is due. No member stops for it,
        as all of them have this state.
        """
        self._encoded = index
        self._node.applied_bytes = 0
        try:
            return self._node.machine.encode()
        except Exception:
            logger.exception("can't encode the state for a snapshot")
            return None

    async def _write_snapshot(self) -> None:
        node = self._node
        async with node.snapshot_lock:
            if not self._is_snapshot_due():
                return
            node.check_running()
            index = node.applied
            members = node.roster.read(index)
            mark = stores.Mark(index, node.log.read_term(index), members)
            data = self._encode(index)
            if data is None:
                return
            await node.wait_synced(index)
            await node.run_storage(node.store.save_snapshot(mark, data))
            node.snapshot = mark
            await node.run_storage(node.log.compact(index))
            node.load_members(index, members)
