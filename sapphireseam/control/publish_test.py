"""Test that no document stops the state machine."""

import json
import sys
import time
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.control import machine, publish
from sapphireseam.core import command, error, jsontext, outcome

ODD = {
    "deep": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "deep without an end": b"[" * 200_000,
    "long number": b'{"bounds":{"body_bytes":' + b"9" * 5000 + b"}}",
    "large number": b'{"bounds":{"body_bytes":1e400}}',
    "not UTF-8": b'{"\xff":1}',
    "half of a pair": b'{"routes":{"\\ud800":{"path":"/\\udfff"}}}',
}
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(st.characters(codec=None), max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
SECTIONS = (
    "failure_domains",
    "contracts",
    "customers",
    "models",
    "versions",
    "routes",
    "upstreams",
    "services",
    "bounds",
    "policy",
)
FIELDS = st.dictionaries(
    st.sampled_from(
        ("path", "shares", "connections", "timeout", "address", "parent", "keys")
    ),
    VALUES,
    max_size=3,
)
DOCUMENTS = st.dictionaries(
    st.sampled_from(SECTIONS),
    VALUES | st.dictionaries(st.sampled_from("ab"), FIELDS | VALUES, max_size=2),
    max_size=3,
)


def call_deep(frames: int, function, *arguments):
    """Call a function from a stack that is deeper by a number of frames."""
    if not frames:
        return function(*arguments)
    return call_deep(frames - 1, function, *arguments)


class OddDocumentTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()
        self.index = 0

    def apply(self, item):
        self.index += 1
        return self.machine.apply(self.index, command.REGISTRY.encode(item))

    def test_a_committed_document_that_cannot_be_read_is_refused_by_each_member(self):
        for name, document in ODD.items():
            for item in (
                command.Publish(f"p-{name}", 0, document, 0.0),
                command.PublishNumbered(self.index + 1, document, document, 0.0),
            ):
                answer = self.apply(item)
                self.assertIsInstance(answer, outcome.Refused, name)
                self.assertEqual(answer.kind, error.Kind.BAD_CONFIGURATION, name)
        self.machine.restore(self.machine.encode())

    def test_each_depth_of_the_stack_gives_the_same_answer(self):
        depths = (jsontext.MAX_DEPTH - 1, jsontext.MAX_DEPTH, 400)
        for depth in depths:
            document = b'{"a":' * depth + b"1" + b"}" * depth
            answers = {
                str(call_deep(frames, publish.check, self.machine.state, document))
                for frames in (0, sys.getrecursionlimit() // 2)
            }
            self.assertEqual(len(answers), 1, depth)

    def test_configuration_whose_objects_have_no_names_is_refused(self):
        for document in (
            b"[]",
            b'[{"a":{"region":"r"}}]',
            b'{"routes":{"r":["/b"]}}',
            b'{"services":{"s":{}},"routes":{"r":{"path":"/b","shares":[["s"]]}}}',
            b'{"policy":["fair"]}',
        ):
            findings = publish.check(self.machine.state, document)
            self.assertEqual([item.message for item in findings], ["must be an object"])

    def test_long_chain_of_versions_holds_up_no_member(self):
        count = 5000
        versions = {
            f"v{n}": {"model": "m", "weights": "w", "parent": f"v{n + 1}"}
            for n in range(count)
        }
        for last, findings in (({"parent": ""}, 0), ({"parent": "v1"}, count - 1)):
            versions[f"v{count - 1}"] = {"model": "m", "weights": "w"} | last
            document = {"models": {"m": {"version": "v0"}}, "versions": versions}
            data = json.dumps(document).encode()
            start = time.process_time()
            found = publish.check(self.machine.state, data)
            self.assertLess(time.process_time() - start, 1.0)
            self.assertEqual(len(found), findings)

    def test_refusal_of_many_findings_is_short(self):
        document = {"models": {"m" * 900 + str(n): {} for n in range(10_000)}}
        item = command.Publish("p", 0, json.dumps(document).encode(), 0.0)
        answer = self.apply(item)
        self.assertTrue(answer.message.endswith("more findings"))
        self.assertLess(len(self.machine.encode()), 100_000)

    def test_values_of_another_type_stop_no_member(self):
        document = {
            "services": {"s": {}},
            "customers": {"c": {"contract": ""}},
            "routes": {"r": {"path": "/b", "service": "s", "idempotent": "false"}},
            "policy": {"parallel_loads": "2"},
        }
        for item in (
            command.Publish("p", 0, json.dumps(document).encode(), 0.0),
            command.CreateFile("f", "f", "c", "n", "batch", "b", 1, 1, "/b", "m", 0.0),
            command.SubmitJob("j", "j", "c", "k", "f", "/b", 9.0, 0.0),
            command.IssueOrder("o", "u", "load", "", 0.0),
            command.BeginOrder(4, "a", 1.0),
        ):
            self.apply(item)
        self.machine.restore(self.machine.encode())
        self.assertIs(self.machine.state.jobs["j"].idempotent, False)
        self.assertTrue(self.machine.state.orders[4])

    @settings(deadline=None, derandomize=True, database=None)
    @given(DOCUMENTS)
    def test_any_document_gets_an_answer_that_can_be_sent(self, document):
        for ascii_only in (True, False):
            text = json.dumps(document, ensure_ascii=ascii_only)
            data = text.encode(errors="surrogatepass")
            item = command.Publish(f"p-{self.index}", 0, data, 0.0)
            answer = self.apply(item)
            outcome.REGISTRY.encode(answer)
            self.machine.encode()


if __name__ == "__main__":
    unittest.main()
