"""Test reading the list of replicas, including malformed entries."""

import asyncio
import json
import unittest
from unittest import mock

from aiohttp import web
from hypothesis import given, strategies as st

from sapphireseam.core import codec, error, jsonarray
from sapphireseam.core.instance import Instance
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
_NUMBERS = st.integers(-(2**70), 2**70) | st.floats() | st.booleans()
_MESSAGES = codec.Registry([Instance])
# Text of one entry, beside a sound one.
ODD_ENTRIES = {
    "deep array": b"[" * 200_000 + b"]" * 200_000,
    "deep object": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "deep field": b'{"id":"i-3","a":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "long number": b'{"id":"i-3","slots":' + b"9" * 5000 + b"}",
    "no number": b'{"id":"i-3","slots":NaN}',
    "no text": b'{"id":"\xff\xfe","service":"llm"}',
    "half of a pair": b'{"id":"\\ud800"}',
    "no JSON": b"i-3 is gone",
    "nothing": b"",
    "open quote": b'{"id":"i-3}',
    "open bracket": b'{"id":[1}',
    "open brace": b'{"id":{"a":1}',
    "second brace": b'{"id":"i-3"}}',
    "second bracket": b'{"id":"i-3"]}',
    "cut": b'{"id":"i-3","se',
    "cut escape": b'{"id":"i-3\\',
    "cut deep": b'{"a":' * 200_000,
    "quotes": b'{"id":"i"3"}, "',
    "bytes": bytes(range(256)),
}
ODD_FIELDS = {
    "slots": (0, 2**31, 2**63, 2**64, 10**200, 8.0, True, "8", None),
    "born": (-1, 2**63, 2**64, 10**200, 0.5, True, "0", None),
    "id": ("", "i 3", "i-3\r\nX: 1", "\u00e9", "i" * 70_000, 3, None),
    "service": ("", "a\x00b", "s" * 70_000, [], None),
    "zone": ("", "a\nb", 1),
    "version": ("", "v" * 70_000, 1),
    "addr": tuple(
        f"10.128.0.9:{port}"
        for port in ("0", "65536", "-1", "8_2", "+82", " 82", "82 ", "\u0668\u0662", "")
    )
    + tuple(
        f"{host}:82"
        for host in ("", "a b", "a/b", "u@a", "a\n", "a\x00", "a" * 70_000, "a:b")
    ),
}


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

    @given(st.sampled_from(["slots", "born"]), _NUMBERS)
    def test_an_entry_that_is_read_can_be_sent(self, name, value):
        try:
            instance = listing.read_entry(ENTRY | {name: value})
        except (TypeError, ValueError):
            return
        self.assertEqual(_MESSAGES.decode(_MESSAGES.encode(instance)), instance)

    def test_an_entry_with_a_field_out_of_its_range_is_malformed(self):
        for name, values in ODD_FIELDS.items():
            for value in values:
                with self.assertRaises((TypeError, ValueError), msg=(name, value)):
                    listing.read_entry(ENTRY | {name: value})

    def test_names_and_numbers_of_addresses_are_read(self):
        for address in ("node-1.example:1", "[::1]:65535", "10.0.0.1:080"):
            instance = listing.read_entry(ENTRY | {"addr": address})
            self.assertEqual(instance.address, address)

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
        if isinstance(self.pages[page], bytes):
            return web.Response(body=self.pages[page])
        return web.json_response(self.pages[page], status=self.status)

    async def test_a_countdown_stands_beside_the_list(self):
        for value, expected in (
            (1500, {"i-1/1700000000000": 1.5}),
            (0, {"i-1/1700000000000": 0.0}),
            *((odd, {}) for odd in (-1, True, "3", None, 1e300, 10**30, [])),
        ):
            entry = ENTRY | {"cold_left_ms": value}
            self.pages = {"": {"instances": [entry], "next": None}}
            self.assertEqual(await self.listing.list(), (listing.read_entry(ENTRY),))
            self.assertEqual(self.listing.cold_left, expected)

    async def test_all_pages_are_read_and_malformed_entries_are_skipped(self):
        second = ENTRY | {"id": "i-2"}
        self.pages = {
            "": {"instances": [ENTRY, "rubbish", {"id": 3}], "next": "p-2"},
            "p-2": {"instances": [second, ENTRY | {"state": "?"}], "next": None},
        }
        found = await self.listing.list()
        self.assertEqual([instance.id for instance in found], ["i-1", "i-2"])

    async def test_an_odd_entry_costs_no_other_entry(self):
        sound = json.dumps(ENTRY).encode(), json.dumps(ENTRY | {"id": "i-2"}).encode()
        for name, odd in ODD_ENTRIES.items():
            for entries in (
                (odd, *sound),
                (sound[0], odd, sound[1]),
                (*sound, odd),
                (odd, sound[0], b"{", sound[1]),
            ):
                page = b'{"next":null,"instances":[%b],"a":[1]}' % b",".join(entries)
                self.pages = {"": page}
                for _ in range(2):
                    found = await self.listing.list()
                    self.assertEqual([each.id for each in found], ["i-1", "i-2"], name)

    async def test_a_standing_odd_entry_is_looked_through_once(self):
        odd = ODD_ENTRIES["deep object"]
        self.pages = {"": b'{"instances":[%b],"next":null}' % odd}
        with mock.patch.object(jsonarray, "split_member", wraps=jsonarray.split_member):
            for _ in range(3):
                await self.listing.list()
            jsonarray.split_member.assert_called_once()

    async def test_a_malformed_page_is_refused_and_reads_no_other(self):
        for page in (
            {"instances": 3, "next": None},
            {"instances": {"0": ENTRY}, "next": None},
            {"next": None},
            {"instances": [ENTRY], "next": 7},
            {"instances": [ENTRY], "next": True},
            {"instances": [ENTRY], "next": {"a": "p-2"}},
            [ENTRY],
            b'{"instances":[' + json.dumps(ENTRY).encode(),
            b'{"instances":[%b],"next":"\\ud800"}' % json.dumps(ENTRY).encode(),
        ):
            self.pages = {"": page}
            self.reads = 0
            with self.assertRaises(error.ControlError, msg=page):
                await self.listing.list()
            self.assertEqual(self.reads, 1, page)

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

    async def test_page_that_names_an_earlier_one_uses_up_no_rate(self):
        first, second = ({"instances": [], "next": name} for name in ("p-2", "p-3"))
        self.pages = {"": first, "p-2": second, "p-3": first}
        with self.assertRaises(error.ControlError):
            await self.listing.list()
        self.assertEqual(self.reads, 3)

    async def test_pages_without_end_are_refused(self):
        large = {"instances": ["x" * (listing.MAX_PAGE_BYTES // 2)], "next": "p-2"}
        self.pages = {"": large, "p-2": large}
        with self.assertRaises(error.ControlError):
            await self.listing.list()
        self.assertLess(self.reads, 20)


if __name__ == "__main__":
    unittest.main()
