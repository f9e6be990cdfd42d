"""Test following the list of upstreams."""

import asyncio
import unittest
from types import SimpleNamespace

from sapphireseam.control import poller
from sapphireseam.core import error
from sapphireseam.core.instance import Instance
from sapphireseam.utils.timer import FakeTimer

LIST = (Instance("i-1", "llm", "10.0.0.1:80", "z", 8),)


class ScriptedSource:
    """Return or raise what the script says, then the last of it again."""

    def __init__(self, *script):
        self.script = list(script)

    async def list(self):
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


class InstancePollerTest(unittest.IsolatedAsyncioTestCase):
    async def poll(self, source, on_list, is_leader=True) -> FakeTimer:
        timer = FakeTimer()
        replica = SimpleNamespace(is_leader=is_leader)
        followed = poller.InstancePoller(source, replica, timer, on_list)
        await followed.start()
        self.addAsyncCleanup(followed.stop)
        for _ in range(3):
            await timer.advance(poller.POLL_SECONDS)
        await asyncio.sleep(0)
        return timer

    async def test_only_the_leader_reads_the_list(self):
        lists = []
        await self.poll(ScriptedSource(LIST), lists.append, is_leader=False)
        self.assertEqual(lists, [])

    async def test_the_list_is_followed_after_any_error_of_its_source(self):
        for failure in (error.ControlError("no answer"), TypeError("odd"), KeyError()):
            lists = []
            await self.poll(ScriptedSource(failure, LIST), lists.append)
            self.assertIn(LIST, lists, failure)

    async def test_the_list_is_followed_after_an_error_of_what_follows_it(self):
        lists = []

        def refuse_first(instances):
            lists.append(instances)
            if len(lists) == 1:
                raise OverflowError("slots don't fit")

        await self.poll(ScriptedSource(LIST), refuse_first)
        self.assertGreater(len(lists), 1)


if __name__ == "__main__":
    unittest.main()
