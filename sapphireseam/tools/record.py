"""Records what reached a stand-in upstream, for tests of what must not reach it.

`SeenValues` stores digests of all header, query, cookie and path values. A test
that has a caller's key checks that the key's digest is missing. `RunCounts`
counts how often each request was started and how each run ended.
"""

import collections
import hashlib
import re
from typing import NamedTuple

from aiohttp import web

# Separators at which values are split, since a key may be part of a longer value,
# such as after "Bearer".
_SEPARATORS = re.compile(r"[\s;,=&]+")
# Tests send fewer values.
MAX_DIGESTS_PER_NAME = 10_000


def compute_value_digest(value: str) -> str:
    """Return the digest under which a value is stored.

    >>> compute_value_digest("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(value.encode()).hexdigest()


class SeenValues:
    """The digests of received values by part of the request and by name."""

    def __init__(self):
        self._digests: dict[str, dict[str, set[str]]] = {
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

    def _add_value(self, section: str, name: str, value: str) -> None:
        digests = self._digests[section].setdefault(name, set())
        if len(digests) < MAX_DIGESTS_PER_NAME:
            digests.update(
                compute_value_digest(part)
                for part in [value, name, *_SEPARATORS.split(value)]
            )

    def render(self) -> dict[str, dict[str, list[str]]]:
        """Return the sorted digests by part of the request and by name.

        The digests of a value and of its parts are included, so that a key is
        found whether it is the whole value or follows "Bearer". The digest of a
        name is included for a key that was sent as a name.
        """
        return {
            section: {name: sorted(digests) for name, digests in names.items()}
            for section, names in self._digests.items()
        }


class Run(NamedTuple):
    """The number of runs of one request, by how they began and ended.

    `resumed` runs are included in `started`; a resumed run repeats no token.
    """

    started: int = 0
    resumed: int = 0
    completed: int = 0
    cancelled: int = 0
    failed: int = 0
    died: int = 0


class RunCounts:
    """The run counts of all requests."""

    def __init__(self):
        self._runs: dict[str, Run] = collections.defaultdict(Run)

    def count(self, name: str, *fields: str) -> None:
        """Increment the given fields of a request's `Run`."""
        run = self._runs[name]
        changes = {field: getattr(run, field) + 1 for field in fields}
        self._runs[name] = run._replace(**changes)

    def render(self) -> dict[str, dict[str, int]]:
        """Return the run counts by the name of the request."""
        return {name: run._asdict() for name, run in self._runs.items()}
