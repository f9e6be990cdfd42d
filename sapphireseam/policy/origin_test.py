"""Test how long the origins of streams are remembered."""

import unittest

from sapphireseam.core import error
from sapphireseam.policy import origin

FIRST, SECOND = origin.Origin("llm", "v1"), origin.Origin("llm", "v2")


class StreamOriginsTest(unittest.TestCase):
    def setUp(self):
        self.origins = origin.StreamOrigins()

    def test_an_attempt_that_began_again_elsewhere_has_its_newest_origin(self):
        self.origins.record("a", FIRST, 0.0)
        self.origins.record("a", SECOND, 1.0)
        self.assertEqual(self.origins.find("a", 2.0), SECOND)

    def test_a_stream_is_forgotten_unless_it_is_resumed(self):
        self.origins.record("a", FIRST, 0.0)
        self.origins.record("b", FIRST, 0.0)
        self.assertEqual(self.origins.find("a", origin.MEMORY_SECONDS - 1.0), FIRST)
        later = origin.MEMORY_SECONDS + 1.0
        self.assertIsNone(self.origins.find("b", later))
        self.assertEqual(self.origins.list(later), (("a", FIRST),))

    def test_an_unknown_stream_and_one_of_another_service_are_refused(self):
        self.origins.record("a", FIRST, 0.0)
        self.assertEqual(self.origins.require("a", ("llm",), 0.0), FIRST)
        for attempt, services in (("a", ("other",)), ("b", ("llm",))):
            with self.assertRaises(error.CapacityError) as caught:
                self.origins.require(attempt, services, 0.0)
            self.assertTrue(caught.exception.not_run)


if __name__ == "__main__":
    unittest.main()
