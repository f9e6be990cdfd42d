"""Reads and writes the HTTP headers that the platform defines."""

import re
from collections.abc import Mapping

from multidict import CIMultiDictProxy

from sapphireseam.core.ceiling import MAX_COLD_SECONDS
from sapphireseam.core.instance import Instance
from sapphireseam.utils.outbound import Headers, Outgoing

ATTEMPT = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_INSTANCE = "X-Expect-Instance"
# Names the customer to a replica. The header is dropped from clients' requests.
CUSTOMER = "X-Tenant"
MODEL = "X-Model"
# Lists the parts of a prompt in order, each as an id and a number of tokens.
PARTS = "X-Prompt-Prefix"
RESUME = "Last-Event-Id"
# Names the client's attempt that brought the first event of a stream.
RESUMES = "Resumes"
NOT_RUN = "X-Not-Executed"
SIGNATURE = "X-Response-Signature"
WAIT = "X-Wait-Ms"
# Names the replica in its answers to health checks.
INSTANCE = "X-Instance-Id"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
# The requests per second that a replica takes from all machines together.
CEILING = "Server-Limit"
# The milliseconds for which a replica stays cold.
COLD = "X-Cold-Ms"
KEY = "Authorization"
KEY_SCHEME = "token "
# Headers of a client's request whose text is sent to other processes or compared.
READ_HEADERS = ("Host", ATTEMPT, MODEL, PARTS, RESUMES, KEY)

MISDIRECTED_STATUS = 421
MILLISECONDS_PER_SECOND = 1000.0
# Longest text of a time, in characters.
MAX_TIME_LENGTH = 16

_DECIMAL = re.compile(r"[0-9]+(?:\.[0-9]+)?", re.ASCII)

# Headers that apply to one connection, contain a key, or are set here.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        KEY.lower(),
        ATTEMPT.lower(),
        DEADLINE.lower(),
        EXPECTED_INSTANCE.lower(),
        CUSTOMER.lower(),
        RESUME.lower(),
    }
)
# Headers of an answer that apply to one connection.
_CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade"}
)


def strip_request(headers: CIMultiDictProxy[str]) -> Headers:
    """Return the headers of a client's request to pass on to a replica."""
    listed = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = _DROPPED_HEADERS | listed
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def strip_item(headers: dict[str, str]) -> Headers:
    """Return the headers of a batch job's item to pass on to a replica."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )


def strip_answer(headers: Headers) -> Headers:
    """Return the headers of a replica's answer to pass on to a client."""
    return tuple(pair for pair in headers if pair[0].lower() not in _CONNECTION_HEADERS)


def read_key(headers: CIMultiDictProxy[str]) -> str:
    """Return the key that a client sent, or an empty string."""
    text = headers.get(KEY, "")
    if text.lower().startswith(KEY_SCHEME):
        return text[len(KEY_SCHEME) :].strip()
    return ""


def read_parts(headers: CIMultiDictProxy[str]) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but the last, which is a request's own."""
    listed = headers.get(PARTS, "").split(",")[:-1]
    ids = (entry.partition(":")[0].strip() for entry in listed)
    return tuple(id for id in ids if id)


def read_cold(text: str) -> float | None:
    """Return for how many seconds a text says that a replica stays cold.

    Return None if it isn't valid.

    >>> read_cold(" 1500 "), read_cold("2.5"), read_cold("-1"), read_cold("9" * 15)
    (1.5, 0.0025, None, None)
    """
    text = text.strip()
    if len(text) > MAX_TIME_LENGTH or not _DECIMAL.fullmatch(text):
        return None
    seconds = float(text) / MILLISECONDS_PER_SECOND
    return seconds if seconds <= MAX_COLD_SECONDS else None


class ReplicaDialect:
    """Writes the headers of requests to replicas and reads the headers of answers."""

    def render(self, request: Outgoing, instance: Instance) -> list[tuple[str, str]]:
        """Return the headers with which a request is sent to a replica."""
        headers = [
            ("Host", request.host),
            (ATTEMPT, request.id),
            (EXPECTED_INSTANCE, instance.id),
            *request.headers,
        ]
        if request.customer:
            headers.append((CUSTOMER, request.customer))
        if request.remaining > 0:
            milliseconds = max(int(request.remaining * MILLISECONDS_PER_SECOND), 1)
            headers.append((DEADLINE, str(milliseconds)))
        if request.resume_after >= 0:
            headers.append((RESUME, str(request.resume_after)))
        return headers

    def read_id(self, headers: Mapping[str, str]) -> str:
        """Return the id of a request, or of the request that an answer belongs to."""
        return headers.get(ATTEMPT, "")

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the replica promises that it has not run the request."""
        return status == MISDIRECTED_STATUS or NOT_RUN in headers

    def is_leaving(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether the replica says that it is leaving."""
        return headers.get(LEAVING, "").strip() == LEAVING_VALUE

    def read_ceiling(self, status: int, headers: CIMultiDictProxy[str]) -> str | None:
        """Return the limit that a replica names; None from another replica."""
        return None if status == MISDIRECTED_STATUS else headers.get(CEILING, "")

    def read_cold_seconds(
        self, instance: Instance, status: int, headers: CIMultiDictProxy[str]
    ) -> float | None:
        """Return for how many seconds a replica says that it stays cold, if it does.

        The answer of another replica at the address, and a malformed time, say nothing.
        """
        id = headers.get(INSTANCE, instance.id)
        if status == MISDIRECTED_STATUS or id != instance.id:
            return None
        return read_cold(headers.get(COLD, ""))

    def is_signed(self, headers: CIMultiDictProxy[str]) -> bool:
        """Return whether an answer has a header that only replicas send."""
        return any(name in headers for name in (INSTANCE, NOT_RUN, SIGNATURE))
