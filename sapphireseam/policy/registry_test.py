"""Test that names in the configuration select implementations."""

import unittest

from sapphireseam.policy import queue, registry


class RegistryTest(unittest.TestCase):
    def test_every_unknown_name_is_reported_at_once(self):
        found = registry.check({"queue": "x", "nothing": "y", "router": "prefix"}, "p")
        self.assertEqual([each.entry for each in found], ["x", "y"])

    def test_every_default_is_known(self):
        self.assertEqual(registry.check(registry.DEFAULTS, "defaults"), [])
        self.assertEqual(set(registry.DEFAULTS), set(registry.FACTORIES))

    def test_chosen_and_default_implementations_are_built(self):
        chosen = registry.build({"queue": "first_come"}, "queue")
        self.assertIsInstance(chosen, queue.FirstComeQueue)
        self.assertIsInstance(registry.build({}, "queue"), queue.FairQueue)
