"""Test that a program is rebuilt after a storage failure if `restarts` is set."""

import asyncio
import gc
import itertools
import json
import os
import signal
import tempfile
import time
import unittest
import weakref
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from sapphireseam.core import error
from sapphireseam.utils import application, program


class Settings(NamedTuple):
    node: str


class FakeApplication:
    def __init__(self, failures):
        self._failures = failures

    async def run(self):
        if self._failures:
            raise self._failures.pop(0)


class FailingPart:
    """Fail at the start or while it runs, and send signals before it does."""

    def __init__(self, owner, moment="", signal_number=None, pause=0.0):
        self.owner = owner
        self.moment = moment
        self.signal_number = signal_number
        self.pause = pause

    async def signal(self):
        os.kill(os.getpid(), self.signal_number)
        if self.pause:
            await asyncio.sleep(self.pause)

    async def start(self):
        if self.moment == "start":
            await self.signal()
            raise error.StorageError("no space left")
        self.owner.fail(error.StorageError("no space left"))

    async def stop(self):
        if self.moment == "stop":
            await self.signal()


class RunTest(unittest.TestCase):
    def run_daemon(self, build, **options):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps({"node": "n"}))
            with (
                mock.patch.object(program.log, "configure"),
                mock.patch.object(program, "RESTART_SECONDS", 0.01),
            ):
                program.run_daemon(
                    "seam-test",
                    Settings,
                    lambda settings: build(),
                    path,
                    **options,
                )

    def test_restarts_until_a_full_disk_has_space(self):
        failures = [error.StorageError("no space left")] * 3
        with self.assertLogs(program.logger, "ERROR") as logs:
            self.run_daemon(lambda: FakeApplication(failures), restarts=True)
        self.assertEqual(len(logs.records), 3)
        self.assertEqual(failures, [])

    def test_exits_without_restarts(self):
        with self.assertLogs(program.logger, "ERROR"):
            with self.assertRaises(SystemExit) as caught:
                failures = [error.StorageError("no space left")]
                self.run_daemon(lambda: FakeApplication(failures))
        self.assertEqual(caught.exception.code, program.FAILED_EXIT)

    def test_exits_on_other_failures(self):
        with self.assertLogs(program.logger, "ERROR"):
            with self.assertRaises(SystemExit):
                failures = [error.SettingsError("taken")]
                self.run_daemon(lambda: FakeApplication(failures), restarts=True)

    def make_application(self, *arguments):
        made = application.Application("test")
        made.add(FailingPart(made, *arguments))
        return made

    def test_a_stop_during_a_rebuild_is_not_forgotten(self):
        moments = ("start", "stop")
        numbers = (signal.SIGTERM, signal.SIGINT)
        for case in itertools.product(moments, numbers, (0.05, 0.0)):
            builds = iter([self.make_application(*case)])
            with self.subTest(case), self.assertLogs():
                self.run_daemon(lambda: next(builds), restarts=True)  # noqa: B023

    def test_a_stop_in_the_pause_before_a_rebuild_ends_the_process(self):
        builds = iter([self.make_application(), FakeApplication([])])
        found = []

        def pause(seconds):
            found.append(signal.getsignal(signal.SIGTERM))

        with self.assertLogs(), mock.patch.object(time, "sleep", pause):
            self.run_daemon(lambda: next(builds), restarts=True)
        self.assertEqual(found, [signal.SIG_DFL])

    def test_an_application_that_failed_is_freed_before_the_next_is_built(self):
        self.addCleanup(gc.unfreeze)
        former = []

        def build():
            if former:
                self.assertIsNone(former[0]())
                return FakeApplication([])
            made = self.make_application()
            former.append(weakref.ref(made))
            return made

        with self.assertLogs():
            self.run_daemon(build, restarts=True)


if __name__ == "__main__":
    unittest.main()
