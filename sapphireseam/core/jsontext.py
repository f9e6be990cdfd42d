"""Reads JSON that others wrote: callers, operators, upstreams, platforms and files.

All processes read it with the same limits, so that none refuses what another one has
accepted. The nesting is counted in the text: a parser counts it against the depth of
its own stack, which differs from caller to caller.
"""

import json
import math
import re
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

# Deepest nesting of arrays and objects.
MAX_DEPTH = 64
# Largest document, in bytes.
MAX_BYTES = 16 * 1024 * 1024
# Most digits in a row in a number, so that each integer fits into a float.
MAX_DIGITS = 300

# A string ends at its quote, or at the end of a document that is cut.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)', re.DOTALL)
_TO_ZERO = bytes.maketrans(b"123456789", b"0" * 9)
_LONG_NUMBER = b"0" * (MAX_DIGITS + 1)
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
_TOKEN = re.compile(_STRING.pattern + rb"|[\[{]+|[\]}]+", re.DOTALL)
_RUN = re.compile(rb"\[+|\]+")
_BRACKETS = b"[]{}"
_NO_BRACKETS = bytes(byte for byte in range(256) if byte not in _BRACKETS)
_TO_SQUARE = bytes.maketrans(b"{}", b"[]")


class JsonError(ValueError):
    """A document isn't JSON, or exceeds a limit.

    Its text tells the cause, with the position if there is one.
    """


def parse(data: bytes | str) -> Any:
    """Return the value of a document in UTF-8; raise `JsonError` if it can't be read.

    Numbers that a float can't hold, `NaN` and `Infinity` are refused, as are
    surrogates without their other half: such text can't be encoded again.

    >>> parse(b'{"slots": 8}')
    {'slots': 8}
    """
    encoded = _encode(data) if isinstance(data, str) else data
    _check(encoded)
    try:
        value = _DECODER.decode(encoded.decode("utf-8-sig"))
        if b"\\u" in encoded and _SURROGATE.search(encoded):
            json.dumps(value, ensure_ascii=False).encode()
    except UnicodeDecodeError as failure:
        raise JsonError(f"not UTF-8 at byte {failure.start}") from None
    except UnicodeEncodeError:
        raise JsonError("a surrogate without its other half") from None
    except JsonError:
        raise
    except ValueError as failure:
        raise JsonError(str(failure)) from None
    return value


def decode(data: bytes, decoder: msgspec.json.Decoder[T]) -> T:
    """Return the typed value of a document; raise `JsonError` if it can't be read."""
    _check(data)
    try:
        # The decoder doesn't look into what the type leaves out.
        data.decode()
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError) as failure:
        raise JsonError(str(failure)) from None


def find_closing(data: bytes, begin: int) -> int | None:
    """Return the end of the array or object at a position, or None if it has none.

    Only its brackets and strings are looked at, so it may be nested to any depth.
    """
    depth = 0
    for token in _TOKEN.finditer(data, begin):
        mark = token[0][:1]
        if mark in b"[{":
            depth += len(token[0])
        elif mark in b"]}":
            depth -= len(token[0])
            if depth <= 0:
                # The last brackets may close what is around it, too.
                return token.end() + depth
    return None


def _check(data: bytes) -> None:
    """Raise `JsonError` if a document exceeds a limit."""
    if len(data) > MAX_BYTES:
        raise JsonError(f"larger than {MAX_BYTES} bytes")
    openings = data.count(b"[") + data.count(b"{")
    # Most documents need no look at what is inside a string.
    if openings <= MAX_DEPTH and not _has_long_number(data):
        return
    rest = _STRING.sub(b"", data)
    if _is_deeper(rest.translate(_TO_SQUARE, _NO_BRACKETS), MAX_DEPTH):
        raise JsonError(f"nested deeper than {MAX_DEPTH} levels")
    if _has_long_number(rest):
        raise JsonError(f"a number of more than {MAX_DIGITS} digits")


def _is_deeper(brackets: bytes, limit: int) -> bool:
    """Return whether square brackets are nested deeper than a limit."""
    # The deepest are empty, so this takes one level of all documents.
    depth = 1
    for run in _RUN.finditer(brackets.replace(b"[]", b"")):
        size = len(run[0])
        depth += size if run[0].startswith(b"[") else -size
        if depth > limit:
            return True
    return False


def _has_long_number(data: bytes) -> bool:
    return _LONG_NUMBER in data.translate(_TO_ZERO)


def _encode(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        raise JsonError("a surrogate without its other half") from None


def _parse_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise JsonError(f"the number {text} is too large")
    return value


def _refuse_constant(name: str) -> Any:
    raise JsonError(f"{name} isn't a JSON number")


_DECODER = json.JSONDecoder(parse_float=_parse_finite, parse_constant=_refuse_constant)
