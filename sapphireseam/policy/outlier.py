"""Decides how long an upstream that fails rests before it gets requests again.

Load: some upstreams of a service fail or refuse a part of their requests although
their probes succeed, or go down and up by turns. Such an upstream has few running
requests, so it looks like the best one for each new request.

After a first failure a probe may bring the upstream back at once: the failure may be a
rare one, and a healthy upstream that rests is capacity lost. Each further failure in a
row doubles the time for which it rests. The row ends once the upstream has served a few
requests without a failure, or hasn't failed for long enough. While many of a service's
upstreams are out, the cause is probably not theirs, so none has to rest.

    detector = OutlierDetector()
    detector.record_failure("i-1/7", "entry-a", now)  # 0.0
    detector.record_failure("i-1/7", "entry-a", now + 0.5)  # BASE_SECONDS
    detector.may_return("i-1/7", now + 0.6)  # False

Times are monotonic readings in seconds.
"""

from collections.abc import Iterable

# The rest after the second failure in a row, and the longest one.
BASE_SECONDS = 0.8
MAX_SECONDS = 6.4
# The most doublings of a rest that are computed.
MAX_DOUBLINGS = 10
# The longest rest after a refusal, which says that the request wasn't run.
MAX_REFUSAL_SECONDS = 0.8
# Reports of one source within this time are one failure: its own link may have broken.
# So are those of all sources within this time after the first.
EVENT_SECONDS = 0.1
# A row ends after this many seconds without a failure, and after this many successes.
FORGET_SECONDS = 20.0
FORGIVING_SUCCESSES = 5
# Largest share of a service's upstreams that rest at the same time.
MAX_RESTING_SHARE = 0.25


class _Row:
    """The failures of one run of an upstream since it last served well."""

    def __init__(self):
        self.failures = 0
        self.successes = 0
        self.failed_at = 0.0
        self.rests_until = 0.0
        # When each source last reported a failure.
        self.reported_at: dict[str, float] = {}


class OutlierDetector:
    """Counts the failures in a row of each run of an upstream."""

    def __init__(self):
        self._rows: dict[str, _Row] = {}

    def record_failure(
        self, run: str, source: str, now: float, is_refusal: bool = False
    ) -> float:
        """Record a failure of a run; return the seconds for which it rests.

        `source` names who reports it. One that `is_refusal` ran no request, so the rest
        is shorter.
        """
        row = self._rows.setdefault(run, _Row())
        last_report = row.reported_at.get(source)
        row.reported_at[source] = now
        row.successes = 0
        is_known = last_report is not None and now - last_report < EVENT_SECONDS
        # What breaks the connections of many sources at once is one failure, too.
        is_known |= row.failures > 0 and now - row.failed_at < EVENT_SECONDS
        # Requests that were sent before the rest may fail during it.
        if not is_known and now >= row.rests_until:
            if now - row.failed_at > FORGET_SECONDS:
                row.failures = 0
            row.failures += 1
            row.failed_at = now
            longest = MAX_REFUSAL_SECONDS if is_refusal else MAX_SECONDS
            doublings = min(row.failures - 2, MAX_DOUBLINGS)
            seconds = BASE_SECONDS * 2.0**doublings if row.failures > 1 else 0.0
            row.rests_until = now + min(seconds, longest)
        return max(row.rests_until - now, 0.0)

    def record_success(self, run: str) -> None:
        """Record that a run has served a request."""
        row = self._rows.get(run)
        if row is None:
            return
        row.successes += 1
        if row.successes >= FORGIVING_SUCCESSES:
            del self._rows[run]

    def may_return(self, run: str, now: float) -> bool:
        """Return whether a run may get requests again if its probe succeeds."""
        row = self._rows.get(run)
        return row is None or now >= row.rests_until

    def choose_returning(
        self, ejected: Iterable[str], total: int, now: float
    ) -> set[str]:
        """Return those of a service's ejected runs that a probe may bring back.

        `total` is how many upstreams the service has. If too many of them are ejected,
        all may return.
        """
        runs = set(ejected)
        if len(runs) > total * MAX_RESTING_SHARE:
            return runs
        return {run for run in runs if self.may_return(run, now)}

    def count_failures(self, run: str) -> int:
        """Return how many failures in a row a run has had."""
        row = self._rows.get(run)
        return row.failures if row is not None else 0

    def keep_only(self, runs: Iterable[str]) -> None:
        """Forget all other runs."""
        listed = set(runs)
        self._rows = {run: row for run, row in self._rows.items() if run in listed}
