"""Test that every metric of a deployment with discovery is exposed."""

import types
import unittest

from prometheus_client import generate_latest
from prometheus_client.parser import text_string_to_metric_families

from sapphireseam.control import machine as machines, meter
from sapphireseam.core import command
from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator
from sapphireseam.utils import metric


class DiscoveryMetricTest(unittest.TestCase):
    def scrape(self):
        """Return the samples of the two meters of this test by metric."""
        found = {}
        for family in text_string_to_metric_families(generate_latest().decode()):
            for sample in family.samples:
                if sample.labels.get("node", "").endswith("-m"):
                    found.setdefault(sample.name, []).append(sample)
        return found

    def test_each_metric_is_exposed_with_its_labels_and_counts(self):
        slots = allocator.SlotAllocator()
        slots.update((Instance("i1", "llm", "10.0.0.1:80", "z", 8),), 0.0)
        slots.set_evacuated(frozenset({"y"}), 0.0)
        slots.place(allocator.SlotRequest("k", "llm", "c", 0, "z", 0.0, 1.0), 0.0)
        machine = machines.StateMachine()
        items = (command.LotItem("i", "/x", (), b"", 1),)
        job = command.AcceptLot("l", "c", "r", items, 0, 0.0, 1.0, 2.0)
        machine.apply(1, command.REGISTRY.encode(job))
        named = command.ReportCeiling("i1", "i1/0", 2.5, 0.0)
        machine.apply(2, command.REGISTRY.encode(named))
        control = metric.Meter("control-m")
        replica = types.SimpleNamespace(is_leader=True)
        meter.report_slots(control, slots, machine, replica, tuple)
        entry = metric.Meter("entry-m")
        entry.observe(metric.PLACEMENT, 0.01, outcome="placed")
        entry.read(metric.ENTRY_NUMBER, lambda: 1)
        entry.read_many(metric.CUT, lambda: [(1, {"cause": "silent"})])
        entry.read_many(metric.BULK_READS, lambda: [(1, {"source": "near"})])
        found = self.scrape()
        for item in metric.METRICS:
            if not item.is_discovery:
                continue
            name = item.get_exported_name()
            if item.form is metric.Form.HISTOGRAM:
                name += "_count"
            labels = set(found[name][0].labels)
            self.assertEqual(labels, {"node", *item.labels}, item.name)
        slot_counts = {s.labels["work"]: s.value for s in found["seam_places"]}
        self.assertEqual(
            slot_counts, {"online": 1, "batch": 0, "free": 7, "waiting": 0}
        )
        item_counts = {s.labels["state"]: s.value for s in found["seam_lot_items"]}
        self.assertEqual(item_counts["open"], 1)
        self.assertEqual(found["seam_ceiling"][0].value, 2.5)
        self.assertGreater(found["seam_ceiling_age_seconds"][0].value, 0.0)
        replica.is_leader = False
        self.assertNotIn("seam_places", self.scrape())


if __name__ == "__main__":
    unittest.main()
