"""Generates callers' keys, computes their digests and finds keys in texts.

A key has the form `seam-<id>-<secret>`. The secret has 256 random bits, so a plain
SHA-256 digest can't be reversed by guessing. The id is public: logs, tables and the
time line name a key by its id and never by its secret.
"""

import hashlib
import hmac
import re
import secrets
from typing import NamedTuple
from urllib.parse import unquote_plus

PREFIX = "seam"
SECRET_BYTES = 32
ID_BYTES = 6

# Matches the text of a caller's or an operator's key anywhere in a text.
_KEY_PATTERN = re.compile(rf"{PREFIX}(?:op)?-[0-9a-f]{{12}}-[A-Za-z0-9_-]{{40,}}")
# Replaces the text of a key where it must not be shown.
_REDACTED = "(key)"

# Headers in which callers send a key, in lower case.
HEADERS = frozenset({"authorization", "x-api-key", "api-key", "proxy-authorization"})
# Query parameters in which callers send a key, in lower case.
PARAMETERS = frozenset({"api_key", "api-key", "key", "access_token"})


class Key(NamedTuple):
    """One issued key; `withdrawn` is final."""

    id: str
    customer: str
    digest: str
    issued: float
    withdrawn: bool = False


class Secret(NamedTuple):
    """A new key's id and its text, which is shown to the caller only once."""

    id: str
    text: str


def digest(text: str) -> str:
    """Return the digest that is stored in place of a key's text."""
    return hashlib.sha256(text.encode()).hexdigest()


def generate(kind: str = PREFIX) -> Secret:
    """Return a new random key."""
    key_id = secrets.token_hex(ID_BYTES)
    text = f"{kind}-{key_id}-{secrets.token_urlsafe(SECRET_BYTES)}"
    return Secret(key_id, text)


def read_id(text: str) -> str:
    """Return the public id in a key's text, or an empty string if there is none."""
    parts = text.split("-", 2)
    if len(parts) != 3 or parts[0] != PREFIX:
        return ""
    return parts[1]


def matches(text: str, expected: str) -> bool:
    """Return in constant time whether the text has the expected digest."""
    return hmac.compare_digest(digest(text), expected)


def is_in(text: str) -> bool:
    """Return whether a text contains a key, percent-encoded or not.

    >>> is_in("Bearer seam-1"), is_in("%73eam-" + "0" * 12 + "-" + "x" * 43)
    (False, True)
    """
    while not _KEY_PATTERN.search(text):
        decoded = unquote_plus(text)
        if decoded == text:
            return False
        text = decoded
    return True


def redact(text: str) -> str:
    """Return a text with every key replaced."""
    return _KEY_PATTERN.sub(_REDACTED, text)
