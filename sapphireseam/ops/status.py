"""Builds the status of the whole fleet from the view of each control VM.

No control VM has the whole view. One that is cut off still answers about itself,
and a process sends its pings only to the control VM that it watches. Each control VM
is therefore queried separately. If several report the same process, the report with
the most recent contact is used.
"""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

from sapphireseam.core import error, event, jsontext, message
from sapphireseam.core.evacuation import Evacuation
from sapphireseam.ops import job as jobs
from sapphireseam.ops.operator import Operator
from sapphireseam.utils.mirror import LEASE_SECONDS

CALL_TIMEOUT_SECONDS = 2.0
# A customer is at its limit if it was refused for its rate within this window.
LIMIT_WINDOW_SECONDS = 60.0


class Member(NamedTuple):
    """One control VM, from the member list and its own answer.

    `state` is "leader", "follower", "learner", "no leader", "not a member" or
    "unreachable". The figures are 0 if the control VM gave no answer.
    """

    name: str
    address: str
    state: str
    term: int
    applied: int
    revision: int
    cause: str


class Process(NamedTuple):
    """One entry or agent.

    `state` is "in force", "lagging" or "cut off". `silent` is the time since the
    last contact in seconds.
    """

    node: str
    program: str
    revision: int
    silent: float
    state: str


class Job(NamedTuple):
    """A job that may miss its due time; `end` is 0 if no item has finished."""

    id: str
    customer: str
    finished: int
    count: int
    due: float
    end: float


class Limited(NamedTuple):
    """A customer with requests refused for its rate in the last minute."""

    customer: str
    refusals: int


class Status(NamedTuple):
    """A summary of the fleet's state.

    `upstreams` counts the upstreams in the configuration, `agents` the agents that
    are not cut off. Fewer agents than upstreams means that some upstreams have no
    agent. `unknown` lists the parts that could not be read, each with its cause.
    `evacuations` are the evacuated failure domains, `cold` the cold upstreams.
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
    evacuations: list[Evacuation] = []
    cold: list[message.ColdView] = []


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
        list(newest.evacuations),
        list_cold(newest, views, unknown),
    )


def find_newest(views: list[message.Status]) -> message.Status:
    """Return the newest view by term and index, preferring views that have a leader."""
    return max(views, key=lambda view: (bool(view.leader), view.term, view.applied))


async def query_all(operator: Operator) -> Answers:
    """Query every control VM that the settings or another control VM's answer names."""
    answers: Answers = {}
    pending = set(operator.addresses)
    while pending:
        batch = sorted(pending)
        replies = await asyncio.gather(
            *(query(operator, item, message.ReadStatus()) for item in batch)
        )
        answers.update(zip(batch, replies, strict=True))
        pending = {
            member.address
            for reply in replies
            if isinstance(reply, message.Status)
            for member in reply.members
        } - answers.keys()
    return answers


async def list_addresses(operator: Operator) -> list[str]:
    """Return the members' addresses, or those of the settings if none answers."""
    answers = await query_all(operator)
    views = [item for item in answers.values() if isinstance(item, message.Status)]
    if not views:
        return list(operator.addresses)
    return [member.address for member in find_newest(views).members]


async def query(operator: Operator, address: str, request: Any) -> Any:
    """Return a control VM's answer, or the error of the call."""
    try:
        return await operator.client.get_channel(address).call(
            request, CALL_TIMEOUT_SECONDS
        )
    except error.SeamError as failure:
        return failure


def list_members(newest: message.Status, answers: Answers) -> list[Member]:
    """Return the members, then the other control VMs that were queried."""
    rows = []
    for member in newest.members:
        rows.append(_build_member(member, newest, answers.get(member.address)))
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


def _build_member(
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
    """Return each process once, from the view with the most recent contact."""
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
    """Return the number of agents that are not cut off."""
    return sum(
        row.program == "seam-agent" and row.state != "cut off" for row in processes
    )


def list_cold(
    newest: message.Status, views: list[message.Status], unknown: list[str]
) -> list[message.ColdView]:
    """Return the cold upstreams that the leader knows."""
    for view in views:
        if view.node == newest.leader == view.leader:
            return list(view.cold)
    unknown.append("cold upstreams: no leader answered")
    return []


async def _count_upstreams(operator: Operator, unknown: list[str]) -> int:
    try:
        view = await operator.client.call(message.ReadFleet(), CALL_TIMEOUT_SECONDS)
    except error.SeamError as failure:
        unknown.append(f"upstreams in the configuration: {failure.message}")
        return 0
    return len(jsontext.parse(view.document).get("upstreams", {}))


async def _read_jobs(operator: Operator, unknown: list[str]) -> list[Job]:
    try:
        found = await operator.client.call(message.ListJobs(""), CALL_TIMEOUT_SECONDS)
    except error.SeamError as failure:
        unknown.append(f"jobs at risk: {failure.message}")
        return []
    return list_at_risk(list(found.jobs), operator.read_time())


def list_at_risk(found: list[message.JobView], now: float) -> list[Job]:
    """Return the open jobs that may miss their due time, earliest due time first."""
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
            unknown.append(f"some of the customers at their limit: {reply.message}")
    return list_limited(found)


def list_limited(events: set[event.Event]) -> list[Limited]:
    """Return the customers refused for their rate, most refusals first."""
    counts = Counter(
        item.customer
        for item in events
        if item.detail == error.Kind.RATE_LIMITED and item.customer
    )
    return [Limited(*pair) for pair in counts.most_common()]


def is_healthy(status: Status) -> bool:
    """Return whether nothing in the status needs an operator's action."""
    states = {row.state for row in [*status.members, *status.processes]}
    faults = states & {"unreachable", "no leader", "not a member", "lagging", "cut off"}
    is_agent_missing = status.agents < status.upstreams
    needs_action = faults or is_agent_missing or status.jobs or status.unknown
    return bool(status.leader) and not needs_action
