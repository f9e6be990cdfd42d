"""Test what the leader sends to the entries."""

import asyncio
import itertools
import json
import types
import unittest

from sapphireseam.control import placement as placements
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message, placement
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.policy import allocator
from sapphireseam.policy.slot import SlotRequest
from sapphireseam.tools.fake import FakeReplica
from sapphireseam.utils.timer import FakeTimer

INSTANCE = Instance("i1", "llm", "10.0.0.1:80", "z", 4)
LIMITS = types.SimpleNamespace(contracts={})


class EntryStream:
    """Record what the leader sends to an entry."""

    def __init__(self, timer):
        self.timer = timer
        self.received = []
        self.times = []

    def post(self, item):
        self.received.append(item)
        self.times.append(self.timer.read_clock())

    async def receive(self):
        await asyncio.get_running_loop().create_future()


class PlacementServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = FakeTimer()
        self.machine = machine = StateMachine()
        self.replica = replica = FakeReplica(machine)
        replica.leader, replica.members = "", ()
        self.probed = []
        # The start of upstreams that probes show.
        self.born = 0
        self.server = placements.PlacementServer(
            replica, machine, LIMITS, self.probe, None, self.timer
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def probe(self, instance, path, seconds):
        self.probed.append(instance.id)
        return placements.ProbeResult((), self.born)

    async def attach(self, count):
        streams = [EntryStream(self.timer) for _ in range(count)]
        for number, stream in enumerate(streams):
            first = placement.Attach(f"e{number}", "z", ())
            serving = asyncio.create_task(self.server.serve(first, stream))
            self.addCleanup(serving.cancel)
        await self.timer.advance(0.0)
        return streams

    async def advance(self, seconds):
        for _ in range(round(seconds / 0.02)):
            await self.timer.advance(0.02)

    def count_views(self, streams):
        return sum(
            isinstance(item, placement.View)
            for stream in streams
            for item in stream.received
        )

    async def test_views_do_not_grow_with_the_square_of_the_entries(self):
        """All entries attach to a new leader at about the same time."""
        streams = await self.attach(60)
        self.server.update_instances((INSTANCE,))
        await self.advance(0.3)
        self.assertLessEqual(self.count_views(streams), 3 * len(streams))
        for stream in streams:
            views = [
                item for item in stream.received if isinstance(item, placement.View)
            ]
            self.assertEqual(views[-1], placement.View((INSTANCE,), (), len(streams)))

    async def list_received(self, spreads_load):
        """Return what three entries get that attach before the list changes."""
        self.server._spreads_load = spreads_load
        self.server.update_instances(())
        await self.advance(0.3)
        streams = [EntryStream(self.timer) for _ in range(3)]
        entries = zip(streams, ("e1", "e3", "e2"), "bab", strict=True)
        tasks = [
            asyncio.create_task(
                self.server.serve(placement.Attach(name, domain, ()), stream)
            )
            for stream, name, domain in entries
        ]
        await self.advance(0.3)
        self.server.update_instances((INSTANCE,))
        await self.advance(0.3)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return [stream.received for stream in streams]

    async def test_entries_get_numbers_by_domain_and_name_without_more_messages(self):
        before = await self.list_received(False)
        after = await self.list_received(True)
        for received, numbers in ((before, [None] * 3), (after, [1, 0, 2])):
            views = [
                [item for item in each if isinstance(item, placement.View)]
                for each in received
            ]
            self.assertEqual([each[-1].number for each in views], numbers)
        self.assertEqual([len(each) for each in before], [len(each) for each in after])

    async def test_a_new_leader_serves_no_entry_before_it_has_the_list(self):
        running = placement.Running(1, "r", INSTANCE.id, "c")
        stream = EntryStream(self.timer)
        first = placement.Attach("e", "z", (running,))
        serving = asyncio.create_task(self.server.serve(first, stream))
        self.addCleanup(serving.cancel)
        await self.advance(1.0)
        self.assertEqual(stream.received, [])
        self.server.update_instances((INSTANCE,))
        await self.advance(0.04)
        self.assertEqual(stream.received, [placement.View((INSTANCE,), (), 1)])
        self.assertEqual(self.server.allocator.count_running("llm", False), 1)

    async def test_a_new_leader_places_nothing_where_an_entry_knows_of_leaving(self):
        leaving = placement.Leaving(INSTANCE.id, INSTANCE.born)
        former = INSTANCE._replace(id="i2", born=2)
        first = placement.Attach(
            "e", "z", (), leaving=(leaving, placement.Leaving(former.id, 1))
        )
        self.server.update_instances((INSTANCE, former))
        serving = asyncio.create_task(self.server.serve(first, EntryStream(self.timer)))
        self.addCleanup(serving.cancel)
        await self.timer.advance(0.0)
        self.assertEqual(self.server.allocator.count_slots("llm"), former.slots)

    async def test_customers_share_a_service_once_a_configuration_asks_for_it(self):
        document = json.dumps({"services": {"llm": {"fair": True}}}).encode()
        publish = command.Publish("p", 0, document, 0.0)
        self.machine.apply(1, command.REGISTRY.encode(publish))
        self.server.update_instances((INSTANCE,))
        (stream,) = await self.attach(1)
        now = self.timer.read_clock()
        for number in range(12):
            key = f"1:{number}"
            request = SlotRequest(key, "llm", "big", 0, "z", now, now + 5.0)
            self.server.allocator.place(request, now)
        request = SlotRequest("1:99", "llm", "small", 0, "z", now, now + 0.3)
        with self.assertLogs(placements.logger) as logs:
            self.assertIsNone(self.server.allocator.place(request, now))
            await self.advance(0.4)
        (line,) = [each for each in logs.records if each.msg == "request refused"]
        self.assertEqual((line.customer, line.cause), ("small", "expired"))
        self.assertEqual((line.patience, line.largest), (0.3, "big"))
        turned = [x for x in stream.received if isinstance(x, placement.Turned)]
        self.assertEqual([item.number for item in turned], [99])

    async def test_all_ejected_upstreams_are_probed_once_no_other_is_left(self):
        other = INSTANCE._replace(id="i2")
        self.server.update_instances((INSTANCE, other))
        await self.timer.advance(0.0)
        self.probed.clear()
        self.server.eject(INSTANCE.id)
        await self.timer.advance(0.0)
        self.assertEqual(self.probed, [])
        self.server.eject(other.id)
        await self.timer.advance(0.0)
        self.assertEqual(self.probed, [INSTANCE.id, other.id])
        slots = self.server.allocator.count_slots("llm")
        self.assertEqual(slots, INSTANCE.slots + other.slots)

    def evacuate(self, number, is_evacuated=True):
        """Apply an order for the domain of all upstreams."""
        domain = INSTANCE.domain
        item = command.SetEvacuation(
            f"o{number}", domain, is_evacuated, 0.0, is_forced=True
        )
        self.machine.apply(number, command.REGISTRY.encode(item))

    async def test_entries_hear_of_an_evacuation_before_any_grant_after_it(self):
        self.server.update_instances((INSTANCE,))
        (stream,) = await self.attach(1)
        self.evacuate(1)
        place = placement.Place(1, "r", "llm", "c", 0, 9.0, (), False)
        (entry,) = self.server._entries.values()
        self.server._handle_message(entry, set(), place)
        await self.advance(0.1)
        asked = []
        self.server.on_returned = lambda domain: asked.append(
            (domain, self.server.allocator.count_slots("llm"))
        )
        self.server._handle_message(entry, set(), place._replace(number=2))
        self.evacuate(2, False)
        self.server._handle_message(entry, set(), place._replace(number=3))
        await self.advance(0.1)
        # The hook runs while nothing can be placed there.
        self.assertEqual(asked, [(INSTANCE.domain, 0)])
        heard = [
            each if isinstance(each, placement.Evacuation) else type(each)
            for each in stream.received
            if not isinstance(each, placement.Beat | placement.View)
        ]
        self.assertEqual(
            heard,
            [
                placement.Evacuation(Evacuated(1, (INSTANCE.domain,))),
                placement.Turned,
                placement.Evacuation(Evacuated(2, ())),
                placement.Placed,
                placement.Placed,
            ],
        )

    async def test_nothing_is_probed_in_an_evacuated_domain(self):
        self.server.update_instances((INSTANCE,))
        await self.advance(0.1)
        self.evacuate(1)
        self.server.eject(INSTANCE.id)
        self.probed.clear()
        await self.advance(2.0)
        self.assertEqual(self.probed, [])
        self.evacuate(2, False)
        await self.advance(1.0)
        self.assertIn(INSTANCE.id, self.probed)

    async def test_a_new_leader_serves_no_entry_before_it_has_caught_up(self):
        caught_up = asyncio.Event()
        self.replica.wait_caught_up = caught_up.wait
        self.server.update_instances((INSTANCE,))
        (stream,) = await self.attach(1)
        await self.advance(1.0)
        self.assertEqual(stream.received, [])
        self.evacuate(1)
        caught_up.set()
        await self.advance(0.1)
        first = placement.Evacuation(Evacuated(1, (INSTANCE.domain,)))
        self.assertEqual(stream.received[0], first)

    async def test_an_upstream_that_fails_often_rests_although_its_probes_succeed(self):
        # Reaches into the server, as a publish needs a whole document.
        self.server._services = {"llm": fleet.Service(ejects_outliers=True)}
        others = [INSTANCE._replace(id=f"i{number}") for number in range(2, 6)]
        self.server.update_instances((INSTANCE, *others))
        for rest in (0.0, 0.8, 1.6):
            self.probed.clear()
            self.server.eject(INSTANCE.id)
            await self.advance(max(rest - 0.1, 0.0))
            self.assertEqual(self.probed, [])
            self.assertEqual(self.server.list_resting(), [INSTANCE] if rest else [])
            await self.advance(0.6)
            self.assertEqual(self.probed, [INSTANCE.id])
            self.assertEqual(self.server.allocator.list_ejected(), [])

    async def test_a_new_leader_learns_within_two_failures_which_upstream_fails(self):
        former, services = self.server, {"llm": fleet.Service(ejects_outliers=True)}
        instances = [INSTANCE._replace(id=f"i{number}") for number in range(1, 6)]
        for server in (former, (await self.start_cold())[1]):
            server._services = services
            server.update_instances(tuple(instances))
            for rests in (False, True):
                server.eject(INSTANCE.id)
                await self.advance(0.5)
                self.assertEqual(server.list_resting() == [INSTANCE], rests)
        self.assertEqual(former.list_resting(), [])
        self.assertEqual(former.allocator.count_slots("llm"), 5 * INSTANCE.slots)

    async def start_cold(self):
        """Let a second control VM follow the log of the first."""
        replica = FakeReplica(self.machine)
        replica.leader, replica.members, replica.is_leader = "", (), False
        other = placements.PlacementServer(
            replica, self.machine, LIMITS, self.probe, None, self.timer
        )
        await other.start()
        self.addAsyncCleanup(other.stop)
        document = {"services": {"llm": {"cold_rate": 20.0, "cold_seconds": 3.0}}}
        item = command.PublishNumbered(1, json.dumps(document).encode(), b"", 0.0)
        await self.replica.propose(command.REGISTRY.encode(item))
        return replica, other

    async def send(self, server, seconds, name):
        """Place requests at a server for a while; return when they were sent."""
        sent = []
        for number in range(round(seconds / 0.02)):
            await self.timer.advance(0.02)
            now = self.timer.read_clock()
            for key in (f"{name}:{number}a", f"{name}:{number}b"):
                request = allocator.SlotRequest(key, "llm", "c", 0, "z", now, now)
                if isinstance(server.allocator.place(request, now), allocator.Grant):
                    sent.append(now)
                    server.allocator.release(key, now)
        return sent

    async def test_a_cold_upstream_gets_its_rate_under_two_leaders(self):
        """The second leader's list doesn't show yet that the upstream is cold."""
        replica, other = await self.start_cold()
        self.server.update_instances((INSTANCE,), {"i1/0": 4.0})
        await self.advance(0.1)
        self.assertEqual(set(self.machine.state.ceilings), {"i1/0 cold"})
        first = await self.send(self.server, 0.7, "9")
        self.replica.is_leader, replica.is_leader = False, True
        other.update_instances((INSTANCE,), {"i1/0": 0.0})
        sent = first + await self.send(other, 2.0, "9")
        most = max(sum(s <= at < s + 1.0 for at in sent) for s in sent)
        self.assertLessEqual(most, 20)
        self.assertGreater(len(sent), 0.8 * 2.7 * 20)
        await self.advance(2.0)
        other.update_instances((INSTANCE,), {"i1/0": 0.0})
        await self.advance(0.1)
        self.assertEqual(other.allocator.read_ceilings(), {})
        self.assertEqual(self.machine.state.ceilings, {})

    async def test_a_new_leader_does_not_end_the_ceiling_of_a_later_run(self):
        replica, other = await self.start_cold()
        self.server.update_instances((INSTANCE,), {"i1/0": 4.0})
        await self.advance(0.1)
        again = INSTANCE._replace(born=7)
        # The other control VM expects a later end of the former run than it was told.
        other.record_cold(INSTANCE, 6.0)
        self.server.update_instances((again,), {"i1/7": 4.0})
        await self.advance(0.1)
        self.replica.is_leader, replica.is_leader = False, True
        other.update_instances((again,), {"i1/7": 4.0})
        await self.advance(0.1)
        self.assertEqual(set(self.machine.state.ceilings), {"i1/7 cold"})

    async def test_a_late_report_of_a_former_run_is_not_proposed(self):
        await self.start_cold()
        again = INSTANCE._replace(born=7)
        self.server.update_instances((again,), {"i1/7": 4.0})
        await self.advance(0.1)
        for is_cold, rate in ((False, 2.5), (False, 0.0), (True, 20.0)):
            with self.subTest(is_cold=is_cold, rate=rate):
                late = command.ReportCeiling("i1", "i1/5", rate, 0.0, is_cold, 1.0)
                self.assertTrue(self.server.is_late(late))
                await self.server._propose_ceiling(late)
                self.assertEqual(set(self.machine.state.ceilings), {"i1/7 cold"})
        for run, rate, is_cold in (("i1/7", 2.5, False), ("i1/9", 2.5, False)):
            item = command.ReportCeiling("i1", run, rate, 0.0, is_cold)
            self.assertFalse(self.server.is_late(item))
        end = command.ReportCeiling("i1", "i1/5", 0.0, 0.0, True)
        self.assertFalse(self.server.is_late(end))

    async def test_an_upstream_that_comes_back_may_be_cold(self):
        await self.start_cold()
        other = INSTANCE._replace(id="i2", domain="y", born=5)
        listed = (INSTANCE, other)
        self.server.update_instances(listed, {"i1/0": 0.0, "i2/5": 0.0})
        read = self.server.allocator.read_ceilings
        for is_same, expected in ((True, set()), (False, {"i2"})):
            self.born = 5 if is_same else 6
            self.server.eject(other.id)
            await self.advance(0.5)
            self.assertEqual(set(read()), expected)
        self.server.record_cold(other, 0.0)
        self.assertEqual(read(), {})
        self.server.on_returned("z")
        self.assertEqual(set(read()), {"i1"})
        shown = message.ColdView("i1", "i1/0", 20.0, 2.0, True)
        self.assertEqual(self.server.list_cold(), (shown,))
        await self.advance(2.1)
        self.assertEqual(read(), {})

    async def test_a_domain_is_taken_for_cold_before_anything_is_placed_there(self):
        await self.start_cold()
        self.server.update_instances((INSTANCE,), {"i1/0": 0.0})
        self.evacuate(91)
        await self.advance(0.5)
        self.assertEqual(self.server.allocator.read_ceilings(), {})
        self.evacuate(92, False)
        self.assertEqual(set(self.server.allocator.read_ceilings()), {"i1"})

    async def test_a_leader_that_lost_its_lease_places_nothing_where_some_are_cold(
        self,
    ):
        await self.start_cold()
        self.server.update_instances((INSTANCE,), {"i1/0": 4.0})
        (stream,) = await self.attach(1)
        await self.advance(0.3)
        self.assertFalse(self.server.list_cold()[0].is_presumed)
        self.replica.is_leader = False
        self.assertEqual(self.server.list_cold(), ())
        (entry,) = self.server._entries.values()
        place = placement.Place(1, "r", "llm", "c", 0, 0.1, (), False)
        await self.server._place(entry, {1}, place)
        self.assertEqual(stream.received[-1].kind, error.Kind.NOT_LEADER)

    async def test_below_a_ceiling_requests_are_placed_in_the_order_in_which_they_came(
        self,
    ):
        self.server.update_instances((INSTANCE._replace(slots=100),))
        (stream,) = await self.attach(1)
        (entry,) = self.server._entries.values()
        rates = {get_run_name(INSTANCE): 70.0}
        self.server.allocator.set_ceilings(rates, self.timer.read_clock())
        open_numbers = set()
        for number in range(60):
            place = placement.Place(number, "r", "llm", "c", 0, 9.0, (), False)
            self.server._handle_message(entry, open_numbers, place)
            await self.timer.advance(0.005)
        await self.advance(0.8)
        placed = [x.number for x in stream.received if isinstance(x, placement.Placed)]
        self.assertEqual(placed, list(range(60)))

    async def test_every_entry_hears_from_the_leader_often_enough(self):
        self.server.update_instances((INSTANCE,))
        streams = await self.attach(3)
        await self.advance(2.0)
        for stream in streams:
            pauses = [b - a for a, b in itertools.pairwise(stream.times)]
            self.assertLess(max(pauses), 0.2)

    async def test_a_message_replaces_a_heartbeat(self):
        self.server.update_instances((INSTANCE,))
        (stream,) = await self.attach(1)
        await self.advance(0.3)
        before = len(stream.received)
        (entry,) = self.server._entries.values()
        for _ in range(50):
            entry.post(placement.Placed(1, INSTANCE))
            await self.timer.advance(0.02)
        beats = [
            item
            for item in stream.received[before:]
            if isinstance(item, placement.Beat)
        ]
        self.assertLessEqual(len(beats), 1)


if __name__ == "__main__":
    unittest.main()
