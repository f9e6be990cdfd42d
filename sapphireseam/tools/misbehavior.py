"""Plays clients that misbehave at the doors of entries, drawn from a seed.

Each time a few connections send one kind of load and stay open for a while: bodies that
stop short of their end, tiny chunks, heads without an end, requests ahead whose answers
nobody reads, or nothing. No request of theirs is whole and has a route, so none may
reach an upstream.
"""

import asyncio
import collections
import itertools
import random
from collections.abc import Callable, Iterable

# Connections at a time, and times in seconds.
CONNECTIONS = 20
SHORTEST_PAUSE, LONGEST_PAUSE = 0.5, 3.0
SHORTEST_STAY, LONGEST_STAY = 0.5, 4.0
PIECE_SECONDS = 0.01
BODY_BYTES = 1024 * 1024
PIECE = bytes(64 * 1024)
FIELDS = b"a: b\r\n" * 100
CHUNKS = b"1\r\nx\r\n" * 2000


class Client:
    """Misbehaves at one entry at a time; `counts` tells how often in which way.

    `path` has a route, and `key` may use it.
    """

    def __init__(self, entries: tuple[str, ...], path: str, key: str, seed: int):
        self.counts: collections.Counter[str] = collections.Counter()
        self._entries = entries
        self._path = path
        self._key = key
        # A generator of its own, so that the other draws of the seed stay the same.
        self._rng = random.Random(f"misbehavior {seed}")
        self._kinds: dict[str, Callable[[], Iterable[bytes]]] = {
            "body": self._send_body,
            "chunks": self._send_chunks,
            "head": self._send_head,
            "requests ahead": self._send_ahead,
            "silence": lambda: (),
        }

    async def run(self) -> None:
        """Misbehave until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE))
            kind = self._rng.choice(sorted(self._kinds))
            entry = self._rng.choice(self._entries)
            seconds = self._rng.uniform(SHORTEST_STAY, LONGEST_STAY)
            self.counts[f"client {kind}"] += 1
            await asyncio.gather(
                *(self._connect(entry, kind, seconds) for _ in range(CONNECTIONS))
            )

    async def _connect(self, entry: str, kind: str, seconds: float) -> None:
        host, port = entry.rsplit(":", 1)
        try:
            async with asyncio.timeout(seconds):
                _, writer = await asyncio.open_connection(host, int(port))
                try:
                    for piece in self._kinds[kind]():
                        writer.write(piece)
                        await writer.drain()
                        await asyncio.sleep(PIECE_SECONDS)
                    await asyncio.sleep(seconds)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            # To be refused or closed is allowed.
            return

    def _render_head(self, path: str, field: str) -> bytes:
        lines = [f"POST {path} HTTP/1.1", "Host: entry"]
        lines += [f"Authorization: Bearer {self._key}", field, "", ""]
        return "\r\n".join(lines).encode()

    def _send_body(self) -> Iterable[bytes]:
        head = self._render_head(self._path, f"Content-Length: {BODY_BYTES}")
        count = BODY_BYTES // len(PIECE)
        return itertools.chain([head], [PIECE] * (count - 1), [PIECE[1:]])

    def _send_chunks(self) -> Iterable[bytes]:
        head = self._render_head(self._path, "Transfer-Encoding: chunked")
        return itertools.chain([head], [CHUNKS] * 20)

    def _send_head(self) -> Iterable[bytes]:
        return itertools.chain([self._render_head(self._path, "a: b")[:-2]], [FIELDS])

    def _send_ahead(self) -> Iterable[bytes]:
        return [self._render_head("/no-route", "Content-Length: 0") * 20] * 20
