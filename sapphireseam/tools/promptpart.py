"""Plays requests with a prompt part that crashes upstreams, and checks the outcome.

A prompt part is a piece of a prompt that several requests share. One bad part crashes
every upstream that begins to answer a request with it. Requests with the bad part come
at any entry, no two alike. Sound requests share their customer and their other parts.
"""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

# Crashes after which a bad part must be refused.
CRASHES = 5
# Requests with the part that may reach upstreams later than that.
MAX_LATE = 3
# Sound requests that must begin, as a part of the share that began before.
MIN_BEGUN_PART = 0.5
# Fewer sound requests than this are not judged.
MIN_JUDGED = 20
POLL_SECONDS = 0.05
SHARED = "shared"
BAD = "bad"
OTHERS = ("other-1", "other-2", "other-3")
QUARANTINED = "request_quarantined"
REFUSED_STATUS = 503


class Times(NamedTuple):
    """The times of a play, in seconds.

    `contact` is the time within which a verdict must be known everywhere. Sound
    requests come alone for `before`, and bad ones come for `after` once a verdict
    must be in force.
    """

    contact: float = 1.5
    bad_period: float = 0.25
    sound_period: float = 0.05
    before: float = 2.0
    after: float = 4.0
    longest_series: float = 15.0


class Outcome(NamedTuple):
    """The outcome of a request; `code` is the kind of an error."""

    sent: float
    has_begun: bool
    status: int = 200
    code: str = ""
    retry_after: float = 0.0
    not_run: bool = False


class Record(NamedTuple):
    """When upstreams crashed and when requests with the bad part reached them."""

    crashes: tuple[float, ...]
    arrivals: tuple[float, ...]


# Sends a request with these prompt parts, the last of which is its own.
Send = Callable[[str, tuple[str, ...]], Awaitable[Outcome]]
ReadRecord = Callable[[], Awaitable[Record]]


class Play:
    """One play of requests with a bad part among sound ones."""

    def __init__(
        self, send: Send, read_record: ReadRecord, times: Times, rng: random.Random
    ):
        self.sound: list[Outcome] = []
        self.bad: list[Outcome] = []
        self.record = Record((), ())
        self._send = send
        self._read_record = read_record
        self._times = times
        self._rng = rng
        self._began_at = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> list[str]:
        """Play; return a finding for each broken bound."""
        clock = asyncio.get_running_loop().time
        sending = asyncio.create_task(self._send_sound())
        await asyncio.sleep(self._times.before)
        self._began_at = clock()
        sending_bad = asyncio.create_task(self._send_bad())
        end = clock() + self._times.longest_series
        while clock() < end:
            self.record = await self._read_record()
            if len(self.record.crashes) >= CRASHES:
                break
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(2 * self._times.contact + self._times.after)
        sending_bad.cancel()
        sending.cancel()
        await asyncio.gather(sending, sending_bad, return_exceptions=True)
        await asyncio.gather(*self._tasks)
        self.record = await self._read_record()
        return self._check()

    async def _send_sound(self) -> None:
        number = 0
        while True:
            parts = (SHARED, self._rng.choice(OTHERS), f"sound {number}")
            self._spawn(parts, self.sound)
            number += 1
            await asyncio.sleep(self._times.sound_period)

    async def _send_bad(self) -> None:
        number = 0
        while True:
            self._spawn((SHARED, BAD, f"unlike {number}"), self.bad)
            number += 1
            await asyncio.sleep(self._times.bad_period)

    def _spawn(self, parts: tuple[str, ...], outcomes: list[Outcome]) -> None:
        async def send() -> None:
            outcomes.append(await self._send(parts[-1], parts))

        task = asyncio.create_task(send())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def describe(self) -> str:
        """Return the outcomes by kind, for a failed check."""
        counts = {
            name: dict(collections.Counter(each.code for each in outcomes))
            for name, outcomes in (("sound", self.sound), ("bad", self.bad))
        }
        return f"{len(self.record.crashes)} crashes, {counts}"

    def _check(self) -> list[str]:
        crashes = sorted(self.record.crashes)
        if not crashes:
            return ["no upstream crashed"]
        findings = self._check_refusals()
        contact = self._times.contact
        if len(crashes) >= CRASHES:
            since = crashes[CRASHES - 1] + contact
            late = [each for each in self.record.arrivals if each > since]
            if len(late) > MAX_LATE:
                text = f"{len(late)} requests with the bad part reached upstreams"
                findings.append(f"{text} later than {contact} s after crash {CRASHES}")
        settled = crashes[:CRASHES][-1] + 2 * contact
        before = [each for each in self.sound if each.sent < self._began_at]
        after = [each for each in self.sound if each.sent > settled]
        shares = [_measure_begun(each) for each in (before, after)]
        if min(len(before), len(after)) < MIN_JUDGED:
            findings.append(f"only {len(before)} and {len(after)} sound requests")
        elif shares[1] < MIN_BEGUN_PART * shares[0]:
            text = f"{shares[1]:.2f} of the sound requests began"
            findings.append(f"{text}, {shares[0]:.2f} before")
        return findings

    def _check_refusals(self) -> list[str]:
        """Return what is wrong with the refusals because of the bad part."""
        refused = [each for each in self.bad if each.code == QUARANTINED]
        if not refused:
            return ["no request with the bad part was refused"]
        wrong = [
            each
            for each in refused
            if each.status != REFUSED_STATUS
            or each.retry_after <= 0
            or not each.not_run
        ]
        return [f"{len(wrong)} wrong refusals, as {wrong[0]}"] if wrong else []


def _measure_begun(outcomes: list[Outcome]) -> float:
    return sum(each.has_begun for each in outcomes) / max(len(outcomes), 1)
