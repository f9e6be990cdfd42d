"""Streams from fake upstreams found by discovery, under faults drawn from a seed.

Entries and leaders are real and run in one process; the links between them are in
memory. Upstreams break answers off in every way that the fake knows, are replaced by
other software versions and say that they leave; leaders change; an entry loses its link
to the leader, or is replaced by one that knows nothing. One of two failure domains is
evacuated for a while, again and again. Upstreams are cold after a crash and when their
domain comes back. Cold ones refuse much, so each seed also has a calm run: none is
cold, there are more upstreams, and most faults are broken answers. Callers take broken
streams up again, at any entry. Requests with a bad prompt part come in series beside
them and crash whatever upstream begins to answer one.

It checks that a stream that ended as complete has each event once, that all events of
a stream come from one software version, that most resumptions go on while their
version serves, that a run of an upstream gets nothing more from an entry to which it
has said that it leaves, that upstreams of an evacuated domain get nothing more once the
order is in force, that a cold upstream gets no more than its rate once all entries know
of it, and that a bad part is refused after a few crashes while sound requests begin
(`tools.promptpart`).
"""

import asyncio
import collections
import itertools
import json
import random
import sys
from collections.abc import Callable
from typing import Annotated, NamedTuple

import typer

from sapphireseam.control.machine import StateMachine
from sapphireseam.control.placement import PlacementServer
from sapphireseam.control.watch import WatchHub
from sapphireseam.core import (
    command,
    error,
    fingerprint,
    fleet,
    notice,
    outcome,
    placement,
    trait,
)
from sapphireseam.core.ceiling import make_key
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.entry.direct import DirectForwarder, DirectRequest
from sapphireseam.entry.placer import Placer
from sapphireseam.entry.quarantine import QuarantineGate
from sapphireseam.policy import coldstart, fallback
from sapphireseam.tools import discovered, promptpart
from sapphireseam.utils import crash, event, loop, metric, outbound, rpc
from sapphireseam.utils.ceiling import CeilingMonitor
from sapphireseam.utils.fakeupstream import (
    HEALTH_PATH,
    PARTS,
    FakeDialect,
    FakeUpstream,
)
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import SystemTimer

SERVICE = "llm"
ROUTE = fleet.Route(
    "/s/", SERVICE, streamed=True, idempotent=True, target=0.3, attempts=2
)
ENTRIES = ("entry-1", "entry-2", "entry-3")
LEADERS = 2
UPSTREAMS = 4
EVENTS = 12
EVENT_SECONDS = 0.005
# Time between new streams, between faults, and for which a fault lasts, in seconds.
STREAM_SECONDS = 0.02
SHORTEST_PAUSE, LONGEST_PAUSE = 0.02, 0.15
FAULT_SECONDS = 0.3
# How long the list of upstreams lags behind what an upstream says, in seconds.
LIST_LAG_SECONDS = 0.3
# A caller's deadline and the tries that it makes before that.
DEADLINE_SECONDS = 4.0
TRIES = 4
TRY_PAUSE_SECONDS = 0.05
# The header with the start time of the run for which a request is meant.
BORN = "Born"
# The header with the time when a request was sent, on the clock of the event loop.
SENT = "Sent"
# Requests that were on their way may reach a leaving upstream for this long.
CROSSING_SECONDS = 0.3
# Resumptions are judged if no leader changed and no entry was parted for this long.
SETTLED_SECONDS = 0.5
# Fewer resumptions than this are not judged. Of others, the share that goes on must be
# at least this part of the share of new streams that begin.
MIN_RESUMPTIONS = 12
MIN_RESUMED_PART = 0.5
BREAKS = ("cut", "drop", "unframed-cut", "unframed-empty", "unframed-reset", "refuse")
# Time within which a verdict must be known at every entry, in seconds.
CONTACT_SECONDS = 3.0
# Number of series of bad requests, when they begin and the time between their requests,
# in seconds.
SERIES = 2
FIRST_SERIES_SECONDS, LAST_SERIES_SECONDS = 1.0, 5.0
SHORTEST_BAD_PAUSE, LONGEST_BAD_PAUSE = 0.3, 0.8
BAD_TRIES = 2
# How long a crashed upstream is down, how long after it began to answer it crashes, and
# how many events it has sent by then; a negative number stands for no head.
SHORTEST_DOWN_SECONDS, LONGEST_DOWN_SECONDS = 0.3, 2.0
LONGEST_CRASH_DELAY = 0.1
EVENTS_BEFORE_CRASH = (-1, 0, 0, 0, 1)
# Upstreams are in these failure domains by turns, and one of them is evacuated.
DOMAINS = ("z", "y")
EVACUATED = "y"
# Time between evacuations, how long they last, and after which the order is in force,
# in seconds. An entry is parted for less than that.
SHORTEST_REST, LONGEST_REST = 1.0, 4.0
EVACUATION_SECONDS = 2.5
IN_FORCE_SECONDS = 1.0
# Requests a second that a cold upstream bears, and how long it is cold, in seconds.
COLD_RATE = 4.0
COLD_SECONDS = 3.0
# One second may hold this many times the rate, and so many requests more. It counts
# those that were sent and arrived in it.
COLD_OVERAGE = 1.5
COLD_SLACK = 5
WATCH_COLD_SECONDS = 0.02
# An upstream may be taken for cold this long after it was, in seconds.
COLD_LAG_SECONDS = coldstart.TOLERANCE_SECONDS + LIST_LAG_SECONDS
COLD_SERVICE = {"cold_rate": COLD_RATE, "cold_seconds": COLD_SECONDS}
DOCUMENT = {"services": {SERVICE: COLD_SERVICE}}
FAULTS = ("break",) * 12 + ("release",) * 4 + ("lead", "part", "replace")
# A calm run has more upstreams, and fewer of the faults after which nothing is judged.
CALM_UPSTREAMS = 8
CALM_FAULTS = ("break",) * 36 + FAULTS[12:]


