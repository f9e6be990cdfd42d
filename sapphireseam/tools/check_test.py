"""Tests the verdicts: faults are detected and right answers are accepted."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireseam.tools import answer, check, client, plan

settings.register_profile("repo", derandomize=True, deadline=None, database=None)
settings.load_profile("repo")

NAMES = st.text("abcdefgh", min_size=1, max_size=8)


def make_request(name: str, protocol: str = "chat") -> plan.Request:
    right = answer.compute_answer("m", name)
    return plan.Request(
        id=name,
        customer="c",
        kind="k",
        protocol=protocol,
        due=0.0,
        path="/",
        body=b"",
        stream=True,
        expected="".join(right.tokens),
        finish_reason=right.finish_reason,
        model="m",
        prompt=name,
        claims=False,
        place=0.0,
    )


def make_reply(request, content, **changes) -> client.Reply:
    reply = client.Reply(0.0, 0.0, 0.0, 200, content, request.finish_reason, True)
    return reply._replace(**changes)


class VerdictTest(unittest.TestCase):
    def classify(self, request, content, **changes):
        index = check.AnswerIndex([request, make_request("another one")])
        return check.classify_reply(
            request, make_reply(request, content, **changes), index
        )

    @given(NAMES)
    def test_whole_answer_is_right(self, name):
        request = make_request(name)
        self.assertIs(self.classify(request, request.expected), check.Verdict.RIGHT)

    @given(NAMES, st.data(), st.booleans())
    def test_cut_anywhere(self, name, data, ended):
        request = make_request(name)
        length = data.draw(st.integers(0, len(request.expected) - 1))
        content = request.expected[:length]
        verdict = self.classify(request, content, ended=ended)
        self.assertIs(verdict, check.Verdict.CUT)

    def test_complete_text_without_termination_is_cut(self):
        request = make_request("oak")
        for changes in ({"ended": False}, {"finish_reason": ""}):
            verdict = self.classify(request, request.expected, **changes)
            self.assertIs(verdict, check.Verdict.CUT)

    @given(NAMES, st.data())
    def test_missing_middle_is_cut(self, name, data):
        request = make_request(name)
        tokens = answer.compute_answer("m", name).tokens
        start = data.draw(st.integers(0, len(tokens) - 2))
        end = data.draw(st.integers(start + 1, len(tokens) - 1))
        content = "".join(tokens[:start] + tokens[end:])
        self.assertIs(self.classify(request, content), check.Verdict.CUT)

    @given(NAMES, st.data())
    def test_repeated_tokens_are_doubled(self, name, data):
        request = make_request(name)
        tokens = answer.compute_answer("m", name).tokens
        end = data.draw(st.integers(1, len(tokens)))
        start = data.draw(st.integers(0, end - 1))
        content = "".join(tokens[:end] + tokens[start:])
        self.assertIs(self.classify(request, content), check.Verdict.DOUBLED)

    @given(NAMES, st.data())
    def test_answer_of_another_is_crossed(self, name, data):
        request = make_request(name)
        other = make_request("another one")
        length = data.draw(st.integers(check.TRACE_CHARACTERS, len(other.expected)))
        verdict = self.classify(request, other.expected[:length])
        self.assertIs(verdict, check.Verdict.CROSSED)

    @given(NAMES, st.data())
    def test_continued_with_another_answer_is_wrong(self, name, data):
        request = make_request(name)
        tokens = answer.compute_answer("m", name).tokens
        other = answer.compute_answer("m", "another one").tokens
        start = data.draw(st.integers(4, min(len(tokens), len(other)) - 1))
        content = "".join(tokens[:start] + other[start:])
        self.assertIs(self.classify(request, content), check.Verdict.WRONG)

    def test_reported_and_unreported_failures(self):
        request = make_request("oak")
        part = request.expected[:30]
        for verdict, content, changes in (
            (check.Verdict.FAILED, part, {"ended": False, "code": "outcome_unknown"}),
            (check.Verdict.CUT, "", {"ended": False}),
            (check.Verdict.LOST, "", {"status": 0, "ended": False}),
            (check.Verdict.REFUSED, "", {"status": 429, "code": "rate_limited"}),
            (check.Verdict.FAILED, "", {"status": 502, "code": "upstream_failed"}),
        ):
            with self.subTest(verdict=verdict, changes=changes):
                self.assertIs(self.classify(request, content, **changes), verdict)

    def test_losses_are_faults_unless_allowed_and_no_right_answer_always(self):
        request = make_request("oak")
        right = check.Outcome(request, make_reply(request, ""), check.Verdict.RIGHT)
        lost = right._replace(verdict=check.Verdict.LOST)
        cut = right._replace(verdict=check.Verdict.CUT)
        self.assertEqual(check.count_faults([right, lost], False), 1)
        self.assertEqual(check.count_faults([right, lost], True), 0)
        self.assertEqual(check.count_faults([right, cut], True), 1)
        self.assertEqual(check.count_faults([lost], True), 1)


class RunsTest(unittest.TestCase):
    def check(self, protocol, verdict, started, **changes):
        request = make_request("oak", protocol)
        reply = make_reply(request, request.expected, **changes)
        outcome = check.Outcome(request, reply, verdict)
        name = check.get_run_name(request)
        runs = [{name: {"started": 1}} for _ in range(started)]
        return [item.message for item in check.check_runs([outcome], runs)]

    def test_findings(self):
        right, refused = check.Verdict.RIGHT, check.Verdict.REFUSED
        self.assertEqual(self.check("post", right, 1), [])
        self.assertEqual(self.check("post", right, 2), ["ran 2 times"])
        self.assertEqual(self.check("chat", right, 2), [])
        self.assertEqual(self.check("chat", right, 0), ["was answered but did not run"])
        message = "was answered with 'not run' but ran 1 times"
        self.assertEqual(self.check("chat", refused, 1, not_run=True), [message])
        self.assertEqual(self.check("chat", refused, 0, not_run=True), [])
