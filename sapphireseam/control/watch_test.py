import asyncio
import unittest

from sapphireseam.control import record, watch
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import command, notice
from sapphireseam.tools.fake import FakeReplica
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timeline import Timeline
from sapphireseam.utils.timer import FakeTimer


class SilentStream:
    """A stream on which the process sends nothing after it has opened the watch."""

    def post(self, item):
        pass

    async def receive(self):
        await asyncio.get_running_loop().create_future()


class ListWatchersTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_process_is_listed_for_an_hour_then_dropped(self):
        timer = FakeTimer()
        machine = StateMachine()
        replica = FakeReplica(machine)
        replica.read_index = replica.confirm_leadership
        hub = watch.WatchHub(replica, machine, Timeline("control", timer), timer)
        first = notice.Watch("entry-1", "seam-entry", 0)
        serving = asyncio.create_task(hub.serve(first, SilentStream()))
        self.addCleanup(serving.cancel)
        await timer.advance(watch.SILENT_RETENTION_SECONDS)
        listed = [(view.node, view.silent) for view in hub.list_watchers()]
        self.assertEqual(listed, [("entry-1", watch.SILENT_RETENTION_SECONDS)])
        await timer.advance(1.0)
        self.assertEqual(hub.list_watchers(), ())


class MirrorStream(SilentStream):
    """A stream that passes what it carries to a mirror at once."""

    def __init__(self, mirror):
        self._mirror = mirror

    def post(self, item):
        self._mirror._apply(item)


class BrokenStream(SilentStream):
    """A stream that can carry no change."""

    def __init__(self):
        self.is_aborted = False

    def post(self, item):
        if not isinstance(item, notice.Whole):
            raise ValueError("can't be encoded")

    def abort(self):
        self.is_aborted = True


class LostChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_that_missed_a_change_ends(self):
        timer = FakeTimer()
        machine = StateMachine()
        replica = FakeReplica(machine)
        replica.read_index = replica.confirm_leadership
        hub = watch.WatchHub(replica, machine, Timeline("control", timer), timer)
        stream = BrokenStream()
        first = notice.Watch("entry-1", "seam-entry", 0)
        serving = asyncio.create_task(hub.serve(first, stream))
        self.addCleanup(serving.cancel)
        await timer.advance(0.0)
        item = command.MarkLeaving("m", "u", True, 0.0)
        machine.apply(1, command.REGISTRY.encode(item))
        self.assertTrue(stream.is_aborted)


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def test_mirrors_have_the_evacuations_whenever_they_open_their_watch(self):
        timer = FakeTimer()
        machine = StateMachine()
        replica = FakeReplica(machine)
        replica.read_index = replica.confirm_leadership
        hub = watch.WatchHub(replica, machine, Timeline("control", timer), timer)
        mirrors = []
        for number, domain in enumerate("aba", 1):
            mirror = Mirror("entry-1", "seam-entry", None, Timeline("e", timer), timer)
            first = notice.Watch("entry-1", "seam-entry", 0)
            serving = asyncio.create_task(hub.serve(first, MirrorStream(mirror)))
            self.addCleanup(serving.cancel)
            await timer.advance(0.0)
            mirrors.append(mirror)
            item = command.SetEvacuation(
                f"r{number}", domain, number < 3, 0.0, is_forced=True
            )
            machine.apply(number, command.REGISTRY.encode(item))
            known = {each.evacuated for each in mirrors}
            self.assertEqual(known, {record.read_evacuated(machine.state)})
        self.assertEqual(mirrors[0].evacuated.domains, ("b",))


class VerdictTest(unittest.IsolatedAsyncioTestCase):
    async def test_mirror_has_each_verdict_and_loses_those_that_are_cleared(self):
        timer = FakeTimer()
        machine = StateMachine()
        replica = FakeReplica(machine)
        replica.read_index = replica.confirm_leadership
        hub = watch.WatchHub(replica, machine, Timeline("control", timer), timer)
        first = notice.Watch("entry-1", "seam-entry", 0)
        reports = [
            command.ReportCrash("", "u", f"u/{n}", ((f"f{n}", "part:a"),), float(n))
            for n in range(4)
        ]
        mirrors = []
        for number, item in enumerate((*reports, command.ClearTraits(("part:a",)))):
            mirror = Mirror("entry-1", "seam-entry", None, Timeline("e", timer), timer)
            serving = asyncio.create_task(hub.serve(first, MirrorStream(mirror)))
            self.addCleanup(serving.cancel)
            await timer.advance(0.0)
            mirrors.append(mirror)
            machine.apply(number, command.REGISTRY.encode(item))
            for each in mirrors:
                self.assertEqual(each.verdicts, machine.state.verdicts)
        self.assertNotIn("part:a", mirrors[0].verdicts)


if __name__ == "__main__":
    unittest.main()
