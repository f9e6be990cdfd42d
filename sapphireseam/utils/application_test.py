"""Test the background tasks of parts."""

import asyncio
import gc
import os
import signal
import unittest
from unittest import mock

from sapphireseam.utils import application
from sapphireseam.utils.grace import Grace


class TaskGroupTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.calls = 0
        self.tasks = application.TaskGroup()
        pause = mock.patch.object(application, "RESTART_SECONDS", 0.0)
        pause.start()
        self.addCleanup(pause.stop)

    async def fail_twice(self):
        self.calls += 1
        if self.calls < 3:
            raise ValueError("odd input")

    async def fail_always(self):
        self.calls += 1
        raise ValueError("odd input")

    async def test_a_task_that_is_kept_goes_on_after_errors(self):
        await self.tasks.keep(self.fail_twice)
        self.assertEqual(self.calls, 3)

    async def test_a_task_that_is_kept_ends_with_its_part(self):
        task = self.tasks.keep(self.fail_always)
        await asyncio.sleep(0.01)
        await self.tasks.cancel()
        self.assertTrue(task.cancelled())
        self.assertGreater(self.calls, 1)


class HangingPart:
    def __init__(self, seconds):
        self.seconds = seconds
        self.is_stopped = False

    async def start(self):
        pass

    async def stop(self):
        await asyncio.sleep(self.seconds)
        self.is_stopped = True


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_part_that_hangs_does_not_hold_the_stop_beyond_the_grace(self):
        program = application.Application("p", Grace(0.5))
        parts = [HangingPart(0.0), HangingPart(60.0), HangingPart(0.1)]
        for part in parts:
            program.add(part)
        await program.start()
        program.request_stop()
        with self.assertLogs(application.logger, "ERROR"):
            async with asyncio.timeout(5.0):
                await program.stop()
        self.assertEqual([part.is_stopped for part in parts], [True, False, True])

    async def test_a_second_signal_does_not_begin_the_grace_again(self):
        program = application.Application("p", Grace(0.5))
        program.request_stop()
        await asyncio.sleep(0.2)
        program.request_stop()
        self.assertLess(program.grace.read_remaining(), 0.4)


class FailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_open_work_does_not_hold_up_the_rebuild_after_a_failure(self):
        program = application.Application("p", Grace(60.0))
        program.add(HangingPart(60.0))
        asyncio.get_running_loop().call_soon(program.fail, ValueError("full"))
        self.addCleanup(gc.unfreeze)
        with (
            self.assertLogs(application.logger, "ERROR"),
            self.assertRaises(ValueError),
        ):
            async with asyncio.timeout(10 * application.FAILURE_SECONDS):
                await program.run()


class SignalTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_grace_begins_with_the_signal_though_the_loop_is_blocked(self):
        self.addCleanup(gc.unfreeze)
        grace = Grace(9.0)
        running = asyncio.create_task(application.Application("x", grace).run())
        await asyncio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        is_stopping = grace.is_stopping
        await running
        self.assertTrue(is_stopping)


if __name__ == "__main__":
    unittest.main()
