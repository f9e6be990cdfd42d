"""Test the messages that an agent sends to an entry for each outcome."""

import asyncio
import unittest

from sapphireseam.agent import server
from sapphireseam.agent.fake import FakeStream, FakeUpstreamClient
from sapphireseam.agent.scheduler import Scheduler
from sapphireseam.core import command, error, exchange
from sapphireseam.policy import admission, queue
from sapphireseam.tools import fake
from sapphireseam.utils import grace, rpc
from sapphireseam.utils.crash import PROVEN_SECONDS, CrashDetector
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer


def make_offer(attempt=1, ask=False, remaining=30.0, alone=False, fingerprint=""):
    return exchange.Offer(
        attempt,
        "c",
        "POST",
        "/x",
        (),
        b"body",
        remaining,
        1.0,
        ask,
        alone,
        fingerprint or f"f{attempt}",
    )


class EntryServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        timeline = Timeline("a", self.timer)
        self.upstream = FakeUpstreamClient()
        mirror = fake.FakeMirror()
        self.crash_detector = CrashDetector(
            mirror, self.control, timeline, self.timer, self.upstream.has_ended
        )
        self.scheduler = Scheduler(
            queue.FairQueue(),
            admission.FixedAdmission(4),
            mirror,
            self.timer,
        )
        self.scheduler.slots = 4
        self.scheduler.queue_limit = 9
        self.server = server.EntryServer(
            self.upstream, self.scheduler, self.crash_detector, timeline, self.timer
        )
        await self.scheduler.start()
        self.stream = self.connect()
        self.addAsyncCleanup(self.scheduler.stop)
        self.addAsyncCleanup(self.crash_detector.stop)

    def connect(self):
        stream = FakeStream()
        task = asyncio.create_task(self.server.serve(exchange.Connect("e"), stream))

        async def end():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.addAsyncCleanup(end)
        return stream

    async def send(self, *items, stream=None):
        for item in items:
            (stream or self.stream).inbox.put_nowait(item)
        await self.timer.settle()

    def list_crashes(self):
        crashes = [x for x in self.control.asked if isinstance(x, command.ReportCrash)]
        return [each.requests for each in crashes]

    def list_fails(self):
        return self.stream.list_sent(exchange.Fail)

    async def test_complete_answer_carries_its_attempt_number(self):
        await self.send(make_offer(7))
        self.upstream.exchanges[0].answer(b"a", b"b")
        await self.timer.settle()
        kinds = [type(item).__name__ for item in self.stream.sent if item]
        self.assertEqual(kinds[-4:], ["Head", "Data", "Data", "End"])
        self.assertEqual({item.attempt for item in self.stream.sent[1:]}, {7})

    async def test_request_is_not_sent_without_the_entrys_permission(self):
        await self.send(make_offer(ask=True))
        self.assertEqual(len(self.stream.list_sent(exchange.Ready)), 1)
        await self.timer.advance(server.GO_SECONDS + 1.0)
        await self.send(exchange.Go(1))
        (failed,) = self.list_fails()
        self.assertTrue(failed.not_run)
        self.assertEqual(self.upstream.exchanges, [])

    async def test_request_is_not_sent_if_permission_is_read_after_the_deadline(self):
        """The agent may be frozen between the permission's arrival and its reading."""
        await self.send(make_offer(ask=True, remaining=1.0))
        self.stream.inbox.put_nowait(exchange.Go(1))
        self.timer._now += 1.5
        await self.timer.settle()
        (failed,) = self.list_fails()
        self.assertTrue(failed.not_run)
        self.assertEqual(self.upstream.exchanges, [])

    async def test_no_request_is_sent_to_an_upstream_that_has_crashed(self):
        self.upstream.has_crashed = True
        await self.send(make_offer())
        (failed,) = self.list_fails()
        self.assertEqual((failed.kind, failed.not_run), ("no_upstream", True))
        self.assertEqual(self.upstream.exchanges, [])

    async def test_no_request_runs_once_its_upstream_serves_something_else(self):
        self.upstream.served = "v1"
        self.scheduler.slots = 1
        offers = [make_offer(n)._replace(served="v1") for n in range(3)]
        await self.send(*offers, make_offer(3, ask=True)._replace(served="v1"))
        self.upstream.served = "v2"
        self.upstream.exchanges[0].answer(b"a")
        await self.send(exchange.Go(3))
        self.assertEqual([f.not_run for f in self.list_fails()], [True] * 3)
        self.assertEqual(len(self.upstream.exchanges), 1)

    async def test_repeated_permission_sends_the_request_once(self):
        await self.send(make_offer(ask=True), exchange.Go(1), exchange.Go(1))
        self.assertEqual(len(self.upstream.exchanges), 1)

    async def test_broken_exchange_is_not_reported_as_not_run(self):
        await self.send(make_offer(ask=True), exchange.Go(1))
        self.upstream.exchanges[0].fail(broken=True)
        await self.timer.advance(1.0)
        (failed,) = self.list_fails()
        self.assertEqual(
            (failed.not_run, failed.died, failed.kind),
            (False, True, error.Kind.OUTCOME_UNKNOWN),
        )

    async def test_refused_connection_is_not_run_and_no_crash(self):
        await self.send(make_offer())
        self.upstream.exchanges[0].fail(not_run=True)
        await self.timer.advance(1.0)
        (failed,) = self.list_fails()
        self.assertEqual((failed.not_run, failed.died), (True, False))
        self.assertEqual(self.list_crashes(), [])

    async def test_crash_under_many_requests_is_reported_once(self):
        await self.send(*[make_offer(number) for number in range(3)])
        for running in self.upstream.exchanges:
            running.fail(broken=True)
        await self.timer.advance(1.0)
        self.assertEqual([failed.died for failed in self.list_fails()], [True] * 3)
        self.assertEqual(self.list_crashes(), [(("f0",), ("f1",), ("f2",))])

    async def test_upstream_that_breaks_answers_but_stays_up_is_no_crash(self):
        self.upstream.is_down = False
        for number in range(32):
            await self.send(make_offer(number))
            self.upstream.exchanges[number].fail(broken=True)
            await self.timer.advance(1.0)
        self.assertEqual([failed.died for failed in self.list_fails()], [False] * 32)
        self.assertEqual(self.list_crashes(), [])

    async def test_only_unproven_requests_are_blamed_for_a_crash(self):
        await self.send(make_offer(1), make_offer(2), make_offer(3))
        headers = (("Content-Type", "text/event-stream"),)
        for running in self.upstream.exchanges[:2]:
            running._inbox.put_nowait(exchange.Head(0, 200, headers))
            running.send(b"a")
        await self.timer.advance(PROVEN_SECONDS)
        self.upstream.exchanges[0].send(b"b")
        await self.timer.settle()
        for running in self.upstream.exchanges:
            running.fail(broken=True)
        await self.timer.settle()
        self.assertEqual([failed.attempt for failed in self.list_fails()], [1])
        await self.timer.advance(1.0)
        self.assertEqual(self.list_crashes(), [(("f2",), ("f3",))])

    async def test_revoked_request_is_dequeued_or_cancelled(self):
        await self.send(*[make_offer(number) for number in range(5)])
        await self.send(exchange.Revoke(0), exchange.Revoke(4))
        self.assertTrue(self.upstream.exchanges[0].closed)
        self.assertEqual(len(self.upstream.exchanges), 4)
        self.assertEqual(self.scheduler.count_waiting(False), 0)

    async def test_end_of_an_entrys_stream_cancels_only_its_own_requests(self):
        other = self.connect()
        await self.send(make_offer(1))
        await self.send(make_offer(1), stream=other)
        await self.send(rpc.LinkError("gone"))
        self.assertEqual(
            [item.closed for item in self.upstream.exchanges], [True, False]
        )

    async def test_slow_caller_delays_only_its_own_answer(self):
        await self.send(make_offer(1), make_offer(2))
        slow, quick = self.upstream.exchanges
        part = bytes(64 * 1024)
        slow.begin()
        quick.begin()
        for _ in range(64):
            slow.send(part)
        quick.answer(b"quick")
        await self.timer.settle()
        self.assertEqual(self.stream.list_sent(exchange.End), [exchange.End(2)])
        sent = sum(
            len(item.body)
            for item in self.stream.list_sent(exchange.Data)
            if item.attempt == 1
        )
        self.assertLessEqual(sent, server.WINDOW_BYTES)
        await self.send(exchange.Credit(1, server.WINDOW_BYTES))
        more = [d for d in self.stream.list_sent(exchange.Data) if d.attempt == 1]
        self.assertEqual(len(more) * len(part), 2 * server.WINDOW_BYTES)

    async def test_internal_error_of_the_agent_still_ends_the_attempt(self):
        def run(*_):
            raise KeyError("a fault")

        self.upstream.run = run
        with self.assertLogs("sapphireseam.agent.server", "ERROR"):
            await self.send(make_offer())
        (failed,) = self.list_fails()
        self.assertFalse(failed.not_run)

    async def test_stop_refuses_waiting_and_finishes_running_requests(self):
        await self.send(*[make_offer(number) for number in range(5)])
        stopping = asyncio.create_task(self.server.stop())
        await self.timer.advance(5.0)
        await self.send(make_offer(9))
        self.assertEqual([f.attempt for f in self.list_fails()], [4, 9])
        self.assertTrue(all(f.not_run for f in self.list_fails()))
        self.assertTrue(self.stream.list_sent(exchange.Load)[-1].leaving)
        self.assertFalse(stopping.done())
        for running in self.upstream.exchanges:
            running.answer(b"whole")
        await self.timer.advance(1.0)
        self.assertEqual(len(self.stream.list_sent(exchange.End)), 4)
        self.assertTrue(stopping.done())

    async def test_stop_tells_entries_in_time_about_requests_that_outlast_the_grace(
        self,
    ):
        await self.send(make_offer(1, remaining=3000.0))
        await self.send(make_offer(2, ask=True, remaining=3000.0))
        stopping = asyncio.create_task(self.server.stop())
        await self.timer.advance(grace.DEFAULT_SECONDS * grace.CUT_SHARE)
        self.assertTrue(stopping.done())
        fails = {failed.attempt: failed.not_run for failed in self.list_fails()}
        self.assertEqual(fails, {1: False, 2: True})
        self.assertEqual(self.upstream.open, [])

    async def test_stop_does_not_wait_for_a_frozen_entry(self):
        self.stream.is_stuck = True
        await self.timer.settle()
        stopping = asyncio.create_task(self.server.stop())
        await self.timer.advance(server.FLUSH_SECONDS + 1.0)
        self.assertTrue(stopping.done())

    async def test_admission_observes_tokens_of_streamed_answers_only(self):
        observed = []
        self.scheduler._admission.observe_first_token = lambda work_id, now: (
            observed.append(work_id)
        )
        self.scheduler._admission.observe_step = lambda seconds, now: observed.append(
            "step"
        )
        await self.send(make_offer(1), make_offer(2))
        unstreamed, streamed = self.upstream.exchanges
        unstreamed.answer(b"a", b"b")
        headers = (("Content-Type", "text/event-stream"),)
        streamed._inbox.put_nowait(exchange.Head(0, 200, headers))
        streamed.send(b"a")
        streamed.send(b"b")
        await self.timer.settle()
        self.assertEqual(observed, ["e/0/2", "step"])
