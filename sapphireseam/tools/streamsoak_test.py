"""Tests a short soak of streams, one seed.

Seeds that revealed a fault of the system are listed with their causes in
docs/measure/soak.md.
"""

import unittest

from multidict import CIMultiDict

from sapphireseam.tools import streamsoak
from sapphireseam.utils import fakeupstream

SEED = 1
# Its calm run judges many resumptions.
CALM_SEED = 3
SECONDS = 16.0


class StreamSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_soak_of_streams_finds_no_fault(self):
        result = await self.play(is_calm=False)
        self.assertGreater(result.counts["cold spells"], 0)
        self.assertGreater(result.counts["requests to cold upstreams"], 0)

    async def test_a_calm_soak_judges_resumptions(self):
        result = await self.play(is_calm=True)
        judged = result.counts["resumptions"]
        self.assertGreaterEqual(judged, streamsoak.MIN_RESUMPTIONS)
        self.assertNotIn("cold spells", result.counts)

    async def play(self, is_calm):
        seed = CALM_SEED if is_calm else SEED
        result = await streamsoak.StreamSoak(seed, is_calm).run(SECONDS)
        self.assertEqual(result.findings, ())
        self.assertGreater(result.counts["complete"], 0)
        self.assertGreater(result.counts["break"], 0)
        self.assertGreater(result.counts["crashes"], 0)
        self.assertGreater(result.counts["refused parts"], 0)
        self.assertGreater(result.counts["evacuations"], 0)
        return result

    async def test_only_the_run_that_said_it_leaves_must_get_nothing_more(self):
        for born, findings in ((1, []), (0, ["u1 got a request from e while it left"])):
            soak = streamsoak.StreamSoak(SEED)
            upstream = fakeupstream.FakeUpstream("u1")
            await soak._watch_leaving("e", upstream, 0)
            headers = CIMultiDict({"Entry": "e", streamsoak.BORN: str(born)})
            upstream.runs.append(fakeupstream.Run("r", "/", headers, b""))
            soak._check_leaving()
            self.assertEqual(soak.findings, findings)

    async def test_a_run_gets_no_more_than_its_rate_while_all_know_that_it_is_cold(
        self,
    ):
        most = round(streamsoak.COLD_RATE * streamsoak.COLD_OVERAGE)
        most += streamsoak.COLD_SLACK
        for count, seconds, born, findings in (
            (most, 0.9, 1, 0),
            (most + 1, 0.9, 1, 1),
            (most + 1, 0.9, 0, 0),
            (most + 1, 1.1, 1, 0),
        ):
            soak = streamsoak.StreamSoak(SEED)
            upstream = fakeupstream.FakeUpstream("u1")
            soak._cold_spells[streamsoak.ColdSpell(upstream, 1, 9.0)] = 0.0
            headers = CIMultiDict({streamsoak.SENT: "2.0"})
            run = fakeupstream.Run("r", "/", headers, b"", 2.0 + seconds, born)
            upstream.runs += [run] * count
            soak._check_cold()
            self.assertEqual(len(soak.findings), findings)


if __name__ == "__main__":
    unittest.main()
