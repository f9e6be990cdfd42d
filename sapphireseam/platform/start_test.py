"""Test that each program starts as deploy/system.toml describes."""

import os
import signal
import subprocess
import sys
import time
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
BAD_SETTINGS_EXIT = 2
START_SECONDS = 20.0


def is_ignored(process, number):
    """Return whether a running process ignores a signal."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    masks = dict(line.split(":\t") for line in lines if line.startswith("SigIgn"))
    return bool(int(masks.get("SigIgn", "0"), 16) >> number - 1 & 1)


class StartTest(unittest.TestCase):
    def run_program(self, *arguments, settings):
        environment = os.environ | {"SAPPHIRESEAM_CONFIG": str(settings)}
        command = [sys.executable, "-m", "sapphireseam.platform.start", *arguments]
        return subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True
        )

    def test_each_role_names_a_program_that_reads_its_settings(self):
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        for name, role in roles.items():
            program = role["run"].split()[-1]
            completed = self.run_program(program, settings="/nonexistent/settings.json")
            self.assertEqual(completed.returncode, BAD_SETTINGS_EXIT, name)
            self.assertIn("/nonexistent/settings.json", completed.stderr)
            self.assertNotIn("Traceback", completed.stderr)

    def test_a_hangup_during_the_start_does_not_end_a_program(self):
        for program in ("entry", "control"):
            command = [sys.executable, "-m", "sapphireseam.platform.start", program]
            environment = os.environ | {"SAPPHIRESEAM_CONFIG": "/nonexistent"}
            with (
                self.subTest(program),
                subprocess.Popen(
                    command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL
                ) as process,
            ):
                end = time.monotonic() + START_SECONDS
                while time.monotonic() < end and process.poll() is None:
                    if is_ignored(process, signal.SIGHUP):
                        process.send_signal(signal.SIGHUP)
                        break
                else:
                    self.fail("a hangup would end the program")
                self.assertEqual(process.wait(START_SECONDS), BAD_SETTINGS_EXIT)

    def test_an_unknown_program(self):
        completed = self.run_program("agent", settings="x")
        self.assertIn("usage", completed.stderr)
        self.assertNotEqual(completed.returncode, 0)


if __name__ == "__main__":
    unittest.main()
