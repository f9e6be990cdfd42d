import json
import pathlib
import time
import unittest

from sapphireseam.core import lint

# Three large configurations took 19 s when each pair of routes was compared.
MAX_CHECK_SECONDS = 3.0
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def locate(number):
    """Return the fields of an upstream that say where it is."""
    address = f"10.0.0.{number}"
    return {"failure_domain": "d", "address": f"{address}:8", "agent": f"{address}:7"}


KEYED = {"contract": ""}
VERSION = {"model": "m", "weights": "w"}
LIMIT = {"contracts": {"k": {"rate": 1, "burst": 5}}}
SPLIT = {"service": "", "shares": [{"service": "s"}, {"service": "t", "weight": 0}]}
COLD = {"cold_seconds": 5}
MODEL = {
    "failure_domains": {"d": {"region": "r"}},
    "models": {"m": {"version": "m-1", "customers": ["c"]}},
    "versions": {"m-1": VERSION},
    "upstreams": {"u": locate(1) | {"version": "m-1"}},
    "routes": {"r": {"path": "/v1"}},
    "customers": {"c": KEYED},
}
PUBLIC = MODEL | {"models": {"m": {"version": "m-1"}}, "customers": {}}
OTHER_UPSTREAM = MODEL["upstreams"] | {"v": locate(2) | {"service": "x"}}


def serve(*routes, **service):
    """Return a configuration with services `s` and `t` and routes `r0`, `r1` ..."""
    named = {
        f"r{number}": {"path": "/a", "service": "s"} | route
        for number, route in enumerate(routes)
    }
    return {"routes": named, "services": {"s": service, "t": {}}}


def link(distances, others):
    """Return a configuration with two failure domains and their distances."""
    domains = {"d": distances, "e": others}
    return {
        "failure_domains": {
            name: {"region": "r", "distances": each} for name, each in domains.items()
        }
    }


# By rule: the place of its only finding, a faulty document and a sound one.
CASES = {
    "hidden-route": (
        "routes.r0.path",
        serve({"path": "/a/"}, {"path": "/a//"}),
        serve({"path": "/"}, {}, {"path": "/a/"}, {"path": "/ab"}, {"host": "h"}),
    ),
    "model-host": (
        "routes.r.host",
        MODEL | {"routes": {"r": {"path": "/v1", "host": "h"}}},
        serve({"host": "h"}),
    ),
    "service-and-shares": (
        "routes.r0.service",
        serve(SPLIT | {"service": "s"}),
        serve(SPLIT),
    ),
    "route-without-model": ("routes.r.service", {"routes": MODEL["routes"]}, MODEL),
    "unused-contract": (
        "contracts.k",
        MODEL | LIMIT,
        MODEL | LIMIT | {"customers": {"c": {"contract": "k"}}},
    ),
    "idle-customer": (
        "customers.e",
        MODEL | {"customers": {"c": KEYED, "e": KEYED}},
        serve({"open": True}) | {"customers": {"c": KEYED}},
    ),
    "idle-model": (
        "models.m",
        PUBLIC,
        PUBLIC | {"routes": {"r": {"path": "/v1", "open": True}}},
    ),
    "model-without-upstream": ("models.m.version", MODEL | {"upstreams": {}}, MODEL),
    "unused-version": (
        "versions.x",
        MODEL | {"versions": {"m-1": VERSION, "x": VERSION}},
        MODEL | {"versions": {"m-1": VERSION | {"parent": "x"}, "x": VERSION}},
    ),
    "idle-upstream": (
        "upstreams.v.service",
        MODEL | {"upstreams": OTHER_UPSTREAM},
        serve({"service": "x"}, SPLIT | {"path": "/b"})
        | {"upstreams": {"v": OTHER_UPSTREAM["v"]}}
        | {"failure_domains": MODEL["failure_domains"]},
    ),
    "unused-service": ("services.t", serve({}), serve(SPLIT)),
    "weightless-service": (
        "routes.r0.shares.1.weight",
        serve(SPLIT),
        serve(SPLIT, {"path": "/t", "service": "t"}),
    ),
    "short-timeout": (
        "routes.r0.timeout",
        serve({"timeout": 1, "target": 2}),
        serve({"timeout": 2, "target": 2}, {"path": "/b", "timeout": 1}),
    ),
    "short-retention": (
        "routes.r0.batch.abandon",
        serve({"batch": {"due": 20, "abandon": 10}}),
        serve({"batch": {"due": 10, "abandon": 10}}),
    ),
    "cold-without-rate": (
        "services.s.cold_seconds",
        serve({}, **COLD),
        serve({}, **COLD, cold_rate=1),
    ),
    "missing-distance": (
        "failure_domains.e.distances",
        link({"e": 2}, {"e": 0}),
        link({"e": 2, "d": 5}, {"d": 2.1}),
    ),
}


