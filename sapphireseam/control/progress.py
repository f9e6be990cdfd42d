"""Tracks the output of one item of a bulk job while it runs."""

import secrets

from sapphireseam.control import record
from sapphireseam.control.bulk import EVENT_SEPARATOR
from sapphireseam.core import command
from sapphireseam.core.instance import Instance
from sapphireseam.policy import origin
from sapphireseam.utils import event

# Size of the random name of an output, in bytes.
LINEAGE_BYTES = 8
# What an event takes beside its data, in bytes.
EVENT_OVERHEAD_BYTES = 16


class ItemProgress:
    """The output and the retry state of an item that has no result yet.

    The output up to event `saved_event` is saved in the log under the name
    `saved_lineage`. `data` holds the events after it, and `lineage` is the name of the
    output with them. All of it comes from upstreams of one `origin`.
    """

    def __init__(self, partial: record.Partial | None):
        self.saved_event = partial.last if partial else -1
        self.saved_lineage = partial.lineage if partial else ""
        self.lineage = secrets.token_hex(LINEAGE_BYTES)
        self.last_event = self.saved_event
        # None if the output was saved without it, or if there is none.
        self.origin: origin.Origin | None = None
        if partial and partial.service:
            self.origin = origin.Origin(partial.service, partial.version)
        self.data: list[bytes] = []
        # Bytes of the whole output, including the saved one and the overhead.
        self.size = len(partial.output) if partial else 0
        # Counts how often the item restarted from the first event. Parts of the
        # output that were proposed before a restart are recognized by it.
        self.attempt = 0
        self.failures = 0
        self.disconnects = 0
        self.not_before = 0.0
        self.excluded: frozenset[str] = frozenset()
        # The upstream at which the item failed without being refused, and since when
        # no other had a slot to continue the output.
        self.unreachable = ""
        self.unreachable_since: float | None = None
        # Becomes False if the upstream sends events without an id, because the
        # item then has no position from which to resume.
        self.is_resumable = True

    @property
    def event_count(self) -> int:
        """Return the number of events that the item has produced."""
        return self.last_event + 1

    def describe(self) -> str:
        """Return the position and the retry state, for the log."""
        version = self.origin.version if self.origin else ""
        return (
            f"event {self.last_event} of version {version!r}, "
            f"{self.failures} failed, {self.disconnects} broken off, "
            f"not before {self.not_before:.1f}, not at {sorted(self.excluded)}"
        )

    def begin_run(self, instance: Instance) -> None:
        """Prepare for a run at an instance, from the first event if it must be."""
        here = origin.get_origin(instance)
        began = self.origin or origin.Origin(instance.service, "")
        if not self.is_resumable or began != here:
            self.reset()
        self.origin = here

    def reset(self) -> None:
        """Discard the output, so that the item starts again from the first event."""
        self.data.clear()
        self.size = 0
        self.saved_event = self.last_event = -1
        self.attempt += 1
        self.unreachable_since = None

    def render_unsaved(self) -> bytes:
        """Return the output that is not saved in the log yet."""
        return EVENT_SEPARATOR.join(self.data)

    def append_event(self, received: event.Event) -> None:
        """Add an event's data unless the event was received before."""
        if received.number < 0:
            self.is_resumable = False
        elif received.number <= self.last_event:
            return
        else:
            self.last_event = received.number
        self.unreachable_since = None
        self.data.append(received.data)
        self.size += len(received.data) + EVENT_OVERHEAD_BYTES

    def draft_part(self, job: str, item: int) -> command.LotPart:
        """Return the next part of the output to save in the log."""
        return command.LotPart(
            job,
            item,
            self.saved_event,
            self.last_event,
            self.render_unsaved(),
            *self.origin,
            self.lineage,
            self.saved_lineage,
        )

    def record_saved(self, part: command.LotPart, count: int) -> None:
        """Record that a part with the first `count` events of `data` is saved."""
        del self.data[:count]
        self.saved_event, self.saved_lineage = part.last, part.lineage
