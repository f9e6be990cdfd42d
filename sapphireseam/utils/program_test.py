"""Test that a program is rebuilt after a storage failure if `restarts` is set."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from sapphireseam.core import error
from sapphireseam.utils import program


class Settings(NamedTuple):
    node: str


class FakeApplication:
    def __init__(self, failures):
        self._failures = failures

    async def run(self):
        if self._failures:
            raise self._failures.pop(0)


class RunTest(unittest.TestCase):
    def run_daemon(self, failures, **options):
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
                    lambda settings: FakeApplication(failures),
                    path,
                    **options,
                )

    def test_restarts_until_a_full_disk_has_space(self):
        failures = [error.StorageError("no space left")] * 3
        with self.assertLogs(program.logger, "ERROR") as logs:
            self.run_daemon(failures, restarts=True)
        self.assertEqual(len(logs.records), 3)
        self.assertEqual(failures, [])

    def test_exits_without_restarts(self):
        with self.assertLogs(program.logger, "ERROR"):
            with self.assertRaises(SystemExit) as caught:
                self.run_daemon([error.StorageError("no space left")])
        self.assertEqual(caught.exception.code, program.FAILED_EXIT)

    def test_exits_on_other_failures(self):
        with self.assertLogs(program.logger, "ERROR"):
            with self.assertRaises(SystemExit):
                self.run_daemon([error.SettingsError("taken")], restarts=True)


if __name__ == "__main__":
    unittest.main()
