import json
import unittest

from sapphireseam.core import error, key, lint as rules
from sapphireseam.platform import document, lint
from sapphireseam.platform.document_test import make_configuration

STRUCTS = {
    "routes": document.Route,
    "services": document.Service,
    "tenants": document.Tenant,
    "limits": document.Limits,
}


def encode(edit=lambda found: None, **changes):
    """Return a configuration in which `edit` has changed objects in place."""
    found = json.loads(json.dumps(make_configuration(**changes)))
    edit(found)
    return json.dumps(found).encode()


class PlaceTest(unittest.TestCase):
    def test_every_translated_field_comes_from_fields_that_exist(self):
        contracts = (document.PRESSURE_CONTRACT,)
        translated = json.loads(document.translate(encode(), contracts).document)
        for section, fields in lint.FIELDS.items():
            found = translated[section]
            objects = [found] if section == "bounds" else found.values()
            names = {name for item in objects for name in item}
            self.assertEqual(names, {name for name in fields if "." not in name})
            known = STRUCTS[lint.SECTIONS[section]].__struct_fields__
            self.assertLessEqual(
                {n for each in fields.values() for n in each}, {*known}
            )

    def find(self, edit):
        found = lint.check(encode(edit)).findings
        return [(item.rule, item.source) for item in found]

    def test_findings_name_places_of_the_document(self):
        def fail(found):
            found["routes"][0] |= {"timeout_ms": 0, "route_type": "odd"}

        def hide(found):
            found["routes"][0] |= {"name": "a.b", "timeout_ms": 200}
            found["routes"][1]["retention_s"] = 1
            found["services"][0]["cold_start_s"] = 3
            found["routes"][0]["weighted_services"][1]["weight"] = 0

        def break_reference(found):
            found["routes"][0]["weighted_services"][0]["weight"] = -1

        self.assertEqual(self.find(lambda found: None), [])
        broken = [
            (rules.INVALID, f"routes.r-text.{n}") for n in ("timeout_ms", "route_type")
        ]
        self.assertEqual(self.find(fail), broken)
        expected = [
            ("weightless-service", "routes.a.b.weighted_services.1.weight"),
            ("short-timeout", "routes.a.b.timeout_ms"),
            ("short-retention", "routes.r-lots.retention_s"),
            ("cold-without-rate", "services.llm.cold_start_s"),
        ]
        self.assertEqual(self.find(hide), expected)
        self.assertEqual(lint.check(encode(hide)).findings[1].entry, 200)
        place = "routes.r-text.weighted_services.0.weight"
        self.assertEqual(self.find(break_reference), [(rules.INVALID, place)])
        for edit in (fail, break_reference):
            self.assertIsNone(lint.check(encode(edit), encode()).changes)

    def test_document_that_cannot_be_read_is_one_error(self):
        (found,) = lint.check(b"{").findings
        self.assertEqual((found.severity, found.source), ("error", "(whole)"))
        with self.assertRaises(error.SettingsError):
            lint.check(encode(), b"{")

    def test_unknown_service_of_a_share_is_named_at_the_share(self):
        def edit(found):
            found["routes"][0]["weighted_services"][1]["service"] = "gone"

        place = "routes.r-text.weighted_services.1.service"
        self.assertIn((rules.INVALID, place), self.find(edit))


class ChangeTest(unittest.TestCase):
    def test_changes_are_in_the_platforms_form_and_show_no_key(self):
        def edit(found):
            found["version"] = 8
            found["routes"][1] |= {"cap": 5, "route_type": "safe"}
            found["tenants"][0] |= {"rate_per_s": 30, "api_keys": ["k1", "secret-4"]}
            found["tenants"].append({"name": "t3", "rate_per_s": 1, "api_keys": ["k9"]})
            found["limits"]["idle_timeout_ms"] = 9000

        found = lint.check(encode(edit), encode())
        self.assertEqual((found.findings, found.revision), ([], 7))
        fields = {
            each.source: [field.field for field in each.fields]
            for each in found.changes
        }
        expected = {
            "limits": ["idle_timeout_ms"],
            "tenants.t1": ["rate_per_s", "api_keys"],
            "tenants.t3": ["(added)"],
            "routes.r-lots": ["route_type, cap", "route_type"],
        }
        self.assertEqual(fields, expected)
        shown = repr(found)
        self.assertNotIn("secret-4", shown)
        self.assertNotIn("k9", shown.replace(key.digest("k9"), ""))

    def test_version_that_is_not_above_the_one_in_force_is_a_warning(self):
        rules_found = [item.rule for item in lint.check(encode(), encode()).findings]
        self.assertEqual(rules_found, [lint.OLD_VERSION])
