"""Test what operators see of a control VM that stops."""

import asyncio
import gzip
import unittest

import aiohttp

from sapphireseam.platform import operator
from sapphireseam.tools import layout
from sapphireseam.utils.application import Application
from sapphireseam.utils.grace import Grace

GRACE_SECONDS = 1.0


class FakeAdmin:
    """Never answers to a retirement; returns the configuration at once."""

    def __init__(self):
        self.retired = []

    async def retire(self, node):
        self.retired.append(node)
        await asyncio.sleep(60.0)

    async def read(self):
        return b"{}"


class OperatorFrontTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_answers_open_and_new_calls_within_the_grace(self):
        (port,) = layout.find_ports(1)
        base = f"http://127.0.0.1:{port}"
        grace, admin = Grace(GRACE_SECONDS), FakeAdmin()
        application = Application("control", grace)
        application.add(operator.OperatorFront(admin, f"127.0.0.1:{port}", grace))
        await application.start()
        async with aiohttp.ClientSession() as http:
            async with http.get(base + "/config/get") as answer:
                self.assertEqual(answer.status, 200)
            open_call = asyncio.create_task(http.post(base + "/retire/n1/start"))
            while not admin.retired:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            application.request_stop()
            stopping = asyncio.create_task(application.stop())
            await asyncio.sleep(0.1)
            async with http.post(base + "/retire/n2/start") as answer:
                self.assertEqual(answer.status, 503)
                self.assertIn("Retry-After", answer.headers)
            self.assertEqual((await open_call).status, 504)
            await stopping
        self.assertEqual(admin.retired, ["n1"])
        self.assertGreater(grace.read_remaining(), 0.0)

    async def test_a_body_whose_encoding_is_odd_is_the_operators_error(self):
        (port,) = layout.find_ports(1)
        front = operator.OperatorFront(FakeAdmin(), f"127.0.0.1:{port}", Grace(0.5))
        await front.start()
        self.addAsyncCleanup(front.stop)
        url = f"http://127.0.0.1:{port}/config/put"
        whole = gzip.compress(b"{}")
        async with aiohttp.ClientSession() as http:
            for body in (b"no gzip", whole[:-4], whole[:9] + b"\xff" * 9):
                headers = {"Content-Encoding": "gzip"}
                async with http.post(url, data=body, headers=headers) as answer:
                    self.assertEqual(answer.status, 400, body)


if __name__ == "__main__":
    unittest.main()
