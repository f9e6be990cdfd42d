"""Test when a silent upstream is left, and that no slot is kept in vain."""

import asyncio
import types
import unittest

from sapphireseam.core import error
from sapphireseam.entry.silence import SilenceWatch
from sapphireseam.utils.timer import SystemTimer

LIMIT = 0.02
FULL = error.CapacityError("full", retry_after=0.01)


class SilenceWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.released = []
        self.searches = 0
        self.has_searched = asyncio.Event()
        # What the searches find one after the other; the last one is repeated.
        self.found = [types.SimpleNamespace(number=1)]
        self.search_seconds = 0.0
        self.watch = SilenceWatch(
            LIMIT, self.find_slot, self.released.append, SystemTimer()
        )

    async def find_slot(self):
        await asyncio.sleep(self.search_seconds)
        found = self.found[min(self.searches, len(self.found) - 1)]
        self.searches += 1
        self.has_searched.set()
        if isinstance(found, Exception):
            raise found
        return found

    async def wait(self, seconds):
        async with self.watch.wait():
            await asyncio.sleep(seconds)

    async def test_a_silent_upstream_is_left_for_a_slot(self):
        with self.assertRaises(TimeoutError):
            await self.wait(1.0)
        self.assertIs(self.watch.take_slot(), self.found[0])
        self.assertEqual(self.released, [])

    async def test_nothing_is_looked_for_before_the_limit(self):
        for _ in range(5):
            await self.wait(LIMIT / 4)
        self.assertEqual(self.searches, 0)

    async def test_a_silent_upstream_is_left_once_a_slot_becomes_free(self):
        self.found.insert(0, FULL)
        with self.assertRaises(TimeoutError):
            await self.wait(2.0)
        self.assertEqual(self.searches, 2)

    async def test_an_unexpected_error_of_a_search_does_not_end_the_search(self):
        self.found.insert(0, ValueError("unexpected"))
        with (
            self.assertLogs("sapphireseam.entry.silence"),
            self.assertRaises(TimeoutError),
        ):
            await self.wait(2.0)
        self.assertEqual(self.searches, 2)

    async def test_an_upstream_that_goes_on_during_the_search_is_kept(self):
        self.search_seconds = 1.0
        await self.wait(4 * LIMIT)
        self.assertIsNone(self.watch.take_slot())
        self.assertEqual(self.searches, 0)

    async def test_the_search_ends_once_the_upstream_goes_on(self):
        self.search_seconds = 4 * LIMIT
        await self.wait(2 * LIMIT)
        await asyncio.sleep(6 * LIMIT)
        self.assertEqual(self.searches, 0)

    async def test_a_slot_found_as_the_request_ends_is_released(self):
        waiting = asyncio.create_task(self.wait(1.0))
        await self.has_searched.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.watch.close()
        self.assertEqual(self.released, self.found)

    async def test_a_slot_found_as_data_arrives_is_released(self):
        async with self.watch.wait():
            await self.has_searched.wait()
        self.assertEqual(self.released, self.found)


if __name__ == "__main__":
    unittest.main()