def find(rule, document):
    """Return the places of a rule's findings; every document must be valid."""
    findings = lint.check(document)
    assert all(item.severity is lint.Severity.WARNING for item in findings), findings
    return [item.source for item in findings if item.rule == rule]


class ErrorTest(unittest.TestCase):
    def test_no_error_shows_a_key_that_stands_in_place_of_a_digest(self):
        secret = "sk-1"
        customer = {"contract": "", "keys": [secret]}
        for document in (
            {"customers": {"c": customer}},
            {"customers": {"c": {"keys": [secret]}}},
            {"customers": {"c": {"contract": "", "key": secret}}},
            {"customers": {"c": ["", [secret]]}},
            {"customers": [secret]},
            {"customers": secret},
            {"tenants": [{"api_keys": [secret]}]},
            {"operator_key": secret},
            {"routes": {"r": {"path": "/", "api_key": secret}}},
            [{"customers": {"c": customer}}],
            [{}, {"c": [secret, 5]}],
        ):
            findings = lint.check(document)
            self.assertTrue(findings)
            self.assertNotIn(secret, repr(findings), document)

    def test_other_values_are_shown_up_to_a_length(self):
        entries = [
            lint.check({"customers": {"c": {"contract": "gone"}}})[0].entry,
            lint.check({"customers": {"c": KEYED | {"rank": 1001}}})[0].entry,
            lint.check({"routes": {"r": {"path": "x" * 1000}}})[0].entry,
        ]
        self.assertEqual(entries, ["gone", 1001, "x" * lint.MAX_ENTRY_LENGTH])


class RuleTest(unittest.TestCase):
    def test_every_rule_finds_its_fault_and_nothing_else(self):
        self.assertEqual(list(CASES), [rule.name for rule in lint.RULES])
        for rule, (source, faulty, sound) in CASES.items():
            with self.subTest(rule):
                self.assertEqual(find(rule, faulty), [source])
                self.assertEqual(find(rule, sound), [])

    def test_domain_without_entries_needs_no_distances(self):
        self.assertEqual(lint.check(link({"e": 2}, {})), [])

    def test_warnings_on_a_sound_rollout_say_that_they_are_a_step(self):
        new = {"versions": MODEL["versions"] | {"m-2": VERSION}}
        upstreams = MODEL["upstreams"] | {"v": locate(2) | {"version": "m-2"}}
        canary = serve({"service": "", "shares": SPLIT["shares"]})
        steps = {
            "unused-version": MODEL | new,
            "idle-upstream": MODEL | new | {"upstreams": upstreams},
            "weightless-service": canary,
            "unused-service": serve({}),
            "unused-contract": MODEL | LIMIT,
        }
        for rule, document in steps.items():
            (found,) = lint.check(document)
            self.assertEqual(found.rule, rule)
            self.assertTrue(found.message.endswith(lint.STEP_NOTE), found)
        (found,) = lint.check(
            serve({"timeout": 1, "target": 2}) | {"services": {"s": {}}}
        )
        self.assertNotIn(lint.STEP_NOTE, found.message)

    def test_errors_are_listed_without_warnings(self):
        document = serve({"timeout": 1, "target": 2}, {})
        self.assertEqual([item.rule for item in lint.check(document)], [lint.INVALID])

    def test_large_configurations_are_checked_in_time_with_one_finding_a_route(self):
        routes = [{"path": "/" * number} for number in range(1, 701)]
        began = time.monotonic()
        self.assertEqual(len(find("hidden-route", serve(*routes))), 699)
        for many in (
            [{"path": f"/a{number}/"} for number in range(2000)],
            [{"host": f"h{number}"} for number in range(2000)],
        ):
            self.assertEqual(find("hidden-route", serve(*many)), [])
        self.assertLess(time.monotonic() - began, MAX_CHECK_SECONDS)

    def test_examples_have_no_findings(self):
        for path in EXAMPLES.glob("*/configuration.json"):
            self.assertEqual(lint.check(json.loads(path.read_text())), [], path)
