"""Encodes file contents in checksummed frames, so that damage is detected.

A frame is a magic number, a checksum (crc32c over length and body), the body's
length and the body. The log writes one frame for each synced batch and starts a
batch only once the previous one is synced. An invalid frame with a valid one
after it was therefore synced, and is reported as damage. An invalid frame with
no valid one after it is treated as a batch that a crash interrupted, and is cut
off. Damage inside the last batch can't be told from such a torn write.
"""

import struct
from typing import NamedTuple

import google_crc32c

from sapphireseam.core import error

MAGIC = b"\x9dSL\x01"
_HEADER = struct.Struct(">4sII")
_LENGTH = struct.Struct(">I")


class Scan(NamedTuple):
    """A file's frame bodies, their offsets and the size of its valid prefix."""

    bodies: list[bytes]
    offsets: list[int]
    size: int


def _compute_checksum(body: bytes) -> int:
    return google_crc32c.extend(google_crc32c.value(_LENGTH.pack(len(body))), body)


def encode(body: bytes) -> bytes:
    """Return the body in its frame."""
    return _HEADER.pack(MAGIC, _compute_checksum(body), len(body)) + body


def _decode(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at the offset, or None for an invalid frame."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, checksum, length = _HEADER.unpack_from(data, offset)
    body = data[start : start + length]
    if magic != MAGIC or len(body) != length:
        return None
    return body if _compute_checksum(body) == checksum else None


def _has_frame_after(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _decode(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def scan(name: str, data: bytes, may_be_torn: bool) -> Scan:
    """Return the frames of a file; raise `StorageError` on damage.

    Only the last file that was written may end in a torn write.
    """
    result = Scan([], [], 0)
    offset = 0
    while offset < len(data):
        body = _decode(data, offset)
        if body is None:
            if may_be_torn and not _has_frame_after(data, offset):
                break
            raise error.StorageError(f"{name}: damaged frame at offset {offset}")
        result.bodies.append(body)
        result.offsets.append(offset)
        offset += _HEADER.size + len(body)
    return result._replace(size=offset)


def decode_exactly(name: str, data: bytes, count: int) -> list[bytes]:
    """Return the bodies of a file that holds exactly `count` frames."""
    result = scan(name, data, may_be_torn=False)
    if len(result.bodies) != count:
        raise error.StorageError(f"{name}: damaged frame at offset {result.size}")
    return result.bodies
