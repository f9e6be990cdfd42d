"""Stops a front at a random moment while clients use their connections to its end.

Each seed gives the clients' requests, the moment of the stop and those of further
signals. The faults that are found are printed; the exit code is 1 if there is one.
"""

import argparse
import asyncio
import itertools
import random
import sys
import types
from collections import Counter
from typing import NamedTuple

from sapphireseam.platform import fake, front
from sapphireseam.tools import layout
from sapphireseam.utils import loop
from sapphireseam.utils.application import Application
from sapphireseam.utils.grace import CUT_SHARE, DEADLINE_SHARE, Grace
from sapphireseam.utils.timer import SystemTimer

GRACE_SECONDS = 3.0
CLIENTS = 24
# Times are drawn up to these shares of the grace.
WARMUP_SHARE = 0.3
PAUSE_SHARE = 0.15
NEED_SHARES = (0.01, 0.1, 0.4, 0.8, 1.5)
DEADLINE_SHARES = (0.1, 0.5, 1.0, 5.0)
RECONNECT_SECONDS = 0.05
# The event loop's timers have this resolution.
TIMER_SECONDS = 0.002
NOT_RUN_STATUS = 503
CUT_STATUS = 504


class Sent(NamedTuple):
    """A request as its client sent it; times are on the timer's clock."""

    id: str
    kind: str
    sent_at: float
    needs: float
    deadline: float


class StopSoak:
    """Plays one seed."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed)
        self._timer = SystemTimer()
        self._grace = Grace(GRACE_SECONDS, self._timer)
        self._forwarder = fake.SlowForwarder()
        self._numbers = itertools.count()
        self._stop_at = 0.0
        self._port, ready = layout.find_ports(2)
        context = types.SimpleNamespace(
            authorizer=fake.FakeAuthorizer(),
            forwarder=self._forwarder,
            bulk_jobs=fake.SlowBulkJobs(self._draw(NEED_SHARES)),
            timer=self._timer,
            grace=self._grace,
        )
        self._application = Application("front", self._grace)
        self._application.add(
            front.Front(context, f"127.0.0.1:{self._port}", f"127.0.0.1:{ready}")
        )
        self.faults: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.took = 0.0

    def _draw(self, shares: tuple[float, ...]) -> float:
        return self._rng.choice(shares) * self._rng.uniform(0.5, 1.0) * GRACE_SECONDS

    async def run(self) -> None:
        """Start a front, stop it under load and collect the faults."""
        await self._application.start()
        clients = [asyncio.create_task(self._run_client()) for _ in range(CLIENTS)]
        await asyncio.sleep(self._rng.uniform(0.0, WARMUP_SHARE) * GRACE_SECONDS)
        self._stop_at = self._timer.read_clock()
        self._application.request_stop()
        signals = asyncio.create_task(self._repeat_signal())
        await self._application.stop()
        self.took = self._timer.read_clock() - self._stop_at
        if self.took > GRACE_SECONDS:
            self.faults.append(f"the stop took {self.took:.2f} s")
        signals.cancel()
        # What was sent must be answered by now.
        await asyncio.sleep(RECONNECT_SECONDS)
        for task in clients:
            task.cancel()
        results = await asyncio.gather(*clients, return_exceptions=True)
        for failure in results:
            if not isinstance(failure, asyncio.CancelledError):
                self.faults.append(f"a client failed: {failure!r}")

    async def _repeat_signal(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5) * GRACE_SECONDS)
            self._application.request_stop()

    async def _run_client(self) -> None:
        """Send requests, on the same connection as long as it lasts."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, RECONNECT_SECONDS))
            client = fake.Client(self._port)
            try:
                await client.open()
            except OSError:
                continue
            try:
                is_kept = False
                while await self._ask(client, is_kept):
                    is_kept = True
                    pause = self._rng.uniform(0.0, PAUSE_SHARE)
                    await asyncio.sleep(pause * GRACE_SECONDS)
            finally:
                client.writer.close()

    async def _ask(self, client: fake.Client, is_kept: bool) -> bool:
        """Send one request; return whether the connection can be used again.

        A new connection may be reset while the server stops to listen.
        """
        kind = self._rng.choice((fake.SAFE, fake.UNSAFE, fake.STREAM, "lots"))
        now = self._timer.read_clock()
        needs, deadline = self._draw(NEED_SHARES), self._draw(DEADLINE_SHARES)
        sent = Sent(f"a{next(self._numbers)}", kind, now, needs, now + deadline)
        method = "GET" if kind == "lots" else "POST"
        reply = None
        try:
            client.send(f"/{kind}/{needs}", method, deadline=deadline, attempt=sent.id)
            reply = await client.receive()
        except (EOFError, OSError) as failure:
            self.outcomes[type(failure).__name__] += 1
            if is_kept and isinstance(failure, OSError):
                self.faults.append(f"{sent} was reset: {failure}")
        except asyncio.CancelledError:
            self.faults.append(f"{sent} has no answer though the process is gone")
            raise
        self._check(sent, reply)
        is_open = reply is not None and reply.headers.get("connection") != "close"
        return is_open and reply.is_whole

    def _check(self, sent: Sent, reply: fake.Reply | None) -> None:
        """Compare an answer with what the front had to do."""
        taken = [each for each in self._forwarder.requests if each.id == sent.id]
        now = self._timer.read_clock() + TIMER_SECONDS
        is_stopping = bool(self._stop_at)
        cut_at = self._stop_at + DEADLINE_SHARE * GRACE_SECONDS
        is_cut = is_stopping and now >= cut_at
        is_due = now >= sent.deadline
        text = ""
        if reply is None:
            if taken or not is_stopping:
                text = "was closed without an answer"
        elif not reply.is_whole:
            self.outcomes["aborted"] += 1
            if not is_cut and not is_due:
                text = "was aborted early"
        else:
            self.outcomes[str(reply.status)] += 1
            if reply.status == NOT_RUN_STATUS and (taken or not is_stopping):
                text = "was refused"
            if reply.status == CUT_STATUS and not is_cut and not is_due:
                text = "was ended early"
        if taken and not text and is_stopping and sent.sent_at > self._stop_at:
            text = self._check_taken(sent, taken[0].deadline)
        if text:
            self.faults.append(f"{sent} {text}, taken: {bool(taken)}, {reply}")

    def _check_taken(self, sent: Sent, deadline: float) -> str:
        end = self._stop_at + CUT_SHARE * GRACE_SECONDS
        if deadline > end:
            return "was passed on with a deadline beyond the grace"
        if sent.kind != fake.SAFE and sent.deadline > end:
            return "was passed on though it may outlast the grace"
        return ""


def main() -> None:
    """Play some seeds and print what was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    options = parser.parse_args()
    found = 0
    for seed in range(options.seed, options.seed + options.count):
        soak = StopSoak(seed)
        loop.run(soak.run())
        found += len(soak.faults)
        print(f"seed {seed}: {soak.took:.2f} s, {dict(soak.outcomes)}", *soak.faults)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
