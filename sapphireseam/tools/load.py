"""Generates load and measures the replies.

`run_load` sends the requests and jobs of a profile to the entries.
`run_comparison` sends the same requests directly to an upstream and through
the system, alternating between the two in rounds. Other load on the machine
then affects both sides alike. Its results are the ratios between the sides.
"""

import asyncio
import collections
import time
from typing import NamedTuple

import aiohttp
import msgspec

from sapphireseam.tools import check, client, job, measure, plan
from sapphireseam.utils import timer

# Duration of the warm-up of connections and caches before a comparison, in
# seconds.
WARM_UP_SECONDS = 1.0
# Pause between the two sides of a comparison, in seconds. It lets late requests
# finish.
PAUSE_SECONDS = 0.3


class Target(NamedTuple):
    """The addresses, API keys and processes of a load run.

    `upstreams` are the base URLs of the stand-in upstreams, which report their
    run counts. `keys` maps customers to API keys. The pids, which map process
    names to process ids, are for measuring processor time.
    """

    bases: list[str]
    keys: dict[str, str] = {}
    upstreams: list[str] = []
    upstream_pids: dict[str, int] = {}
    system_pids: dict[str, int] = {}


class Driver:
    """A load generator that sends requests at their planned times to base URLs."""

    def __init__(
        self,
        bases: list[str],
        keys: dict[str, str],
        profile: plan.Profile,
        timer_service: timer.TimerService,
    ):
        self.client = client.Client(bases, keys, profile.request_timeout, timer_service)
        self.lag = measure.Latency()
        self._timer = timer_service

    async def start(self) -> None:
        """Open the connection pool."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connection pool."""
        await self.client.stop()

    async def drive(self, requests: list[plan.Request]) -> list[check.Outcome]:
        """Send every request at its planned time and return all outcomes."""
        index = check.AnswerIndex(requests)
        start = self._timer.read_clock()
        tasks = []
        for request in requests:
            wait = start + request.due - self._timer.read_clock()
            if wait > 0:
                await self._timer.sleep(wait)
            self.lag.add(max(0.0, self._timer.read_clock() - start - request.due))
            tasks.append(asyncio.create_task(self._send(request, index)))
        return list(await asyncio.gather(*tasks))

    async def _send(
        self, request: plan.Request, index: check.AnswerIndex
    ) -> check.Outcome:
        reply = await self.client.send(request)
        return check.Outcome(
            request, reply, check.classify_reply(request, reply, index)
        )


async def fetch_runs(
    session: aiohttp.ClientSession, upstreams: list[str]
) -> list[dict[str, dict[str, int]]]:
    """Return the run counts of each stand-in upstream."""
    runs = []
    for base in upstreams:
        async with session.get(f"{base.rstrip('/')}/_runs") as response:
            runs.append(msgspec.json.decode(await response.read()))
    return runs


async def _start_job(
    jobs: job.JobClient, planned: plan.Job, timer_service: timer.TimerService
) -> job.JobResult:
    await timer_service.sleep(planned.plan.start)
    return await jobs.run(planned)


async def run_load(
    profile: plan.Profile, target: Target, timer_service: timer.TimerService
) -> dict:
    """Send the requests and jobs of a profile; return the report."""
    planner = plan.Planner(profile)
    requests = planner.plan_requests(profile.seconds)
    planned_jobs = planner.plan_jobs()
    driver = Driver(target.bases, target.keys, profile, timer_service)
    pids = target.upstream_pids | target.system_pids
    await driver.start()
    try:
        before = measure.read_cpus(pids)
        jobs = job.JobClient(
            driver.client, target.bases, profile.job_timeout, timer_service
        )
        job_tasks = [
            asyncio.create_task(_start_job(jobs, planned, timer_service))
            for planned in planned_jobs
        ]
        start = timer_service.read_clock()
        outcomes = await driver.drive(requests)
        online_seconds = timer_service.read_clock() - start
        results = list(await asyncio.gather(*job_tasks))
        cpu = measure.subtract(measure.read_cpus(pids), before)
        runs = await fetch_runs(driver.client.session, target.upstreams)
    finally:
        await driver.stop()
    report = summarize(profile, outcomes, online_seconds)
    report["lag"] = driver.lag.render()
    report["cpu_seconds"] = cpu
    report["cpu_ms_per_request"] = round(
        sum(cpu.values()) * 1000 / max(len(outcomes), 1), 3
    )
    report["runs"] = summarize_runs(outcomes, results, planned_jobs, runs)
    report["jobs"] = [
        result._asdict() | {"faults": result.faults} for result in results
    ]
    report["batch"] = summarize_batch(outcomes, results)
    report["faults"] = (
        check.count_faults(outcomes, profile.allow_losses)
        + len(report["runs"].get("findings", []))
        + sum(result.faults for result in results)
    )
    return report


