"""Test how messages and large data are encoded."""

import json
import unittest
import zlib

from sapphireseam.core import codec, command


def make_document(routes):
    """Return a configuration with many routes, as an operator publishes it."""
    route = {"path": "/p/", "service": "llm", "timeout": 5.0, "streamed": True}
    names = {f"route-{n}": {**route, "host": f"h{n}"} for n in range(routes)}
    return json.dumps({"routes": names}).encode()


class CodecTest(unittest.TestCase):
    def test_a_publish_with_a_thousand_routes_takes_a_tenth_in_the_log(self):
        document = make_document(1000)
        item = command.PublishNumbered(2, document, document, 0.0)
        packed = command.REGISTRY.encode(item)
        self.assertLess(len(packed), len(document) * 2 / 10)
        self.assertEqual(command.REGISTRY.decode(packed), item)

    def test_small_commands_are_not_compressed(self):
        item = command.RemoveFile("c", "f-1")
        self.assertIn(b"f-1", command.REGISTRY.encode(item))

    def test_command_that_no_member_could_decode_is_not_encoded(self):
        item = command.KeepParts(
            (command.LotPart("l", 0, -1, 1, bytes(codec.MAX_DECOMPRESSED_BYTES)),)
        )
        with self.assertRaises(ValueError):
            command.REGISTRY.encode(item)

    def test_damaged_data_is_refused(self):
        packed = codec.compress(make_document(1000))
        for damaged in (packed[:-9], packed[:20] + b"?" * 20 + packed[40:]):
            with self.assertRaises(ValueError):
                codec.decompress(damaged)

    def test_data_that_grows_without_bound_is_refused(self):
        bomb = zlib.compress(bytes(codec.MAX_DECOMPRESSED_BYTES + 1))
        with self.assertRaises(ValueError):
            codec.decompress(bomb)


if __name__ == "__main__":
    unittest.main()
