"""Defines every kind of error, with the answer that a caller gets for it.

The kinds are a closed list, so that an operator can look each one up and all
programs give the same answer for the same cause. Each exception class has a default
kind. Code raises an exception of one of these classes; the server code that answers
the caller looks its kind up in `ANSWERS`.
"""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """The cause of a failed request, job or command."""

    BAD_REQUEST = "bad_request"
    BAD_SETTINGS = "bad_settings"
    BAD_CONFIGURATION = "bad_configuration"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    FORBIDDEN = "forbidden"
    ROUTE_UNKNOWN = "route_unknown"
    MODEL_UNKNOWN = "model_unknown"
    OBJECT_UNKNOWN = "object_unknown"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    CONTROL_UNREACHABLE = "control_unreachable"
    NOT_LEADER = "not_leader"
    SHUTTING_DOWN = "shutting_down"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_FAILED = "upstream_failed"
    REQUEST_QUARANTINED = "request_quarantined"
    CANCELLED = "cancelled"
    STORAGE_FAILED = "storage_failed"
    INTERNAL = "internal"


# Longest wait that callers are told; a contract may make it practically endless.
MAX_RETRY_AFTER_SECONDS = 3600.0


class Answer(NamedTuple):
    """The answer that a caller gets for one kind.

    `not_run` is a guarantee that the request never reached an upstream.
    `retry_after` is in seconds; 0 means that a retry doesn't help.
    """

    status: int
    type: str
    not_run: bool
    retry_after: int = 0


_INVALID = "invalid_request_error"
_SERVER = "server_error"

ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(400, _INVALID, True),
    Kind.BAD_SETTINGS: Answer(500, _SERVER, True),
    Kind.BAD_CONFIGURATION: Answer(422, _INVALID, True),
    Kind.BODY_TOO_LARGE: Answer(413, _INVALID, True),
    Kind.REQUEST_TIMEOUT: Answer(408, _INVALID, True, 1),
    Kind.KEY_MISSING: Answer(401, "authentication_error", True),
    Kind.KEY_INVALID: Answer(401, "authentication_error", True),
    Kind.FORBIDDEN: Answer(403, "permission_error", True),
    Kind.ROUTE_UNKNOWN: Answer(404, _INVALID, True),
    Kind.MODEL_UNKNOWN: Answer(404, _INVALID, True),
    Kind.OBJECT_UNKNOWN: Answer(404, _INVALID, True),
    Kind.CONFLICT: Answer(409, _INVALID, True),
    Kind.RATE_LIMITED: Answer(429, "rate_limit_error", True, 1),
    Kind.OVERLOADED: Answer(503, _SERVER, True, 1),
    Kind.NO_UPSTREAM: Answer(503, _SERVER, True, 2),
    Kind.CONTROL_UNREACHABLE: Answer(503, _SERVER, True, 3),
    Kind.NOT_LEADER: Answer(503, _SERVER, True, 1),
    Kind.SHUTTING_DOWN: Answer(503, _SERVER, True, 1),
    Kind.DEADLINE_EXCEEDED: Answer(504, _SERVER, False),
    Kind.OUTCOME_UNKNOWN: Answer(502, _SERVER, False),
    Kind.UPSTREAM_FAILED: Answer(502, _SERVER, False, 1),
    Kind.REQUEST_QUARANTINED: Answer(503, _SERVER, True, 1),
    Kind.CANCELLED: Answer(499, _INVALID, False),
    Kind.STORAGE_FAILED: Answer(503, _SERVER, False, 5),
    Kind.INTERNAL: Answer(500, _SERVER, False),
}


class SeamError(Exception):
    """Base class of all errors that have a kind.

    `retry_after`, in seconds, and `not_run` override the values in `ANSWERS` where the
    code that raises the error has more exact ones.
    """

    kind = Kind.INTERNAL

    def __init__(
        self,
        message: str,
        kind: Kind | None = None,
        retry_after: float | None = None,
        not_run: bool | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.kind = kind or type(self).kind
        answer = ANSWERS[self.kind]
        wait = answer.retry_after if retry_after is None else retry_after
        self.retry_after = min(wait, MAX_RETRY_AFTER_SECONDS)
        self.not_run = answer.not_run if not_run is None else not_run

    @property
    def answer(self) -> Answer:
        """Return the answer for this error's kind."""
        return ANSWERS[self.kind]


class RequestError(SeamError):
    """The caller's request is invalid."""

    kind = Kind.BAD_REQUEST


class AccessError(SeamError):
    """The caller isn't authorized for the request."""

    kind = Kind.KEY_INVALID


class CapacityError(SeamError):
    """The request is valid but can't be served now."""

    kind = Kind.OVERLOADED


class OutcomeError(SeamError):
    """The request was sent upstream, and its outcome is unknown."""

    kind = Kind.OUTCOME_UNKNOWN


class ControlError(SeamError):
    """The control VMs can't answer now."""

    kind = Kind.CONTROL_UNREACHABLE


class NotLeaderError(ControlError):
    """Another member is the leader.

    `leader` is its name, or its address if another process sent the error. It is empty
    if the leader is unknown.
    """

    kind = Kind.NOT_LEADER

    def __init__(self, message: str, leader: str = ""):
        super().__init__(message)
        self.leader = leader


class StorageError(SeamError):
    """A data folder is damaged, full or can't be synced."""

    kind = Kind.STORAGE_FAILED


class SettingsError(SeamError):
    """A program can't start with its settings."""

    kind = Kind.BAD_SETTINGS


class ConfigurationError(SeamError):
    """A configuration can't be published."""

    kind = Kind.BAD_CONFIGURATION


def render_body(error: SeamError) -> dict:
    """Return the body of the answer for an error, in the format of the OpenAI API.

    >>> render_body(AccessError("unknown key"))["error"]["code"]
    'key_invalid'
    """
    return {
        "error": {
            "message": error.message,
            "type": error.answer.type,
            "code": str(error.kind),
            "param": None,
            "not_run": error.not_run,
        }
    }
