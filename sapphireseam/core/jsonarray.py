"""Splits an array whose elements are written by others, and may be damaged.

An element that exceeds a limit of `jsontext`, or isn't JSON, doesn't cost the others.
Brackets and quotes of an element that isn't JSON say nothing of its end. It ends before
the next object that can be read whole and is itself followed by a comma or a bracket.
"""

import json
import re
from typing import Any, NamedTuple

from sapphireseam.core import jsontext

# Most objects that are tried to find the ends of damaged elements, and most brackets to
# find the end of an array.
MAX_TRIES = 500
MAX_ENDS = 100

# Finds the end of a value, also of one with numbers or strings that are refused later.
_DECODER = json.JSONDecoder(parse_int=str, parse_float=str, strict=False)
_SPACE = re.compile(r"[ \t\r\n]*")
_FOLLOWED = re.compile(r"[ \t\r\n]*[,\]]")
_NEXT_OBJECT = re.compile(r",[ \t\r\n]*(?=\{)")


class Split(NamedTuple):
    """A document with the array left empty, and the elements of the array, unread."""

    document: Any
    elements: list[bytes]


def split_member(data: bytes, name: str) -> Split:
    """Split the array that is a member of a document.

    Raises `JsonError` if there is no such array, or the rest can't be read.

    >>> split_member(b'{"a": [1, {"b": [2}, {"c": 3}], "d": 4}', "a")
    Split(document={'a': [], 'd': 4}, elements=[b'1', b'{"b": [2}', b'{"c": 3}'])
    """
    return _Splitter(data, name).split()


class _Splitter:
    """Goes through the elements of one array."""

    def __init__(self, data: bytes, name: str):
        # Each byte is a character, so that their positions are the same.
        self._text = data.decode("latin-1")
        self._data = data
        opening = re.search(rf'"{name}"\s*:\s*\[', self._text)
        if opening is None:
            raise jsontext.JsonError(f"there is no array {name!r}")
        self._start = opening.end()
        self._tries = 0

    def split(self) -> Split:
        """Return the parts of the document."""
        return self._split_whole() or self._split_damaged()

    def _split_whole(self) -> Split | None:
        """Return the parts of the document, or None if an element is damaged."""
        elements: list[bytes] = []
        begin = mark = self._skip_space(self._start)
        while self._text[mark : mark + 1] != "]":
            if (end := self._find_end(begin)) is None:
                return None
            elements.append(self._data[begin:end])
            mark = self._skip_space(end)
            begin = self._skip_space(mark + 1)
        document = self._read_rest(mark)
        return Split(document, elements) if document is not None else None

    def _split_damaged(self) -> Split:
        closing, document = self._find_rest()
        # No element goes on after the end of the array.
        self._text = self._text[: closing + 1]
        elements: list[bytes] = []
        begin = self._skip_space(self._start)
        while begin < closing:
            end = self._find_end(begin)
            if end is not None:
                following = self._skip_space(self._skip_space(end) + 1)
            else:
                end, following = self._find_next_object(begin) or (closing, closing)
            elements.append(self._data[begin:end].strip())
            begin = following
        return Split(document, elements)

    def _skip_space(self, position: int) -> int:
        match = _SPACE.match(self._text, position)
        return match.end() if match else position

    def _find_end(self, begin: int) -> int | None:
        """Return the end of the element at a position, or None if it isn't JSON."""
        try:
            return self._decode(begin)
        except RecursionError:
            end = jsontext.find_closing(self._data, begin)
            is_followed = end is not None and _FOLLOWED.match(self._text, end)
            return end if is_followed else None

    def _decode(self, begin: int) -> int | None:
        try:
            _, end = _DECODER.raw_decode(self._text, begin)
        except ValueError:
            return None
        return end if _FOLLOWED.match(self._text, end) else None

    def _find_next_object(self, begin: int) -> tuple[int, int] | None:
        """Return where the comma before the next readable object and this begin."""
        for comma in _NEXT_OBJECT.finditer(self._text, begin):
            self._tries += 1
            if self._tries > MAX_TRIES:
                raise jsontext.JsonError("the array is damaged in too many places")
            try:
                if self._decode(comma.end()) is not None:
                    return comma.span()
            except RecursionError:
                continue
        return None

    def _find_rest(self) -> tuple[int, Any]:
        """Return the last end of the array that leaves a document, and the document."""
        end = len(self._text)
        for _ in range(MAX_ENDS):
            end = self._text.rfind("]", self._start, end)
            if end < 0:
                break
            if (document := self._read_rest(end)) is not None:
                return end, document
        raise jsontext.JsonError("the array has no end")

    def _read_rest(self, end: int) -> Any:
        """Return the document if the array ends at a position, or None."""
        if not self._text.startswith("]", end):
            return None
        try:
            return jsontext.parse(self._data[: self._start] + self._data[end:])
        except jsontext.JsonError:
            return None
