"""Tests that a control VM's program ends when its storage fails."""

import types
import unittest

from sapphireseam.control import application as control
from sapphireseam.core import error
from sapphireseam.utils.application import Application
from sapphireseam.utils.timer import SystemTimer


class StorageMonitorTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_failed_disk_ends_the_program_with_its_cause(self):
        replica = types.SimpleNamespace(fatal=None)
        application = Application("seam-test")
        timer = SystemTimer()
        application.add(control.StorageMonitor(replica, application, timer))
        replica.fatal = error.StorageError("no space left")
        with self.assertRaises(error.StorageError):
            await application.run()


if __name__ == "__main__":
    unittest.main()
