"""Turn typed tuples into bytes and back, for the wire and for the log.

A message travels as the pair (name of its type, its fields), packed by
msgspec. A registry is closed: a name that it doesn't list is refused, so that
nothing but the project's own types is ever built from foreign bytes.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class Registry:
    """Know the message types that may arrive and how to decode each.

    >>> from sapphireseam.core import command
    >>> packed = command.REGISTRY.encode(command.RemoveFile("c", "f-1"))
    >>> command.REGISTRY.decode(packed).file
    'f-1'
    """

    def __init__(self, kinds: Iterable[type]):
        self._decoders = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in kinds
        }

    def encode(self, message: Any) -> bytes:
        """Return the message as bytes."""
        name = type(message).__name__
        if name not in self._decoders:
            raise ValueError(f"{name} isn't a registered message")
        return _encoder.encode((name, message))

    def decode(self, data: bytes) -> Any:
        """Return the message in the bytes, or raise `ValueError`."""
        name, body = _envelope_decoder.decode(data)
        decoder = self._decoders.get(name)
        if decoder is None:
            raise ValueError(f"{name[:40]!r} isn't a registered message")
        return decoder.decode(body)
