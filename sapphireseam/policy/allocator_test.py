"""Test how places are given, taken from batch work, waited for and refused."""

import unittest

from hypothesis import given, strategies as st

from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator, occupancy


def make_instance(name, slots=2, domain="a", **fields):
    return Instance(
        name, "llm", f"10.0.0.1:{8000 + hash(name) % 1000}", domain, slots, **fields
    )


def make_ask(key, customer="c", rank=0, now=0.0, patience=0.2, **fields):
    return allocator.SlotRequest(
        key, "llm", customer, rank, "a", now, now + patience, **fields
    )


class BoardTest(unittest.TestCase):
    def setUp(self):
        self.board = allocator.SlotAllocator()
        self.board.update((make_instance("i1"), make_instance("i2")), 0.0)

    def fill(self, count):
        return [self.board.place(make_ask(f"r{n}"), 0.0) for n in range(count)]

    def test_requests_spread_over_upstreams(self):
        names = [grant.instance.id for grant in self.fill(4)]
        self.assertEqual(sorted(names), ["i1", "i1", "i2", "i2"])

    def test_no_upstream_gets_more_than_its_slots(self):
        self.fill(4)
        self.assertIsNone(self.board.place(make_ask("late"), 0.0))
        self.assertEqual(self.board.count_waiting("llm"), 1)

    def test_one_that_waits_gets_the_next_free_place(self):
        self.fill(4)
        self.board.place(make_ask("late"), 0.0)
        (grant,) = self.board.release("r0", 0.1)
        self.assertEqual(grant.request.key, "late")

    def test_the_wait_for_a_place_is_no_time_in_it(self):
        self.fill(4)
        self.board.place(make_ask("w", patience=9.0), 0.0)
        self.board.release("r0", 5.0)
        before = self.board.measure_hold("llm")
        self.board.release("w", 5.1)
        self.assertLess(self.board.measure_hold("llm"), before)

    def test_online_work_takes_the_place_of_the_newest_batch_work(self):
        self.board.place_batch(make_ask("b-old", now=0.0))
        for number in range(3):
            self.board.place_batch(make_ask(f"b{number}", now=1.0 + number))
        grant = self.board.place(make_ask("online", now=5.0), 5.0)
        self.assertEqual(grant.evicted, "b2")
        self.assertEqual(self.board.count_running("llm", True), 3)
        self.assertEqual(self.board.find_instance("b2"), "")

    def test_batch_work_gets_nothing_while_online_work_waits(self):
        self.fill(5)
        self.assertIsNone(self.board.place_batch(make_ask("b")))

    def test_one_that_can_be_on_time_goes_before_one_that_is_late(self):
        self.fill(4)
        self.board.place(make_ask("late", patience=1.0, is_late=True), 0.0)
        self.board.place(make_ask("fresh", now=0.1), 0.1)
        (grant,) = self.board.release("r0", 0.2)
        self.assertEqual(grant.request.key, "fresh")

    def test_one_that_is_late_goes_before_one_of_a_lower_rank(self):
        self.board.update((make_instance("i1"),), 0.0)
        self.fill(2)
        late = make_ask("late", rank=0, now=2.0, patience=1.0, is_late=True)
        self.board.place(late, 2.0)
        self.board.place(make_ask("fresh", rank=1, now=2.1), 2.1)
        (grant,) = self.board.release("r0", 2.2)
        self.assertEqual(grant.request.key, "late")

    def test_late_ones_leave_room_for_those_that_can_be_on_time(self):
        self.board.update((make_instance("i1", 8),), 0.0)
        for number in range(9):
            ask = make_ask(f"late{number}", patience=1.0, is_late=True)
            self.board.place(ask, 0.0)
        self.assertEqual(self.board.count_running("llm", False), 4)
        self.assertIsInstance(self.board.place(make_ask("fresh"), 0.0), allocator.Grant)

    def test_what_can_not_be_placed_in_time_is_refused_at_once(self):
        self.fill(4)
        verdict = self.board.place(make_ask("late", patience=0.01), 0.0)
        self.assertIsInstance(verdict, allocator.Refusal)
        self.assertGreaterEqual(verdict.retry_after, allocator.SHORTEST_RETRY_SECONDS)
        self.assertFalse(verdict.has_no_upstream)

    def test_without_any_upstream_a_request_is_refused(self):
        empty = allocator.SlotAllocator()
        verdict = empty.place(make_ask("r"), 0.0)
        self.assertTrue(verdict.has_no_upstream)

    def test_who_waited_too_long_is_refused(self):
        self.fill(4)
        self.board.place(make_ask("late", patience=0.3), 0.0)
        (refusal,) = self.board.expire(0.4)
        self.assertEqual(refusal.request.key, "late")
        self.assertEqual(self.board.release("r0", 0.5), [])

    def test_lower_rank_goes_first_then_the_customer_with_less(self):
        for number in range(4):
            self.board.place(make_ask(f"r{number}", customer="big"), 0.0)
        self.board.place(make_ask("big", customer="big", patience=9), 0.0)
        self.board.place(make_ask("small", customer="small", patience=9), 0.0)
        self.board.place(make_ask("urgent", "big", rank=-1, patience=9), 0.0)
        order = [
            self.board.release(f"r{number}", 1.0)[0].request.key for number in range(3)
        ]
        self.assertEqual(order, ["urgent", "small", "big"])

    def test_leaving_and_benched_upstreams_get_nothing(self):
        leaving = make_instance("i1", is_leaving=True)
        self.board.update((leaving, make_instance("i2")), 0.0)
        self.assertTrue(self.board.eject("i2"))
        self.assertFalse(self.board.eject("i2"))
        self.assertIsInstance(self.board.place(make_ask("r"), 0.0), allocator.Refusal)
        self.board.restore("i2", 0.0)
        grant = self.board.place(make_ask("r"), 0.0)
        self.assertEqual(grant.instance.id, "i2")

    def test_a_restart_under_the_same_id_holds_nothing(self):
        self.fill(4)
        reborn = make_instance("i1", born=7)
        self.board.update((reborn, make_instance("i2")), 0.0)
        self.assertEqual(self.board.count_running("llm", False), 2)
        self.assertEqual(self.fill(1)[0].instance.id, "i1")

    def test_an_excluded_upstream_is_the_last_choice(self):
        excluded = frozenset({"i1"})
        grants = [
            self.board.place(make_ask(f"r{n}", excluded=excluded), 0.0)
            for n in range(2)
        ]
        self.assertEqual({grant.instance.id for grant in grants}, {"i2"})

    def test_a_slow_upstream_gets_less(self):
        self.board.update((make_instance("i1", 8), make_instance("i2", 8)), 0.0)
        self.board.record_pace("i1", 0.1)
        self.board.record_pace("i2", 0.02)
        names = [grant.instance.id for grant in self.fill(6)]
        self.assertEqual(names.count("i1"), 1)

    def test_work_that_nobody_here_placed_takes_places_until_it_is_gone(self):
        self.board.place(make_ask("r0", request_id="q0"), 0.0)
        for name in ("i1", "i2"):
            self.board.record_load(name, ("q0", "x1", "x2"), 0.5)
        self.assertIsNone(self.board.place(make_ask("r1", patience=9), 1.0))
        (grant,) = self.board.clear_load("i2", 1.0)
        self.assertEqual(grant.request.key, "r1")

    def test_what_has_just_left_or_was_evicted_is_not_foreign(self):
        """A report is older than what was done since; both kinds stand in it."""
        for number in range(4):
            ask = make_ask(f"b{number}", request_id=f"q{number}")
            self.board.place_batch(ask)
        self.board.release("b0", 2.0)
        self.board.place(make_ask("r1", now=2.0, request_id="n1"), 2.0)
        self.board.place(make_ask("r2", now=2.0, request_id="n2"), 2.0)
        for name in ("i1", "i2"):
            self.board.record_load(name, ("q0", "q1", "q2", "q3"), 2.2)
        grants = [
            self.board.place(make_ask(f"r{n}", now=2.3, request_id=f"n{n}"), 2.3)
            for n in (3, 4)
        ]
        self.assertNotIn(None, grants)

    def test_what_left_long_ago_and_still_runs_is_foreign(self):
        self.board.place(make_ask("r0", request_id="q0"), 0.0)
        self.board.release("r0", 1.0)
        self.board.record_load("i1", ("q0", "q0"), 1.0 + 2 * occupancy.REPORT_SECONDS)
        names = [grant.instance.id for grant in self.fill(2)]
        self.assertEqual(names, ["i2", "i2"])

    def test_adopted_requests_count(self):
        for number in range(4):
            self.board.add_placed(make_ask(f"r{number}"), "i1" if number < 2 else "i2")
        self.assertIsNone(self.board.place(make_ask("late"), 0.0))


