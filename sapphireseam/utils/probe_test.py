"""Test that a crowd reaches a door whose event loop is busy."""

import asyncio
import contextlib
import socket
import unittest

from aiohttp import web

from sapphireseam.utils import loop, probe

CROWD = 500
CONNECT_SECONDS = 0.5
# Iterations of the event loop, which are long while there is much to parse.
ITERATIONS = 100


class ListenTest(unittest.TestCase):
    async def count_accepted(self, iterations):
        """Connect a crowd at once; return how many of it are accepted then."""
        server = web.Server(None)
        runner = web.ServerRunner(server)
        await runner.setup()
        await probe.listen(runner, "127.0.0.1:0")
        with contextlib.ExitStack() as stack:
            for _ in range(CROWD):
                # Blocks the event loop, so that nothing is accepted meanwhile.
                client = socket.create_connection(runner.addresses[0], CONNECT_SECONDS)
                stack.enter_context(client)
            for _ in range(iterations):
                await asyncio.sleep(0)
            count = len(server.connections)
            await runner.cleanup()
        return count

    def test_a_crowd_connects_before_any_connection_is_accepted(self):
        self.assertEqual(loop.run(self.count_accepted(0)), 0)

    def test_a_crowd_is_accepted_in_few_iterations_of_the_event_loop(self):
        self.assertEqual(loop.run(self.count_accepted(ITERATIONS)), CROWD)


if __name__ == "__main__":
    unittest.main()
