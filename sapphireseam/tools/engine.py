"""Simulates a small inference engine with continuous batching.

Each step produces one token for every running sequence. A step takes longer the
more sequences run and the more uncached prompt tokens were admitted with it.
Sequences are admitted in order of arrival, without priorities. A sequence can
be cancelled at any time and resumed later: `Job.resume_from` counts the tokens
that the caller already has, and the sequence continues with the next one.

The engine accepts orders (load or unload a model, change its role), each with a
fencing number. With `checks_fence` it refuses a number below the highest one
seen; without, it carries out any order. Like an engine without a disk, it loses
the highest number, its cache and its loaded models when it restarts. The seed
decides which cache events are lost.
"""

import asyncio
import collections
import random
from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from sapphireseam.tools import answer, cache
from sapphireseam.utils import application, timer

Seconds = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1)]


class Speeds(NamedTuple):
    """An engine's speed and size; times are in seconds.

    `slow_factor` multiplies the duration of every step. `cache_blocks` bounds
    the prefix cache. `event_delay` delays the cache events and `event_loss` is
    the share of them that is lost. The load is sampled every `load_period` and
    reported at least `load_lag` late. Loading or unloading a model takes
    `order_seconds`.
    """

    max_running: Count = 8
    step_base: Seconds = 0.02
    step_per_sequence: Seconds = 0.001
    prefill_per_token: Seconds = 0.00005
    slow_factor: Annotated[float, Field(gt=0)] = 1.0
    cache_blocks: Annotated[int, Field(ge=0)] = 2048
    event_delay: Seconds = 0.5
    event_loss: Share = 0.05
    load_period: Annotated[float, Field(gt=0)] = 0.1
    load_lag: Seconds = 0.5
    order_seconds: Seconds = 0.2


class Job(NamedTuple):
    """A request for an answer whose first `resume_from` tokens the caller has."""

    model: str
    prompt: str
    limit: int | None = None
    resume_from: int = 0


class Order(NamedTuple):
    """An order to change the engine; `target` is a model's name or a role."""

    kind: Literal["load", "unload", "role"]
    target: str
    fence: int


class Load(NamedTuple):
    """The engine's load at time `at` of its own clock."""

    at: float
    running: int
    waiting: int
    cached_blocks: int


class EngineError(Exception):
    """Raised when the engine cannot serve a job or an order."""


class EngineCrashedError(EngineError):
    """Raised when the engine crashed with the sequence in flight."""


class ModelNotLoadedError(EngineError):
    """Raised when a job's model is not loaded."""


class StaleFenceError(EngineError):
    """Raised when an order's fencing number is below the highest one seen."""


class Sequence:
    """One job in the engine, whose tokens can be read as they are produced."""

    def __init__(self, job: Job):
        self.job = job
        self.answer = answer.compute_answer(job.model, job.prompt, job.limit)
        self.produced = min(job.resume_from, len(self.answer.tokens))
        self.cached_tokens = 0
        self.cancelled = False
        self.crashed = False
        self._read_count = self.produced
        self._changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        """Return whether every token has been produced."""
        return self.produced >= len(self.answer.tokens)

    @property
    def ended(self) -> bool:
        """Return whether no more tokens will be produced."""
        return self.finished or self.cancelled or self.crashed

    def advance(self) -> None:
        """Produce one more token."""
        self.produced += 1
        self._changed.set()

    def end(self, *, crashed: bool) -> None:
        """End the sequence early: cancelled, or lost in a crash of the engine."""
        self.crashed = self.crashed or crashed
        self.cancelled = self.cancelled or not crashed
        self._changed.set()

    async def read(self) -> tuple[str, ...]:
        """Return the tokens produced since the last call; none after the end.

        Raises `EngineCrashedError` if the engine crashed before the last token.
        """
        while self._read_count == self.produced and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        if self.crashed and not self.finished:
            raise EngineCrashedError("the engine crashed with this request in flight")
        tokens = self.answer.tokens[self._read_count : self.produced]
        self._read_count = self.produced
        return tokens

    async def read_all(self) -> tuple[str, ...]:
        """Wait for the end and return all the remaining tokens."""
        tokens: tuple[str, ...] = ()
        while more := await self.read():
            tokens += more
        return tokens


