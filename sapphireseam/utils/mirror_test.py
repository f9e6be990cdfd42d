"""Test that a process stops using withdrawn keys and old revisions in time.

Control VMs and links are disconnected, and messages are delayed.
"""

import asyncio
import json
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireseam.control import machine, record, watch
from sapphireseam.core import command, error, key, notice
from sapphireseam.entry import access
from sapphireseam.utils import mirror, rpc, timeline, timer

CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2")
KEYS = ("k1", "k2", "k3")
QUORUM = 2
# Longest time from an acknowledged withdrawal to its effect at every entry. The
# requirement is 5 s.
WITHDRAWN_SECONDS = mirror.LEASE_SECONDS


class FakeControl:
    """Fake a control VM; it applies the shared log only while it is connected."""

    def __init__(self, model):
        self._model = model
        self.machine = machine.StateMachine()
        self.applied = 0
        self.cut = False
        own_timeline = timeline.Timeline("control", model.timer)
        self.hub = watch.WatchHub(self, self.machine, own_timeline, model.timer)

    def catch_up(self):
        while self.applied < len(self._model.log):
            self.applied += 1
            item = self._model.log[self.applied - 1]
            self.machine.apply(self.applied, command.REGISTRY.encode(item))

    async def read_index(self):
        """Return the applied index, or raise if disconnected or without a quorum."""
        if self.cut or sum(not c.cut for c in self._model.controls.values()) < QUORUM:
            raise error.NotLeaderError("the control VM is disconnected")
        self.catch_up()
        return self.applied


class FakeStream:
    """Fake one end of a stream; messages wait in order while the link is cut."""

    def __init__(self, link):
        self._link = link
        self.peer = None
        self.inbox = asyncio.Queue()
        self.delayed = []
        self.broken = False

    def post(self, item):
        self.peer.delayed.append(item)
        self.peer.deliver()

    def deliver(self):
        if self._link.cut:
            return
        while self.delayed:
            self.inbox.put_nowait(self.delayed.pop(0))

    async def receive(self):
        item = await self.inbox.get()
        if item is None:
            raise rpc.LinkError("closed")
        return item

    async def close(self):
        for end in (self, self.peer):
            end.broken = True
            end.inbox.put_nowait(None)


class FakeLink:
    """Fake the network between one entry and one control VM."""

    def __init__(self, model, control):
        self._model = model
        self._control = control
        self.cut = False
        self.streams = []

    async def open(self, first):
        if self.cut:
            raise rpc.LinkError("unreachable")
        near, far = FakeStream(self), FakeStream(self)
        near.peer, far.peer = far, near
        self.streams = [s for s in self.streams if not s.broken] + [near, far]
        self._model.tasks.append(asyncio.create_task(self._serve(first, far)))
        return near

    async def _serve(self, first, stream):
        try:
            await self._control.hub.serve(first, stream)
        except error.SeamError:
            await stream.close()

    def heal(self):
        self.cut = False
        for stream in self.streams:
            stream.deliver()


class FakeClient:
    def __init__(self, links):
        self._links = links

    @property
    def addresses(self):
        return tuple(self._links)

    def get_channel(self, address):
        return self._links[address]


