"""Tests that a link with a fault behaves like a network with that fault."""

import asyncio
import unittest

from sapphireseam.tools import layout, proxy
from sapphireseam.utils import framing


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.echo_handler = None
        near, far = (f"{layout.HOST}:{port}" for port in layout.find_ports(2))
        host, port = far.rsplit(":", 1)
        self.server = await asyncio.start_server(self.echo, host, int(port))
        self.proxy = proxy.Proxy(near, far)
        await self.proxy.start()

    async def asyncTearDown(self):
        await self.proxy.stop()
        # The tasks of the echo server end after their connections are closed.
        await asyncio.sleep(0.05)
        self.server.close()

    async def echo(self, reader, writer):
        if self.echo_handler is not None:
            await self.echo_handler(reader, writer)
            return
        try:
            while data := await reader.read(100):
                writer.write(data)
        except ConnectionError:
            return
        finally:
            writer.close()

    async def connect(self):
        host, port = self.proxy.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def expect(self, reader, text, seconds=5.0):
        async with asyncio.timeout(seconds):
            self.assertEqual(await reader.readexactly(len(text)), text)

    async def expect_nothing(self, reader):
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)

    async def test_a_healthy_link_forwards_all_bytes_and_the_end(self):
        reader, writer = await self.connect()
        writer.write(b"one")
        await self.expect(reader, b"one")
        writer.write_eof()
        self.assertEqual(await reader.read(), b"")

    async def test_a_reset_by_the_server_reaches_the_client_as_a_reset(self):
        async def send_and_reset(reader, writer):
            await reader.read(1)
            writer.write(b"part")
            framing.break_off(writer.transport)

        self.echo_handler = send_and_reset
        for _ in range(5):
            reader, writer = await self.connect()
            writer.write(b"x")
            with self.assertRaises(ConnectionResetError):
                while await reader.read(100):
                    pass

    async def test_a_silent_link_holds_bytes_back_until_the_fault_is_cleared(self):
        for kind in (
            proxy.LinkFault.SILENT,
            proxy.LinkFault.SILENT_REQUESTS,
            proxy.LinkFault.SILENT_REPLIES,
        ):
            with self.subTest(kind):
                reader, writer = await self.connect()
                writer.write(b"one")
                await self.expect(reader, b"one")
                self.proxy.set_fault(kind)
                writer.write(b"two")
                await self.expect_nothing(reader)
                self.proxy.set_fault(proxy.LinkFault.NONE)
                await self.expect(reader, b"two")

    async def test_a_new_connection_to_a_silent_link_gets_nothing(self):
        self.proxy.set_fault(proxy.LinkFault.SILENT)
        reader, writer = await self.connect()
        writer.write(b"one")
        await self.expect_nothing(reader)
        self.proxy.set_fault(proxy.LinkFault.NONE)
        await self.expect(reader, b"one")

    async def test_a_reset_ends_open_connections_and_new_ones_work(self):
        reader, writer = await self.connect()
        writer.write(b"one")
        await self.expect(reader, b"one")
        self.proxy.reset()
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(5.0):
                await reader.readexactly(1)
        reader, writer = await self.connect()
        writer.write(b"two")
        await self.expect(reader, b"two")

    async def test_an_unreachable_target_ends_the_connection(self):
        self.server.close()
        await self.server.wait_closed()
        reader, _ = await self.connect()
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")


if __name__ == "__main__":
    unittest.main()
