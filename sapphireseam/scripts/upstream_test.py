"""Test the command lines of the stand-in and the load tool."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from sapphireseam.scripts import load, upstream

BAD_SETTINGS_EXIT = 2


class CommandLineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"

    def run_app(self, app, document, *options):
        self.path.write_text(document)
        return CliRunner().invoke(app, [*options, str(self.path)])

    def test_all_bad_settings_are_listed_without_a_traceback(self):
        document = {"name": "u", "kind": "x", "port": -1, "speeds": {"slots": 1}}
        result = self.run_app(upstream.app, json.dumps(document), "--settings")
        self.assertEqual(result.exit_code, BAD_SETTINGS_EXIT)
        for field in ("kind", "port", "speeds.slots"):
            self.assertIn(f"{field}: ", result.output)
        self.assertNotIn("Traceback", result.output)

    def test_load_refuses_unknown_references_and_missing_targets(self):
        customer = {"name": "c", "rate": 1, "burst": 1, "offered": 1, "mix": {"k": 1}}
        document = {"name": "p", "seed": 1, "seconds": 1, "kinds": {}}
        wrong = json.dumps({**document, "customers": [customer]})
        url = "http://127.0.0.1:9"
        kinds = {"k": {"protocol": "get", "target": "/k"}}
        right = json.dumps({**document, "kinds": kinds, "customers": [customer]})
        for text, options, expected in (
            (wrong, ("--entry", url, "--profile"), "unknown kind 'k'"),
            (right, ("--profile",), "give --entry, or --direct and --through"),
            (right, ("--direct", url, "--profile"), "give --entry"),
            (right, ("--entry", url, "--system-pid", "x", "--profile"), "name=pid"),
        ):
            with self.subTest(options=options):
                result = self.run_app(load.app, text, *options)
                self.assertEqual(result.exit_code, BAD_SETTINGS_EXIT, result.output)
                self.assertIn(expected, result.output)

    def test_help_and_version(self):
        for app in (load.app, upstream.app):
            for option in ("--help", "--version"):
                result = CliRunner().invoke(app, [option])
                self.assertEqual(result.exit_code, 0)

    def test_example_profiles_are_valid(self):
        for path in sorted(Path("examples/load").glob("*.json")):
            with self.subTest(path=path.name):
                load.read_profile(path)
