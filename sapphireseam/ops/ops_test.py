import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error, event, fleet, lint, message
from sapphireseam.ops import (
    configuration,
    effect,
    inspection,
    job,
    key,
    operator,
    setting,
    status,
    table,
    timeline,
)
from sapphireseam.scripts import ctl_fleet
from sapphireseam.utils.timer import FakeTimer

CHECKED = settings(derandomize=True, deadline=None, database=None)

names = st.sampled_from(["a", "b", "c"])
events = st.builds(
    event.Event,
    st.floats(0, 1e9),
    names,
    names,
    st.sampled_from(["", "req-1", "batch-1"]),
    st.sampled_from(["", "grower"]),
    st.sampled_from(["", "k1"]),
    st.integers(0, 3),
)
documents = st.recursive(
    st.integers(0, 3), lambda inner: st.dictionaries(names, inner, max_size=3)
)


def flatten(value, path=""):
    """Return the document's leaf values by path."""
    if not isinstance(value, dict):
        return {path: value}
    leaves = {}
    for name, item in value.items():
        leaves |= flatten(item, f"{path}.{name}" if path else name)
    return leaves


class TimelineTest(unittest.TestCase):
    @CHECKED
    @given(st.lists(st.lists(events, max_size=8).map(tuple), max_size=4))
    def test_merged_events_are_all_once_in_order(self, parts):
        merged = timeline.merge(parts, timeline.Filter())
        self.assertEqual(merged, sorted(merged))
        self.assertEqual(len(merged), len(set(merged)))
        self.assertEqual(set(merged), {item for part in parts for item in part})

    @CHECKED
    @given(st.lists(events).map(tuple))
    def test_filter_keeps_exactly_what_fits(self, items):
        wanted = timeline.Filter("req-1", "grower")
        kept = timeline.merge([items], wanted)
        expected = {i for i in items if (i.subject, i.customer) == ("req-1", "grower")}
        self.assertEqual(set(kept), expected)

    def test_duration_without_unit_is_refused(self):
        with self.assertRaises(error.SettingsError):
            timeline.parse_duration("10")


class ChangeTest(unittest.TestCase):
    @CHECKED
    @given(documents, documents)
    def test_no_change_exactly_for_equal_documents(self, old, new):
        self.assertEqual(configuration.list_changes(old, new) == [], old == new)

    @CHECKED
    @given(documents, documents)
    def test_every_leaf_that_differs_lies_below_a_change(self, old, new):
        places = [item.path for item in configuration.list_changes(old, new)]
        before, after = flatten(old), flatten(new)
        for place in before.keys() | after.keys():
            if before.get(place) != after.get(place):
                covered = any(
                    place == p or place.startswith(f"{p}.") or not p for p in places
                )
                self.assertTrue(covered, (place, places))

    def test_explicit_default_is_no_change(self):
        short = {"contracts": {"c": {"rate": 1, "burst": 1}}}
        full = fleet.render(fleet.require(short))
        self.assertEqual(configuration.compare(short, full), [])


class EffectTest(unittest.TestCase):
    def test_every_field_of_every_section_has_an_effect(self):
        for section, default in fleet.Fleet._field_defaults.items():
            with self.subTest(section):
                if section in effect.SINGLE_SECTIONS:
                    fields = {*default._fields}
                else:
                    (_, kind) = fleet.Fleet.__annotations__[section].__args__
                    fields = {*kind._fields, effect.ADDED, effect.REMOVED}
                self.assertEqual(effect.EFFECTS[section].keys(), fields)

    def test_changes_are_grouped_by_object_also_if_names_have_dots(self):
        route = {"path": "/a", "service": "s"}
        old = {"services": {"s": {}}, "routes": {"a.b": route, "a": route}}
        new = {
            "services": {"s": {}},
            "routes": {"a.b": route | {"timeout": 9, "rank": 2}},
        }
        new["bounds"] = {"head": 3}
        found = {
            each.source: [field.field for field in each.fields]
            for each in effect.list_objects(old, new)
        }
        expected = {"routes.a": [effect.REMOVED], "routes.a.b": ["rank", "timeout"]}
        self.assertEqual(found, expected | {"bounds": ["head"]})


