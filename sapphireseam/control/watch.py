"""Sends the shared state to every process and renews its lease.

The shared state is the configuration, the keys, the leaving upstreams, the verdicts on
traits of requests, the ceilings of upstreams and the evacuated failure domains. A
process opens one watch to any control VM. It gets the complete state once, then each
change when it is applied. A lease is renewed only after a read index: a heartbeat round
of the leader to a quorum that began after the process requested the renewal. Everything
that was committed by then is sent before the renewal. A process counts its lease from
the time of its request. So while the lease is valid, the process has missed nothing
that was acknowledged before that request, even if clocks differ.
"""

import json
from typing import Any, NamedTuple

from sapphireseam.control import record
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import codec, command, error, fleet, message, notice
from sapphireseam.core.verdict import Verdict
from sapphireseam.state.replica import Replica
from sapphireseam.utils import rpc
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import TimerService

# A process that was silent for longer is assumed to have ended, not to be cut off.
SILENT_RETENTION_SECONDS = 3600.0


class _Watcher(NamedTuple):
    """One open watch."""

    node: str
    program: str
    stream: rpc.Stream


class _Contact(NamedTuple):
    revision: int
    at: float


class WatchHub:
    """Serves all watches of one control VM."""

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
        self._last_contact: dict[tuple[str, str], _Contact] = {}
        self._next = 0
        self._document: dict[str, Any] = {}
        # The same as it is sent.
        self._compressed = b"{}"
        # The verdicts that were sent last.
        self._verdicts: dict[str, Verdict] = {}
        machine.subscribe(self._send_change)

    async def serve(self, first: notice.Watch, stream: rpc.Stream) -> None:
        """Serve one watch until either side closes it."""
        await self._replica.read_index()
        number = self._next
        self._next += 1
        stream.post(self._describe_state())
        self._watchers[number] = _Watcher(first.node, first.program, stream)
        self._record_contact(first, first.revision)
        try:
            while True:
                await self._answer(first, stream, await stream.receive())
        finally:
            del self._watchers[number]

    async def _answer(self, first: notice.Watch, stream: rpc.Stream, item: Any) -> None:
        if isinstance(item, message.SendEvents):
            self._timeline.add_remote(item.events)
        if not isinstance(item, notice.Ping):
            return
        self._record_contact(first, item.revision)
        try:
            await self._replica.read_index()
        except error.SeamError:
            return  # Without a quorum the lease isn't renewed.
        revision = record.read_revision(self._machine.state)
        clock = self._timeline.clock.last
        stream.post(notice.Renewal(item.nonce, revision, clock))

    def _record_contact(self, first: notice.Watch, revision: int) -> None:
        now = self._timer.read_clock()
        self._last_contact[first.node, first.program] = _Contact(revision, now)

    def list_watchers(self) -> tuple[message.WatcherView, ...]:
        """Return the processes that have opened a watch here, including silent ones.

        A process that was replaced under another name is dropped after
        SILENT_RETENTION_SECONDS, so that the list doesn't grow with every VM that ever
        ran.
        """
        now = self._timer.read_clock()
        for name, contact in list(self._last_contact.items()):
            if now - contact.at > SILENT_RETENTION_SECONDS:
                del self._last_contact[name]
        return tuple(
            message.WatcherView(node, program, contact.revision, now - contact.at)
            for (node, program), contact in sorted(self._last_contact.items())
        )

    def _describe_state(self) -> notice.Whole:
        state = self._machine.state
        return notice.Whole(
            record.read_revision(state),
            self._compressed,
            tuple(state.keys.values()),
            tuple(state.leaving),
            tuple(state.verdicts.values()),
            tuple(state.ceilings.values()),
            record.read_evacuated(state),
        )

    def _send_change(self, item: Any, answer: Any) -> None:
        """Send the change that a command made to each watcher."""
        try:
            change = self._describe_change(item)
            if change is None:
                return
            for watcher in self._watchers.values():
                watcher.stream.post(change)
        except Exception:
            # Without this change, a process must read the whole state again.
            for watcher in self._watchers.values():
                watcher.stream.abort()
            raise

    def _describe_change(self, item: Any) -> Any:
        state = self._machine.state
        match item:
            case None:
                self._load_document()
                self._verdicts = dict(state.verdicts)
                return self._describe_state()
            case command.Publish() | command.PublishNumbered():
                return self._describe_publish()
            case command.IssueKey() | command.WithdrawKey():
                return notice.KeyChange(state.keys[item.id])
            case command.MarkLeaving():
                return notice.LeavingChange(item.upstream, item.leaving)
            case command.ReportCrash() | command.ClearTraits() | command.ClaimTrial():
                return self._describe_judgement()
            case command.ReportCeiling():
                return notice.CeilingChange(tuple(state.ceilings.values()))
            case command.SetEvacuation():
                return notice.EvacuationChange(record.read_evacuated(state))
        return None

    def _describe_judgement(self) -> notice.VerdictChange | None:
        """Return the verdicts that changed since the last ones were sent."""
        former, verdicts = self._verdicts, self._machine.state.verdicts
        changed = tuple(v for v in verdicts.values() if former.get(v.trait) != v)
        cleared = tuple(trait for trait in former if trait not in verdicts)
        self._verdicts = dict(verdicts)
        if not changed and not cleared:
            return None
        return notice.VerdictChange(cleared, changed)

    def _describe_publish(self) -> notice.FleetChange:
        former = self._document
        self._load_document()
        changes = json.dumps(fleet.diff(former, self._document)).encode()
        revision = record.read_revision(self._machine.state)
        return notice.FleetChange(revision, codec.compress(changes))

    def _load_document(self) -> None:
        """Read the configuration in force and compress it once for all watches."""
        document = record.read_document(self._machine.state)
        self._document = record.decode_document(document)
        self._compressed = codec.compress(document)
