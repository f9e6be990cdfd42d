"""Frame what goes into a file so that damage is found.

A frame is a magic number, a checksum (crc32c over length and body) and the
body's length. The log writes one frame for each synced batch and starts a
batch only once the one before it is synced. So a bad frame with a good one
behind it was synced once and is damage; a bad frame with nothing good behind
it is what a crash leaves of the last batch, and is cut. Damage inside the very
last batch looks the same as a torn write and can't be told from it.
"""

import struct
from typing import NamedTuple

import google_crc32c

from sapphireseam.core import error

MAGIC = b"\x9dSL\x01"
_HEADER = struct.Struct(">4sII")
_LENGTH = struct.Struct(">I")


class Scan(NamedTuple):
    """Hold a file's bodies, their offsets and the size of its good part."""

    bodies: list[bytes]
    offsets: list[int]
    size: int


def _compute_checksum(body: bytes) -> int:
    return google_crc32c.extend(google_crc32c.value(_LENGTH.pack(len(body))), body)


def encode(body: bytes) -> bytes:
    """Return the body in its frame."""
    return _HEADER.pack(MAGIC, _compute_checksum(body), len(body)) + body


def _decode(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at the offset, or None for a bad frame."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, checksum, length = _HEADER.unpack_from(data, offset)
    body = data[start : start + length]
    if magic != MAGIC or len(body) != length:
        return None
    return body if _compute_checksum(body) == checksum else None


def _has_frame_after(data: bytes, offset: int) -> bool:
    place = data.find(MAGIC, offset + 1)
    while place >= 0:
        if _decode(data, place) is not None:
            return True
        place = data.find(MAGIC, place + 1)
    return False


def scan(name: str, data: bytes, may_be_torn: bool) -> Scan:
    """Return the frames of a file; raise `StorageError` on damage.

    Only the last file that was written to may be torn.
    """
    result = Scan([], [], 0)
    offset = 0
    while offset < len(data):
        body = _decode(data, offset)
        if body is None:
            if may_be_torn and not _has_frame_after(data, offset):
                break
            raise error.StorageError(f"{name}: damaged record at offset {offset}")
        result.bodies.append(body)
        result.offsets.append(offset)
        offset += _HEADER.size + len(body)
    return result._replace(size=offset)


def decode_exactly(name: str, data: bytes, count: int) -> list[bytes]:
    """Return the bodies of a file that holds exactly `count` frames."""
    result = scan(name, data, may_be_torn=False)
    if len(result.bodies) != count:
        raise error.StorageError(f"{name}: damaged record at offset {result.size}")
    return result.bodies
