"""Tests which requests are refused after crashes of upstreams."""

import itertools
import unittest

import msgspec
from hypothesis import given, settings, strategies as st

from sapphireseam.control import crash, machine, record
from sapphireseam.core import command, error, outcome, trait, verdict
from sapphireseam.policy import blame

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=150)
BAD = "part:bad"
PARTS = st.frozensets(st.sampled_from(["part:a", "part:b", "part:c"]), max_size=3)


class Fleet:
    """Run requests against upstreams that crash, with the real verdicts."""

    def __init__(self):
        self.machine = machine.StateMachine()
        self.now = 1000.0
        self.numbers = itertools.count(1)
        # The number of crashes that a bad request caused.
        self.crashes = 0

    @property
    def state(self):
        return self.machine.state

    def apply(self, item):
        number = next(self.numbers)
        return self.machine.apply(number, command.REGISTRY.encode(item))

    def report(self, *requests, run="", upstream="u"):
        run = run or f"{upstream}/{next(self.numbers)}"
        traits = tuple(tuple(sorted(each)) for each in requests)
        return self.apply(command.ReportCrash("", upstream, run, traits, self.now))

    def claim(self, request, holder=""):
        traits = tuple(sorted(request))
        holder = holder or f"h{next(self.numbers)}"
        return self.apply(command.ClaimTrial("", traits, holder, self.now))

    def is_admitted(self, request, holder=""):
        return isinstance(self.claim(request, holder), outcome.Done)

    def clear(self, request):
        self.apply(command.ClearTraits(tuple(sorted(request)), self.now))

    def find_cause(self, request):
        return verdict.find_cause(self.state.verdicts, request, self.now)

    def list_causes(self):
        return {v.trait for v in self.state.verdicts.values() if v.is_cause}

    def run_together(self, bad, sound):
        """Run requests on one upstream; sound ones that broke are served elsewhere."""
        started = [each for each in (bad, *sound) if self.is_admitted(each)]
        if bad in started:
            self.crashes += 1
            self.report(*started)
        for each in started:
            if each != bad and self.is_admitted(each):
                self.prove(each)
        self.now += 2.0

    def prove(self, request):
        """Do what an entry does when a request is proven sound."""
        if not self.state.verdicts.keys().isdisjoint(request):
            self.clear(request)


