"""Judge each answer against the one right answer to its own request.

A stand-in's answer is a function of the prompt alone and every prompt is
unique, so an answer that is cut, repeats tokens or belongs to another request
is told apart from the right one by its text.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from sapphireseam.tools import answer, client, plan

# Leading characters by which a text is traced to the request it belongs to:
# four tokens.
TRACE_CHARACTERS = 20


class Verdict(enum.StrEnum):
    """Name each way a request can turn out.

    `refused` was told so with a status and an error's kind and may come back;
    `failed` was told that it failed; `lost` got no answer at all; `cut` got a
    part, `doubled` a repeated part, `crossed` another request's answer and
    `wrong` something that is nobody's.
    """

    RIGHT = "right"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    CUT = "cut"
    DOUBLED = "doubled"
    CROSSED = "crossed"
    WRONG = "wrong"


# Verdicts that no run may show, whatever fails meanwhile.
FAULTS = (Verdict.CUT, Verdict.DOUBLED, Verdict.CROSSED, Verdict.WRONG)
# Verdicts that a run may show only if processes or machines are lost in it.
LOSSES = (Verdict.LOST, Verdict.FAILED)
# Statuses of a refusal; other error statuses tell of a failure.
REFUSAL_STATUSES = frozenset({401, 403, 404, 409, 413, 422, 429, 503})


class Outcome(NamedTuple):
    """Pair a request with its reply and the verdict on it."""

    request: plan.Request
    reply: client.Reply
    verdict: Verdict


class AnswerIndex:
    """Trace an answer to the request whose right answer it is."""

    def __init__(self, requests: Iterable[plan.Request] = ()):
        self._owners: dict[str | bytes, str] = {}
        for request in requests:
            self.add(request.id, request.expected)

    def add(self, name: str, expected: str | bytes) -> None:
        """Know one more right answer."""
        self._owners[self._cut(expected)] = name

    def find_owner(self, content: str | bytes) -> str | None:
        """Return the request that the content's beginning belongs to."""
        return self._owners.get(self._cut(content))

    def _cut(self, content: str | bytes) -> str | bytes:
        # Images share their first bytes, so they are traced whole.
        return content if isinstance(content, bytes) else content[:TRACE_CHARACTERS]


def classify_content(
    name: str,
    expected: str | bytes,
    content: str | bytes,
    ended: bool,
    index: AnswerIndex,
) -> Verdict:
    """Return the verdict on an answer's content.

    `ended` tells whether the answer came to its proper end.
    """
    if content == expected:
        return Verdict.RIGHT if ended else Verdict.CUT
    if expected[: len(content)] == content:
        return Verdict.CUT
    owner = index.find_owner(content)
    if owner is not None and owner != name:
        return Verdict.CROSSED
    same = count_common_prefix(expected, content)
    rest = content[same:]
    left = len(expected) - same
    if len(rest) > left and rest in expected:
        # It said more than was left and has said it before.
        return Verdict.DOUBLED
    if len(rest) < left and expected.endswith(rest):
        return Verdict.CUT
    return Verdict.WRONG


def count_common_prefix(first: str | bytes, second: str | bytes) -> int:
    """Return how many leading characters two texts share."""
    shorter = min(len(first), len(second))
    for place in range(shorter):
        if first[place] != second[place]:
            return place
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
        # Cut short, but the caller was told so by a clear error.
        return Verdict.FAILED
    if verdict is Verdict.RIGHT and reply.finish_reason != request.finish_reason:
        return Verdict.CUT
    return verdict


def count_faults(outcomes: list[Outcome], allow_losses: bool) -> int:
    """Return how many outcomes no such run may show.

    A run in which nothing was right is at fault, too: it shows nothing.
    """
    verdicts = [outcome.verdict for outcome in outcomes]
    bad = FAULTS if allow_losses else FAULTS + LOSSES
    faults = sum(1 for verdict in verdicts if verdict in bad)
    nothing_right = bool(verdicts) and Verdict.RIGHT not in verdicts
    return faults or int(nothing_right)


class RunFinding(NamedTuple):
    """Point at a request whose runs upstream don't fit what it was told."""

    request: str
    message: str


def check_runs(
    outcomes: list[Outcome], runs: list[dict[str, dict[str, int]]]
) -> list[RunFinding]:
    """Compare the upstreams' counts of runs with what the callers were told.

    `runs` holds each upstream's `/_runs`. A plain service's post must have
    begun at most once in all, and a request told "not run" never.
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
            message = f"was told 'not run' and ran {started} times"
            findings.append(RunFinding(outcome.request.id, message))
        if outcome.verdict is Verdict.RIGHT and not started:
            message = "was answered and ran nowhere"
            findings.append(RunFinding(outcome.request.id, message))
    return findings


def get_run_name(request: plan.Request) -> str | None:
    """Return the name under which upstreams count a request's runs."""
    if request.protocol == "post":
        return request.id
    if request.protocol == "get":
        return None
    return answer.compute_fingerprint(request.model, request.prompt)


def check_unaccepted(
    job: plan.Job, runs: list[dict[str, dict[str, int]]]
) -> list[RunFinding]:
    """Return the items of a job that was never accepted and yet ran."""
    findings = []
    for item in job.items:
        body = item.line["body"]
        name = answer.compute_fingerprint(body["model"], answer.render_prompt(body))
        if any(name in run for run in runs):
            findings.append(RunFinding(item.id, "ran without an accepted job"))
    return findings
