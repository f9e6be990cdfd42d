"""Test that the log is bounded and never blocks the program."""

import json
import logging
import os
import threading
import time
import unittest

from sapphireseam.utils import log


class LogTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        before, level = list(root.handlers), root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), before)
        self.reader, writer = os.pipe()
        self.file = os.fdopen(writer, "w")
        self.addCleanup(self.file.close)
        self.handler = log.configure("seam-test", "n1", file=self.file)

    def read_lines(self):
        """Close the log and return all the records that were written."""
        chunks = []

        def read():
            while data := os.read(self.reader, 65536):
                chunks.append(data)

        thread = threading.Thread(target=read)
        thread.start()
        self.handler.close()
        self.file.close()
        thread.join()
        os.close(self.reader)
        return [json.loads(line) for line in b"".join(chunks).splitlines()]

    def test_a_line_has_program_node_and_fields(self):
        logging.getLogger("x").info("placed", extra={"request": "r1", "load": 3})
        (line,) = self.read_lines()
        self.assertEqual(line["program"], "seam-test")
        self.assertEqual((line["message"], line["request"]), ("placed", "r1"))

    def test_records_over_the_limit_are_counted_and_other_kinds_pass(self):
        logger = logging.getLogger("x")
        for _ in range(log.LIMIT_RECORDS + 30):
            logger.info("often")
        logger.info("once")
        lines = self.read_lines()
        kinds = [line["message"] for line in lines]
        self.assertEqual(kinds.count("often"), log.LIMIT_RECORDS)
        self.assertEqual(kinds.count("once"), 1)
        (dropped,) = [line for line in lines if line["message"] == log.DROPPED]
        self.assertEqual(dropped["counts"], {"often": 30})

    def test_a_stalled_reader_does_not_block_logging(self):
        logger = logging.getLogger("x")
        start = time.monotonic()
        for number in range(3 * log.QUEUE_LINES):
            logger.warning("line %d", number, extra={"filler": "x" * 100})
        took = time.monotonic() - start
        self.assertLess(took, 5.0)
        time.sleep(2 * log.FLUSH_SECONDS)
        # The pipe is full now, and the thread is blocked in its write.
        start = time.monotonic()
        logger.warning("after")
        self.assertLess(time.monotonic() - start, 0.1)
        lines = self.read_lines()
        self.assertLess(len(lines), 3 * log.QUEUE_LINES)
        dropped = [line for line in lines if line["message"] == log.DROPPED]
        self.assertTrue(any("(queue full)" in line["counts"] for line in dropped))


if __name__ == "__main__":
    unittest.main()
