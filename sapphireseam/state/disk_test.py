import asyncio
import errno
import os
import pathlib
import tempfile
import threading
import unittest
from unittest import mock

from sapphireseam.core import error
from sapphireseam.state import disk


class FileDiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.disk = disk.FileDisk(self.folder)
        await self.disk.open()

    async def asyncTearDown(self):
        await self.disk.close()

    async def test_files_survive_a_restart(self):
        await self.disk.append("log", b"one")
        await self.disk.sync("log")
        await self.disk.append("log", b"two")
        await self.disk.sync("log")
        await self.disk.replace("vote", b"old")
        await self.disk.replace("vote", b"new")
        await self.disk.append("gone", b"")
        await self.disk.remove("gone")
        await self.disk.close()
        self.disk = disk.FileDisk(self.folder)
        await self.disk.open()
        self.assertEqual(await self.disk.list(), ["log", "vote"])
        self.assertEqual(await self.disk.read("log"), b"onetwo")
        self.assertEqual(await self.disk.read("vote"), b"new")

    async def test_second_process_is_refused(self):
        second = disk.FileDisk(self.folder)
        with self.assertRaises(error.StorageError):
            await second.open()
        await second.close()

    async def test_all_operations_fail_after_a_failed_sync(self):
        await self.disk.append("log", b"one")
        with mock.patch.object(os, "fdatasync", side_effect=OSError(5, "I/O error")):
            with self.assertRaisesRegex(error.StorageError, "sync log"):
                await self.disk.sync("log")
        for work in (
            self.disk.sync("log"),
            self.disk.append("log", b"two"),
            self.disk.replace("vote", b"new"),
        ):
            with self.assertRaises(error.StorageError):
                await work

    async def test_a_refused_replacement_leaves_no_file_that_takes_room(self):
        full = OSError(errno.ENOSPC, "no space left")
        with mock.patch.object(os, "fsync", side_effect=full):
            with self.assertRaises(error.StorageError):
                await self.disk.replace("snapshot", b"large")
        self.assertEqual(os.listdir(self.folder), ["lock"])

    async def test_what_a_crash_left_of_a_replacement_is_removed_at_the_start(self):
        await self.disk.close()
        (pathlib.Path(self.folder) / "snapshot.new").write_bytes(b"large")
        self.disk = disk.FileDisk(self.folder)
        await self.disk.open()
        self.assertEqual(os.listdir(self.folder), ["lock"])

    async def test_a_file_that_cant_be_closed_doesnt_keep_the_folder_locked(self):
        await self.disk.append("log", b"one")
        close = os.close

        def close_badly(handle):
            close(handle)
            raise OSError(errno.EIO, "I/O error")

        with mock.patch.object(os, "close", close_badly):
            await self.disk.close()
        self.disk = disk.FileDisk(self.folder)
        await self.disk.open()

    async def test_a_close_given_up_during_a_stall_still_unlocks_the_folder(self):
        await self.disk.append("log", b"one")
        stall = threading.Event()
        with mock.patch.object(os, "fdatasync", lambda _: stall.wait()):
            work = asyncio.ensure_future(self.disk.sync("log"))
            await asyncio.sleep(0.01)
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(self.disk.close(), 0.01)
            stall.set()
            await work
        self.disk = disk.FileDisk(self.folder)
        async with asyncio.timeout(5.0):
            await self.open_once_unlocked()

    async def open_once_unlocked(self):
        while True:
            try:
                return await self.disk.open()
            except error.StorageError:
                await self.disk.close()
                self.disk = disk.FileDisk(self.folder)
                await asyncio.sleep(0.01)

    async def test_event_loop_is_not_blocked_by_a_sync(self):
        await self.disk.append("log", b"one")
        loop = asyncio.get_running_loop()
        started, released = asyncio.Event(), asyncio.Event()

        def block(handle):
            loop.call_soon_threadsafe(started.set)
            asyncio.run_coroutine_threadsafe(released.wait(), loop).result()

        with mock.patch.object(os, "fdatasync", block):
            work = asyncio.ensure_future(self.disk.sync("log"))
            await started.wait()
            released.set()
            await work
