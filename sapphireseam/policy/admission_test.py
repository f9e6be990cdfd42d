"""Test that limits follow the engine and that online requests preempt batch work."""

import unittest

from sapphireseam.policy import admission

STEP_SECONDS = 0.01


def run_windows(controller, steps, batch=False, step=STEP_SECONDS, count=40, start=0.0):
    """Feed first tokens that take `steps` steps each while requests always wait."""
    now = start
    for number in range(count):
        controller.may_admit(batch, 1000, 1000)
        id = f"{start}/{number}"
        controller.observe_start(id, batch, now)
        controller.observe_step(step, now)
        controller.observe_first_token(id, now + steps * step)
        controller.observe_end(id, now + steps * step)
        now += 0.6 + steps * step
    return now


class AdaptiveTest(unittest.TestCase):
    def test_limit_grows_while_first_tokens_are_quick(self):
        controller = admission.AdaptiveAdmission(4)
        run_windows(controller, 2.0)
        self.assertGreater(controller.limit, 8)

    def test_limit_stays_while_nothing_waits(self):
        controller = admission.AdaptiveAdmission(4)
        controller.may_admit = lambda *running: True
        run_windows(controller, 2.0)
        self.assertEqual(controller.limit, 4)

    def test_limit_shrinks_for_queued_first_tokens_and_for_long_steps(self):
        for steps, step in ((50.0, STEP_SECONDS), (2.0, 4.0 * STEP_SECONDS)):
            with self.subTest(steps=steps, step=step):
                controller = admission.AdaptiveAdmission(4)
                now = run_windows(controller, 2.0)
                before = controller.limit
                run_windows(controller, steps, step=step, count=80, start=now)
                self.assertLess(controller.limit, before / 2.0)

    def test_queued_batch_streams_lower_the_batch_limit_only(self):
        controller = admission.AdaptiveAdmission(4)
        now = run_windows(controller, 2.0)
        now = run_windows(controller, 2.0, batch=True, start=now)
        online, batch = controller.limit, controller.batch_limit
        run_windows(controller, 5.0, batch=True, count=80, start=now)
        self.assertLess(controller.batch_limit, batch)
        self.assertEqual(controller.limit, online)

    def test_online_request_preempts_batch_stream_without_a_first_token(self):
        controller = admission.AdaptiveAdmission(8)
        controller.observe_start("b", True, 0.0)
        self.assertFalse(controller.may_admit(True, 0, 1))
        self.assertEqual(controller.count_preemptions(1, 0, 1), 1)
        controller.observe_first_token("b", 0.1)
        self.assertTrue(controller.may_admit(True, 0, 1))
        self.assertEqual(controller.count_preemptions(1, 0, 1), 0)
        self.assertEqual(controller.count_preemptions(0, 8, 8), 0)
        self.assertEqual(controller.count_preemptions(1, 7, 8), 8)
