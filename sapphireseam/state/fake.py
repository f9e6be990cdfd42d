"""Simulates a disk for tests, with the faults of real disks.

A crash keeps the data for which a sync has returned. Of the data appended since,
any prefix may survive, and its last byte may be garbled. A failed sync may have
dropped the data that it had to write, and a later sync doesn't restore it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from sapphireseam.core import error


async def _pause() -> None:
    """Let other tasks run, as they do while a real disk's thread works."""
    await asyncio.sleep(0)


class _File:
    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)
        self.durable_size = len(data)
        # A crash may remove a new file that was never synced.
        self.is_name_durable = True
        # Whether a failed sync has dropped the unsynced data.
        self.has_lost_data = False


class FakeDisk:
    """Store files in memory; `crash` returns the disk as a restart would find it.

    `pause` is awaited before each operation takes effect.
    """

    def __init__(
        self,
        pause: Callable[[], Awaitable[None]] = _pause,
        files: dict[str, _File] | None = None,
    ):
        self._files = files if files is not None else {}
        self.pause = pause
        self._failure: error.StorageError | None = None
        self._is_stopped = False
        self.is_full = False
        self.fails_sync = False
        self.syncs = 0

    def crash(self, rng: random.Random | None = None) -> "FakeDisk":
        """Stop this disk and return a new one with the surviving data.

        Without `rng` all unsynced data is lost.
        """
        self._is_stopped = True
        survivors = {}
        for name, file in self._files.items():
            data = self._draw_surviving_data(file, rng)
            if data or file.is_name_durable:
                survivors[name] = _File(data)
        return FakeDisk(self.pause, survivors)

    @staticmethod
    def _draw_surviving_data(file: _File, rng: random.Random | None) -> bytes:
        tail = bytes(file.data[file.durable_size :])
        if rng is None or file.has_lost_data or not tail:
            return bytes(file.data[: file.durable_size])
        tail = tail[: rng.randint(0, len(tail))]
        if tail and rng.random() < 0.5:
            tail = tail[:-1] + bytes([tail[-1] ^ 0x55])
        return bytes(file.data[: file.durable_size]) + tail

    def reopen(self) -> "FakeDisk":
        """Stop this disk and return a new one with the page cache intact."""
        self._is_stopped = True
        return FakeDisk(self.pause, self._files)

    @property
    def has_failed(self) -> bool:
        """Return whether an operation has failed; all later ones fail too."""
        return self._failure is not None

    def corrupt(self, name: str, offset: int) -> None:
        """Invert one byte of a file."""
        self._files[name].data[offset] ^= 0xFF

    def measure(self, name: str) -> int:
        """Return a file's size in bytes."""
        return len(self._files[name].data)

    async def open(self) -> None:
        """Open the disk."""
        await self._begin_operation()

    async def close(self) -> None:
        """Do nothing."""

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file, half of it if the disk is full."""
        await self._begin_operation()
        if name not in self._files:
            self._files[name] = _File()
            self._files[name].is_name_durable = False
        file = self._files[name]
        if self.is_full:
            file.data += data[: len(data) // 2]
            self._fail(f"append {name}: no space left")
        file.data += data

    async def sync(self, name: str) -> None:
        """Make the file durable, or fail and drop the unsynced data."""
        await self._begin_operation()
        file = self._files[name]
        if self.fails_sync:
            file.has_lost_data = True
            self._fail(f"sync {name}: input/output error")
        if not file.has_lost_data:
            file.durable_size = len(file.data)
            file.is_name_durable = True
        self.syncs += 1

    async def read(self, name: str) -> bytes:
        """Return the whole file."""
        await self._begin_operation()
        return bytes(self._files[name].data)

    async def list(self) -> Sequence[str]:
        """Return the names of all files, sorted."""
        await self._begin_operation()
        return sorted(self._files)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole file durably, or fail and keep the old one."""
        await self._begin_operation()
        if self.is_full or self.fails_sync:
            self._fail(f"replace {name}: failed")
        self._files[name] = _File(data)
        self.syncs += 1

    async def remove(self, name: str) -> None:
        """Remove the file."""
        await self._begin_operation()
        del self._files[name]

    async def _begin_operation(self) -> None:
        await self.pause()
        if self._is_stopped:
            await asyncio.get_running_loop().create_future()
        if self._failure is not None:
            raise self._failure

    def _fail(self, message: str) -> None:
        self._failure = error.StorageError(message)
        raise self._failure
