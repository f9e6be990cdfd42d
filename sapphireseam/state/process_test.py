"""Kill a real process over and over; its folder must keep what it promised.

Run as a program, this file is that process: one member on a real folder, which
prints what it found, then each command once it is acknowledged.
"""

import asyncio
import random
import subprocess
import sys
import tempfile
import threading
import unittest

import msgspec

from sapphireseam.state import disk, message, replica
from sapphireseam.utils import loop, timer

ROUNDS = 3
ACKNOWLEDGED_A_ROUND = 300
CLIENTS = 20
# Only to end a test that hangs, in seconds.
CEILING = 120


class Lines:
    """Keep the list of commands."""

    def __init__(self):
        self.lines = []

    def apply(self, index, command):
        self.lines.append(command.decode())

    def encode(self):
        return msgspec.msgpack.encode(self.lines)

    def restore(self, data):
        self.lines = msgspec.msgpack.decode(data)


async def run_member(folder):
    machine = Lines()
    options = replica.Options((message.Member("a"),), snapshot_entries=50)
    held = replica.Replica(
        "a",
        {},
        disk.FileDisk(folder),
        timer.SystemTimer(),
        machine,
        None,
        options,
        random.Random(),
    )
    await held.start()
    while not held.is_leader:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await held.confirm_leadership()
    print("found", *machine.lines, flush=True)
    numbers = iter(range(len(machine.lines), 1 << 30))

    async def run_client():
        for number in numbers:
            await held.propose(b"%d" % number)
            print(number, flush=True)

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))


class KillTest(unittest.TestCase):
    def start(self, folder):
        child = subprocess.Popen(
            [sys.executable, "-m", __spec__.name, folder],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        alarm = threading.Timer(CEILING, child.kill)
        alarm.start()
        self.addCleanup(alarm.cancel)
        self.addCleanup(child.communicate)
        self.addCleanup(child.kill)
        return child

    def test_killed_process_keeps_all_that_it_acknowledged(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        acknowledged = set()
        for _ in range(ROUNDS):
            child = self.start(folder)
            found = child.stdout.readline().split()
            self.assertEqual(found[:1], ["found"])
            self.assertLessEqual(acknowledged, set(found[1:]))
            self.assertEqual(len(found), len(set(found)))
            for _ in range(ACKNOWLEDGED_A_ROUND):
                acknowledged.add(child.stdout.readline().strip())
            child.kill()
            # What was printed before the end was acknowledged, too.
            lines = child.stdout.read().split("\n")[:-1]
            acknowledged.update(lines)
            child.wait()

    def test_second_process_on_a_folder_ends_with_a_clear_error(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        first = self.start(folder)
        self.assertEqual(first.stdout.readline(), "found\n")
        second = self.start(folder)
        self.assertNotEqual(second.wait(), 0)
        self.assertRegex(second.stderr.read(), f"StorageError.*{folder}")


if __name__ == "__main__":
    loop.run(run_member(sys.argv[1]))
