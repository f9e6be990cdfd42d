"""Test that prompts share as many hashes as they share blocks."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.policy import prefix

SIZE = prefix.BLOCK_CHARACTERS
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=9), inner),
)


class PrefixTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.integers(0, 4 * SIZE), st.integers(0, 4 * SIZE), st.booleans())
    def test_shared_blocks_share_hashes(self, shared, rest, chat):
        texts = ["a" * shared + letter * rest for letter in "bc"]
        shapes = [{"prompt": text} for text in texts]
        if chat:
            shapes = [{"messages": [{"role": "", "content": t}]} for t in texts]
        first, second = map(prefix.compute_blocks, shapes)
        same = sum(a == b for a, b in zip(first, second, strict=True))
        head = len("\n: ") if chat else 0
        expected = len(first) if not rest else (head + shared) // SIZE
        self.assertEqual(same, expected)
        self.assertEqual(first[:same], second[:same])

    def test_half_a_surrogate_pair_is_taken(self):
        self.assertEqual(len(prefix.compute_blocks({"prompt": "\ud800" * SIZE})), 1)

    def test_models_share_nothing(self):
        blocks = [
            prefix.compute_blocks({"model": model, "prompt": "x" * SIZE})
            for model in ("m", "n")
        ]
        self.assertNotEqual(*blocks)

    @settings(derandomize=True, deadline=None, database=None)
    @given(JSON, JSON)
    def test_any_shape_is_taken(self, prompt, messages):
        prefix.compute_blocks({"prompt": prompt, "messages": messages})
