"""Runs every test and compares the failures with the list of known failures.

A test that KNOWN-RED.txt lists may fail; its failure is printed but does not fail
the run. Any other failure does. A listed test that passes is printed, too, so that
its entry can be removed.
"""

import logging
import sys
import unittest
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")


def read_known_red(path: Path = KNOWN_RED) -> list[str]:
    """Return the ids of the tests that the file lists, one entry per line.

    The id is the first word of an entry; lines that start with # are comments.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines()]
    return [line.split()[0] for line in lines if line and not line.startswith("#")]


def main() -> None:
    """Run the tests; exit with 0 if no test but the known failures failed."""
    # Tests run in the event loop's debug mode, which logs each slow step.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    loader = unittest.TestLoader()
    suite = loader.discover("sapphireseam", "*_test.py", ".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = set(read_known_red())
    # The id of a subtest has its parameters behind the test's.
    failed = {test.id().split()[0] for test, _ in result.failures + result.errors}
    new_failures = sorted(failed - known)
    passed_known = sorted(known - failed)
    for test in sorted(known & failed):
        print(f"KNOWN-RED: {test}")
    for test in new_failures:
        print(f"FAILED: {test}")
    for test in passed_known:
        print(f"KNOWN-RED entry passes, remove it: {test}")
    print(f"{result.testsRun - len(failed)} passed, {len(new_failures)} failed")
    sys.exit(1 if new_failures or result.testsRun == 0 else 0)


if __name__ == "__main__":
    main()
