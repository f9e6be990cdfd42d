"""Test that each crash is reported once, and other failures are not reported."""

import asyncio
import socket
import unittest

from sapphireseam.core import command, error
from sapphireseam.core.instance import Instance
from sapphireseam.tools import fake
from sapphireseam.utils import crash, fakeupstream
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        self.mirror = fake.FakeMirror()
        self.is_down = True
        self.probes = []

        async def has_ended(run):
            self.probes.append(run)
            return self.is_down

        timeline = Timeline("a", self.timer)
        self.detector = crash.CrashDetector(
            self.mirror, self.control, timeline, self.timer, has_ended
        )
        self.addAsyncCleanup(self.detector.stop)
        self.open("123")

    def open(self, names, run=crash.Run("u")):
        self.exchanges = {name: self.detector.open(run) for name in names}

    def detect_crash(self, name, *traits):
        exchange = self.exchanges[name]
        task = asyncio.create_task(exchange.detect_crash(traits or (f"f{name}",)))
        task.add_done_callback(lambda _: exchange.close())
        return task

    def list_reports(self):
        requests = self.control.asked
        return [item for item in requests if isinstance(item, command.ReportCrash)]

    def list_requests(self):
        return [report.requests for report in self.list_reports()]

    async def test_simultaneous_breaks_are_one_crash(self):
        tasks = [self.detect_crash(name) for name in "123"]
        await self.timer.advance(1.0)
        self.assertEqual([task.result() for task in tasks], [True] * 3)
        self.assertEqual(self.list_requests(), [(("f1",), ("f2",), ("f3",))])
        self.assertEqual(len(self.probes), 1)

    async def test_late_break_belongs_to_the_same_crash(self):
        first = self.detect_crash("1")
        await self.timer.advance(crash.COLLECT_SECONDS / 2)
        rest = [self.detect_crash(name) for name in "23"]
        await self.timer.advance(1.0)
        self.assertTrue(first.result() and rest[0].result() and rest[1].result())
        self.assertEqual(len(self.list_reports()), 1)

    async def test_a_request_that_met_an_upstream_already_down_is_no_second_crash(self):
        first = self.detect_crash("1")
        await self.timer.advance(crash.COLLECT_SECONDS / 2)
        self.open("x")
        later = self.detect_crash("x")
        await self.timer.advance(1.0)
        self.assertTrue(first.result() and later.result())
        self.assertEqual(self.list_requests(), [(("f1",), ("fx",))])

    async def test_break_is_no_crash_while_other_work_still_runs(self):
        task = self.detect_crash("1")
        await self.timer.advance(crash.COLLECT_SECONDS / 2)
        self.exchanges["2"].record_received()
        await self.timer.advance(1.0)
        self.assertFalse(task.result())
        self.assertEqual(self.list_reports(), [])

    async def test_break_is_no_crash_while_the_upstream_is_up(self):
        self.is_down = False
        tasks = [self.detect_crash(name) for name in "123"]
        await self.timer.advance(1.0)
        self.assertEqual([task.result() for task in tasks], [False] * 3)
        self.assertEqual(self.list_reports(), [])

    async def test_upstream_that_breaks_answers_but_stays_up_blames_nobody(self):
        self.is_down = False
        for number in range(32):
            self.open("x", crash.Run("v"))
            task = self.detect_crash("x", f"f{number}", "part:shared")
            await self.timer.advance(1.0)
            self.assertFalse(task.result())
        self.assertEqual(self.control.asked, [])

    async def test_work_answered_before_classification_is_not_suspected(self):
        task = self.detect_crash("1")
        await self.timer.settle()
        for name in "23":
            self.exchanges[name].close()
        await self.timer.advance(1.0)
        self.assertTrue(task.result())
        self.assertEqual(self.list_requests(), [(("f1",),)])

    async def test_work_without_traits_is_part_of_a_crash_but_not_reported(self):
        for name in "12":
            self.exchanges[name].record_break()
        task = self.detect_crash("3")
        await self.timer.advance(1.0)
        self.assertTrue(task.result())
        self.assertEqual(self.list_requests(), [(("f3",),)])

    async def test_a_crash_without_suspects_is_not_reported(self):
        crashed = [self.exchanges[name].record_break() for name in "123"]
        await self.timer.advance(1.0)
        self.assertEqual([each.result() for each in crashed], [True] * 3)
        self.assertEqual(self.control.asked, [])

    async def test_runs_of_upstreams_are_told_apart(self):
        instance = Instance("i", "s", "10.0.0.1:80", "z", 8, born=7)
        self.open("x", crash.get_run(instance))
        self.detect_crash("x")
        await self.timer.advance(1.0)
        self.open("y", crash.get_run(instance._replace(born=9)))
        self.detect_crash("y")
        await self.timer.advance(1.0)
        runs = [(report.upstream, report.run) for report in self.list_reports()]
        self.assertEqual(runs, [("i", "i/7"), ("i", "i/9")])

    async def test_an_open_exchange_with_another_run_is_no_sign_of_life(self):
        self.open("x", crash.Run("other"))
        task = self.detect_crash("x")
        await self.timer.advance(1.0)
        self.assertTrue(task.result())

    async def test_repeated_request_is_quarantined_after_its_second_crash(self):
        for _ in range(2):
            self.open("1", crash.Run("v"))
            self.detect_crash("1")
            await self.timer.advance(1.0)
        found = self.control.machine.state.verdicts["f1"]
        self.assertTrue(found.is_cause)

    async def test_next_crash_is_reported_again(self):
        for name in "12":
            self.open(name, crash.Run("v"))
            self.detect_crash(name)
            await self.timer.advance(1.0)
        self.assertEqual(self.list_requests(), [(("f1",),), (("f2",),)])
        self.assertEqual(len({report.run for report in self.list_reports()}), 2)

    async def test_lost_report_is_sent_until_it_is_accepted(self):
        self.open("1", crash.Run("v"))
        self.control.lose = lambda request: "question"
        task = self.detect_crash("1")
        await self.timer.advance(10.0)
        self.assertTrue(task.result())
        self.control.lose = lambda request: ""
        await self.timer.advance(2.0)
        self.assertEqual(len(self.list_reports()), 1)
        self.assertEqual(len(self.control.machine.state.crashes), 1)

    async def test_report_with_a_lost_answer_counts_once(self):
        self.open("1", crash.Run("v"))
        lost = ["answer", ""]
        self.control.lose = lambda request: lost.pop(0)
        self.detect_crash("1")
        await self.timer.advance(10.0)
        self.assertEqual(len(self.list_reports()), 2)
        self.assertEqual(len(self.control.machine.state.crashes), 1)

    async def test_callers_wait_for_the_report_but_not_for_ever(self):
        self.control.lose = lambda request: "question"
        tasks = [self.detect_crash(name) for name in "123"]
        await self.timer.advance(crash.COLLECT_SECONDS + crash.REPORT_SECONDS / 2)
        self.assertFalse(any(task.done() for task in tasks))
        await self.timer.advance(crash.REPORT_SECONDS)
        self.assertTrue(all(task.result() for task in tasks))

    async def test_a_report_is_accepted_even_if_its_verdict_is_not_mirrored(self):
        async def fail():
            raise error.ControlError("no control VM can be reached")

        self.mirror.refresh = fail
        self.open("1", crash.Run("v"))
        self.detect_crash("1")
        await self.timer.advance(10.0)
        self.assertEqual(len(self.list_reports()), 1)


