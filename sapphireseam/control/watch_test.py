import asyncio
import unittest

from sapphireseam.control import watch
from sapphireseam.control.machine import StateMachine
from sapphireseam.core import notice
from sapphireseam.tools.fake import FakeReplica
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


if __name__ == "__main__":
    unittest.main()
