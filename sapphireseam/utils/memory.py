"""Shares the memory that one process has for the bytes of callers and answers.

Each request and answer has a limit of its own, but many at once would still exceed the
memory of a VM.

    share = budget.open()
    share.resize(len(body))  # raises BudgetError
    share.close()
"""

import ctypes
import os
from collections.abc import Callable
from pathlib import Path

from sapphireseam.core import error
from sapphireseam.policy import eviction

MEBIBYTE = 1024 * 1024
# Share of the memory beyond that of the process at rest which is budgeted. The sum of
# all shares may reach twice the budget, and the rest is for what isn't counted.
BUDGET_SHARE = 1 / 3
# What a process grows by from its start until it serves callers, in bytes.
RESERVE_BYTES = 14 * MEBIBYTE
# While evicted bytes haven't been let go, only small shares grow beyond this multiple
# of the budget.
LEAVING_FACTOR = 1.5
# A process can't serve callers with less, in bytes.
MIN_BUDGET_BYTES = 2 * MEBIBYTE
# The largest budget without a setting, in bytes.
MAX_DEFAULT_BYTES = 256 * MEBIBYTE
# Blocks of at least this size are mapped by themselves, and the heap keeps at most so
# many free bytes at its end.
LARGE_BLOCK_BYTES = 128 * 1024
KEPT_HEAP_BYTES = 2 * MEBIBYTE
# The options' numbers in malloc.h.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_STATUS_PATH = Path("/proc/self/status")


class BudgetError(Exception):
    """The budget is spent, and this share is above an equal part of it."""


class Share:
    """The bytes that one request, connection or answer holds.

    A share with `evict` may be chosen to go while it is evictable; `evict` is called
    then, and the owner closes the share as soon as it has let the bytes go.
    """

    __slots__ = ("_budget", "evict", "is_evictable", "missing", "progressed", "size")

    def __init__(self, budget: "MemoryBudget", evict: Callable[[], None] | None):
        self._budget = budget
        self.evict = evict
        self.is_evictable = evict is not None
        self.size = 0
        self.progressed = 0.0
        self.missing: int | None = None

    def resize(self, size: int) -> None:
        """Record the new size in bytes, or raise `BudgetError`."""
        self._budget.change(self, size)

    def close(self) -> None:
        """Record that nothing is held any more."""
        self._budget.change(self, 0)


class MemoryBudget:
    """Share `max_bytes` among the requests, connections and answers of a process.

    If the sum would exceed `max_bytes`, other shares are evicted as `eviction.choose`
    says. If that doesn't help, shares above an equal part can't grow. So a small one
    isn't refused because of large ones, and the sum stays below twice `max_bytes`.
    """

    def __init__(self, max_bytes: int, read_clock: Callable[[], float] = lambda: 0.0):
        self.max_bytes = max_bytes
        self._read_clock = read_clock
        self._total = 0
        self._count = 0
        self._evictable: set[Share] = set()
        # Bytes of shares that were evicted and aren't closed yet.
        self._leaving: dict[Share, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the sum of all shares."""
        return self._total

    def open(self, evict: Callable[[], None] | None = None) -> Share:
        """Return an empty share."""
        return Share(self, evict)

    def change(self, share: Share, new: int) -> None:
        """Change the size of one share, or raise `BudgetError`."""
        old = share.size
        total = self._total - old + new
        count = self._count - bool(old) + bool(new)
        if new > old and total > self.max_bytes:
            self._make_room(share, new, total, count)
            # An owner may have closed its share at once.
            total = self._total - old + new
            count = self._count - bool(old) + bool(new)
        self._total = total
        self._count = count
        share.size = new
        self._leaving.pop(share, None)
        if share.evict is not None:
            (self._evictable.add if new else self._evictable.discard)(share)

    def _make_room(self, share: Share, new: int, total: int, count: int) -> None:
        excess = total - self.max_bytes - sum(self._leaving.values())
        victims = self._choose(share, excess, new) if excess > 0 else []
        is_helped = excess <= 0 or bool(victims)
        is_helped = is_helped and total < LEAVING_FACTOR * self.max_bytes
        is_small = new * count <= self.max_bytes
        if total >= 2 * self.max_bytes or not (is_helped or is_small):
            raise BudgetError(f"{total} bytes are held for callers")
        for victim in victims:
            self._leaving[victim] = victim.size
            victim.evict()

    def _choose(self, asker: Share, excess: int, new: int) -> list[Share]:
        holders = [
            eviction.Holder(share, share.size, share.progressed, share.missing)
            for share in self._evictable
            if share.is_evictable and share is not asker and share not in self._leaving
        ]
        return eviction.choose(holders, excess, new, self._read_clock())


def make_budget(
    memory_mb: float | None,
    read_clock: Callable[[], float],
    budget_share: float = BUDGET_SHARE,
) -> MemoryBudget:
    """Return the budget of a process on a VM with this memory.

    `budget_share` is its part of what the process at rest leaves. Without a setting the
    memory of the system counts, up to `MAX_DEFAULT_BYTES` of
    budget. Raises `SettingsError` if the memory can't be enough.
    """
    rest = read_status("VmRSS") + RESERVE_BYTES
    if memory_mb is None:
        whole = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        size = min(int((whole - rest) * budget_share), MAX_DEFAULT_BYTES)
    else:
        size = int((memory_mb * MEBIBYTE - rest) * budget_share)
    if size < MIN_BUDGET_BYTES:
        text = (
            f"memory_mb is {memory_mb}, too little: the process uses"
            f" {rest // MEBIBYTE} MB at rest"
        )
        raise error.SettingsError(text)
    return MemoryBudget(size, read_clock)


def limit_heap() -> None:
    """Let the C library return large blocks to the system as soon as they are freed.

    By default it keeps blocks of the sizes that were freed before, so that many large
    bodies would leave their memory with the process.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return
    set_option(_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    set_option(_TRIM_THRESHOLD, KEPT_HEAP_BYTES)


def read_status(name: str, path: Path = _STATUS_PATH) -> int:
    """Return a size of a process in bytes, 0 if the system doesn't tell it."""
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * 1024
    return 0
