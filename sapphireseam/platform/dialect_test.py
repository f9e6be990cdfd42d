"""Test which headers are sent to replicas and how received headers are read."""

import unittest

from multidict import CIMultiDict, CIMultiDictProxy

from sapphireseam.core.instance import Instance
from sapphireseam.platform import dialect
from sapphireseam.utils.outbound import Outgoing

INSTANCE = Instance("i-1", "llm", "10.0.0.1:80", "z", 8)


def make_headers(**extra):
    pairs = {
        "Host": "a.example",
        "Authorization": "Token secret",
        "X-Attempt-Id": "abc",
        "X-Tenant": "somebody",
        "X-Model": "m",
        "X-Token-Usage": "1460,80",
        "X-Expect-Instance": "i-9",
        "Connection": "keep-alive, X-Hop",
        "X-Hop": "1",
    }
    return CIMultiDictProxy(CIMultiDict(pairs | extra))


def render(**fields):
    stripped = dialect.strip_request(make_headers())
    request = Outgoing("abc", "t1", "a.example", "POST", "/x", stripped, b"", **fields)
    return dialect.ReplicaDialect().render(request, INSTANCE)


class RequestTest(unittest.TestCase):
    def test_keys_and_reserved_headers_of_clients_are_dropped(self):
        headers = dict(render())
        self.assertNotIn("Authorization", headers)
        self.assertNotIn("X-Hop", headers)
        self.assertEqual(headers["X-Tenant"], "t1")
        self.assertEqual(headers["X-Expect-Instance"], "i-1")
        self.assertEqual(headers["X-Token-Usage"], "1460,80")

    def test_no_header_is_repeated(self):
        names = [name.lower() for name, _ in render(remaining=1.0, resume_after=3)]
        self.assertEqual(len(names), len(set(names)))

    def test_deadline_and_resumption(self):
        headers = dict(render(remaining=1.2345, resume_after=0))
        self.assertEqual(headers["X-Deadline-Ms"], "1234")
        self.assertEqual(headers["Last-Event-Id"], "0")
        self.assertNotIn("Last-Event-Id", dict(render()))

    def test_the_parts_of_a_prompt_are_read_without_the_last(self):
        for text, expected in (
            ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
            (" 5c1e:800 , 91bd", ("5c1e",)),
            (",:7,5c1e:800,e440:250", ("5c1e",)),
            ("e440:250", ()),
            ("", ()),
        ):
            headers = make_headers(**{"X-Prompt-Prefix": text})
            self.assertEqual(dialect.read_parts(headers), expected)
        self.assertEqual(dialect.read_parts(make_headers()), ())

    def test_only_keys_of_the_token_scheme_are_read(self):
        self.assertEqual(dialect.read_key(make_headers()), "secret")
        self.assertEqual(
            dialect.read_key(make_headers(Authorization="Bearer secret")), ""
        )


class AnswerTest(unittest.TestCase):
    def test_which_answers_promise_that_the_request_has_not_run(self):
        replica_dialect = dialect.ReplicaDialect()
        empty = CIMultiDictProxy(CIMultiDict())
        marked = CIMultiDictProxy(CIMultiDict({"X-Not-Executed": "1"}))
        self.assertTrue(replica_dialect.is_not_run(421, empty))
        self.assertTrue(replica_dialect.is_not_run(503, marked))
        self.assertFalse(replica_dialect.is_not_run(503, empty))
        self.assertFalse(replica_dialect.is_not_run(500, empty))

    def test_which_answers_say_that_their_replica_is_cold(self):
        instance = Instance("i1", "llm", "10.0.0.1:80", "z", 8)
        for status, id, value, expected in (
            (200, "i1", "1500", 1.5),
            (503, None, "0", 0.0),
            (200, "i2", "1500", None),
            (421, "i1", "1500", None),
            (200, "i1", None, None),
            (200, "i1", "soon", None),
            (200, "i1", "1e9", None),
            (200, "i1", "-5", None),
        ):
            pairs = {"X-Instance-Id": id, "X-Cold-Ms": value}
            named = {name: text for name, text in pairs.items() if text is not None}
            headers = CIMultiDictProxy(CIMultiDict(named))
            read = dialect.ReplicaDialect().read_cold_seconds(instance, status, headers)
            self.assertEqual(read, expected, (status, id, value))

    def test_which_answers_say_that_their_replica_leaves(self):
        for value, expected in (("1", True), (" 1", True), ("0", False), ("", False)):
            headers = CIMultiDictProxy(CIMultiDict({"Server-Leaving": value}))
            self.assertIs(dialect.ReplicaDialect().is_leaving(headers), expected)


if __name__ == "__main__":
    unittest.main()
