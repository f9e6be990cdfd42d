"""Tests the error kinds and the answers for them."""

import unittest

from sapphireseam.core import error


class AnswerTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(error.Kind), set(error.ANSWERS))

    def test_body_has_kind_and_not_run(self):
        body = error.render_body(error.CapacityError("full"))
        self.assertEqual(body["error"]["code"], "overloaded")
        self.assertIs(body["error"]["not_run"], True)
