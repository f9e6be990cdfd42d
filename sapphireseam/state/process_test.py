"""Tests that a killed process loses no command that it acknowledged.

Run as a program, this file is that process: one member on a real folder, which
prints the commands that it loaded, then each new command once it is
acknowledged.
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
ACKNOWLEDGED_PER_ROUND = 300
CLIENTS = 20
# After this time a process that hangs is killed.
TIMEOUT_SECONDS = 120


class ListStateMachine:
    """Collect the applied commands in a list."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())

    def encode(self):
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data):
        self.commands = msgspec.msgpack.decode(data)


async def run_member(folder):
    machine = ListStateMachine()
    options = replica.Options((message.Member("a"),), snapshot_entries=50)
    member = replica.Replica(
        "a",
        {},
        disk.FileDisk(folder),
        timer.SystemTimer(),
        machine,
        None,
        options,
        random.Random(),
    )
    await member.start()
    while not member.is_leader:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    await member.confirm_leadership()
    print("found", *machine.commands, flush=True)
    numbers = iter(range(len(machine.commands), 1 << 30))

    async def run_client():
        for number in numbers:
            await member.propose(b"%d" % number)
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
        watchdog = threading.Timer(TIMEOUT_SECONDS, child.kill)
        watchdog.start()
        self.addCleanup(watchdog.cancel)
        self.addCleanup(child.communicate)
        self.addCleanup(child.kill)
        return child

    def test_killed_process_keeps_acknowledged_commands(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        acknowledged = set()
        for _ in range(ROUNDS):
            child = self.start(folder)
            found = child.stdout.readline().split()
            self.assertEqual(found[:1], ["found"])
            self.assertLessEqual(acknowledged, set(found[1:]))
            self.assertEqual(len(found), len(set(found)))
            for _ in range(ACKNOWLEDGED_PER_ROUND):
                acknowledged.add(child.stdout.readline().strip())
            child.kill()
            # The commands printed before the kill were acknowledged, too.
            commands = child.stdout.read().split("\n")[:-1]
            acknowledged.update(commands)
            child.wait()

    def test_second_process_on_a_folder_fails_with_a_storage_error(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        first = self.start(folder)
        self.assertEqual(first.stdout.readline(), "found\n")
        second = self.start(folder)
        self.assertNotEqual(second.wait(), 0)
        self.assertRegex(second.stderr.read(), f"StorageError.*{folder}")


if __name__ == "__main__":
    loop.run(run_member(sys.argv[1]))
