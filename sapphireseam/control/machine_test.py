"""Tests that the state machine never changes its answer to a command."""

import json
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireseam.control import machine, publish, record
from sapphireseam.core import command, error, key, outcome

CUSTOMERS = ("grower-1", "grower-2", "grower-3")


def render(customers):
    """Return a configuration with these customers as JSON."""
    document = {
        "contracts": {"standard": {"rate": 5, "burst": 10}},
        "customers": {name: {"contract": "standard"} for name in customers},
    }
    return json.dumps(document).encode()


class MachineModel(RuleBasedStateMachine):
    """Compare the state with the answers that the state machine gave.

    Operators publish on any base revision and resend any earlier command. The
    member may restart from a snapshot between any two commands.
    """

    def __init__(self):
        super().__init__()
        self.machine = machine.StateMachine()
        self.index = 0
        self.sent = []
        self.answers = {}
        self.document = b"{}"
        self.keys = {}

    def apply(self, item):
        self.index += 1
        answer = self.machine.apply(self.index, command.REGISTRY.encode(item))
        first = self.answers.setdefault(item.request, answer)
        assert answer == first, "a resend got another answer"
        self.sent.append(item)
        return answer

    @rule(back=st.integers(0, 2), customers=st.sets(st.sampled_from(CUSTOMERS)))
    def publish(self, back, customers):
        current = record.read_revision(self.machine.state)
        document = render(sorted(customers))
        request = f"publish-{self.index}"
        answer = self.apply(
            command.Publish(request, max(0, current - back), document, 0.0)
        )
        live = {c for c, withdrawn in self.keys.values() if not withdrawn}
        if current - back < 0:
            back = current
        if back:
            assert answer.kind == error.Kind.CONFLICT and answer.number == current
        elif live - customers:
            assert answer.kind == error.Kind.BAD_CONFIGURATION
        else:
            assert answer == outcome.Done(str(current + 1), current + 1)
            self.document = document

    @rule(customer=st.sampled_from(CUSTOMERS))
    def issue(self, customer):
        name = f"k{self.index}"
        answer = self.apply(
            command.IssueKey(f"issue-{name}", name, customer, key.digest(name), 0.0)
        )
        known = customer in json.loads(self.document).get("customers", {})
        assert isinstance(answer, outcome.Done) == known
        if known:
            self.keys[name] = (customer, False)

    @rule(data=st.data())
    def withdraw(self, data):
        if self.keys:
            name = data.draw(st.sampled_from(sorted(self.keys)))
            self.apply(command.WithdrawKey(f"w{self.index}", name, 0.0))
            self.keys[name] = (self.keys[name][0], True)

    @rule(data=st.data())
    def resend(self, data):
        if self.sent:
            self.apply(data.draw(st.sampled_from(self.sent)))

    @rule()
    def restart_from_snapshot(self):
        packed = self.machine.encode()
        self.machine = machine.StateMachine()
        self.machine.restore(packed)
        assert self.machine.encode() == packed

    @invariant()
    def state_agrees_with_answers(self):
        state = self.machine.state
        assert record.read_document(state) == self.document
        found = {n: (k.customer, k.withdrawn) for n, k in state.keys.items()}
        assert found == self.keys


MachineTest = MachineModel.TestCase
MachineTest.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


class ListenerTest(unittest.TestCase):
    def test_part_that_cannot_follow_a_command_stops_no_member(self):
        state_machine = machine.StateMachine()
        followed = []
        state_machine.subscribe(lambda item, answer: followed.index(item))
        state_machine.subscribe(lambda item, answer: followed.append(item))
        item = command.SetOperator("a", "b")
        with self.assertLogs(machine.logger, "ERROR"):
            answer = state_machine.apply(1, command.REGISTRY.encode(item))
        self.assertEqual((answer, followed), (outcome.Done(), [item]))


class ResendTest(unittest.TestCase):
    def test_job_refused_without_its_file_is_accepted_once_it_exists(self):
        state_machine = machine.StateMachine()

        def apply(index, item):
            return state_machine.apply(index, command.REGISTRY.encode(item))

        routes = {"chat": {"path": "/chat", "service": "", "methods": ["POST"]}}
        document = json.dumps({"routes": routes}).encode()
        job = command.SubmitJob("r", "j", "c", "k", "f", "/chat", 9.0, 0.0)
        file = command.CreateFile(
            "f", "f", "c", "f", "batch", "b", 1, 1, "/chat", "m", 0.0
        )
        apply(1, command.Publish("p", 0, document, 0.0))
        self.assertEqual(apply(2, job).kind, error.Kind.OBJECT_UNKNOWN)
        apply(3, file)
        self.assertEqual(apply(4, job), outcome.Done("j"))
        self.assertEqual(apply(5, job), outcome.Done("j"))


class PublishTest(unittest.TestCase):
    def test_refusal_lists_every_finding(self):
        document = {
            "contracts": {"c": {"rate": -1, "burst": 0}},
            "customers": {"Bad Name": {"contract": "c"}, "x": {}},
        }
        answer = machine.StateMachine().apply(
            1,
            command.REGISTRY.encode(
                command.Publish("r", 0, json.dumps(document).encode(), 0.0)
            ),
        )
        for source in (
            "contracts.c.rate",
            "contracts.c.burst",
            "customers.Bad Name",
            "customers.x.contract",
        ):
            self.assertIn(source, answer.message)

    def test_check_finds_unknown_names_duplicates_and_cycles(self):
        upstream = {
            "failure_domain": "none",
            "address": "127.0.0.1:1",
            "agent": "127.0.0.1:1",
        }
        document = {
            "models": {"m": {"version": "v"}},
            "versions": {
                "v": {"model": "m", "weights": "w", "parent": "u"},
                "u": {"model": "m", "weights": "w", "parent": "v"},
            },
            "routes": {"a": {"path": "/x"}, "b": {"path": "/x"}},
            "upstreams": {"one": upstream},
        }
        state = machine.StateMachine().state
        packed = json.dumps(document).encode()
        found = {(f.source, f.message) for f in publish.check(state, packed)}
        self.assertEqual(
            found,
            {
                ("versions.v.parent", "adapts itself in a cycle"),
                ("versions.u.parent", "adapts itself in a cycle"),
                ("routes.b.path", "is the path of route a too"),
                (
                    "upstreams.one.failure_domain",
                    "names no failure domain that exists",
                ),
                ("upstreams.one", "needs either a version or a service"),
                ("upstreams.one.agent", "is an address of upstream one too"),
            },
        )
