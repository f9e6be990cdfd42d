"""Measures a load run: latencies, processor time, rate limits and fair shares.

Latencies are recorded in HDR histograms, in microseconds. The report contains
the encoded histograms, so that any HDR tool can merge and inspect runs later.
"""

import bisect
import collections
import os
import statistics
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from sapphireseam.tools import check, plan

MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_MICROSECONDS = 3600 * MICROSECONDS_PER_SECOND
# Precision of the histograms, in significant digits.
DIGITS = 3
# Maximum time between the sending of a request and the admission decision in the
# system, in seconds. Within it, a refusal is assumed to be correct.
LIMIT_SLACK = 0.05
# Shortest window for computing a throughput, in seconds.
SHORTEST_WINDOW = 0.001


class Latency:
    """A histogram of one latency."""

    def __init__(self):
        self._histogram = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)

    def add(self, seconds: float) -> None:
        """Record one latency."""
        value = max(
            1, min(round(seconds * MICROSECONDS_PER_SECOND), LONGEST_MICROSECONDS)
        )
        self._histogram.record_value(value)

    def compute_percentile(self, percentile: float) -> float:
        """Return a percentile in seconds, or 0 without any recorded latency."""
        if not self._histogram.get_total_count():
            return 0.0
        value = self._histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_SECOND

    def render(self) -> dict:
        """Return the count, percentiles in milliseconds and the encoded histogram."""
        document: dict = {"count": self._histogram.get_total_count()}
        for name, percentile in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100)):
            document[name] = round(self.compute_percentile(percentile) * 1000, 3)
        document["hdr"] = self._histogram.encode().decode()
        return document


class Latencies:
    """A collection of latency histograms by name."""

    def __init__(self):
        self._latencies: dict[str, Latency] = collections.defaultdict(Latency)

    def add(self, name: str, seconds: float) -> None:
        """Record one latency under a name."""
        self._latencies[name].add(seconds)

    def add_outcome(self, outcome: check.Outcome, group: str) -> None:
        """Record the latencies of a right answer under the names of a group."""
        if outcome.verdict is not check.Verdict.RIGHT:
            return
        reply = outcome.reply
        self.add(f"{group} whole", reply.last - reply.sent)
        if outcome.request.stream:
            self.add(f"{group} first token", reply.first - reply.sent)
            for gap in reply.gaps:
                self.add(f"{group} between tokens", gap)

    def get(self, name: str) -> Latency:
        """Return the histogram of that name, empty if nothing was recorded."""
        return self._latencies[name]

    def render(self) -> dict[str, dict]:
        """Return the rendered histograms by name."""
        return {
            name: self._latencies[name].render() for name in sorted(self._latencies)
        }


def read_cpu(pid: int) -> float:
    """Return the processor seconds of a process, or 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    # The program name is in parentheses and may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_cpus(pids: dict[str, int]) -> dict[str, float]:
    """Return the processor seconds of each named process."""
    return {name: read_cpu(pid) for name, pid in pids.items()}


def subtract(after: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    """Return the processor seconds that each process used between two readings."""
    return {name: round(after[name] - before[name], 3) for name in after}


class LimitCheck(NamedTuple):
    """The accuracy of a customer's rate limit, as observed by the client.

    `refused` is the number of requests refused for the rate. `false_refusals`
    counts those for which the client's model of the token bucket had a token
    left. `over_admission` is the number of admitted requests above
    burst + rate x window, in the worst window.
    """

    refused: int
    false_refusals: int
    over_admission: float


def check_limit(customer: plan.Customer, outcomes: list[check.Outcome]) -> LimitCheck:
    """Simulate a customer's token bucket over its requests in sending order.

    The client cannot observe the time of a decision, which is assumed to be
    within `LIMIT_SLACK` of the sending. A refusal therefore counts as false only
    if the bucket had a token even without the refill of that time and after all
    admitted requests sent within it. An admission counts as over the limit only if
    it is over the limit with each window widened by the slack on both sides.
    """
    ordered = sorted(outcomes, key=lambda outcome: outcome.reply.sent)
    admitted = [
        outcome.reply.sent for outcome in ordered if not is_rate_refusal(outcome)
    ]
    refused = [outcome.reply.sent for outcome in ordered if is_rate_refusal(outcome)]
    false_refusals = 0
    bucket = Bucket(customer.rate, customer.burst)
    next_admitted = 0
    for sent in refused:
        while next_admitted < len(admitted) and admitted[next_admitted] <= sent:
            bucket.debit(admitted[next_admitted])
            next_admitted += 1
        later = bisect.bisect_right(admitted, sent + LIMIT_SLACK) - next_admitted
        certain_level = bucket.compute_level(sent) - later - customer.rate * LIMIT_SLACK
        if certain_level >= 1:
            false_refusals += 1
    right = [
        outcome.reply.sent
        for outcome in ordered
        if outcome.verdict is check.Verdict.RIGHT
    ]
    slack = customer.rate * LIMIT_SLACK * 2
    widened = Bucket(customer.rate, customer.burst + slack)
    lowest = min([widened.debit(sent) for sent in right], default=0.0)
    return LimitCheck(len(refused), false_refusals, round(max(0.0, -lowest), 3))


def is_rate_refusal(outcome: check.Outcome) -> bool:
    """Return whether a request was refused by its customer's rate limit."""
    return outcome.reply.status == 429