class _Dialect(FakeDialect):
    """Names in a request the run for which it is meant, and when it was sent."""

    def render(
        self, request: outbound.Outgoing, instance: Instance
    ) -> list[tuple[str, str]]:
        """Return the headers of a request."""
        sent = str(asyncio.get_running_loop().time())
        own = [(BORN, str(instance.born)), (SENT, sent)]
        return [*super().render(request, instance), *own]


class _Told(NamedTuple):
    """A run that has told an entry that it leaves, and what it had received."""

    upstream: FakeUpstream
    born: int
    entry: str
    received: int


class ColdSpell(NamedTuple):
    """One run of an upstream, and the time until which it is cold."""

    upstream: FakeUpstream
    born: int
    until: float


class _Replica:
    """Stands in for the replicated log of one leader."""

    def __init__(self, commit: Callable[[bytes], NamedTuple]):
        self._commit = commit
        self.is_leader = False
        self.leader = ""
        self.term = 1
        self.members = ()

    async def wait_caught_up(self) -> None:
        """Do nothing; no leader of the soak has a log."""

    async def read_index(self) -> int:
        """Return at once; every member has applied everything."""
        return 0

    async def propose(self, data: bytes) -> NamedTuple:
        """Commit a command and return its outcome."""
        return self._commit(data)


class _RateLimits:
    """Limits no customer."""

    contracts: dict[str, fleet.Contract] = {}


class _Link:
    """One end of a stream in memory."""

    def __init__(self, inbox: asyncio.Queue, peer: asyncio.Queue):
        self._inbox = inbox
        self._peer = peer

    def post(self, item: object) -> None:
        """Send a message."""
        self._peer.put_nowait(item)

    async def receive(self) -> object:
        """Return the next message, or raise `LinkError` if the stream has ended."""
        item = await self._inbox.get()
        if item is None:
            raise rpc.LinkError("the stream has ended")
        return item

    async def close(self) -> None:
        """End the stream for both ends."""
        self._inbox.put_nowait(None)
        self._peer.put_nowait(None)


