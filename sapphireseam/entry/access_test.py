"""Test that a key never reaches an upstream, however a caller sends it."""

import json
import unittest
from urllib.parse import quote

from hypothesis import given, settings, strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from sapphireseam.core import error, key
from sapphireseam.entry import access, batch
from sapphireseam.tools import fake

FAST = settings(derandomize=True, deadline=None, database=None, max_examples=150)
KEY = "seam-0123456789ab-" + "Ae_-" * 11


def encode_all(text):
    return "".join(f"%{ord(letter):02x}" for letter in text)


def encode_some(text):
    return text.replace("e", "%65").replace("-", "%2D")


FORMS = st.sampled_from(
    [
        KEY,
        encode_all(KEY),
        encode_some(KEY),
        quote(encode_all(KEY)),
        f"Bearer {KEY}",
        f"a={KEY}; b=c",
        f"x{KEY}",
    ]
)
NAMES = st.sampled_from(
    ["Authorization", "X-Api-Key", "X-Anything", "Cookie", "Api-Key", "Referer", "Via"]
)


class AccessTest(unittest.TestCase):
    @FAST
    @given(st.lists(st.tuples(NAMES, FORMS), min_size=1, max_size=3))
    def test_no_header_leads_a_key_upstream(self, pairs):
        headers = CIMultiDict([("X-Kept", "yes"), *pairs])
        kept = access.strip_headers(CIMultiDictProxy(headers))
        self.assertEqual(kept, (("X-Kept", "yes"),))

    @FAST
    @given(st.lists(st.tuples(st.sampled_from("abk"), FORMS), max_size=3))
    def test_no_query_leads_a_key_upstream(self, pairs):
        parts = ["size=2%20a", *[f"{name}={text}" for name, text in pairs], "flag"]
        self.assertEqual(access.strip_query("&".join(parts)), "size=2%20a&flag")

    def test_key_parameters_are_removed_whatever_their_value(self):
        for name in [*key.PARAMETERS, "API_KEY", "%61pi_key"]:
            self.assertEqual(access.strip_query(f"{name}=other&x=1"), "x=1")

    def test_cookies_and_connection_headers_are_removed(self):
        headers = CIMultiDict(
            [("Cookie", "a=b"), ("Connection", "X-Hop"), ("X-Hop", "1"), ("TE", "t")]
        )
        self.assertEqual(access.strip_headers(CIMultiDictProxy(headers)), ())

    def test_headers_that_are_not_utf_8_can_be_sent_to_an_agent(self):
        headers = CIMultiDict([("X", "caf\udce9"), ("Y", "\u00e9")])
        kept = access.strip_headers(CIMultiDictProxy(headers))
        self.assertEqual(kept, (("X", "caf\ufffd"), ("Y", "\u00e9")))

    @FAST
    @given(FORMS)
    def test_key_in_path_or_body_is_refused(self, text):
        body = json.dumps({"prompt": text}).encode()
        spelled = body.replace(b"e", b"\\u0065")
        for path, data in ((f"/x/{text}", b""), ("/x", body), ("/x", spelled)):
            with self.assertRaises(error.RequestError) as caught:
                access.check_path_and_body(path, data)
            self.assertTrue(caught.exception.not_run)
            self.assertNotIn(KEY, caught.exception.message)

    def test_an_escaped_key_is_found_in_a_body_that_cannot_be_read(self):
        escaped = json.dumps({"a": KEY}).encode().replace(b"s", b"\\u0073")
        deep = b"[" * 200_000 + escaped + b"]" * 200_000
        number = b'{"n":' + b"9" * 5000 + b',"k":' + escaped + b"}"
        lines = escaped + b"\n" + escaped
        for body in (
            deep,
            number,
            lines,
            b"\xff" + escaped,
            escaped[:-1],
            b"[NaN]" + escaped,
        ):
            with self.assertRaises(error.RequestError, msg=body[:20]):
                access.check_path_and_body("/x", body)

    @FAST
    @given(FORMS, st.sampled_from(["url", "body", "custom_id"]))
    def test_batch_line_with_a_key_is_refused(self, text, field):
        line = {
            "custom_id": "a",
            "method": "POST",
            "url": "/post/x",
            "body": {"id": "a"},
        }
        line[field] = {"k": [text]} if field == "body" else f"/post/x?q={text}"
        document = {
            "failure_domains": {"d": {"region": "r"}},
            "routes": {"post": {"path": "/post", "service": "s"}},
            "upstreams": {
                "u": {
                    "failure_domain": "d",
                    "address": "127.0.0.1:1",
                    "agent": "127.0.0.1:2",
                    "service": "s",
                }
            },
        }
        current = fake.FakeMirror(document).fleet
        with self.assertRaisesRegex(error.RequestError, "holds a key"):
            batch.check_lines(json.dumps(line).encode(), current, "c")

    def test_message_with_a_key_is_redacted(self):
        self.assertNotIn(KEY, key.redact(f"no file {KEY!r} or {KEY}"))

    def test_text_without_a_key_is_unchanged(self):
        access.check_path_and_body(
            "/labels/seam-1.png", b'{"prompt": "100% seam-free+"}'
        )
        headers = CIMultiDict([("X-Note", "seam-1-x 50% off")])
        self.assertEqual(len(access.strip_headers(CIMultiDictProxy(headers))), 1)
