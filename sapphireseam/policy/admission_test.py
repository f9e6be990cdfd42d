"""Prove that the limit follows the engine and that batch makes room."""

import unittest

from sapphireseam.policy import admission

STEP_SECONDS = 0.01


def run_windows(bound, steps, batch=False, step=STEP_SECONDS, count=40, start=0.0):
    """Feed first tokens that take so many steps while work always waits."""
    now = start
    for number in range(count):
        bound.may_admit(batch, 1000, 1000)
        id = f"{start}/{number}"
        bound.observe_start(id, batch, now)
        bound.observe_step(step, now)
        bound.observe_first_token(id, now + steps * step)
        bound.observe_end(id, now + steps * step)
        now += 0.6 + steps * step
    return now


class AdaptiveTest(unittest.TestCase):
    def test_limit_grows_while_first_tokens_are_quick(self):
        bound = admission.AdaptiveAdmission(4)
        run_windows(bound, 2.0)
        self.assertGreater(bound.limit, 8)

    def test_limit_holds_while_nothing_waits(self):
        bound = admission.AdaptiveAdmission(4)
        bound.may_admit = lambda *running: True
        run_windows(bound, 2.0)
        self.assertEqual(bound.limit, 4)

    def test_limit_shrinks_for_queued_first_tokens_and_for_long_steps(self):
        for steps, step in ((50.0, STEP_SECONDS), (2.0, 4.0 * STEP_SECONDS)):
            with self.subTest(steps=steps, step=step):
                bound = admission.AdaptiveAdmission(4)
                now = run_windows(bound, 2.0)
                before = bound.limit
                run_windows(bound, steps, step=step, count=80, start=now)
                self.assertLess(bound.limit, before / 2.0)

    def test_queued_batch_lowers_the_batch_limit_only(self):
        bound = admission.AdaptiveAdmission(4)
        now = run_windows(bound, 2.0)
        now = run_windows(bound, 2.0, batch=True, start=now)
        online, batch = bound.limit, bound.batch_limit
        run_windows(bound, 5.0, batch=True, count=80, start=now)
        self.assertLess(bound.batch_limit, batch)
        self.assertEqual(bound.limit, online)

    def test_batch_without_a_first_token_yields_to_any_online_request(self):
        bound = admission.AdaptiveAdmission(8)
        bound.observe_start("b", True, 0.0)
        self.assertFalse(bound.may_admit(True, 0, 1))
        self.assertEqual(bound.count_preemptions(1, 0, 1), 1)
        bound.observe_first_token("b", 0.1)
        self.assertTrue(bound.may_admit(True, 0, 1))
        self.assertEqual(bound.count_preemptions(1, 0, 1), 0)
        self.assertEqual(bound.count_preemptions(0, 8, 8), 0)
        self.assertEqual(bound.count_preemptions(1, 7, 8), 8)
