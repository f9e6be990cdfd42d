"""Simulates an engine's prefix cache and the unreliable events it publishes.

Prompts are cached in blocks of `BLOCK_TOKENS` tokens. A block's name is
derived from its text and all the text before it, so equal names mean equal
prefixes. The cache is bounded and evicts the least recently used block first.
Events report which blocks were stored or removed. They are published late, and
lost events leave gaps in the numbers, so readers may use events as hints only.
"""

import collections
import hashlib
import random
from typing import NamedTuple

from sapphireseam.tools import answer
from sapphireseam.utils import timer

BLOCK_TOKENS = 16
BLOCK_CHARACTERS = BLOCK_TOKENS * answer.CHARACTERS_PER_TOKEN
# Latest events kept for readers that poll late.
EVENTS_KEPT = 4096


class CacheEvent(NamedTuple):
    """Blocks that were stored or removed; `number` rises by one with each event."""

    number: int
    kind: str
    blocks: list[str]
    due: float


def compute_blocks(model: str, prompt: str) -> list[str]:
    """Return the names of the prompt's complete blocks, first to last.

    Each name is the 8-byte BLAKE2b digest, in hexadecimal, of the previous
    block's name (for the first block: the model's name) and the block's text.
    """
    names = []
    parent = model
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        text = prompt[start : start + BLOCK_CHARACTERS]
        data = f"{parent}\0{text}".encode()
        parent = hashlib.blake2b(data, digest_size=8).hexdigest()
        names.append(parent)
    return names


class PrefixCache:
    """An LRU cache of at most `capacity` blocks that publishes its changes."""

    def __init__(
        self,
        capacity: int,
        delay: float,
        loss: float,
        random_source: random.Random,
        timer_service: timer.TimerService,
    ):
        self.capacity = capacity
        self._delay = delay
        self._loss = loss
        self._random = random_source
        self._timer = timer_service
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._number = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS_KEPT
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, blocks: list[str]) -> int:
        """Return how many leading blocks are cached, then cache those that fit."""
        hits = 0
        for name in blocks:
            if name not in self._blocks:
                break
            hits += 1
        fitting = blocks[: self.capacity]
        stored = [name for name in fitting if name not in self._blocks]
        # The first blocks are shared by the most prompts, so they are marked as
        # used last and evicted last.
        for name in reversed(fitting):
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        removed = []
        while len(self._blocks) > self.capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", stored)
        self._publish("removed", removed)
        return hits

    def clear(self) -> None:
        """Drop all blocks and events, as a restart does, and publish no event."""
        self._blocks.clear()
        self._events.clear()

    def _publish(self, kind: str, blocks: list[str]) -> None:
        if not blocks:
            return
        self._number += 1
        if self._random.random() < self._loss:
            return
        due = self._timer.read_clock() + self._delay
        self._events.append(CacheEvent(self._number, kind, blocks, due))

    def list_events(self, after: int) -> list[CacheEvent]:
        """Return the events numbered above `after` whose delay has passed."""
        now = self._timer.read_clock()
        return [
            event for event in self._events if event.number > after and event.due <= now
        ]
