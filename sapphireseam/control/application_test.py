"""Tests what a control VM does when its disk is full."""

import asyncio
import errno
import os
import pathlib
import tempfile
import types
import unittest
from unittest import mock

from sapphireseam.control import application as control
from sapphireseam.core import command, error, key
from sapphireseam.state import disk
from sapphireseam.tools import layout
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

    async def test_a_full_disk_ends_the_program_with_upstreams_from_its_settings(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        reservation = layout.reserve_ports(2)
        address, probe = (f"{layout.HOST}:{port}" for port in reservation.ports)
        peers = (control.Peer("a", address),)
        settings = control.Settings("a", "d", address, probe, folder, "s" * 32, peers)
        full = mock.Mock(side_effect=OSError(errno.ENOSPC, "full"), __name__="append")
        with (
            mock.patch.object(disk.FileDisk, "_append", full),
            self.assertRaises(error.StorageError),
        ):
            await asyncio.wait_for(control.build(settings).run(), 5.0)


class OperatorKeyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_full_disk_leaves_no_empty_key_and_the_key_is_issued_later(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        machine = types.SimpleNamespace(state=types.SimpleNamespace(texts={}))
        proposed = asyncio.get_running_loop().create_future()

        async def propose(data):
            proposed.set_result(command.REGISTRY.decode(data))
            machine.state.texts["operator"] = proposed.result().digest

        replica = types.SimpleNamespace(is_leader=True, propose=propose)
        issuer = control.OperatorKeyIssuer(folder, replica, machine, SystemTimer())
        issuer.PERIOD_SECONDS = 0.01
        full = OSError(errno.ENOSPC, "no space left")
        with mock.patch.object(os, "write", side_effect=full):
            with mock.patch.object(pathlib.Path, "write_text", side_effect=full):
                await issuer.start()
                self.addAsyncCleanup(issuer.stop)
                await asyncio.sleep(0.1)
                self.assertEqual(os.listdir(folder), [])
        item = await asyncio.wait_for(proposed, 5.0)
        text = (folder / control.OPERATOR_KEY_FILE).read_text().strip()
        self.assertTrue(text.startswith(control.OPERATOR_PREFIX))
        self.assertTrue(key.matches(text, item.digest))


if __name__ == "__main__":
    unittest.main()
