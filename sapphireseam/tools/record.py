"""Record what reached a stand-in upstream, so that tests can prove what did not.

`Seen` keeps digests of all header, query and cookie values: a test that knows
a caller's key looks for the key's digest. `Runs` counts how often each request
was started and how each run ended.
"""

import collections
import hashlib
import re
from typing import NamedTuple

from aiohttp import web

# Where a key may stand inside a longer value, such as after "Bearer".
_SEPARATORS = re.compile(r"[\s;,=&]+")
# Values kept for each name; a test sends fewer.
DIGESTS_KEPT = 10_000


def compute_value_digest(value: str) -> str:
    """Return the digest under which a value is listed.

    >>> compute_value_digest("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(value.encode()).hexdigest()


class SeenValues:
    """Collect digests of values by where they stood and under which name."""

    def __init__(self):
        self._places: dict[str, dict[str, set[str]]] = {
            "headers": {},
            "query": {},
            "cookies": {},
            "path": {},
        }

    def add(self, request: web.BaseRequest) -> None:
        """Record one request's headers, query, cookies and path."""
        for name, value in request.headers.items():
            self._add_value("headers", name.lower(), value)
        for name, value in request.query.items():
            self._add_value("query", name, value)
        for name, value in request.cookies.items():
            self._add_value("cookies", name, value)
        for part in request.path.split("/"):
            self._add_value("path", "path", part)

    def _add_value(self, place: str, name: str, value: str) -> None:
        digests = self._places[place].setdefault(name, set())
        if len(digests) < DIGESTS_KEPT:
            digests.update(
                compute_value_digest(part)
                for part in [value, name, *_SEPARATORS.split(value)]
            )

    def render(self) -> dict[str, dict[str, list[str]]]:
        """Return, for each place and name, the sorted digests.

        Each value is listed whole and in its parts, so that a key is found
        whether it stood alone or after "Bearer". A name's own digest is listed
        too, for a key that was sent as a name.
        """
        return {
            place: {name: sorted(digests) for name, digests in names.items()}
            for place, names in self._places.items()
        }


class Run(NamedTuple):
    """Count the runs of one request by how they began and ended.

    `resumed` runs are among the `started`; a resumed run repeats no token.
    """

    started: int = 0
    resumed: int = 0
    completed: int = 0
    cancelled: int = 0
    failed: int = 0
    died: int = 0


class RunCounts:
    """Count runs by request."""

    def __init__(self):
        self._runs: dict[str, Run] = collections.defaultdict(Run)

    def count(self, name: str, *fields: str) -> None:
        """Add one to each of these fields of the request's `Run`."""
        run = self._runs[name]
        changes = {field: getattr(run, field) + 1 for field in fields}
        self._runs[name] = run._replace(**changes)

    def render(self) -> dict[str, dict[str, int]]:
        """Return each request's counts by the request's name."""
        return {name: run._asdict() for name, run in self._runs.items()}
