"""Compares each answer with the one correct answer to its request.

A stand-in upstream computes its answer from the prompt alone, and every prompt
is unique. The text of an answer therefore shows whether it is correct, cut
short, repeats tokens or belongs to another request.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from sapphireseam.tools import answer, client, plan

# Number of leading characters that identify the request of an answer (four
# tokens).
TRACE_CHARACTERS = 20


class Verdict(enum.StrEnum):
    """The result of a request, as compared with its expected answer.

    `refused`: an error status and kind reported a refusal; the caller may retry.
    `failed`: an error reported a failure. `lost`: no answer arrived. `cut`: a
    part of the answer is missing. `doubled`: a part is repeated. `crossed`: the
    answer belongs to another request. `wrong`: the answer belongs to no request.
    """

    RIGHT = "right"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    CUT = "cut"
    DOUBLED = "doubled"
    CROSSED = "crossed"
    WRONG = "wrong"


# Verdicts that are faults in every run, whichever components fail during it.
FAULTS = (Verdict.CUT, Verdict.DOUBLED, Verdict.CROSSED, Verdict.WRONG)
# Verdicts that are faults unless processes or machines are lost during the run.
LOSSES = (Verdict.LOST, Verdict.FAILED)
# HTTP statuses that mean a refusal; other error statuses mean a failure.
REFUSAL_STATUSES = frozenset({401, 403, 404, 409, 413, 422, 429, 503})


class Outcome(NamedTuple):
    """A request with its reply and verdict."""

    request: plan.Request
    reply: client.Reply
    verdict: Verdict


class AnswerIndex:
    """An index that finds the request of an answer by how the answer begins."""

    def __init__(self, requests: Iterable[plan.Request] = ()):
        self._requests: dict[str | bytes, str] = {}
        for request in requests:
            self.add(request.id, request.expected)

    def add(self, name: str, expected: str | bytes) -> None:
        """Add the expected answer of a request."""
        self._requests[self._compute_key(expected)] = name

    def find_request(self, content: str | bytes) -> str | None:
        """Return the id of the request whose expected answer begins like `content`."""
        return self._requests.get(self._compute_key(content))

    def _compute_key(self, content: str | bytes) -> str | bytes:
        # Images share their first bytes, so the whole image is compared.
        return content if isinstance(content, bytes) else content[:TRACE_CHARACTERS]


def classify_content(
    name: str,
    expected: str | bytes,
    content: str | bytes,
    ended: bool,
    index: AnswerIndex,
) -> Verdict:
    """Return the verdict on the content of an answer.

    `ended` is true if the answer was terminated properly.
    """
    if content == expected:
        return Verdict.RIGHT if ended else Verdict.CUT
    if expected[: len(content)] == content:
        return Verdict.CUT
    request_id = index.find_request(content)
    if request_id is not None and request_id != name:
        return Verdict.CROSSED
    matched = count_common_prefix(expected, content)
    rest = content[matched:]
    missing = len(expected) - matched
    if len(rest) > missing and rest in expected:
        # The rest is longer than the missing part and repeats expected text.
        return Verdict.DOUBLED
    if len(rest) < missing and expected.endswith(rest):
        return Verdict.CUT
    return Verdict.WRONG


def count_common_prefix(first: str | bytes, second: str | bytes) -> int:
    """Return the length of the common prefix of two texts."""
    shorter = min(len(first), len(second))
    for index in range(shorter):
        if first[index] != second[index]:
            return index
    return shorter


def classify_reply(
    request: plan.Request, reply: client.Reply, index: AnswerIndex
) -> Verdict:
    """Return the verdict on a reply."""
    if reply.status in REFUSAL_STATUSES:
        return Verdict.REFUSED
    if reply.status >= 300:
        return Verdict.FAILED
    if not reply.content:
        if reply.code:
            return Verdict.FAILED
        return Verdict.CUT if reply.status else Verdict.LOST
    verdict = classify_content(
        request.id, request.expected, reply.content, reply.ended, index
    )
    if verdict is Verdict.CUT and reply.code:
        # The answer is cut short, but an explicit error reported it.
        return Verdict.FAILED
    if verdict is Verdict.RIGHT and reply.finish_reason != request.finish_reason:
        return Verdict.CUT
    return verdict


def count_faults(outcomes: list[Outcome], allow_losses: bool) -> int:
    """Return the number of outcomes that count as faults.

    A run without any right answer counts as one fault, because it proves
    nothing.
    """
    verdicts = [outcome.verdict for outcome in outcomes]
    fault_verdicts = FAULTS if allow_losses else FAULTS + LOSSES
    faults = sum(1 for verdict in verdicts if verdict in fault_verdicts)
    nothing_right = bool(verdicts) and Verdict.RIGHT not in verdicts
    return faults or int(nothing_right)


class RunFinding(NamedTuple):
    """A request whose runs at the upstreams contradict the reply to it."""

    request: str
    message: str


def check_runs(
    outcomes: list[Outcome], runs: list[dict[str, dict[str, int]]]
) -> list[RunFinding]:
    """Compare the run counts of the upstreams with the replies to the callers.

    `runs` holds the `/_runs` document of each upstream. A POST to a plain
    service must start at most once over all upstreams. A request that was
    answered with "not run" must not start at all.
    """
    findings = []
    for outcome in outcomes:
        name = get_run_name(outcome.request)
        if name is None:
            continue
        started = sum(run[name]["started"] for run in runs if name in run)
        if outcome.request.protocol == "post" and started > 1:
            message = f"ran {started} times"
            findings.append(RunFinding(outcome.request.id, message))
        if outcome.reply.not_run and started:
            message = f"was answered with 'not run' but ran {started} times"
            findings.append(RunFinding(outcome.request.id, message))
        if outcome.verdict is Verdict.RIGHT and not started:
            message = "was answered but did not run"
            findings.append(RunFinding(outcome.request.id, message))
    return findings


def get_run_name(request: plan.Request) -> str | None:
    """Return the name under which upstreams count the runs of a request.

    Return None for a GET request, whose runs are not counted by request.
    """
    if request.protocol == "post":
        return request.id
    if request.protocol == "get":
        return None
    return answer.compute_fingerprint(request.model, request.prompt)


def check_unaccepted(
    job: plan.Job, runs: list[dict[str, dict[str, int]]]
) -> list[RunFinding]:
    """Return a finding for each item that ran although its job was not accepted."""
    findings = []
    for item in job.items:
        body = item.line["body"]
        name = answer.compute_fingerprint(body["model"], answer.render_prompt(body))
        if any(name in run for run in runs):
            findings.append(
                RunFinding(item.id, "ran although its job was not accepted")
            )
    return findings