class _Client:
    """Finds the leader for one entry, unless the entry is parted from it."""

    def __init__(self, soak: "StreamSoak"):
        self.is_parted = False
        self.links: list[_Link] = []
        self._soak = soak

    def pick_address(self) -> str:
        """Return the address of the leader."""
        return str(self._soak.leader)

    def open_channel(self, address: str) -> "_Client":
        """Return the channel to a leader."""
        return self

    def get_channel(self, address: str) -> "_Client":
        """Return the channel to a leader."""
        return self

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the address of the leader."""
        return (self.pick_address(),)

    async def propose(self, item: NamedTuple, deadline: float = 0.0) -> NamedTuple:
        """Commit a command and return its outcome, or raise if it was refused."""
        if self.is_parted:
            raise error.ControlError("the leader can't be reached")
        answer = self._soak.commit(command.REGISTRY.encode(item))
        if isinstance(answer, outcome.Refused):
            raise error.SeamError(answer.message, error.Kind(answer.kind))
        return answer

    async def open(self, first: placement.Attach | notice.Watch) -> _Link:
        """Open an entry's stream to the leader."""
        if self.is_parted:
            raise rpc.LinkError("the leader can't be reached")
        here, there = asyncio.Queue(), asyncio.Queue()
        link = _Link(here, there)
        self.links.append(link)
        is_watch = isinstance(first, notice.Watch)
        servers = self._soak.hubs if is_watch else self._soak.servers
        server = servers[self._soak.leader]
        self._soak.spawn(self._serve(server, first, _Link(there, here), link))
        return link

    async def _serve(
        self,
        server: PlacementServer | WatchHub,
        first: placement.Attach | notice.Watch,
        end: _Link,
        link: _Link,
    ) -> None:
        try:
            await server.serve(first, end)
        except error.SeamError:
            await link.close()

    async def close(self) -> None:
        """Close the channel."""

    def record_leader(self, address: str) -> None:
        """Do nothing; the soak knows the leader."""

    def update_addresses(self, addresses: tuple[str, ...]) -> None:
        """Do nothing; the soak knows the leaders."""

    async def part(self) -> None:
        """End the entry's streams to the leader."""
        for link in self.links:
            await link.close()
        self.links.clear()


class _Entry(NamedTuple):
    """The parts of one entry."""

    name: str
    client: _Client
    mirror: Mirror
    placer: Placer
    pool: outbound.ConnectionPool
    gate: QuarantineGate
    detector: crash.CrashDetector
    forwarder: DirectForwarder

    async def start(self) -> None:
        """Start the parts that have tasks."""
        for part in (self.mirror, self.placer, self.gate, self.detector):
            await part.start()

    async def stop(self) -> None:
        """Stop all parts."""
        parts = (self.detector, self.gate, self.placer, self.mirror, self.pool)
        for part in parts:
            await part.stop()


class SoakResult(NamedTuple):
    """The result of one seed; `findings` describes the faults of the system."""

    seed: int
    findings: tuple[str, ...]
    counts: dict[str, int]