class ProofTest(unittest.TestCase):
    def setUp(self):
        self.timer = FakeTimer()
        self.proven = []
        self.proof = crash.Proof(self.timer, lambda: self.proven.append(1))

    def record(self, *times):
        for at in times:
            self.timer._now = 1000.0 + at
            self.proof.record_events()
        return self.proof.is_proven

    def test_only_events_that_span_some_time_prove_a_request(self):
        self.assertFalse(self.record(0.0))
        self.assertFalse(self.record(0.1, 0.2, 0.4))
        self.assertTrue(self.record(crash.PROVEN_SECONDS))
        self.record(0.6)
        self.proof.record_success()
        self.assertEqual(self.proven, [1])

    def test_events_of_different_attempts_prove_nothing(self):
        self.record(0.0)
        self.proof.restart()
        self.assertFalse(self.record(9.0))
        self.assertEqual(self.proven, [])

    def test_a_proven_request_stays_proven_in_its_next_attempt(self):
        self.proof.record_success()
        self.proof.restart()
        self.assertTrue(self.proof.is_proven)


class DownTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, answer):
        """Start a server that sends these bytes to each request, then closes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def test_an_upstream_is_down_if_it_refuses_or_ignores_connections(self):
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            self.assertFalse(await crash.is_down(address, "/"))
            # A full backlog drops further connections silently.
            waiting = [socket.socket() for _ in range(4)]
            for each in waiting:
                self.addCleanup(each.close)
                each.setblocking(False)
                each.connect_ex(server.getsockname())
            self.assertTrue(await crash.is_down(address, "/"))
        self.assertTrue(await crash.is_down(address, "/"))

    async def test_a_sidecar_that_accepts_connections_shows_no_upstream_up(self):
        for status in (502, 503, 504):
            head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
            self.assertTrue(await crash.is_down(await self.start(head), "/"))
        self.assertTrue(await crash.is_down(await self.start(b""), "/"))

    async def test_an_upstream_that_stops_in_the_head_of_its_answer_is_down(self):
        upstream = fakeupstream.FakeUpstream("u1")
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        for raw in fakeupstream.list_cut_heads():
            upstream.behaviours = [raw, raw]
            with self.subTest(raw):
                self.assertTrue(await crash.is_down(upstream.instance.address, "/x"))

    async def test_an_upstream_that_answers_is_up(self):
        def is_signed(headers):
            return "Signed" in headers

        for status in (200, 404, 429, 500):
            head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
            self.assertFalse(await crash.is_down(await self.start(head), "/"))
        head = b"HTTP/1.1 503 X\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"
        self.assertFalse(await crash.is_down(await self.start(head), "/", is_signed))
        invalid = b"HTTP/1.1 200 X\r\nA: \x01\r\nContent-Length: 0\r\n\r\n"
        for answer in (b"what\r\n\r\n", b"HTTP/1.1 101 X\r\n\r\n", invalid):
            self.assertFalse(await crash.is_down(await self.start(answer), "/"))


if __name__ == "__main__":
    unittest.main()
