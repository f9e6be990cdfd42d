"""Stores the bytes of files and results outside the log, by their digest.

The log holds only references. A member acknowledges log entries only once every
blob that they name is synced on its own disk. So a committed reference is as durable
as the log: its bytes are on a quorum. Blobs never change.
"""

import asyncio
import contextlib
import hashlib
import os
from pathlib import Path

from sapphireseam.core import error
from sapphireseam.utils.timer import TimerService

PIECE_BYTES = 1024 * 1024
# Time after which an upload that got no further piece is dropped, in seconds.
UPLOAD_SECONDS = 60.0


class _Upload:
    """The pieces of an unfinished upload."""

    def __init__(self):
        self.data = bytearray()
        self.changed_at = 0.0


class BlobStore:
    """Stores blobs in one folder, each in a file named by its digest."""

    def __init__(self, folder: Path, timer: TimerService):
        self._folder = folder
        self._timer = timer
        self._uploads: dict[str, _Upload] = {}
        # Blobs whose files may not be durable yet.
        self._unsynced: set[str] = set()

    async def start(self) -> None:
        """Create the folder; delete what a crash left behind, and sync the rest."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            for partial in self._folder.glob("*.part"):
                partial.unlink()
            await asyncio.to_thread(self._sync_folder)
        except OSError as failure:
            text = f"can't prepare the folder of blobs: {failure}"
            raise error.StorageError(text) from None

    async def stop(self) -> None:
        """Drop unfinished uploads."""
        self._uploads.clear()

    def has(self, blob: str) -> bool:
        """Return whether this member has a blob, durably."""
        return blob not in self._unsynced and self._path(blob).exists()

    def _path(self, blob: str) -> Path:
        if not blob.isalnum():
            raise error.RequestError(f"{blob[:80]!r} isn't the digest of a blob")
        return self._folder / blob

    async def write(self, data: bytes) -> str:
        """Sync a blob to disk and return its digest."""
        blob = hashlib.sha256(data).hexdigest()
        if not self.has(blob):
            await asyncio.to_thread(self._write_file, blob, data)
        return blob

    def _write_file(self, blob: str, data: bytes) -> None:
        part = self._folder / f"{blob}.{os.urandom(4).hex()}.part"
        self._unsynced.add(blob)
        try:
            with part.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            part.replace(self._path(blob))
            self._sync_folder()
        except OSError as failure:
            # A partial file would take room until the next start.
            with contextlib.suppress(OSError):
                part.unlink(missing_ok=True)
            raise error.StorageError(f"can't store a blob: {failure}") from None
        self._unsynced.discard(blob)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    async def write_piece(
        self, upload: str, offset: int, data: bytes, last: bool
    ) -> str:
        """Add one piece to an upload; return the blob's digest after the last piece.

        Raises a `ControlError` of kind `CONFLICT` if an earlier piece is missing.
        """
        self._drop_abandoned()
        pieces = self._uploads.get(upload, _Upload())
        if offset > len(pieces.data):
            # Another leader got it, or this one has restarted since.
            text = "a piece of the upload is missing"
            raise error.ControlError(text, error.Kind.CONFLICT)
        self._uploads[upload] = pieces
        pieces.data[offset:] = data
        pieces.changed_at = self._timer.read_clock()
        if not last:
            return ""
        name = await self.write(bytes(pieces.data))
        self._uploads.pop(upload, None)
        return name

    def _drop_abandoned(self) -> None:
        limit = self._timer.read_clock() - UPLOAD_SECONDS
        for name, pieces in list(self._uploads.items()):
            if pieces.changed_at < limit:
                del self._uploads[name]

    def read(self, blob: str) -> bytes:
        """Return a blob; raise `StorageError` if it is missing or damaged."""
        try:
            data = self._path(blob).read_bytes()
        except OSError as failure:
            raise error.StorageError(f"can't read a blob: {failure}") from None
        if hashlib.sha256(data).hexdigest() != blob:
            raise error.StorageError(f"blob {blob} is damaged")
        return data

    def read_piece(self, blob: str, offset: int) -> tuple[bytes, bool]:
        """Return a piece of a blob, and whether it is the last one."""
        data = self.read(blob)
        piece = data[offset : offset + PIECE_BYTES]
        return piece, offset + len(piece) >= len(data)
