"""Test how batch jobs are parsed and their results rendered."""

import json
import unittest

from sapphireseam.core import error, message
from sapphireseam.platform import batch

ITEM = {
    "id": "e5",
    "path": "/p/3",
    "headers": {"X-Model": "m", "Authorization": "Token k"},
    "body": "q83vEjRWeJA=",
    "tokens": 940,
}


def read(*items):
    return batch.read_submission(json.dumps({"requests": list(items)}).encode(), 1024)


class SubmissionTest(unittest.TestCase):
    def test_an_item_is_decoded(self):
        (item,) = read(ITEM)
        self.assertEqual(item.body, bytes.fromhex("abcdef1234567890"))
        self.assertEqual((item.target, item.tokens), ("/p/3", 940))
        self.assertEqual(item.headers, (("X-Model", "m"),))

    def test_invalid_submissions_are_refused(self):
        for items in (
            (),
            (ITEM, ITEM),
            (ITEM | {"body": "*"},),
            (ITEM | {"tokens": "many"},),
            (ITEM | {"tokens": -1},),
            (ITEM | {"tokens": 2**64},),
            tuple(ITEM | {"id": str(n)} for n in range(201)),
        ):
            with self.assertRaises(error.RequestError):
                read(*items)

    def test_an_item_that_no_replica_can_be_sent_is_refused(self):
        for odd in (
            *({"id": text} for text in ("", "a\nb", " a", "\u00e9", "a" * 256)),
            *({"path": text} for text in ("", "p", "@h/p", "/a b", "/\n", "/\u00e9")),
            *({"headers": {name: "a"}} for name in ("", "X A:", "X\nB", "X-\u00e9")),
            *({"headers": {"X": text}} for text in ("a\r\nB: c", "\x00", "a" * 2000)),
        ):
            with self.assertRaises(error.RequestError, msg=odd):
                read(ITEM | odd)

    def test_a_submission_that_cannot_be_read_is_refused(self):
        item = json.dumps(ITEM).encode()
        for odd in (
            b"[" * 200_000,
            b'{"requests":[%b],"a":%b}' % (item, b"[" * 200_000 + b"]" * 200_000),
            b'{"requests":[%b],"a":%b}' % (item, b"9" * 5000),
            b'{"requests":[%b],"a":"\xff"}' % item,
        ):
            with self.assertRaises(error.RequestError, msg=odd[:60]):
                batch.read_submission(odd, 1024)


class PageTest(unittest.TestCase):
    def test_next_is_the_position_after_the_page(self):
        view = message.LotView(40, (("a", False, b"x\ny"), ("b", True, b"")))
        page = json.loads(batch.render_page(view, 12))
        self.assertEqual((page["total"], page["next"]), (40, 14))
        self.assertEqual(
            page["results"],
            [
                {"id": "a", "state": "completed", "output": "x\ny"},
                {"id": "b", "state": "dead_letter", "output": ""},
            ],
        )

    def test_output_that_is_not_utf_8_costs_no_other_result(self):
        view = message.LotView(2, (("a", False, b"x"), ("b", False, b"\xff")))
        results = json.loads(batch.render_page(view, 0))["results"]
        self.assertEqual([each["output"] for each in results], ["x", "\ufffd"])


if __name__ == "__main__":
    unittest.main()
