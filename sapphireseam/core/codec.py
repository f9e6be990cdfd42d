"""Encodes typed tuples as bytes and decodes them, for the wire and for the log.

A message is encoded as the pair (name of its type, its fields) with msgspec. A
registry refuses a name that it doesn't list, so external bytes can't create an object
of any other type.

Large data is compressed where it is sent to many processes, because the links between
failure domains are dear and those of small VMs slow. Neither JSON objects nor encoded
messages begin with the byte that begins compressed data, so decoders accept both.
"""

import zlib
from collections.abc import Iterable
from typing import Any

import msgspec

_encoder = msgspec.msgpack.Encoder()
# Smaller data isn't compressed.
COMPRESSED_BYTES = 4096
# The largest data that is compressed or decompressed, in bytes, so that a broken member
# can't fill the memory.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# The first byte of compressed data.
_MARK = 0x78
_FASTEST_LEVEL = 1

_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def compress(data: bytes) -> bytes:
    """Return large data compressed, and other data as it is."""
    if len(data) < COMPRESSED_BYTES:
        return data
    compressed = zlib.compress(data, _FASTEST_LEVEL)
    return compressed if len(compressed) < len(data) else data


def decompress(data: bytes) -> bytes:
    """Return the data that was given to `compress`, or raise `ValueError`.

    >>> decompress(compress(b"{}")), decompress(compress(b"{}" * 9999)) == b"{}" * 9999
    (b'{}', True)
    """
    if not data or data[0] != _MARK:
        return data
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as failure:
        raise ValueError(f"damaged compressed data: {failure}") from None
    if not decompressor.eof:
        raise ValueError("compressed data is too large or cut off")
    return whole


def replace_surrogates(text: str) -> str:
    r"""Return a text that a message can hold, with U+FFFD for bytes that aren't UTF-8.

    The HTTP library reads such bytes as surrogates.

    >>> replace_surrogates("caf\xe9 \udce9") == "caf\xe9 \ufffd"
    True
    """
    if text.isascii():
        return text
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")


class Registry:
    """The message types that may be received, with their decoders.

    With `compresses`, large messages are compressed.

    >>> from sapphireseam.core import command
    >>> packed = command.REGISTRY.encode(command.RemoveFile("c", "f-1"))
    >>> command.REGISTRY.decode(packed).file
    'f-1'
    """

    def __init__(self, message_types: Iterable[type], compresses: bool = False):
        self._compresses = compresses
        self._decoders = {
            each.__name__: msgspec.msgpack.Decoder(each) for each in message_types
        }

    def encode(self, message: Any) -> bytes:
        """Return the message as bytes; raise `ValueError` if none could decode it."""
        name = type(message).__name__
        if name not in self._decoders:
            raise ValueError(f"{name} isn't a registered message")
        data = _encoder.encode((name, message))
        if not self._compresses:
            return data
        if len(data) > MAX_DECOMPRESSED_BYTES:
            raise ValueError(f"{name} has {len(data)} bytes, too many to be read again")
        return compress(data)

    def decode(self, data: bytes) -> Any:
        """Return the decoded message, or raise `ValueError`."""
        name, body = _envelope_decoder.decode(decompress(data))
        decoder = self._decoders.get(name)
        if decoder is None:
            raise ValueError(f"{name[:40]!r} isn't a registered message")
        return decoder.decode(body)
