"""Decides which upstreams are cold, and until when.

This answers the crowd that an upstream attracts when it has just started, or has come
back with its failure domain: it is empty, so it looks least loaded, and it would be
stampeded. While it is cold it gets a ceiling (policy/ceiling.py).

Upstreams say themselves how long they stay cold, and the list of upstreams repeats it
later. So an end that was taken from the list is too late, never too early, and a list
that says nothing of it may be older than what was heard before. Where nothing is known,
an upstream is presumed cold: after its start for as long as its service says, otherwise
only until the list must have shown it.

Times are monotonic readings in seconds. Runs of services without a rate for cold
upstreams are never cold.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sapphireseam.core.fleet import Service
from sapphireseam.core.instance import Instance, get_run_name, parse_start

# An end that the list moves out by less is the same, as the list's lag varies.
TOLERANCE_SECONDS = 1.0
# How long a run is presumed cold until the list or the watch must have shown it.
UNKNOWN_SECONDS = 2.0
# How long one that has crashed is, until the list shows the next run.
CRASHED_SECONDS = 15.0


class ColdRun(NamedTuple):
    """A run that is cold until `end` and gets `rate` requests a second.

    `told` is the end that other processes were told, 0 if they weren't. Another process
    may have presumed the end of a run that `is_learned`.
    """

    upstream: str
    rate: float
    end: float
    is_presumed: bool = False
    told: float = 0.0
    is_learned: bool = False


class ColdTracker:
    """Knows the cold runs of all upstreams.

    A run that is new to this process, and of which nothing is known, is presumed cold
    for `unknown_seconds`, without it for as long as its service says.
    """

    def __init__(self, unknown_seconds: float | None = None):
        self._unknown_seconds = unknown_seconds
        self._cold: dict[str, ColdRun] = {}
        # The listed instances by run; None before the first list.
        self._listed: dict[str, Instance] | None = None
        # Until when the upstreams of a failure domain may be cold unknown to the list.
        self._returned: dict[str, float] = {}

    @property
    def has_cold(self) -> bool:
        """Return whether any run is cold."""
        return bool(self._cold)

    def begin(self) -> None:
        """Take no run of the next list for one that has just started."""
        self._listed = None

    def record_list(
        self,
        instances: Iterable[Instance],
        left: Mapping[str, float],
        services: Mapping[str, Service],
        now: float,
    ) -> None:
        """Record a list, which says of some runs how many seconds they stay cold."""
        former = self._listed
        self._listed = {get_run_name(each): each for each in instances}
        self._end_former({each.id: each.born for each in self._listed.values()})
        for run, instance in self._listed.items():
            service = services.get(instance.service)
            if service is None:
                continue
            if not service.cold_rate:
                # The configuration has changed.
                self._cold.pop(run, None)
                continue
            if run in left:
                if left[run] > 0.0:
                    self._extend(run, instance.id, service.cold_rate, now + left[run])
            elif former is not None and run not in former:
                seconds = service.cold_seconds
                if self._unknown_seconds is not None:
                    seconds = self._unknown_seconds
                self.presume([instance], services, now, seconds)
        if former is None:
            for domain, end in self._returned.items():
                self._presume_domain(domain, services, now, end - now)

    def record_returned(
        self, domain: str, services: Mapping[str, Service], now: float
    ) -> None:
        """Record that a failure domain gets requests again.

        Its upstreams may have become cold before, which no list shows yet.
        """
        self._returned[domain] = now + UNKNOWN_SECONDS
        self._presume_domain(domain, services, now, UNKNOWN_SECONDS)

    def record_crash(
        self, run: str, services: Mapping[str, Service], now: float
    ) -> None:
        """Record that a run has crashed; the next one may answer at its address."""
        instance = (self._listed or {}).get(run)
        if instance is not None:
            self.presume([instance], services, now, CRASHED_SECONDS)

    def _presume_domain(
        self, domain: str, services: Mapping[str, Service], now: float, seconds: float
    ) -> None:
        listed = self._listed or {}
        instances = [each for each in listed.values() if each.domain == domain]
        self.presume(instances, services, now, seconds)

    def record_answer(
        self,
        instance: Instance,
        seconds: float,
        services: Mapping[str, Service],
        now: float,
    ) -> None:
        """Record how long an upstream's own answer says that it stays cold."""
        run, service = get_run_name(instance), services.get(instance.service)
        if service is None or not service.cold_rate:
            return
        known = self._cold.get(run)
        if seconds <= 0.0:
            self._cold.pop(run, None)
        elif known is None or abs(now + seconds - known.end) > TOLERANCE_SECONDS:
            told = known.told if known is not None else 0.0
            self._cold[run] = ColdRun(
                instance.id, service.cold_rate, now + seconds, told=told
            )

    def _extend(self, run: str, upstream: str, rate: float, end: float) -> None:
        known = self._cold.get(run)
        if known is None:
            self._cold[run] = ColdRun(upstream, rate, end)
        elif known.is_presumed or end > known.end + TOLERANCE_SECONDS:
            self._cold[run] = known._replace(
                rate=rate, end=end, is_presumed=False, is_learned=False
            )
        elif known.is_learned:
            end = max(end, known.end)
            self._cold[run] = known._replace(rate=rate, end=end, is_learned=False)
        else:
            self._cold[run] = known._replace(rate=rate)

    def presume(
        self,
        instances: Iterable[Instance],
        services: Mapping[str, Service],
        now: float,
        seconds: float = UNKNOWN_SECONDS,
    ) -> None:
        """Presume that instances are cold for some seconds, until more is known."""
        for instance in instances:
            run, service = get_run_name(instance), services.get(instance.service)
            if service is None or not service.cold_rate or seconds <= 0.0:
                continue
            known = self._cold.get(run)
            end = now + seconds
            if known is None:
                self._cold[run] = ColdRun(instance.id, service.cold_rate, end, True)
            elif known.end < end:
                self._cold[run] = known._replace(end=end, is_presumed=True)

    def learn(
        self, upstream: str, run: str, rate: float, seconds: float, now: float
    ) -> None:
        """Record what the leader, or another process, has told all of a cold run."""
        self._end_former({upstream: parse_start(run)})
        end = now + seconds
        known = self._cold.get(run)
        if known is None or end > known.end + TOLERANCE_SECONDS:
            known = ColdRun(upstream, rate, end, is_learned=True)
        elif known.is_learned:
            known = known._replace(end=max(known.end, end))
        self._cold[run] = known._replace(told=max(known.told, end))

    def _end_former(self, starts: Mapping[str, int]) -> None:
        """Forget the runs that began before these starts of their upstreams.

        If one of them were told again, it would end what is known of the later run.
        """
        for run, each in list(self._cold.items()):
            if parse_start(run) < starts.get(each.upstream, 0):
                del self._cold[run]

    def forget(self, run: str) -> None:
        """Record that the leader has told all that a run isn't cold any more."""
        self._cold.pop(run, None)

    def expire(self, now: float) -> dict[str, ColdRun]:
        """Return the runs that aren't cold any more, and forget them."""
        ended = {run: each for run, each in self._cold.items() if each.end <= now}
        for run in ended:
            del self._cold[run]
        return ended

    def list_untold(self) -> dict[str, ColdRun]:
        """Return the runs of which the others don't know, or not for how long."""
        return {run: each for run, each in self._cold.items() if each.told < each.end}

    def mark_told(self, run: str) -> None:
        """Record that the others are told the present end of a run."""
        self._cold[run] = self._cold[run]._replace(told=self._cold[run].end)

    def read_rates(self) -> dict[str, float]:
        """Return the requests per second by cold run."""
        return {run: each.rate for run, each in self._cold.items()}

    def read_cold(self) -> dict[str, ColdRun]:
        """Return the cold runs."""
        return dict(self._cold)