class CauseTest(unittest.TestCase):
    @FAST
    @given(
        st.lists(PARTS, min_size=9, max_size=9),
        st.lists(
            st.tuples(st.integers(0, 8), st.lists(PARTS, max_size=4)),
            min_size=12,
            max_size=20,
        ),
    )
    def test_bad_part_is_refused_by_its_fifth_crash_and_no_sound_part_is(
        self, parts, steps
    ):
        """Nine requests with the bad part come, some of them repeatedly."""
        fleet = Fleet()
        for number, others in steps:
            bad = frozenset((f"bad{number}", BAD, *parts[number]))
            sound = [frozenset((f"s{next(fleet.numbers)}", *each)) for each in others]
            fleet.run_together(bad, sound)
            for each in sound:
                self.assertIsNone(fleet.find_cause(each))
        self.assertLessEqual(fleet.crashes, 5)
        if len({number for number, _ in steps}) > 5:
            self.assertIn(BAD, fleet.list_causes())

    @FAST
    @given(st.lists(st.lists(PARTS, max_size=5), min_size=2, max_size=8))
    def test_request_that_merely_breaks_beside_others_is_never_refused(self, crashes):
        """The innocent request breaks in each crash, beside a new bad request."""
        fleet = Fleet()
        innocent = frozenset({"innocent", "part:own"})
        for number, others in enumerate(crashes):
            bad = frozenset({f"bad{number}", BAD})
            sound = [frozenset((f"o{next(fleet.numbers)}", *e)) for e in others]
            fleet.run_together(bad, [innocent, *sound])
            self.assertIsNone(fleet.find_cause(innocent))

    @FAST
    @given(st.lists(st.frozensets(st.sampled_from("abcde"), min_size=2), max_size=8))
    def test_many_crashes_beside_others_refuse_no_request(self, crashes):
        fleet = Fleet()
        for requests in crashes:
            fleet.report(*({each} for each in requests))
            fleet.now += 1.0
            for each in requests:
                self.assertIsNone(fleet.find_cause({each}))
            # What is sound is served beside the next one.
            for each in requests:
                fleet.prove({each})

    def test_request_that_crashes_alone_is_refused_after_its_second_crash(self):
        fleet = Fleet()
        request = {"f", "part:a", "part:b"}
        for count in (1, 2):
            self.assertIsNone(fleet.find_cause(request))
            self.assertEqual(fleet.claim(request).number, min(count - 1, 1))
            fleet.report(request)
            fleet.now += 0.2
        self.assertFalse(fleet.is_admitted(request))
        self.assertTrue(fleet.is_admitted({"g", "part:a"}))

    def test_retries_of_one_request_refuse_none_of_its_parts(self):
        fleet = Fleet()
        for _ in range(6):
            fleet.report({"f", "part:a"})
            fleet.now += 2.0
        self.assertEqual(fleet.list_causes(), {"f"})

    def test_loss_of_half_of_the_upstreams_refuses_no_request(self):
        fleet = Fleet()
        for _ in range(3):
            for number in range(8):
                shared = f"part:{number // 3}"
                fleet.report({f"f{number}", shared})
                fleet.now += 0.02
            fleet.now += 1.0
            self.assertEqual(fleet.state.verdicts, {})

    def test_rare_sound_part_beside_the_bad_one_is_served_without_it(self):
        fleet = Fleet()
        for number in range(4):
            fleet.report({f"f{number}", "part:rare", BAD})
            fleet.now += 2.0
        self.assertIsNotNone(fleet.find_cause({"g", "part:rare", BAD}))
        alone = {"h", "part:rare"}
        self.assertTrue(fleet.is_admitted(alone))
        fleet.prove(alone)
        self.assertNotIn("part:rare", fleet.state.verdicts)
        self.assertIsNotNone(fleet.find_cause({"i", BAD}))

    def test_end_of_a_leaving_upstream_blames_no_request(self):
        fleet = Fleet()
        fleet.state.leaving["u"] = 0.0
        for _ in range(5):
            self.assertEqual(fleet.report({"f", BAD}), outcome.Done("u"))
        self.assertEqual(fleet.state.verdicts, {})

    @FAST
    @given(st.permutations(range(6)), st.integers(1, 3))
    def test_reports_of_several_entries_give_one_verdict_in_any_order(self, order, n):
        """Each of three crashes is reported by two entries."""
        verdicts = []
        for numbers in (range(6), order):
            fleet = Fleet()
            for number in numbers:
                run, entry = divmod(number, 2)
                mine = [{f"f{run}", BAD}] if entry == 0 else []
                beside = [{f"{run}-{entry}-{each}"} for each in range(n)]
                fleet.now = 1000.0 + run
                fleet.report(*mine, *beside, run=f"u/{run}")
            fleet.now = 1002.5
            fleet.clear({"part:none"})
            verdicts.append(
                {v.trait: v.is_cause for v in fleet.state.verdicts.values()}
            )
        self.assertEqual(verdicts[0], verdicts[1])
        self.assertTrue(verdicts[0][BAD])


class RefusalTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        for number in range(3):
            self.fleet.report({f"f{number}", BAD})
            self.fleet.now += 1.0
        self.found = self.fleet.state.verdicts[BAD]

    def test_refusal_ends_with_one_trial_and_doubles_after_its_crash(self):
        self.fleet.now = self.found.until + 0.1
        self.assertTrue(self.fleet.is_admitted({"g", BAD}))
        self.assertFalse(self.fleet.is_admitted({"h", BAD}))
        self.fleet.report({"g", BAD})
        again = self.fleet.state.verdicts[BAD]
        seconds = 2 * blame.FIRST_REFUSAL_SECONDS
        self.assertAlmostEqual(again.until, self.fleet.now + seconds)
        self.assertFalse(self.fleet.is_admitted({"h", BAD}))

    def test_refusal_is_at_most_an_hour(self):
        for _ in range(9):
            self.fleet.now = self.fleet.state.verdicts[BAD].until + 0.1
            self.fleet.report({f"g{self.fleet.now}", BAD})
        until = self.fleet.state.verdicts[BAD].until
        self.assertAlmostEqual(until, self.fleet.now + blame.MAX_REFUSAL_SECONDS)

    def test_sound_trial_ends_the_verdict(self):
        self.fleet.now = self.found.until + 0.1
        self.assertEqual(self.fleet.claim({"g", BAD}).number, 1)
        self.fleet.prove({"g", BAD})
        # The requests that broke may still be the cause themselves.
        self.assertEqual(set(self.fleet.state.verdicts), {"f0", "f1", "f2"})
        self.assertEqual(self.fleet.list_causes(), set())
        self.assertEqual(self.fleet.claim({"h", BAD}).number, 0)
        self.fleet.now += blame.LOG_SECONDS
        self.fleet.prove({"f0"})
        self.assertEqual(self.fleet.state.verdicts, {})

    def test_next_leader_has_the_verdict_from_the_snapshot_and_from_the_log(self):
        next_leader = machine.StateMachine()
        next_leader.restore(self.fleet.machine.encode())
        self.assertEqual(next_leader.state, self.fleet.state)
        item = command.ClaimTrial("", ("g", BAD), "h", self.fleet.now)
        answer = next_leader.apply(99, command.REGISTRY.encode(item))
        self.assertEqual(answer.kind, error.Kind.REQUEST_QUARANTINED)

    def test_crash_while_refused_counts_against_no_other_request(self):
        self.fleet.report({"late", BAD}, {"x", "part:x"})
        self.assertEqual(set(self.fleet.state.verdicts), {BAD})


class TrialTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        for number in range(2):
            self.fleet.report({f"f{number}", "part:s"})
            self.fleet.now += 1.0

    def test_one_request_at_a_time_is_tried(self):
        self.assertEqual(self.fleet.claim({"g", "part:s"}, "a").number, 1)
        self.assertFalse(self.fleet.is_admitted({"h", "part:s"}, "b"))
        self.assertTrue(self.fleet.is_admitted({"g", "part:s"}, "a"))
        self.fleet.apply(command.ReleaseTrial("a"))
        self.assertTrue(self.fleet.is_admitted({"h", "part:s"}, "b"))

    def test_trial_of_a_holder_that_ended_is_granted_to_the_next(self):
        self.fleet.claim({"g", "part:s"}, "a")
        self.fleet.now += crash.TRIAL_SECONDS
        self.assertTrue(self.fleet.is_admitted({"h", "part:s"}, "b"))

    def test_suspect_is_forgotten_after_a_while(self):
        self.fleet.now += blame.LOG_SECONDS
        self.assertEqual(self.fleet.claim({"g", "part:s"}).number, 0)


