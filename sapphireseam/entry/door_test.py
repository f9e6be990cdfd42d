"""Test the door of the product's own interface beside clients that misbehave."""

import asyncio
import itertools
import sys
import unittest
from pathlib import Path

from sapphireseam.core import key
from sapphireseam.entry import fakegateway
from sapphireseam.tools import layout
from sapphireseam.utils import loop, memory

MEMORY_MB = 128
PLAY_SECONDS = 2.0
ANSWER_SECONDS = 2.5
START_SECONDS = 20.0
PAUSE_SECONDS = 0.05
# How often a slow reader reads.
READ_SECONDS = 0.1
LENGTH = fakegateway.BODY_BYTES
LAST_CHUNK = b"\r\n0\r\n\r\n"
PIECE = bytes(64 * 1024)
SHORT_OF_ITS_END = [PIECE] * 63 + [PIECE[1:]]


class Gateway:
    """A gateway's process, and requests to it."""

    def __init__(self):
        self.key = key.generate().text
        self.port, self.probe_port = layout.find_ports(2)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphireseam.entry.fakegateway",
            f"127.0.0.1:{self.port}",
            f"127.0.0.1:{self.probe_port}",
            str(MEMORY_MB),
            self.key,
        )
        for _ in range(int(START_SECONDS / PAUSE_SECONDS)):
            if await self.ask(self.make_head("/health", "GET")) == 200:
                return
            await asyncio.sleep(PAUSE_SECONDS)
        raise TimeoutError("the gateway isn't ready")

    async def stop(self):
        self.process.kill()
        await self.process.wait()

    def make_head(self, path="/safe/x", method="POST", **fields):
        lines = [f"{method} {path} HTTP/1.1", "Host: h"]
        lines.append(f"Authorization: Bearer {self.key}")
        lines += [f"{name.replace('_', '-')}: {text}" for name, text in fields.items()]
        return "\r\n".join([*lines, "", ""]).encode()

    async def ask(self, data, port=0):
        """Return the status of one request, 0 if there is no answer."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port or self.port
                )
                try:
                    writer.write(data)
                    return int((await reader.readuntil(b"\r\n")).split()[1])
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def abuse(self, pieces, port=0, read_bytes=0):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port or self.port
            )
        except OSError:
            return
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                if read_bytes:
                    await reader.read(read_bytes)
                await asyncio.sleep(READ_SECONDS if read_bytes else 0.005)
            await asyncio.sleep(2 * PLAY_SECONDS)
        except OSError:
            return
        finally:
            writer.transport.abort()

    def measure_peak(self):
        path = Path(f"/proc/{self.process.pid}/status")
        return memory.read_status("VmHWM", path) / memory.MEBIBYTE


class DoorTest(unittest.TestCase):
    def list_abuses(self, its):
        sized = {"Content_Length": LENGTH}
        chunked = {"Transfer_Encoding": "chunked"}
        tiny = [b"1\r\nx\r\n" * 10_000] * 20
        ahead = [its.make_head(method="GET") * 20] * 100
        large = its.make_head(fakegateway.LARGE_PATH, "GET")
        return {
            "bodies": (its.make_head(**sized), SHORT_OF_ITS_END, 0),
            "tiny chunks": (its.make_head(**chunked), tiny, 0),
            "no route": (its.make_head("/x", **sized), SHORT_OF_ITS_END, 0),
            "files": (
                its.make_head("/v1/files", Content_Type="multipart/x", **sized),
                SHORT_OF_ITS_END,
                0,
            ),
            "readiness": (its.make_head("/health", **sized), SHORT_OF_ITS_END, 0),
            "metrics": (
                its.make_head("/metrics", **chunked),
                tiny,
                its.probe_port,
            ),
            "requests ahead": (b"", ahead, 0),
            "unread answers": (b"", [large * 10] * 20, 0),
            "half-read answers": (large, [b""] * 15, 0, 20_000),
            "a body that is only announced": (
                its.make_head(**sized, Expect="100-continue"),
                (),
                0,
            ),
            "short fields": (its.make_head()[:-2], [b"a: b\r\n" * 1000] * 100, 0),
            "far over the limit": (
                its.make_head(Content_Length=2**26),
                [PIECE] * 1024,
                0,
            ),
            "slow heads": (b"", [bytes([byte]) for byte in its.make_head()], 0),
        }

    async def play(self, its, head, pieces, port, read_bytes=0):
        abusers = [
            asyncio.create_task(
                its.abuse(itertools.chain([head], pieces), port, read_bytes)
            )
            for _ in range(80)
        ]
        statuses = []
        end = asyncio.get_running_loop().time() + PLAY_SECONDS
        body = its.make_head(Content_Length=2000) + bytes(2000)
        while asyncio.get_running_loop().time() < end:
            statuses.append(await its.ask(body))
            statuses.append(await its.ask(its.make_head("/health", "GET")))
            probe = its.make_head("/metrics", "GET")
            statuses.append(await its.ask(probe, its.probe_port))
            await asyncio.sleep(PAUSE_SECONDS)
        for task in abusers:
            task.cancel()
        await asyncio.gather(*abusers, return_exceptions=True)
        return statuses

    def test_callers_readiness_and_metrics_beside_each_abuse(self):
        async def run():
            its = Gateway()
            await its.start()
            try:
                whole = its.make_head(Content_Length=LENGTH) + bytes(LENGTH)
                self.assertEqual(await its.ask(whole), 200)
                for name, abuse in self.list_abuses(its).items():
                    with self.subTest(name):
                        statuses = await self.play(its, *abuse)
                        good = statuses.count(200)
                        self.assertGreaterEqual(good, 0.95 * len(statuses), statuses)
                        self.assertIsNone(its.process.returncode)
                        self.assertLess(its.measure_peak(), MEMORY_MB)
            finally:
                await its.stop()

        loop.run(run())

    def test_single_requests_inside_the_limits_are_served_in_calm(self):
        async def run():
            its = Gateway()
            await its.start()
            try:
                for name, data in self.list_whole(its).items():
                    with self.subTest(name):
                        self.assertEqual(await its.ask(data), 200)
                for name, data in self.list_odd(its).items():
                    with self.subTest(name):
                        self.assertIn(await its.ask(data), (400, 413))
                await self.check_requests_ahead(its)
                await self.check_slow_reader(its)
                self.assertLess(its.measure_peak(), MEMORY_MB)
            finally:
                await its.stop()

        loop.run(run())

    def list_whole(self, its):
        fields = {f"X_{number}": "y" for number in range(100)}
        tiny = its.make_head(Transfer_Encoding="chunked") + b"1\r\nx\r\n" * 200_000
        extended = its.make_head(Transfer_Encoding="chunked") + b"1;a=b\r\nx\r\n" * 3
        return {
            "body of the limit": its.make_head(Content_Length=LENGTH) + bytes(LENGTH),
            "tiny chunks": tiny + b"0\r\n\r\n",
            "field of nearly the limit": its.make_head(X_Long="x" * 8000),
            "a hundred fields": its.make_head(method="GET", **fields),
            "body after a GET": its.make_head(method="GET", Content_Length=3) + b"abc",
            "chunk extension": extended + b"0\r\na: b\r\n\r\n",
        }

    def list_odd(self, its):
        return {
            "two lengths": its.make_head(Content_Length=3, content_length=4) + b"abcd",
            "over the limit": its.make_head(Content_Length=LENGTH + 1),
        }

    async def check_requests_ahead(self, its):
        reader, writer = await asyncio.open_connection("127.0.0.1", its.port)
        writer.write(its.make_head(method="GET") * 20)
        async with asyncio.timeout(ANSWER_SECONDS):
            answers = b""
            while answers.count(b"HTTP/1.1 200") < 20:
                data = await reader.read(2**16)
                self.assertTrue(data, answers)
                answers += data
        writer.transport.abort()

    async def check_slow_reader(self, its):
        """Read 20 KB a second for a while beside bodies that fill the memory."""
        reader, writer = await asyncio.open_connection("127.0.0.1", its.port)
        writer.write(its.make_head(fakegateway.LARGE_PATH, "GET"))
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
        bodies = asyncio.create_task(self.play(its, *self.list_abuses(its)["bodies"]))
        answer = bytearray()
        for _ in range(20):
            answer += await reader.readexactly(2048)
            await asyncio.sleep(0.1)
        async with asyncio.timeout(ANSWER_SECONDS):
            while not answer.endswith(LAST_CHUNK):
                data = await reader.read(2**16)
                self.assertTrue(data, len(answer))
                answer += data
        # The body is all zeros.
        self.assertEqual(answer.count(b"\0"), fakegateway.LARGE_BYTES)
        writer.transport.abort()
        await bodies


if __name__ == "__main__":
    unittest.main()