def summarize_batch(
    outcomes: list[check.Outcome], results: list[job.JobResult]
) -> dict:
    """Return the tokens generated while any job was unfinished.

    The window lasts from the first accepted job to the end of the last job.
    `tokens_per_second` counts online and batch tokens. Divided by the capacity
    of the engines, it is the utilization during the window.
    """
    accepted = [result for result in results if result.accepted]
    if not accepted:
        return {}
    began = min(result.began for result in accepted)
    ended = max(result.began + result.seconds for result in accepted)
    online = sum(
        measure.count_tokens(outcome)
        for outcome in outcomes
        if outcome.request.model
        and outcome.verdict is check.Verdict.RIGHT
        and began <= outcome.reply.last <= ended
    )
    batch = sum(result.tokens for result in accepted)
    seconds = max(ended - began, measure.SHORTEST_WINDOW)
    return {
        "window_seconds": round(seconds, 3),
        "batch_tokens": batch,
        "online_tokens": online,
        "tokens_per_second": round((batch + online) / seconds, 1),
        "batch_tokens_per_second": round(batch / seconds, 1),
        "jobs_late": sum(1 for result in accepted if not result.due_met),
    }


def describe(outcome: check.Outcome) -> str:
    """Return one line that describes an outcome that is not right."""
    reply = outcome.reply
    cause = reply.code or reply.failure
    return f"{outcome.request.id}: {outcome.verdict} (status {reply.status}, {cause})"


def summarize(
    profile: plan.Profile, outcomes: list[check.Outcome], seconds: float
) -> dict:
    """Return the part of the report about online requests."""
    latencies = measure.Latencies()
    by_customer = collections.defaultdict(list)
    for outcome in outcomes:
        by_customer[outcome.request.customer].append(outcome)
        latencies.add_outcome(outcome, "all")
        latencies.add_outcome(outcome, f"kind {outcome.request.kind}")
        latencies.add_outcome(outcome, f"customer {outcome.request.customer}")
    customers = {
        customer.name: measure.summarize_customer(
            customer, by_customer[customer.name], profile.seconds
        )
        for customer in profile.customers
    }
    worst_share = measure.add_shares(customers)
    verdicts = collections.Counter(str(outcome.verdict) for outcome in outcomes)
    troubled = [
        describe(outcome)
        for outcome in outcomes
        if outcome.verdict not in (check.Verdict.RIGHT, check.Verdict.REFUSED)
    ]
    refusals = collections.Counter(
        outcome.reply.code
        for outcome in outcomes
        if outcome.verdict is check.Verdict.REFUSED
    )
    return {
        "profile": profile.name,
        "seed": profile.seed,
        "seconds": round(seconds, 3),
        "verdicts": dict(verdicts),
        "refusals": dict(refusals),
        "worst_of_fair_share": worst_share,
        "customers": customers,
        "latencies": latencies.render(),
        "troubled": troubled,
    }


def summarize_runs(
    outcomes: list[check.Outcome],
    results: list[job.JobResult],
    planned: list[plan.Job],
    runs: list[dict[str, dict[str, int]]],
) -> dict:
    """Return repeated runs and findings from the run counts; empty without counts."""
    if not runs:
        return {}
    findings = check.check_runs(outcomes, runs)
    repeated = 0
    for run_counts in _sum_runs(runs).values():
        repeated += max(0, run_counts["completed"] - 1)
    accepted = {result.id for result in results if result.accepted}
    for planned_job in planned:
        if planned_job.id in accepted:
            continue
        findings += check.check_unaccepted(planned_job, runs)
    return {
        "completed_more_than_once": repeated,
        "findings": [f"{item.request}: {item.message}" for item in findings],
    }


def _sum_runs(runs: list[dict[str, dict[str, int]]]) -> dict[str, dict[str, int]]:
    total: dict = collections.defaultdict(collections.Counter)
    for counts in runs:
        for name, run in counts.items():
            # The count of a path covers many requests, that of a name only one.
            if not name.startswith("/"):
                total[name].update(run)
    return total