class FakeControl:
    """A control client with a configuration in force, or an error for every call."""

    def __init__(self, findings=(), failure=None):
        self.findings = findings
        self.failure = failure

    async def call(self, item):
        if self.failure is not None:
            raise self.failure
        if isinstance(item, message.CheckFleet):
            return message.Findings(self.findings)
        return message.FleetView(4, b"{}")


class InspectionTest(unittest.IsolatedAsyncioTestCase):
    async def inspect(self, document, **control):
        client = FakeControl(**control)
        return await inspection.inspect(
            operator.Operator(client, (), FakeTimer()), document
        )

    async def test_findings_of_the_control_vms_come_beside_those_of_the_file(self):
        document = {"contracts": {"k": {"rate": 1, "burst": 2}}}
        found = await self.inspect(document, findings=(("keys.a", "is live", "c"),))
        rules = [(item.severity, item.rule) for item in found.findings]
        expected = [("error", lint.INVALID), ("warning", "unused-contract")]
        self.assertEqual(rules, expected)
        self.assertEqual(found.revision, 4)
        self.assertEqual([each.source for each in found.changes], ["contracts.k"])

    async def test_key_in_an_error_of_the_control_vms_is_not_shown(self):
        for remote in (
            ("customers.c.keys.0", "String should match pattern", "sk-1"),
            ("customers", "Input should be a valid dictionary", "['sk-1']"),
        ):
            found = await self.inspect({}, findings=(remote,))
            self.assertEqual([item.entry for item in found.findings], [lint.HIDDEN])

    async def test_error_that_both_find_is_listed_once(self):
        (local,) = lint.check({"customers": {"c": {"contract": "k"}}})
        remote = (local.source, local.message, local.entry)
        found = await self.inspect(
            {"customers": {"c": {"contract": "k"}}}, findings=(remote,)
        )
        self.assertEqual(found.findings, [local])

    async def test_document_without_structure_is_not_said_to_be_unchanged(self):
        found = await self.inspect({"routes": 1})
        self.assertEqual((found.revision, found.changes), (4, None))

    async def test_file_is_inspected_alone_only_if_no_control_vm_answers(self):
        found = await self.inspect({}, failure=error.ControlError("cut off"))
        self.assertEqual(found, inspection.Inspection([], cause="cut off"))
        with self.assertRaises(error.AccessError):
            await self.inspect({}, failure=error.AccessError("wrong key"))


class BaseRevisionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "fleet.json"

    def test_base_is_the_fetched_revision_not_the_one_in_force(self):
        configuration.write_file(self.file, message.FleetView(4, b"{}"))
        self.assertEqual(configuration.read_base(self.file, 9), 4)

    def test_file_without_base_is_refused_once_a_revision_exists(self):
        self.assertEqual(configuration.read_base(self.file, 0), 0)
        with self.assertRaisesRegex(error.SettingsError, "--base"):
            configuration.read_base(self.file, 1)


def make_job(**fields):
    base = message.JobView(
        "j", "c", "f", "/v1", "in_progress", 100, 0, 0, 1000.0, 2000.0, 0.0, {}
    )
    return base._replace(**fields)


class UnreachableClient:
    """A control client whose proposals all fail without an answer."""

    async def propose(self, item, deadline=0.0):
        raise error.ControlError("no control VM accepted the call")


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.operator = operator.Operator(UnreachableClient(), (), FakeTimer())

    async def test_lost_publish_error_gives_the_options_to_repeat_it(self):
        with self.assertRaises(error.ControlError) as caught:
            await configuration.publish(self.operator, {}, 4, "", "publish-7")
        self.assertIn("--base 4 --request-id publish-7", caught.exception.message)

    async def test_key_of_unknown_outcome_is_named_without_its_text(self):
        with self.assertRaises(error.ControlError) as caught:
            await key.issue(self.operator, "grower")
        self.assertRegex(caught.exception.message, "key [0-9a-f]{12} ")
        self.assertNotRegex(caught.exception.message, "seam-[0-9a-f]{12}-")


