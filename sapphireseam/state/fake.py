"""Stand in for a disk in tests, with the faults that real disks have.

What was appended is lost at a crash unless a sync returned; of the rest any
beginning may survive, its last bytes garbled. A sync that failed may have
dropped what it was asked to write, and a later one doesn't bring it back.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from sapphireseam.core import error


async def _pause() -> None:
    """Give other tasks their turn, as a real disk's thread would."""
    await asyncio.sleep(0)


class _File:
    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)
        self.durable = len(data)
        # A file that is new and was never synced may be gone as a whole.
        self.is_listed = True
        self.is_dropped = False


class FakeDisk:
    """Hold files in memory; `crash` returns what a restart would find.

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
        self._is_dead = False
        self.is_full = False
        self.fails_sync = False
        self.syncs = 0

    def crash(self, rng: random.Random | None = None) -> "FakeDisk":
        """Stop this disk for good and return one with what has survived.

        Without `rng` all that wasn't synced is lost.
        """
        self._is_dead = True
        survivors = {}
        for name, file in self._files.items():
            data = self._cut(file, rng)
            if data or file.is_listed:
                survivors[name] = _File(data)
        return FakeDisk(self.pause, survivors)

    @staticmethod
    def _cut(file: _File, rng: random.Random | None) -> bytes:
        tail = bytes(file.data[file.durable :])
        if rng is None or file.is_dropped or not tail:
            return bytes(file.data[: file.durable])
        tail = tail[: rng.randint(0, len(tail))]
        if tail and rng.random() < 0.5:
            tail = tail[:-1] + bytes([tail[-1] ^ 0x55])
        return bytes(file.data[: file.durable]) + tail

    def reopen(self) -> "FakeDisk":
        """Stop this disk and return one with all the page cache still held."""
        self._is_dead = True
        return FakeDisk(self.pause, self._files)

    @property
    def has_failed(self) -> bool:
        """Say whether an operation has failed; all later ones do."""
        return self._failure is not None

    def corrupt(self, name: str, offset: int) -> None:
        """Flip a byte of a file."""
        self._files[name].data[offset] ^= 0xFF

    def measure(self, name: str) -> int:
        """Return a file's size in bytes."""
        return len(self._files[name].data)

    async def open(self) -> None:
        """Take the folder."""
        await self._enter()

    async def close(self) -> None:
        """Let go of the folder."""

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file, half of it if the disk is full."""
        await self._enter()
        if name not in self._files:
            self._files[name] = _File()
            self._files[name].is_listed = False
        file = self._files[name]
        if self.is_full:
            file.data += data[: len(data) // 2]
            self._fail(f"append {name}: no space left")
        file.data += data

    async def sync(self, name: str) -> None:
        """Make the file durable, or fail and drop what wasn't."""
        await self._enter()
        file = self._files[name]
        if self.fails_sync:
            file.is_dropped = True
            self._fail(f"sync {name}: input/output error")
        if not file.is_dropped:
            file.durable = len(file.data)
            file.is_listed = True
        self.syncs += 1

    async def read(self, name: str) -> bytes:
        """Return the whole file."""
        await self._enter()
        return bytes(self._files[name].data)

    async def list(self) -> Sequence[str]:
        """Return the names of all files, sorted."""
        await self._enter()
        return sorted(self._files)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the file as a whole, or leave the old one."""
        await self._enter()
        if self.is_full or self.fails_sync:
            self._fail(f"replace {name}: failed")
        self._files[name] = _File(data)
        self.syncs += 1

    async def remove(self, name: str) -> None:
        """Remove the file."""
        await self._enter()
        del self._files[name]

    async def _enter(self) -> None:
        await self.pause()
        if self._is_dead:
            await asyncio.get_running_loop().create_future()
        if self._failure is not None:
            raise self._failure

    def _fail(self, message: str) -> None:
        self._failure = error.StorageError(message)
        raise self._failure
