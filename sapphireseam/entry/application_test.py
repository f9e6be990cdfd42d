"""Check that a publish that removes an upstream cuts nothing on it."""

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


class LinkKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_of_a_removed_upstream_ends_after_what_runs_on_it(self):
        timer = FakeTimer()
        mirror = fake.FakeMirror(DOCUMENT)
        keeper = application.LinkPool("e", mirror, ("a", "b"), timer)
        with mock.patch.object(application, "AgentLink", FakeLink):
            await keeper.start()
            self.addAsyncCleanup(keeper.stop)
            mirror.notify()
            await timer.settle()
            link = keeper.links["u"]
            link.in_flight = 1
            mirror.fleet = fake.FakeMirror({}).fleet
            mirror.notify()
            await timer.advance(30.0)
            self.assertEqual(keeper.links, {})
            self.assertFalse(link.stopped)
            link.in_flight = 0
            await timer.advance(1.0)
            self.assertTrue(link.stopped)
