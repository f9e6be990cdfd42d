"""Stores named files in one data folder; they are durable once synced.

Each disk runs its blocking calls on one thread. The event loop can therefore
collect proposals during a sync, and calls on one folder keep their order. After
the first failure all operations fail: a failed sync may have dropped the pages
that it had to write, and a second sync on the same handle would report success
for lost data.
"""

import asyncio
import concurrent.futures
import contextlib
import fcntl
import os
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from sapphireseam.core import error

_LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".new"


class Disk(Protocol):
    """Store files by name. Every method raises `StorageError` on failure."""

    async def open(self) -> None:
        """Lock the folder against other processes."""

    async def close(self) -> None:
        """Close all files and unlock the folder."""

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file, creating it if it is missing."""

    async def sync(self, name: str) -> None:
        """Return once everything appended to the file is durable."""

    async def read(self, name: str) -> bytes:
        """Return the whole file."""

    async def list(self) -> Sequence[str]:
        """Return the names of all files, sorted."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the file's whole content durably, or leave the old content."""

    async def remove(self, name: str) -> None:
        """Remove the file, durably."""


class FileDisk:
    """Store files in a folder of the file system, locked against other processes."""

    def __init__(self, folder: Path | str):
        self._folder = Path(folder)
        self._thread = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self._handles: dict[str, int] = {}
        # Open files whose directory entries may not be durable yet.
        self._new_files: set[str] = set()
        self._failure: error.StorageError | None = None
        self._lock = -1
        self._is_closed = False

    async def open(self) -> None:
        """Create the folder if it is missing, and lock it."""
        await self._run(self._open)

    async def close(self) -> None:
        """Close every file and release the lock; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        loop = asyncio.get_running_loop()
        closing = loop.run_in_executor(self._thread, self._close)
        self._thread.shutdown(wait=False)
        # A caller that gives up during a stall doesn't leave the folder locked.
        await asyncio.shield(closing)

    async def append(self, name: str, data: bytes) -> None:
        """Write at the end of the file."""
        await self._run(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Sync the file's data, and for a new file also the folder."""
        await self._run(self._sync, name)

    async def read(self, name: str) -> bytes:
        """Return the whole file."""
        return await self._run(self._read, name)

    async def list(self) -> Sequence[str]:
        """Return the names of the files, without lock and temporary files."""
        return await self._run(self._list)

    async def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, rename it, and sync the folder."""
        await self._run(self._replace, name, data)

    async def remove(self, name: str) -> None:
        """Remove the file and sync the folder."""
        await self._run(self._remove, name)

    async def _run(self, operation: Callable, *arguments: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._thread, self._execute, operation, arguments
        )

    def _execute(self, operation: Callable, arguments: tuple) -> Any:
        if self._failure is not None:
            raise self._failure
        try:
            return operation(*arguments)
        except OSError as failure:
            target = "/".join(str(part) for part in arguments[:1]) or "folder"
            self._failure = error.StorageError(
                f"{self._folder}: {operation.__name__.strip('_')} {target}: {failure}"
            )
            raise self._failure from failure

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        for path in self._folder.glob(f"*{_TEMPORARY_SUFFIX}"):
            path.unlink()

    def _close(self) -> None:
        for handle in (*self._handles.values(), self._lock):
            # An error of one file must not leave the folder locked.
            with contextlib.suppress(OSError):
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
            self._new_files.add(name)
        write_all(handle, data)

    def _sync(self, name: str) -> None:
        os.fdatasync(self._handles[name])
        if name in self._new_files:
            self._sync_folder()
            self._new_files.discard(name)

    def _read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def _list(self) -> Sequence[str]:
        names = [path.name for path in self._folder.iterdir()]
        return sorted(
            name
            for name in names
            if name != _LOCK_NAME and not name.endswith(_TEMPORARY_SUFFIX)
        )

    def _replace(self, name: str, data: bytes) -> None:
        self._close_file(name)
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        try:
            _write_new(temporary, data)
            os.replace(temporary, self._folder / name)
        except OSError:
            # It would take the room that the next start needs.
            with contextlib.suppress(OSError):
                temporary.unlink(missing_ok=True)
            raise
        self._sync_folder()

    def _remove(self, name: str) -> None:
        self._close_file(name)
        os.unlink(self._folder / name)
        self._sync_folder()

    def _close_file(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        self._new_files.discard(name)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def _write_new(path: Path, data: bytes) -> None:
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(handle, data)
        os.fsync(handle)
    finally:
        os.close(handle)


def write_all(handle: int, data: bytes) -> None:
    """Write all of the data to an open file, or raise `OSError`."""
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
