"""Stores a process's latest events for the timeline of the whole fleet.

Events are stored in a bounded list. A process sends its new events to a control VM
over its watch connection. `seam-ctl timeline` merges the events of all processes
by their clocks.
"""

from collections import Counter, deque

from sapphireseam.core import event
from sapphireseam.utils import metric
from sapphireseam.utils.timer import TimerService

# Number of events that one process stores; older ones are discarded.
CAPACITY = 20_000
# Events whose detail is an error kind. Only these details become metric labels,
# as error kinds are a closed list.
_EVENTS_WITH_ERROR_KIND = frozenset({"refused", "cut", "retry"})


class Timeline:
    """Record events with a hybrid logical clock, which follows causal order."""

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
        """Record an event of this process."""
        self._counts[name, detail if name in _EVENTS_WITH_ERROR_KIND else ""] += 1
        clock = self.clock.tick(self._timer.read_wall_clock())
        self._events.append(
            event.Event(
                clock, self.node, name, subject, customer, key, revision, detail
            )
        )

    def report(self, meter: metric.Meter) -> None:
        """Register the count of each event in this process as a metric."""

        def read() -> list[metric.Value]:
            return [
                (count, {"event": name, "kind": str(kind)})
                for (name, kind), count in self._counts.items()
            ]

        meter.read_many(metric.EVENTS, read)

    def add_remote(self, events: tuple[event.Event, ...]) -> None:
        """Add events from other processes and advance the clock to theirs."""
        for item in events:
            self.clock.update(item.clock)
        self._events.extend(events)

    def read(self, since: float = 0.0) -> tuple[event.Event, ...]:
        """Return the events with a clock above `since`, ordered by clock."""
        return tuple(sorted(item for item in self._events if item.clock > since))
