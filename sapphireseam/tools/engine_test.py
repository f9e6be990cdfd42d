"""Tests of the simulated engine and its prefix cache, on a fake timer."""

import asyncio
import random
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.tools import answer, cache, engine
from sapphireseam.utils import timer

MODEL = "wording-llm"
# Seconds of fake time in which any test's sequences end.
WORK_SECONDS = 60.0
# Frequent load samples would take most of a test's event loop iterations.
SPEEDS = engine.Speeds(load_period=WORK_SECONDS)

settings.register_profile("repo", derandomize=True, deadline=None, database=None)
settings.load_profile("repo")

PROMPTS = st.lists(
    st.builds(
        lambda letter, blocks, tail: letter * (64 * blocks) + tail,
        st.sampled_from("abcd"),
        st.integers(0, 6),
        st.text(max_size=8),
    ),
    min_size=1,
    max_size=12,
)


def run_engine(work, speeds=SPEEDS, **options):
    """Call `work(engine, timer)` with a started engine and return its result."""

    async def main():
        fake = timer.FakeTimer()
        model = engine.Engine([MODEL], speeds, 1, fake, **options)
        await model.start()
        try:
            return await work(model, fake)
        finally:
            await model.stop()

    return asyncio.run(main())


async def finish(fake, *sequences):
    """Advance the time and return each sequence's tokens."""
    tasks = [asyncio.create_task(sequence.read_all()) for sequence in sequences]
    await fake.advance(WORK_SECONDS)
    return [task.result() for task in tasks]


class PrefixCacheTest(unittest.TestCase):
    @given(st.integers(0, 8), PROMPTS, st.floats(0, 1))
    def test_size_is_bounded_and_hits_were_cached(self, capacity, prompts, loss):
        fake = timer.FakeTimer()
        source = random.Random(2)
        prefixes = cache.PrefixCache(capacity, 1.0, loss, source, fake)
        held = set()
        for prompt in prompts:
            blocks = cache.compute_blocks(MODEL, prompt)
            hits = prefixes.use(blocks)
            self.assertLessEqual(len(prefixes), capacity)
            self.assertTrue(held.issuperset(blocks[:hits]))
            held.update(blocks)

    @given(PROMPTS)
    def test_events_late_in_order_and_with_gaps(self, prompts):
        fake = timer.FakeTimer()
        prefixes = cache.PrefixCache(4, 5.0, 0.5, random.Random(3), fake)
        for prompt in prompts:
            prefixes.use(cache.compute_blocks(MODEL, prompt))
        self.assertEqual(prefixes.list_events(0), [])
        asyncio.run(fake.advance(5.0))
        numbers = [event.number for event in prefixes.list_events(0)]
        self.assertEqual(numbers, sorted(set(numbers)))
        for number in numbers:
            later = prefixes.list_events(number)
            self.assertTrue(all(event.number > number for event in later))

    def test_lost_events_leave_gaps_in_the_numbers(self):
        fake = timer.FakeTimer()
        prefixes = cache.PrefixCache(1000, 0.0, 0.5, random.Random(3), fake)
        for number in range(40):
            prefixes.use([str(number)])
        numbers = [event.number for event in prefixes.list_events(0)]
        self.assertLess(len(numbers), max(numbers))

    def test_block_names_depend_on_model_and_preceding_text(self):
        first = cache.compute_blocks(MODEL, "a" * 64 + "c" * 64)
        second = cache.compute_blocks(MODEL, "b" * 64 + "c" * 64)
        other_model = cache.compute_blocks("other", "a" * 64 + "c" * 64)
        self.assertEqual(len({*first, *second, *other_model}), 6)


class EngineTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(
        st.lists(st.tuples(st.integers(1, 60), st.floats(0, 3)), max_size=20),
        st.sets(st.integers(0, 19)),
        st.integers(1, 4),
    )
    def test_every_sequence_ends_or_is_cancelled(self, arrivals, cancelled, slots):
        speeds = SPEEDS._replace(max_running=slots)

        async def work(model, fake):
            sequences = []
            for index, (limit, pause) in enumerate(arrivals):
                job = engine.Job(MODEL, f"prompt {index}", limit)
                sequences.append(model.submit(job))
                await fake.advance(pause)
                self.assertLessEqual(model.measure_load().running, slots)
                if index in cancelled:
                    model.cancel(sequences[index])
            await fake.advance(WORK_SECONDS)
            for index, sequence in enumerate(sequences):
                self.assertTrue(sequence.finished or index in cancelled)
                self.assertTrue(sequence.ended)
                self.assertFalse(sequence.crashed)
            load = model.measure_load()
            self.assertEqual((load.running, load.waiting), (0, 0))

        run_engine(work, speeds)

    @settings(max_examples=30)
    @given(st.text(max_size=200), st.integers(1, 300), st.integers(0, 300))
    def test_resumed_stream_equals_the_whole_answer(self, prompt, limit, had):
        whole = answer.compute_answer(MODEL, prompt, limit).tokens

        async def work(model, fake):
            cut = model.submit(engine.Job(MODEL, prompt, limit, had))
            (rest,) = await finish(fake, cut)
            self.assertEqual(whole[:had] + rest, whole)

        run_engine(work)

    @given(st.text(max_size=100), st.integers(0, 300))
    def test_limit_cuts_and_changes_nothing_else(self, prompt, limit):
        whole = answer.compute_answer(MODEL, prompt)
        cut = answer.compute_answer(MODEL, prompt, limit)
        self.assertEqual(cut.tokens, whole.tokens[:limit])
        reason = "length" if limit < len(whole.tokens) else "stop"
        self.assertEqual(cut.finish_reason, reason)

    def test_step_time_rises_with_the_batch_and_uncached_prompt(self):
        async def measure(model, fake, count, prompt):
            start = fake.read_clock()
            sequences = [
                model.submit(engine.Job(MODEL, f"{prompt} {index}", 16))
                for index in range(count)
            ]
            while not all(sequence.ended for sequence in sequences):
                await fake.advance(0.001)
            return fake.read_clock() - start

        async def work(model, fake):
            times = [await measure(model, fake, count, "") for count in (1, 4, 8)]
            self.assertLess(times[0], times[1])
            self.assertLess(times[1], times[2])
            fresh = await measure(model, fake, 1, "y" * 64_000)
            cached = await measure(model, fake, 1, "y" * 64_000)
            self.assertLess(cached, fresh)

        run_engine(work)

    def test_admits_in_order_of_arrival_without_priorities(self):
        async def work(model, fake):
            ended = []
            for index in range(6):
                sequence = model.submit(engine.Job(MODEL, f"p{index}", 16))
                reader = asyncio.create_task(sequence.read_all())
                reader.add_done_callback(lambda _, index=index: ended.append(index))
            await fake.advance(WORK_SECONDS)
            self.assertEqual(ended, list(range(6)))

        run_engine(work, SPEEDS._replace(max_running=1))

    def test_sequence_cancelled_while_waiting_uses_no_engine_time(self):
        async def work(model, fake):
            first = model.submit(engine.Job(MODEL, "short", 40))
            await fake.advance(0.1)
            waiting = model.submit(engine.Job(MODEL, "z" * 640, 40))
            self.assertEqual(model.measure_load().waiting, 1)
            model.cancel(waiting)
            self.assertEqual(model.measure_load().waiting, 0)
            await fake.advance(WORK_SECONDS)
            self.assertTrue(first.finished)
            self.assertEqual((waiting.produced, len(model.cache)), (0, 0))

        run_engine(work, SPEEDS._replace(max_running=1))

    def test_reported_load_lags_behind_the_present_load(self):
        async def work(model, fake):
            await fake.advance(2.0)
            model.submit(engine.Job(MODEL, "p", 256))
            await fake.advance(0.3)
            self.assertEqual(model.measure_load().running, 1)
            self.assertEqual(model.report_load().running, 0)
            await fake.advance(0.4)
            self.assertEqual(model.report_load().running, 1)

        run_engine(work, engine.Speeds())

    def test_crash_ends_all_in_flight_and_resets_the_engine(self):
        crashes = []

        async def work(model, fake):
            await model.execute_order(engine.Order("role", "decode", 7), True)
            job = engine.Job(MODEL, "z" * 256, 200)
            others = [model.submit(job) for _ in range(3)]
            await fake.advance(0.1)
            fatal = model.submit(engine.Job(MODEL, "KILL", 20))
            await fake.advance(1.0)
            for sequence in [*others, fatal]:
                self.assertTrue(sequence.crashed)
                with self.assertRaises(engine.EngineCrashedError):
                    await sequence.read_all()
            self.assertEqual(crashes, [1])
            self.assertEqual((model.highest_fence, model.role), (0, "mixed"))
            self.assertEqual(len(model.cache), 0)
            (tokens,) = await finish(fake, model.submit(job))
            self.assertEqual(tokens, answer.compute_answer(*job[:3]).tokens)

        run_engine(work, crash_marker="KILL", on_crash=lambda: crashes.append(1))

    @given(st.lists(st.integers(0, 9), max_size=12), st.booleans())
    def test_low_fence_is_refused_only_if_checked(self, fences, checks):
        async def work(model, fake):
            for fence in fences:
                try:
                    await model.execute_order(engine.Order("role", "r", fence), checks)
                except engine.StaleFenceError:
                    self.assertTrue(checks)
            executed = [order.fence for order in model.orders]
            if checks:
                self.assertEqual(executed, sorted(executed))
            else:
                self.assertEqual(executed, fences)

        run_engine(work)

    def test_unloaded_model_is_refused(self):
        async def work(model, fake):
            order = asyncio.create_task(
                model.execute_order(engine.Order("unload", MODEL, 1), True)
            )
            await fake.advance(1.0)
            await order
            with self.assertRaises(engine.ModelNotLoadedError):
                model.submit(engine.Job(MODEL, "p"))

        run_engine(work)
