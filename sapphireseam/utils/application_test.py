"""Test the background tasks of parts."""

import asyncio
import unittest
from unittest import mock

from sapphireseam.utils import application


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


if __name__ == "__main__":
    unittest.main()