class Side:
    """The measurements of one side of a comparison over all rounds."""

    def __init__(self, name: str, driver: Driver):
        self.name = name
        self.driver = driver
        self.latencies = measure.Latencies()
        self.outcomes: list[check.Outcome] = []
        self.upstream_cpu = 0.0
        self.system_cpu = 0.0
        self.client_cpu = 0.0

    async def run_round(
        self, requests: list[plan.Request], target: Target, record: bool
    ) -> None:
        """Send the requests of one round.

        Without `record`, the round is a warm-up and its results are discarded.
        """
        upstream = measure.read_cpus(target.upstream_pids)
        system = measure.read_cpus(target.system_pids)
        cpu_before = time.process_time()
        outcomes = await self.driver.drive(requests)
        if not record:
            return
        self.client_cpu += time.process_time() - cpu_before
        after = measure.read_cpus(target.upstream_pids)
        self.upstream_cpu += sum(measure.subtract(after, upstream).values())
        after = measure.read_cpus(target.system_pids)
        self.system_cpu += sum(measure.subtract(after, system).values())
        for outcome in outcomes:
            self.latencies.add_outcome(outcome, "all")
        self.outcomes += outcomes

    def compute_cpu(self) -> float:
        """Return the processor milliseconds of the servers per request."""
        count = max(len(self.outcomes), 1)
        return (self.upstream_cpu + self.system_cpu) * 1000 / count

    def compute_client_cpu(self) -> float:
        """Return the processor milliseconds of this tool per request."""
        return self.client_cpu * 1000 / max(len(self.outcomes), 1)

    def render(self) -> dict:
        """Return the measurements of this side for the report."""
        verdicts = collections.Counter(str(item.verdict) for item in self.outcomes)
        return {
            "requests": len(self.outcomes),
            "verdicts": dict(verdicts),
            "latencies": self.latencies.render(),
            "lag": self.driver.lag.render(),
            "upstream_cpu_seconds": round(self.upstream_cpu, 3),
            "system_cpu_seconds": round(self.system_cpu, 3),
            "cpu_ms_per_request": round(self.compute_cpu(), 3),
            "client_cpu_ms_per_request": round(self.compute_client_cpu(), 3),
        }


async def run_comparison(
    profile: plan.Profile,
    direct: Target,
    through: Target,
    rounds: int,
    timer_service: timer.TimerService,
) -> dict:
    """Send the same requests directly and through the system; return the report.

    Each round lasts the profile's `seconds` on each side, and the sides take
    turns at going first. In a round, the requests of the two sides differ in
    their ids only. The ids are part of the prompts, so neither side gets an
    answer from a cache that the other side filled.
    """
    sides = [
        Side("direct", Driver(direct.bases, {}, profile, timer_service)),
        Side("through", Driver(through.bases, through.keys, profile, timer_service)),
    ]
    for side in sides:
        await side.driver.start()
    try:
        for round_number in range(-1, rounds):
            seconds = profile.seconds if round_number >= 0 else WARM_UP_SECONDS
            ordered = sides if round_number % 2 == 0 else sides[::-1]
            for side in ordered:
                planner = plan.Planner(
                    profile, f"{side.name}{round_number}", round_number
                )
                requests = planner.plan_requests(seconds)
                await side.run_round(requests, through, record=round_number >= 0)
                await timer_service.sleep(PAUSE_SECONDS)
        runs = await fetch_runs(sides[0].driver.client.session, through.upstreams)
    finally:
        for side in sides:
            await side.driver.stop()
    return summarize_comparison(profile, sides[0], sides[1], rounds, runs)


def _divide(over: float, under: float) -> float | None:
    return round(over / under, 3) if under else None


def summarize_comparison(
    profile: plan.Profile,
    direct: Side,
    through: Side,
    rounds: int,
    runs: list[dict[str, dict[str, int]]],
) -> dict:
    """Return the results of both sides, their ratios and the added latency."""
    ratios = {}
    added = {}
    for name in ("all first token", "all between tokens", "all whole"):
        for label, percentile in (("p50", 50), ("p99", 99)):
            before = direct.latencies.get(name).compute_percentile(percentile)
            after = through.latencies.get(name).compute_percentile(percentile)
            ratios[f"{name} {label}"] = _divide(after, before)
            added[f"{name} {label} ms"] = round((after - before) * 1000, 3)
    ratios["cpu"] = _divide(through.compute_cpu(), direct.compute_cpu())
    ratios["cpu with client"] = _divide(
        through.compute_cpu() + through.compute_client_cpu(),
        direct.compute_cpu() + direct.compute_client_cpu(),
    )
    findings = (
        check.check_runs(direct.outcomes + through.outcomes, runs) if runs else []
    )
    report = {
        "profile": profile.name,
        "seed": profile.seed,
        "rounds": rounds,
        "round_seconds": profile.seconds,
        "direct": direct.render(),
        "through": through.render(),
        "ratios": ratios,
        "added": added,
        "findings": [f"{item.request}: {item.message}" for item in findings],
    }
    report["faults"] = len(findings) + sum(
        check.count_faults(side.outcomes, profile.allow_losses)
        for side in (direct, through)
    )
    return report
