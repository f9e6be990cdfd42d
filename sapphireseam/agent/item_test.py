"""Run batch items against the real state machine with lost messages and agents."""

import asyncio
import json
import math
import unittest
from unittest import mock

from sapphireseam.agent import item as items, itemwork
from sapphireseam.agent.fake import FakeUpstreamClient
from sapphireseam.agent.scheduler import Completion, Scheduler
from sapphireseam.control import dispatch, record
from sapphireseam.core import command, error, message
from sapphireseam.policy import admission, queue
from sapphireseam.tools import fake
from sapphireseam.utils.crash import CrashDetector
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer

COUNT = 4
DOCUMENT = {
    "failure_domains": {"d": {"region": "r"}},
    "models": {"m": {"version": "m-1"}},
    "versions": {"m-1": {"model": "m", "weights": "w"}},
    "routes": {
        "chat": {"path": "/v1/chat/completions"},
        "post": {"path": "/post", "service": "post", "idempotent": False},
    },
    "upstreams": {
        "u": {
            "failure_domain": "d",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:2",
            "version": "m-1",
        },
        "p": {
            "failure_domain": "d",
            "address": "127.0.0.1:3",
            "agent": "127.0.0.1:4",
            "service": "post",
        },
    },
}


class Agent:
    """Assemble one agent's components around a fake upstream."""

    def __init__(self, control, mirror, timer, node="a", upstream="u"):
        self.upstream = FakeUpstreamClient(upstream)
        timeline = Timeline(node, timer)
        self.crash_detector = CrashDetector(
            mirror, control, timeline, timer, self.upstream.has_ended
        )
        self.scheduler = Scheduler(
            queue.FairQueue(), admission.FixedAdmission(4), mirror, timer
        )
        self.scheduler.slots = 4
        self.scheduler.queue_limit = 9
        self.items = items.ItemRunner(
            node,
            self.upstream,
            self.scheduler,
            self.crash_detector,
            mirror,
            control,
            timeline,
            timer,
        )

    async def start(self):
        await self.scheduler.start()
        await self.items.start()

    async def stop(self):
        await self.items._tasks.cancel()
        await self.scheduler.stop()
        await self.crash_detector.stop()


class FakeOnlineWork:
    """Online work that runs until `done` is set."""

    def __init__(self):
        self.ticket = queue.Ticket("online", "c", False, 1.0, 0.0, math.inf)
        self.alone = False
        self.traits = ("online",)
        self.done = asyncio.Event()

    async def run(self):
        await self.done.wait()
        return Completion(1.0, True)

    def is_preemptible(self):
        return False


class ItemTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.control = fake.FakeControl(self.timer)
        self.mirror = fake.FakeMirror(DOCUMENT)
        self.state = self.control.machine.state
        document = json.dumps(DOCUMENT).encode()
        publish = command.Publish("p", 0, document, 0.0)
        await self.control.propose(publish)
        await self.control.dispatcher.start()
        self.addAsyncCleanup(self.control.dispatcher.stop)

    async def submit(self, url="/v1/chat/completions", count=COUNT):
        lines = [
            {"custom_id": f"i{n}", "method": "POST", "url": url, "body": {"n": n}}
            for n in range(count)
        ]
        data = b"\n".join(json.dumps(line).encode() for line in lines)
        blob = await self.control.store.write(data)
        model = "" if url == "/post" else "m"
        file = command.CreateFile(
            "f", "f", "c", "f", "batch", blob, 1, count, url, model, 0.0
        )
        await self.control.propose(file)
        due = self.timer.read_wall_clock() + 3600
        job = command.SubmitJob("j", "j", "c", "k", "f", url, due, 0.0)
        await self.control.propose(job)

    async def replace_line(self, number, line):
        """Replace one line of the job's file."""
        blob = self.job.blob
        lines = self.control.store.read(blob).split(b"\n")
        lines[number] = line
        changed = await self.control.store.write(b"\n".join(lines))
        self.state.jobs["j"] = self.job._replace(blob=changed)

    async def start(self, node="a", upstream="u"):
        agent = Agent(self.control, self.mirror, self.timer, node, upstream)
        await agent.start()
        self.addAsyncCleanup(agent.stop)
        return agent

    @property
    def job(self):
        return self.state.jobs["j"]

    def list_results(self):
        return [r for chunk in self.state.chunks["j"] for r in chunk.results]

    async def answer_all(self, agent, rounds=40):
        for _ in range(rounds):
            if self.job.ended:
                break
            for exchange in agent.upstream.open:
                exchange.answer(b"{}")
            await self.timer.advance(0.5)

    async def test_job_completes_with_one_result_per_item(self):
        await self.submit()
        agent = await self.start()
        await self.answer_all(agent)
        self.assertEqual(self.job.status, record.COMPLETED)
        self.assertEqual(len(agent.upstream.exchanges), COUNT)

    async def test_the_leader_leases_nothing_to_an_agent_in_an_evacuated_domain(self):
        await self.submit()
        order = command.SetEvacuation("o1", "d", True, 0.0, is_forced=True)
        await self.control.propose(order)
        # The agent hasn't heard of it.
        agent = await self.start()
        await self.timer.advance(1.0)
        self.assertEqual(self.state.leases, {})
        await self.control.propose(order._replace(request="o2", is_evacuated=False))
        await self.answer_all(agent)
        self.assertEqual(self.job.done, COUNT)

    async def test_results_sent_again_after_a_lost_answer_are_recorded_once(self):
        await self.submit()
        agent = await self.start()
        lost = []

        def lose(request):
            if isinstance(request, message.CompleteChunk) and len(lost) < 3:
                lost.append(request)
                return "answer"
            return ""

        self.control.lose = lose
        await self.answer_all(agent)
        self.assertTrue(lost)
        self.assertEqual(self.job.status, record.COMPLETED)
        self.assertEqual(len(agent.upstream.exchanges), COUNT)

    async def test_items_are_cancelled_before_their_lease_ends_at_the_leader(self):
        await self.submit()
        first = await self.start("a")
        await self.timer.advance(1.0)
        self.control.lose = lambda request: "question"
        await self.timer.advance(items.LEASE_SECONDS + 0.5)
        self.assertEqual(first.upstream.open, [])
        self.assertEqual(len(self.state.leases), 1)
        self.control.lose = lambda request: ""
        await self.answer_all(first)
        self.assertEqual(self.job.status, record.COMPLETED)

    async def test_no_leased_item_runs_once_its_upstream_serves_something_else(self):
        await self.submit()
        agent = await self.start()
        agent.scheduler.slots = 1
        await self.timer.advance(0.5)
        self.assertGreater(agent.scheduler.count_waiting(True), 0)
        agent.upstream.served = "other"
        agent.upstream.healthy = False
        agent.upstream.exchanges[0].answer(b"{}")
        await self.timer.advance(1.0)
        self.assertEqual(len(agent.upstream.exchanges), 1)
        await self.answer_all(await self.start("b"))
        self.assertEqual(len(self.list_results()), COUNT)

    async def test_result_from_before_the_lease_expired_is_still_sent(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(0.5)
        self.control.lose = lambda request: "question"
        agent.upstream.exchanges[0].answer(b"{}")
        self.control.dispatcher._last_contacts.clear()
        await self.timer.advance(items.LEASE_SECONDS + 0.4)
        self.control.lose = lambda request: ""
        await self.timer.advance(1.0)
        self.assertEqual(len(self.list_results()), 1)

    async def test_agent_frozen_past_its_lease_adds_no_second_result(self):
        """Late results of a resumed agent must not be recorded again.

        The agent's tasks are stopped, another agent completes the job, and the
        first agent then sends its results.
        """
        await self.submit()
        frozen = await self.start("a")
        await self.timer.advance(0.5)
        old = list(frozen.upstream.exchanges)
        leases = frozen.items._leases
        await frozen.items._tasks.cancel()
        other = await self.start("b")
        await self.answer_all(other)
        self.assertEqual(self.job.status, record.COMPLETED)
        before = self.list_results()
        for exchange in old:
            exchange.answer(b'{"late": true}')
        await self.timer.settle()
        self.assertTrue(any(lease.results for lease in leases.values()))
        await frozen.items.flush()
        self.assertEqual(self.list_results(), before)

    async def test_stop_returns_items_at_once_without_a_failed_attempt(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(0.5)
        self.assertEqual(len(agent.upstream.open), COUNT)
        await agent.items.stop()
        self.assertEqual(self.state.leases, {})
        self.assertEqual(sorted(self.state.returned["j"]), list(range(COUNT)))
        self.assertEqual(self.state.tries["j"], {})
        self.assertEqual(agent.upstream.open, [])

    async def test_item_under_which_upstreams_crash_is_still_completed(self):
        await self.submit()
        agent = await self.start()
        unlucky_body = b'{"n": 2}'
        crashes = 0
        for _ in range(200):
            self.mirror.verdicts = dict(self.state.verdicts)
            running = agent.upstream.open
            if crashes < 6 and any(e.body == unlucky_body for e in running):
                crashes += 1
                for exchange in running:
                    exchange.fail(broken=True)
            else:
                for exchange in running:
                    exchange.answer(b"{}")
            await self.timer.advance(0.3)
            if self.job.ended:
                break
        self.assertEqual(crashes, 6)
        self.assertEqual((self.job.done, self.job.failed), (COUNT, 0))
        self.assertEqual(self.state.tries["j"], {})
        self.assertEqual((self.state.crashes, self.state.verdicts), ({}, {}))

    async def test_item_under_which_upstreams_crashed_runs_beside_online_work(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(0.5)
        for exchange in agent.upstream.open:
            exchange.fail(broken=True)
        online = FakeOnlineWork()
        agent.scheduler.submit(online)
        await self.answer_all(agent)
        self.assertFalse(online.done.is_set())
        self.assertEqual((self.job.done, self.job.failed), (COUNT, 0))

    async def test_item_that_always_fails_gets_one_failed_result(self):
        await self.submit()
        agent = await self.start()
        for _ in range(60):
            for exchange in agent.upstream.open:
                exchange.answer(b"{}", status=500 if b"1" in exchange.body else 200)
            await self.timer.advance(0.5)
            if self.job.ended:
                break
        self.assertEqual(self.job.status, record.COMPLETED)
        kinds = [(r[0], r[3]) for r in self.list_results() if r[2]]
        self.assertEqual(kinds, [(1, error.Kind.UPSTREAM_FAILED)])

    async def test_an_item_that_cannot_be_read_fails_and_holds_up_no_other(self):
        await self.submit()
        nested = b"[" * 200_000 + b"]" * 200_000
        await self.replace_line(0, b'{"custom_id":' + nested + b"}")
        agent = await self.start()
        await self.answer_all(agent, rounds=120)
        self.assertEqual(self.job.status, record.COMPLETED)
        self.assertEqual([r[0] for r in self.list_results() if r[2]], [0])

    async def test_item_whose_answers_never_end_fails(self):
        await self.submit(count=1)
        agent = await self.start()
        part = bytes(itemwork.MAX_ANSWER_BYTES // 4)
        for _ in range(60):
            if self.job.ended:
                break
            for exchange in agent.upstream.open:
                exchange.begin()
                for _ in range(5):
                    exchange.send(part)
            await self.timer.advance(0.5)
        self.assertTrue(self.job.ended)
        self.assertEqual([r[2] for r in self.list_results()], [True])
        self.assertEqual(agent.upstream.open, [])

    async def test_item_that_hangs_the_upstream_fails(self):
        await self.submit(count=2)
        with mock.patch.object(itemwork, "ITEM_SECONDS", 2.0):
            agent = await self.start()
            for _ in range(60):
                for exchange in agent.upstream.open:
                    if b"1" not in exchange.body:
                        exchange.answer(b"{}")
                await self.timer.advance(0.5)
                if self.job.ended:
                    break
        self.assertEqual((self.job.done, self.job.failed), (1, 1))

    async def test_non_idempotent_item_is_sent_once_after_a_broken_connection(self):
        await self.submit("/post")
        agent = await self.start("a", "p")
        await self.timer.advance(0.5)
        for exchange in agent.upstream.open:
            exchange.fail(broken=True)
        await self.answer_all(agent)
        bodies = [exchange.body for exchange in agent.upstream.exchanges]
        self.assertEqual(len(bodies), len(set(bodies)))
        self.assertEqual(self.job.failed, COUNT)
        kinds = {result[3] for result in self.list_results()}
        self.assertEqual(kinds, {error.Kind.OUTCOME_UNKNOWN})

    async def test_non_idempotent_item_that_was_not_run_runs_later(self):
        await self.submit("/post")
        agent = await self.start("a", "p")
        await self.timer.advance(0.5)
        for exchange in agent.upstream.open:
            exchange.fail(not_run=True)
        await self.answer_all(agent)
        self.assertEqual((self.job.done, self.job.failed), (COUNT, 0))

    async def test_non_idempotent_item_is_not_run_without_recorded_start(self):
        await self.submit("/post")
        self.control.lose = lambda request: (
            "question" if isinstance(request, command.StartItems) else ""
        )
        agent = await self.start("a", "p")
        await self.timer.advance(5.0)
        self.assertEqual(agent.upstream.exchanges, [])

    async def test_no_item_runs_after_an_acknowledged_cancel(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(0.5)
        self.assertEqual(len(agent.upstream.open), COUNT)
        await self.control.propose(command.CancelJob("c", "j", 0.0))
        late_exchange = agent.upstream.exchanges[0]
        for _ in range(20):
            await self.timer.advance(0.1)
            if self.job.ended:
                break
            self.assertEqual(self.list_results(), [])
        self.assertTrue(self.job.ended)
        self.assertEqual(agent.upstream.open, [])
        late_exchange.answer(b"{}")
        await self.timer.advance(5.0)
        self.assertEqual(self.list_results(), [])
        self.assertEqual(len(agent.upstream.exchanges), COUNT)

    async def test_delayed_older_heartbeat_ends_no_lease(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(1.5)
        (lease,) = self.state.leases
        heartbeat = message.Heartbeat("a", (), 0)
        await self.control.call(heartbeat)
        self.assertEqual(list(self.state.leases), [lease])
        del agent

    async def test_lease_lasts_longer_at_the_leader_than_at_the_agent(self):
        await self.submit()
        agent = await self.start()
        await self.timer.advance(0.5)
        await agent.items._tasks.cancel()
        await self.timer.advance(items.LEASE_SECONDS)
        self.assertEqual(len(self.state.leases), 1)
        await self.timer.advance(dispatch.MARGIN_SECONDS + 0.5)
        self.assertEqual(self.state.leases, {})

    async def test_new_leader_starts_each_lease_with_its_full_duration(self):
        """A new leader must not end leases that a previous leader renewed.

        The replica is leader, loses the leadership and becomes leader again. The
        times of the heartbeats from its first leadership are out of date then.
        """
        await self.submit()
        agent = await self.start()
        await self.timer.advance(1.0)
        await agent.items._tasks.cancel()
        self.control.replica.is_leader = False
        await self.timer.advance(10.0)
        self.control.replica.is_leader = True
        self.control.replica.term += 1
        await self.timer.advance(items.LEASE_SECONDS)
        self.assertEqual(len(self.state.leases), 1)
        await self.timer.advance(dispatch.MARGIN_SECONDS + 0.5)
        self.assertEqual(self.state.leases, {})
