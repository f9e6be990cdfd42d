"""Compares the policies with their baselines in simulated time and prints tables.

The results do not depend on the load of the machine. Example:
`python -m sapphireseam.tools.bench_policy --seeds 5`.
"""

import statistics
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

import typer

from sapphireseam.policy import admission, queue
from sapphireseam.tools import bench_engine, bench_limit

LOADS = {
    "Shannonside": bench_engine.Load(8, 300, 60, 6.0, 3.0, 0.2),
    "Shannonside, bursts at capacity": bench_engine.Load(8, 300, 60, 6.0, 4.0, 0.2),
    "Bureau": bench_engine.Load(8, 200, 40, 9.0, 3.0, 0.2),
    "Bureau, bursts at capacity": bench_engine.Load(8, 200, 40, 9.0, 4.0, 0.2),
}
# The customers' relative request rates: a few large customers and many small ones.
SHARES = [5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0]
# In multiples of an equal share of the engine's capacity.
GREEDY_DEMAND = 10.0
STEADY_DEMAND = 0.9

# Pairs of the demand in multiples of the rate and the mean tokens a request.
LIMIT_CASES = [(0.5, 16.0), (0.9, 16.0), (1.0, 16.0), (10.0, 360.0), (0.9, 360.0)]


class Policy(NamedTuple):
    """A named pair of a queue and an admission limit."""

    name: str
    make_queue: Callable[[], queue.Queue]
    make_admission: Callable[[], admission.Admission]


def make_fixed() -> admission.Admission:
    """Return an admission limit equal to the engine's slots."""
    return admission.FixedAdmission(bench_engine.SLOTS)


POLICIES = [
    Policy("first_come, fixed", queue.FirstComeQueue, make_fixed),
    Policy("fair, fixed", queue.FairQueue, make_fixed),
    Policy("fair, adaptive", queue.FairQueue, admission.AdaptiveAdmission),
    Policy("fair, adaptive_tail", queue.FairQueue, admission.make_tail_admission),
]


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile: the value below which `share` of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def format_spread(values: Sequence[float], digits: int = 2) -> str:
    """Format the median of several seeds with the lowest and highest value."""
    median = statistics.median(values)
    low, high = min(values), max(values)
    return f"{median:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def run_engine(
    policy: Policy, load: bench_engine.Load, seed: int, arrivals, batch: bool, seconds
) -> bench_engine.Result:
    """Simulate one policy with one list of arrivals."""
    simulation = bench_engine.Simulation(
        policy.make_queue(), policy.make_admission(), load, seed
    )
    return simulation.run(arrivals, batch, seconds)


def find_capacity(load: bench_engine.Load, seed: int, seconds: float) -> float:
    """Return the tokens a second of an engine that runs batch work alone."""
    first = bench_engine.make_request(Random(seed), load, "first", "c0", False, 0.0)
    result = run_engine(POLICIES[1], load, seed, [first], True, seconds)
    return result.batch_tokens / result.seconds


def print_batch(seeds: int, seconds: float) -> None:
    """Print batch throughput and its effect on online waits."""
    print("| deployment | policy | batch by idle | p50 ms without | with", end="")
    print(" | p99 ms without | with | p99 ratio |\n|---|---|---|---|---|---|---|---|")
    for name, load in LOADS.items():
        for policy in POLICIES:
            row = measure_batch(policy, load, seeds, seconds)
            print(f"| {name} | {policy.name} | {row} |")


def measure_batch(
    policy: Policy, load: bench_engine.Load, seeds: int, seconds: float
) -> str:
    """Return one row: batch share, then online waits without and with batch work."""
    columns: list[list[float]] = [[], [], [], [], [], []]
    shares = {f"c{each}": share for each, share in enumerate(SHARES)}
    for seed in range(seeds):
        capacity = find_capacity(load, seed, seconds)
        arrivals = bench_engine.make_arrivals(Random(seed), load, shares, seconds)
        without_batch = run_engine(policy, load, seed, arrivals, False, seconds)
        with_batch = run_engine(policy, load, seed, arrivals, True, seconds)
        idle = capacity * with_batch.seconds - with_batch.online_tokens
        waits = [without_batch.first_token_waits, with_batch.first_token_waits]
        medians = [find_quantile(each, 0.5) for each in waits]
        tails = [find_quantile(each, 0.99) for each in waits]
        row = [with_batch.batch_tokens / idle]
        row += [1e3 * each for each in medians + tails] + [tails[1] / tails[0]]
        for column, value in zip(columns, row, strict=True):
            column.append(value)
    digits = [2, 0, 0, 0, 0, 2]
    cells = zip(columns, digits, strict=True)
    return " | ".join(format_spread(column, count) for column, count in cells)


