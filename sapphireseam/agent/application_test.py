"""Test how an agent follows changes of the configuration."""

import unittest

from sapphireseam.agent import application, engine
from sapphireseam.agent.scheduler import Scheduler
from sapphireseam.core import fleet
from sapphireseam.core.evacuation import Evacuated
from sapphireseam.policy import registry
from sapphireseam.tools import fake
from sapphireseam.utils.timer import FakeTimer

DOCUMENT = {
    "failure_domains": {"d": {"region": "r"}},
    "contracts": {"s": {"rate": 1, "burst": 1, "weight": 3}},
    "customers": {"c": {"contract": "s"}},
    "upstreams": {
        "u": {
            "failure_domain": "d",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:2",
            "service": "s",
            "slots": 2,
        }
    },
}


class ConfigurationFollowerTest(unittest.TestCase):
    def setUp(self):
        timer = FakeTimer()
        self.mirror = fake.FakeMirror(DOCUMENT)
        self.scheduler = Scheduler(
            registry.build({}, "queue"),
            registry.build({}, "admission"),
            self.mirror,
            timer,
        )
        application.ConfigurationFollower(
            "u", self.mirror, engine.UpstreamClient("u", timer), self.scheduler
        )

    def test_a_customer_that_loses_its_contract_does_not_stop_the_agent(self):
        self.mirror.notify()
        self.mirror.fleet = fleet.require(
            DOCUMENT
            | {
                "customers": {"c": {"contract": ""}},
                "upstreams": {"u": DOCUMENT["upstreams"]["u"] | {"slots": 5}},
            }
        )
        self.mirror.notify()
        self.mirror.leaving.add("u")
        self.mirror.notify()
        self.assertEqual((self.scheduler.slots, self.scheduler.draining), (5, True))

    def test_no_work_is_accepted_while_the_domain_is_evacuated(self):
        for number, domains in enumerate((("d",), ("e",), ("d", "e"), ()), 1):
            self.mirror.evacuated = Evacuated(number, domains)
            self.mirror.notify()
            self.assertEqual(self.scheduler.draining, "d" in domains)
        self.mirror.leaving.add("u")
        self.mirror.evacuated = Evacuated(9, ("d",))
        self.mirror.notify()
        self.mirror.evacuated = Evacuated(10, ())
        self.mirror.notify()
        self.assertTrue(self.scheduler.draining)
