"""Test how an entry waits for its first configuration."""

import asyncio
import unittest

from sapphireseam.core import error, fleet
from sapphireseam.entry import authorizer
from sapphireseam.utils import broadcast
from sapphireseam.utils.timer import SystemTimer, wait_for

ROUTE = fleet.Route(path="/a/", host="h", service="llm", open=True)


class FakeMirror:
    def __init__(self):
        self.fleet = fleet.Fleet(routes={"r": ROUTE})
        self.revision = 0
        self.is_recent = False
        self.confirmed = broadcast.Broadcast()

    def subscribe(self, listener):
        """Do nothing: nothing is indexed."""

    def was_confirmed_within(self, seconds):
        return self.is_recent

    async def wait_confirmed(self, seconds):
        waiting = self.confirmed.wait_until(lambda: self.is_recent)
        try:
            await wait_for(SystemTimer(), waiting, seconds)
        except TimeoutError:
            return

    def confirm(self):
        self.revision, self.is_recent = 1, True
        self.confirmed.notify()


class AuthorizerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.mirror = FakeMirror()
        self.authorizer = authorizer.Authorizer(self.mirror, 1.0)

    async def test_a_request_waits_for_the_first_configuration(self):
        task = asyncio.create_task(self.authorizer.authorize("h", "/a/b", ""))
        await asyncio.sleep(0.05)
        self.mirror.confirm()
        self.assertEqual((await task).route, ROUTE)

    async def test_a_request_is_refused_if_none_comes(self):
        with self.assertRaises(error.ControlError):
            await self.authorizer.authorize("h", "/a/b", "")

    async def test_an_entry_that_lost_the_control_vms_refuses_at_once(self):
        self.mirror.confirm()
        await self.authorizer.authorize("h", "/a/b", "")
        self.mirror.is_recent = False
        begin = asyncio.get_running_loop().time()
        with self.assertRaises(error.ControlError):
            await self.authorizer.authorize("h", "/a/b", "")
        self.assertLess(asyncio.get_running_loop().time() - begin, 0.1)


if __name__ == "__main__":
    unittest.main()