class Engine:
    """An engine that runs sequences in one continuous batch.

    A sequence whose prompt contains `crash_marker` crashes the engine at the
    end of its first step. All running and waiting sequences are then lost, and
    `on_crash` is called.
    """

    def __init__(
        self,
        models: list[str],
        speeds: Speeds,
        seed: int,
        timer_service: timer.TimerService,
        crash_marker: str = "",
        on_crash: Callable[[], None] = lambda: None,
    ):
        self.speeds = speeds
        self.role = "mixed"
        self.models = set(models)
        self.highest_fence = 0
        self.orders: list[Order] = []
        self._initial_models = list(models)
        self._timer = timer_service
        self._crash_marker = crash_marker
        self._on_crash = on_crash
        self.cache = cache.PrefixCache(
            speeds.cache_blocks,
            speeds.event_delay,
            speeds.event_loss,
            random.Random(seed),
            timer_service,
        )
        self._waiting: collections.deque[Sequence] = collections.deque()
        self._running: list[Sequence] = []
        self._prefill_tokens = 0
        self._arrived = asyncio.Event()
        self._loads: collections.deque[Load] = collections.deque()
        self._tasks = application.TaskGroup()
        self._subscription: timer.Subscription | None = None

    async def start(self) -> None:
        """Start running steps and sampling the load."""
        self._sample_load()
        self._tasks.spawn(self._run())
        self._subscription = self._timer.subscribe(
            self.speeds.load_period, self._on_load_timer
        )

    async def stop(self) -> None:
        """Stop running steps; sequences in flight end as in a crash."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self._tasks.cancel()
        self._crash_sequences()

    def submit(self, job: Job) -> Sequence:
        """Queue a job; it runs once a slot in the batch is free.

        Raises `ModelNotLoadedError` if its model is not loaded.
        """
        if job.model not in self.models:
            raise ModelNotLoadedError(f"model {job.model!r} is not loaded")
        sequence = Sequence(job)
        if not sequence.finished:
            self._waiting.append(sequence)
            self._arrived.set()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Cancel a sequence at once; its slot is free from the next step."""
        if sequence.ended:
            return
        sequence.end(crashed=False)
        if sequence in self._waiting:
            self._waiting.remove(sequence)

    def measure_load(self) -> Load:
        """Return the present load; callers other than tests use `report_load`."""
        running = sum(1 for sequence in self._running if not sequence.ended)
        now = self._timer.read_clock()
        return Load(now, running, len(self._waiting), len(self.cache))

    def report_load(self) -> Load:
        """Return the latest load sample that is at least `load_lag` seconds old.

        Before any sample is that old, return the first one.
        """
        cutoff = self._timer.read_clock() - self.speeds.load_lag
        while len(self._loads) > 1 and self._loads[1].at <= cutoff:
            self._loads.popleft()
        return self._loads[0]

    async def execute_order(self, order: Order, checks_fence: bool) -> None:
        """Carry out an order.

        Raises `StaleFenceError` if `checks_fence` is set and the order's number is
        below the highest one seen.
        """
        if checks_fence and order.fence < self.highest_fence:
            raise StaleFenceError(
                f"fencing number {order.fence} is below {self.highest_fence}"
            )
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind != "role":
            await self._timer.sleep(self.speeds.order_seconds)
        self.orders.append(order)
        if order.kind == "load":
            self.models.add(order.target)
        elif order.kind == "unload":
            self.models.discard(order.target)
        else:
            self.role = order.target

    def crash(self) -> None:
        """Lose all sequences in flight and reset the state, as a restart does."""
        self._crash_sequences()
        self.cache.clear()
        self.models = set(self._initial_models)
        self.role = "mixed"
        self.highest_fence = 0
        self._on_crash()

    def _crash_sequences(self) -> None:
        for sequence in [*self._running, *self._waiting]:
            if not sequence.ended:
                sequence.end(crashed=True)
        self._running.clear()
        self._waiting.clear()

    async def _on_load_timer(self) -> None:
        self._sample_load()

    def _sample_load(self) -> None:
        self._loads.append(self.measure_load())
        self.report_load()

    async def _run(self) -> None:
        while True:
            self._admit()
            if not self._running:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            await self._timer.sleep(self.compute_step_seconds())
            self._finish_step()

    def _admit(self) -> None:
        self._running = [item for item in self._running if not item.ended]
        self._prefill_tokens = 0
        while self._waiting and len(self._running) < self.speeds.max_running:
            sequence = self._waiting.popleft()
            self._prefill_tokens += self._prefill(sequence)
            self._running.append(sequence)

    def _prefill(self, sequence: Sequence) -> int:
        """Cache the prompt and return how many tokens must be prefilled.

        These are the uncached prompt tokens and the answer tokens that
        the caller already has.
        """
        job = sequence.job
        blocks = cache.compute_blocks(job.model, job.prompt)
        hits = self.cache.use(blocks)
        sequence.cached_tokens = hits * cache.BLOCK_TOKENS
        prompt_tokens = answer.count_prompt_tokens(job.prompt)
        return prompt_tokens - sequence.cached_tokens + sequence.produced

    def compute_step_seconds(self) -> float:
        """Return how many seconds a step of the present batch takes."""
        speeds = self.speeds
        decode = speeds.step_base + speeds.step_per_sequence * len(self._running)
        prefill = speeds.prefill_per_token * self._prefill_tokens
        return (decode + prefill) * speeds.slow_factor

    def _finish_step(self) -> None:
        running = [item for item in self._running if not item.ended]
        if any(self._has_crash_marker(sequence) for sequence in running):
            self.crash()
            return
        for sequence in running:
            sequence.advance()

    def _has_crash_marker(self, sequence: Sequence) -> bool:
        return bool(self._crash_marker) and self._crash_marker in sequence.job.prompt
