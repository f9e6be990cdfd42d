"""Test at which control VM an entry reads."""

import unittest

from sapphireseam.policy import nearby

ADDRESSES = ("a1", "a2", "b1", "c1")
DOMAINS = ("a", "a", "b", "c")


class NearbyReadersTest(unittest.TestCase):
    def setUp(self):
        self.readers = nearby.NearbyReaders("a")
        self.readers.update(ADDRESSES, DOMAINS)

    def test_reads_take_turns_within_the_domain(self):
        picked = [self.readers.pick("c1", 0.0) for _ in range(4)]
        self.assertEqual(sorted(picked), ["a1", "a1", "a2", "a2"])

    def test_a_leader_in_the_domain_is_asked_itself(self):
        self.assertEqual(self.readers.pick("a2", 0.0), "")

    def test_one_that_failed_is_left_out_for_a_while(self):
        self.readers.record_failure("a1", 0.0)
        self.assertEqual({self.readers.pick("c1", 1.0) for _ in range(4)}, {"a2"})
        self.readers.record_failure("a2", 1.0)
        self.assertEqual(self.readers.pick("c1", 2.0), "")
        later = 1.0 + nearby.AVOID_SECONDS
        # One read tries each of them first.
        picked = [self.readers.pick("c1", later) for _ in range(4)]
        self.assertEqual(sorted(picked), ["", "", "a1", "a2"])
        self.readers.record_success("a1")
        self.assertEqual({self.readers.pick("c1", later) for _ in range(4)}, {"a1"})

    def test_unknown_domains_change_nothing(self):
        self.readers.update(("x1",), ())
        self.assertIn(self.readers.pick("c1", 0.0), ("a1", "a2"))

    def test_a_new_leader_that_knows_no_domain_yet_changes_nothing(self):
        self.readers.update(("a1", "x1"), ("", ""))
        self.assertEqual({self.readers.pick("c1", 0.0) for _ in range(4)}, {"a1"})

    def test_without_a_vm_in_the_domain_the_leader_is_asked(self):
        self.readers.update(("b1",), ("b",))
        self.assertEqual(self.readers.pick("b1", 0.0), "")


if __name__ == "__main__":
    unittest.main()
