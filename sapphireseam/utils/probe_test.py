"""Test that a crowd reaches a door whose event loop is busy."""

import contextlib
import socket
import unittest

from aiohttp import web

from sapphireseam.utils import probe

CROWD = 500
CONNECT_SECONDS = 0.5


class ListenTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_crowd_connects_before_any_connection_is_accepted(self):
        runner = web.AppRunner(web.Application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await probe.listen(runner, "127.0.0.1:0")
        with contextlib.ExitStack() as stack:
            for _ in range(CROWD):
                # Blocks the event loop, so that nothing is accepted meanwhile.
                client = socket.create_connection(runner.addresses[0], CONNECT_SECONDS)
                stack.enter_context(client)


if __name__ == "__main__":
    unittest.main()
