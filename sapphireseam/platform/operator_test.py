"""Test what operators see of a control VM that stops."""

import asyncio
import gzip
import unittest

import aiohttp
import yarl

from sapphireseam.platform import operator
from sapphireseam.tools import layout
from sapphireseam.utils.application import Application
from sapphireseam.utils.grace import Grace

GRACE_SECONDS = 1.0


class FakeAdmin:
    """Never answers to a retirement; returns the configuration at once."""

    def __init__(self):
        self.retired = []
        self.evacuations = []
        # Whether orders to evacuate wait until they are released.
        self.holds = False
        self.released = asyncio.Event()

    async def retire(self, node):
        self.retired.append(node)
        await asyncio.sleep(60.0)

    async def read(self):
        return b"{}"

    async def set_evacuation(self, domain, is_evacuated, is_wanted):
        self.evacuations.append((domain, is_evacuated, is_wanted()))
        if self.holds:
            await self.released.wait()
            self.evacuations.append(is_wanted())


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

    async def test_evacuations_are_ordered_and_unknown_zones_are_refused(self):
        (port,) = layout.find_ports(1)
        admin = FakeAdmin()
        front = operator.OperatorFront(
            admin, f"127.0.0.1:{port}", Grace(0.5), (), {"a-1"}.__contains__
        )
        await front.start()
        self.addAsyncCleanup(front.stop)
        url = f"http://127.0.0.1:{port}/evacuate"
        odd = ("b", "a-1%00", "%ff", "x" * 4000)
        paths = [("a-1/start", 200), ("a-1/start", 200), ("a-1/end", 200)]
        paths += [(f"{name}/{end}", 404) for name in odd for end in ("start", "end")]
        async with aiohttp.ClientSession() as http:
            for path, status in paths:
                target = yarl.URL(f"{url}/{path}", encoded=True)
                async with http.post(target) as answer:
                    self.assertEqual(answer.status, status, path)
        expected = [("a-1", True, True)] * 2 + [("a-1", False, True)]
        self.assertEqual(admin.evacuations, expected)
        admin.holds = True
        async with aiohttp.ClientSession() as http:
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(http.post(f"{url}/a-1/start"), 0.1)
        await asyncio.sleep(0.05)
        admin.released.set()
        await asyncio.sleep(0.05)
        # Its sender has gone, or the order was dropped with it.
        self.assertNotIn(True, admin.evacuations[4:])

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
