"""Test how the platform's configurations become the product's."""

import json
import unittest

from sapphireseam.core import error, fleet, key
from sapphireseam.platform import document


def make(**changes):
    given = {
        "version": 7,
        "routes": [
            {
                "name": "r-text",
                "host": "a.example",
                "path_prefix": "/text/",
                "route_type": "streaming",
                "timeout_ms": 5000,
                "target_latency_ms": 300,
                "gap_target_ms": 300,
                "priority": 0,
                "weighted_services": [
                    {"service": "llm", "weight": 90},
                    {"service": "store", "weight": 10},
                ],
                "max_attempts": 2,
                "resumable": True,
                "sticky": True,
            },
            {
                "name": "r-lots",
                "host": "a.example",
                "path_prefix": "/lots-in/",
                "route_type": "batch",
                "timeout_ms": 15000,
                "target_latency_ms": 400,
                "completion_target_ms": 18000,
                "retention_s": 60,
                "max_attempts": 3,
                "cap": 820000,
                "priority": 2,
                "service": "llm",
            },
        ],
        "services": [
            {"name": "llm", "health_path": "/h", "engine": {"slots": 8}},
            {"name": "store", "health_path": "/healthz", "max_connections": 120},
        ],
        "limits": {"idle_timeout_ms": 15000, "max_body_bytes": 4194304},
        "tenants": [
            {"name": "t1", "api_keys": ["k1"], "rate_per_s": 22, "burst": 22},
            {"name": "t2", "api_keys": ["k2", "k3"], "priority": 1},
        ],
    }
    return given | changes


def translate(given):
    translated = document.translate(json.dumps(given).encode())
    return translated.number, fleet.require(json.loads(translated.document))


class TranslateTest(unittest.TestCase):
    def test_routes_keep_what_they_promise(self):
        number, made = translate(make())
        self.assertEqual(number, 7)
        text = made.routes["r-text"]
        self.assertTrue(text.streamed and text.idempotent)
        self.assertEqual((text.timeout, text.target, text.attempts), (5.0, 0.3, 2))
        self.assertEqual([s.weight for s in text.shares], [90, 10])
        lots = made.routes["r-lots"]
        self.assertFalse(lots.idempotent)
        self.assertEqual(lots.batch, fleet.Batch(18.0, 60.0, 3, 820000))

    def test_what_may_be_repeated_follows_from_the_kind(self):
        kinds = {"safe": True, "unsafe": False, "streaming": False}
        for kind, may_repeat in kinds.items():
            given = make()
            given["routes"][0] |= {"route_type": kind, "resumable": False}
            _, made = translate(given)
            self.assertIs(made.routes["r-text"].idempotent, may_repeat, kind)

    def test_tenants_become_customers_with_digests(self):
        _, made = translate(make())
        self.assertEqual(made.customers["t1"].keys, (key.digest("k1"),))
        self.assertEqual(made.contracts["t1"], fleet.Contract(22.0, 22.0))
        self.assertEqual(made.customers["t2"].contract, "")
        self.assertEqual(made.customers["t2"].rank, 1)
        self.assertIsNone(made.customers["t1"].rank)

    def test_no_key_stands_in_the_products_document(self):
        translated = document.translate(json.dumps(make()).encode())
        self.assertNotIn(b"k2", translated.document)

    def test_engines_are_probed_without_a_slot(self):
        _, made = translate(make())
        self.assertEqual(made.services["llm"].probe_path, "/report")
        self.assertEqual(made.services["store"].probe_path, "/healthz")

    def test_fields_that_nobody_knows_are_ignored(self):
        given = make(novelty={"a": 1})
        given["routes"][0]["novelty"] = 3
        translate(given)


class InvalidTest(unittest.TestCase):
    def check(self, given):
        with self.assertRaises(error.ConfigurationError):
            translate(given)

    def test_cut_short(self):
        text = json.dumps(make()).encode()
        for size in (0, 1, len(text) // 2, len(text) - 1):
            with self.assertRaises(error.ConfigurationError):
                document.translate(text[:size])

    def test_without_a_version(self):
        given = make()
        del given["version"]
        self.check(given)

    def test_unknown_service(self):
        given = make()
        given["routes"][1]["service"] = "nowhere"
        self.check(given)

    def test_same_host_and_prefix(self):
        given = make()
        given["routes"][1]["path_prefix"] = "/text/"
        self.check(given)

    def test_same_prefix_on_another_host_is_valid(self):
        given = make()
        given["routes"][1] |= {"path_prefix": "/text/", "host": "b.example"}
        translate(given)

    def test_weights_of_nothing(self):
        given = make()
        given["routes"][0]["weighted_services"] = [{"service": "llm", "weight": 0}]
        self.check(given)

    def test_no_timeout(self):
        given = make()
        given["routes"][0]["timeout_ms"] = 0
        self.check(given)

    def test_shared_key(self):
        given = make()
        given["tenants"][1]["api_keys"].append("k1")
        self.check(given)


if __name__ == "__main__":
    unittest.main()
