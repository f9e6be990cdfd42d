"""Test what an entry does with the answers of the owner of the rate limits."""

import math
import unittest

from sapphireseam.core import error, message
from sapphireseam.entry import ratelimit
from sapphireseam.entry.response import render_error
from sapphireseam.utils.timer import FakeTimer


class FakeClient:
    async def call_on_stream(self, request, deadline):
        return message.Debited(((0.0, math.inf),))


class RateLimitClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_customer_that_was_just_removed_is_refused(self):
        limits = ratelimit.RateLimitClient("e", FakeClient(), FakeTimer())
        await limits.start()
        self.addAsyncCleanup(limits.stop)
        with self.assertRaises(error.CapacityError) as caught:
            await limits.debit("c")
        self.assertEqual(render_error(caught.exception, "r").status, 429)
