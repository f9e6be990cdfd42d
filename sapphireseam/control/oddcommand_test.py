"""Test that no command stops the state machine, whatever its fields are."""

import json
import math
import typing
import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.control import machine
from sapphireseam.core import command, outcome

DOCUMENT = json.dumps(
    {
        "services": {"s": {}},
        "customers": {"a": {"contract": ""}, "b": {"contract": ""}},
        "routes": {"r": {"path": "/b", "service": "s"}},
    }
).encode()
ITEMS = tuple(command.LotItem(name, "/b", (), b"x", 1) for name in "ab")
# Commands after which the drawn ones find objects.
FORMER = (
    command.Publish("p", 0, DOCUMENT, 0.0),
    command.CreateFile("f", "a", "a", "n", "batch", "b", 1, 5, "/b", "m", 0.0),
    command.SubmitJob("s", "a", "a", "k", "a", "/b", 9.0, 0.0),
    command.AcceptLot("a", "a", "r", ITEMS, 0, 0.0, 1.0, 2.0),
    command.LeaseItems("a", 3, "a"),
    command.IssueOrder("o", "a", "load", "", 0.0),
    command.ReportDeath("d", "a", ("a", "b"), False, 0.0),
    command.ReportCrash("c", "a", "a", (("a", "b"),), 1.0),
)
VALUES = {
    str: st.sampled_from(("", "a", "b", "/b", "\u00e9\0", "x" * 300)),
    int: st.sampled_from((0, 1, 2, 4, 5, -1, -(2**63), 2**63 - 1, 2**64 - 1)),
    float: st.sampled_from((0.0, 1.0, -1e300, 5e-324, math.inf, math.nan))
    | st.floats(),
    bool: st.booleans(),
    bytes: st.sampled_from((b"", b"{}", b"[]", b"\xff", b"x" * 5000, DOCUMENT)),
}


def draw(kind: typing.Any) -> st.SearchStrategy:
    """Return the values of a field's type."""
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is dict:
        return st.dictionaries(*map(draw, arguments), max_size=2)
    if typing.get_origin(kind) is tuple and arguments[-1] is Ellipsis:
        return st.lists(draw(arguments[0]), max_size=3).map(tuple)
    if typing.get_origin(kind) is tuple:
        return st.tuples(*map(draw, arguments))
    if kind in VALUES:
        return VALUES[kind]
    fields = {name: draw(each) for name, each in typing.get_type_hints(kind).items()}
    if kind is command.CreateFile:
        fields["lines"] = st.integers(0, 1000)
    return st.builds(kind, **fields)


class OddCommandTest(unittest.TestCase):
    @settings(deadline=None, derandomize=True, database=None, max_examples=300)
    @given(st.lists(st.one_of(*map(draw, command.COMMANDS)), max_size=14))
    def test_each_command_has_an_answer_and_leaves_a_state_to_store(self, items):
        state_machine = machine.StateMachine()
        for index, item in enumerate((*FORMER, *items), 1):
            answer = state_machine.apply(index, command.REGISTRY.encode(item))
            outcome.REGISTRY.encode(answer)
        state_machine.restore(state_machine.encode())

    def test_what_a_command_names_twice_or_no_more_stops_no_member(self):
        state_machine = machine.StateMachine()
        result = command.LotResult("a", 2**64 - 1, True)
        for index, item in enumerate(
            (
                *FORMER,
                command.ClearSuspects(("a", "a")),
                command.ListResults((result, result._replace(item=-1))),
            ),
            1,
        ):
            state_machine.apply(index, command.REGISTRY.encode(item))
        self.assertEqual(state_machine.state.lots["a"].results, [])


if __name__ == "__main__":
    unittest.main()