class LoadTest(unittest.TestCase):
    """Play a load against the board and look at what callers get."""

    STEP = 0.01

    def play(self, seconds, rate, hold, batch, back=0, tells=True):
        """Return (placed, refused, waits) of online requests beside batch work.

        `back` requests that are late already come at once at the beginning; the
        board is told so with `tells`. Their waits aren't returned.
        """
        held = allocator.SlotAllocator()
        held.update(tuple(make_instance(f"i{n}", 8) for n in range(5)), 0.0)
        ends, waits, refused, placed, number = {}, [], 0, 0, 0
        due = 0.0
        first = []
        for count in range(back):
            ask = make_ask(f"late{count}", patience=1.0, is_late=tells)
            verdict = held.place(ask, 0.0)
            if isinstance(verdict, allocator.Grant):
                first.append(verdict)
        for tick in range(int(seconds / self.STEP)):
            now = tick * self.STEP
            grants, first = first, []
            for key in [key for key, end in ends.items() if end <= now]:
                del ends[key]
                grants += held.release(key, now)
            refused += len(held.expire(now))
            due += rate * self.STEP
            while due >= 1.0:
                due -= 1.0
                number += 1
                verdict = held.place(make_ask(f"r{number}", now=now), now)
                if isinstance(verdict, allocator.Refusal):
                    refused += 1
                elif verdict is not None:
                    grants.append(verdict)
            for grant in grants:
                ends[grant.request.key] = now + hold
                ends.pop(grant.evicted, None)
                if grant.request.key.startswith("late"):
                    continue
                placed += 1
                waits.append(now - grant.request.arrived)
            while batch and (grant := held.place_batch(make_ask(f"b{tick}", now=now))):
                ends[grant.request.key] = now + 5.0
                break
        return placed, refused, waits

    def test_batch_work_delays_no_online_request(self):
        placed, refused, waits = self.play(20.0, rate=40.0, hold=0.7, batch=True)
        self.assertEqual(refused, 0)
        self.assertEqual(max(waits), 0.0)
        self.assertGreater(placed, 700)

    def test_twice_the_capacity_is_refused_at_once_and_the_rest_is_on_time(self):
        placed, refused, waits = self.play(20.0, rate=114.0, hold=0.7, batch=True)
        self.assertLess(max(waits), 0.25)
        capacity = 40 / 0.7 * 20.0
        self.assertGreater(placed, 0.9 * capacity)
        self.assertGreater(refused, 0.4 * capacity)

    def test_a_rush_of_late_callers_makes_few_others_late(self):
        """After an outage a hundred come back while new ones go on coming."""
        load = {"seconds": 4.0, "rate": 50.0, "hold": 0.7, "batch": False}
        placed, _, waits = self.play(**load, back=100)
        placed_alike, _, _ = self.play(**load, back=100, tells=False)
        self.assertGreater(placed, placed_alike * 1.3)
        self.assertLess(max(waits), 0.25)


class PropertyTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30)), max_size=120))
    def test_places_are_never_given_twice(self, steps):
        held = allocator.SlotAllocator()
        held.update((make_instance("i1", 3), make_instance("i2", 2)), 0.0)
        running = {}
        for now, (kind, number) in enumerate(steps):
            key = f"{'b' if kind == 1 else 'r'}{number}"
            grants = []
            if kind in (0, 1) and key not in running:
                held.release(key, now)
                ask = make_ask(key, now=now, patience=9)
                given_ = held.place_batch(ask) if kind else held.place(ask, now)
                grants = [given_] if isinstance(given_, allocator.Grant) else []
            elif kind == 2:
                running.pop(key, None)
                grants = held.release(key, now)
            else:
                held.expire(now)
            for grant in grants:
                running.pop(grant.evicted, None)
                self.assertNotIn(grant.request.key, running)
                running[grant.request.key] = grant.instance
            for instance in held.instances:
                taken = sum(each.id == instance.id for each in running.values())
                self.assertLessEqual(taken, instance.slots)


if __name__ == "__main__":
    unittest.main()
