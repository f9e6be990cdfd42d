"""Test that removing an upstream does not abort its running requests."""

import unittest
from unittest import mock

from sapphireseam.entry import application
from sapphireseam.tools import fake
from sapphireseam.utils.timer import FakeTimer

DOCUMENT = {
    "failure_domains": {"d": {"region": "r"}},
    "upstreams": {
        "u": {
            "failure_domain": "d",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:2",
            "service": "s",
        }
    },
}


class FakeLink:
    def __init__(self, entry, upstream, address, credential, timer):
        self.address = address
        self.in_flight = 0
        self.stopped = False

    async def start(self):
        pass

    async def stop(self):
        self.stopped = True


class LinkPoolTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_of_a_removed_upstream_stops_after_its_last_request(self):
        timer = FakeTimer()
        mirror = fake.FakeMirror(DOCUMENT)
        link_pool = application.LinkPool("e", mirror, ("a", "b"), timer)
        with mock.patch.object(application, "AgentLink", FakeLink):
            await link_pool.start()
            self.addAsyncCleanup(link_pool.stop)
            mirror.notify()
            await timer.settle()
            link = link_pool.links["u"]
            link.in_flight = 1
            mirror.fleet = fake.FakeMirror({}).fleet
            mirror.notify()
            await timer.advance(30.0)
            self.assertEqual(link_pool.links, {})
            self.assertFalse(link.stopped)
            link.in_flight = 0
            await timer.advance(1.0)
            self.assertTrue(link.stopped)