class MirrorModel(RuleBasedStateMachine):
    """Publish and withdraw while control VMs and links are cut and healed."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self.set_up())

    async def set_up(self):
        self.timer = timer.FakeTimer()
        self.log = []
        self.tasks = []
        self.withdrawn = {}
        self.revisions = dict.fromkeys(ENTRIES, 0)
        self.controls = {name: FakeControl(self) for name in CONTROLS}
        self.links = {}
        self.mirrors = {}
        self.commit(command.Publish("p", 0, self.render(), 0.0))
        for name in KEYS:
            issued = command.IssueKey(name, name, "grower", key.digest(name), 0.0)
            self.commit(issued)
        for entry in ENTRIES:
            links = {n: FakeLink(self, c) for n, c in self.controls.items()}
            own_timeline = timeline.Timeline(entry, self.timer)
            self.links[entry] = links
            self.mirrors[entry] = mirror.Mirror(
                entry, "seam-entry", FakeClient(links), own_timeline, self.timer
            )
            await self.mirrors[entry].start()
        await self.timer.advance(1.0)

    def teardown(self):
        self.loop.run_until_complete(self.tear_down())
        self.loop.close()

    async def tear_down(self):
        for item in self.mirrors.values():
            await item.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def render(self):
        document = {
            "contracts": {"standard": {"rate": 1 + len(self.log), "burst": 9}},
            "customers": {"grower": {"contract": "standard"}},
        }
        return json.dumps(document).encode()

    def commit(self, item):
        """Commit a command if a quorum is connected; the others apply it later."""
        live = [c for c in self.controls.values() if not c.cut]
        if len(live) < QUORUM:
            return False
        self.log.append(item)
        for control in live:
            control.catch_up()
        return True

    def run(self, work):
        self.loop.run_until_complete(work)

    async def do_commit(self, item):
        if self.commit(item):
            await self.timer.settle()
            return True
        return False

    @rule()
    def publish(self):
        live = next(c for c in self.controls.values() if not c.cut)
        live.catch_up()
        base = record.read_revision(live.machine.state)
        item = command.Publish(f"p{len(self.log)}", base, self.render(), 0.0)
        self.run(self.do_commit(item))

    @rule(name=st.sampled_from(KEYS))
    def withdraw(self, name):
        item = command.WithdrawKey(f"w{len(self.log)}", name, 0.0)
        if self.loop.run_until_complete(self.do_commit(item)):
            self.withdrawn.setdefault(name, self.timer.read_clock())

    @rule(
        entry=st.sampled_from(ENTRIES),
        kept=st.sets(st.sampled_from(CONTROLS), max_size=1),
    )
    def cut_links(self, entry, kept):
        """Disconnect the entry from all control VMs, or from all but one."""
        for name, link in self.links[entry].items():
            link.cut = name not in kept

    @rule(entry=st.sampled_from(ENTRIES))
    def heal_links(self, entry):
        """Deliver all delayed messages."""
        for link in self.links[entry].values():
            link.heal()
        self.run(self.timer.settle())

    @rule(entry=st.sampled_from(ENTRIES))
    def deliver_one(self, entry):
        """Deliver one delayed message of each stream, even if the link is cut."""
        for link in self.links[entry].values():
            for stream in link.streams:
                if stream.delayed:
                    stream.inbox.put_nowait(stream.delayed.pop(0))
        self.run(self.timer.settle())

    @rule(entry=st.sampled_from(ENTRIES), name=st.sampled_from(CONTROLS))
    def connect_to_minority(self, entry, name):
        """Connect the entry only to a control VM without a quorum."""
        for control in self.controls.values():
            control.cut = False
        self.controls[name].cut = True
        for other, link in self.links[entry].items():
            link.cut = other != name

    @rule(seconds=st.sampled_from((0.4, 1.2, WITHDRAWN_SECONDS)))
    def advance(self, seconds):
        self.run(self.timer.advance(seconds))

    @rule()
    def heal_all(self):
        for control in self.controls.values():
            control.cut = False
        for links in self.links.values():
            for link in links.values():
                link.heal()
        self.run(self.timer.advance(2 * WITHDRAWN_SECONDS))
        published = sum(isinstance(item, command.Publish) for item in self.log)
        for item in self.mirrors.values():
            assert item.is_confirmed(), "not confirmed after healing"
            assert item.revision == published, "an old revision is in force"

    @invariant()
    def no_withdrawn_key_works(self):
        now = self.timer.read_clock()
        for entry, item in self.mirrors.items():
            for name, at in self.withdrawn.items():
                late = now - at >= WITHDRAWN_SECONDS
                is_accepted = access.is_valid(item, access.Caller("grower", name))
                assert not (late and is_accepted), f"{entry} still accepts {name}"

    @invariant()
    def revisions_never_decrease(self):
        for entry, item in self.mirrors.items():
            assert item.revision >= self.revisions[entry]
            self.revisions[entry] = item.revision


MirrorTest = MirrorModel.TestCase
MirrorTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=25,
)


class MirrorLeaseTest(unittest.TestCase):
    """Test each failure alone; the model above combines them."""

    def setUp(self):
        self.model = MirrorModel()
        self.addCleanup(self.model.teardown)
        self.mirror = self.model.mirrors["e1"]

    def is_key_valid(self):
        return access.is_valid(self.mirror, access.Caller("grower", "k1"))

    def test_entry_disconnected_before_the_withdrawal(self):
        self.model.cut_links("e1", set())
        self.model.withdraw("k1")
        self.model.advance(WITHDRAWN_SECONDS)
        self.assertFalse(self.is_key_valid())

    def test_control_vm_without_quorum_connected_to_the_entry(self):
        self.model.connect_to_minority("e1", "c2")
        self.model.advance(0.4)
        self.model.withdraw("k1")
        self.model.advance(WITHDRAWN_SECONDS)
        self.assertFalse(self.is_key_valid())

    def test_late_renewal_counts_from_its_ping(self):
        self.model.run(self.mirror.refresh())
        self.model.cut_links("e1", set())
        self.model.advance(0.6)
        self.model.deliver_one("e1")  # The ping arrives, but its renewal is delayed.
        self.model.withdraw("k1")
        self.model.advance(0.8)
        self.model.deliver_one("e1")  # The renewal from before the withdrawal.
        self.model.advance(WITHDRAWN_SECONDS - 0.8)
        self.assertFalse(self.is_key_valid())

    def test_older_revision_from_a_control_vm_is_rejected(self):
        self.model.publish()
        self.model.run(self.model.timer.settle())
        self.assertEqual(self.mirror.revision, 2)
        old = notice.Whole(1, self.model.log[0].document, (), ())
        with self.assertRaises(error.ControlError):
            self.mirror._apply(old)
        self.assertEqual(self.mirror.revision, 2)

    def test_a_fault_of_one_listener_ends_neither_the_watch_nor_the_others(self):
        calls = []

        def fail():
            raise KeyError("gone")

        self.mirror.subscribe(fail)
        self.mirror.subscribe(lambda: calls.append(self.mirror.revision))
        with self.assertLogs(mirror.logger, "ERROR"):
            for _ in range(2):
                self.model.publish()
                self.model.run(self.model.timer.settle())
        self.assertEqual((self.mirror.revision, calls), (3, [2, 3]))

    def test_watch_of_a_control_vm_without_quorum(self):
        """The mirror is never confirmed, even after a long time."""
        self.model.connect_to_minority("e1", "c1")
        self.model.advance(WITHDRAWN_SECONDS)
        self.model.publish()
        self.model.advance(WITHDRAWN_SECONDS)
        self.assertFalse(self.mirror.is_confirmed())