class Bucket:
    """A token bucket that starts full and whose level may become negative."""

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._time: float | None = None

    def compute_level(self, now: float) -> float:
        """Return the level at a time.

        The bucket is not refilled for a time before the last debit.
        """
        if self._time is None:
            return self._level
        elapsed = max(0.0, now - self._time)
        return min(self._burst, self._level + elapsed * self._rate)

    def debit(self, now: float) -> float:
        """Remove one token and return the level, which may be negative."""
        self._level = self.compute_level(now) - 1
        self._time = now if self._time is None else max(now, self._time)
        return self._level


def compute_fair_shares(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair shares of a capacity by demand.

    >>> compute_fair_shares({"a": 1, "b": 9, "c": 9}, 11)
    {'a': 1, 'b': 5.0, 'c': 5.0}
    """
    shares = {}
    left = capacity
    ordered_names = sorted(demands, key=demands.get)
    for index, name in enumerate(ordered_names):
        shares[name] = min(demands[name], left / (len(ordered_names) - index))
        left -= shares[name]
    return {name: shares[name] for name in demands}


def count_tokens(outcome: check.Outcome) -> int:
    """Return the tokens of a request's right answer; a service call counts as one."""
    if isinstance(outcome.request.expected, bytes) or not outcome.request.model:
        return 1
    return max(1, outcome.request.expected.count(" "))


def count_demand(customer: plan.Customer, outcomes: list[check.Outcome]) -> int:
    """Return the tokens of the requests that an exact rate limit admits."""
    bucket = Bucket(customer.rate, customer.burst)
    tokens = 0
    for outcome in sorted(outcomes, key=lambda item: item.reply.sent):
        if bucket.compute_level(outcome.reply.sent) >= 1:
            bucket.debit(outcome.reply.sent)
            tokens += count_tokens(outcome)
    return tokens


def summarize_customer(
    customer: plan.Customer, outcomes: list[check.Outcome], seconds: float
) -> dict:
    """Return the requests and results of one customer for the report."""
    counts = collections.Counter(str(outcome.verdict) for outcome in outcomes)
    refusals = collections.Counter(
        outcome.reply.code
        for outcome in outcomes
        if outcome.verdict is check.Verdict.REFUSED
    )
    requested = sum(count_tokens(outcome) for outcome in outcomes)
    right = [item for item in outcomes if item.verdict is check.Verdict.RIGHT]
    firsts = sorted(item.reply.first - item.reply.sent for item in right)
    return {
        "sent": len(outcomes),
        "allowed": round(customer.burst + customer.rate * seconds, 1),
        "verdicts": dict(counts),
        "refusals": dict(refusals),
        "limit": check_limit(customer, outcomes)._asdict(),
        "tokens_asked": requested,
        "tokens_demanded": count_demand(customer, outcomes),
        "tokens_served": sum(count_tokens(item) for item in right),
        "first_p50_ms": round(statistics.median(firsts) * 1000, 3) if firsts else None,
    }


def add_shares(customers: dict[str, dict]) -> float:
    """Add the fraction of its fair share that each customer got; return the lowest.

    The fair share is the max-min fair share of all tokens served. A customer's
    demand is the tokens it requested within its rate limit.
    """
    demands = {name: item["tokens_demanded"] for name, item in customers.items()}
    capacity = sum(item["tokens_served"] for item in customers.values())
    shares = compute_fair_shares(demands, capacity)
    worst = 1.0
    for name, item in customers.items():
        share = shares[name]
        item["fair_tokens"] = round(share, 1)
        item["of_fair_share"] = None
        if demands[name]:
            fraction = item["tokens_served"] / share if share else 0.0
            item["of_fair_share"] = round(fraction, 4)
            worst = min(worst, item["of_fair_share"])
    return worst