class ForecastTest(unittest.TestCase):
    def test_expected_end_follows_from_the_pace(self):
        found = job.forecast(make_job(done=10), 1100.0)
        self.assertEqual(found, job.Forecast(2000.0, False))
        self.assertTrue(job.forecast(make_job(done=9), 1100.0).at_risk)

    def test_idle_job_is_at_risk_after_a_tenth_of_its_time(self):
        self.assertFalse(job.forecast(make_job(), 1050.0).at_risk)
        self.assertTrue(job.forecast(make_job(), 1100.0).at_risk)

    def test_ended_job_is_never_at_risk(self):
        ended = make_job(status="cancelled", ended=1500.0)
        self.assertFalse(job.forecast(ended, 9000.0).at_risk)


def make_status(node, leader, watchers=(), revision=3):
    members = tuple(
        message.MemberView(name, f"{name}:1", True, name == leader) for name in "abc"
    )
    return message.Status(node, leader, 2, 9, revision, members, watchers, ())


def make_watcher(silent, revision=3):
    return message.WatcherView("entry-1", "seam-entry", revision, silent)


class StatusTest(unittest.TestCase):
    def list_states(self, **answers):
        replies = {f"{name}:1": reply for name, reply in answers.items()}
        views = [item for item in replies.values() if isinstance(item, message.Status)]
        newest = status.find_newest(views)
        return [m.state for m in status.list_members(newest, replies)]

    def test_unreachable_member_and_one_without_leader_differ(self):
        down = error.ControlError("down")
        states = self.list_states(
            a=make_status("a", "a"), b=make_status("b", ""), c=down
        )
        self.assertEqual(states, ["leader", "no leader", "unreachable"])

    def test_process_state_is_that_of_the_most_recent_contact(self):
        views = [
            make_status("a", "a", (make_watcher(40.0, 1),)),
            make_status("b", "a", (make_watcher(0.2),)),
        ]
        rows = status.list_processes(views, 3)
        self.assertEqual([row.state for row in rows], ["in force"])

    def test_cold_upstreams_are_those_that_the_leader_knows(self):
        cold = message.ColdView("u1", "u1/7", 4.0, 2.5, True)
        leader = make_status("b", "b")._replace(cold=(cold,))
        follower, unknown = make_status("a", "b")._replace(applied=11), []
        views = [follower, leader]
        found = status.list_cold(status.find_newest(views), views, unknown)
        self.assertEqual((found, unknown), ([cold], []))
        self.assertEqual(status.list_cold(follower, [follower], unknown), [])
        self.assertEqual(unknown, ["cold upstreams: no leader answered"])

    def test_cold_upstreams_are_shown_with_rate_time_and_whether_they_said_it(self):
        cold = [
            message.ColdView("u1", "u1/7", 4.0, 2.54, True),
            message.ColdView("u2", "u2/8", 0.5, 3.0, False),
        ]
        found = status.Status("a", 3, [], [], 0, 0, [], [], [], [], cold=cold)
        with contextlib.redirect_stdout(io.StringIO()) as output:
            ctl_fleet._write_status(found)
        for row in ("u1 +4 +2.5 s +presumed", "u2 +0.5 +3.0 s +said"):
            self.assertRegex(output.getvalue(), row)
        plain = table.to_plain(found)["cold"][1]
        self.assertEqual((plain["seconds"], plain["is_presumed"]), (3.0, False))

    def test_old_revision_is_lagging_and_long_silence_is_cut_off(self):
        for seen, state in (
            (make_watcher(0.1, 2), "lagging"),
            (make_watcher(9.0), "cut off"),
        ):
            rows = status.list_processes([make_status("a", "a", (seen,))], 3)
            self.assertEqual([row.state for row in rows], [state])


class SettingsTest(unittest.TestCase):
    def test_option_overrides_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "operator.json"
            document = {"control": ["10.0.0.1:7"], "operator_key_file": "/k"}
            path.write_text(json.dumps(document))
            found = setting.resolve(setting.Choice(path, ("10.0.0.2:8",)))
        self.assertEqual(found.control, ("10.0.0.2:8",))
        self.assertEqual(found.operator_key_file, pathlib.Path("/k"))

    def test_every_missing_setting_is_named(self):
        with self.assertRaises(error.SettingsError) as caught:
            setting.resolve(setting.Choice())
        for option in ("--control", "--operator-key-file"):
            self.assertIn(option, caught.exception.message)


if __name__ == "__main__":
    unittest.main()
