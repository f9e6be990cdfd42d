"""Test when SIGHUP reloads the settings."""

import asyncio
import os
import signal
import tempfile
import unittest
from pathlib import Path

from sapphireseam.platform import reload
from sapphireseam.utils import loop
from sapphireseam.utils.timer import SystemTimer


class ReloaderTest(unittest.TestCase):
    def test_a_reload_between_two_applications_does_not_end_the_process(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        folder = self.enterContext(tempfile.TemporaryDirectory())

        async def run():
            path = Path(folder) / "missing"
            reloader = reload.Reloader(path, None, None, SystemTimer())
            await reloader.start()
            with self.assertLogs(reload.logger):
                os.kill(os.getpid(), signal.SIGHUP)
                await asyncio.sleep(0.05)
            await reloader.stop()

        loop.run(run())
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)


if __name__ == "__main__":
    unittest.main()
