"""Limits the bytes of unfinished answers that one process buffers at the same time.

Each answer has a limit of its own, but many large ones at once would still exceed the
memory of a VM.

    share = limit.open()
    share.resize(len(body))  # raises BufferLimitError
    share.close()
"""


class BufferLimitError(Exception):
    """The buffers are full, and this one has more than its equal part of them."""


class Share:
    """The bytes that one answer buffers."""

    def __init__(self, limit: "BufferLimit"):
        self._limit = limit
        self._size = 0

    def resize(self, size: int) -> None:
        """Record the buffer's new size in bytes, or raise `BufferLimitError`."""
        self._limit.change(self._size, size)
        self._size = size

    def close(self) -> None:
        """Record that the buffer is empty."""
        self.resize(0)


class BufferLimit:
    """Share `max_bytes` among the buffers of a process.

    While the sum exceeds `max_bytes`, buffers above an equal part of it can't grow.
    So a small answer isn't refused because of large ones, and the sum stays below
    twice `max_bytes`.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._total = 0
        self._count = 0

    def open(self) -> Share:
        """Return an empty buffer's share."""
        return Share(self)

    def change(self, old: int, new: int) -> None:
        """Change the size of one buffer, or raise `BufferLimitError`."""
        total = self._total - old + new
        count = self._count - bool(old) + bool(new)
        if new > old and total > self._max_bytes and new * count > self._max_bytes:
            raise BufferLimitError(f"{total} bytes of unfinished answers are buffered")
        self._total = total
        self._count = count
