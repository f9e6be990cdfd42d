"""Run every test and judge them against the list of known failures.

A test that KNOWN-RED.txt names may fail; it is printed and passed over. Any
other failure fails the run. A listed test that passes is printed too, so that
its entry goes.
"""

import logging
import sys
import unittest
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")


def read_known_red(path: Path = KNOWN_RED) -> list[str]:
    """Return the ids of the tests that the file lists, one entry a line.

    The id is the entry's first word; lines that begin with # are comments.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    return [line.split()[0] for line in lines if line and not line.startswith("#")]


def main() -> None:
    """Run the tests, print the known failures, exit 0 only if all else passed."""
    # The loop's debug mode, which tests run in, reports each slow step.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    loader = unittest.TestLoader()
    suite = loader.discover("sapphireseam", "*_test.py", ".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = set(read_known_red())
    failed = {test.id() for test, _ in result.failures + result.errors}
    fresh = sorted(failed - known)
    healed = sorted(known - failed)
    for test in sorted(known & failed):
        print(f"KNOWN-RED: {test}")
    for test in fresh:
        print(f"FAILED: {test}")
    for test in healed:
        print(f"KNOWN-RED entry passes, remove it: {test}")
    print(f"{result.testsRun - len(failed)} passed, {len(fresh)} failed")
    sys.exit(1 if fresh or result.testsRun == 0 else 0)


if __name__ == "__main__":
    main()
