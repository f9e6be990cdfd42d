"""Authenticates callers by their keys, and removes keys from requests.

A key is read from the usual headers or the query. Everything that could hold a
key is removed before a request is sent upstream, whether the key was used or
not: the headers and parameters for keys, all cookies, and any other header or
parameter that contains a key, percent-encoded or not. A key can't be removed
from a path or a body, so a request with a key there is refused. Trailers are
never forwarded. A key is valid only while the mirror is confirmed; see `Mirror`.
"""

import re
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote_plus

from multidict import CIMultiDictProxy

from sapphireseam.core import codec, error, key
from sapphireseam.utils.mirror import Mirror

BEARER = "bearer "
KEY_HEADERS = ("X-Api-Key", "Api-Key")
# Headers whose text is sent to other processes or compared.
READ_HEADERS = ("Authorization", *KEY_HEADERS, "Idempotency-Key")
# A character escaped by its number, or another escape.
_ESCAPE = re.compile(r"\\(?:u([0-9a-fA-F]{4})|.)", re.DOTALL)

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers
# that the next hop sets itself.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "accept-encoding",
    }
)
# A caller's cookies belong to the entry's host name and may contain a key.
_PRIVATE_HEADERS = key.HEADERS | {"cookie", "set-cookie", "idempotency-key"}


class Caller(NamedTuple):
    """A request's customer and key id; both are empty on an open route."""

    customer: str
    key: str


def find_key(headers: CIMultiDictProxy[str], query: str) -> str:
    """Return the key that a request carries, or an empty string."""
    authorization = headers.get("Authorization", "")
    if authorization.lower().startswith(BEARER):
        return authorization[len(BEARER) :].strip()
    for name in KEY_HEADERS:
        if headers.get(name):
            return headers[name].strip()
    for name, value in parse_qsl(query):
        if name.lower() in key.PARAMETERS:
            return value
    return ""


async def identify(mirror: Mirror, text: str) -> Caller:
    """Return the caller that a key belongs to.

    If the key is unknown, the mirror is refreshed first, so that a key which was
    just issued is found.

    Raises `AccessError` if the key is missing, unknown, wrong or withdrawn, and
    `ControlError` while its validity can't be confirmed.
    """
    if not text:
        text = "send your key as 'Authorization: Bearer <key>'"
        raise error.AccessError(text, error.Kind.KEY_MISSING)
    if not mirror.is_confirmed():
        text = "this entry can't reach the control VMs, so it can't check keys"
        raise error.ControlError(text)
    key_id = key.read_id(text)
    if key_id and key_id not in mirror.keys:
        await mirror.refresh()
    found = mirror.keys.get(key_id)
    if found is None or not key.matches(text, found.digest) or found.withdrawn:
        raise error.AccessError("the key is unknown or withdrawn")
    if found.customer not in mirror.fleet.customers:
        raise error.AccessError("the key's customer is no longer in the configuration")
    return Caller(found.customer, found.id)


def make_invalid_key_error(mirror: Mirror) -> error.SeamError:
    """Return the error for a key that was valid before and no longer is."""
    if mirror.is_confirmed():
        return error.AccessError("the key was withdrawn")
    text = "this entry can't reach the control VMs, so it can't confirm the key"
    return error.ControlError(text)


def is_valid(mirror: Mirror, caller: Caller) -> bool:
    """Return whether a caller's key is still valid; an open route needs no key."""
    if not caller.key:
        return True
    found = mirror.keys.get(caller.key)
    return mirror.is_confirmed() and found is not None and not found.withdrawn


def check_path_and_body(path: str, body: bytes) -> None:
    """Raise if the path or the body contains a key, which can't be removed there."""
    if key.is_in(path):
        raise error.RequestError("the path holds a key; send it as a header")
    text = body.decode("latin-1")
    if key.is_in(text) or ("\\u" in text and key.is_in(unescape(text))):
        raise error.RequestError("the body holds a key; send it as a header")


def unescape(text: str) -> str:
    """Return a text with the characters that JSON escapes by their number.

    The text needn't be JSON: what can't be read here may be readable upstream.

    >>> unescape(r"\u0073eam-1 \\u0073")
    'seam-1 \\\\u0073'
    """
    return _ESCAPE.sub(_read_escape, text)


def _read_escape(found: re.Match[str]) -> str:
    return chr(int(found[1], 16)) if found[1] else found[0]


def strip_headers(
    headers: CIMultiDictProxy[str],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that may be sent upstream."""
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    dropped = _HOP_HEADERS | _PRIVATE_HEADERS | connection_headers
    return tuple(
        (str(name), codec.replace_surrogates(value))
        for name, value in headers.items()
        if name.lower() not in dropped and not key.is_in(f"{name}: {value}")
    )


def strip_query(query: str) -> str:
    """Return the raw query without parameters that may contain a key.

    >>> strip_query("size=2&%61pi_key=seam-1-x&flag")
    'size=2&flag'
    """
    kept = [
        part
        for part in query.split("&")
        if unquote_plus(part.split("=", 1)[0]).lower() not in key.PARAMETERS
        and not key.is_in(part)
    ]
    return "&".join(kept)
