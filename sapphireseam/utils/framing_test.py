"""Test which answers count as complete when their connection ends."""

import asyncio
import gc
import itertools
import os
import socket
import struct
import threading
import time
import unittest

import aiohttp
import uvloop

from sapphireseam.utils import crash, framing

HEADS = {
    "connection": b"HTTP/1.1 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
}
BODY = b"abc"


class Server:
    """Answer one request in a thread, and close or reset the connection."""

    def __init__(self, head, body, resets):
        self.answer = head + body
        self.resets = resets
        self.ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        connection, _ = self._listener.accept()
        connection.recv(65536)
        connection.sendall(self.answer)
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
        self.ended.set()

    def stop(self):
        self._thread.join()
        self._listener.close()


class FramingTest(unittest.TestCase):
    def read(self, run, server, blocks, method="GET"):
        """Return the body; `blocks` polls the answer and its end at once."""

        async def read():
            async with framing.create_session() as http:
                task = asyncio.ensure_future(http.request(method, server.url))
                while blocks and not server.ended.is_set():
                    await asyncio.sleep(0)
                    time.sleep(0.01)  # noqa: ASYNC251
                async with await task as response:
                    return await response.read(), response.connection_end

        try:
            return run(read())
        finally:
            server.stop()

    def test_an_answer_that_ends_with_a_closed_connection_is_complete(self):
        for run in (asyncio.run, uvloop.run):
            for blocks in (False, True):
                server = Server(HEADS["connection"], BODY, False)
                with self.subTest(run=run.__module__, blocks=blocks):
                    result = self.read(run, server, blocks)
                    self.assertEqual(result, (BODY, framing.ConnectionEnd.CLOSED))

    def test_a_reset_that_arrives_with_the_data_does_not_complete_an_answer(self):
        for run in (asyncio.run, uvloop.run):
            for name, head in HEADS.items():
                for blocks in (False, True):
                    server = Server(head, BODY, True)
                    with (
                        self.subTest(run=run.__module__, framing=name, blocks=blocks),
                        self.assertRaises(aiohttp.ClientError),
                    ):
                        self.read(run, server, blocks)

    def test_a_head_that_is_cut_at_any_byte_is_no_answer(self):
        for run in (asyncio.run, uvloop.run):
            for head in HEADS.values():
                end = head.index(b"\r\n\r\n") + 3
                for size, resets in itertools.product(range(end + 1), (False, True)):
                    server = Server(head[:size], b"", resets)
                    with (
                        self.subTest(run=run.__module__, head=head[:size]),
                        self.assertRaises(aiohttp.ClientError),
                    ):
                        self.read(run, server, False, "POST")

    def test_a_whole_answer_with_a_length_is_complete_after_a_reset(self):
        server = Server(HEADS["length"], b"abcde", True)
        self.assertEqual(self.read(uvloop.run, server, True)[0], b"abcde")


async def get(address):
    async with framing.create_session() as http:
        await http.get(f"http://{address}/")


class CancellationTest(unittest.TestCase):
    async def count_closed(self, request, iterations):
        """Cancel a request after some iterations of the event loop.

        Return how many of the descriptors opened since then were closed by others.
        """
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            task = asyncio.ensure_future(request(address))
            for _ in range(iterations):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            descriptors = [os.open(os.devnull, os.O_RDONLY) for _ in range(6)]
            # The task holds the request's frames and what they refer to.
            del task
            gc.collect()
            return sum(not _close(descriptor) for descriptor in descriptors)

    def check(self, request):
        for run in (asyncio.run, uvloop.run):
            for iterations in range(40):
                with self.subTest(run=run.__module__, iterations=iterations):
                    self.assertEqual(run(self.count_closed(request, iterations)), 0)

    def test_request_that_is_cancelled_closes_no_descriptor_of_another(self):
        self.check(get)

    def test_check_whether_an_upstream_is_down_closes_no_descriptor_either(self):
        self.check(lambda address: crash.is_down(address, "/"))


def _close(descriptor):
    """Return whether the descriptor was open."""
    try:
        os.close(descriptor)
    except OSError:
        return False
    return True


if __name__ == "__main__":
    unittest.main()
