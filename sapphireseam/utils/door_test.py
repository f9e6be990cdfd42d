"""Test the bounds of one process's clients with a fake timer and fake transports."""

import asyncio
import sys
import unittest

from aiohttp import web

from sapphireseam.core import error
from sapphireseam.utils import door
from sapphireseam.utils.memory import MEBIBYTE, MemoryBudget
from sapphireseam.utils.timer import FakeTimer

HEAD_SECONDS = 3.0
LARGE = b"x" * MEBIBYTE


class Client(asyncio.Transport):
    """A client's side of a connection and the socket between.

    Sent bytes arrive while the connection is read; it reads `room` bytes of the answer.
    """

    def __init__(self, server):
        super().__init__()
        self.sent = b""
        self.received = bytearray()
        self.unread = 0
        self.room = float("inf")
        self.is_read = True
        self.is_closed = False
        self.protocol = server()
        self.protocol.connection_made(self)

    def send(self, data):
        self.sent += data
        self._deliver()

    def make_slow(self, data):
        """Return what sends one byte of the data at each call."""
        rest = iter(data)
        return lambda: self.send(bytes([next(rest)]))

    def _deliver(self):
        while self.sent and self.is_read and not self.is_closed:
            view = self.protocol.get_buffer(-1)
            data, self.sent = self.sent[: len(view)], self.sent[len(view) :]
            view[: len(data)] = data
            self.protocol.buffer_updated(len(data))

    def read(self, count):
        taken = min(count, self.unread)
        self.unread -= taken
        if taken and not self.unread:
            self.protocol.resume_writing()

    def write(self, data):
        self.received += data
        taken = min(len(data), self.room)
        self.room -= taken
        was_unread, self.unread = self.unread, self.unread + len(data) - taken
        if self.unread and not was_unread:
            self.protocol.pause_writing()

    def writelines(self, pieces):
        self.write(b"".join(pieces))

    def get_write_buffer_size(self):
        return self.unread

    def pause_reading(self):
        self.is_read = False

    def resume_reading(self):
        if not self.is_read:
            self.is_read = True
            asyncio.get_running_loop().call_soon(self._deliver)

    def is_closing(self):
        return self.is_closed

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close


def make_head(method="POST", **fields):
    lines = [f"{method} /x HTTP/1.1", "Host: h"]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


class DoorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.head_seconds = HEAD_SECONDS
        budget = MemoryBudget(8 * MEBIBYTE, self.timer.read_clock)
        self.guard = door.Guard(budget, self.timer)
        self.guard.read_head_seconds = lambda: self.head_seconds
        self.answer = b"a"
        self.server = door.Server(self.guard, self.serve, access_log=None)
        await self.guard.start()

    async def asyncTearDown(self):
        await self.guard.stop()

    async def serve(self, request):
        try:
            self.body = await request.read()
        except error.SeamError as failure:
            status = 408 if failure.kind is error.Kind.REQUEST_TIMEOUT else 503
            return web.Response(status=status, text=f"not run: {failure.not_run}")
        return web.Response(body=self.answer)

    def count_answers(self, client):
        return client.received.count(b"HTTP/1.1 200")

    def send_body(self, client, size):
        client.send(make_head(Content_Length=size) + LARGE[:size])

    async def test_a_connection_is_read_on_after_a_body_that_came_in_one_go(self):
        for size in (2000, 34_000, 40_000, 400_000):
            with self.subTest(size):
                client = Client(self.server)
                for number in (1, 2, 3):
                    self.send_body(client, size)
                    await self.timer.settle()
                    await self.timer.settle()
                    self.assertEqual(self.count_answers(client), number)

    async def test_callers_are_served_while_a_crowd_of_silent_connections_opens(self):
        count = self.guard.budget.max_bytes // door.CONNECTION_BYTES - 1
        crowd = [Client(self.server) for _ in range(count)]
        for _ in range(3):
            await self.timer.advance(2 * door.TRIM_SECONDS)
            client = Client(self.server)
            self.send_body(client, 2000)
            await self.timer.settle()
            await self.timer.settle()
            self.assertEqual(self.count_answers(client), 1)
        self.assertLess(sum(client.is_closed for client in crowd), 10)

    async def advance(self, seconds, act=lambda: None):
        for _ in range(int(seconds)):
            act()
            await self.timer.advance(1.0)

    async def test_a_head_must_be_whole_in_the_time_of_the_configuration(self):
        for seconds in (HEAD_SECONDS, 10.0):
            with self.subTest(seconds):
                self.head_seconds = seconds
                client = Client(self.server)
                await self.advance(seconds - 1, client.make_slow(make_head()))
                self.assertFalse(client.is_closed)
                await self.advance(2)
                self.assertTrue(client.is_closed)
        self.assertEqual(self.guard.bounded[door.Bound.HEAD_TIME], 2)

    async def test_a_shorter_head_time_closes_heads_that_are_older(self):
        client = Client(self.server)
        client.send(make_head()[:-2])
        await self.advance(2)
        self.assertFalse(client.is_closed)
        self.head_seconds = 1.0
        await self.advance(1)
        self.assertTrue(client.is_closed)

    async def test_a_body_below_the_least_rate_is_refused_as_not_run(self):
        client = Client(self.server)
        client.send(make_head(Content_Length=MEBIBYTE))
        piece = LARGE[: door.BODY_BYTES_PER_SECOND - 24]
        await self.advance(door.BODY_SECONDS + 1, lambda: client.send(piece))
        self.assertIn(b"HTTP/1.1 408", client.received)
        self.assertIn(b"not run: True", client.received)
        await self.advance(1)
        self.assertTrue(client.is_closed)
        self.assertFalse(self.guard.budget.used_bytes)

    async def test_a_body_at_the_least_rate_is_served(self):
        client = Client(self.server)
        seconds = 3 * door.BODY_SECONDS
        piece = LARGE[: 2 * door.BODY_BYTES_PER_SECOND]
        client.send(make_head(Content_Length=int(seconds * len(piece))))
        await self.advance(seconds, lambda: client.send(piece))
        self.assertEqual(self.count_answers(client), 1)

    async def test_a_body_announced_with_expect_must_come(self):
        client = Client(self.server)
        client.send(make_head(Content_Length=100, Expect="100-continue"))
        await self.advance(door.BODY_SECONDS + 1)
        self.assertIn(b"HTTP/1.1 408", client.received)

    async def test_an_answer_that_nobody_reads_is_given_up(self):
        self.answer = LARGE
        client = Client(self.server)
        client.room = len(LARGE) // 2
        self.send_body(client, 0)
        await self.advance(door.ANSWER_SECONDS - 1)
        self.assertFalse(client.is_closed)
        await self.advance(2)
        self.assertTrue(client.is_closed)
        self.assertEqual(self.guard.bounded[door.Bound.ANSWER_TIME], 1)

    async def test_a_slow_reader_gets_its_answer(self):
        self.answer = LARGE
        client = Client(self.server)
        client.room = 0
        self.send_body(client, 0)
        await self.timer.settle()
        seconds = len(LARGE) / 20_000 + 1
        await self.advance(seconds, lambda: client.read(20_000))
        self.assertFalse(client.is_closed)
        self.assertFalse(client.unread)

    async def test_what_half_read_answers_hold_is_bounded(self):
        self.answer = LARGE
        readers = []
        for _ in range(40):
            readers.append(Client(self.server))
            readers[-1].room = len(LARGE) // 2
            self.send_body(readers[-1], 0)
            await self.advance(1)
        held = sum(client.unread for client in readers if not client.is_closed)
        self.assertLess(held, 2 * self.guard.budget.max_bytes)
        ordinary = Client(self.server)
        self.answer = b"a"
        self.send_body(ordinary, 2000)
        await self.timer.settle()
        self.assertEqual(self.count_answers(ordinary), 1)

    async def test_an_idle_connection_holds_no_answer(self):
        self.answer = bytes(MEBIBYTE)
        before = sys.getrefcount(self.answer)
        client = Client(self.server)
        self.send_body(client, 2000)
        await self.timer.settle()
        self.assertEqual(self.count_answers(client), 1)
        self.assertFalse(client.is_closed)
        self.assertEqual(sys.getrefcount(self.answer), before)

    async def test_an_idle_connection_holds_no_body(self):
        client = Client(self.server)
        self.send_body(client, 400_000)
        await self.timer.settle()
        await self.timer.settle()
        self.assertEqual(self.count_answers(client), 1)
        self.assertFalse(client.is_closed)
        self.assertEqual(len(self.body), 400_000)
        # The test's attribute and the call's argument.
        self.assertEqual(sys.getrefcount(self.body), 2)

    async def test_time_in_which_the_process_stalled_counts_for_no_client(self):
        client = Client(self.server)
        client.send(make_head()[:-2])
        # The clock goes on, and no check is made meanwhile.
        self.timer._now += 2 * HEAD_SECONDS
        await self.advance(1)
        self.assertFalse(client.is_closed)


if __name__ == "__main__":
    unittest.main()
