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
    return batch.read_submission(json.dumps({"requests": list(items)}).encode())


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
            tuple(ITEM | {"id": str(n)} for n in range(201)),
        ):
            with self.assertRaises(error.RequestError):
                read(*items)


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


if __name__ == "__main__":
    unittest.main()
