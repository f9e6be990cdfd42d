"""Plays requests with a prompt part that crashes upstreams, and checks the outcome.

A prompt part is a piece of a prompt that several requests share. One bad part crashes
every upstream that begins to answer a request with it. Requests with the bad part come
at any entry, no two alike. Sound requests share their customer and their other parts.
"""

import asyncio
import collections
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import aiohttp

from sapphireseam.tools import client

# Crashes after which a bad part must be refused.
CRASHES = 5
# Requests with the part that may reach upstreams later than that.
MAX_LATE = 3
# Sound requests that must begin, as a part of the share that began before.
MIN_BEGUN_PART = 0.5
# Fewer sound requests than this are not judged.
MIN_JUDGED = 20
POLL_SECONDS = 0.05
# Tokens of the answer to a chat.
TOKENS = 20
SHARED = "shared"
BAD = "bad-part"
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


class Series:
    """Requests with one bad part, from `began` on, and what came of them.

    `crashes` are the times at which upstreams crashed under these requests, `arrivals`
    those at which the requests reached upstreams. `shaken_at` is when leaders and
    entries changed while the part was refused, 0 if they didn't.
    """

    def __init__(self, part: str, began: float):
        self.part = part
        self.began = began
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.shaken_at = 0.0

    def find_settled(self, contact: float) -> float:
        """Return from when on sound requests must begin again."""
        if not self.crashes:
            return self.began
        return sorted(self.crashes)[:CRASHES][-1] + 2 * contact

    def check(self, contact: float) -> list[str]:
        """Return a finding for each broken bound on the requests with the part."""
        findings = []
        bounds = []
        if self.shaken_at:
            text = f"{contact} s after leaders and entries changed"
            bounds.append((text, self.shaken_at + contact))
        if len(self.crashes) >= CRASHES:
            since = sorted(self.crashes)[CRASHES - 1] + contact
            bounds.append((f"{contact} s after crash {CRASHES}", since))
        for name, since in bounds:
            late = [at for at in self.arrivals if at > since]
            if len(late) > MAX_LATE:
                text = f"{len(late)} requests with {self.part} reached upstreams"
                findings.append(f"{text} later than {name}")
        return findings


def check_sound(
    series: list[Series], sound: list[Outcome], contact: float
) -> list[str]:
    """Return a finding if too few sound requests begin once the verdicts stand."""
    first = min((each.began for each in series), default=math.inf)
    before = [each for each in sound if each.sent < first]
    after = [
        outcome
        for outcome in sound
        if outcome.sent >= first
        and all(
            outcome.sent < each.began or outcome.sent > each.find_settled(contact)
            for each in series
        )
    ]
    if min(len(before), len(after)) < MIN_JUDGED:
        return []
    shares = [_measure_begun(each) for each in (before, after)]
    if shares[1] >= MIN_BEGUN_PART * shares[0]:
        return []
    text = f"{shares[1]:.2f} of {len(after)} sound requests began"
    codes = collections.Counter(each.code for each in after if not each.has_begun)
    return [f"{text}, {shares[0]:.2f} before; the others: {dict(codes)}"]


# Sends a request with these prompt parts, the last of which is its own.
Send = Callable[[str, tuple[str, ...]], Awaitable[Outcome]]
ReadRecord = Callable[[], Awaitable[Record]]


