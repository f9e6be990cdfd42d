"""Limits how many streams an engine runs at once.

An engine accepts every request and queues the excess internally, where
requests can't be reordered. So the limit follows measurements of the engine.
It shrinks by a fraction when the step time is a multiple of the unloaded step
time, since more streams then add little throughput. It also shrinks when first
tokens take many steps, since streams then wait inside the engine. Otherwise it
doubles per window until it is first too high, and then grows by one stream per
window. The time to a first token is counted in steps to keep the two causes
apart. Medians of windows are compared so that the mix of prompt lengths doesn't
change the limit.

Batch streams have their own limit. It is found in the same way from the first
tokens of batch streams, but with stricter thresholds: an online request should
find a slot that is free or that a batch stream can release, and should never
wait in the engine's queue. Batch streams start one at a time, each only after
the previous one has its first token. Any online request preempts a batch stream
that has no first token yet, so no online prompt waits for a batch prompt.

Each online stream displaces more than one batch stream. A stream slows down as
more streams run beside it, so filling every slot during online work would cost
the online streams more than the idle slots are worth.
"""

import math
from collections import deque
from typing import NamedTuple, Protocol

# Shortest window, and fewest first tokens in it, after which a limit changes.
WINDOW_SECONDS = 0.5
WINDOW_FIRST_TOKENS = 4

# Streams are assumed to queue inside the engine when the median first token takes
# more than *_TOLERANCE times the steps of the best window and more than *_STEPS
# steps.
ONLINE_TOLERANCE = 4.0
ONLINE_STEPS = 6.0
BATCH_TOLERANCE = 1.5
BATCH_STEPS = 3.0

# Used instead of BATCH_STEPS where online tail latency matters more than batch
# throughput.
TAIL_BATCH_STEPS = 1.5

# Above this multiple of the unloaded step time, more streams lengthen the steps and
# add little throughput.
STEP_TOLERANCE = 2.5

# Weight of the newest step in the moving average of the step time.
STEP_WEIGHT = 0.05

# The limit grows by this factor per window until it is first too high.
RAMP_FACTOR = 2.0

# The limit is multiplied by this after a window that was too slow.
DECREASE_FACTOR = 0.85

# Maximum number of values in one window; older values are dropped.
WINDOW_VALUES = 2048

# The lowest median expires after this time, so that the limit follows a changed engine.
MINIMUM_SECONDS = 300.0

# Batch streams that one online stream displaces.
HEADROOM = 1.5

# Maximum number of batch streams that wait for their first token.
BATCH_PREFILLS = 1


class Admission(Protocol):
    """Limits the streams of one engine. Times are monotonic seconds."""

    limit: float

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Return whether one more stream of this kind may start now."""

    def may_admit_due(self, running_due: int) -> bool:
        """Return whether the slot beyond the limit is free for due batch work."""

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Record that a stream was sent to the engine."""

    def observe_first_token(self, id: str, now: float) -> None:
        """Record a stream's first token, or the answer of a plain service."""

    def assume_prefilled(self, id: str) -> None:
        """Stop waiting for a first token; the answer comes in one piece."""

    def observe_step(self, seconds: float, now: float) -> None:
        """Record the time between two tokens of one stream."""

    def observe_end(self, id: str, now: float) -> None:
        """Record that a stream has ended for any reason."""

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to preempt (cancel or pause) now.

        `running_batch` doesn't include the due stream beyond the limit.
        """


class FixedAdmission:
    """Admits up to a fixed number of streams of either kind (the baseline).

    Batch streams are never preempted.
    """

    def __init__(self, limit: int):
        self.limit = float(limit)

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Return whether one more stream may start now."""
        return running_online + running_batch < self.limit

    def may_admit_due(self, running_due: int) -> bool:
        """Return false: there is no slot beyond the limit."""
        return False

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Do nothing, since the limit is fixed."""

    def observe_first_token(self, id: str, now: float) -> None:
        """Do nothing, since the limit is fixed."""

    def assume_prefilled(self, id: str) -> None:
        """Do nothing, since the limit is fixed."""

    def observe_step(self, seconds: float, now: float) -> None:
        """Do nothing, since the limit is fixed."""

    def observe_end(self, id: str, now: float) -> None:
        """Do nothing, since the limit is fixed."""

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return 0: batch streams run to their end."""
        return 0


