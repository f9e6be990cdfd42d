"""Test that a bulk job is accepted once and that results keep their positions."""

import unittest

from sapphireseam.control import machine
from sapphireseam.core import command, outcome


def make_job(name="l1", count=3, limit=0, customer="c"):
    items = tuple(
        command.LotItem(f"{name}-{n}", "/x/", (), b"body", 10) for n in range(count)
    )
    return command.AcceptLot(name, customer, "r", items, limit, 1.0, 19.0, 61.0)


class BulkJobTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()
        self.index = 0

    def apply(self, item):
        self.index += 1
        return self.machine.apply(self.index, command.REGISTRY.encode(item))

    def append(self, *items, job="l1"):
        results = tuple(
            command.LotResult(job, number, False, output) for number, output in items
        )
        return self.apply(command.ListResults(results))

    def read(self, job="l1"):
        return [tuple(result) for result in self.machine.state.lots[job].results]

    def test_a_job_is_accepted_once(self):
        self.assertIsInstance(self.apply(make_job()), outcome.Done)
        self.append((0, b"a"))
        self.assertIsInstance(self.apply(make_job()), outcome.Done)
        self.assertEqual(self.read(), [(0, False, b"a")])

    def test_id_of_another_customers_job_is_refused(self):
        self.apply(make_job())
        answer = self.apply(make_job(customer="d"))
        self.assertEqual(answer.kind, "conflict")

    def test_item_keeps_its_first_result_and_position(self):
        self.apply(make_job())
        self.append((1, b"first"))
        self.append((1, b"second"), (0, b"a"))
        self.assertEqual(self.read(), [(1, False, b"first"), (0, False, b"a")])

    def test_token_limit_counts_items_without_result(self):
        self.apply(make_job("l1", 3, 50))
        refused = self.apply(make_job("l2", 3, 50))
        self.assertEqual(refused.kind, "rate_limited")
        self.append((0, b"a"))
        self.assertIsInstance(self.apply(make_job("l2", 3, 50)), outcome.Done)

    def test_ended_job_takes_no_more_results(self):
        self.apply(make_job())
        self.append((2, b"kept"))
        self.assertIsInstance(self.apply(command.EndLot("l1", "c")), outcome.Done)
        self.append((0, b"late"))
        self.assertEqual(
            self.read(), [(2, False, b"kept"), (0, True, b""), (1, True, b"")]
        )
        self.assertIsInstance(self.apply(command.EndLot("l1", "c")), outcome.Done)

    def test_another_customer_cannot_end_a_job(self):
        self.apply(make_job())
        answer = self.apply(command.EndLot("l1", "d"))
        self.assertEqual(answer.kind, "object_unknown")

    def test_open_job_is_not_deleted(self):
        self.apply(make_job())
        self.apply(command.ForgetLots(("l1",)))
        self.assertIn("l1", self.machine.state.lots)
        self.append((0, b""), (1, b""), (2, b""))
        self.apply(command.ForgetLots(("l1",)))
        self.assertNotIn("l1", self.machine.state.lots)

    def save(self, after, last, output, lineage="", continues=""):
        part = command.LotPart(
            "l1", 0, after, last, output, lineage=lineage, continues=continues
        )
        self.apply(command.KeepParts((part,)))

    def finish(self, after, output, is_rest_empty=False, continues=""):
        result = command.LotResult(
            "l1", 0, False, output, after, is_rest_empty, continues
        )
        self.apply(command.ListResults((result,)))
        return self.read()

    def test_output_is_joined_from_its_parts(self):
        self.apply(make_job())
        self.save(-1, 1, b"e0\ne1")
        self.save(1, 2, b"e2")
        self.assertEqual(self.finish(2, b"e3"), [(0, False, b"e0\ne1\ne2\ne3")])
        self.assertEqual(self.machine.state.lots["l1"].partials, {})

    def test_result_may_consist_of_saved_parts_alone(self):
        self.apply(make_job())
        self.save(-1, 1, b"e0\ne1")
        self.assertEqual(self.finish(1, b"", True), [(0, False, b"e0\ne1")])

    def test_part_that_does_not_continue_the_output_is_dropped(self):
        self.apply(make_job())
        self.save(-1, 1, b"e0\ne1")
        self.save(3, 4, b"e4")
        self.assertEqual(self.finish(4, b"e5"), [])
        self.assertEqual(self.machine.state.lots["l1"].partials[0].last, 1)

    def test_parts_of_two_runs_with_the_same_numbers_are_not_joined(self):
        self.apply(make_job())
        self.save(-1, 1, b"e0\ne1", "a")
        self.save(1, 3, b"b2\nb3", "b", "a")
        self.save(1, 3, b"c2\nc3", "c", "a")
        self.save(3, 4, b"c4", "c", "c")
        self.assertEqual(self.finish(3, b"c4", continues="c"), [])
        expected = b"e0\ne1\nb2\nb3\nb4"
        self.assertEqual(self.finish(3, b"b4", continues="b"), [(0, False, expected)])

    def test_part_from_the_first_event_replaces_the_saved_output(self):
        self.apply(make_job())
        self.save(-1, 1, b"old")
        self.save(-1, 0, b"new")
        self.assertEqual(self.finish(0, b"x"), [(0, False, b"new\nx")])

    def test_snapshot_contains_complete_jobs(self):
        self.apply(make_job())
        self.append((1, b"x"))
        self.save(-1, 1, b"part")
        other = machine.StateMachine()
        other.restore(self.machine.encode())
        self.assertEqual(other.state.lots, self.machine.state.lots)


class PublishNumberedTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def publish(self, number, document=b"{}", source=b"s"):
        item = command.PublishNumbered(number, document, source, 1.0)
        return self.machine.apply(number, command.REGISTRY.encode(item))

    def test_highest_number_wins_and_lower_ones_change_nothing(self):
        self.publish(7, source=b"seven")
        for number in (3, 7):
            answer = self.publish(number, source=b"other")
            self.assertIsInstance(answer, outcome.Done)
        state = self.machine.state
        self.assertEqual(state.numbers["revision"], 7)
        self.assertEqual(state.history[7].source, b"seven")

    def test_refused_publish_does_not_use_up_its_number(self):
        bad = b'{"routes": {"r": {"path": "/x/", "service": "none"}}}'
        self.assertEqual(self.publish(5, bad).kind, "bad_configuration")
        self.assertIsInstance(self.publish(5), outcome.Done)
        self.assertEqual(self.machine.state.numbers["revision"], 5)


if __name__ == "__main__":
    unittest.main()
