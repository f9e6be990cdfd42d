"""Put together how the whole fleet does, from every control VM's own view.

No control VM knows everything: a cut-off one still answers about itself, and a
process is heard by the one control VM that it watches. So each is asked by
itself, and whatever two say about a process, the one that heard it last is
believed.
"""

import asyncio
import json
from collections import Counter
from typing import Any, NamedTuple

from sapphireseam.core import error, event, message
from sapphireseam.ops import job as jobs
from sapphireseam.ops.operator import Operator
from sapphireseam.utils.mirror import LEASE_SECONDS

CALL_SECONDS = 2.0
# How far back refusals count for "at its limit", in seconds.
LIMIT_WINDOW_SECONDS = 60.0


class Member(NamedTuple):
    """Show one control VM: what the members say of it and it of itself.

    `state` is "leader", "follower", "learner", "no leader", "not a member" or
    "unreachable"; figures of one that gave no answer are 0.
    """

    name: str
    address: str
    state: str
    term: int
    applied: int
    revision: int
    cause: str


class Process(NamedTuple):
    """Show one entry or agent.

    `state` is "in force", "lagging" or "cut off"; `silent` is in seconds.
    """

    node: str
    program: str
    revision: int
    silent: float
    state: str


class Job(NamedTuple):
    """Show a job that may miss its due time; `end` is 0 if nothing is done."""

    id: str
    customer: str
    finished: int
    count: int
    due: float
    end: float


class Limited(NamedTuple):
    """Show a customer with refusals for its rate in the last minute."""

    customer: str
    refusals: int


class Status(NamedTuple):
    """Hold the fleet's state at a glance.

    `upstreams` counts those in the configuration, `agents` the agents that are
    not cut off; fewer of these means upstreams that nobody speaks for.
    `unknown` lists what couldn't be read, each with its cause.
    """

    leader: str
    revision: int
    members: list[Member]
    processes: list[Process]
    upstreams: int
    agents: int
    leaving: list[str]
    jobs: list[Job]
    limited: list[Limited]
    unknown: list[str]


Answers = dict[str, message.Status | error.SeamError]


async def read(operator: Operator) -> Status:
    """Return the fleet's status; raise if no control VM answers at all."""
    answers = await query_all(operator)
    views = [item for item in answers.values() if isinstance(item, message.Status)]
    if not views:
        refused = [v for v in answers.values() if v.kind is error.Kind.KEY_INVALID]
        if refused:
            raise refused[0]
        raise error.ControlError(f"none of {', '.join(answers)} answered")
    newest = find_newest(views)
    revision = max(view.revision for view in views)
    unknown: list[str] = []
    processes = list_processes(views, revision)
    upstreams = await _count_upstreams(operator, unknown)
    at_risk = await _read_jobs(operator, unknown)
    limited = await _read_limited(operator, views, unknown)
    return Status(
        newest.leader,
        revision,
        list_members(newest, answers),
        processes,
        upstreams,
        count_agents(processes),
        list(newest.leaving),
        at_risk,
        limited,
        unknown,
    )


def find_newest(views: list[message.Status]) -> message.Status:
    """Return the view of the control VM that knows most."""
    return max(views, key=lambda view: (bool(view.leader), view.term, view.applied))


async def query_all(operator: Operator) -> Answers:
    """Ask every control VM that the settings or another one names."""
    answers: Answers = {}
    wanted = set(operator.addresses)
    while wanted:
        batch = sorted(wanted)
        replies = await asyncio.gather(
            *(query(operator, item, message.ReadStatus()) for item in batch)
        )
        answers.update(zip(batch, replies, strict=True))
        wanted = {
            member.address
            for reply in replies
            if isinstance(reply, message.Status)
            for member in reply.members
        } - answers.keys()
    return answers


async def list_addresses(operator: Operator) -> list[str]:
    """Return the members' addresses, or the settings' if none tells them."""
    answers = await query_all(operator)
    views = [item for item in answers.values() if isinstance(item, message.Status)]
    if not views:
        return list(operator.addresses)
    return [member.address for member in find_newest(views).members]


async def query(operator: Operator, address: str, request: Any) -> Any:
    """Return a control VM's answer, or the error."""
    try:
        return await operator.client.reach(address).call(request, CALL_SECONDS)
    except error.SeamError as failure:
        return failure


