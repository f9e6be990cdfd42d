"""Test how items of bulk jobs run on free slots, resume, fail and end."""

import asyncio
import json
import unittest
from unittest import mock

from sapphireseam.control import bulkrunner, machine as machines, placement
from sapphireseam.core import command, error, fleet, placement as messages
from sapphireseam.core.instance import get_run_name
from sapphireseam.policy import allocator, limit
from sapphireseam.utils import fakeflood, fakeupstream, outbound
from sapphireseam.utils.fakeupstream import make_raw
from sapphireseam.utils.timer import SystemTimer

# What the buffers of a connection may hold.
SOCKET_BYTES = 6 * 1024 * 1024

DOCUMENT = {
    "services": {"llm": {"tells_load": True}},
    "customers": {"c": {"contract": ""}},
    "routes": {
        "r": {
            "path": "/b/",
            "service": "llm",
            "batch": {"due": 18, "abandon": 60, "attempts": 2},
        }
    },
}


class FakeReplica:
    """Apply each proposal at once."""

    def __init__(self, machine):
        self.is_leader = True
        self.has_caught_up = True
        self.leader = "me"
        self.term = 1
        self.members = ()
        self._machine = machine
        self._index = 0
        # The next results are refused, as while the leader has no lease.
        self.refuses_results = False
        # Proposals are applied once it is set.
        self.commits = asyncio.Event()
        self.commits.set()

    async def propose(self, data):
        is_result = isinstance(command.REGISTRY.decode(data), command.ListResults)
        if self.refuses_results and is_result:
            self.refuses_results = self.is_leader = False
            asyncio.get_running_loop().call_soon(setattr, self, "is_leader", True)
            raise error.NotLeaderError("no lease")
        await self.commits.wait()
        self._index += 1
        return self._machine.apply(self._index, data)

    async def wait_caught_up(self):
        while not self.has_caught_up:  # noqa: ASYNC110
            await asyncio.sleep(0.001)


class FakeRateLimitService:
    """Refuse a debit with the next wait of `waits`; grant it if none is left."""

    def __init__(self):
        self.contracts = {"limited": fleet.Contract(10.0, 10.0)}
        self.waits = []

    async def wait_ready(self, seconds):
        """Do nothing; the fake is always ready."""

    async def debit_one(self, customer):
        if self.waits:
            return limit.Grant(0.0, self.waits.pop(0))
        return limit.Grant(1.0, 0.0)


class LeaderTest(unittest.IsolatedAsyncioTestCase):
    """Set up a leader with one known upstream."""

    async def asyncSetUp(self):
        self.timer = SystemTimer()
        self.machine = machines.StateMachine()
        self.replica = FakeReplica(self.machine)
        self.probe_result = placement.ProbeResult(())
        self.upstream = fakeupstream.FakeUpstream("u1")
        self.other = fakeupstream.FakeUpstream("u2")
        for upstream in (self.upstream, self.other):
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        self.outbound = outbound.ConnectionPool(fakeupstream.FakeDialect())
        self.addAsyncCleanup(self.outbound.stop)

        self.stopped = []
        self.rate_limits = FakeRateLimitService()

        async def probe(instance, path, seconds):
            return self.probe_result

        async def stop_run(instance, request, other):
            self.stopped.append((instance.id, request, other.id))

        self.placement = placement.PlacementServer(
            self.replica, self.machine, self.rate_limits, probe, stop_run, self.timer
        )
        self.runner = bulkrunner.BulkRunner(
            self.replica, self.machine, self.placement, self.outbound, self.timer
        )
        await self.apply(
            command.PublishNumbered(1, json.dumps(DOCUMENT).encode(), b"", 1.0)
        )
        self.placement.update_instances((self.upstream.instance,))
        for part in (self.placement, self.runner):
            await part.start()
            self.addAsyncCleanup(part.stop)

    async def apply(self, item):
        return await self.replica.propose(command.REGISTRY.encode(item))


