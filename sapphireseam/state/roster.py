"""Tracks the member lists that the log holds.

A change of members takes effect when its entry is appended, before it is
committed, and is undone if that entry is truncated.
"""

import msgspec

from sapphireseam.state import log as logs, message

Members = tuple[message.Member, ...]


def encode(members: Members) -> bytes:
    """Return the data of a MEMBERS entry."""
    return msgspec.msgpack.encode(members)


class Roster:
    """The newest member list and the earlier ones, which a truncation restores."""

    def __init__(self):
        self._lists: list[tuple[int, Members]] = [(0, ())]

    @property
    def members(self) -> Members:
        """Return the newest member list in the log, committed or not."""
        return self._lists[-1][1]

    @property
    def index(self) -> int:
        """Return the index of the entry with the newest member list."""
        return self._lists[-1][0]

    def read(self, index: int) -> Members:
        """Return the members as of an index, which must not precede the snapshot."""
        return next(
            members for start, members in reversed(self._lists) if start <= index
        )

    def load(self, index: int, members: Members, log: logs.Log) -> None:
        """Set the members as of an index and read later lists from the log."""
        self._lists = [(index, members)]
        start = max(index, log.base_index) + 1
        for position in range(start, log.last_index + 1):
            self.add_entry(log.get(position))

    def add_entry(self, entry: message.Entry) -> None:
        """Record the member list of an appended entry, if it has one."""
        if entry.kind == message.MEMBERS:
            members = msgspec.msgpack.decode(entry.data, type=Members)
            self._lists.append((entry.index, members))

    def truncate(self, index: int) -> None:
        """Drop the member lists of the entry at the index and of all later ones."""
        self._lists = [item for item in self._lists if item[0] < index]
