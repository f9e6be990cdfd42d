"""Decide how many streams an engine runs at once.

An engine admits all that arrives and queues the rest inside, where no order
can be kept. So the limit here follows what the engine does. It shrinks by a
share when the step time is a multiple of the unloaded one, since more streams
then bring little, and when first tokens take many steps, since streams then
wait inside. Otherwise it grows by one a window. Counting first tokens in steps
keeps the two causes apart, and comparing medians of windows keeps the mix of
prompt lengths out.

Batch streams have a bound of their own, found in the same way from their own
first tokens but more strictly: online work that arrives should find a slot
that is free or that a batch stream leaves, never the engine's queue. They start
one at a time, the next only once the last has its first token, and the one
that has none yet yields to any online request that comes. So no online prompt
waits for a batch prompt. And each online stream takes the room of more than
one batch stream. A stream's speed falls with the number beside it, so filling
each last slot while online work runs would slow it by more than what it
leaves idle.
"""

import math
from collections import deque
from typing import NamedTuple, Protocol

# A window of observations that one decision rests on.
WINDOW_SECONDS = 0.5
WINDOW_FIRST_TOKENS = 4

# First tokens tell of a queue inside the engine when they take this many times
# the steps of the best window, and at least so many steps.
ONLINE_TOLERANCE = 4.0
ONLINE_STEPS = 6.0
BATCH_TOLERANCE = 1.5
BATCH_STEPS = 3.0

# The same for a fleet whose online tail matters more than batch throughput.
TAIL_BATCH_STEPS = 1.5

# The step time, against its unloaded minimum, beyond which more streams
# bring little but longer steps.
STEP_TOLERANCE = 2.5

# The weight of the newest step in the mean step time.
STEP_WEIGHT = 0.05

# The limit grows by this factor until it first proves too high.
RAMP_FACTOR = 2.0

# The share of the limit that is kept after a window that was too slow.
DECREASE_FACTOR = 0.85

# Values that one window keeps, the newest.
WINDOW_VALUES = 2048

# A minimum is forgotten after so long, so that a changed engine is seen.
MINIMUM_SECONDS = 300.0

# Batch streams that make room for one online stream.
HEADROOM = 1.5

# Batch streams that may wait for their first token in the engine.
BATCH_PREFILLS = 1


