"""Test how requests are placed with a leader and without one."""

import asyncio
import unittest
from collections import Counter

from sapphireseam.core import error, fleet, placement
from sapphireseam.core.ceiling import Ceiling
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.core.instance import Instance
from sapphireseam.entry import placer
from sapphireseam.policy import fallback
from sapphireseam.utils import metric, rpc
from sapphireseam.utils.timer import SystemTimer

INSTANCES = tuple(
    Instance(f"i{n}", "llm", f"10.0.0.{n}:80", "z", 2, version="v1") for n in (1, 2)
)


class FakeStream:
    def __init__(self, leader):
        self.leader = leader
        self.inbox = asyncio.Queue()

    def post(self, item):
        self.leader.handle(self, item)

    async def receive(self):
        item = await self.inbox.get()
        if item is None:
            raise rpc.LinkError("the stream broke")
        return item

    async def close(self):
        self.inbox.put_nowait(None)


class FakeLeader:
    """Fake the leader and the channel to it."""

    def __init__(self):
        self.received = []
        self.attached = []
        self.streams = []
        self.is_up = True
        self.answers = True
        self.refusal = None
        # Delays the opening of a stream until it is set.
        self.opening = None
        self.view = placement.View(INSTANCES, ("c1", "c2"), 4)

    async def open(self, first):
        if not self.is_up:
            raise rpc.LinkError("unreachable")
        self.attached.append(first)
        if self.opening is not None:
            await self.opening.wait()
        stream = FakeStream(self)
        self.streams.append(stream)
        stream.inbox.put_nowait(self.view)
        return stream

    async def close(self):
        """Do nothing."""

    def handle(self, stream, item):
        self.received.append(item)
        if not self.answers or not isinstance(item, placement.Place):
            return
        if self.refusal is not None:
            answer = placement.Turned(item.number, *self.refusal)
        else:
            answer = placement.Placed(item.number, INSTANCES[0])
        stream.inbox.put_nowait(answer)

    def beat(self):
        for stream in self.streams:
            stream.inbox.put_nowait(placement.Beat())

    def fail(self):
        self.is_up = False
        for stream in self.streams:
            stream.inbox.put_nowait(None)


class FakeClient:
    def __init__(self, leader):
        self.leader = leader
        self.learned = ()

    def pick_address(self):
        return "c1"

    def open_channel(self, address):
        return self.leader

    def record_leader(self, address):
        """Do nothing."""

    def update_addresses(self, addresses):
        self.learned = addresses


class PlacerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.leader = FakeLeader()
        self.client = FakeClient(self.leader)
        contract = fleet.Contract(10.0, 10.0)
        self.cold, self.services = {}, {}
        self.placer = placer.Placer(
            "e1", "z", self.client, lambda: {"c": contract},
            fallback.Slack(20, 0.1, 5.0), metric.Meter('t'), SystemTimer(),
            read_cold=lambda: self.cold, read_services=lambda: self.services,
        )  # fmt: skip
        await self.placer.start()
        self.addAsyncCleanup(self.placer.stop)
        self.beat_task = asyncio.create_task(self.beat())
        self.addCleanup(self.beat_task.cancel)
        await asyncio.sleep(0.02)

    async def beat(self):
        while True:
            await asyncio.sleep(0.1)
            self.leader.beat()

    def make_spec(self, **fields):
        spec = placer.SlotSpec("r", "llm", "c", 0, 0.2, frozenset(), True)
        return spec._replace(**fields)

    async def test_without_a_leader_refused_requests_of_a_shared_service_are_spread(
        self,
    ):
        self.leader.fail()
        await asyncio.sleep(0.3)
        shared = fleet.Fleet(services={"llm": fleet.Service(fair=True)})
        self.placer.update_shares(shared)
        times = set()
        for number in range(8):
            spec = self.make_spec(request=str(number), is_counted=False)
            try:
                await self.placer.place(spec)
            except error.CapacityError as failure:
                times.add(round(failure.retry_after, 2))
        self.assertGreater(len(times), 1)

    async def test_an_instance_that_says_it_leaves_is_reported_and_not_used(self):
        leaving = INSTANCES[0]
        self.placer.report_leaving(leaving)
        self.assertEqual(
            self.leader.received[-1], placement.Leaving(leaving.id, leaving.born)
        )
        self.leader.fail()
        await asyncio.sleep(0.05)
        for _ in range(2):
            slot = await self.placer.place(self.make_spec())
            self.assertEqual(slot.instance.id, INSTANCES[1].id)

    async def test_an_entry_that_is_cut_off_obeys_the_newest_evacuations_it_heard(self):
        domain = INSTANCES[0].domain
        slot = await self.placer.place(self.make_spec())
        (stream,) = self.leader.streams
        stream.inbox.put_nowait(placement.Evacuation(Evacuated(3, (domain,))))
        await asyncio.sleep(0.02)
        self.assertTrue(self.placer.is_evacuated(slot))
        self.leader.fail()
        await asyncio.sleep(0.05)
        # The watch still has the state before it.
        self.placer.apply_evacuated(Evacuated(2, ()))
        with self.assertRaises(error.CapacityError) as caught:
            await self.placer.place(self.make_spec())
        self.assertTrue(caught.exception.not_run)
        self.placer.apply_evacuated(Evacuated(4, ()))
        await self.placer.place(self.make_spec())

    async def test_an_entry_that_has_started_waits_for_its_first_instances(self):
        """All processes were killed, and entries serve before a leader is elected."""
        self.leader.fail()
        started = placer.Placer(
            "e2", "z", self.client, dict, fallback.Slack(20, 0.1, 5.0),
            metric.Meter("e2"), SystemTimer(),
        )  # fmt: skip
        await started.start()
        self.addAsyncCleanup(started.stop)
        placing = asyncio.create_task(started.place(self.make_spec()))
        await asyncio.sleep(0.2)
        self.assertFalse(placing.done())
        self.leader.is_up = True
        slot = await asyncio.wait_for(placing, 1.0)
        self.assertEqual(slot.instance.id, INSTANCES[0].id)

    async def test_a_leader_without_a_list_holds_no_request_of_a_started_entry_long(
        self,
    ):
        self.leader.opening = asyncio.Event()
        started = placer.Placer(
            "e2", "z", self.client, dict, fallback.Slack(20, 0.1, 5.0),
            metric.Meter("e2"), SystemTimer(),
        )  # fmt: skip
        await started.start()
        self.addAsyncCleanup(started.stop)
        with self.assertRaises(error.CapacityError) as caught:
            await asyncio.wait_for(started.place(self.make_spec()), 1.0)
        self.assertTrue(caught.exception.not_run)
        self.assertLessEqual(caught.exception.retry_after, placer.ELECTION_SECONDS)
        self.leader.opening.set()
        slot = await asyncio.wait_for(started.place(self.make_spec()), 1.0)
        self.assertEqual(slot.instance.id, INSTANCES[0].id)

    async def test_a_new_leader_learns_which_instances_have_said_that_they_leave(self):
        leaving = INSTANCES[1]
        self.placer.report_leaving(leaving)
        self.placer.report_leaving(leaving._replace(id="unlisted"))
        self.leader.streams[-1].inbox.put_nowait(placement.View(INSTANCES, (), 1))
        await asyncio.sleep(0.02)
        self.leader.fail()
        await asyncio.sleep(0.05)
        self.leader.is_up = True
        await asyncio.sleep(0.2)
        told = placement.Leaving(leaving.id, leaving.born)
        self.assertEqual(self.leader.attached[-1].leaving, (told,))

    async def test_a_new_leader_learns_what_leaves_while_the_entry_attaches(self):
        self.leader.fail()
        self.leader.opening = asyncio.Event()
        self.leader.is_up = True
        await asyncio.sleep(0.1)
        self.placer.report_leaving(INSTANCES[0])
        self.assertEqual(self.leader.attached[-1].leaving, ())
        self.leader.opening.set()
        await asyncio.sleep(0.05)
        told = placement.Leaving(INSTANCES[0].id, INSTANCES[0].born)
        self.assertIn(told, self.leader.received)

    async def test_an_instance_that_leaves_before_it_is_listed_is_not_used(self):
        added = INSTANCES[0]._replace(id="i3", slots=9)
        self.placer.report_leaving(added)
        self.leader.streams[-1].inbox.put_nowait(
            placement.View((*INSTANCES, added), (), 1)
        )
        await asyncio.sleep(0.02)
        self.leader.fail()
        await asyncio.sleep(0.05)
        for _ in range(4):
            slot = await self.placer.place(self.make_spec())
            self.assertIn(slot.instance, INSTANCES)

    async def test_without_a_leader_cold_instances_get_nothing(self):
        """One is known to be cold, one is new, and one is in a domain that is back."""
        self.services = {"llm": fleet.Service(cold_rate=20.0, cold_seconds=3.0)}
        self.cold = {"i1/0": Ceiling("i1", "i1/0", 20.0, 0.0, True, 3.0)}
        added = INSTANCES[0]._replace(id="i3", slots=9)
        back = INSTANCES[0]._replace(id="i4", slots=9, domain="y")
        for listed in ((*INSTANCES, back), (*INSTANCES, back, added)):
            view = placement.View(listed, (), 1)
            self.leader.streams[-1].inbox.put_nowait(view)
            await asyncio.sleep(0.02)
        self.placer._cold.forget("i4/0")
        self.placer.on_returned("y")
        self.leader.fail()
        await asyncio.sleep(0.05)
        for _ in range(2):
            slot = await self.placer.place(self.make_spec(is_counted=False))
            self.assertEqual(slot.instance.id, "i2")
            # Time in which a part of the rate would allow a request.
            await asyncio.sleep(0.5)
        with self.assertRaises(error.CapacityError) as caught:
            await self.placer.place(self.make_spec(is_counted=False))
        self.assertLessEqual(caught.exception.retry_after, placer.ELECTION_SECONDS)
        self.cold = {}
        slot = await self.placer.place(self.make_spec(is_counted=False))
        self.assertEqual(slot.instance.id, "i1")

    async def test_without_a_leader_a_run_that_has_crashed_gets_nothing(self):
        self.services = {"llm": fleet.Service(cold_rate=20.0, cold_seconds=3.0)}
        self.leader.fail()
        await asyncio.sleep(0.05)
        self.placer.record_crash("i1/0")
        self.placer.record_crash("unlisted/0")
        for _ in range(2):
            slot = await self.placer.place(self.make_spec(is_counted=False))
            self.assertEqual(slot.instance.id, "i2")

    async def test_a_held_request_gets_no_slot_where_it_is_held(self):
        held = INSTANCES[1].id
        await self.placer.place(self.make_spec(held=held))
        self.assertEqual(self.leader.received[-1].held, held)
        self.leader.fail()
        await asyncio.sleep(0.05)
        await self.placer.place(self.make_spec(held=held))
        with self.assertRaises(error.CapacityError):
            await self.placer.place(self.make_spec(held=held))

    def make_resumption(self, **fields):
        return self.make_spec(is_resumed=True, services=("llm",), **fields)

    async def test_a_stream_of_this_entry_is_resumed_at_its_version(self):
        slot = await self.placer.place(self.make_spec(request="a0"))
        self.placer.record_stream(slot)
        await self.placer.place(self.make_resumption(resumes="a0"))
        place = self.leader.received[-1]
        self.assertEqual((place.version, place.resumes), ("v1", ""))

    async def test_the_leader_is_asked_for_the_version_of_another_entrys_stream(self):
        await self.placer.place(self.make_resumption(resumes="a0"))
        place = self.leader.received[-1]
        self.assertEqual((place.resumes, place.services), ("a0", ("llm",)))

    async def test_without_a_leader_only_streams_of_this_entry_are_resumed(self):
        self.leader.fail()
        await asyncio.sleep(0.05)
        slot = await self.placer.place(self.make_spec(request="a0"))
        self.placer.record_stream(slot)
        again = await self.placer.place(self.make_resumption(resumes="a0"))
        self.assertEqual(again.instance.version, "v1")
        with self.assertRaises(error.CapacityError) as caught:
            await self.placer.place(self.make_resumption(resumes="b0"))
        self.assertTrue(caught.exception.not_run)

    async def test_a_stream_of_another_entry_waits_for_the_leader(self):
        """All entries have just started again, and their callers come back."""
        self.leader.fail()
        await asyncio.sleep(0.05)
        spec = self.make_resumption(resumes="b0", patience=1.0)
        task = asyncio.create_task(self.placer.place(spec))
        await asyncio.sleep(0.1)
        self.leader.is_up = True
        slot = await task
        self.assertEqual(slot.instance, INSTANCES[0])
        place = self.leader.received[-1]
        self.assertEqual((place.resumes, place.is_resumed), ("b0", True))

    async def test_a_new_leader_learns_the_streams_that_it_did_not_place(self):
        self.leader.fail()
        await asyncio.sleep(0.05)
        slot = await self.placer.place(self.make_spec(request="a0"))
        self.placer.record_stream(slot)
        self.leader.is_up = True
        await asyncio.sleep(0.2)
        began = placement.Began("a0", "llm", "v1")
        self.assertEqual(self.leader.attached[-1].origins, (began,))
        self.placer.record_stream(slot)
        self.assertIn(began, self.leader.received)

    async def test_a_caller_that_names_no_attempt_resumes_only_a_single_version(self):
        await self.placer.place(self.make_resumption())
        self.assertEqual(self.leader.received[-1].version, "v1")
        two = (INSTANCES[0], INSTANCES[1]._replace(version="v2"))
        self.leader.streams[-1].inbox.put_nowait(placement.View(two, (), 1))
        await asyncio.sleep(0.02)
        with self.assertRaises(error.CapacityError):
            await self.placer.place(self.make_resumption())

    async def test_the_leader_places_and_gets_one_release(self):
        slot = await self.placer.place(self.make_spec())
        self.assertEqual(slot.instance, INSTANCES[0])
        self.placer.release(slot, True, 0.02)
        self.placer.release(slot)
        left = [
            item for item in self.leader.received if isinstance(item, placement.Left)
        ]
        self.assertEqual(left, [placement.Left(slot.number, True, 0.02)])

    async def test_a_refusal_has_its_kind_and_retry_after(self):
        self.leader.refusal = ("rate_limited", "over", 0.7)
        with self.assertRaises(error.CapacityError) as caught:
            await self.placer.place(self.make_spec())
        self.assertEqual(caught.exception.kind, error.Kind.RATE_LIMITED)
        self.assertEqual(caught.exception.retry_after, 0.7)
        self.assertTrue(caught.exception.not_run)

    async def test_a_leader_that_has_just_lost_the_leadership_refuses_no_request(self):
        self.leader.refusal = ("not_leader", "not the leader", 1.0)
        slot = await self.placer.place(self.make_spec())
        self.assertIn(slot.instance, INSTANCES)

    async def test_the_list_of_control_vms_is_updated(self):
        self.assertEqual(self.client.learned, ("c1", "c2"))

    async def test_without_a_leader_requests_are_placed_by_local_counts(self):
        self.leader.fail()
        await asyncio.sleep(0.02)
        slots = [await self.placer.place(self.make_spec()) for _ in range(3)]
        names = [slot.instance.id for slot in slots]
        self.assertLessEqual(max(names.count(name) for name in names), 2)

    async def test_without_a_leader_a_customer_gets_a_part_of_its_limit(self):
        self.leader.fail()
        await asyncio.sleep(0.02)
        granted = 0
        with self.assertRaises(error.CapacityError) as caught:
            for _ in range(50):
                slot = await self.placer.place(self.make_spec())
                self.placer.release(slot)
                granted += 1
        self.assertEqual(caught.exception.kind, error.Kind.RATE_LIMITED)
        self.assertTrue(1 <= granted <= 6, granted)

    async def test_requests_do_not_wait_for_a_silent_leader(self):
        self.leader.answers = False
        self.beat_task.cancel()
        start = asyncio.get_running_loop().time()
        await self.placer.place(self.make_spec())
        took = asyncio.get_running_loop().time() - start
        self.assertLess(took, placer.LEADER_STALE_SECONDS + 0.15)

    async def test_a_new_leader_gets_the_running_requests(self):
        slot = await self.placer.place(self.make_spec())
        ended = await self.placer.place(self.make_spec())
        self.leader.fail()
        await asyncio.sleep(0.02)
        self.placer.release(ended)
        self.leader.is_up = True
        await asyncio.sleep(0.15)
        running = self.leader.attached[-1].running
        self.assertEqual([item.number for item in running], [slot.number])

    async def test_a_slot_that_is_granted_too_late_is_released(self):
        self.leader.answers = False
        task = asyncio.create_task(self.placer.place(self.make_spec()))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        number = self.leader.received[0].number
        late = placement.Placed(number, INSTANCES[0])
        self.leader.streams[-1].inbox.put_nowait(late)
        await asyncio.sleep(0.01)
        self.assertEqual(self.leader.received[-1], placement.Left(number))


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    """Entries whose leader is lost at a crest place at the same moment."""

    instances = tuple(
        Instance(f"i{n}", "llm", f"10.0.1.{n}:80", "abc"[n % 3], 8) for n in range(20)
    )

    async def start(self, number, count):
        leader = FakeLeader()
        leader.view = placement.View(self.instances, (), count, number=number)
        entry = placer.Placer(
            f"e{number}", "a", FakeClient(leader), dict,
            fallback.Slack(), metric.Meter("t"), SystemTimer(),
        )  # fmt: skip
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        await asyncio.sleep(0.01)
        return leader, entry

    async def place_alone(self, started, each):
        for leader, _ in started:
            leader.fail()
        await asyncio.sleep(0.02)
        spec = placer.SlotSpec("r", "llm", "c", 0, 0.2, frozenset(), True)
        slots = [
            await entry.place(spec._replace(request=f"r{n}"))
            for n in range(each)
            for _, entry in started
        ]
        return Counter(slot.instance.id for slot in slots)

    async def test_numbered_entries_without_a_leader_fill_the_upstreams_evenly(self):
        started = [await self.start(number, 19) for number in range(19)]
        loads = await self.place_alone(started, 4)
        self.assertEqual((len(loads), max(loads.values())), (20, 4))

    async def test_an_entry_keeps_its_number_until_another_leader_numbers_it(self):
        leader, entry = await self.start(3, 19)
        leader.fail()
        leader.view = leader.view._replace(number=7)
        await asyncio.sleep(0.02)
        self.assertEqual(entry._position.number, 3)
        leader.is_up = True
        await asyncio.sleep(0.1)
        self.assertEqual(entry._position.number, 7)

    async def test_entries_without_numbers_place_as_before(self):
        started = [await self.start(None, 19) for _ in range(2)]
        loads = await self.place_alone(started, 1)
        self.assertEqual(loads, {"i0": 2})


if __name__ == "__main__":
    unittest.main()
