"""Model an inference engine that batches continuously, small and seeded.

Every step gives each running sequence one token and takes longer the more
sequences run and the more uncached prompt tokens came in with it. What arrives
is admitted in order of arrival; the engine knows no priorities. A sequence can
be cancelled at any time and resumed from the tokens that the caller already
has: `Job.resume_from` counts them, and the sequence goes on with the next one.

The engine takes orders (load or unload a model, change its role), each with a
fencing number. With `checks_fence` it refuses a number below the highest it
has seen; without, it obeys any. Like an engine without a disk it forgets the
highest number, its cache and its loaded models when it restarts.
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
    """Say how fast and how large an engine is; times in seconds.

    `slow_factor` stretches every step. `cache_blocks` bounds the prefix cache.
    `event_delay` and `event_loss` make the cache events late and gappy;
    `load_period` and `load_lag` make the reported load old. `order_seconds` is
    what loading or unloading a model takes.
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
    """Ask for an answer; `resume_from` tokens of it the caller already has."""

    model: str
    prompt: str
    limit: int | None = None
    resume_from: int = 0


class Order(NamedTuple):
    """Tell an engine to change; `target` is a model's name or a role."""

    kind: Literal["load", "unload", "role"]
    target: str
    fence: int


class Load(NamedTuple):
    """Report the engine's state at a time `at` of its own clock."""

    at: float
    running: int
    waiting: int
    cached_blocks: int


class EngineError(Exception):
    """Report that the engine can't do what was asked."""


class EngineDeadError(EngineError):
    """Report that the engine died with the sequence in flight."""


class ModelNotLoadedError(EngineError):
    """Report that the engine has not loaded that model."""


class StaleFenceError(EngineError):
    """Report an order whose fencing number is below the highest seen."""


class Sequence:
    """Follow one job through the engine; read its tokens as they come."""

    def __init__(self, job: Job):
        self.job = job
        self.answer = answer.compute_answer(job.model, job.prompt, job.limit)
        self.produced = min(job.resume_from, len(self.answer.tokens))
        self.cached_tokens = 0
        self.cancelled = False
        self.dead = False
        self._read = self.produced
        self._changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        """Tell whether every token has been produced."""
        return self.produced >= len(self.answer.tokens)

    @property
    def ended(self) -> bool:
        """Tell whether nothing more will come."""
        return self.finished or self.cancelled or self.dead

    def advance(self) -> None:
        """Produce one more token."""
        self.produced += 1
        self._changed.set()

    def end(self, *, dead: bool) -> None:
        """End the sequence early: cancelled, or dead with its engine."""
        self.dead = self.dead or dead
        self.cancelled = self.cancelled or not dead
        self._changed.set()

    async def read(self) -> tuple[str, ...]:
        """Return the tokens since the last call; none once it has ended.

        Raises `EngineDeadError` if the engine died before the last token.
        """
        while self._read == self.produced and not self.ended:
            self._changed.clear()
            await self._changed.wait()
        if self.dead and not self.finished:
            raise EngineDeadError("the engine died with this request in flight")
        tokens = self.answer.tokens[self._read : self.produced]
        self._read = self.produced
        return tokens

    async def read_all(self) -> tuple[str, ...]:
        """Return all the tokens that were still due, once all are there."""
        tokens: tuple[str, ...] = ()
        while more := await self.read():
            tokens += more
        return tokens


class Engine:
    """Run sequences in one continuous batch.

    `on_crash` is called when a prompt holds `crash_marker` and its sequence
    ends its first step; all that runs or waits dies with it.
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
        self._first_models = list(models)
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
        """Begin to step and to sample the load."""
        self._sample_load()
        self._tasks.spawn(self._run())
        self._subscription = self._timer.subscribe(
            self.speeds.load_period, self._sample_later
        )

    async def stop(self) -> None:
        """Stop stepping; what is in flight dies."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self._tasks.cancel()
        self._end_all()

    def submit(self, job: Job) -> Sequence:
        """Take a job in; it runs once a place in the batch is free."""
        if job.model not in self.models:
            raise ModelNotLoadedError(f"model {job.model!r} is not loaded")
        sequence = Sequence(job)
        if not sequence.finished:
            self._waiting.append(sequence)
            self._arrived.set()
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Give up a sequence at once; its place is free from the next step."""
        if sequence.ended:
            return
        sequence.end(dead=False)
        if sequence in self._waiting:
            self._waiting.remove(sequence)

    def measure_load(self) -> Load:
        """Return the load as it is now; only tests may use it."""
        running = sum(1 for sequence in self._running if not sequence.ended)
        now = self._timer.read_clock()
        return Load(now, running, len(self._waiting), len(self.cache))

    def report_load(self) -> Load:
        """Return the load as it was at least `load_lag` seconds ago."""
        limit = self._timer.read_clock() - self.speeds.load_lag
        while len(self._loads) > 1 and self._loads[1].at <= limit:
            self._loads.popleft()
        return self._loads[0]

    async def obey(self, order: Order, checks_fence: bool) -> None:
        """Carry out an order, or raise `StaleFenceError` for an old number."""
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
        """Die with all that is in flight, and forget as a restart does."""
        self._end_all()
        self.cache.clear()
        self.models = set(self._first_models)
        self.role = "mixed"
        self.highest_fence = 0
        self._on_crash()

    def _end_all(self) -> None:
        for sequence in [*self._running, *self._waiting]:
            if not sequence.ended:
                sequence.end(dead=True)
        self._running.clear()
        self._waiting.clear()

    async def _sample_later(self) -> None:
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
            await self._timer.sleep(self.compute_step())
            self._finish_step()

    def _admit(self) -> None:
        self._running = [item for item in self._running if not item.ended]
        self._prefill_tokens = 0
        while self._waiting and len(self._running) < self.speeds.max_running:
            sequence = self._waiting.popleft()
            self._prefill_tokens += self._prefill(sequence)
            self._running.append(sequence)

    def _prefill(self, sequence: Sequence) -> int:
        """Return how many tokens must be computed before the first new one."""
        job = sequence.job
        blocks = cache.compute_blocks(job.model, job.prompt)
        hits = self.cache.use(blocks)
        sequence.cached_tokens = hits * cache.BLOCK_TOKENS
        prompt_tokens = answer.count_prompt_tokens(job.prompt)
        return prompt_tokens - sequence.cached_tokens + sequence.produced

    def compute_step(self) -> float:
        """Return the seconds that the step of the present batch takes."""
        speeds = self.speeds
        decode = speeds.step_base + speeds.step_per_sequence * len(self._running)
        prefill = speeds.prefill_per_token * self._prefill_tokens
        return (decode + prefill) * speeds.slow_factor

    def _finish_step(self) -> None:
        running = [item for item in self._running if not item.ended]
        if any(self._is_fatal(sequence) for sequence in running):
            self.crash()
            return
        for sequence in running:
            sequence.advance()

    def _is_fatal(self, sequence: Sequence) -> bool:
        return bool(self._crash_marker) and self._crash_marker in sequence.job.prompt
