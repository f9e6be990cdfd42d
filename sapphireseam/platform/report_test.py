"""Test how replicas' reports are read and runs are stopped."""

import doctest
import json
import unittest

from sapphireseam.core.instance import Instance
from sapphireseam.platform import report
from sapphireseam.utils.outbound import Reply

SOURCE = Instance("i1", "llm", "10.0.0.1:80", "z", 8)
TARGET = Instance("i2", "llm", "10.0.0.2:80", "z", 8)


class FakeUpstreams:
    def __init__(self, answer):
        self.answer = answer
        self.orders = []

    async def send_order(self, instance, method, path, body, seconds):
        self.orders.append((instance, method, path, body))
        return self.answer


class ReportTest(unittest.IsolatedAsyncioTestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(report).failed, 0)

    def test_malformed_parts_of_a_report_are_ignored(self):
        for body in (b"", b"{", b'{"runs": 3}', b'{"runs": [[], [4], ["a"]]}'):
            self.assertLessEqual(len(report.read_report(body).ids), 1)

    async def test_a_stopped_runs_copy_is_freed(self):
        for status in (200, 503):
            body = b'{"handle": "h1", "made": 3}'
            upstreams = FakeUpstreams(Reply(status, body))
            await report.stop_run(upstreams, SOURCE, "r1", TARGET)
            self.assertEqual(len(upstreams.orders), 2)
        move, free = upstreams.orders
        self.assertEqual(move[:3], (SOURCE, "POST", "/kv-move"))
        self.assertEqual(
            json.loads(move[3]), {"id": "r1", "to": TARGET.address, "last": True}
        )
        self.assertEqual(free[1:3], ("DELETE", "/kv-handle/h1"))

    async def test_an_answer_without_a_handle_needs_no_second_request(self):
        for answer in (None, Reply(404, b""), Reply(503, b"")):
            upstreams = FakeUpstreams(answer)
            await report.stop_run(upstreams, SOURCE, "r1", TARGET)
            self.assertEqual(len(upstreams.orders), 1)


if __name__ == "__main__":
    unittest.main()
