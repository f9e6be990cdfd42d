"""Uploads blobs to the control VMs and reads them back in pieces."""

import secrets

from sapphireseam.core import error, message
from sapphireseam.utils.client import ControlClient

PIECE_BYTES = 1024 * 1024
# How often an upload is begun.
MAX_TRIES = 5


async def write(client: ControlClient, data: bytes) -> str:
    """Store bytes on the leader's disk and return their digest.

    The blob becomes durable on a quorum once a command that refers to it commits. If
    another leader lacks the first pieces, the upload begins again.
    """
    for _ in range(MAX_TRIES):
        try:
            return await _write_pieces(client, data)
        except error.SeamError as failure:
            if failure.kind is not error.Kind.CONFLICT:
                raise
    raise error.ControlError("each attempt of an upload lost its first pieces")


async def _write_pieces(client: ControlClient, data: bytes) -> str:
    upload_id = secrets.token_hex(16)
    offset = 0
    while True:
        piece = data[offset : offset + PIECE_BYTES]
        last = offset + len(piece) >= len(data)
        request = message.WriteBlob(upload_id, offset, piece, last)
        reply = await client.call(request)
        if last:
            return reply.blob
        offset += len(piece)


async def read(client: ControlClient, blob: str) -> bytes:
    """Return a stored blob."""
    data = bytearray()
    while True:
        piece = await client.call(message.ReadBlob(blob, len(data)))
        data += piece.data
        if piece.last:
            return bytes(data)