class Admission(Protocol):
    """Bound what runs in one engine. Times are monotonic seconds."""

    limit: float

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Tell whether one more stream of this kind may start now."""

    def may_admit_due(self, running_due: int) -> bool:
        """Tell whether the slot beyond the limit, for due batch work, is free."""

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Note that a stream was handed to the engine."""

    def observe_first_token(self, id: str, now: float) -> None:
        """Note a stream's first token, or the answer of a plain service."""

    def assume_prefilled(self, id: str) -> None:
        """Stop waiting for the first token of an answer that comes whole."""

    def observe_step(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of one stream."""

    def observe_end(self, id: str, now: float) -> None:
        """Note that a stream has ended, however it did."""

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to cancel or pause at once.

        `running_batch` doesn't count the due stream beyond the limit.
        """


class FixedAdmission:
    """Admit up to a fixed number of streams of either kind (the baseline).

    Nothing yields: a batch stream that runs keeps its place.
    """

    def __init__(self, limit: int):
        self.limit = float(limit)

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Tell whether one more stream may start now."""
        return running_online + running_batch < self.limit

    def may_admit_due(self, running_due: int) -> bool:
        """Keep no slot beyond the limit."""
        return False

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Learn nothing."""

    def observe_first_token(self, id: str, now: float) -> None:
        """Learn nothing."""

    def assume_prefilled(self, id: str) -> None:
        """Learn nothing."""

    def observe_step(self, seconds: float, now: float) -> None:
        """Learn nothing."""

    def observe_end(self, id: str, now: float) -> None:
        """Learn nothing."""

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Let every batch stream run to its end."""
        return 0


class _Minimum(NamedTuple):
    """Hold the least value seen and when."""

    value: float
    seen: float


class _Signal:
    """Compare a window's median with the least median of any recent window."""

    def __init__(self):
        self._minimum = _Minimum(math.inf, -math.inf)
        self._window: deque[float] = deque(maxlen=WINDOW_VALUES)

    def add(self, value: float) -> None:
        self._window.append(value)

    def __len__(self) -> int:
        return len(self._window)

    def close(self, now: float) -> tuple[float, float]:
        """Return the window's median and the minimum; zeros for an empty one."""
        if not self._window:
            return 0.0, 0.0
        values = sorted(self._window)
        self._window.clear()
        median = values[len(values) // 2]
        is_old = now - self._minimum.seen > MINIMUM_SECONDS
        if median <= self._minimum.value or is_old:
            self._minimum = _Minimum(median, now)
        return median, self._minimum.value


class _Bound:
    """Find one bound by additive increase, multiplicative decrease.

    It grows only after a window in which it held something back.
    """

    def __init__(self, value: float, least: float, most: float):
        self.value = value
        self._least = least
        self._most = most
        self.is_ramping = True
        self.is_reached = False

    def decrease(self) -> None:
        self.value = max(self.value * DECREASE_FACTOR, self._least)
        self.is_ramping = False

    def increase(self) -> None:
        grown = self.value * RAMP_FACTOR if self.is_ramping else self.value
        self.value = min(max(grown, self.value + 1.0), self._most)


class _Window:
    """Collect first tokens of one kind until they allow a decision.

    Streams from before the window met an earlier bound and aren't counted.
    """

    def __init__(self, tolerance: float, least_steps: float):
        self._tolerance = tolerance
        self._least_steps = least_steps
        self._signal = _Signal()
        self._start = -math.inf

    def add(self, started: float, now: float, step: float) -> None:
        if started >= self._start:
            self._signal.add((now - started) / (step or 1.0))

    def is_full(self, now: float, is_ramping: bool) -> bool:
        long_enough = is_ramping or now - self._start >= WINDOW_SECONDS
        return long_enough and len(self._signal) >= WINDOW_FIRST_TOKENS

    def close(self, now: float, has_steps: bool) -> bool:
        """Begin the next window; tell whether streams waited in this one."""
        self._start = now
        steps, best = self._signal.close(now)
        if has_steps and steps <= self._least_steps:
            return False
        return steps > self._tolerance * best


class AdaptiveAdmission:
    """Find the engine's limits by additive increase, multiplicative decrease.

    `initial` is where they start; they stay within `least` and `most` streams.
    `limit` is that of online streams, `batch_limit` that of all streams beside
    which a batch stream may start; `count_preemptions` clears batch streams away when
    an online one waits. A service that answers without steps gives each answer
    as a first token; `batch_prefills` then bounds its batch calls. A lower
    `headroom`, down to 1, and more `batch_steps` give batch work more and online
    work a longer tail.
    """

    def __init__(
        self,
        initial: int = 8,
        least: int = 1,
        most: int = 256,
        batch_prefills: int = BATCH_PREFILLS,
        headroom: float = HEADROOM,
        batch_steps: float = BATCH_STEPS,
    ):
        self._online_bound = _Bound(float(initial), float(least), float(most))
        self._batch_bound = _Bound(float(initial), float(least), float(most))
        self._online_window = _Window(ONLINE_TOLERANCE, ONLINE_STEPS)
        self._batch_window = _Window(BATCH_TOLERANCE, batch_steps)
        self._batch_prefills = batch_prefills
        self._headroom = headroom
        self._started: dict[str, float] = {}
        self._batch: set[str] = set()
        self._prefilling: set[str] = set()
        self._step = _Signal()
        self._mean_step = 0.0

    @property
    def limit(self) -> float:
        """Return the streams up to which online ones may start.

        What batch streams have proved possible is possible for online ones.
        """
        return max(self._online_bound.value, self._batch_bound.value)

    @property
    def batch_limit(self) -> float:
        """Return the streams up to which batch ones may start."""
        return self._batch_bound.value

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Tell whether one more stream may start now."""
        if batch:
            if len(self._prefilling) >= self._batch_prefills:
                return False
            has_room = running_batch < self._count_room(running_online)
            self._batch_bound.is_reached |= not has_room
            return has_room
        has_room = running_online + running_batch < int(self.limit)
        self._online_bound.is_reached |= not has_room
        return has_room

    def may_admit_due(self, running_due: int) -> bool:
        """Keep one slot beyond the limit for due batch work."""
        return running_due < 1

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Note that a stream was handed to the engine."""
        self._started[id] = now
        if batch:
            self._batch.add(id)
            self._prefilling.add(id)

    def observe_first_token(self, id: str, now: float) -> None:
        """Note a stream's first token, or the answer of a plain service."""
        self._prefilling.discard(id)
        started = self._started.get(id)
        if started is None:
            return
        window = self._batch_window if id in self._batch else self._online_window
        window.add(started, now, self._mean_step)
        bound = self._batch_bound if id in self._batch else self._online_bound
        if window.is_full(now, bound.is_ramping):
            self._decide(window, bound, now)

    def assume_prefilled(self, id: str) -> None:
        """Stop waiting for the first token of an answer that comes whole."""
        self._prefilling.discard(id)

    def observe_step(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of one stream."""
        weight = STEP_WEIGHT if self._mean_step else 1.0
        self._mean_step += weight * (seconds - self._mean_step)
        self._step.add(seconds)

    def observe_end(self, id: str, now: float) -> None:
        """Note that a stream has ended, however it did."""
        self._started.pop(id, None)
        self._batch.discard(id)
        self._prefilling.discard(id)

    def _decide(self, window: _Window, bound: _Bound, now: float) -> None:
        """Move the bound that the window is for, by its waits and the steps.

        What is too much for online streams is too much for batch ones.
        """
        is_queued = window.close(now, self._mean_step > 0.0)
        seconds, unloaded = self._step.close(now)
        is_slow = is_queued or seconds > STEP_TOLERANCE * unloaded
        if is_slow and bound is self._batch_bound:
            bound.decrease()
        elif is_slow:
            bound.value = self.limit
            bound.decrease()
            self._batch_bound.value = min(self._batch_bound.value, bound.value)
        elif bound.is_reached:
            bound.increase()
        bound.is_reached = False

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to cancel or pause at once.

        Only a waiting online stream makes any yield; what has started beside
        online work otherwise runs to its end.
        """
        if not waiting_online:
            return 0
        online = min(running_online + waiting_online, int(self.limit))
        excess = running_batch - self._count_room(online)
        return min(max(excess, len(self._prefilling)), running_batch)

    def _count_room(self, online: int) -> int:
        """Return how many batch streams may run beside so many online ones."""
        return max(int(self.batch_limit - self._headroom * online), 0)


def make_tail_admission(initial: int = 8) -> AdaptiveAdmission:
    """Return adaptive admission that favours the online tail over batch work."""
    return AdaptiveAdmission(initial, batch_steps=TAIL_BATCH_STEPS)
