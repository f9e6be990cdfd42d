"""Measures what one decision of the slot allocator costs in fleets of several sizes.

All slots but a few are taken and many requests wait, as in the peaks of a day. Prints
microseconds per decision. Example:
`python -m sapphireseam.tools.bench_allocator --upstreams 28 --upstreams 2800`.
"""

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

import typer

from sapphireseam.core.instance import Instance
from sapphireseam.policy import allocator

SLOTS = 8
DOMAINS = "abcde"
CUSTOMERS = 140
WAITING = 400
ROUNDS = 300
MICROSECONDS = 1e6


class Costs(NamedTuple):
    """Microseconds per decision."""

    upstreams: int
    placement: float
    refusal: float
    release: float


class Fleet:
    """An allocator with a loaded fleet."""

    def __init__(self, upstreams: int, is_shared: bool = False):
        self.allocator = allocator.SlotAllocator()
        if is_shared:
            self.allocator.set_shares({"llm"}, {})
        self._numbers = itertools.count()
        self.running: list[str] = []
        instances = [
            Instance(f"i{n}", "llm", "10.0.0.1:80", DOMAINS[n % len(DOMAINS)], SLOTS)
            for n in range(upstreams)
        ]
        self.allocator.update(tuple(instances), 0.0)
        for number in range(upstreams):
            self.allocator.record_pace(f"i{number}", 0.02 + number % 7 * 0.001)

    def place(self, patience: float) -> None:
        """Place a request, which may wait."""
        number = next(self._numbers)
        request = allocator.SlotRequest(
            f"r{number}",
            "llm",
            f"c{number % CUSTOMERS}",
            0,
            DOMAINS[number % len(DOMAINS)],
            0.0,
            patience,
        )
        if isinstance(self.allocator.place(request, 0.0), allocator.Grant):
            self.running.append(request.key)

    def release(self) -> None:
        """Release a slot, which the next waiting request gets."""
        grants = self.allocator.release(self.running.pop(), 0.0)
        self.running += [grant.request.key for grant in grants]

    def fill(self, free: int) -> None:
        """Take all slots but a few."""
        slots = len(self.allocator.instances) * SLOTS
        while len(self.running) < slots - free:
            self.place(0.0)


def measure(upstreams: int, is_shared: bool = False) -> Costs:
    """Return the costs in a fleet of so many upstreams, which customers may share."""
    fleet = Fleet(upstreams, is_shared)
    # A wait that nobody reaches, for a queue of this length in a small fleet.
    patience = 1000.0
    fleet.fill(0)
    for _ in range(WAITING):
        fleet.place(patience)
    refusal = _time(lambda: fleet.place(0.0))
    release = _time(fleet.release)
    fleet = Fleet(upstreams, is_shared)
    free = min(ROUNDS, upstreams * SLOTS // 2)
    fleet.fill(free)
    placement = _time(lambda: fleet.place(0.0), free)
    return Costs(upstreams, placement, refusal, release)


def _time(action: Callable[[], None], rounds: int = ROUNDS) -> float:
    """Return the microseconds that an action takes, on average."""
    begin = time.perf_counter()
    for _ in range(rounds):
        action()
    return (time.perf_counter() - begin) / rounds * MICROSECONDS


def main(
    upstreams: list[int] = typer.Option([28, 310, 2800]), shared: bool = False
) -> None:
    """Print a table of the costs."""
    typer.echo("upstreams  placement  refusal  release (microseconds)")
    for count in upstreams:
        costs = measure(count, shared)
        typer.echo(
            f"{costs.upstreams:9}  {costs.placement:9.0f}  {costs.refusal:7.0f}"
            f"  {costs.release:7.0f}"
        )


if __name__ == "__main__":
    typer.run(main)
