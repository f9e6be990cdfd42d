"""Test how a body is cut into events."""

import unittest

from hypothesis import given, strategies as st

from sapphireseam.utils import event

BODY = b"id: 0\ndata: a\n\nid: 1\ndata: b\ndata: c\n\nversion: 3\r\nid: 2\r\n\r\n"


class SplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(BODY))))
    def test_however_it_is_cut_the_events_are_the_same(self, places):
        splitter = event.Splitter()
        cuts = [0, *sorted(places), len(BODY)]
        events = []
        for start, end in zip(cuts, cuts[1:], strict=False):
            events += splitter.feed(BODY[start:end])
        self.assertEqual([item.number for item in events], [0, 1, 2])
        self.assertEqual([item.data for item in events], [b"a", b"b\nc", b""])
        self.assertEqual(b"".join(item.raw for item in events), BODY)
        self.assertFalse(splitter.has_rest)

    def test_a_cut_event_is_not_returned(self):
        splitter = event.Splitter()
        self.assertEqual(splitter.feed(b"id: 4\ndata: x\n"), [])
        self.assertTrue(splitter.has_rest)

    def test_an_id_that_is_no_number(self):
        (item,) = event.Splitter().feed(b"id: x7\n\n")
        self.assertEqual(item.number, -1)


if __name__ == "__main__":
    unittest.main()