def list_members(newest: message.Status, answers: Answers) -> list[Member]:
    """Return the members, then those that answer and aren't among them."""
    rows = []
    for member in newest.members:
        rows.append(_describe(member, newest, answers.get(member.address)))
    known = {member.address for member in newest.members}
    for address in sorted(answers.keys() - known):
        reply = answers[address]
        if isinstance(reply, message.Status):
            figures = (reply.term, reply.applied, reply.revision)
            row = Member(reply.node, address, "not a member", *figures, "")
        else:
            row = Member("?", address, "unreachable", 0, 0, 0, reply.message)
        rows.append(row)
    return rows


def _describe(
    member: message.MemberView,
    newest: message.Status,
    reply: message.Status | error.SeamError | None,
) -> Member:
    if not isinstance(reply, message.Status):
        cause = reply.message if reply else ""
        return Member(member.name, member.address, "unreachable", 0, 0, 0, cause)
    state = "follower" if member.voter else "learner"
    if member.name == newest.leader and reply.leader == member.name:
        state = "leader"
    elif not reply.leader:
        state = "no leader"
    figures = (reply.term, reply.applied, reply.revision)
    return Member(member.name, member.address, state, *figures, "")


def list_processes(views: list[message.Status], revision: int) -> list[Process]:
    """Return every process that any control VM heard, as it was heard last."""
    latest: dict[tuple[str, str], message.WatcherView] = {}
    for view in views:
        for watcher in view.watchers:
            name = (watcher.program, watcher.node)
            if name not in latest or watcher.silent < latest[name].silent:
                latest[name] = watcher
    rows = []
    for _, watcher in sorted(latest.items()):
        state = "in force"
        if watcher.silent > LEASE_SECONDS:
            state = "cut off"
        elif watcher.revision < revision:
            state = "lagging"
        rows.append(
            Process(
                watcher.node, watcher.program, watcher.revision, watcher.silent, state
            )
        )
    return rows


def count_agents(processes: list[Process]) -> int:
    """Return how many agents were heard lately."""
    return sum(
        row.program == "seam-agent" and row.state != "cut off" for row in processes
    )


async def _count_upstreams(operator: Operator, unknown: list[str]) -> int:
    try:
        view = await operator.client.call(message.ReadFleet(), CALL_SECONDS)
    except error.SeamError as failure:
        unknown.append(f"upstreams in the configuration: {failure.message}")
        return 0
    return len(json.loads(view.document).get("upstreams", {}))


async def _read_jobs(operator: Operator, unknown: list[str]) -> list[Job]:
    try:
        found = await operator.client.call(message.ListJobs(""), CALL_SECONDS)
    except error.SeamError as failure:
        unknown.append(f"jobs at risk: {failure.message}")
        return []
    return list_at_risk(list(found.jobs), operator.read_time())


def list_at_risk(found: list[message.JobView], now: float) -> list[Job]:
    """Return the open jobs that may miss their due time, the first due first."""
    rows = []
    for item in found:
        expected = jobs.forecast(item, now)
        if expected.at_risk:
            finished = item.done + item.failed
            figures = (finished, item.count, item.due, expected.end)
            rows.append(Job(item.id, item.customer, *figures))
    return sorted(rows, key=lambda row: row.due)


async def _read_limited(
    operator: Operator, views: list[message.Status], unknown: list[str]
) -> list[Limited]:
    since = operator.read_time() - LIMIT_WINDOW_SECONDS
    addresses = sorted({m.address for view in views for m in view.members})
    replies = await asyncio.gather(
        *(query(operator, address, message.ReadEvents(since)) for address in addresses)
    )
    found: set[event.Event] = set()
    for reply in replies:
        if isinstance(reply, message.Events):
            found.update(reply.events)
        else:
            unknown.append(f"part of the customers at their limit: {reply.message}")
    return list_limited(found)


def list_limited(events: set[event.Event]) -> list[Limited]:
    """Return the customers that were refused for their rate, the worst first."""
    counts = Counter(
        item.customer
        for item in events
        if item.detail == error.Kind.RATE_LIMITED and item.customer
    )
    return [Limited(*pair) for pair in counts.most_common()]


def is_healthy(status: Status) -> bool:
    """Tell whether nothing in the status needs an operator."""
    states = {row.state for row in [*status.members, *status.processes]}
    bad = states & {"unreachable", "no leader", "not a member", "lagging", "cut off"}
    silent = status.agents < status.upstreams
    trouble = bad or silent or status.jobs or status.unknown
    return bool(status.leader) and not trouble
