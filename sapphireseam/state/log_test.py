import asyncio
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error
from sapphireseam.state import fake, log as logs, message, option

OPTIONS = option.Options(segment_bytes=200, trailing_entries=0)
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=150)


async def load(disk, index=0, term=0):
    log = logs.Log(disk, OPTIONS)
    await log.load(index, term)
    return log


def read_all(log):
    return log.read_batch(log.base_index + 1, 1 << 30) if log.last_index else []


async def write(log, batches):
    """Append and sync entries, each batch as one frame."""
    for batch in batches:
        for size in batch:
            entry = message.Entry(log.last_index + 1, 1, message.COMMAND, b"#" * size)
            log.append(entry)
        await log.flush()


BATCHES = st.lists(
    st.lists(st.integers(0, 60), min_size=1, max_size=4), min_size=2, max_size=8
)


class DamageTest(unittest.TestCase):
    @SETTINGS
    @given(BATCHES, st.integers(0, 1 << 16), st.booleans())
    def test_synced_entries_survive_a_lost_unsynced_batch(
        self, batches, seed, restarts
    ):
        async def run():
            disk = fake.FakeDisk()
            log = await load(disk)
            await write(log, batches[:-1])
            synced_entries = read_all(log)
            disk.fails_sync = True
            with self.assertRaises(error.StorageError):
                await write(log, batches[-1:])
            # Data that a failed sync dropped may still be in the page cache.
            disk = disk.reopen() if restarts else disk.crash(random.Random(seed))
            found = read_all(await load(disk))
            self.assertEqual(found[: len(synced_entries)], synced_entries)
            # Loaded entries count as durable, so a crash must not lose them.
            again = read_all(await load(disk.crash()))
            self.assertEqual(again, found)

        asyncio.run(run())

    @SETTINGS
    @given(BATCHES, st.integers(0, 1 << 16), st.data())
    def test_damage_before_the_last_batch_names_file_and_offset(
        self, batches, position, data
    ):
        async def run():
            disk = fake.FakeDisk()
            log = await load(disk)
            await write(log, batches)
            names = [name for name in await disk.list()]
            name = data.draw(st.sampled_from(names))
            before = disk.measure(name)
            if name == names[-1]:
                # Damage in the last batch can't be told from a torn write.
                await write(log, [[30]])
                if disk.measure(name) == before:
                    before = disk.measure(name)
            disk.corrupt(name, position % before)
            with self.assertRaisesRegex(error.StorageError, rf"{name}.*offset \d+"):
                await load(disk.reopen())

        asyncio.run(run())


class ReplaceTest(unittest.TestCase):
    @SETTINGS
    @given(st.lists(st.tuples(st.integers(1, 12), st.integers(1, 4)), max_size=10))
    def test_replaced_entries_stay_replaced(self, truncations):
        """Truncate anywhere, append in a higher term, restart, compare."""

        async def run():
            disk = fake.FakeDisk()
            log = await load(disk)
            for term, (index, count) in enumerate(truncations, 1):
                if index <= log.last_index:
                    log.truncate(index)
                for _ in range(count):
                    log.append(message.Entry(log.last_index + 1, term, 0))
                await log.flush()
            found = await load(disk.crash())
            self.assertEqual(read_all(found), read_all(log))
            self.assertEqual(found.synced, log.last_index)

        asyncio.run(run())

    def test_truncation_during_a_sync_leaves_nothing_unsynced(self):
        async def run():
            released = asyncio.Event()
            disk = fake.FakeDisk()
            log = await load(disk)
            disk.pause = released.wait
            for index in range(1, 5):
                log.append(message.Entry(index, 1, 0))
            work = asyncio.ensure_future(log.flush())
            await asyncio.sleep(0)
            log.truncate(3)
            log.append(message.Entry(3, 2, 0))
            released.set()
            await work
            self.assertEqual(log.synced, 2)
            await log.flush()
            found = await load(disk.crash())
            self.assertEqual([entry.term for entry in read_all(found)], [1, 1, 2])

        asyncio.run(run())


class CompactTest(unittest.TestCase):
    def test_log_loads_after_a_reset_interrupted_at_any_segment(self):
        """A snapshot at index 12 of term 2 replaces a log of term 1."""

        async def run(removals):
            disk = fake.FakeDisk()
            log = await load(disk)
            await write(log, [[50]] * 20)
            names = await disk.list()
            self.assertGreater(len(names), 3)
            for name in reversed(names[len(names) - removals :]):
                await disk.remove(name)
            disk = disk.crash()
            found = await load(disk, 12, 2)
            self.assertEqual((found.last_index, found.last_term), (12, 2))
            found.append(message.Entry(13, 2, 0))
            await found.flush()
            again = await load(disk.crash(), 12, 2)
            self.assertEqual(again.last_index, 13)

        for removals in range(5):
            asyncio.run(run(removals))

    def test_missing_segments_are_reported(self):
        async def run():
            disk = fake.FakeDisk()
            log = await load(disk)
            await write(log, [[50]] * 20)
            names = await disk.list()
            await disk.remove(names[1])
            disk = disk.reopen()
            with self.assertRaisesRegex(error.StorageError, names[2]):
                await load(disk)
            await disk.remove(names[0])
            with self.assertRaisesRegex(error.StorageError, "missing"):
                await load(disk.reopen())

        asyncio.run(run())
