"""Test that a server which is taken out of service answers a crowd that waits."""

import asyncio
import contextlib
import socket
import unittest

from aiohttp import web

from sapphireseam.utils import door, loop, probe
from sapphireseam.utils.drain import Drain
from sapphireseam.utils.grace import Grace
from sapphireseam.utils.memory import MEBIBYTE, MemoryBudget
from sapphireseam.utils.timer import SystemTimer

CROWD = 300
CLIENT_SECONDS = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# Iterations of the event loop in one wait, so that no busy machine shortens it.
WAIT_STEPS = 1000


class StepTimer(SystemTimer):
    """A timer that waits for iterations of the event loop."""

    async def sleep(self, seconds):
        for _ in range(WAIT_STEPS if seconds else 0):
            await asyncio.sleep(0)


class DrainTest(unittest.TestCase):
    async def stop_beside(self, count):
        """Stop while clients wait to be accepted; return what each receives."""
        timer = StepTimer()
        guard = door.Guard(MemoryBudget(64 * MEBIBYTE, timer.read_clock), timer)
        drain = Drain(Grace(timer=timer), timer, 0.0)
        server = door.Server(guard, drain.wrap(self.answer), access_log=None)
        runner = web.ServerRunner(server)
        await runner.setup()
        await probe.listen(runner, "127.0.0.1:0")
        address = runner.addresses[0]
        with contextlib.ExitStack() as stack:
            clients = []
            for _ in range(count):
                # Blocks the event loop, so that nothing is accepted meanwhile.
                client = socket.create_connection(address, CLIENT_SECONDS)
                clients.append(stack.enter_context(client))
                client.sendall(REQUEST)
            await drain.run(runner)
            return [self.read(client) for client in clients]

    async def answer(self, request):
        return web.Response(status=503)

    def read(self, client):
        try:
            return client.recv(12)
        except ConnectionError:
            return b""

    def test_clients_that_wait_to_be_accepted_get_an_answer(self):
        for count in (1, CROWD):
            with self.subTest(count):
                answers = loop.run(self.stop_beside(count))
                self.assertEqual(answers.count(b"HTTP/1.1 503"), count)


if __name__ == "__main__":
    unittest.main()
