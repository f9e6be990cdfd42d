"""Tests of the reader of JSON."""

import json
import sys
import unittest

import msgspec
from hypothesis import given, strategies as st

from sapphireseam.core import jsontext

DECODER = msgspec.json.Decoder(dict)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(alphabet='[]{}"\\,a\n'),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def nest(depth: int, opening: bytes = b'{"a":', closing: bytes = b"}") -> bytes:
    return opening * depth + b"1" + closing * depth


def call_deep(frames: int, function, *arguments):
    """Call a function from a stack that is deeper by a number of frames."""
    if not frames:
        return function(*arguments)
    return call_deep(frames - 1, function, *arguments)


class JsonTextTest(unittest.TestCase):
    def check_refused(self, data: bytes | str, cause: str) -> None:
        with self.assertRaisesRegex(jsontext.JsonError, cause):
            jsontext.parse(data)

    @given(VALUES)
    def test_values_are_read_as_they_were_written(self, value):
        self.assertEqual(jsontext.parse(json.dumps(value)), value)
        text = json.dumps(value, ensure_ascii=False)
        self.assertEqual(jsontext.parse(text.encode()), value)

    def test_the_deepest_document_is_the_same_at_each_depth_of_the_stack(self):
        deepest = nest(jsontext.MAX_DEPTH)
        too_deep = nest(jsontext.MAX_DEPTH + 1)
        for frames in (0, sys.getrecursionlimit() // 2):
            call_deep(frames, jsontext.parse, deepest)
            call_deep(frames, jsontext.decode, deepest, DECODER)
            with self.assertRaises(jsontext.JsonError):
                call_deep(frames, jsontext.parse, too_deep)
            with self.assertRaises(jsontext.JsonError):
                call_deep(frames, jsontext.decode, too_deep, DECODER)

    def test_brackets_in_strings_are_no_levels(self):
        text = '["' + '[{\\"\\\\' * 1000 + '"]'
        self.assertEqual(jsontext.parse(text), ['[{"\\' * 1000])

    def test_neighbours_are_no_levels(self):
        self.assertEqual(jsontext.parse(b"[" + b"[[]]," * 999 + b"[]]")[0], [[]])

    def test_deep_documents_that_do_not_end_are_refused(self):
        for opening in (b"[", b'{"a":', b'[{"a":'):
            self.check_refused(opening * 200_000, "nested")
            self.check_refused(nest(200_000, opening, b"]"), "nested")

    def test_a_document_over_the_limit_is_refused(self):
        self.check_refused(b" " * jsontext.MAX_BYTES + b"1", "larger")

    def test_numbers_that_no_float_can_hold_are_refused(self):
        self.assertEqual(jsontext.parse(b'["' + b"1" * 5000 + b'"]'), ["1" * 5000])
        self.check_refused(b"1" * 5000, "digits")
        for text in ("1e400", "-1E+999", "NaN", "Infinity", "-Infinity"):
            self.check_refused(f"[{text}]", "number")

    def test_text_that_cannot_be_encoded_again_is_refused(self):
        self.check_refused(b'"\xff"', "UTF-8 at byte 1")
        self.check_refused('"\ud800"', "surrogate")
        self.check_refused(b'{"\\ud800": 1}', "surrogate")
        self.check_refused(b'"\\udc00\\ud800"', "surrogate")
        self.assertEqual(
            jsontext.parse(b'"\\ud83d\\ude00 \\\\ud800"'), "\U0001f600 \\ud800"
        )

    def test_a_typed_document_has_the_same_limits(self):
        self.assertEqual(jsontext.decode(b'{"a": [1]}', DECODER), {"a": [1]})
        for data in (
            b"[]",
            b'{"a": "\xff"}',
            b'{"a": "\\ud800"}',
            b'{"a": 1, "\xff": 1}',
            b'{"a": 1e400}',
            b'{"a": ' + b"1" * 5000 + b"}",
            nest(200_000),
        ):
            with self.assertRaises(jsontext.JsonError, msg=data[:80]):
                jsontext.decode(data, DECODER)
