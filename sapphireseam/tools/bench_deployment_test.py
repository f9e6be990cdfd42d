"""Tests that both example profiles give a configuration that can be published."""

import json
import tempfile
import unittest
from pathlib import Path

from sapphireseam.core import error, fleet
from sapphireseam.scripts import load
from sapphireseam.tools import bench_deployment, layout


class ConfigurationTest(unittest.TestCase):
    def test_example_profiles_give_valid_configurations(self):
        for name, shape in bench_deployment.SHAPES.items():
            with self.subTest(name=name), tempfile.TemporaryDirectory() as folder:
                profile = load.read_profile(Path(f"examples/load/{name}.json"))
                deployment = layout.lay_out(Path(folder), shape)
                document = bench_deployment.describe_configuration(
                    deployment.configuration, profile, {"queue": "first_come"}
                )
                published = fleet.require(document)
                self.assertEqual(len(published.customers), len(profile.customers))
                non_idempotent = [
                    route.path
                    for route in published.routes.values()
                    if not route.idempotent and route.methods == ("POST",)
                ]
                posts = [
                    kind.target
                    for kind in profile.kinds.values()
                    if kind.protocol == "post"
                ]
                self.assertEqual(non_idempotent, posts)
                models = {
                    kind.target for kind in profile.kinds.values() if kind.is_model
                }
                self.assertEqual(models, set(published.models))
                bench_deployment.add_hooks(deployment, profile)
                hooks = [
                    json.loads(item.settings.read_text())["hooks"]
                    for item in deployment.processes
                    if item.program == "seam-upstream"
                ]
                self.assertTrue(hooks)
                self.assertEqual(
                    {hook["fail_marker"] for hook in hooks}, {profile.fail_marker}
                )

    def test_policy_options(self):
        chosen = bench_deployment.parse_policy(["queue=fair", "router=round_robin"])
        self.assertEqual(chosen, {"queue": "fair", "router": "round_robin"})
        with self.assertRaises(error.SettingsError):
            bench_deployment.parse_policy(["queue"])
