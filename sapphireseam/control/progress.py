"""Follow the output of one item of a lot while it runs."""

from sapphireseam.control import record
from sapphireseam.control.bulk import EVENT_SEPARATOR
from sapphireseam.core import command
from sapphireseam.utils import event


class ItemProgress:
    """Hold what is known of an item that isn't listed yet.

    The log keeps its output up to event `kept_event`; `data` is what came since.
    """

    def __init__(self, kept: record.Partial | None):
        self.saved_event = kept.last if kept else -1
        self.last_event = self.saved_event
        self.data: list[bytes] = []
        # Counts the beginnings, so that a part of an earlier one is known for it.
        self.attempt = 0
        self.failures = 0
        self.disconnects = 0
        self.not_before = 0.0
        self.excluded: frozenset[str] = frozenset()
        # The upstream answered without an id to resume behind.
        self.is_resumable = True

    @property
    def events(self) -> int:
        """Return how many events the item has put out."""
        return self.last_event + 1

    def reset(self) -> None:
        """Forget the output, to begin at the beginning."""
        self.data.clear()
        self.saved_event = self.last_event = -1
        self.attempt += 1

    def render_unsaved(self) -> bytes:
        """Return what came since the log last kept something."""
        return EVENT_SEPARATOR.join(self.data)

    def append_event(self, item: event.Event) -> None:
        """Add an event's data, unless it stands there already."""
        if item.number < 0:
            self.is_resumable = False
        elif item.number <= self.last_event:
            return
        else:
            self.last_event = item.number
        self.data.append(item.data)

    def draft_part(self, lot: str, item: int) -> command.LotPart:
        """Return what the log is to keep next."""
        return command.LotPart(
            lot, item, self.saved_event, self.last_event, self.render_unsaved()
        )
