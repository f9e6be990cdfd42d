import asyncio
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.core import error
from sapphireseam.state import fake, log, message, option

OPTIONS = option.Options(segment_bytes=200, trailing_entries=0)
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=150)


async def load(disk, index=0, term=0):
    held = log.Log(disk, OPTIONS)
    await held.load(index, term)
    return held


def read_all(held):
    return held.read_batch(held.base_index + 1, 1 << 30) if held.last_index else []


async def write(held, batches):
    """Append and sync entries, each batch as one frame."""
    for batch in batches:
        for size in batch:
            entry = message.Entry(held.last_index + 1, 1, message.COMMAND, b"#" * size)
            held.append(entry)
        await held.flush()


BATCHES = st.lists(
    st.lists(st.integers(0, 60), min_size=1, max_size=4), min_size=2, max_size=8
)


class DamageTest(unittest.TestCase):
    @SETTINGS
    @given(BATCHES, st.integers(0, 1 << 16), st.booleans())
    def test_unsynced_tail_is_cut_and_all_synced_kept(self, batches, seed, restarts):
        async def run():
            disk = fake.FakeDisk()
            held = await load(disk)
            await write(held, batches[:-1])
            kept = read_all(held)
            disk.fails_sync = True
            with self.assertRaises(error.StorageError):
                await write(held, batches[-1:])
            # What a failed sync dropped may still be in the page cache.
            disk = disk.reopen() if restarts else disk.crash(random.Random(seed))
            found = read_all(await load(disk))
            self.assertEqual(found[: len(kept)], kept)
            # Loaded entries count as durable, so a crash must not lose them.
            again = read_all(await load(disk.crash()))
            self.assertEqual(again, found)

        asyncio.run(run())

    @SETTINGS
    @given(BATCHES, st.integers(0, 1 << 16), st.data())
    def test_damage_before_the_last_batch_names_file_and_offset(
        self, batches, place, data
    ):
        async def run():
            disk = fake.FakeDisk()
            held = await load(disk)
            await write(held, batches)
            names = [name for name in await disk.list()]
            name = data.draw(st.sampled_from(names))
            before = disk.measure(name)
            if name == names[-1]:
                # Damage in the last batch can't be told from a torn write.
                await write(held, [[30]])
                if disk.measure(name) == before:
                    before = disk.measure(name)
            disk.corrupt(name, place % before)
            with self.assertRaisesRegex(error.StorageError, rf"{name}.*offset \d+"):
                await load(disk.reopen())

        asyncio.run(run())


class ReplaceTest(unittest.TestCase):
    @SETTINGS
    @given(st.lists(st.tuples(st.integers(1, 12), st.integers(1, 4)), max_size=10))
    def test_replaced_entries_stay_replaced(self, cuts):
        """Truncate anywhere, append in a higher term, restart, compare."""

        async def run():
            disk = fake.FakeDisk()
            held = await load(disk)
            for term, (index, count) in enumerate(cuts, 1):
                if index <= held.last_index:
                    held.truncate(index)
                for _ in range(count):
                    held.append(message.Entry(held.last_index + 1, term, 0))
                await held.flush()
            found = await load(disk.crash())
            self.assertEqual(read_all(found), read_all(held))
            self.assertEqual(found.synced, held.last_index)

        asyncio.run(run())

    def test_truncation_during_a_sync_leaves_nothing_unsynced(self):
        async def run():
            going = asyncio.Event()
            disk = fake.FakeDisk()
            held = await load(disk)
            disk.pause = going.wait
            for index in range(1, 5):
                held.append(message.Entry(index, 1, 0))
            work = asyncio.ensure_future(held.flush())
            await asyncio.sleep(0)
            held.truncate(3)
            held.append(message.Entry(3, 2, 0))
            going.set()
            await work
            self.assertEqual(held.synced, 2)
            await held.flush()
            found = await load(disk.crash())
            self.assertEqual([entry.term for entry in read_all(found)], [1, 1, 2])

        asyncio.run(run())


class CompactTest(unittest.TestCase):
    def test_reset_stopped_anywhere_leaves_a_log_that_loads(self):
        """A snapshot at index 12 of term 2 replaces a log of term 1."""

        async def run(removals):
            disk = fake.FakeDisk()
            held = await load(disk)
            await write(held, [[50]] * 20)
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
            held = await load(disk)
            await write(held, [[50]] * 20)
            names = await disk.list()
            await disk.remove(names[1])
            disk = disk.reopen()
            with self.assertRaisesRegex(error.StorageError, names[2]):
                await load(disk)
            await disk.remove(names[0])
            with self.assertRaisesRegex(error.StorageError, "missing"):
                await load(disk.reopen())

        asyncio.run(run())