def print_fairness(seeds: int, seconds: float) -> None:
    """Print the share that the worst-served customer gets beside a greedy one."""
    print("| deployment | policy | worst-served by its demand |\n|---|---|---|")
    for name, load in list(LOADS.items())[::2]:
        for policy in POLICIES:
            worst = [
                measure_fairness(policy, load, seed, seconds) for seed in range(seeds)
            ]
            print(f"| {name} | {policy.name} | {format_spread(worst)} |")


def measure_fairness(
    policy: Policy, load: bench_engine.Load, seed: int, seconds: float
) -> float:
    """Return the smallest share of its demand that any steady customer was served."""
    steady = {f"c{each}": STEADY_DEMAND for each in range(1, load.customers)}
    shares = {"c0": GREEDY_DEMAND, **steady}
    capacity = find_capacity(load, seed, seconds)
    tokens = load.prompt_tokens + load.output_tokens
    rate = capacity / load.customers * sum(shares.values()) / tokens
    load = load._replace(requests_a_second=rate, burst_factor=1.0)
    arrivals = bench_engine.make_arrivals(Random(seed), load, shares, seconds)
    result = run_engine(policy, load, seed, arrivals, False, seconds)
    return min(result.served.get(each, 0.0) / result.offered[each] for each in steady)


def print_limits(seeds: int, seconds: float) -> None:
    """Print the false refusals, over-admission and messages of each limiter."""
    print("| mode | entries | demand | tokens a request | case", end="")
    print(" | false refusals % | refused, s of rate | over | messages a request |")
    print("|---|---|---|---|---|---|---|---|---|")
    for mode in ("static_split", "exact", "allowance"):
        for entries in (2, 8, 64):
            for demand, mean in LIMIT_CASES:
                case = bench_limit.Case(
                    mode, entries, demand, mean, False, False, False
                )
                print_limit(case, "even", seeds, seconds)
            steady = bench_limit.Case(mode, entries, 0.9, 16.0, False, False, False)
            print_limit(steady._replace(skewed=True), "skewed", seeds, seconds)
            if mode != "static_split":
                entry_lost = steady._replace(loses_entries=True)
                print_limit(entry_lost, "entry lost each 10 s", seeds, seconds)
                owner_changed = steady._replace(changes_owner=True)
                print_limit(owner_changed, "owner change", seeds, seconds)


def print_limit(case: bench_limit.Case, kind: str, seeds: int, seconds: float) -> None:
    """Print one row of the table of limiters."""
    runs = [bench_limit.Simulation(case, seed, seconds).run() for seed in range(seeds)]
    refusals = [100.0 * each.false_refusals / each.requests for each in runs]
    refused_seconds = [each.refused_tokens / bench_limit.RATE for each in runs]
    over_admission = max(each.over_admission for each in runs)
    messages = [each.messages / each.requests for each in runs]
    print(
        f"| {case.mode} | {case.entries} | {case.demand} | {case.mean_cost:.0f}"
        f" | {kind} | {format_spread(refusals)} | {format_spread(refused_seconds)}"
        f" | {over_admission:.0f} | {format_spread(messages)} |"
    )


def main(
    seeds: int = typer.Option(5, help="Number of seeds, counted from 0."),
    seconds: float = typer.Option(120.0, help="Simulated seconds a run."),
) -> None:
    """Measure queue, admission and limiters in simulated time."""
    print_batch(seeds, seconds)
    print()
    print_fairness(seeds, seconds)
    print()
    print_limits(seeds, seconds / 2.0)


if __name__ == "__main__":
    typer.run(main)