class _Minimum(NamedTuple):
    """The lowest value and the time of its observation."""

    value: float
    observed_at: float


class _MedianTracker:
    """Compares the median of a window with the lowest median of recent windows."""

    def __init__(self):
        self._minimum = _Minimum(math.inf, -math.inf)
        self._window: deque[float] = deque(maxlen=WINDOW_VALUES)

    def add(self, value: float) -> None:
        self._window.append(value)

    def __len__(self) -> int:
        return len(self._window)

    def close(self, now: float) -> tuple[float, float]:
        """Return the window's median and the lowest median, and start a new window.

        Both are 0 if the window is empty.
        """
        if not self._window:
            return 0.0, 0.0
        values = sorted(self._window)
        self._window.clear()
        median = values[len(values) // 2]
        is_expired = now - self._minimum.observed_at > MINIMUM_SECONDS
        if median <= self._minimum.value or is_expired:
            self._minimum = _Minimum(median, now)
        return median, self._minimum.value


class _AimdLimit:
    """Adjusts one limit by additive increase, multiplicative decrease.

    The limit grows only after a window in which a stream had to wait for it.
    """

    def __init__(self, value: float, minimum: float, maximum: float):
        self.value = value
        self._minimum = minimum
        self._maximum = maximum
        self.is_ramping = True
        self.is_reached = False

    def decrease(self) -> None:
        self.value = max(self.value * DECREASE_FACTOR, self._minimum)
        self.is_ramping = False

    def increase(self) -> None:
        grown = self.value * RAMP_FACTOR if self.is_ramping else self.value
        self.value = min(max(grown, self.value + 1.0), self._maximum)


class _FirstTokenWindow:
    """Collects the first tokens of online or batch streams over one window.

    Streams that started before the window ran under an earlier limit and
    aren't counted.
    """

    def __init__(self, tolerance: float, min_steps: float):
        self._tolerance = tolerance
        self._min_steps = min_steps
        self._steps = _MedianTracker()
        self._start = -math.inf

    def add(self, started: float, now: float, step: float) -> None:
        if started >= self._start:
            self._steps.add((now - started) / (step or 1.0))

    def is_full(self, now: float, is_ramping: bool) -> bool:
        long_enough = is_ramping or now - self._start >= WINDOW_SECONDS
        return long_enough and len(self._steps) >= WINDOW_FIRST_TOKENS

    def close(self, now: float, has_steps: bool) -> bool:
        """Start the next window; return whether streams queued in the engine."""
        self._start = now
        steps, best = self._steps.close(now)
        if has_steps and steps <= self._min_steps:
            return False
        return steps > self._tolerance * best


class AdaptiveAdmission:
    """Finds the engine's limits by additive increase, multiplicative decrease.

    The limits start at `initial` and stay between `minimum` and `maximum`
    streams. `limit` applies to online streams. `batch_limit` is the total number
    of streams below which a batch stream may start. `count_preemptions` returns
    how many batch streams to preempt while an online stream waits. If a service
    answers without steps, each answer counts as a first token, and
    `batch_prefills` limits its batch calls. A lower `headroom`, down to 1, and
    more `batch_steps` raise batch throughput and lengthen the online tail.
    """

    def __init__(
        self,
        initial: int = 8,
        minimum: int = 1,
        maximum: int = 256,
        batch_prefills: int = BATCH_PREFILLS,
        headroom: float = HEADROOM,
        batch_steps: float = BATCH_STEPS,
    ):
        self._online_limit = _AimdLimit(float(initial), float(minimum), float(maximum))
        self._batch_limit = _AimdLimit(float(initial), float(minimum), float(maximum))
        self._online_window = _FirstTokenWindow(ONLINE_TOLERANCE, ONLINE_STEPS)
        self._batch_window = _FirstTokenWindow(BATCH_TOLERANCE, batch_steps)
        self._batch_prefills = batch_prefills
        self._headroom = headroom
        self._started: dict[str, float] = {}
        self._batch: set[str] = set()
        self._prefilling: set[str] = set()
        self._step_seconds = _MedianTracker()
        self._mean_step = 0.0

    @property
    def limit(self) -> float:
        """Return the number of streams below which an online stream may start.

        It is never below the batch limit, since a number of streams that was found
        possible for batch work is possible for online work too.
        """
        return max(self._online_limit.value, self._batch_limit.value)

    @property
    def batch_limit(self) -> float:
        """Return the number of streams below which a batch stream may start."""
        return self._batch_limit.value

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Return whether one more stream may start now."""
        if batch:
            if len(self._prefilling) >= self._batch_prefills:
                return False
            has_room = running_batch < self._count_batch_slots(running_online)
            self._batch_limit.is_reached |= not has_room
            return has_room
        has_room = running_online + running_batch < int(self.limit)
        self._online_limit.is_reached |= not has_room
        return has_room

    def may_admit_due(self, running_due: int) -> bool:
        """Return whether the one slot beyond the limit is free for due batch work."""
        return running_due < 1

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Record that a stream was sent to the engine."""
        self._started[id] = now
        if batch:
            self._batch.add(id)
            self._prefilling.add(id)

    def observe_first_token(self, id: str, now: float) -> None:
        """Record a stream's first token, or the answer of a plain service."""
        self._prefilling.discard(id)
        started = self._started.get(id)
        if started is None:
            return
        window = self._batch_window if id in self._batch else self._online_window
        window.add(started, now, self._mean_step)
        limit = self._batch_limit if id in self._batch else self._online_limit
        if window.is_full(now, limit.is_ramping):
            self._adjust(window, limit, now)

    def assume_prefilled(self, id: str) -> None:
        """Stop waiting for a first token; the answer comes in one piece."""
        self._prefilling.discard(id)

    def observe_step(self, seconds: float, now: float) -> None:
        """Record the time between two tokens of one stream."""
        weight = STEP_WEIGHT if self._mean_step else 1.0
        self._mean_step += weight * (seconds - self._mean_step)
        self._step_seconds.add(seconds)

    def observe_end(self, id: str, now: float) -> None:
        """Record that a stream has ended for any reason."""
        self._started.pop(id, None)
        self._batch.discard(id)
        self._prefilling.discard(id)

    def _adjust(self, window: _FirstTokenWindow, limit: _AimdLimit, now: float) -> None:
        """Raise or lower a limit after a window of first tokens and steps.

        A number of streams too high for online streams is too high for batch
        streams, so the batch limit stays at or below a lowered online limit.
        """
        is_queued = window.close(now, self._mean_step > 0.0)
        seconds, unloaded = self._step_seconds.close(now)
        is_slow = is_queued or seconds > STEP_TOLERANCE * unloaded
        if is_slow and limit is self._batch_limit:
            limit.decrease()
        elif is_slow:
            limit.value = self.limit
            limit.decrease()
            self._batch_limit.value = min(self._batch_limit.value, limit.value)
        elif limit.is_reached:
            limit.increase()
        limit.is_reached = False

    def count_preemptions(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to preempt (cancel or pause) now.

        Batch streams are preempted only while an online stream waits. Otherwise
        they run to their end.
        """
        if not waiting_online:
            return 0
        online = min(running_online + waiting_online, int(self.limit))
        excess = running_batch - self._count_batch_slots(online)
        return min(max(excess, len(self._prefilling)), running_batch)

    def _count_batch_slots(self, online: int) -> int:
        """Return how many batch streams may run beside `online` online streams."""
        return max(int(self.batch_limit - self._headroom * online), 0)


def make_tail_admission(initial: int = 8) -> AdaptiveAdmission:
    """Return adaptive admission that favours the online tail over batch work."""
    return AdaptiveAdmission(initial, batch_steps=TAIL_BATCH_STEPS)
