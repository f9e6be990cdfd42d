"""Test the translation of the platform's configurations."""

import json
import time
import unittest

from sapphireseam.core import error, fleet, key
from sapphireseam.platform import document


def make_configuration(**changes):
    configuration = {
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
    return configuration | changes


def translate(configuration):
    translated = document.translate(json.dumps(configuration).encode())
    return translated.number, fleet.require(json.loads(translated.document))


class TranslateTest(unittest.TestCase):
    def test_a_contract_switches_on_the_rest_of_outliers(self):
        source = json.dumps(make_configuration()).encode()
        for contracts, expected in (((), False), (("base", "health"), True)):
            translated = json.loads(document.translate(source, contracts).document)
            switches = {s["ejects_outliers"] for s in translated["services"].values()}
            self.assertEqual(switches, {expected})

    def test_routes_are_translated(self):
        number, translated = translate(make_configuration())
        self.assertEqual(number, 7)
        text = translated.routes["r-text"]
        self.assertTrue(text.streamed and text.idempotent)
        self.assertEqual((text.timeout, text.target, text.attempts), (5.0, 0.3, 2))
        self.assertEqual([s.weight for s in text.shares], [90, 10])
        batch_route = translated.routes["r-lots"]
        self.assertFalse(batch_route.idempotent)
        self.assertEqual(batch_route.batch, fleet.Batch(18.0, 60.0, 3, 820000))

    def test_the_route_type_decides_whether_requests_may_be_repeated(self):
        route_types = {"safe": True, "unsafe": False, "streaming": False}
        for route_type, may_repeat in route_types.items():
            configuration = make_configuration()
            configuration["routes"][0] |= {"route_type": route_type, "resumable": False}
            _, translated = translate(configuration)
            self.assertIs(
                translated.routes["r-text"].idempotent, may_repeat, route_type
            )

    def test_tenants_are_translated_to_customers_with_key_digests(self):
        _, translated = translate(make_configuration())
        self.assertEqual(translated.customers["t1"].keys, (key.digest("k1"),))
        self.assertEqual(translated.contracts["t1"], fleet.Contract(22.0, 22.0))
        self.assertEqual(translated.customers["t2"].contract, "")
        self.assertEqual(translated.customers["t2"].rank, 1)
        self.assertIsNone(translated.customers["t1"].rank)

    def test_the_translated_document_has_no_keys(self):
        translated = document.translate(json.dumps(make_configuration()).encode())
        self.assertNotIn(b"k2", translated.document)

    def test_engines_are_probed_without_a_slot(self):
        _, translated = translate(make_configuration())
        self.assertEqual(translated.services["llm"].probe_path, "/report")
        self.assertEqual(translated.services["store"].probe_path, "/healthz")

    def test_unknown_fields_are_ignored(self):
        configuration = make_configuration(novelty={"a": 1})
        configuration["routes"][0]["novelty"] = 3
        translate(configuration)


class InvalidTest(unittest.TestCase):
    def assert_invalid(self, configuration):
        with self.assertRaises(error.ConfigurationError):
            translate(configuration)

    def test_truncated_documents(self):
        text = json.dumps(make_configuration()).encode()
        for size in (0, 1, len(text) // 2, len(text) - 1):
            with self.assertRaises(error.ConfigurationError):
                document.translate(text[:size])

    def test_many_names_hold_up_no_process(self):
        route = make_configuration()["routes"][0]
        routes = [route | {"name": f"r{n // 2}"} for n in range(20_000)]
        source = json.dumps(make_configuration(routes=routes)).encode()
        start = time.process_time()
        with self.assertRaises(error.ConfigurationError) as caught:
            document.translate(source)
        self.assertLess(time.process_time() - start, 1.0)
        self.assertEqual(len(caught.exception.message.splitlines()), 10_000)

    def test_documents_that_exceed_a_limit(self):
        text = json.dumps(make_configuration()).encode()
        for odd in (
            b"[" * 200_000 + b"]" * 200_000,
            b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
            b"9" * 5000,
            b'"\xff"',
        ):
            source = text[:-1] + b',"unknown":' + odd + b"}"
            with self.assertRaises(error.ConfigurationError, msg=odd[:20]):
                document.translate(source)

    def test_health_path_that_no_upstream_can_be_asked_for(self):
        for path in ("h", "/\x01", "/a b", "/\u00e9", "/\n"):
            services = make_configuration()["services"]
            services[1]["health_path"] = path
            with self.assertRaises(error.ConfigurationError, msg=path):
                translate(make_configuration(services=services))

    def test_numbers_that_no_process_can_use(self):
        sound = make_configuration()
        halves = [
            {"service": "llm", "weight": 1e308},
            {"service": "llm", "weight": 1e308},
        ]
        route, batch = sound["routes"][0], sound["routes"][-1]
        services = sound["services"]
        for odd in (
            {"routes": [route | {"weighted_services": halves}]},
            {"routes": [batch | {"cap": 2**63}]},
            {"services": [each | {"max_connections": 10**30} for each in services]},
            {"limits": {"max_header_bytes": 2**64}},
            {"limits": {"max_body_bytes": 2**64}},
        ):
            with self.assertRaises(error.ConfigurationError, msg=odd):
                translate(make_configuration(routes=[route]) | odd)

    def test_versions_that_no_message_can_hold(self):
        for version in (-1, 2**63, 2**64, 10**30):
            with self.assertRaises(error.ConfigurationError, msg=version):
                translate(make_configuration(version=version))

    def test_without_a_version(self):
        configuration = make_configuration()
        del configuration["version"]
        self.assert_invalid(configuration)

    def test_unknown_service(self):
        configuration = make_configuration()
        configuration["routes"][1]["service"] = "nowhere"
        self.assert_invalid(configuration)

    def test_same_host_and_prefix(self):
        configuration = make_configuration()
        configuration["routes"][1]["path_prefix"] = "/text/"
        self.assert_invalid(configuration)

    def test_same_prefix_on_another_host_is_valid(self):
        configuration = make_configuration()
        configuration["routes"][1] |= {"path_prefix": "/text/", "host": "b.example"}
        translate(configuration)

    def test_weights_that_sum_to_zero(self):
        configuration = make_configuration()
        configuration["routes"][0]["weighted_services"] = [
            {"service": "llm", "weight": 0}
        ]
        self.assert_invalid(configuration)

    def test_no_timeout(self):
        configuration = make_configuration()
        configuration["routes"][0]["timeout_ms"] = 0
        self.assert_invalid(configuration)

    def test_shared_key(self):
        configuration = make_configuration()
        configuration["tenants"][1]["api_keys"].append("k1")
        self.assert_invalid(configuration)


if __name__ == "__main__":
    unittest.main()