class BulkRunnerTest(LeaderTest):
    async def accept(self, count=1, abandon=60.0, target="/b/x", header=("H", "v")):
        now = self.timer.read_wall_clock()
        items = tuple(
            command.LotItem(f"i{n}", target, (header,), b"body", 10)
            for n in range(count)
        )
        job = command.AcceptLot("l", "c", "r", items, 0, now, now + 18, now + abandon)
        await self.apply(job)

    async def wait_done(self, seconds=5.0):
        end = self.timer.read_clock() + seconds
        while (job := self.machine.state.lots["l"]).is_open:
            self.assertLess(self.timer.read_clock(), end, "too late")
            await asyncio.sleep(0.01)
        return {result.item: result for result in job.results}

    async def wait_idle(self):
        """Wait until no item runs."""
        while self.placement.allocator.count_running("llm", True):  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def wait_event(self, number):
        """Wait until the item's run has received an event."""
        tracked = self.runner._progress
        while ("l", 0) not in tracked or tracked["l", 0].last_event != number:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    async def wait_begun(self):
        """Wait until the item's run has received an event."""
        tracked = self.runner._progress
        while ("l", 0) not in tracked or tracked["l", 0].last_event < 0:  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    def expect_output(self, item):
        return b"\n".join(b"%s-%d" % (item, number) for number in range(4))

    async def test_items_run_and_their_complete_output_is_recorded(self):
        await self.accept(12)
        results = await self.wait_done()
        for number, result in results.items():
            self.assertEqual(result.output, self.expect_output(b"i%d" % number))
        run = self.upstream.runs[0]
        self.assertEqual((run.body, run.headers["H"]), (b"body", "v"))
        self.assertEqual(self.placement.allocator.count_running("llm", True), 0)

    async def test_output_of_an_unframed_stream_that_breaks_off_is_completed(self):
        for behaviour in ("unframed-cut", "unframed-empty", "unframed-reset"):
            with self.subTest(behaviour):
                self.upstream.event_delay = 0.01
                self.upstream.behaviours = [behaviour]
                await self.accept()
                results = await self.wait_done()
                self.assertEqual(results[0].output, self.expect_output(b"i0"))
                del self.machine.state.lots["l"]

    async def test_an_upstream_that_pauses_keeps_its_item(self):
        for behaviour in ("pause-head", "pause-start", "pause"):
            with self.subTest(behaviour):
                self.upstream.behaviours = [behaviour]
                before = len(self.upstream.runs)
                await self.accept()
                results = await self.wait_done()
                self.assertEqual(results[0].output, self.expect_output(b"i0"))
                self.assertEqual(len(self.upstream.runs), before + 1)
                del self.machine.state.lots["l"]

    async def test_output_of_an_item_never_mixes_two_software_versions(self):
        self.upstream.version, self.other.version = "v1", "v2"
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        self.other.slots = self.upstream.slots = 1
        self.upstream.behaviours = self.other.behaviours = ["cut"] * 3
        await self.accept(6)
        await self.wait_done(10.0)
        runs = self.upstream.runs + self.other.runs
        self.assertGreater(len(runs), 6)
        for runs in (self.upstream.runs, self.other.runs):
            begun = {run.id for run in runs if fakeupstream.RESUME not in run.headers}
            resumed = {run.id for run in runs if fakeupstream.RESUME in run.headers}
            self.assertLessEqual(resumed, begun)

    async def test_item_whose_resumption_brings_no_event_starts_again(self):
        self.upstream.behaviours = ["unframed-cut", "unframed-empty"]
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        resumed = [fakeupstream.RESUME in run.headers for run in self.upstream.runs]
        self.assertEqual(resumed, [False, True, False])

    async def test_output_is_continued_only_by_the_events_that_follow(self):
        third, fourth = b"id: 2\ndata: i0-2\n\n", b"id: 3\ndata: i0-3\n\n"
        for name, answer in {
            "text": make_raw(b"sorry", content_type=b"text/plain"),
            "json": make_raw(b'{"error": 1}', content_type=b"application/json"),
            "empty": make_raw(b""),
            "comments": make_raw(b": sorry\n\n"),
            "no id": make_raw(b"data: sorry\n\n"),
            "no id at last": make_raw(third + b"data: sorry\n\n"),
            "head": make_raw(b"HTTP/1.1 500 X\r\ndata: sorry\r\n\r\n"),
            "from the start": make_raw(b"id: 0\ndata: x\n\n" + third),
            "gap": make_raw(fourth),
            "gap at last": make_raw(third + b"id: 4\ndata: x\n\n"),
            "repeated": make_raw(third + third + fourth),
        }.items():
            with self.subTest(name):
                self.upstream.behaviours = ["cut", answer]
                await self.accept()
                results = await self.wait_done()
                del self.machine.state.lots["l"]
                self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_cut_head_is_no_output_of_an_item(self):
        cut_heads = fakeupstream.list_cut_heads()
        with mock.patch.object(bulkrunner, "MIN_BACKOFF_SECONDS", 0.0):
            for number, raw in enumerate(cut_heads):
                self.upstream.behaviours = ["cut"] * (number % 4 > 1) + [raw]
                await self.accept()
                results = await self.wait_done()
                del self.machine.state.lots["l"]
                with self.subTest(raw):
                    self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_comments_in_a_stream_are_no_part_of_the_output(self):
        events = [b": x\n\nid: %d\ndata: i0-%d\n\n" % (n, n) for n in range(4)]
        whole = make_raw(b"".join(events))
        cut = whole._replace(data=whole.data.removesuffix(b"".join(events[1:])))
        for behaviour in (whole, cut):
            self.upstream.behaviours = [behaviour]
            await self.accept()
            results = await self.wait_done()
            del self.machine.state.lots["l"]
            self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs[2].headers[fakeupstream.RESUME], "0")

    async def test_only_a_failed_run_counts_as_a_failure(self):
        for status in (b"204 No Content", b"302 Found", b"404 X", b"502 Bad Gateway"):
            with self.subTest(status):
                answer = make_raw(b"", status)
                self.upstream.behaviours = [answer, "cut", answer, answer]
                await self.accept()
                results = await self.wait_done()
                del self.machine.state.lots["l"]
                self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_item_whose_version_serves_no_more_starts_again(self):
        self.upstream.version, self.other.version = "v1", "v2"
        self.placement.update_instances((self.upstream.instance,))
        self.upstream.behaviours = ["stall"]
        await self.accept()
        await asyncio.sleep(0.1)
        self.placement.update_instances((self.other.instance,))
        results = await self.wait_done(10.0)
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertNotIn(fakeupstream.RESUME, self.other.runs[0].headers)

    async def test_item_whose_version_stays_out_of_reach_starts_again(self):
        self.upstream.version, self.other.version = "v1", "v2"
        self.upstream.slots = 9
        self.upstream.behaviours = ["cut"]
        self.probe_result = None
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        await self.accept()
        results = await self.wait_done(10.0)
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(len(self.upstream.runs), 1)
        self.assertNotIn(fakeupstream.RESUME, self.other.runs[0].headers)

    async def test_saved_item_whose_version_refuses_connections_starts_again(self):
        self.upstream.version, self.other.version = "v1", "v2"
        instances = (self.upstream.instance, self.other.instance)
        await self.upstream.stop()
        self.replica.is_leader = False
        self.placement.update_instances(instances)
        await self.accept()
        part = command.LotPart("l", 0, -1, 1, b"i0-0\ni0-1", "llm", "v1")
        await self.apply(command.KeepParts((part,)))
        self.replica.is_leader = True
        self.runner._wake.set()
        results = await self.wait_done(10.0)
        self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_saved_item_whose_version_has_no_free_slot_starts_again(self):
        self.upstream.version, self.other.version = "v1", "v2"
        self.upstream.slots = 1
        self.replica.is_leader = False
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        online = allocator.SlotRequest(
            "o", "llm", "c", 0, "z", 60.0, self.timer.read_clock(), version="v1"
        )
        self.placement.allocator.place(online, self.timer.read_clock())
        await self.accept()
        part = command.LotPart("l", 0, -1, 1, b"i0-0\ni0-1", "llm", "v1")
        await self.apply(command.KeepParts((part,)))
        self.replica.is_leader = True
        self.runner._wake.set()
        results = await self.wait_done(10.0)
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs, [])

    async def test_saved_item_whose_version_is_at_its_ceiling_starts_again(self):
        self.upstream.version, self.other.version = "v1", "v2"
        self.replica.is_leader = False
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        rates = {get_run_name(self.upstream.instance): 0.2}
        self.placement.allocator.set_ceilings(rates, self.timer.read_clock())
        await self.accept()
        part = command.LotPart("l", 0, -1, 1, b"i0-0\ni0-1", "llm", "v1")
        await self.apply(command.KeepParts((part,)))
        self.replica.is_leader = True
        self.runner._wake.set()
        results = await self.wait_done(6.0)
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs, [])

    async def test_item_under_which_upstreams_crashed_runs_again_soon(self):
        await self.accept(0)
        progress = bulkrunner.ItemProgress(None)
        for disconnects in (3, 10, 2000):
            progress.disconnects = disconnects
            now = self.timer.read_clock()
            failure = outbound.OutboundError("crash", False)
            self.runner._handle_exchange_error(
                "i0", progress, self.upstream.instance, failure
            )
            self.assertLessEqual(progress.not_before - now, 2.1)

    async def test_next_leader_keeps_the_version_of_a_saved_output(self):
        self.upstream.version, self.other.version = "v1", "v2"
        instances = (self.other.instance, self.upstream.instance)
        self.replica.is_leader = False
        self.placement.update_instances(instances)
        await self.accept()
        part = command.LotPart("l", 0, -1, 1, b"i0-0\ni0-1", "llm", "v1")
        await self.apply(command.KeepParts((part,)))
        self.replica.is_leader = True
        self.runner._wake.set()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs[0].headers[fakeupstream.RESUME], "1")
        self.assertEqual(self.other.runs, [])

    async def test_disconnected_item_resumes_after_its_last_event(self):
        self.upstream.behaviours = ["cut"]
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs[1].headers[fakeupstream.RESUME], "1")

    async def check_broken_off(self, start, repeated, pause=0.0):
        """Check that an item leaves an endless answer and runs at another upstream."""
        flood = fakeflood.FakeFlood(start, repeated, pause)
        await flood.start()
        self.addAsyncCleanup(flood.stop)
        self.placement.update_instances((flood.instance,))
        await self.accept()
        await asyncio.wait_for(flood.has_closed.wait(), 4.0)
        self.assertLess(flood.sent, 2 * bulkrunner.MAX_OUTPUT_BYTES + SOCKET_BYTES)
        self.placement.update_instances((self.upstream.instance,))
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_stream_of_an_item_that_never_ends_is_broken_off(self):
        head = b"HTTP/1.1 200 OK\r\nFake-Id: i0\r\nContent-Type: text/event-stream\r\n"
        await self.check_broken_off(head + b"\r\n", b"data: %s\n\n" % (b"x" * 100))

    async def test_plain_answer_of_an_item_that_stalls_is_broken_off(self):
        head = b"HTTP/1.1 200 OK\r\nFake-Id: i0\r\nContent-Length: 9\r\n\r\n"
        with mock.patch.object(bulkrunner, "IDLE_TIMEOUT_SECONDS", 0.3):
            await self.check_broken_off(head, b"a", 30.0)

    async def test_item_that_always_fails_is_run_up_to_its_attempt_limit(self):
        self.upstream.behaviours = ["fail"] * 9
        await self.accept()
        results = await self.wait_done()
        self.assertTrue(results[0].failed)
        self.assertEqual(len(self.upstream.runs), 2)

    async def test_item_that_can_never_succeed_runs_once(self):
        self.upstream.behaviours = ["impossible"]
        await self.accept()
        self.assertTrue((await self.wait_done())[0].failed)
        self.assertEqual(len(self.upstream.runs), 1)

    async def test_item_whose_runs_raise_an_error_waits_before_the_next(self):
        runs = mock.AsyncMock(side_effect=RuntimeError)
        with (
            mock.patch.object(self.runner, "_exchange", runs),
            self.assertLogs("sapphireseam", "ERROR"),
        ):
            await self.accept()
            await asyncio.sleep(3 * bulkrunner.MIN_BACKOFF_SECONDS)
        self.assertLessEqual(runs.await_count, 4)
        self.assertFalse((await self.wait_done())[0].failed)

    async def test_item_that_no_upstream_can_be_sent_fails(self):
        for odd in ({"target": "x:y"}, {"header": ("H", "a\r\nb")}):
            self.machine.state.lots.clear()
            await self.accept(**odd)
            self.assertTrue((await self.wait_done())[0].failed, odd)
        self.assertTrue(self.placement.allocator.count_slots("llm", ""))

    async def test_refusal_is_not_counted_as_failure(self):
        self.upstream.behaviours = ["refuse"] * 3
        await self.accept()
        self.assertFalse((await self.wait_done())[0].failed)

    async def test_an_item_that_was_refused_holds_back_neither_others_nor_itself(self):
        self.upstream.behaviours = ["refuse"]
        self.upstream.slots = self.other.slots = 1
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        now = self.timer.read_clock()
        online = allocator.SlotRequest(
            "1:1", "llm", "c", 0, "", now, now, excluded=frozenset({"u1"})
        )
        self.placement.allocator.place(online, now)
        self.upstream.event_delay = 0.03
        await self.accept(5)
        await self.wait_done(4.0)
        ids = [run.id for run in self.upstream.runs]
        self.assertEqual(sorted(ids[:-1]), ["i1", "i2", "i3", "i4"])
        self.assertEqual((ids[-1], self.other.runs), ("i0", []))

    async def test_repeated_refusal_does_not_run_an_item_twice(self):
        self.upstream.behaviours = ["refuse", "repeat"]
        await self.accept()
        self.assertFalse((await self.wait_done())[0].failed)
        self.assertEqual(len(self.upstream.runs), 1)

    async def test_repeated_failure_of_an_item_counts_once(self):
        self.upstream.behaviours = ["fail", "repeat"]
        await self.accept()
        self.assertFalse((await self.wait_done())[0].failed)
        self.assertEqual(len(self.upstream.runs), 2)

    async def test_ended_job_is_stopped_at_its_upstream(self):
        self.upstream.event_delay = 0.2
        await self.accept()
        await asyncio.sleep(0.1)
        await self.apply(command.EndLot("l", "c"))
        await asyncio.sleep(0.4)
        self.assertEqual(self.upstream.dropped, ["i0"])
        self.assertEqual(len(self.upstream.runs), 1)

    async def test_run_that_ends_as_its_progress_is_dropped_has_no_result(self):
        def drop_progress(events):
            # Between the last step of the run and its end.
            self.runner._estimator.record_item = lambda events: None
            asyncio.get_running_loop().call_soon(self.runner._stop_all)

        self.runner._estimator.record_item = drop_progress
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_item_is_never_run_twice_at_once_after_all_runs_were_stopped(self):
        self.upstream.event_delay = self.other.event_delay = 0.05
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        await self.accept(3)
        await asyncio.sleep(0.1)
        self.runner._stop_all()
        self.runner._schedule()
        await asyncio.sleep(0.1)
        self.assertEqual(self.placement.allocator.count_running("llm", True), 3)
        await self.wait_done()
        await asyncio.sleep(0.1)
        ids = [run.id for run in self.upstream.runs + self.other.runs]
        self.assertEqual(sorted(ids), ["i0", "i0", "i1", "i1", "i2", "i2"])
        self.assertEqual(self.placement.allocator.count_running("llm", True), 0)

    async def test_result_that_was_refused_in_a_moment_without_lease_is_recorded(self):
        self.replica.refuses_results = True
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(len(self.upstream.runs), 1)

    async def test_item_is_run_although_two_listed_upstreams_refuse_connections(self):
        gone = [fakeupstream.FakeUpstream(name) for name in ("a1", "a2")]
        for upstream in gone:
            await upstream.start()
        instances = tuple(upstream.instance for upstream in (*gone, self.upstream))
        for upstream in gone:
            await upstream.stop()
        self.probe_result = None
        self.placement.update_instances(instances)
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_item_is_run_although_two_upstreams_left_and_are_listed_again(self):
        leaving = [fakeupstream.FakeUpstream(name) for name in ("a1", "a2")]
        for upstream in leaving:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
            self.outbound._record_leaving(upstream.instance)
        instances = [upstream.instance for upstream in (*leaving, self.upstream)]
        self.placement.update_instances(tuple(instances))
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(leaving[0].runs + leaving[1].runs, [])

    async def test_item_that_waits_beside_free_slots_is_logged(self):
        await self.accept()
        progress = bulkrunner.ItemProgress(None)
        progress.not_before = self.timer.read_clock() + 1.0
        self.runner._progress["l", 0] = progress
        with self.assertLogs(bulkrunner.logger, "WARNING") as logged:
            await self.runner._log_waiting()
        self.assertIn("i0: event -1", logged.records[0].first[0])
        progress.not_before = 0.0
        self.runner._schedule()
        with self.assertNoLogs(bulkrunner.logger, "WARNING"):
            await self.runner._log_waiting()

    async def test_output_is_continued_only_after_the_events_of_the_same_run(self):
        self.upstream.events, self.upstream.event_delay = 8, 0.05
        self.upstream.text = "old"
        with mock.patch.object(bulkrunner, "MIN_PART_EVENTS", 1):
            await self.accept()
            await self.wait_event(1)
            await self.runner._save_parts()
            await self.wait_event(3)
            self.replica.commits.clear()
            saving = asyncio.create_task(self.runner._save_parts())
            await asyncio.sleep(0)
            self.runner._stop_all()
            self.upstream.text = "new"
            # The next run begins before the part of the first one is saved.
            await self.wait_event(3)
            self.replica.commits.set()
            await saving
            await self.runner._save_parts()
            output = (await self.wait_done())[0].output
        self.assertEqual(output.count(b"\n"), 7)
        resumed_after = int(self.upstream.runs[-1].headers[fakeupstream.RESUME])
        self.assertEqual(output.count(b"old"), resumed_after + 1)

    async def test_online_request_preempts_an_item_which_resumes_later(self):
        self.upstream.slots = 1
        self.upstream.event_delay = 0.05
        self.placement.update_instances((self.upstream.instance,))
        await self.accept()
        await self.wait_begun()
        now = self.timer.read_clock()
        request = allocator.SlotRequest("9:1", "llm", "c", 0, "z", now, now)
        grant = self.placement.allocator.place(request, now)
        self.placement._send_decisions([grant])
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.upstream.runs), 1)
        self.placement.release("9:1")
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertIn(fakeupstream.RESUME, self.upstream.runs[1].headers)

    async def test_next_leader_resumes_from_the_saved_output(self):
        # The item cannot finish before the leader is lost.
        self.upstream.event_delay = 30.0
        await self.accept()
        await asyncio.sleep(0.1)
        part = command.LotPart("l", 0, -1, 1, b"i0-0\ni0-1")
        self.replica.is_leader = False
        await self.wait_idle()
        self.upstream.event_delay = 0.0
        await self.apply(command.KeepParts((part,)))
        self.replica.is_leader = True
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))
        self.assertEqual(self.upstream.runs[-1].headers[fakeupstream.RESUME], "1")

    async def test_orphans_of_a_lost_leader_are_stopped(self):
        """Each item runs under this leader as well, on one of the two upstreams."""
        instances = (self.upstream.instance, self.other.instance)
        for upstream in (self.upstream, self.other):
            upstream.event_delay = 0.2
        self.placement.update_instances(instances)
        await self.accept(2)
        await asyncio.sleep(0.1)
        allocator = self.placement.allocator
        upstreams = {allocator.find_instance(f"item/l#{n}"): f"i{n}" for n in range(2)}
        self.assertEqual(set(upstreams), {"u1", "u2"})
        self.probe_result = placement.ProbeResult(("i0", "i1", "somebody's"))
        for instance in instances:
            await self.placement._reconcile_one(instance)
        expected = {("u1", upstreams["u2"], "u2"), ("u2", upstreams["u1"], "u1")}
        self.assertEqual(set(self.stopped), expected)

    async def test_output_of_running_items_is_saved(self):
        self.upstream.events = 60
        self.upstream.event_delay = 0.03
        await self.accept()
        partials = self.machine.state.lots["l"].partials
        async with asyncio.timeout(5.0):
            while 0 not in partials:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertGreaterEqual(partials[0].last, bulkrunner.MIN_PART_EVENTS - 1)
        results = await self.wait_done()
        expected = b"\n".join(b"i0-%d" % number for number in range(60))
        self.assertEqual(results[0].output, expected)

    async def test_outputs_that_are_large_together_are_saved_in_several_commands(self):
        self.upstream.events = self.other.events = 60
        self.upstream.event_delay = self.other.event_delay = 0.03
        saved = []
        self.machine.subscribe(lambda item, answer: saved.append(item))
        with mock.patch.object(bulkrunner, "MAX_RESULT_BYTES", 1):
            await self.accept(4)
            async with asyncio.timeout(5.0):
                while len(self.machine.state.lots["l"].partials) < 4:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        parts = [len(x.parts) for x in saved if isinstance(x, command.KeepParts)]
        self.assertEqual(set(parts), {1})

    async def test_expired_job_is_abandoned(self):
        self.placement.allocator.update((), 0.0)
        await self.accept(2, abandon=0.2 - bulkrunner.CLOCK_SKEW_SECONDS)
        results = await self.wait_done()
        self.assertTrue(results[0].failed and results[1].failed)

    async def test_clock_skew_does_not_abandon_a_job_too_early(self):
        self.placement.allocator.update((), 0.0)
        now = self.timer.read_wall_clock()
        self.timer.read_wall_clock = lambda: now
        await self.accept(1, abandon=-0.9 * bulkrunner.CLOCK_SKEW_SECONDS)
        await asyncio.sleep(2 * bulkrunner.REVIEW_SECONDS)
        self.assertTrue(self.machine.state.lots["l"].is_open)

    async def test_finished_job_is_kept_for_the_configured_retention(self):
        await self.accept()
        await self.wait_done()
        self.runner._retention_seconds = 0.3 - bulkrunner.CLOCK_SKEW_SECONDS
        self.assertIn("l", self.machine.state.lots)
        await asyncio.sleep(0.4 + 2 * bulkrunner.REVIEW_SECONDS)
        self.assertNotIn("l", self.machine.state.lots)

    async def test_item_that_was_just_started_is_not_sent_without_its_body(self):
        await self.accept(3)
        self.runner._schedule()
        results = tuple(command.LotResult("l", n, False, b"done") for n in range(3))
        await self.apply(command.ListResults(results))
        await asyncio.sleep(0.2)
        self.assertEqual([run.body for run in self.upstream.runs if not run.body], [])
        self.assertEqual(self.placement.allocator.count_running("llm", True), 0)

    async def test_new_leader_runs_nothing_before_it_has_its_predecessors_results(self):
        self.replica.has_caught_up = False
        await self.accept()
        await asyncio.sleep(0.4)
        self.assertEqual(self.upstream.runs, [])
        self.replica.has_caught_up = True
        await self.wait_done()

    async def test_new_leader_abandons_no_item_by_an_older_configuration(self):
        await self.accept()
        self.replica.has_caught_up = False
        gone = DOCUMENT | {"routes": {}}
        await self.apply(
            command.PublishNumbered(2, json.dumps(gone).encode(), b"", 2.0)
        )
        await asyncio.sleep(2 * bulkrunner.REVIEW_SECONDS)
        restored = json.dumps(DOCUMENT).encode()
        await self.apply(command.PublishNumbered(3, restored, b"", 3.0))
        self.replica.has_caught_up = True
        self.assertFalse((await self.wait_done())[0].failed)

    async def test_new_leader_tracks_no_item_before_it_has_caught_up(self):
        self.replica.has_caught_up = False
        await self.accept()
        await self.runner._log_waiting()
        self.assertEqual(self.runner._progress, {})

    async def test_member_that_does_not_lead_runs_nothing(self):
        self.replica.is_leader = False
        await self.accept()
        await asyncio.sleep(0.4)
        self.assertEqual(self.upstream.runs, [])

    async def publish_route(self, number, **changes):
        """Publish the route with changes, or without it if there are none."""
        routes = {"r": DOCUMENT["routes"]["r"] | changes} if changes else {}
        services = {"llm": {"tells_load": True}, "other": {}}
        document = DOCUMENT | {"routes": routes, "services": services}
        await self.apply(
            command.PublishNumbered(number, json.dumps(document).encode(), b"", 1.0)
        )

    async def test_a_running_item_ends_whole_although_its_route_changes(self):
        changes = ({"service": "other"}, {}, {"batch": None})
        self.upstream.event_delay = 0.1
        for number, change in enumerate(changes):
            with self.subTest(change):
                await self.publish_route(2 * number + 2, timeout=9)
                await self.accept()
                await self.wait_event(1)
                await self.publish_route(2 * number + 3, **change)
                results = await self.wait_done()
                self.assertEqual(results[0].output, self.expect_output(b"i0"))
                del self.machine.state.lots["l"]
        self.assertEqual(len(self.upstream.runs), len(changes))

    async def test_item_has_its_attempts_although_its_route_takes_no_more_jobs(self):
        await self.publish_route(2, batch=None, attempts=2)
        self.upstream.behaviours = ["fail"]
        await self.accept()
        results = await self.wait_done()
        self.assertEqual(results[0].output, self.expect_output(b"i0"))

    async def test_items_of_a_removed_route_are_abandoned(self):
        self.placement.allocator.update((), 0.0)
        await self.accept(2)
        await self.apply(command.PublishNumbered(2, b"{}", b"", 1.0))
        self.assertTrue((await self.wait_done())[0].failed)


