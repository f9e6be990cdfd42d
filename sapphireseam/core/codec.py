"""Encodes typed tuples as bytes and decodes them, for the wire and for the log.

A message is encoded as the pair (name of its type, its fields) with msgspec. A
registry refuses a name that it doesn't list, so external bytes can't create an object
of any other type.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class Registry:
    """The message types that may be received, with their decoders.

    >>> from sapphireseam.core import command
    >>> packed = command.REGISTRY.encode(command.RemoveFile("c", "f-1"))
    >>> command.REGISTRY.decode(packed).file
    'f-1'
    """

    def __init__(self, message_types: Iterable[type]):
        self._decoders = {
            each.__name__: msgspec.msgpack.Decoder(each) for each in message_types
        }

    def encode(self, message: Any) -> bytes:
        """Return the message as bytes."""
        name = type(message).__name__
        if name not in self._decoders:
            raise ValueError(f"{name} isn't a registered message")
        return _encoder.encode((name, message))

    def decode(self, data: bytes) -> Any:
        """Return the decoded message, or raise `ValueError`."""
        name, body = _envelope_decoder.decode(data)
        decoder = self._decoders.get(name)
        if decoder is None:
            raise ValueError(f"{name[:40]!r} isn't a registered message")
        return decoder.decode(body)
