"""Test how a stream is split into events."""

import unittest

from hypothesis import given, strategies as st

from sapphireseam.utils import event

BODY = b"id: 0\ndata: a\n\nid: 1\ndata: b\ndata: c\n\nversion: 3\r\nid: 2\r\n\r\n"


class SplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(BODY))))
    def test_events_do_not_depend_on_chunk_boundaries(self, offsets):
        splitter = event.Splitter()
        bounds = [0, *sorted(offsets), len(BODY)]
        events = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            events += splitter.feed(BODY[start:end])
        self.assertEqual([item.number for item in events], [0, 1, 2])
        self.assertEqual([item.data for item in events], [b"a", b"b\nc", b""])
        self.assertEqual(b"".join(item.raw for item in events), BODY)
        self.assertFalse(splitter.has_incomplete_event)

    def test_an_incomplete_event_is_not_returned(self):
        splitter = event.Splitter()
        self.assertEqual(splitter.feed(b"id: 4\ndata: x\n"), [])
        self.assertTrue(splitter.has_incomplete_event)

    def test_an_id_that_is_not_a_number(self):
        for text in (b"x7", b"-7", b"7_0", b"", b"\xb2", b"9" * 5000, b"9" * 19):
            (item,) = event.Splitter().feed(b"id: %b\n\n" % text)
            self.assertEqual(item.number, -1, text)

    def test_further_blank_lines_are_no_events(self):
        events = event.Splitter().feed(b"\n\ndata: a\n\n\r\n\r\n\n\n: b\n\n")
        self.assertEqual([item.raw for item in events], [b"data: a\n\n", b": b\n\n"])
        self.assertEqual([item.is_comment for item in events], [False, True])


if __name__ == "__main__":
    unittest.main()
