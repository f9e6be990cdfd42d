"""Speak to replicas under the platform's names for headers."""

from multidict import CIMultiDictProxy

from sapphireseam.core.instance import Instance
from sapphireseam.utils.outbound import Headers, Outgoing

ATTEMPT = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_INSTANCE = "X-Expect-Instance"
# Names the customer to a replica; what a client sends under it is dropped.
CUSTOMER = "X-Tenant"
RESUME = "Last-Event-Id"
NOT_RUN = "X-Not-Executed"
SIGNATURE = "X-Response-Signature"
WAIT = "X-Wait-Ms"
KEY = "Authorization"
KEY_SCHEME = "token "

MISDIRECTED = 421
MILLISECONDS = 1000.0

# Headers that concern one connection only, that hold a key, or that are set here.
_DROPPED = frozenset(
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
# Headers of an answer that each connection sets for itself.
_OWN_IN_ANSWERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade"}
)


def strip_request(headers: CIMultiDictProxy[str]) -> Headers:
    """Return the headers of a client that go on to a replica."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = _DROPPED | named
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def strip_item(headers: dict[str, str]) -> Headers:
    """Return the headers of a batch job's item that go on to a replica."""
    return tuple(
        (name, value) for name, value in headers.items() if name.lower() not in _DROPPED
    )


def strip_answer(headers: Headers) -> Headers:
    """Return the headers of a replica that go back to a client."""
    return tuple(pair for pair in headers if pair[0].lower() not in _OWN_IN_ANSWERS)


def read_key(headers: CIMultiDictProxy[str]) -> str:
    """Return the key that a client sent, or an empty text."""
    text = headers.get(KEY, "")
    if text.lower().startswith(KEY_SCHEME):
        return text[len(KEY_SCHEME) :].strip()
    return ""


class ReplicaDialect:
    """Name what the product says to replicas and reads from them."""

    def render(self, request: Outgoing, instance: Instance) -> list[tuple[str, str]]:
        """Return a request's headers."""
        headers = [
            ("Host", request.host),
            (ATTEMPT, request.id),
            (EXPECTED_INSTANCE, instance.id),
            *request.headers,
        ]
        if request.customer:
            headers.append((CUSTOMER, request.customer))
        if request.remaining > 0:
            left = max(int(request.remaining * MILLISECONDS), 1)
            headers.append((DEADLINE, str(left)))
        if request.resume_after >= 0:
            headers.append((RESUME, str(request.resume_after)))
        return headers

    def read_id(self, headers: CIMultiDictProxy[str]) -> str:
        """Return the request that an answer belongs to."""
        return headers.get(ATTEMPT, "")

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Say whether the replica promises that it hasn't run the request."""
        return status == MISDIRECTED or NOT_RUN in headers
