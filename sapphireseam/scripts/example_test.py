"""Test the example deployments and the command line of every program."""

import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

from sapphireseam.agent import application as agents
from sapphireseam.control import application as controls
from sapphireseam.core import fleet
from sapphireseam.entry import application as entries
from sapphireseam.ops import setting as operators
from sapphireseam.scripts import upstream as standins
from sapphireseam.utils import setting

ROOT = pathlib.Path(__file__).parents[2]
BINARIES = pathlib.Path(sys.executable).parent
KINDS = {
    "control": controls.Settings,
    "entry": entries.Settings,
    "agent": agents.Settings,
    "upstream": standins.Settings,
}
# Failure domains, replicas by version or service, and customers of each deployment.
SIZES = {
    "shannonside": (3, {"wording-llm-1": 5, "label-store": 3}, 8),
    "bureau": (3, {"beits-lm-1": 9, "post-app": 3}, 8),
}


def run_program(name, *arguments):
    return subprocess.run(
        [BINARIES / name, *arguments], capture_output=True, text=True, timeout=120
    )


class DeploymentTest(unittest.TestCase):
    def read_example(self, name):
        folder = ROOT / "examples" / name
        self.settings = {
            program: [setting.read(kind, p) for p in (folder / program).iterdir()]
            for program, kind in KINDS.items()
        }
        document = json.loads((folder / "configuration.json").read_text())
        choice = operators.Choice(folder / "operator.json")
        return fleet.require(document), operators.resolve(choice)

    def test_examples_have_the_sizes_of_their_deployments(self):
        for name, (domains, replicas, customers) in SIZES.items():
            with self.subTest(name):
                configuration, _ = self.read_example(name)
                self.assertEqual(len(configuration.failure_domains), domains)
                self.assertEqual(len(configuration.customers), customers)
                serving = [
                    item.version or item.service
                    for item in configuration.upstreams.values()
                ]
                counted = {item: serving.count(item) for item in serving}
                self.assertEqual(counted, replicas)

    def test_settings_and_configuration_have_the_same_addresses(self):
        for name in SIZES:
            with self.subTest(name):
                configuration, operator = self.read_example(name)
                control = {item.address for item in self.settings["control"]}
                self.assertEqual(set(operator.control), control)
                for item in self.settings["control"]:
                    self.assertEqual({p.address for p in item.peers}, control)
                for item in self.settings["entry"] + self.settings["agent"]:
                    self.assertEqual(set(item.control), control)
                    self.assertIn(item.failure_domain, configuration.failure_domains)
                agents_of = {a.upstream: a.address for a in self.settings["agent"]}
                standins_of = {
                    s.name: f"{s.host}:{s.port}" for s in self.settings["upstream"]
                }
                listed = configuration.upstreams.items()
                self.assertEqual(agents_of, {n: u.agent for n, u in listed})
                self.assertEqual(standins_of, {n: u.address for n, u in listed})

    def test_no_address_is_used_twice(self):
        for name in SIZES:
            with self.subTest(name):
                self.read_example(name)
                addresses = [f"{s.host}:{s.port}" for s in self.settings["upstream"]]
                for program in ("control", "entry", "agent"):
                    for item in self.settings[program]:
                        addresses += [item.address, item.probe]
                self.assertEqual(len(addresses), len(set(addresses)))


class CommandLineTest(unittest.TestCase):
    def test_every_program_shows_help_and_version(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        for name in project["scripts"]:
            with self.subTest(name):
                shown = run_program(name, "--help")
                self.assertEqual(shown.returncode, 0)
                self.assertIn("Usage:", shown.stdout)
                printed = run_program(name, "--version")
                self.assertEqual(printed.stdout.strip(), project["version"])

    def check_refused(self, program, document, expected):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(document)
            done = run_program(program, "--settings", path)
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertNotIn("Traceback", done.stderr)
        for part in expected:
            self.assertIn(part, done.stderr)

    def test_settings_error_gives_field_value_and_expectation(self):
        for program in KINDS:
            with self.subTest(program):
                folder = ROOT / "examples" / "bureau" / program
                document = json.loads(next(folder.iterdir()).read_text())
                field = "port" if program == "upstream" else "address"
                document[field] = "here"
                document["colour"] = "walnut"
                expected = (field, '"here"', "should", "colour", '"walnut"')
                self.check_refused(f"seam-{program}", json.dumps(document), expected)

    def test_settings_that_are_not_json_are_refused(self):
        self.check_refused("seam-entry", '{"node": ', ("settings.json", "not JSON"))


if __name__ == "__main__":
    unittest.main()
