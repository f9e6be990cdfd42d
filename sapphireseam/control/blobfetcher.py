"""Fetches the blobs that log entries name before the entries are acknowledged.

This makes blobs as durable as the log: every quorum that holds an entry also holds
the blobs that it names. A learner doesn't count toward a quorum until it has every
blob that the state refers to.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence

import msgspec

from sapphireseam.control import blob, record
from sapphireseam.core import command, error, message

# Timeout for one piece of a blob.
FETCH_SECONDS = 10.0

Fetch = Callable[[str, message.ReadBlob, float], Awaitable[message.Piece]]

_decoder = msgspec.msgpack.Decoder(record.State)


def list_command_blobs(data: bytes) -> list[str]:
    """Return the blobs that one command refers to."""
    name = getattr(command.REGISTRY.decode(data), "blob", "")
    return [name] if name else []


def list_state_blobs(state: record.State) -> set[str]:
    """Return the blobs that the state refers to."""
    blobs = {file.blob for file in state.files.values()}
    blobs.update(job.blob for job in state.jobs.values())
    for chunks in state.chunks.values():
        blobs.update(chunk.blob for chunk in chunks)
    blobs.update(claim.blob for claim in state.claims.values())
    blobs.discard("")
    return blobs


class PeerBlobFetcher:
    """Fetches the blobs that this member doesn't have from another member."""

    def __init__(self, store: blob.BlobStore, fetch: Fetch):
        self._store = store
        self._fetch = fetch

    async def prepare(self, commands: Sequence[bytes], source: str) -> None:
        """Fetch the missing blobs that the commands name; raise if a fetch fails."""
        for data in commands:
            await self._fetch_missing(list_command_blobs(data), source)

    async def prepare_snapshot(self, data: bytes, source: str) -> None:
        """Fetch the missing blobs that a snapshot names."""
        await self._fetch_missing(list_state_blobs(_decoder.decode(data)), source)

    async def _fetch_missing(self, blobs: Iterable[str], source: str) -> None:
        for name in blobs:
            if not self._store.has(name):
                await self._fetch_blob(name, source)

    async def _fetch_blob(self, name: str, source: str) -> None:
        data = bytearray()
        last = False
        while not last:
            request = message.ReadBlob(name, len(data))
            piece = await self._fetch(source, request, FETCH_SECONDS)
            data += piece.data
            last = piece.last
        if await self._store.write(bytes(data)) != name:
            raise error.StorageError(
                f"member {source} sent other bytes for blob {name}"
            )
