"""Test uploads whose leader is lost half-way."""

import pathlib
import tempfile
import unittest

from sapphireseam.control import blob
from sapphireseam.core import message
from sapphireseam.utils import upload
from sapphireseam.utils.timer import FakeTimer

DATA = bytes(range(256)) * 10_000


class Leaders:
    """Answer the pieces of uploads; another leader takes over before one of them."""

    def __init__(self, stores, lost_before):
        self.stores = stores
        self.lost_before = lost_before
        self.calls = 0

    async def call(self, request):
        is_lost = self.calls >= self.lost_before
        self.calls += 1
        store = self.stores[is_lost]
        piece = (request.upload, request.offset, request.data, request.last)
        return message.Written(await store.write_piece(*piece))


class UploadTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_upload_begins_again_at_a_leader_that_lacks_its_first_pieces(self):
        for lost_before in (1, 2):
            folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
            stores = [blob.BlobStore(folder / name, FakeTimer()) for name in "ab"]
            for store in stores:
                await store.start()
            name = await upload.write(Leaders(stores, lost_before), DATA)
            self.assertEqual(stores[1].read(name), DATA)


if __name__ == "__main__":
    unittest.main()
