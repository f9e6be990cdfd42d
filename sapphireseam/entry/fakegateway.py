"""Runs a gateway with fakes around it in a process of its own, for tests of its door.

    python -m sapphireseam.entry.fakegateway ADDRESS PROBE MEMORY_MB KEY

Each request gets the length of its body as its answer, or a large answer at one path.
"""

import asyncio
import sys
from typing import Any

from sapphireseam.core import key
from sapphireseam.entry import claim, gateway
from sapphireseam.tools import fake
from sapphireseam.utils import door, loop, memory
from sapphireseam.utils.probe import Probe
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

BODY_BYTES = 4 * 1024 * 1024
LARGE_PATH = "/safe/large"
LARGE_BYTES = 1024 * 1024
PIECE_BYTES = 64 * 1024
DOCUMENT = {
    "contracts": {"s": {"rate": 1, "burst": 1}},
    "customers": {"c": {"contract": "s"}},
    "failure_domains": {"d": {"region": "r"}},
    "upstreams": {
        "u": {
            "failure_domain": "d",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:2",
            "service": "s",
        }
    },
    "routes": {
        "safe": {
            "path": "/safe",
            "service": "s",
            "idempotent": True,
            "body_limit": BODY_BYTES,
        }
    },
    "bounds": {"head": 3.0},
}


class Forwarder:
    """Answers each request itself."""

    async def serve(self, request: Any, sink: Any, stopped: Any) -> None:
        """Answer with the length of the body, or with a large answer."""
        await sink.begin(200, ())
        if request.target == LARGE_PATH:
            for _ in range(LARGE_BYTES // PIECE_BYTES):
                await sink.write(bytes(PIECE_BYTES))
                # An upstream's answer arrives in pieces.
                await asyncio.sleep(0)
        else:
            await sink.write(b"%d" % len(request.body))
        await sink.finish()


class RateLimits:
    """Grants everything."""

    async def debit(self, customer: str) -> None:
        """Grant one request."""


class BatchApi:
    """Serves no batch jobs."""

    def list_handlers(self) -> list:
        """Return no resource."""
        return []


async def run(address: str, probe: str, memory_mb: int, key_text: str) -> None:
    """Serve until the process is killed."""
    timer = SystemTimer()
    guard = door.make_guard(timer, memory_mb, 1638)
    mirror = fake.FakeMirror(DOCUMENT)
    guard.read_head_seconds = lambda: mirror.fleet.bounds.head
    key_id = key.read_id(key_text)
    mirror.keys[key_id] = key.Key(key_id, "c", key.digest(key_text), 0.0)
    parts = (
        guard,
        Probe(probe, dict, lambda: True, guard),
        gateway.Gateway(
            address,
            mirror,
            RateLimits(),
            claim.IdempotentForwarder(fake.FakeControl(timer), timer),
            Forwarder(),
            BatchApi(),
            Timeline("e", timer),
            timer,
            guard=guard,
        ),
    )
    for part in parts:
        await part.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    memory.limit_heap()
    loop.run(run(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
