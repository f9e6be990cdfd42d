"""Computes the answers of stand-in upstreams as pure functions of the request.

The stand-ins use these functions to answer, and the load tool uses them to
compute the one right answer. An answer depends on the model and the prompt
only, never on the replica, the batch or the time. A stream that is resumed on
another replica therefore continues exactly, and an answer that was sent to the
wrong caller is detected.
"""

import hashlib
import struct
import zlib
from typing import Any, NamedTuple

# Prompt characters that count as one token.
CHARACTERS_PER_TOKEN = 4
# Hexadecimal digits in one answer token; a space follows them.
TOKEN_DIGITS = 4
# Bounds on the length of an answer that no token limit cuts short.
SHORTEST_ANSWER_TOKENS = 16
LONGEST_ANSWER_TOKENS = 256
# Width and height of a label image, in pixels.
LABEL_SIDE_PIXELS = 16


class Answer(NamedTuple):
    """A complete answer: its tokens and its finish reason (`stop` or `length`)."""

    tokens: tuple[str, ...]
    finish_reason: str


def render_content(content: Any) -> str:
    """Return a chat message's content, a string or a list of text parts, as text."""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return ""


def render_messages(messages: list[dict]) -> str:
    """Return chat messages joined into the one prompt given to the model.

    >>> render_messages([{"role": "user", "content": "oak"}])
    'user: oak'
    """
    lines = []
    for message in messages:
        content = render_content(message.get("content"))
        lines.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(lines)


def render_prompt(body: dict) -> str:
    """Return the prompt of a chat or completion request's body."""
    if "messages" in body:
        return render_messages(body["messages"])
    prompt = body.get("prompt", "")
    if isinstance(prompt, list):
        return "".join(str(part) for part in prompt)
    return str(prompt)


def read_token_limit(body: dict) -> int | None:
    """Return the token limit in a request's body, or None if it has none."""
    return body.get("max_completion_tokens") or body.get("max_tokens")


def count_prompt_tokens(prompt: str) -> int:
    """Return the prompt's length in tokens, rounded up."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def compute_fingerprint(model: str, prompt: str) -> str:
    """Return the name under which `/_runs` counts a request.

    It is derived from the model and the prompt only. It stays the same when a
    proxy encodes the JSON again, streams an answer that the caller requested
    without streaming, or resumes a stream.
    """
    return hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()[:32]


def compute_answer(model: str, prompt: str, limit: int | None = None) -> Answer:
    """Return the one right answer; a limit only cuts it short."""
    shake = hashlib.shake_128(f"{model}\0{prompt}".encode())
    span = LONGEST_ANSWER_TOKENS - SHORTEST_ANSWER_TOKENS + 1
    length = SHORTEST_ANSWER_TOKENS + zlib.crc32(shake.digest(16)) % span
    finish_reason = "stop"
    if limit is not None and limit < length:
        length = limit
        finish_reason = "length"
    digits = shake.hexdigest(TOKEN_DIGITS * length // 2)
    tokens = tuple(
        digits[start : start + TOKEN_DIGITS] + " "
        for start in range(0, len(digits), TOKEN_DIGITS)
    )
    return Answer(tokens, finish_reason)


def compute_body_answer(body: dict) -> Answer:
    """Return the right answer to a chat or completion request's body."""
    prompt = render_prompt(body)
    return compute_answer(str(body.get("model", "")), prompt, read_token_limit(body))


def compute_digest(data: bytes) -> str:
    """Return the digest by which a plain service confirms the body it received."""
    return hashlib.sha256(data).hexdigest()


def _render_chunk(kind: bytes, data: bytes) -> bytes:
    checksum = zlib.crc32(kind + data)
    return struct.pack(">I", len(data)) + kind + data + struct.pack(">I", checksum)


def render_label(name: str) -> bytes:
    """Return the label image for a name: a small grey PNG, always the same."""
    pixels = hashlib.shake_128(name.encode()).digest(
        LABEL_SIDE_PIXELS * LABEL_SIDE_PIXELS
    )
    rows = b"".join(
        b"\0" + pixels[start : start + LABEL_SIDE_PIXELS]
        for start in range(0, len(pixels), LABEL_SIDE_PIXELS)
    )
    header = struct.pack(
        ">IIBBBBB", LABEL_SIDE_PIXELS, LABEL_SIDE_PIXELS, 8, 0, 0, 0, 0
    )
    return (
        b"\x89PNG\r\n\x1a\n"
        + _render_chunk(b"IHDR", header)
        + _render_chunk(b"IDAT", zlib.compress(rows))
        + _render_chunk(b"IEND", b"")
    )