class BoundTest(unittest.TestCase):
    def test_log_of_crashes_and_traits_are_bounded(self):
        fleet = Fleet()
        for number in range(3 * blame.LOG_LIMIT):
            traits = [f"part:{number}-{each}" for each in range(50)]
            fleet.report({"f", *traits})
            fleet.now += 0.01
        self.assertEqual(len(fleet.state.crashes), blame.LOG_LIMIT)
        for found in fleet.state.crashes.values():
            self.assertEqual(len(found.requests[0]), crash.TRAIT_LIMIT)
            self.assertIn("f", found.requests[0])

    def test_proofs_and_causes_are_bounded(self):
        fleet = Fleet()
        for number in range(crash.PROOF_LIMIT // 1000 + 2):
            fleet.clear(f"part:{number}-{each}" for each in range(1000))
        self.assertEqual(len(fleet.state.proofs), crash.PROOF_LIMIT)
        causes = {str(n): blame.Cause(0.0, 1.0 + n) for n in range(2000)}
        kept, _ = blame.judge([], causes, (), 5000.0)
        self.assertLessEqual(len(kept), blame.CAUSE_LIMIT)


class SnapshotTest(unittest.TestCase):
    def test_snapshot_from_before_the_verdicts_loads_into_separate_states(self):
        fields = msgspec.msgpack.decode(machine.StateMachine().encode())
        names = record.State._fields
        old = msgspec.msgpack.encode(fields[: names.index("crashes")])
        first, second = machine.StateMachine(), machine.StateMachine()
        first.restore(old)
        item = command.ReportCrash("", "u", "u/1", (("f",),), 1.0)
        first.apply(1, command.REGISTRY.encode(item))
        second.restore(old)
        self.assertEqual(second.state, record.create())

    def test_log_from_before_the_verdicts_applies(self):
        found = machine.StateMachine()
        for number in (1, 2):
            item = command.ReportDeath(f"r{number}", "u", ("f",), True, 1.0)
            found.apply(number, command.REGISTRY.encode(item))
        found.apply(3, command.REGISTRY.encode(command.ClearSuspects(("f",))))
        self.assertEqual(found.state.deaths, {"f": 2})


class TraitTest(unittest.TestCase):
    def test_part_has_one_trait_in_a_scope(self):
        first = trait.make_part_traits("chat", ["a", "b", "a"])
        self.assertEqual(len(first), 2)
        self.assertEqual(trait.make_part_traits("chat", ["b"]), first[1:])
        self.assertNotEqual(trait.make_part_traits("other", ["b"]), first[1:])
        self.assertTrue(all(map(trait.is_part, first)))


class SeriesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    def send(self, number, *parts):
        """Return how many upstreams a request reaches; each crashes under it."""
        request = {f"f{number}", *parts}
        if not self.fleet.is_admitted(request):
            return 0
        self.fleet.report(request)
        return 1

    def test_two_bad_parts_that_crash_upstreams_in_turn_are_both_refused(self):
        sent = 0
        for number in range(20):
            sent += self.send(f"a{number}", "part:a")
            self.fleet.now += 0.4
            sent += self.send(f"b{number}", "part:b")
            self.fleet.now += 0.6
        self.assertLess(sent, 16)

    def test_a_bad_part_is_refused_although_other_upstreams_end_beside_it(self):
        sent = 0
        for number in range(20):
            self.fleet.report({f"o{number}", f"part:o{number}"})
            self.fleet.now += 0.1
            sent += self.send(number, BAD)
            self.fleet.now += 1.0
        self.assertLess(sent, 9)

    def test_company_of_a_cause_stands_in_one_request_with_it(self):
        for number in range(3):
            bad = {f"b{number}", "part:first", BAD}
            sound = {f"s{number}", "part:first", "part:document"}
            self.fleet.report(bad, sound)
            self.fleet.now += 1.0
        self.assertIsNotNone(self.fleet.find_cause({"b9", "part:first", BAD}))

    def test_a_bad_part_at_the_end_of_a_long_prompt_is_refused(self):
        sent = 0
        for number in range(20):
            others = [f"part:{number}-{index}" for index in range(32)]
            request = (f"f{number}", *others, BAD)
            if self.fleet.find_cause(request):
                continue
            item = command.ReportCrash(
                "", "u", f"u/{number}", (request,), self.fleet.now
            )
            self.fleet.apply(item)
            sent += 1
            self.fleet.now += 1.0
        self.assertLess(sent, 9)

    def test_a_request_that_crashes_upstreams_once_a_minute_is_refused(self):
        sent = 0
        for _ in range(20):
            request = {"f", "part:a"}
            if self.fleet.is_admitted(request):
                self.fleet.report(request)
                sent += 1
            self.fleet.now += 70.0
        self.assertLess(sent, 9)

    def test_a_bad_part_that_comes_twice_a_minute_is_refused(self):
        sent = 0
        for number in range(20):
            sent += self.send(number, BAD)
            self.fleet.now += 31.0
        self.assertLess(sent, 12)
