"""Test that a claimed request runs once, even if its entry or caller is lost."""

import asyncio
import unittest

from sapphireseam.core import command, error, message
from sapphireseam.entry import claim
from sapphireseam.entry.fake import FakeSink, make_future, make_request
from sapphireseam.tools import fake
from sapphireseam.utils.timer import FakeTimer


class FakeForwarder:
    """Answer a request after the test has set `go`."""

    def __init__(self):
        self.runs = 0
        self.failure: error.SeamError | None = None
        self.go = asyncio.Event()

    async def serve(self, request, sink, stopped):
        await self.go.wait()
        if self.failure is not None:
            raise self.failure
        self.runs += 1
        await sink.begin(201, (("X", "y"),))
        await sink.write(b"printed")
        await sink.finish()


class IdempotentForwarderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        self.forwarder = FakeForwarder()
        self.entries = [
            claim.IdempotentForwarder(self.control, self.timer) for _ in "ab"
        ]
        self.number = 0

    def serve(self, entry=0):
        """Send or resend the request through one of two entries."""
        self.number += 1
        request = make_request(self.timer.read_clock(), idempotent=False, key="k")
        request = request._replace(id=f"req-{self.number}")
        sink = FakeSink()
        entry_forwarder = self.entries[entry]
        work = entry_forwarder.serve(request, sink, make_future(), self.forwarder)
        return asyncio.create_task(work), sink

    async def finish(self, task, seconds=1.0):
        await self.timer.advance(seconds)
        self.assertTrue(task.done())
        return task.exception()

    async def test_any_entry_replays_a_completed_answer_without_a_run(self):
        self.forwarder.go.set()
        for entry in (0, 1, 0):
            task, sink = self.serve(entry)
            self.assertIsNone(await self.finish(task))
            self.assertEqual((sink.status, sink.body), (201, b"printed"))
        self.assertEqual(self.forwarder.runs, 1)

    async def test_resends_through_many_entries_at_once_run_once(self):
        tasks = [self.serve(number % 2)[0] for number in range(6)]
        await self.timer.settle()
        self.forwarder.go.set()
        await self.timer.advance(1.0)
        failures = [task.exception() for task in tasks]
        self.assertEqual(failures.count(None), 1)
        for failure in filter(None, failures):
            self.assertEqual((failure.kind, failure.not_run), ("conflict", False))
            self.assertGreater(failure.retry_after, 0)
        self.assertEqual(self.forwarder.runs, 1)

    async def test_lost_holders_claim_ends_as_outcome_unknown(self):
        """Resend while the request may still be running, and again afterwards."""
        task, _ = self.serve(0)
        await self.timer.settle()
        await self.entries[0]._tasks.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.forwarder.go.set()
        early = await self.finish(self.serve(1)[0])
        self.assertEqual((early.kind, early.not_run), ("conflict", False))
        await self.timer.advance(30.0 + claim.MARGIN_SECONDS)
        late = await self.finish(self.serve(1)[0])
        self.assertEqual((late.kind, late.not_run), ("outcome_unknown", False))
        self.assertEqual(late.retry_after, 0)
        self.assertEqual(self.forwarder.runs, 0)

    async def test_run_continues_when_its_caller_disconnects(self):
        task, _ = self.serve(0)
        await self.timer.settle()
        task.cancel()
        await self.timer.settle()
        self.assertEqual(self.entries[0].open_count, 1)
        self.forwarder.go.set()
        await self.timer.advance(1.0)
        self.assertEqual(self.entries[0].open_count, 0)
        again, sink = self.serve(1)
        self.assertIsNone(await self.finish(again))
        self.assertEqual(sink.body, b"printed")
        self.assertEqual(self.forwarder.runs, 1)

    async def test_request_that_was_not_run_releases_its_claim(self):
        self.forwarder.failure = error.CapacityError("full")
        self.forwarder.go.set()
        failure = await self.finish(self.serve(0)[0])
        self.assertTrue(failure.not_run)
        self.forwarder.failure = None
        self.assertIsNone(await self.finish(self.serve(1)[0]))
        self.assertEqual(self.forwarder.runs, 1)

    async def test_unknown_outcome_keeps_its_claim(self):
        self.forwarder.failure = error.OutcomeError("lost")
        self.forwarder.go.set()
        failure = await self.finish(self.serve(0)[0])
        self.assertFalse(failure.not_run)
        self.forwarder.failure = None
        again = await self.finish(self.serve(1)[0])
        self.assertFalse(again.not_run)
        self.assertEqual(self.forwarder.runs, 0)

    async def test_caller_gets_an_answer_that_cannot_be_committed(self):
        """The control VMs are lost after the run; the caller still gets its answer."""
        for kind in (message.WriteBlob, command.SettleClaim):
            self.control.machine.state.claims.clear()
            self.control.lose = lambda request, kind=kind: (
                "question" if isinstance(request, kind) else ""
            )
            self.forwarder.go.set()
            task, sink = self.serve(0)
            self.assertIsNone(await self.finish(task, 10.0))
            self.assertEqual(sink.body, b"printed")
            self.control.lose = lambda request: ""
            again = await self.finish(self.serve(1)[0])
            self.assertFalse(again.not_run)

    async def test_repeated_claim_of_the_same_holder_is_accepted(self):
        """The answer to the claim is lost and the client sends the claim again."""
        self.forwarder.go.set()
        request = make_request(0.0, idempotent=False, key="k")
        item = command.ClaimRequest("c", "k", request.fingerprint, "req-1", 1000.0)
        await self.control.propose(item)
        self.assertIsNone(await self.finish(self.serve(0)[0]))
        self.assertEqual(self.forwarder.runs, 1)

    async def test_failed_replay_is_not_reported_as_not_run(self):
        self.forwarder.go.set()
        await self.finish(self.serve(0)[0])
        self.control.lose = lambda request: (
            "question" if isinstance(request, message.ReadBlob) else ""
        )
        failure = await self.finish(self.serve(1)[0])
        self.assertFalse(failure.not_run)
