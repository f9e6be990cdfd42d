"""Test the closed list of error kinds."""

import unittest

from sapphireseam.core import error


class AnswerTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(error.Kind), set(error.ANSWERS))

    def test_body_carries_kind_and_promise(self):
        body = error.render_body(error.CapacityError("full"))
        self.assertEqual(body["error"]["code"], "overloaded")
        self.assertIs(body["error"]["not_run"], True)
