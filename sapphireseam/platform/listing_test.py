"""Test reading the list of replicas, including malformed entries."""

import asyncio
import unittest

from aiohttp import web
from hypothesis import given, strategies as st

from sapphireseam.core import error
from sapphireseam.platform import listing
from sapphireseam.utils import fakeflood

# What the buffers of a connection may hold.
SOCKET_BYTES = 6 * 1024 * 1024
ENTRY = {
    "service": "llm",
    "addr": "10.128.0.9:8080",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1700000000000,
    "id": "i-1",
}
_JSON = st.none() | st.booleans() | st.integers() | st.text() | st.lists(st.integers())


class EntryTest(unittest.TestCase):
    def test_an_entry_is_read(self):
        instance = listing.read_entry(ENTRY)
        self.assertEqual(instance.address, "10.128.0.9:8080")
        self.assertEqual(instance.version, "v1")
        self.assertEqual((instance.slots, instance.is_leaving), (8, False))
        self.assertTrue(listing.read_entry(ENTRY | {"state": "draining"}).is_leaving)

    @given(st.sampled_from(sorted(ENTRY.keys() - {"born"})), _JSON)
    def test_an_entry_with_a_replaced_field_is_valid_or_raises(self, name, value):
        changed = ENTRY | {name: value}
        try:
            instance = listing.read_entry(changed)
        except (KeyError, TypeError, ValueError):
            return
        self.assertIs(type(value), type(ENTRY[name]))
        self.assertTrue(instance.id and instance.service and instance.slots > 0)

    def test_an_entry_with_a_missing_field_is_malformed(self):
        for name in ("id", "service", "addr", "zone", "version", "slots", "state"):
            malformed = {key: value for key, value in ENTRY.items() if key != name}
            with self.assertRaises(KeyError):
                listing.read_entry(malformed)


class ListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.pages = {"": {"instances": [ENTRY], "next": None}}
        self.status = 200
        self.reads = 0
        app = web.Application()
        app.router.add_get("/instances", self.answer)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.listing = listing.Listing(f"127.0.0.1:{port}")
        self.addAsyncCleanup(self.listing.stop)

    async def answer(self, request):
        page = request.query.get("page_token", "")
        self.reads += 1
        return web.json_response(self.pages[page], status=self.status)

    async def test_all_pages_are_read_and_malformed_entries_are_skipped(self):
        second = ENTRY | {"id": "i-2"}
        self.pages = {
            "": {"instances": [ENTRY, "rubbish", {"id": 3}], "next": "p-2"},
            "p-2": {"instances": [second, ENTRY | {"state": "?"}], "next": None},
        }
        found = await self.listing.list()
        self.assertEqual([instance.id for instance in found], ["i-1", "i-2"])

    async def test_a_rate_limited_read_raises_instead_of_listing_nothing(self):
        self.status = 429
        with self.assertRaises(error.ControlError):
            await self.listing.list()

    async def test_the_list_is_read_although_its_kept_connection_was_just_closed(self):
        async def close_second(request):
            if request.protocol in self.used:
                request.transport.abort()
            self.used.append(request.protocol)
            return await self.answer(request)

        self.used = []
        runner = web.ServerRunner(web.Server(close_second))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        replicas = listing.Listing(f"127.0.0.1:{port}")
        self.addAsyncCleanup(replicas.stop)
        for _ in range(2):
            self.assertEqual(len(await replicas.list()), 1)

    async def test_a_page_without_end_is_refused(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        for start, repeated in ((head, b" "), (b"HTTP/1.1 200 OK\r\nA: ", b"x")):
            flood = fakeflood.FakeFlood(start, repeated)
            await flood.start()
            self.addAsyncCleanup(flood.stop)
            replicas = listing.Listing(flood.address)
            self.addAsyncCleanup(replicas.stop)
            with self.assertRaises(error.ControlError):
                await replicas.list()
            await asyncio.wait_for(flood.has_closed.wait(), 1.0)
            self.assertLess(flood.sent, listing.MAX_PAGE_BYTES + SOCKET_BYTES)

    async def test_pages_without_end_are_refused(self):
        large = {"instances": ["x" * (listing.MAX_PAGE_BYTES // 2)], "next": "p-2"}
        self.pages = {"": large, "p-2": large}
        with self.assertRaises(error.ControlError):
            await self.listing.list()
        self.assertLess(self.reads, 20)


if __name__ == "__main__":
    unittest.main()
