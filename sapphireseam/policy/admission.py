"""Decide how many streams an engine runs at once.

An engine admits all that arrives and queues the rest inside, where no order
can be kept. So the limit here follows what the engine does. It shrinks by a
share when the step time is a multiple of the unloaded one, since more streams
then bring little, and when first tokens take many steps, since streams then
wait inside. Otherwise it grows by one a window. Counting first tokens in steps
keeps the two causes apart, and comparing medians of windows keeps the mix of
prompt lengths out.

Batch streams start one at a time: the next only once the last has its first
token. So an online prompt finds at most one batch prompt being prefilled.
"""

import math
from typing import NamedTuple, Protocol

# A window of observations that one decision rests on.
WINDOW_SECONDS = 0.5
WINDOW_FIRST_TOKENS = 4

# First tokens tell of a queue inside the engine when they take this many times
# the steps of the best window, and at least so many steps.
FIRST_TOKEN_TOLERANCE = 4.0
FIRST_TOKEN_STEPS = 6.0

# The step time, against its unloaded minimum, beyond which more streams
# bring little but longer steps.
STEP_TOLERANCE = 2.5

# The weight of the newest step in the mean step time.
STEP_WEIGHT = 0.05

# The limit grows by this factor until it first proves too high.
RAMP_FACTOR = 1.5

# The share of the limit that is kept after a window that was too slow.
DECREASE_FACTOR = 0.85

# A minimum is forgotten after so long, so that a changed engine is seen.
MINIMUM_SECONDS = 300.0

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

    def observe_step(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of one stream."""

    def observe_end(self, id: str, now: float) -> None:
        """Note that a stream has ended, however it did."""

    def must_yield(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to cancel or pause at once.

        `running_batch` doesn't count the due stream beyond the limit.
        """


def count_yield(
    limit: int, waiting_online: int, running_online: int, running_batch: int
) -> int:
    """Return how many batch streams stand in the way of waiting online ones."""
    wanted = min(running_online + waiting_online, limit)
    excess = wanted + running_batch - limit
    return max(min(excess, running_batch), 0)


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

    def observe_step(self, seconds: float, now: float) -> None:
        """Learn nothing."""

    def observe_end(self, id: str, now: float) -> None:
        """Learn nothing."""

    def must_yield(
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
        self._window: list[float] = []

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


class AdaptiveAdmission:
    """Find the engine's limit by additive increase, multiplicative decrease.

    `initial` is where the limit starts; it stays within `least` and `most`
    streams. Batch streams fill up to the same limit as long as no online
    stream waits; `must_yield` clears them away when one does. A service that
    answers without steps gives each answer as a first token; `batch_prefills`
    then bounds its batch calls.
    """

    def __init__(
        self,
        initial: int = 8,
        least: int = 1,
        most: int = 256,
        batch_prefills: int = BATCH_PREFILLS,
    ):
        self.limit = float(initial)
        self._least = float(least)
        self._most = float(most)
        self._batch_prefills = batch_prefills
        self._started: dict[str, float] = {}
        self._prefilling: set[str] = set()
        self._first_token = _Signal()
        self._step = _Signal()
        self._mean_step = 0.0
        self._window_start = -math.inf
        self._peak = 0
        self._is_ramping = True

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Tell whether one more stream may start now."""
        if batch and len(self._prefilling) >= self._batch_prefills:
            return False
        return running_online + running_batch < int(self.limit)

    def may_admit_due(self, running_due: int) -> bool:
        """Keep one slot beyond the limit for due batch work."""
        return running_due < 1

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Note that a stream was handed to the engine."""
        self._started[id] = now
        if batch:
            self._prefilling.add(id)
        self._peak = max(self._peak, len(self._started))

    def observe_first_token(self, id: str, now: float) -> None:
        """Note a stream's first token, or the answer of a plain service.

        Streams from before this window met the limit of an earlier one.
        """
        self._prefilling.discard(id)
        started = self._started.get(id)
        if started is None or started < self._window_start:
            return
        self._first_token.add((now - started) / (self._mean_step or 1.0))
        self._decide(now)

    def observe_step(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of one stream."""
        weight = STEP_WEIGHT if self._mean_step else 1.0
        self._mean_step += weight * (seconds - self._mean_step)
        self._step.add(seconds)
        self._decide(now)

    def observe_end(self, id: str, now: float) -> None:
        """Note that a stream has ended, however it did."""
        self._started.pop(id, None)
        self._prefilling.discard(id)

    def _decide(self, now: float) -> None:
        if now - self._window_start < WINDOW_SECONDS:
            return
        if len(self._first_token) < WINDOW_FIRST_TOKENS:
            return
        if self._is_slow(now):
            self.limit = max(self.limit * DECREASE_FACTOR, self._least)
            self._is_ramping = False
        elif self._peak >= int(self.limit):
            grown = self.limit * RAMP_FACTOR if self._is_ramping else self.limit
            self.limit = min(max(grown, self.limit + 1.0), self._most)
        self._window_start = now
        self._peak = len(self._started)

    def _is_slow(self, now: float) -> bool:
        steps, best = self._first_token.close(now)
        seconds, unloaded = self._step.close(now)
        is_queued = steps > FIRST_TOKEN_TOLERANCE * best
        if self._mean_step:
            is_queued = is_queued and steps > FIRST_TOKEN_STEPS
        return is_queued or seconds > STEP_TOLERANCE * unloaded

    def must_yield(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to cancel or pause at once."""
        limit = int(self.limit)
        return count_yield(limit, waiting_online, running_online, running_batch)
