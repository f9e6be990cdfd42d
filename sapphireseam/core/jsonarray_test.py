"""Tests of arrays with elements that are damaged."""

import json
import time
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import jsonarray, jsontext

SOUND = tuple(json.dumps({"id": n, "list": [[1], {"]": '"'}]}) for n in range(3))
PAGE = '{"list":[%s],"next":{"a":[1]}}'


def parse_sound(elements: list[bytes]) -> list[int]:
    """Return the ids of the sound elements among others."""
    return [
        json.loads(each)["id"] for each in elements if each.decode("latin-1") in SOUND
    ]


class JsonArrayTest(unittest.TestCase):
    def split(self, *elements: str | bytes) -> list[bytes]:
        parts = [e.encode() if isinstance(e, str) else e for e in elements]
        page = PAGE.encode().replace(b"%s", b" , ".join(parts))
        document, found = jsonarray.split_member(page, "list")
        self.assertEqual(document, {"list": [], "next": {"a": [1]}})
        return found

    def test_elements_are_returned_as_they_were_written(self):
        for elements in ((), SOUND, ("1", '"]"', "null", "[]", "1e999", "9" * 5000)):
            found = self.split(*elements)
            self.assertEqual([each.decode() for each in found], list(elements))

    @settings(deadline=None, max_examples=300)
    @given(
        st.binary(max_size=80)
        | st.text(alphabet='[]{}",:\\ab1 \n').map(str.encode)
        | st.integers(0, len(SOUND[0]) - 1).map(lambda n: SOUND[0][:n].encode()),
    )
    def test_damaged_element_costs_no_other(self, odd):
        self.assertEqual(parse_sound(self.split(SOUND[1], odd, SOUND[2])), [1, 2])
        self.assertEqual(parse_sound(self.split(odd, SOUND[1], SOUND[2])), [1, 2])
        self.assertEqual(parse_sound(self.split(SOUND[1], SOUND[2], odd)), [1, 2])

    def test_object_inside_an_element_is_no_element(self):
        inner = SOUND[1]
        for outer in ('{"a":1e999,"b":[1,%s,2]}', "[1,%s," + "[" * 9999 + "]" * 10000):
            found = self.split(SOUND[0], outer.replace("%s", inner), SOUND[2])
            self.assertEqual(len(found), 3)

    def test_damage_without_end_takes_bounded_time(self):
        for odd in (',{"a":[' * 200_000, ',{"a":"' * 200_000, "]" * 10**6, "[" * 10**6):
            start = time.process_time()
            try:
                self.split(SOUND[0], odd, SOUND[1])
            except jsontext.JsonError:
                pass
            self.assertLess(time.process_time() - start, 1.0, odd[:9])

    def test_document_without_the_array_is_refused(self):
        for data in (
            b"",
            b"[]",
            b'{"list":{}}',
            b'{"list":[1',
            b'{"list":[1]',
            b"\xff",
        ):
            with self.assertRaises(jsontext.JsonError, msg=data):
                jsonarray.split_member(data, "list")


if __name__ == "__main__":
    unittest.main()
