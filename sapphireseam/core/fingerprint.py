"""Computes fingerprints, by which resends of a request are recognised.

A request has the same fingerprint online and in a batch.
"""

import hashlib

# Hexadecimal digits of a fingerprint. Two requests don't share 128 bits by chance.
DIGITS = 32


def compute(customer: str, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint, which is the same for every resend of a request."""
    head = f"{customer}\n{method}\n{target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()[:DIGITS]
