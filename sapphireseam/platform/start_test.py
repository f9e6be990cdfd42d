"""Test that each program starts as deploy/system.toml describes."""

import os
import subprocess
import sys
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
BAD_SETTINGS_EXIT = 2


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

    def test_an_unknown_program(self):
        completed = self.run_program("agent", settings="x")
        self.assertIn("usage", completed.stderr)
        self.assertNotEqual(completed.returncode, 0)


if __name__ == "__main__":
    unittest.main()
