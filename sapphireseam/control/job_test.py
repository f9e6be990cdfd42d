"""Tests that each item of a job ends once under any order of commands."""

import json
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sapphireseam.control import job, record
from sapphireseam.core import command, error, outcome

ITEMS = 6
ROUTES = {
    "chat": {"path": "/v1/chat/completions"},
    "post": {"path": "/post", "service": "post", "idempotent": False},
}


def make_state(endpoint: str = "/v1/chat/completions") -> record.State:
    """Return a state with one job over a file of `ITEMS` lines."""
    state = record.create()
    document = json.dumps({"routes": ROUTES}).encode()
    state.history[1] = record.Revision(1, document, 0.0, "", "")
    state.numbers["revision"] = 1
    job.create_file(
        state,
        command.CreateFile(
            "f", "f", "c", "f", "batch", "b", 9, ITEMS, endpoint, "m", 0.0
        ),
    )
    job.submit(state, make_submission(endpoint=endpoint))
    return state


def make_submission(
    request: str = "r", endpoint: str = "/v1/chat/completions"
) -> command.SubmitJob:
    return command.SubmitJob(request, "j", "c", "k", "f", endpoint, 100.0, 0.0)


def list_results(state: record.State) -> list[tuple[int, int, bool, str]]:
    return [result for chunk in state.chunks["j"] for result in chunk.results]


class JobMachine(RuleBasedStateMachine):
    """Apply commands of agents that lose, resend and reorder their messages."""

    endpoint = "/v1/chat/completions"

    def __init__(self):
        super().__init__()
        self.state = make_state(self.endpoint)
        self.index = 10
        self.leased: dict[int, tuple[int, ...]] = {}
        self.started: set[int] = set()
        self.at_cancel: int | None = None

    def _pick(self, number: int) -> int:
        return sorted(self.leased)[number % len(self.leased)]

    @rule(count=st.integers(1, 4))
    def lease(self, count):
        self.index += 1
        item = command.LeaseItems("j", count, "a")
        answer = job.lease(self.state, item, self.index)
        if not isinstance(answer, outcome.Leased) or not answer.items:
            return
        held = [i for lease in self.state.leases.values() for i in lease.items]
        assert len(held) == len(set(held)), "an item is leased twice"
        assert not self.started & set(answer.items)
        self.leased[answer.lease] = answer.items

    @precondition(lambda self: self.leased)
    @rule(number=st.integers(0, 99))
    def start(self, number):
        lease = self._pick(number)
        for item in self.leased[lease]:
            mark = command.StartItems(lease, (item,))
            if isinstance(job.start(self.state, mark), outcome.Done):
                assert item not in self.started, "started twice"
                assert self.at_cancel is None, "started after the cancel"
                self.started.add(item)

    @precondition(lambda self: self.leased)
    @rule(number=st.integers(0, 99), failed=st.booleans(), part=st.integers(1, 4))
    def complete(self, number, failed, part):
        lease = self._pick(number)
        results = tuple(
            command.ItemResult(item, line, failed)
            for line, item in enumerate(self.leased[lease][:part])
        )
        job.complete(self.state, command.CompleteItems(lease, "blob", results, 1.0))

    @precondition(lambda self: self.leased)
    @rule(number=st.integers(0, 99), blamed=st.booleans(), not_run=st.booleans())
    def give_back(self, number, blamed, not_run):
        lease = self._pick(number)
        items = self.leased[lease][:2]
        unrun = items if not_run else ()
        found = self.state.leases.get(lease)
        blame = items if blamed else ()
        item = command.ReturnItems(lease, items, blame, 1.0, unrun)
        answer = job.return_items(self.state, item)
        if isinstance(answer, outcome.Done) and not_run:
            self.started -= set(items) & set(found.items)

    @precondition(lambda self: self.leased)
    @rule(number=st.integers(0, 99))
    def expire(self, number):
        job.expire(self.state, command.ExpireLease(self._pick(number), 1.0))

    @rule()
    def cancel(self):
        job.cancel(self.state, command.CancelJob("c", "j", 1.0))
        answer = job.finish_cancel(self.state, command.FinishCancel("j", 1.0))
        if isinstance(answer, outcome.Done):
            self.at_cancel = len(list_results(self.state))

    @rule()
    def resubmit(self):
        answer = job.submit(self.state, make_submission(endpoint=self.endpoint))
        assert answer == outcome.Done("j")

    @invariant()
    def has_one_result_an_item(self):
        results = list_results(self.state)
        items = [result[0] for result in results]
        assert len(items) == len(set(items)), "an item has two results"
        found = self.state.jobs["j"]
        assert found.done + found.failed == len(items)

    @invariant()
    def loses_no_item(self):
        """Each open item is leased, returned or not leased so far."""
        found = self.state.jobs["j"]
        held = {i for lease in self.state.leases.values() for i in lease.items}
        waiting = set(self.state.returned["j"]) | set(range(found.next_item, ITEMS))
        ended = {result[0] for result in list_results(self.state)}
        assert held | waiting | ended == set(range(ITEMS))
        assert not held & ended

    @invariant()
    def has_no_result_after_cancel(self):
        if self.at_cancel is not None:
            assert len(list_results(self.state)) == self.at_cancel
            assert not self.state.leases


