"""Tests a short soak of streams, one seed.

Seeds that revealed a fault of the system are listed with their causes in
docs/measure/soak.md.
"""

import unittest

from sapphireseam.tools import streamsoak

SEED = 1
SECONDS = 16.0


class StreamSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_soak_of_streams_finds_no_fault(self):
        result = await streamsoak.StreamSoak(SEED).run(SECONDS)
        self.assertEqual(result.findings, ())
        self.assertGreater(result.counts["complete"], 0)
        self.assertGreater(result.counts["break"], 0)
        self.assertGreater(result.counts["crashes"], 0)
        self.assertGreater(result.counts["refused parts"], 0)


if __name__ == "__main__":
    unittest.main()