class PlacementServerTest(LeaderTest):
    async def resume(self, *origins, resumes="a0", services=("llm",), version="v2"):
        """Return the answer to a request that resumes the stream of `resumes`."""
        self.upstream.version, self.other.version = "v1", version
        self.placement.update_instances((self.upstream.instance, self.other.instance))
        stream = FakeStream()
        first = messages.Attach("e1", "z", (), origins)
        task = asyncio.create_task(self.placement.serve(first, stream))
        stream.put(
            messages.Place(
                6, "a1", "llm", "c", 0, 0.1, (), True, False, "", resumes, services
            )
        )
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        kinds = (messages.Placed, messages.Turned)
        (answer,) = [item for item in stream.sent if isinstance(item, kinds)]
        return answer

    async def test_a_stream_is_resumed_at_the_version_that_another_entry_reported(self):
        for version, upstream in (("v1", "u1"), ("v2", "u2")):
            began = messages.Began("a0" + version, "llm", version)
            answer = await self.resume(began, resumes="a0" + version)
            self.assertEqual(answer.instance.id, upstream)

    async def test_a_stream_is_resumed_at_its_version_again_and_again(self):
        stream = FakeStream()
        serving = self.placement.serve(messages.Attach("e0", "z", ()), stream)
        task = asyncio.create_task(serving)
        stream.put(messages.Began("a0", "llm", "v1"))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for _ in range(4):
            self.assertEqual((await self.resume()).instance.id, "u1")

    async def test_an_entrys_report_counts_more_than_where_the_leader_placed(self):
        self.upstream.version = "v1"
        self.placement.update_instances((self.upstream.instance,))
        stream = FakeStream()
        serving = self.placement.serve(messages.Attach("e0", "z", ()), stream)
        task = asyncio.create_task(serving)
        stream.put(messages.Place(1, "a0", "llm", "c", 0, 0.1, (), True))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        answer = await self.resume(messages.Began("a0", "llm", "v2"))
        self.assertEqual(answer.instance.id, "u2")

    async def test_a_stream_whose_version_is_unknown_or_gone_is_refused_at_once(self):
        began = messages.Began("a0", "llm", "v0")
        for origins, services in (((), ("llm",)), ((began,), ("llm",))):
            answer = await self.resume(*origins, services=services)
            self.assertEqual(answer.kind, error.Kind.NO_UPSTREAM)

    async def test_a_stream_of_a_service_that_the_route_left_is_refused(self):
        began = messages.Began("a0", "llm", "v1")
        answer = await self.resume(began, services=("other",))
        self.assertEqual(answer.kind, error.Kind.NO_UPSTREAM)

    async def test_requests_of_an_entry_are_counted_until_its_stream_ends(self):
        stream = FakeStream()
        running = (messages.Running(5, "q", "u1", "c"),)
        first = messages.Attach("e1", "z", running)
        task = asyncio.create_task(self.placement.serve(first, stream))
        await asyncio.sleep(0.01)
        self.assertEqual(self.placement.allocator.count_running("llm", False), 1)
        stream.put(messages.Place(6, "r6", "llm", "c", 0, 0.1, (), True))
        await asyncio.sleep(0.01)
        placed = [item for item in stream.sent if isinstance(item, messages.Placed)]
        self.assertEqual(placed[0].number, 6)
        self.assertEqual(self.placement.allocator.count_running("llm", False), 2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.placement.allocator.count_running("llm", False), 0)

    async def send_request(self, *waits):
        """Return the answers to a request of a customer with a rate limit.

        `waits` are the retry delays of the first, refused debits in seconds.
        """
        self.rate_limits.waits = list(waits)
        stream = FakeStream()
        serving = self.placement.serve(messages.Attach("e1", "z", ()), stream)
        task = asyncio.create_task(serving)
        stream.put(messages.Place(6, "r6", "llm", "limited", 0, 0.2, (), True))
        await asyncio.sleep(0.15)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        others = (messages.View, messages.Beat)
        return [item for item in stream.sent if not isinstance(item, others)]

    async def test_request_waits_for_the_limit_within_its_patience(self):
        answers = await self.send_request(0.02, 0.03)
        self.assertIsInstance(answers[0], messages.Placed)

    async def test_request_whose_entry_is_gone_after_the_wait_gets_no_slot(self):
        self.rate_limits.waits = [0.05]
        stream = FakeStream()
        serving = self.placement.serve(messages.Attach("e1", "z", ()), stream)
        task = asyncio.create_task(serving)
        stream.put(messages.Place(6, "r6", "llm", "limited", 0, 0.2, (), True))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(self.placement.allocator.count_running("llm", False), 0)

    async def test_request_that_must_wait_longer_is_refused_at_once(self):
        answers = await self.send_request(0.7)
        self.assertEqual(
            (answers[0].kind, answers[0].retry_after), ("rate_limited", 0.7)
        )

    async def test_new_leader_places_nothing_before_it_knows_who_is_limited(self):
        contracts, self.rate_limits.contracts = self.rate_limits.contracts, {}
        document = json.dumps(DOCUMENT).encode()
        await self.apply(command.PublishNumbered(2, document, b"", 2.0))
        self.replica.has_caught_up = False
        sending = asyncio.create_task(self.send_request(0.7))
        await asyncio.sleep(0.05)
        self.rate_limits.contracts = contracts
        await self.apply(command.PublishNumbered(3, document, b"", 3.0))
        self.replica.has_caught_up = True
        self.assertEqual((await sending)[0].kind, "rate_limited")

    async def test_leaving_upstream_gets_nothing_more_from_the_leader(self):
        instances = (self.upstream.instance, self.other.instance)
        self.placement.update_instances(instances)
        stream = FakeStream()
        serving = self.placement.serve(messages.Attach("e1", "z", ()), stream)
        task = asyncio.create_task(serving)
        stream.put(messages.Leaving("u1", 0))
        for number in range(4):
            stream.put(messages.Place(number, "r", "llm", "c", 0, 0.1, (), True))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        placed = [item for item in stream.sent if isinstance(item, messages.Placed)]
        self.assertEqual({item.instance.id for item in placed}, {"u2"})
        self.placement.update_instances((instances[0]._replace(born=9),))
        self.assertEqual(self.placement.allocator.count_slots("llm"), 8)

    async def test_ejected_upstream_gets_nothing_until_a_probe_succeeds(self):
        self.placement.eject("u1")
        self.assertEqual(len(self.placement.allocator.list_ejected()), 1)
        await asyncio.sleep(placement.PROBE_PERIOD_SECONDS + 0.1)
        self.assertEqual(self.placement.allocator.list_ejected(), [])

    async def test_running_work_of_a_lost_leader_is_counted(self):
        self.probe_result = placement.ProbeResult(tuple(f"x{n}" for n in range(8)))
        await asyncio.sleep(placement.PROBE_PERIOD_SECONDS + 0.1)
        now = self.timer.read_clock()
        request = allocator.SlotRequest("9:1", "llm", "c", 0, "z", now, now + 1.0)
        self.assertIsNone(self.placement.allocator.place(request, now))
        self.probe_result = placement.ProbeResult(())
        await asyncio.sleep(placement.PROBE_PERIOD_SECONDS + 0.1)
        self.assertEqual(self.placement.allocator.count_waiting("llm"), 0)

    async def test_load_that_is_reported_after_its_reconciliation_is_not_counted(self):
        async def probe(instance, path, seconds):
            await asyncio.sleep(0.1)
            return placement.ProbeResult(tuple(f"x{n}" for n in range(8)))

        self.placement._probe = probe
        self.placement._reconcile_until["u1"] = self.timer.read_clock() + 0.05
        reading = asyncio.create_task(
            self.placement._reconcile_one(self.upstream.instance)
        )
        await asyncio.sleep(0.06)
        await self.placement._reconcile_loads()
        await reading
        self.assertTrue(self.placement.allocator.has_batch_slot("llm", 0.0))


class FakeStream:
    def __init__(self):
        self.sent = []
        self._inbox = asyncio.Queue()

    def post(self, item):
        self.sent.append(item)

    def put(self, item):
        self._inbox.put_nowait(item)

    async def receive(self):
        return await self._inbox.get()


if __name__ == "__main__":
    unittest.main()
