"""Tests a short soak of full disks, one seed."""

import unittest

from sapphireseam.platform import disksoak

SEED = 1


class DiskSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_control_vms_whose_disks_were_full_in_turn_take_changes(self):
        result = await disksoak.DiskSoak(SEED).run()
        self.assertEqual(result.findings, ())
        self.assertEqual(result.counts["full"], disksoak.MEMBERS)
        self.assertGreater(result.counts["rebuilt"], 0)


if __name__ == "__main__":
    unittest.main()
