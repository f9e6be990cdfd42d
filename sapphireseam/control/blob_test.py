"""Test that a full disk damages no blobs and leaves nothing behind."""

import errno
import hashlib
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from sapphireseam.control import blob
from sapphireseam.core import error
from sapphireseam.utils.timer import FakeTimer

FULL = OSError(errno.ENOSPC, "no space left")
DATA = b"some bytes"
DIGEST = hashlib.sha256(DATA).hexdigest()


class BlobStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.timer = FakeTimer()
        self.store = blob.BlobStore(self.folder, self.timer)
        await self.store.start()

    def fail_sync(self, number):
        """Let the sync with this number fail, counted from 1."""
        results = [None] * (number - 1) + [FULL]
        return mock.patch.object(os, "fsync", side_effect=results)

    async def test_a_full_disk_at_the_start_is_a_storage_error(self):
        with mock.patch.object(pathlib.Path, "mkdir", side_effect=FULL):
            with self.assertRaises(error.StorageError):
                await self.store.start()

    async def test_a_failed_write_leaves_no_file_that_takes_room(self):
        for number in (1, 2):
            with self.fail_sync(number), self.assertRaises(error.StorageError):
                await self.store.write(DATA)
            self.assertEqual(list(self.folder.glob("*.part")), [])
            self.assertFalse(self.store.has(DIGEST))
        await self.store.write(DATA)
        self.assertTrue(self.store.has(DIGEST))

    async def test_a_blob_is_present_only_once_its_name_is_durable(self):
        found = []
        with mock.patch.object(
            os, "fsync", lambda _: found.append(self.store.has(DIGEST))
        ):
            await self.store.write(DATA)
        self.assertEqual(found, [False, False])
        self.assertTrue(self.store.has(DIGEST))

    async def test_a_name_that_a_crash_left_unsynced_is_synced_at_the_start(self):
        with mock.patch.object(os, "fsync") as fsync:
            await self.store.start()
        fsync.assert_called_once()

    async def test_last_piece_can_be_sent_again_after_a_full_disk(self):
        await self.store.write_piece("u", 0, DATA[:4], False)
        with self.fail_sync(1), self.assertRaises(error.StorageError):
            await self.store.write_piece("u", 4, DATA[4:], True)
        name = await self.store.write_piece("u", 4, DATA[4:], True)
        self.assertEqual((name, self.store.read(name)), (DIGEST, DATA))

    async def test_an_abandoned_upload_takes_no_memory_for_good(self):
        for number in range(3):
            await self.store.write_piece(f"u{number}", 0, DATA, False)
            await self.timer.advance(blob.UPLOAD_SECONDS - 1)
        self.assertEqual(list(self.store._uploads), ["u1", "u2"])


if __name__ == "__main__":
    unittest.main()
