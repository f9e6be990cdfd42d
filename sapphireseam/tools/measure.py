"""Measure a run: latencies, processor time, limits and shares.

Latencies go into HDR histograms in microseconds; they are written out encoded,
so that runs can be merged and looked at later with any HDR tool.
"""

import bisect
import collections
import os
import statistics
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from sapphireseam.tools import check, plan

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 3600 * MICROSECONDS
DIGITS = 3
# How far the time of a decision inside the system may lie from the time at
# which the client sent the request, in seconds. Refusals are judged in the
# system's favour within it.
LIMIT_SLACK = 0.05
# The shortest time over which a throughput is reckoned, in seconds.
SHORTEST_WINDOW = 0.001


class Latency:
    """Collect one latency in seconds."""

    def __init__(self):
        self._histogram = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)

    def add(self, seconds: float) -> None:
        """Record one value."""
        value = max(1, min(round(seconds * MICROSECONDS), LONGEST_MICROSECONDS))
        self._histogram.record_value(value)

    def compute_percentile(self, percentile: float) -> float:
        """Return the value in seconds, 0 if there is none."""
        if not self._histogram.get_total_count():
            return 0.0
        value = self._histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS

    def render(self) -> dict:
        """Return the usual percentiles in milliseconds and the whole histogram."""
        document: dict = {"count": self._histogram.get_total_count()}
        for name, percentile in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100)):
            document[name] = round(self.compute_percentile(percentile) * 1000, 3)
        document["hdr"] = self._histogram.encode().decode()
        return document


class Latencies:
    """Collect the latencies of many answers by name."""

    def __init__(self):
        self._latencies: dict[str, Latency] = collections.defaultdict(Latency)

    def add(self, name: str, seconds: float) -> None:
        """Record one value under a name."""
        self._latencies[name].add(seconds)

    def add_outcome(self, outcome: check.Outcome, group: str) -> None:
        """Record a right answer's times under a group's names."""
        if outcome.verdict is not check.Verdict.RIGHT:
            return
        reply = outcome.reply
        self.add(f"{group} whole", reply.last - reply.sent)
        if outcome.request.stream:
            self.add(f"{group} first token", reply.first - reply.sent)
            for gap in reply.gaps:
                self.add(f"{group} between tokens", gap)

    def get(self, name: str) -> Latency:
        """Return the latency of that name, empty if nothing came."""
        return self._latencies[name]

    def render(self) -> dict[str, dict]:
        """Return every latency by name."""
        return {
            name: self._latencies[name].render() for name in sorted(self._latencies)
        }


def read_cpu(pid: int) -> float:
    """Return the processor seconds that a process has used, 0 if it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    # The program's name stands in brackets and may hold spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_cpus(pids: dict[str, int]) -> dict[str, float]:
    """Return each named process's processor seconds."""
    return {name: read_cpu(pid) for name, pid in pids.items()}


