"""Follow the members through the log.

A change of members is in force from the moment its entry joins the log, not
when it is committed, and goes when that entry is cut off again.
"""

import msgspec

from sapphireseam.state import log as logs, message

Members = tuple[message.Member, ...]


def encode(members: Members) -> bytes:
    """Return what a MEMBERS entry holds."""
    return msgspec.msgpack.encode(members)


class Roster:
    """Hold the members of the newest entry, and those it may fall back to."""

    def __init__(self):
        self._held: list[tuple[int, Members]] = [(0, ())]

    @property
    def members(self) -> Members:
        """Return the newest members in the log, committed or not."""
        return self._held[-1][1]

    @property
    def index(self) -> int:
        """Return the index of the entry that holds the newest members."""
        return self._held[-1][0]

    def read(self, index: int) -> Members:
        """Return the members as of an index that isn't behind the snapshot."""
        return next(held for at, held in reversed(self._held) if at <= index)

    def load(self, index: int, members: Members, log: logs.Log) -> None:
        """Begin with the members as of an index and follow the log from there."""
        self._held = [(index, members)]
        start = max(index, log.base_index) + 1
        for position in range(start, log.last_index + 1):
            self.add_entry(log.get(position))

    def add_entry(self, entry: message.Entry) -> None:
        """Note an entry that joined the log."""
        if entry.kind == message.MEMBERS:
            members = msgspec.msgpack.decode(entry.data, type=Members)
            self._held.append((entry.index, members))

    def truncate(self, index: int) -> None:
        """Forget what came with the entry at the index and those behind it."""
        self._held = [item for item in self._held if item[0] < index]
