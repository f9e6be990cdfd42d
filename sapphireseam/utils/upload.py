"""Uploads blobs to the control VMs and reads them back in pieces."""

import secrets

from sapphireseam.core import message
from sapphireseam.utils.client import ControlClient

PIECE_BYTES = 1024 * 1024


async def write(client: ControlClient, data: bytes) -> str:
    """Store bytes on the leader's disk and return their digest.

    The blob becomes durable on a quorum once a command that refers to it commits.
    """
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