class StreamSoak:
    """One run of the soak; in one that `is_calm`, enough resumptions are judged."""

    def __init__(self, seed: int, is_calm: bool = False):
        self.seed = seed
        self._cold_seconds = 0.0 if is_calm else COLD_SECONDS
        self._upstream_count = CALM_UPSTREAMS if is_calm else UPSTREAMS
        self._faults = CALM_FAULTS if is_calm else FAULTS
        self.leader = 0
        self.findings: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.servers: list[PlacementServer] = []
        self._pools: list[outbound.ConnectionPool] = []
        self.hubs: list[WatchHub] = []
        self._machines: list[StateMachine] = []
        self._commits = 0
        self._series: list[promptpart.Series] = []
        self._wrong_refusals: list[str] = []
        self._sound: list[promptpart.Outcome] = []
        self._replicas = [_Replica(self.commit) for _ in range(LEADERS)]
        self._rng = random.Random(seed)
        # Its draws leave those of the other faults as they are.
        self._evacuation_rng = random.Random(f"evacuations {seed}")
        self._is_evacuated = False
        self._timer = SystemTimer()
        self._upstreams: list[FakeUpstream] = []
        # Upstreams that are not listed any more. They serve on until the end.
        self._removed: list[FakeUpstream] = []
        # Upstreams that the list shows as leaving.
        self._listed_leaving: set[str] = set()
        self._entries: list[_Entry] = []
        # Entries that get no new requests. They serve on until the end.
        self._replaced: list[_Entry] = []
        self._tasks: set[asyncio.Task] = set()
        self._told: list[_Told] = []
        # From when on all entries knew of each.
        self._cold_spells: dict[ColdSpell, float] = {}
        # When a leader changed last or an entry was parted, or came back.
        self._unsettled_at = 0.0
        # When the soak last let each upstream break off answers.
        self._broken_at: dict[str, float] = {}
        # Names of parted entries and when they were parted.
        self._partings: list[tuple[str, float]] = []
        self._version = 1
        self._names = 0

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine as a task of the soak."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self, seconds: float) -> SoakResult:
        """Run for some seconds and return what was found."""
        await self._start()
        callers = []
        end = self._timer.read_clock() + seconds
        injecting = self.spawn(self._inject_forever())
        evacuating = self.spawn(self._evacuate_forever())
        watching = self.spawn(self._watch_cold_forever())
        series = [self.spawn(self._play_series(n)) for n in range(SERIES)]
        while self._timer.read_clock() < end:
            callers.append(asyncio.create_task(self._call(len(callers))))
            await asyncio.sleep(STREAM_SECONDS)
        await asyncio.gather(*callers)
        for task in (injecting, evacuating, watching, *series):
            task.cancel()
        self._check_leaving()
        self._check_cold()
        self._check_resumptions()
        self._check_series()
        if wrong := self._wrong_refusals:
            self.findings.append(f"{len(wrong)} wrong refusals, as {wrong[0]}")
        await self._stop()
        counts = dict(sorted(self.counts.items()))
        return SoakResult(self.seed, tuple(self.findings), counts)

    # The fleet.

    async def _start(self) -> None:
        for replica in self._replicas:
            machine = StateMachine()
            upstreams = outbound.ConnectionPool(FakeDialect())
            self._pools.append(upstreams)
            server = PlacementServer(
                replica,
                machine,
                _RateLimits(),
                discovered.make_probe(upstreams),
                discovered.stop_run,
                self._timer,
            )
            upstreams.on_cold = server.record_cold
            await server.start()
            self.servers.append(server)
            timeline = Timeline("control", self._timer)
            self.hubs.append(WatchHub(replica, machine, timeline, self._timer))
            self._machines.append(machine)
        self._replicas[0].is_leader = True
        if self._cold_seconds:
            document = json.dumps(DOCUMENT).encode()
            item = command.PublishNumbered(1, document, b"", 0.0)
            self.commit(command.REGISTRY.encode(item))
        for _ in range(self._upstream_count):
            await self._add_upstream()
        for name in ENTRIES:
            self._entries.append(await self._start_entry(name))
        self.spawn(self._publish_forever())
        await asyncio.sleep(CROSSING_SECONDS)

    async def _stop(self) -> None:
        for entry in self._entries + self._replaced:
            await entry.stop()
        for server in self.servers:
            await server.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for pool in self._pools:
            await pool.stop()
        for upstream in self._upstreams + self._removed:
            await upstream.stop()

    def commit(self, data: bytes) -> NamedTuple:
        """Apply a command at every member and return its outcome."""
        self._commits += 1
        answers = [each.apply(self._commits, data) for each in self._machines]
        return answers[self.leader]

    async def _has_ended(self, run: crash.Run) -> bool:
        known = self._upstreams + self._removed
        is_leaving = any(each.is_leaving for each in known if each.name == run.upstream)
        return not is_leaving and await crash.is_down(run.address, HEALTH_PATH)

    async def _start_entry(self, name: str) -> _Entry:
        client = _Client(self)
        meter = metric.Meter(name)
        slack = fallback.Slack(20, 0.1, 5.0)
        timeline = Timeline(name, self._timer)
        mirror = Mirror(name, "seam-entry", client, timeline, self._timer)
        ceilings = CeilingMonitor(lambda: mirror.ceilings, client.propose, self._timer)
        placer = Placer(
            name,
            "z",
            client,
            dict,
            slack,
            meter,
            self._timer,
            read_cold=ceilings.read_cold,
            read_services=lambda: mirror.fleet.services,
        )
        pool = outbound.ConnectionPool(_Dialect())
        rng = random.Random(self._rng.random())
        mirror.subscribe(lambda: placer.apply_evacuated(mirror.evacuated))
        gate = QuarantineGate(mirror, client, self._timer)
        detector = crash.CrashDetector(
            mirror, client, timeline, self._timer, self._has_ended
        )
        detector.on_crash = lambda run: placer.record_crash(run.name)
        forwarder = DirectForwarder(
            placer, pool, meter, self._timer, rng, gate, detector
        )

        def handle_leaving(instance) -> None:
            placer.report_leaving(instance)
            known = self._upstreams + self._removed
            (upstream,) = [each for each in known if each.name == instance.id]
            self.spawn(self._watch_leaving(name, upstream, instance.born))

        pool.on_leaving = handle_leaving
        entry = _Entry(name, client, mirror, placer, pool, gate, detector, forwarder)
        await entry.start()
        return entry

    async def _add_upstream(self) -> None:
        self._names += 1
        version = f"v{self._version}"
        upstream = FakeUpstream(f"u{self._names}", SERVICE, EVENTS, version)
        upstream.text = version
        upstream.domain = DOMAINS[self._names % len(DOMAINS)]
        upstream.event_delay = EVENT_SECONDS
        upstream.bad_parts = frozenset(map(_name_part, range(SERIES)))
        upstream.events_before_crash = self._rng.choice(EVENTS_BEFORE_CRASH)
        upstream.crash_delay = self._rng.uniform(0.0, LONGEST_CRASH_DELAY)
        upstream.down_seconds = self._rng.uniform(
            SHORTEST_DOWN_SECONDS, LONGEST_DOWN_SECONDS
        )
        upstream.cold_seconds = self._cold_seconds
        await upstream.start()
        self._upstreams.append(upstream)

    async def _publish_forever(self) -> None:
        while True:
            self._publish()
            await asyncio.sleep(LIST_LAG_SECONDS)

    def _publish(self) -> None:
        """Give the leader the list of upstreams."""
        instances = tuple(
            each.instance._replace(is_leaving=each.name in self._listed_leaving)
            for each in self._upstreams
        )
        cold_left = {get_run_name(e.instance): e.cold_left for e in self._upstreams}
        self.servers[self.leader].update_instances(instances, cold_left)

    # Faults.

    async def _inject_forever(self) -> None:
        actions = {
            "break": self._break,
            "release": self._release,
            "lead": self._change_leader,
            "part": self._part,
            "replace": self._replace_entry,
        }
        while True:
            pause = self._rng.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)
            await asyncio.sleep(pause)
            name = self._rng.choice(self._faults)
            self.counts[name] += 1
            await actions[name]()

    async def _break(self) -> None:
        """Let an upstream break off its next answers."""
        upstream = self._rng.choice(self._upstreams)
        upstream.behaviours += self._rng.choices(BREAKS, k=3)
        self._broken_at[upstream.name] = self._timer.read_clock()

    async def _release(self) -> None:
        """Replace an upstream by one of the next version, or of the same."""
        leaving = [each for each in self._upstreams if not each.is_leaving]
        if len(leaving) < UPSTREAMS:
            return
        if self._rng.random() < 1 / UPSTREAMS:
            self._version += 1
        await self._add_upstream()
        upstream = self._rng.choice(leaving)
        upstream.is_leaving = True
        self.spawn(self._remove(upstream))

    async def _remove(self, upstream: FakeUpstream) -> None:
        await asyncio.sleep(LIST_LAG_SECONDS)
        self._listed_leaving.add(upstream.name)
        self._publish()
        await asyncio.sleep(LIST_LAG_SECONDS)
        self._upstreams.remove(upstream)
        self._removed.append(upstream)
        self._publish()

    async def _evacuate_forever(self) -> None:
        while True:
            rest = self._evacuation_rng.uniform(SHORTEST_REST, LONGEST_REST)
            await asyncio.sleep(rest)
            self.counts["evacuations"] += 1
            self._set_evacuation(True)
            await asyncio.sleep(IN_FORCE_SECONDS)
            before = self._count_evacuated_runs()
            await asyncio.sleep(EVACUATION_SECONDS - IN_FORCE_SECONDS)
            runs = self._count_evacuated_runs() - before
            if runs:
                text = f"{runs} requests reached an evacuated failure domain"
                self.findings.append(text)
            for upstream in self._upstreams:
                if upstream.domain == EVACUATED:
                    upstream.cool(self._cold_seconds)
            self._set_evacuation(False)

    def _set_evacuation(self, is_evacuated: bool) -> None:
        """Commit an order of the operator."""
        self._is_evacuated = is_evacuated
        request = f"evacuation-{self._commits}"
        item = command.SetEvacuation(
            request, EVACUATED, is_evacuated, 0.0, is_forced=True
        )
        self.commit(command.REGISTRY.encode(item))

    def _count_evacuated_runs(self) -> int:
        return sum(
            len(each.runs)
            for each in self._upstreams + self._removed
            if each.domain == EVACUATED
        )

    def _is_closed(self, upstream: FakeUpstream) -> bool:
        """Return whether an upstream must get nothing new."""
        is_evacuated = self._is_evacuated and upstream.domain == EVACUATED
        return upstream.is_leaving or is_evacuated

    async def _watch_cold_forever(self) -> None:
        """Record from when on all entries know which upstreams are cold."""
        clock = asyncio.get_running_loop().time
        while True:
            for each in self._upstreams + self._removed:
                spell = ColdSpell(each, each.born, each.cold_until)
                if each.cold_left and self._cold_spells.get(spell) is None:
                    key = make_key(get_run_name(each.instance), True)
                    mirrors = [entry.mirror for entry in self._entries]
                    if all(key in mirror.ceilings for mirror in mirrors):
                        self._cold_spells[spell] = clock()
            await asyncio.sleep(WATCH_COLD_SECONDS)

    def _check_cold(self) -> None:
        """Check that no second of a known cold spell holds more than the rate."""
        bound = COLD_RATE * COLD_OVERAGE + COLD_SLACK
        for spell, known in self._cold_spells.items():
            upstream, born, until = spell
            runs = [
                (sent, each.at)
                for each in upstream.runs
                if each.born == born
                and (sent := float(each.headers[SENT])) >= known + CROSSING_SECONDS
                and each.at < until
            ]
            most = _count_most(runs)
            self.counts["cold spells"] += 1
            self.counts["requests to cold upstreams"] += len(runs)
            self.counts["most in a cold second"] = max(
                self.counts["most in a cold second"], most
            )
            if most > bound:
                text = f"{upstream.name} got {most} requests in a second while cold"
                self.findings.append(text)

    async def _change_leader(self) -> None:
        self._unsettled_at = self._timer.read_clock()
        self._replicas[self.leader].is_leader = False
        self.leader = (self.leader + 1) % LEADERS
        self._replicas[self.leader].is_leader = True
        self._replicas[self.leader].term += LEADERS
        self._publish()

    async def _replace_entry(self) -> None:
        """Replace an entry by one that knows nothing."""
        old = self._rng.choice(self._entries)
        self._names += 1
        entry = await self._start_entry(f"entry-{self._names}")
        async with asyncio.timeout(DEADLINE_SECONDS):
            await entry.mirror.refresh()
        self._entries[self._entries.index(old)] = entry
        self._replaced.append(old)
        self._unsettled_at = self._timer.read_clock()

    async def _part(self) -> None:
        """Part an entry from the leader for a while."""
        entry = self._rng.choice(self._entries)
        entry.client.is_parted = True
        self._unsettled_at = self._timer.read_clock() + FAULT_SECONDS
        self._partings.append((entry.name, asyncio.get_running_loop().time()))
        await entry.client.part()

        async def rejoin() -> None:
            await asyncio.sleep(FAULT_SECONDS)
            entry.client.is_parted = False

        self.spawn(rejoin())

    # Callers and checks.

    async def _call(self, number: int) -> None:
        """Read one stream as a caller, with tries after it breaks."""
        first = ""
        events: list[event.Event] = []
        parts = (promptpart.SHARED, self._rng.choice(promptpart.OTHERS), f"s{number}")
        for attempt in range(TRIES):
            id = f"s{number}-{attempt}"
            is_resumed = bool(events)
            is_judged = self._is_settled() and (
                not is_resumed or self._count_serving(events[0]) >= 2
            )
            sink = discovered.Sink()
            sent = asyncio.get_running_loop().time()
            has_sound = self._has_sound_upstream()
            failure = await self._attempt(id, parts, events, first, sink)
            if is_judged and has_sound and not is_resumed:
                code = str(failure.kind) if failure else ""
                began = bool(sink.events)
                self._sound.append(promptpart.Outcome(sent, began, code=code))
            if is_judged:
                kind = "resumption" if is_resumed else "new stream"
                self.counts[f"{kind}s"] += 1
                self.counts[f"{kind}s that went on"] += bool(sink.events)
            if sink.events and not events:
                first = id
            events += sink.events
            if sink.is_complete:
                self.counts["complete"] += 1
                self._check_complete(id, events)
                break
            await asyncio.sleep(TRY_PAUSE_SECONDS)
        versions = {each.data.split(b"-")[0] for each in events}
        if len(versions) > 1:
            self.findings.append(f"{number}: events of {sorted(versions)}")

    async def _attempt(
        self,
        id: str,
        parts: tuple[str, ...],
        events: list[event.Event],
        first: str,
        sink: discovered.Sink,
    ) -> error.SeamError | None:
        """Send a request at any entry; return its failure, or None."""
        entry = self._rng.choice(self._entries)
        now = self._timer.read_clock()
        body = parts[-1].encode()
        request = DirectRequest(
            id,
            "",
            0,
            "r",
            ROUTE,
            "h",
            "POST",
            "/s/x",
            (("Entry", entry.name), (PARTS, ",".join(parts))),
            body,
            now,
            now + DEADLINE_SECONDS,
            events[-1].number if events else -1,
            first,
            fingerprint=fingerprint.compute("", "POST", "/s/x", body),
            parts=trait.make_part_traits(SERVICE, parts[:-1]),
        )
        try:
            await entry.forwarder.serve(request, sink)
        except error.SeamError as failure:
            self.counts["broken"] += 1
            self._check_refusal(id, failure)
            return failure
        return None

    def _is_settled(self) -> bool:
        """Return whether all entries have been in touch with one leader for a while."""
        return self._timer.read_clock() - self._unsettled_at >= SETTLED_SECONDS

    def _has_sound_upstream(self) -> bool:
        """Return whether no fault but a crash stops some upstream from answering."""
        oldest = self._timer.read_clock() - SETTLED_SECONDS
        return any(
            not self._is_closed(each)
            and not _was_cold_lately(each)
            and not each.behaviours
            and self._broken_at.get(each.name, oldest) <= oldest
            for each in self._upstreams
        )

    def _count_serving(self, began: event.Event) -> int:
        """Return how many upstreams serve at the version of an event."""
        version = began.data.split(b"-")[0].decode()
        return sum(
            each.version == version
            and not self._is_closed(each)
            and not each.is_down
            and not _was_cold_lately(each)
            for each in self._upstreams
        )

    def _check_complete(self, id: str, events: list[event.Event]) -> None:
        numbers = [each.number for each in events]
        if numbers != list(range(EVENTS)):
            self.findings.append(f"{id}: complete with events {numbers}")

    async def _watch_leaving(
        self, entry: str, upstream: FakeUpstream, born: int
    ) -> None:
        """Check from now on that a leaving run gets nothing more from an entry.

        Another run may answer until the list shows that the upstream has restarted.
        The entry can't know then that the new run is the one that leaves.
        """
        await asyncio.sleep(CROSSING_SECONDS)
        received = _count_runs(upstream, entry, born)
        self._told.append(_Told(upstream, born, entry, received))

    def _check_leaving(self) -> None:
        for upstream, born, entry, received in self._told:
            if _count_runs(upstream, entry, born) > received:
                text = f"{upstream.name} got a request from {entry} while it left"
                self.findings.append(text)

    def _check_resumptions(self) -> None:
        tried, went_on = self._count_tries("resumption")
        began = self._count_tries("new stream")
        wanted = MIN_RESUMED_PART * began[1] / max(began[0], 1)
        if tried >= MIN_RESUMPTIONS and went_on < wanted * tried:
            self.findings.append(f"{went_on} of {tried} resumptions went on")

    # Series of requests with a bad part.

    async def _play_series(self, number: int) -> None:
        """Send requests with a bad part until the end."""
        clock = asyncio.get_running_loop().time
        pause = self._rng.uniform(FIRST_SERIES_SECONDS, LAST_SERIES_SECONDS)
        await asyncio.sleep(pause)
        series = promptpart.Series(_name_part(number), clock())
        self._series.append(series)
        for sent in itertools.count():
            self.spawn(self._call_bad(series, sent))
            pause = self._rng.uniform(SHORTEST_BAD_PAUSE, LONGEST_BAD_PAUSE)
            await asyncio.sleep(pause)

    async def _call_bad(self, series: promptpart.Series, number: int) -> None:
        """Send a request with a bad part, and again after it failed."""
        parts = (promptpart.SHARED, series.part, f"{series.part} {number}")
        for attempt in range(BAD_TRIES):
            id = f"{parts[-1]}-{attempt}"
            failure = await self._attempt(id, parts, [], "", discovered.Sink())
            if failure and not series.shaken_at and self._is_cause(series.part):
                series.shaken_at = asyncio.get_running_loop().time()
                await self._change_leader()
                await self._part()
                await self._replace_entry()
            await asyncio.sleep(TRY_PAUSE_SECONDS)

    def _is_cause(self, part: str) -> bool:
        """Return whether all entries refuse a part."""
        (name,) = trait.make_part_traits(SERVICE, [part])
        verdicts = [entry.mirror.verdicts.get(name) for entry in self._entries]
        return all(found is not None and found.is_cause for found in verdicts)

    def _check_refusal(self, id: str, failure: error.SeamError) -> None:
        if failure.kind is not error.Kind.REQUEST_QUARANTINED:
            return
        self.counts["refused parts"] += 1
        is_right = failure.answer.status == promptpart.REFUSED_STATUS
        if not is_right or failure.retry_after <= 0 or not failure.not_run:
            self._wrong_refusals.append(f"{id}: {failure.answer}, {failure.not_run}")

    def _check_series(self) -> None:
        """Check the bounds of all series."""
        for series in self._series:
            for upstream in self._upstreams + self._removed:
                events = upstream.crashes
                series.crashes += [e.at for e in events if series.part in e.run.parts]
                series.arrivals += [
                    each.at
                    for each in upstream.bad_arrivals
                    if series.part in each.run.parts
                    and self._was_in_touch(each.run.headers["Entry"], each.at)
                ]
            self.counts["crashes"] += len(series.crashes)
            self.findings += series.check(CONTACT_SECONDS)
        self.findings += promptpart.check_sound(
            self._series, self._sound, CONTACT_SECONDS
        )

    def _was_in_touch(self, entry: str, at: float) -> bool:
        """Return whether an entry wasn't parted within the time of contact."""
        lasted = FAULT_SECONDS + CONTACT_SECONDS
        return not any(
            name == entry and since <= at <= since + lasted
            for name, since in self._partings
        )

    def _count_tries(self, kind: str) -> tuple[int, int]:
        return self.counts[f"{kind}s"], self.counts[f"{kind}s that went on"]


