"""Keep named files in one data folder, durable once synced.

Blocking calls run on one thread of the disk's own, so that the event loop goes
on collecting proposals while a sync runs, and so that calls on one folder keep
their order. After the first failure the disk refuses everything: a sync that
failed may have dropped the pages it was asked to write, and a second sync on
the same handle would report success for data that is gone.
"""

import asyncio
import concurrent.futures
import fcntl
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from sapphireseam.core import error

_LOCK = "lock"
_TEMPORARY = ".new"


class Disk(Protocol):
    """Hold files by name. Every method raises `StorageError` on failure."""

    async def open(self) -> None:
        """Take the folder for this process alone."""

    async def close(self) -> None:
        """Let go of the folder."""

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file, making it first if need be."""

    async def sync(self, name: str) -> None:
        """Return once everything appended to the file is durable."""

    async def read(self, name: str) -> bytes:
        """Return the whole file."""

    async def list(self) -> Sequence[str]:
        """Return the names of all files, sorted."""

    async def replace(self, name: str, data: bytes) -> None:
        """Make the data the file's whole content, durably, or leave the old."""

    async def remove(self, name: str) -> None:
        """Remove the file, durably."""


class FileDisk:
    """Keep files in a real folder, locked against a second process."""

    def __init__(self, folder: Path | str):
        self._folder = Path(folder)
        self._thread = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self._handles: dict[str, int] = {}
        self._unlisted: set[str] = set()
        self._failure: error.StorageError | None = None
        self._lock = -1
        self._is_closed = False

    async def open(self) -> None:
        """Make the folder if it is missing and lock it."""
        await self._run(self._open)

    async def close(self) -> None:
        """Close every file and free the lock; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._thread, self._close)
        self._thread.shutdown(wait=True)

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file."""
        await self._run(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Sync the file's data, and the folder for a new file."""
        await self._run(self._sync, name)

    async def read(self, name: str) -> bytes:
        """Return the whole file."""
        return await self._run(self._read, name)

    async def list(self) -> Sequence[str]:
        """Return the names of the files, without the lock and leftovers."""
        return await self._run(self._list)

    async def replace(self, name: str, data: bytes) -> None:
        """Write beside the file, sync, rename over it, sync the folder."""
        await self._run(self._replace, name, data)

    async def remove(self, name: str) -> None:
        """Remove the file and sync the folder."""
        await self._run(self._remove, name)

    async def _run(self, work: Callable, *arguments: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._thread, self._guard, work, arguments)

    def _guard(self, work: Callable, arguments: tuple) -> Any:
        if self._failure is not None:
            raise self._failure
        try:
            return work(*arguments)
        except OSError as failure:
            place = "/".join(str(part) for part in arguments[:1]) or "folder"
            self._failure = error.StorageError(
                f"{self._folder}: {work.__name__.strip('_')} {place}: {failure}"
            )
            raise self._failure from failure

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._folder / _LOCK, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def _close(self) -> None:
        for handle in (*self._handles.values(), self._lock):
            if handle >= 0:
                os.close(handle)
        self._handles.clear()
        self._lock = -1

    def _append(self, name: str, data: bytes) -> None:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            handle = os.open(self._folder / name, flags, 0o600)
            self._handles[name] = handle
            self._unlisted.add(name)
        _write_all(handle, data)

    def _sync(self, name: str) -> None:
        os.fdatasync(self._handles[name])
        if name in self._unlisted:
            self._sync_folder()
            self._unlisted.discard(name)

    def _read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def _list(self) -> Sequence[str]:
        names = [path.name for path in self._folder.iterdir()]
        return sorted(
            name for name in names if name != _LOCK and not name.endswith(_TEMPORARY)
        )

    def _replace(self, name: str, data: bytes) -> None:
        self._forget(name)
        beside = self._folder / (name + _TEMPORARY)
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(handle, data)
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(beside, self._folder / name)
        self._sync_folder()

    def _remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(self._folder / name)
        self._sync_folder()

    def _forget(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        self._unlisted.discard(name)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
