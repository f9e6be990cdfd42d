"""Send every process what it must know, and renew its lease on that.

A process opens one watch to any control VM. It gets the whole once, then the
changes as they are applied. Its lease is renewed only by a read index, that is
by a round of the leader to a quorum that began after the process asked; all
that was committed by then has been sent before the renewal. So while a
process's lease lasts, counted from when it asked, it has missed nothing that
was acknowledged before it asked, however clocks differ.
"""

import json
from typing import Any, NamedTuple

from sapphireseam.control import claim, record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, error, fleet, message, notice
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

# A process that was silent for so long is taken for gone, not for cut off.
FORGET_SECONDS = 3600.0


class _Watcher(NamedTuple):
    """Remember one open watch."""

    node: str
    program: str
    stream: rpc.Stream


class _Heard(NamedTuple):
    revision: int
    at: float


class WatchHub:
    """Serve all watches of one control VM."""

    def __init__(
        self,
        replica: Replica,
        machine: StateMachine,
        timeline: Timeline,
        timer: TimerService,
    ):
        self._replica = replica
        self._machine = machine
        self._timeline = timeline
        self._timer = timer
        self._watchers: dict[int, _Watcher] = {}
        self._heard: dict[tuple[str, str], _Heard] = {}
        self._next = 0
        self._document: dict[str, Any] = {}
        machine.subscribe(self._follow)

    async def serve(self, first: notice.Watch, stream: rpc.Stream) -> None:
        """Serve one watch until either end breaks it."""
        await self._replica.read_index()
        number = self._next
        self._next += 1
        stream.post(self._describe_whole())
        self._watchers[number] = _Watcher(first.node, first.program, stream)
        self._note(first, first.revision)
        try:
            while True:
                await self._answer(first, stream, await stream.receive())
        finally:
            del self._watchers[number]

    async def _answer(self, first: notice.Watch, stream: rpc.Stream, item: Any) -> None:
        if isinstance(item, message.SendEvents):
            self._timeline.keep(item.events)
        if not isinstance(item, notice.Ping):
            return
        self._note(first, item.revision)
        try:
            await self._replica.read_index()
        except error.SeamError:
            return  # Without a quorum the lease isn't renewed.
        revision = record.read_revision(self._machine.state)
        clock = self._timeline.clock.last
        stream.post(notice.Renewal(item.nonce, revision, clock))

    def _note(self, first: notice.Watch, revision: int) -> None:
        now = self._timer.read_clock()
        self._heard[first.node, first.program] = _Heard(revision, now)

    def list_watchers(self) -> tuple[message.WatcherView, ...]:
        """Return the processes that were heard here, the silent ones too.

        One that was replaced under another name is forgotten after a while, so
        that the list doesn't grow with every VM that ever was.
        """
        now = self._timer.read_clock()
        for name, heard in list(self._heard.items()):
            if now - heard.at > FORGET_SECONDS:
                del self._heard[name]
        return tuple(
            message.WatcherView(node, program, heard.revision, now - heard.at)
            for (node, program), heard in sorted(self._heard.items())
        )

    def _describe_whole(self) -> notice.Whole:
        state = self._machine.state
        return notice.Whole(
            record.read_revision(state),
            record.read_document(state),
            tuple(state.keys.values()),
            tuple(state.leaving),
            claim.list_fingerprints(state, claim.QUARANTINED),
            claim.list_fingerprints(state, claim.SUSPECT),
        )

    def _follow(self, item: Any, answer: Any) -> None:
        """Send each watcher what a command changed."""
        change = self._describe_change(item)
        if change is None:
            return
        for watcher in self._watchers.values():
            watcher.stream.post(change)

    def _describe_change(self, item: Any) -> Any:
        state = self._machine.state
        match item:
            case None:
                self._document = record.decode_document(record.read_document(state))
                return self._describe_whole()
            case command.Publish() | command.PublishNumbered():
                return self._describe_publish()
            case command.IssueKey() | command.WithdrawKey():
                return notice.KeyChange(state.keys[item.id])
            case command.MarkLeaving():
                return notice.LeavingChange(item.upstream, item.leaving)
            case command.ReportDeath():
                return self._describe_deaths(item)
            case command.ClearSuspects():
                return notice.VerdictChange((), (), item.fingerprints)
        return None

    def _describe_publish(self) -> notice.FleetChange:
        state = self._machine.state
        document = record.decode_document(record.read_document(state))
        changes = fleet.diff(self._document, document)
        self._document = document
        packed = json.dumps(changes).encode()
        return notice.FleetChange(record.read_revision(state), packed)

    def _describe_deaths(self, item: command.ReportDeath) -> notice.VerdictChange:
        deaths = self._machine.state.deaths
        named = [name for name in item.fingerprints if name in deaths]
        return notice.VerdictChange(
            tuple(name for name in named if deaths[name] == claim.SUSPECT),
            tuple(name for name in named if deaths[name] == claim.QUARANTINED),
        )