def _count_runs(upstream: FakeUpstream, entry: str, born: int) -> int:
    meant = (entry, str(born))
    return sum(
        (run.headers.get("Entry"), run.headers.get(BORN)) == meant
        for run in upstream.runs
    )


def _was_cold_lately(upstream: FakeUpstream) -> bool:
    """Return whether an upstream is cold, or may still be taken for cold."""
    if not upstream.cold_seconds:
        return False
    now = asyncio.get_running_loop().time()
    return now < upstream.cold_until + COLD_LAG_SECONDS


def _count_most(runs: list[tuple[float, float]]) -> int:
    """Return how many requests one second holds at most.

    A request counts if it was sent and arrived in that second.
    """
    begins = [sent for sent, _ in runs]
    return max(
        (sum(b <= sent and at < b + 1.0 for sent, at in runs) for b in begins),
        default=0,
    )


def _name_part(number: int) -> str:
    return f"{promptpart.BAD}-{number}"


app = typer.Typer(add_completion=False)


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of each seed.")] = 16.0,
) -> None:
    """Run streams under faults; exit with 1 if the system was at fault.

    Each seed is run twice, first calm.

    Example: python -m sapphireseam.tools.streamsoak --seed 1 --seeds 50
    """
    has_findings = False
    for number in range(seed, seed + seeds):
        for is_calm in (True, False):
            result = loop.run(StreamSoak(number, is_calm).run(seconds))
            has_findings = has_findings or bool(result.findings)
            count = len(result.findings)
            name = f"seed {number}, calm" if is_calm else f"seed {number}"
            typer.echo(f"{name}: {count} findings, {result.counts}")
            for finding in result.findings:
                typer.echo(f"  {finding}")
    sys.exit(1 if has_findings else 0)


if __name__ == "__main__":
    app()