class ChatCaller:
    """Sends chats at the entries of a fleet, each prompt part as a message."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        entries: Sequence[str],
        engines: Sequence[str],
        key: str,
        model: str,
        rng: random.Random,
    ):
        self._http = http
        self._entries = entries
        self._engines = engines
        self._headers = {"Authorization": f"Bearer {key}"}
        self._model = model
        self._rng = rng

    async def send(self, id: str, parts: tuple[str, ...]) -> Outcome:
        """Send a chat with these parts as its messages."""
        messages = [{"role": "system", "content": text} for text in parts[:-1]]
        messages.append({"role": "user", "content": parts[-1]})
        document = {
            "model": self._model,
            "messages": messages,
            "max_tokens": TOKENS,
            "stream": True,
        }
        return await self.post("/v1/chat/completions", document)

    async def post(self, path: str, document: dict) -> Outcome:
        """Return the outcome of a request at any entry."""
        url = f"http://{self._rng.choice(self._entries)}{path}"
        sent, body = asyncio.get_running_loop().time(), b""
        try:
            async with self._http.post(
                url, json=document, headers=self._headers
            ) as response:
                status, headers = response.status, response.headers
                async for piece in response.content.iter_any():
                    body += piece
        except aiohttp.ClientError as failure:
            return Outcome(sent, bool(body), 0, type(failure).__name__)
        if status == 200:
            return Outcome(sent, b"data: {" in body)
        return Outcome(
            sent,
            False,
            status,
            client.read_error_code(body),
            float(headers.get("Retry-After", 0)),
            headers.get(client.NOT_RUN_HEADER) == "true",
        )

    async def read_record(self) -> Record:
        """Return what the engines recorded."""
        pages = [await self._read_crashes(base) for base in self._engines]
        # The engines use the wall clock.
        offset = time.time() - asyncio.get_running_loop().time()
        crashes, arrivals = (
            tuple(at - offset for page in pages for at in page[name])
            for name in ("crashes", "arrivals")
        )
        return Record(crashes, arrivals)

    async def _read_crashes(self, base: str) -> dict[str, list[float]]:
        while True:
            try:
                async with self._http.get(f"{base}/_crashes") as response:
                    return await response.json()
            except aiohttp.ClientError:
                # The engine is down.
                await asyncio.sleep(POLL_SECONDS)


class Play:
    """One play of requests with a bad part among sound ones."""

    def __init__(
        self, send: Send, read_record: ReadRecord, times: Times, rng: random.Random
    ):
        self.sound: list[Outcome] = []
        self.bad: list[Outcome] = []
        # Whether an arrival at this time was sent by an entry in touch.
        self.is_judged: Callable[[float], bool] = lambda at: True
        self._send = send
        self._read_record = read_record
        self._times = times
        self._rng = rng
        self._series = Series(BAD, 0.0)
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> list[str]:
        """Play until the bounds can be judged; return a finding for each broken one."""
        return await self.run_until(self._wait_for_crashes)

    async def run_until(self, wait: Callable[[], Awaitable[None]]) -> list[str]:
        """Play until `wait` has returned, which is called with the first bad request.

        Return a finding for each broken bound.
        """
        sending = asyncio.create_task(self._send_sound())
        await asyncio.sleep(self._times.before)
        self._series.began = asyncio.get_running_loop().time()
        sending_bad = asyncio.create_task(self._send_bad())
        try:
            await wait()
        finally:
            sending_bad.cancel()
            sending.cancel()
            await asyncio.gather(sending, sending_bad, return_exceptions=True)
        await asyncio.gather(*self._tasks)
        record = await self._read_record()
        self._series.crashes += record.crashes
        self._series.arrivals += filter(self.is_judged, record.arrivals)
        return self._check()

    async def _wait_for_crashes(self) -> None:
        clock = asyncio.get_running_loop().time
        end = clock() + self._times.longest_series
        while clock() < end:
            if len((await self._read_record()).crashes) >= CRASHES:
                break
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(2 * self._times.contact + self._times.after)

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
            pause = self._times.bad_period * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause)

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
        return f"{len(self._series.crashes)} crashes, {counts}"

    def _check(self) -> list[str]:
        if not self._series.crashes:
            return ["no upstream crashed"]
        contact = self._times.contact
        findings = self._check_refusals() + self._series.check(contact)
        return findings + check_sound([self._series], self.sound, contact)

    def _check_refusals(self) -> list[str]:
        """Return what is wrong with the refusals because of the bad part."""
        refused = [each for each in self.bad if each.code == QUARANTINED]
        if not refused and len(self._series.crashes) >= CRASHES:
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
