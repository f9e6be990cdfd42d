"""Decide how many streams an engine runs at once.

An engine admits all that arrives and queues the rest inside, where no order
can be kept. So the limit here follows what the engine does: while the time to
first token and the step time stay near their unloaded minimum it grows by
one a window, and it shrinks by a share as soon as they don't.
"""

import math
from typing import NamedTuple, Protocol

# A window of observations that one decision rests on.
WINDOW_SECONDS = 0.5
WINDOW_FIRST_TOKENS = 4

# The time to first token, against its unloaded minimum, that tells of a
# queue inside the engine.
FIRST_TOKEN_TOLERANCE = 2.0

# The step time, against its unloaded minimum, beyond which more streams
# bring little but longer steps.
STEP_TOLERANCE = 2.5

# The share of the limit that is kept after a window that was too slow.
DECREASE_FACTOR = 0.85

# A minimum is forgotten after so long, so that a changed engine is seen.
MINIMUM_SECONDS = 300.0


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
    """Compare a window's typical value with the unloaded minimum."""

    def __init__(self):
        self._minimum = _Minimum(math.inf, -math.inf)
        self._window: list[float] = []

    def add(self, value: float, now: float) -> None:
        self._window.append(value)
        is_old = now - self._minimum.seen > MINIMUM_SECONDS
        if value <= self._minimum.value or is_old:
            self._minimum = _Minimum(value, now)

    def __len__(self) -> int:
        return len(self._window)

    def close(self) -> float:
        """Return the window's median over the minimum; 0 for an empty one."""
        if not self._window or self._minimum.value <= 0.0:
            self._window.clear()
            return 0.0
        values = sorted(self._window)
        self._window.clear()
        return values[len(values) // 2] / self._minimum.value


class AdaptiveAdmission:
    """Find the engine's limit by additive increase, multiplicative decrease.

    `initial` is where the limit starts; it stays within `least` and `most`
    streams. Batch streams fill up to the same limit as long as no online
    stream waits; `must_yield` clears them away when one does.
    """

    def __init__(self, initial: int = 8, least: int = 1, most: int = 256):
        self.limit = float(initial)
        self._least = float(least)
        self._most = float(most)
        self._started: dict[str, float] = {}
        self._first_token = _Signal()
        self._step = _Signal()
        self._window_start = -math.inf
        self._peak = 0

    def may_admit(self, batch: bool, running_online: int, running_batch: int) -> bool:
        """Tell whether one more stream may start now."""
        return running_online + running_batch < int(self.limit)

    def may_admit_due(self, running_due: int) -> bool:
        """Keep one slot beyond the limit for due batch work."""
        return running_due < 1

    def observe_start(self, id: str, batch: bool, now: float) -> None:
        """Note that a stream was handed to the engine."""
        self._started[id] = now
        self._peak = max(self._peak, len(self._started))

    def observe_first_token(self, id: str, now: float) -> None:
        """Note a stream's first token, or the answer of a plain service."""
        started = self._started.get(id)
        if started is None:
            return
        self._first_token.add(max(now - started, 0.0), now)
        self._decide(now)

    def observe_step(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of one stream."""
        self._step.add(seconds, now)
        self._decide(now)

    def observe_end(self, id: str, now: float) -> None:
        """Note that a stream has ended, however it did."""
        self._started.pop(id, None)

    def _decide(self, now: float) -> None:
        if now - self._window_start < WINDOW_SECONDS:
            return
        if len(self._first_token) < WINDOW_FIRST_TOKENS:
            return
        is_slow = self._first_token.close() > FIRST_TOKEN_TOLERANCE
        is_slow = self._step.close() > STEP_TOLERANCE or is_slow
        if is_slow:
            self.limit = max(self.limit * DECREASE_FACTOR, self._least)
        elif self._peak >= int(self.limit):
            self.limit = min(self.limit + 1.0, self._most)
        self._window_start = now
        self._peak = len(self._started)

    def must_yield(
        self, waiting_online: int, running_online: int, running_batch: int
    ) -> int:
        """Return how many batch streams to cancel or pause at once."""
        limit = int(self.limit)
        return count_yield(limit, waiting_online, running_online, running_batch)
