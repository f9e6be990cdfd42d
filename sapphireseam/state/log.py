"""Stores the log's entries in memory and in checksummed segment files.

New entries are first added in memory. `flush` writes them as one frame and syncs
it, so that many proposals share one sync. Segments are only appended to. An
entry with an index that the log already holds replaces that entry and all after
it, in memory and again when the segments are loaded. So no file is truncated
while it holds synced data.

Every start rewrites the valid prefix of the last segment. It may contain data
that an earlier process left in the page cache, because it did not sync the data
or the sync failed. The rewrite makes the data durable before the member
acknowledges entries that depend on it.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from sapphireseam.core import error
from sapphireseam.state import disk as disks, frame, message, option

SEGMENT_PREFIX = "log-"
_BATCH = list[message.Entry]


class _Segment(NamedTuple):
    number: int
    last: int

    @property
    def name(self) -> str:
        return f"{SEGMENT_PREFIX}{self.number:08d}"


class Log:
    """The entries after `base_index`; a snapshot has the earlier ones."""

    def __init__(self, disk: disks.Disk, options: option.Options):
        self._disk = disk
        self._options = options
        self._entries: list[message.Entry] = []
        self._segments: list[_Segment] = []
        self._segment_number = 1
        self._segment_size = 0
        self._lock = asyncio.Lock()
        # While a flush runs, the last index that it writes; truncations lower it.
        self._flush_end = 0
        self.base_index = 0
        self.base_term = 0
        self.synced = 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, synced or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def read_term(self, index: int) -> int | None:
        """Return the term at the index, or None where the log has none."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> message.Entry:
        """Return the entry at the index, which must be in memory."""
        return self._entries[index - self.base_index - 1]

    def read_batch(self, index: int, limit: int) -> list[message.Entry]:
        """Return entries from the index on: at least one, up to `limit` bytes."""
        batch = []
        size = 0
        for position in range(index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size += len(entry.data)
            if batch and size > limit:
                break
            batch.append(entry)
        return batch

    def append(self, entry: message.Entry) -> None:
        """Add the next entry, in memory only until `flush`."""
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at the index and all after it from memory."""
        del self._entries[index - self.base_index - 1 :]
        self.synced = min(self.synced, index - 1)
        self._flush_end = min(self._flush_end, index - 1)

    def find_term_start(self, index: int) -> int:
        """Return the index of the first entry with the same term as this one."""
        term = self.read_term(index)
        while index > self.base_index + 1 and self.read_term(index - 1) == term:
            index -= 1
        return index

    async def flush(self) -> None:
        """Write and sync new entries, as one frame of bounded size."""
        async with self._lock:
            if self.synced < self.last_index:
                batch = self.read_batch(self.synced + 1, self._options.batch_bytes)
                self._flush_end = batch[-1].index
                await self._write(batch)
                self.synced = self._flush_end

    async def _write(self, batch: Sequence[message.Entry]) -> None:
        if self._segment_size > self._options.segment_bytes:
            self._roll()
        data = frame.encode(msgspec.msgpack.encode(batch))
        segment = _Segment(self._segment_number, batch[-1].index)
        if self._segment_size == 0:
            self._segments.append(segment)
        last = max(segment.last, self._segments[-1].last)
        self._segments[-1] = segment._replace(last=last)
        self._segment_size += len(data)
        await self._disk.append(segment.name, data)
        await self._disk.sync(segment.name)

    def _roll(self) -> None:
        if self._segment_size > 0:
            self._segment_number += 1
            self._segment_size = 0

    async def compact(self, index: int) -> None:
        """Remove the entries that a durable snapshot at the index covers.

        The last `trailing_entries` of them stay in memory for peers that lag slightly.
        """
        async with self._lock:
            self._roll()
            self._drop_until(index - self._options.trailing_entries)
            while self._segments and self._segments[0].last <= index:
                if self._segments[0].last > self.synced:
                    break
                await self._disk.remove(self._segments[0].name)
                del self._segments[0]

    def _drop_until(self, index: int) -> None:
        if index > self.base_index:
            term = self.read_term(index)
            del self._entries[: index - self.base_index]
            self.base_index, self.base_term = index, term or 0

    async def reset(self, index: int, term: int) -> None:
        """Replace the log by a durable snapshot that came from the leader.

        Segments are removed last first, so that a crash half-way leaves the
        beginning of the old log. `load` drops these entries, because they conflict
        with the snapshot or end before it.
        """
        async with self._lock:
            self._entries = []
            self.base_index, self.base_term = index, term
            self.synced = index
            self._flush_end = index
            self._roll()
            await self._remove_segments()

    async def _remove_segments(self) -> None:
        while self._segments:
            await self._disk.remove(self._segments[-1].name)
            del self._segments[-1]

    async def load(self, index: int, term: int) -> None:
        """Load the entries after a snapshot at the index, which is 0 for none."""
        names = [
            name for name in await self._disk.list() if name.startswith(SEGMENT_PREFIX)
        ]
        entries: list[message.Entry] = []
        for position, name in enumerate(names):
            is_last = position == len(names) - 1
            self._check_number(name)
            await self._load_segment(name, is_last, index, entries)
        if entries and entries[0].index > index + 1:
            raise error.StorageError(f"{names[0]}: entries before offset 0 are missing")
        self.base_index, self.base_term = index, term
        self._entries = _select_after(entries, index, term)
        self.synced = self.last_index
        if not self._entries:
            # If these segments stayed, their old entries would conflict with the
            # snapshot at the next start, and newer ones would be dropped with them.
            await self._remove_segments()

    def _check_number(self, name: str) -> None:
        number = int(name.removeprefix(SEGMENT_PREFIX))
        if self._segments and number != self._segments[-1].number + 1:
            raise error.StorageError(f"{name}: the segment before it is missing")
        self._segment_number = number + 1

    async def _load_segment(
        self, name: str, is_last: bool, base: int, entries: list[message.Entry]
    ) -> None:
        data = await self._disk.read(name)
        scan = frame.scan(name, data, may_be_torn=is_last)
        last = 0
        for body, offset in zip(scan.bodies, scan.offsets, strict=True):
            for entry in msgspec.msgpack.decode(body, type=_BATCH):
                location = f"{name}: entry {entry.index} at offset {offset}"
                _insert(entries, entry, base, location)
                last = max(last, entry.index)
        self._segments.append(_Segment(int(name.removeprefix(SEGMENT_PREFIX)), last))
        if is_last:
            await self._disk.replace(name, data[: scan.size])


def _insert(
    entries: list[message.Entry], entry: message.Entry, base: int, location: str
) -> None:
    """Put an entry at its index and remove the entries that it replaces."""
    if not entries or entry.index == entries[-1].index + 1:
        entries.append(entry)
    elif entries[0].index <= entry.index <= entries[-1].index:
        del entries[entry.index - entries[0].index :]
        entries.append(entry)
    elif entry.index <= base + 1:
        entries[:] = [entry]
    else:
        raise error.StorageError(f"{location} can't follow entry {entries[-1].index}")


def _select_after(
    entries: list[message.Entry], index: int, term: int
) -> list[message.Entry]:
    """Return the entries after a snapshot, or none if they conflict with it."""
    if not entries or entries[-1].index <= index:
        return []
    if entries[0].index <= index:
        if entries[index - entries[0].index].term != term:
            return []
        return entries[index - entries[0].index + 1 :]
    return entries
