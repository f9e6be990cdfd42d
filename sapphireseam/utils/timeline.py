"""Keep a process's latest events, for the time line over all processes.

Events stay in a bounded list; a process sends new ones to a control VM along
with its watch. `seam-ctl timeline` merges them by their clocks.
"""

from collections import Counter, deque

from sapphireseam.core import event
from sapphireseam.utils import metric
from sapphireseam.utils.timer import TimerService

# Events that one process keeps.
CAPACITY = 20_000
# Events whose detail is an error kind, and so belongs to a closed list.
_KINDED = frozenset({"refused", "cut", "retry"})


class Timeline:
    """Record events with a clock that respects cause and effect."""

    def __init__(self, node: str, timer: TimerService):
        self.node = node
        self.clock = event.Clock()
        self._timer = timer
        self._counts: Counter[tuple[str, str]] = Counter()
        self._events: deque[event.Event] = deque(maxlen=CAPACITY)

    def record(
        self,
        name: str,
        subject: str = "",
        customer: str = "",
        key: str = "",
        revision: int = 0,
        detail: str = "",
    ) -> None:
        """Add an event of this process."""
        self._counts[name, detail if name in _KINDED else ""] += 1
        clock = self.clock.tick(self._timer.read_wall_clock())
        self._events.append(
            event.Event(
                clock, self.node, name, subject, customer, key, revision, detail
            )
        )

    def report(self, meter: metric.Meter) -> None:
        """Let collectors read how often each event happened here."""

        def read() -> list[metric.Value]:
            return [
                (count, {"event": name, "kind": str(kind)})
                for (name, kind), count in self._counts.items()
            ]

        meter.read_many(metric.EVENTS, read)

    def extend(self, events: tuple[event.Event, ...]) -> None:
        """Add events that other processes sent."""
        for item in events:
            self.clock.update(item.clock)
        self._events.extend(events)

    def read(self, since: float = 0.0) -> tuple[event.Event, ...]:
        """Return the events after a clock value, in the order of clocks."""
        return tuple(sorted(item for item in self._events if item.clock > since))
