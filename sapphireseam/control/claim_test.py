"""Tests claims of idempotency keys and the quarantine of requests."""

import unittest
from unittest import mock

from hypothesis import given, settings, strategies as st

from sapphireseam.control import claim, record
from sapphireseam.core import command, error, outcome

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def take(state, holder, at=0.0, fingerprint="f", key="key"):
    return claim.acquire(state, command.ClaimRequest("c", key, fingerprint, holder, at))


def settle(state, holder, not_run=False):
    item = command.SettleClaim("c", "key", holder, not_run, 200, "blob", 1.0)
    return claim.complete(state, item)


class ClaimTest(unittest.TestCase):
    @FAST
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["take", "run", "settle", "free"]), st.integers(0, 2)
            ),
            max_size=30,
        )
    )
    def test_only_one_holder_runs_whatever_is_resent(self, steps):
        state = record.create()
        fresh: set[str] = set()
        runs: list[str] = []
        for action, number in steps:
            holder = f"h{number}"
            if action == "take":
                answer = take(state, holder)
                if answer.fresh:
                    fresh.add(holder)
            elif action == "run" and holder in fresh:
                runs.append(holder)
                fresh.discard(holder)
            elif action == "settle" and holder in runs:
                settle(state, holder)
            elif action == "free" and holder not in runs:
                fresh.discard(holder)
                settle(state, holder, not_run=True)
            self.assertLessEqual(len(set(runs)), 1)

    def test_stored_answer_is_returned_to_other_holders(self):
        state = record.create()
        take(state, "a")
        settle(state, "a")
        answer = take(state, "b")
        self.assertEqual((answer.fresh, answer.settled, answer.blob), (0, 1, "blob"))

    def test_resend_gets_the_time_of_the_claim(self):
        state = record.create()
        take(state, "a", 7.0)
        answer = take(state, "b", 9.0)
        self.assertEqual((answer.fresh, answer.settled, answer.at), (0, 0, 7.0))

    def test_open_claim_is_not_evicted_at_the_limit(self):
        state = record.create()
        with mock.patch.object(claim, "CLAIM_LIMIT", 2):
            take(state, "a", 0.0)
            take(state, "b", 0.0, key="other")
            late = claim.MIN_CLAIM_SECONDS + 1.0
            refused = take(state, "c", late, key="third")
            self.assertEqual(refused.kind, error.Kind.OVERLOADED)
            settle(state, "a")
            self.assertTrue(take(state, "c", late, key="third").fresh)
        self.assertIn("c/other", state.claims)


class CrashTest(unittest.TestCase):
    def report(self, state, names, alone=False, upstream="u"):
        item = command.ReportDeath("", upstream, tuple(names), alone, 0.0)
        return claim.record_crash(state, item)

    @FAST
    @given(st.lists(st.sets(st.sampled_from("abc"), min_size=1), max_size=8))
    def test_only_the_request_that_crashes_is_quarantined(self, beside):
        """Run `x` beside other requests until it is quarantined."""
        state = record.create()
        for others in [*beside, set()]:
            if state.deaths.get("x") == claim.QUARANTINED:
                break
            isolated = "x" in state.deaths
            self.report(state, {"x"} if isolated else others | {"x"}, isolated)
            for name in others & state.deaths.keys():
                claim.clear_suspects(state, command.ClearSuspects((name,)))
        self.report(state, {"x"}, True)
        self.assertEqual(claim.list_fingerprints(state, claim.QUARANTINED), ("x",))

    def test_many_crashes_beside_others_quarantine_no_request(self):
        state = record.create()
        for _ in range(9):
            self.report(state, "ab")
        self.assertEqual(claim.list_fingerprints(state, claim.QUARANTINED), ())

    def test_first_crash_quarantines_no_request_even_alone(self):
        state = record.create()
        self.report(state, "a", alone=True)
        self.assertEqual(claim.list_fingerprints(state, claim.SUSPECT), ("a",))

    def test_quarantine_is_permanent(self):
        state = record.create()
        self.report(state, "a")
        self.report(state, "a", alone=True)
        claim.clear_suspects(state, command.ClearSuspects(("a",)))
        self.report(state, "ab")
        self.assertEqual(claim.list_fingerprints(state, claim.QUARANTINED), ("a",))

    def test_end_of_a_leaving_upstream_blames_no_request(self):
        state = record.create()
        state.leaving["u"] = 0.0
        self.assertEqual(self.report(state, "a"), outcome.Done("u"))
        self.assertEqual(state.deaths, {})

    def test_suspects_are_evicted_before_the_quarantined(self):
        state = record.create()
        self.report(state, "a")
        self.report(state, "a", alone=True)
        with mock.patch.object(claim, "FINGERPRINT_LIMIT", 2):
            for name in "bcdef":
                self.report(state, name)
        self.assertEqual(claim.list_fingerprints(state, claim.QUARANTINED), ("a",))