class OnceMachine(JobMachine):
    """Apply the same commands to a job whose items aren't idempotent."""

    endpoint = "/post"


for machine in (JobMachine, OnceMachine):
    machine.TestCase.settings = settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=150,
        stateful_step_count=30,
    )
JobMachineTest = JobMachine.TestCase
OnceMachineTest = OnceMachine.TestCase


class AgentLossTest(unittest.TestCase):
    def lose_lease(self, state, index, count=4):
        answer = job.lease(state, command.LeaseItems("j", count, "a"), index)
        job.expire(state, command.ExpireLease(index, 1.0))
        return answer.items

    def test_lost_agent_with_many_items_blames_no_item(self):
        state = make_state()
        singles = ITEMS * (job.TRY_LIMIT - 1)
        for index in range(10, 11 + singles):
            self.lose_lease(state, index, ITEMS if index == 10 else 1)
        self.assertEqual(list_results(state), [])

    def test_item_under_which_agents_are_lost_is_still_owed_and_others_end(self):
        state = make_state()
        unlucky = 2
        losses = []
        index = 10
        while state.jobs["j"].status == record.IN_PROGRESS:
            index += 1
            self.assertLess(index, 100, "the job doesn't end")
            answer = job.lease(state, command.LeaseItems("j", 4, "a"), index)
            if unlucky in answer.items and len(losses) < 3 * job.TRY_LIMIT:
                losses.append(answer.items)
                job.expire(state, command.ExpireLease(index, 1.0))
                continue
            results = tuple(
                command.ItemResult(item, line, False)
                for line, item in enumerate(answer.items)
            )
            job.complete(state, command.CompleteItems(index, "blob", results, 1.0))
        self.assertEqual(len(losses), 3 * job.TRY_LIMIT)
        self.assertEqual(set(losses[1:]), {(unlucky,)})
        failed = [result[0] for result in list_results(state) if result[2]]
        self.assertEqual(failed, [])

    def test_started_item_that_did_not_run_is_queued_again(self):
        state = make_state("/post")
        answer = job.lease(state, command.LeaseItems("j", 1, "a"), 10)
        job.start(state, command.StartItems(10, answer.items))
        item = command.ReturnItems(10, answer.items, (), 1.0, answer.items)
        job.return_items(state, item)
        self.assertEqual(list_results(state), [])
        self.assertIn(answer.items[0], state.returned["j"])

    def test_item_lost_after_start_ends_as_outcome_unknown_once(self):
        state = make_state("/post")
        answer = job.lease(state, command.LeaseItems("j", 1, "a"), 10)
        job.start(state, command.StartItems(10, answer.items))
        job.expire(state, command.ExpireLease(10, 1.0))
        late = (command.ItemResult(answer.items[0], 0, False),)
        job.complete(state, command.CompleteItems(10, "blob", late, 1.0))
        kinds = [result[3] for result in list_results(state)]
        self.assertEqual(kinds, [error.Kind.OUTCOME_UNKNOWN])


class SubmitTest(unittest.TestCase):
    def test_same_request_gets_same_job_and_another_request_a_conflict(self):
        state = make_state()
        self.assertEqual(job.submit(state, make_submission()), outcome.Done("j"))
        other = job.submit(state, make_submission("other"))
        self.assertEqual(other.kind, error.Kind.CONFLICT)
