"""Issue callers' keys, keep them as digests and take them out of requests.

A key is `seam-<id>-<secret>`. The secret has 256 random bits, so a plain
SHA-256 digest can't be guessed back. The id is public: logs, tables and the
time line name keys by it and never by the secret.
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

# The text of a key, a caller's or an operator's, wherever it stands.
_TEXT = re.compile(rf"{PREFIX}(?:op)?-[0-9a-f]{{12}}-[A-Za-z0-9_-]{{40,}}")
# What a key's text is replaced by where it must not be shown.
_REDACTED = "(key)"

# Headers in which callers send a key, in lower case.
HEADERS = frozenset({"authorization", "x-api-key", "api-key", "proxy-authorization"})
# Query parameters in which callers send a key, in lower case.
PARAMETERS = frozenset({"api_key", "api-key", "key", "access_token"})


class Key(NamedTuple):
    """Record one issued key; `withdrawn` is final."""

    id: str
    customer: str
    digest: str
    issued: float
    withdrawn: bool = False


class Secret(NamedTuple):
    """Pair a new key's id with the text that its caller gets once."""

    id: str
    text: str


def digest(text: str) -> str:
    """Return the digest under which a key's text is kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def generate(kind: str = PREFIX) -> Secret:
    """Return a new random key."""
    key_id = secrets.token_hex(ID_BYTES)
    text = f"{kind}-{key_id}-{secrets.token_urlsafe(SECRET_BYTES)}"
    return Secret(key_id, text)


def read_id(text: str) -> str:
    """Return the public id inside a key's text, or an empty string."""
    parts = text.split("-", 2)
    if len(parts) != 3 or parts[0] != PREFIX:
        return ""
    return parts[1]


def matches(text: str, expected: str) -> bool:
    """Tell in constant time whether the text has the expected digest."""
    return hmac.compare_digest(digest(text), expected)


def is_in(text: str) -> bool:
    """Tell whether a key stands in a text, percent-encoded or not.

    >>> is_in("Bearer seam-1"), is_in("%73eam-" + "0" * 12 + "-" + "x" * 43)
    (False, True)
    """
    while not _TEXT.search(text):
        decoded = unquote_plus(text)
        if decoded == text:
            return False
        text = decoded
    return True


def redact(text: str) -> str:
    """Return a text with every key in it replaced."""
    return _TEXT.sub(_REDACTED, text)