def subtract(after: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    """Return what each process used between two readings."""
    return {name: round(after[name] - before[name], 3) for name in after}


class LimitCheck(NamedTuple):
    """Tell how a customer's limit was kept, as seen from outside.

    `false_refusals` were refused for the rate although the bucket, as the
    client reckons it, had room. `over_admission` is by how many requests the
    admitted ones went past burst + rate x window in the worst window.
    """

    refused: int
    false_refusals: int
    over_admission: float


def check_limit(customer: plan.Customer, outcomes: list[check.Outcome]) -> LimitCheck:
    """Follow a customer's bucket through its requests in the order sent.

    The client doesn't know the moment of each decision, so a refusal counts as
    false only if there was room for all requests sent up to `LIMIT_SLACK` later
    and without what the rate adds in that time; an admission counts as over
    only if it stays over with the windows widened by the slack on both sides.
    """
    ordered = sorted(outcomes, key=lambda outcome: outcome.reply.sent)
    admitted = [
        outcome.reply.sent for outcome in ordered if not is_rate_refusal(outcome)
    ]
    refused = [outcome.reply.sent for outcome in ordered if is_rate_refusal(outcome)]
    false_refusals = 0
    bucket = Bucket(customer.rate, customer.burst)
    place = 0
    for sent in refused:
        while place < len(admitted) and admitted[place] <= sent:
            bucket.debit(admitted[place])
            place += 1
        late = bisect.bisect_right(admitted, sent + LIMIT_SLACK) - place
        room = bucket.compute_level(sent) - late - customer.rate * LIMIT_SLACK
        if room >= 1:
            false_refusals += 1
    ran = [
        outcome.reply.sent
        for outcome in ordered
        if outcome.verdict is check.Verdict.RIGHT
    ]
    slack = customer.rate * LIMIT_SLACK * 2
    wide = Bucket(customer.rate, customer.burst + slack)
    lowest = min([wide.debit(sent) for sent in ran], default=0.0)
    return LimitCheck(len(refused), false_refusals, round(max(0.0, -lowest), 3))


def is_rate_refusal(outcome: check.Outcome) -> bool:
    """Tell whether a request was refused for its customer's rate."""
    return outcome.reply.status == 429


class Bucket:
    """Reckon a token bucket that may go below zero; it starts full."""

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._time: float | None = None

    def compute_level(self, now: float) -> float:
        """Return the level at a time; a time before the last debit adds none."""
        if self._time is None:
            return self._level
        passed = max(0.0, now - self._time)
        return min(self._burst, self._level + passed * self._rate)

    def debit(self, now: float) -> float:
        """Take one token and return the level, which may be negative."""
        self._level = self.compute_level(now) - 1
        self._time = now if self._time is None else max(now, self._time)
        return self._level


def compute_fair_shares(demands: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair split of a capacity among demands.

    >>> compute_fair_shares({"a": 1, "b": 9, "c": 9}, 11)
    {'a': 1, 'b': 5.0, 'c': 5.0}
    """
    shares = {}
    left = capacity
    waiting = sorted(demands, key=demands.get)
    for place, name in enumerate(waiting):
        shares[name] = min(demands[name], left / (len(waiting) - place))
        left -= shares[name]
    return {name: shares[name] for name in demands}


def count_tokens(outcome: check.Outcome) -> int:
    """Return the cost of a request's right answer; a service call costs one."""
    if isinstance(outcome.request.expected, bytes) or not outcome.request.model:
        return 1
    return max(1, outcome.request.expected.count(" "))


def count_demand(customer: plan.Customer, outcomes: list[check.Outcome]) -> int:
    """Return the tokens of those requests that an exact limit would admit."""
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
    """Return what one customer sent and got."""
    counts = collections.Counter(str(outcome.verdict) for outcome in outcomes)
    refusals = collections.Counter(
        outcome.reply.code
        for outcome in outcomes
        if outcome.verdict is check.Verdict.REFUSED
    )
    asked = sum(count_tokens(outcome) for outcome in outcomes)
    right = [item for item in outcomes if item.verdict is check.Verdict.RIGHT]
    firsts = sorted(item.reply.first - item.reply.sent for item in right)
    return {
        "sent": len(outcomes),
        "allowed": round(customer.burst + customer.rate * seconds, 1),
        "verdicts": dict(counts),
        "refusals": dict(refusals),
        "limit": check_limit(customer, outcomes)._asdict(),
        "tokens_asked": asked,
        "tokens_demanded": count_demand(customer, outcomes),
        "tokens_served": sum(count_tokens(item) for item in right),
        "first_p50_ms": round(statistics.median(firsts) * 1000, 3) if firsts else None,
    }


def add_shares(customers: dict[str, dict]) -> float:
    """Add each customer's share of its fair share; return the worst one.

    The fair share is the max-min split of all tokens that were served, where a
    customer demands what it asked for within its rate.
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
            got = item["tokens_served"] / share if share else 0.0
            item["of_fair_share"] = round(got, 4)
            worst = min(worst, item["of_fair_share"])
    return worst
