"""Makes traits, by which later requests that resemble a request are recognised.

A trait is a fingerprint, or the hash of one part of a prompt with `PART_PREFIX`
before it. Requests that share a prompt part share its trait, whoever sends them.
"""

import hashlib
from collections.abc import Iterable

PART_PREFIX = "part:"
# Hexadecimal digits of the hash of a part.
DIGITS = 32


def make_part_traits(scope: str, parts: Iterable[str]) -> tuple[str, ...]:
    """Return the trait of each different part; `scope` is the model or service.

    >>> len(make_part_traits("chat", ["system prompt", "document", "document"]))
    2
    """
    return tuple(dict.fromkeys(_make_part_trait(scope, part) for part in parts))


def _make_part_trait(scope: str, part: str) -> str:
    data = f"{scope}\n{part}".encode(errors="surrogatepass")
    return PART_PREFIX + hashlib.sha256(data).hexdigest()[:DIGITS]


def is_part(trait: str) -> bool:
    """Return whether the trait is that of a prompt part."""
    return trait.startswith(PART_PREFIX)
