"""Test how slots are granted, taken from batch work, waited for and refused."""

import unittest

from hypothesis import given, strategies as st

from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.policy import allocator, occupancy


def make_instance(name, slots=2, domain="a", **fields):
    return Instance(
        name, "llm", f"10.0.0.1:{8000 + hash(name) % 1000}", domain, slots, **fields
    )


def make_request(key, customer="c", rank=0, now=0.0, patience=0.2, **fields):
    return allocator.SlotRequest(
        key, "llm", customer, rank, "a", now, now + patience, **fields
    )


class SlotAllocatorTest(unittest.TestCase):
    def setUp(self):
        self.allocator = allocator.SlotAllocator()
        self.allocator.update((make_instance("i1"), make_instance("i2")), 0.0)

    def fill(self, count):
        return [self.allocator.place(make_request(f"r{n}"), 0.0) for n in range(count)]

    def test_requests_spread_over_upstreams(self):
        names = [grant.instance.id for grant in self.fill(4)]
        self.assertEqual(sorted(names), ["i1", "i1", "i2", "i2"])

    def test_no_upstream_gets_more_than_its_slots(self):
        self.fill(4)
        self.assertIsNone(self.allocator.place(make_request("late"), 0.0))
        self.assertEqual(self.allocator.count_waiting("llm"), 1)

    def test_waiting_request_gets_the_next_free_slot(self):
        self.fill(4)
        self.allocator.place(make_request("late"), 0.0)
        (grant,) = self.allocator.release("r0", 0.1)
        self.assertEqual(grant.request.key, "late")

    def test_a_version_is_kept_and_does_not_hold_back_other_requests(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        self.allocator.update(
            tuple(make_instance(name, version=version) for name, version in versions),
            0.0,
        )
        for number in range(2):
            grant = self.allocator.place(make_request(f"p{number}", version="v1"), 0.0)
            self.assertEqual(grant.instance.id, "i1")
        pinned = make_request("w", version="v1", patience=1.0)
        self.assertIsNone(self.allocator.place(pinned, 0.0))
        self.fill(2)
        self.assertIsNone(self.allocator.place(make_request("any", patience=1.0), 0.1))
        (grant,) = self.allocator.release("p0", 0.1)
        self.assertEqual((grant.request.key, grant.instance.id), ("w", "i1"))

    def test_ejected_upstreams_continue_a_stream_if_no_other_has_its_version(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        self.allocator.update(
            tuple(make_instance(name, version=version) for name, version in versions),
            0.0,
        )
        self.allocator.eject("i1")
        self.assertIsNone(self.allocator.place_batch(make_request("b", version="v1")))
        grant = self.allocator.place(make_request("r", version="v1"), 0.0)
        self.assertEqual(grant.instance.id, "i1")
        grant = self.allocator.place(make_request("any"), 0.0)
        self.assertEqual(grant.instance.id, "i2")

    def test_a_resumed_stream_is_answered_while_all_upstreams_are_ejected_and_full(
        self,
    ):
        names = ("i1", "i2")
        self.allocator.update(
            tuple(make_instance(name, slots=1, version="v1") for name in names), 0.0
        )
        for name in names:
            self.allocator.eject(name)
        for number in range(2):
            self.allocator.place(make_request(f"r{number}", version="v1"), 0.0)
        refusal = self.allocator.place(make_request("late", version="v1"), 0.0)
        self.assertIsInstance(refusal, allocator.Refusal)

    def test_a_request_for_a_version_that_serves_no_more_is_refused_at_once(self):
        refusal = self.allocator.place(make_request("r", version="v0"), 0.0)
        self.assertTrue(refusal.has_no_upstream)

    def test_time_in_the_queue_does_not_count_as_slot_time(self):
        self.fill(4)
        self.allocator.place(make_request("w", patience=9.0), 0.0)
        self.allocator.release("r0", 5.0)
        before = self.allocator.estimate_slot_seconds("llm")
        self.allocator.release("w", 5.1)
        self.assertLess(self.allocator.estimate_slot_seconds("llm"), before)

    def test_online_request_evicts_the_newest_batch_request(self):
        self.allocator.place_batch(make_request("b-old", now=0.0))
        for number in range(3):
            self.allocator.place_batch(make_request(f"b{number}", now=1.0 + number))
        grant = self.allocator.place(make_request("online", now=5.0), 5.0)
        self.assertEqual(grant.evicted, "b2")
        self.assertEqual(self.allocator.count_running("llm", True), 3)
        self.assertEqual(self.allocator.find_instance("b2"), "")

    def test_batch_work_gets_no_slot_while_online_requests_wait(self):
        self.fill(5)
        self.assertIsNone(self.allocator.place_batch(make_request("b")))

    def test_a_request_that_waits_for_another_upstream_holds_back_no_other(self):
        self.fill(4)
        names = (self.allocator.find_instance(f"r{number}") for number in range(4))
        held = next(n for n, name in enumerate(names) if name == "i1")
        excluded = frozenset({"i1"})
        moving = make_request("m", rank=-1, patience=9.0, excluded=excluded)
        self.assertIsNone(self.allocator.place(moving, 0.0))
        self.assertIsNone(self.allocator.place(make_request("o", patience=9.0), 0.1))
        grants = self.allocator.release(f"r{held}", 0.2)
        self.assertEqual([grant.request.key for grant in grants], ["o"])

    def test_a_held_request_neither_evicts_nor_gets_a_slot_where_it_is_held(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        self.allocator.update(
            tuple(make_instance(name, version=version) for name, version in versions),
            0.0,
        )
        self.allocator.place(make_request("s", version="v1"), 0.0)
        self.allocator.place_batch(make_request("b", version="v1"))
        fields = {"version": "v1", "is_resumed": True, "held": "i1"}
        moving = make_request("m", excluded=frozenset({"i1"}), **fields)
        for action in (lambda: None, lambda: self.allocator.eject("i1")):
            action()
            found = self.allocator.place(moving, 0.0)
            self.assertNotIsInstance(found, allocator.Grant)
            self.assertEqual(self.allocator.find_instance("b"), "i1")
            self.allocator.release("m", 0.0)

    def test_a_request_that_returns_to_an_upstream_never_gets_another_one(self):
        fields = {"excluded": frozenset({"i1"}), "returns_to": "i1", "patience": 1.0}
        self.allocator.eject("i1")
        for number in range(2):
            grant = self.allocator.place(make_request(f"r{number}", **fields), 0.0)
            self.assertEqual(grant.instance.id, "i1")
        self.assertIsNone(self.allocator.place(make_request("w", **fields), 0.0))
        (grant,) = self.allocator.release("r0", 0.1)
        self.assertEqual((grant.request.key, grant.instance.id), ("w", "i1"))
        self.allocator.mark_leaving("i1", 0)
        refusal = self.allocator.place(make_request("x", **fields), 0.1)
        self.assertIsInstance(refusal, allocator.Refusal)

    def test_a_request_that_returns_to_an_upstream_evicts_only_batch_work_there(self):
        for number in range(4):
            self.allocator.place_batch(make_request(f"b{number}"))
        request = make_request("r", returns_to="i1")
        grant = self.allocator.place(request, 0.0)
        self.assertEqual(grant.instance.id, "i1")
        self.assertNotEqual(grant.evicted, "")

    def test_batch_work_gets_slots_while_only_held_requests_wait_for_others(self):
        names = [grant.instance.id for grant in self.fill(4)]
        moving = make_request("m", patience=9.0, held=names[0])
        self.assertIsNone(self.allocator.place(moving, 0.0))
        self.assertEqual(self.allocator.release("r0", 0.1), [])
        self.assertTrue(self.allocator.has_batch_slot("llm", 0.1))
        grant = self.allocator.place_batch(make_request("b"))
        self.assertEqual(grant.instance.id, names[0])

    def test_batch_work_gets_slots_that_no_waiting_request_can_use(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        instances = tuple(make_instance(name, version=each) for name, each in versions)
        for fields in (
            {"version": "v1", "is_resumed": True},
            {"returns_to": "i1"},
            {"excluded": frozenset({"i2"})},
        ):
            with self.subTest(**fields):
                self.allocator = allocator.SlotAllocator()
                self.allocator.update(instances, 0.0)
                for number in range(instances[0].slots):
                    self.allocator.place(make_request(f"r{number}", version="v1"), 0.0)
                waiting = make_request("w", patience=9.0, **fields)
                self.assertIsNone(self.allocator.place(waiting, 0.0))
                self.assertTrue(self.allocator.has_batch_slot("llm", 0.1))
                grant = self.allocator.place_batch(make_request("b"))
                self.assertEqual(grant.instance.id, "i2")

    def test_a_tied_request_gets_what_a_cold_upstream_takes_before_batch_work(self):
        instance = make_instance("i1", version="v1")
        self.allocator.update((instance,), 0.0)
        self.allocator.set_cold({get_run_name(instance): 4.0}, 0.0)
        waiting = make_request("w", patience=9.0, version="v1", is_resumed=True)
        self.assertIsNone(self.allocator.place(waiting, 0.0))
        batch = make_request("b")._replace(arrived=1.0)
        self.assertIsNone(self.allocator.place_batch(batch))
        (grant,) = self.allocator.retry_waiting(1.0)
        self.assertEqual(grant.request.key, "w")
        grant = self.allocator.place_batch(batch._replace(arrived=2.0))
        self.assertEqual(grant.instance.id, "i1")

    def test_request_that_can_be_on_time_goes_before_a_late_one(self):
        self.fill(4)
        self.allocator.place(make_request("late", patience=1.0, is_late=True), 0.0)
        self.allocator.place(make_request("fresh", now=0.1), 0.1)
        (grant,) = self.allocator.release("r0", 0.2)
        self.assertEqual(grant.request.key, "fresh")

    def test_repeated_searches_of_held_requests_leave_late_requests_their_slots(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        self.allocator.update(
            tuple(make_instance(name, version=version) for name, version in versions),
            0.0,
        )
        fields = {"version": "v1", "is_resumed": True, "held": "i1"}
        for number in range(40):
            search = make_request(f"s{number}", now=number / 20, **fields)
            found = self.allocator.place(search, number / 20)
            self.assertIsInstance(found, allocator.Refusal)
        for number in range(2):
            late = make_request(f"l{number}", now=2.0, is_late=True, version="v2")
            self.assertIsInstance(self.allocator.place(late, 2.0), allocator.Grant)

    def test_rank_counts_more_than_lateness(self):
        self.allocator.update((make_instance("i1"),), 0.0)
        self.fill(2)
        late = make_request("late", rank=0, now=2.0, patience=1.0, is_late=True)
        self.allocator.place(late, 2.0)
        self.allocator.place(make_request("fresh", rank=1, now=2.1), 2.1)
        (grant,) = self.allocator.release("r0", 2.2)
        self.assertEqual(grant.request.key, "late")

    def test_a_resumed_stream_goes_before_all_other_requests(self):
        self.fill(4)
        self.allocator.place(make_request("urgent", rank=-1, patience=1.0), 0.0)
        stream = make_request("s", rank=2, patience=1.0, is_late=True, is_resumed=True)
        self.assertIsNone(self.allocator.place(stream, 0.1))
        (grant,) = self.allocator.release("r0", 0.2)
        self.assertEqual(grant.request.key, "s")

    def test_late_requests_leave_slots_for_requests_that_can_be_on_time(self):
        self.allocator.update((make_instance("i1", 8),), 0.0)
        for number in range(9):
            request = make_request(f"late{number}", patience=1.0, is_late=True)
            self.allocator.place(request, 0.0)
        self.assertEqual(self.allocator.count_running("llm", False), 4)
        self.assertIsInstance(
            self.allocator.place(make_request("fresh"), 0.0), allocator.Grant
        )

    def test_request_that_can_not_be_placed_in_time_is_refused_at_once(self):
        self.fill(4)
        outcome = self.allocator.place(make_request("late", patience=0.01), 0.0)
        self.assertIsInstance(outcome, allocator.Refusal)
        self.assertGreaterEqual(outcome.retry_after, allocator.MIN_RETRY_SECONDS)
        self.assertFalse(outcome.has_no_upstream)

    def test_without_any_upstream_a_request_is_refused(self):
        empty = allocator.SlotAllocator()
        outcome = empty.place(make_request("r"), 0.0)
        self.assertTrue(outcome.has_no_upstream)

    def test_waiting_streams_are_refused_once_their_version_is_gone(self):
        versions = (("i1", "v1"), ("i2", "v2"))
        instances = tuple(
            make_instance(name, slots=1, version=version) for name, version in versions
        )
        self.allocator.update(instances, 0.0)
        for version in ("v1", "v2"):
            self.allocator.place(make_request(version, version=version), 0.0)
            stream = make_request(
                f"s-{version}", patience=9.0, version=version, is_resumed=True
            )
            self.assertIsNone(self.allocator.place(stream, 0.0))
        self.assertEqual(self.allocator.expire(0.1), [])
        self.allocator.update(instances[1:], 0.2)
        (refusal,) = self.allocator.expire(0.3)
        self.assertEqual(refusal.request.key, "s-v1")
        self.assertTrue(refusal.has_no_upstream)
        self.assertEqual(self.allocator.count_waiting("llm"), 1)

    def test_an_upstream_that_is_listed_twice_has_its_slots_once(self):
        instance = make_instance("i1")
        self.allocator.update((instance, instance), 0.0)
        self.assertEqual(self.allocator.count_slots("llm"), 2)
        self.fill(2)
        self.assertIsNone(self.allocator.place(make_request("w", patience=1.0), 0.0))
        (grant,) = self.allocator.release("r0", 0.1)
        self.assertEqual(grant.request.key, "w")

    def test_request_that_waited_too_long_is_refused(self):
        self.fill(4)
        self.allocator.place(make_request("late", patience=0.3), 0.0)
        (refusal,) = self.allocator.expire(0.4)
        self.assertEqual(refusal.request.key, "late")
        self.assertEqual(self.allocator.release("r0", 0.5), [])

    def test_lowest_rank_goes_first_then_the_customer_with_fewer_requests(self):
        for number in range(4):
            self.allocator.place(make_request(f"r{number}", customer="big"), 0.0)
        self.allocator.place(make_request("big", customer="big", patience=9), 0.0)
        self.allocator.place(make_request("small", customer="small", patience=9), 0.0)
        self.allocator.place(make_request("urgent", "big", rank=-1, patience=9), 0.0)
        order = [
            self.allocator.release(f"r{number}", 1.0)[0].request.key
            for number in range(3)
        ]
        self.assertEqual(order, ["urgent", "small", "big"])

    def test_leaving_and_ejected_upstreams_get_nothing(self):
        leaving = make_instance("i1", is_leaving=True)
        self.allocator.update((leaving, make_instance("i2")), 0.0)
        self.assertTrue(self.allocator.eject("i2"))
        self.assertFalse(self.allocator.eject("i2"))
        self.assertIsInstance(
            self.allocator.place(make_request("r"), 0.0), allocator.Refusal
        )
        self.allocator.restore("i2", 0.0)
        grant = self.allocator.place(make_request("r"), 0.0)
        self.assertEqual(grant.instance.id, "i2")

    def test_a_request_waits_for_the_probes_while_all_upstreams_are_ejected(self):
        for name in ("i1", "i2"):
            self.allocator.eject(name)
        self.assertEqual(len(self.allocator.list_awaited("i2")), 2)
        self.assertIsNone(self.allocator.place(make_request("r"), 0.0))
        (grant,) = self.allocator.restore("i1", 0.1)
        self.assertEqual((grant.request.key, grant.instance.id), ("r", "i1"))

    def test_a_request_is_refused_once_probes_of_all_ejected_upstreams_failed(self):
        for name in ("i1", "i2"):
            self.allocator.eject(name)
            self.allocator.record_down(name)
        refusal = self.allocator.place(make_request("r", patience=9.0), 0.0)
        self.assertTrue(refusal.has_no_upstream)
        for name in ("i1", "i2"):
            self.allocator.restore(name, 0.1)
            self.allocator.eject(name)
        self.assertIsNone(self.allocator.place(make_request("r", now=0.1), 0.1))

    def test_restart_under_the_same_id_frees_all_slots(self):
        self.fill(4)
        restarted = make_instance("i1", born=7)
        self.allocator.update((restarted, make_instance("i2")), 0.0)
        self.assertEqual(self.allocator.count_running("llm", False), 2)
        self.assertEqual(self.fill(1)[0].instance.id, "i1")

    def test_an_excluded_upstream_is_the_last_choice(self):
        excluded = frozenset({"i1"})
        grants = [
            self.allocator.place(make_request(f"r{n}", excluded=excluded), 0.0)
            for n in range(2)
        ]
        self.assertEqual({grant.instance.id for grant in grants}, {"i2"})

    def test_slow_upstream_gets_fewer_requests(self):
        self.allocator.update((make_instance("i1", 8), make_instance("i2", 8)), 0.0)
        self.allocator.record_pace("i1", 0.1)
        self.allocator.record_pace("i2", 0.02)
        names = [grant.instance.id for grant in self.fill(6)]
        self.assertEqual(names.count("i1"), 1)

    def test_external_requests_occupy_slots_until_they_end(self):
        self.allocator.place(make_request("r0", request_id="q0"), 0.0)
        for name in ("i1", "i2"):
            self.allocator.record_load(name, ("q0", "x1", "x2"), 0.5)
        self.assertIsNone(self.allocator.place(make_request("r1", patience=9), 1.0))
        (grant,) = self.allocator.clear_load("i2", 1.0)
        self.assertEqual(grant.request.key, "r1")

    def test_request_just_released_or_evicted_is_not_external(self):
        """A load report may predate a release or eviction and list that request."""
        for number in range(4):
            request = make_request(f"b{number}", request_id=f"q{number}")
            self.allocator.place_batch(request)
        self.allocator.release("b0", 2.0)
        self.allocator.place(make_request("r1", now=2.0, request_id="n1"), 2.0)
        self.allocator.place(make_request("r2", now=2.0, request_id="n2"), 2.0)
        for name in ("i1", "i2"):
            self.allocator.record_load(name, ("q0", "q1", "q2", "q3"), 2.2)
        grants = [
            self.allocator.place(
                make_request(f"r{n}", now=2.3, request_id=f"n{n}"), 2.3
            )
            for n in (3, 4)
        ]
        self.assertNotIn(None, grants)

    def test_request_released_long_ago_that_still_runs_is_external(self):
        self.allocator.place(make_request("r0", request_id="q0"), 0.0)
        self.allocator.release("r0", 1.0)
        self.allocator.record_load(
            "i1", ("q0", "q0"), 1.0 + 2 * occupancy.REPORT_SECONDS
        )
        names = [grant.instance.id for grant in self.fill(2)]
        self.assertEqual(names, ["i2", "i2"])

    def test_requests_placed_by_another_process_count(self):
        for number in range(4):
            self.allocator.add_placed(
                make_request(f"r{number}"), "i1" if number < 2 else "i2"
            )
        self.assertIsNone(self.allocator.place(make_request("late"), 0.0))


class LoadTest(unittest.TestCase):
    """Simulates a load on the allocator and checks grants, refusals and waits."""

    STEP = 0.01

    def simulate(
        self, seconds, rate, slot_seconds, batch, late_count=0, marks_late=True
    ):
        """Return (placed, refused, waits) of online requests beside batch work.

        `late_count` late requests arrive at the start, marked as late if `marks_late`.
        Their grants and waits aren't returned.
        """
        tested = allocator.SlotAllocator()
        tested.update(tuple(make_instance(f"i{n}", 8) for n in range(5)), 0.0)
        ends, waits, refused, placed, number = {}, [], 0, 0, 0
        due = 0.0
        first = []
        for count in range(late_count):
            request = make_request(f"late{count}", patience=1.0, is_late=marks_late)
            outcome = tested.place(request, 0.0)
            if isinstance(outcome, allocator.Grant):
                first.append(outcome)
        for tick in range(int(seconds / self.STEP)):
            now = tick * self.STEP
            grants, first = first, []
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += tested.release(key, now)
            refused += len(tested.expire(now))
            due += rate * self.STEP
            while due >= 1.0:
                due -= 1.0
                number += 1
                outcome = tested.place(make_request(f"r{number}", now=now), now)
                if isinstance(outcome, allocator.Refusal):
                    refused += 1
                elif outcome is not None:
                    grants.append(outcome)
            for grant in grants:
                ends[grant.request.key] = now + slot_seconds
                ends.pop(grant.evicted, None)
                if grant.request.key.startswith("late"):
                    continue
                placed += 1
                waits.append(now - grant.request.arrived)
            while batch and (
                grant := tested.place_batch(make_request(f"b{tick}", now=now))
            ):
                ends[grant.request.key] = now + 5.0
                break
        return placed, refused, waits

    def test_batch_work_delays_no_online_request(self):
        placed, refused, waits = self.simulate(
            20.0, rate=40.0, slot_seconds=0.7, batch=True
        )
        self.assertEqual(refused, 0)
        self.assertEqual(max(waits), 0.0)
        self.assertGreater(placed, 700)

    def test_excess_of_double_load_is_refused_at_once_and_the_rest_is_on_time(self):
        placed, refused, waits = self.simulate(
            20.0, rate=114.0, slot_seconds=0.7, batch=True
        )
        self.assertLess(max(waits), 0.25)
        capacity = 40 / 0.7 * 20.0
        self.assertGreater(placed, 0.9 * capacity)
        self.assertGreater(refused, 0.4 * capacity)

    def test_surge_of_late_requests_delays_few_others(self):
        """After an outage 100 late requests arrive while new ones keep arriving."""
        load = {"seconds": 4.0, "rate": 50.0, "slot_seconds": 0.7, "batch": False}
        placed, _, waits = self.simulate(**load, late_count=100)
        placed_unmarked, _, _ = self.simulate(**load, late_count=100, marks_late=False)
        self.assertGreater(placed, placed_unmarked * 1.3)
        self.assertLess(max(waits), 0.25)

    def test_streams_go_on_after_all_entries_lost_power(self):
        """Streams of two versions come back late, after new requests took all slots."""
        tested = allocator.SlotAllocator()
        versions = ("old", "new", "new", "new")
        tested.update(
            tuple(
                make_instance(f"i{n}", 8, version=version)
                for n, version in enumerate(versions)
            ),
            0.0,
        )
        ends, resumed, refused, number = {}, {}, [], 0
        for tick in range(200):
            now = tick * self.STEP
            grants = []
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += tested.release(key, now)
            requests = [
                make_request(f"n{number + n}", now=now, patience=0.2) for n in range(4)
            ]
            number += 4
            if 20 <= tick < 45:
                version = versions[tick % 2]
                request = make_request(
                    f"s{tick}",
                    rank=3,
                    now=now,
                    patience=1.0,
                    version=version,
                    is_late=True,
                    is_resumed=True,
                )
                requests.append(request)
            outcomes = [tested.place(request, now) for request in requests]
            for outcome in [*outcomes, *tested.expire(now)]:
                if isinstance(outcome, allocator.Refusal):
                    refused.append(outcome.request.key)
                elif outcome is not None:
                    grants.append(outcome)
            for grant in grants:
                ends[grant.request.key] = now + 0.3
                if grant.request.is_resumed:
                    resumed[grant.request.key] = grant
        self.assertEqual([key for key in refused if key.startswith("s")], [])
        self.assertEqual(len(resumed), 25)
        for grant in resumed.values():
            self.assertEqual(grant.instance.version, grant.request.version)


class PropertyTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30)), max_size=120))
    def test_slots_are_never_granted_twice(self, steps):
        tested = allocator.SlotAllocator()
        tested.update((make_instance("i1", 3), make_instance("i2", 2)), 0.0)
        running = {}
        for now, (kind, number) in enumerate(steps):
            key = f"{'b' if kind == 1 else 'r'}{number}"
            grants = []
            if kind in (0, 1) and key not in running:
                tested.release(key, now)
                request = make_request(key, now=now, patience=9)
                outcome = (
                    tested.place_batch(request) if kind else tested.place(request, now)
                )
                grants = [outcome] if isinstance(outcome, allocator.Grant) else []
            elif kind == 2:
                running.pop(key, None)
                grants = tested.release(key, now)
            else:
                tested.expire(now)
            for grant in grants:
                running.pop(grant.evicted, None)
                self.assertNotIn(grant.request.key, running)
                running[grant.request.key] = grant.instance
            for instance in tested.instances:
                taken = sum(each.id == instance.id for each in running.values())
                self.assertLessEqual(taken, instance.slots)


if __name__ == "__main__":
    unittest.main()
