"""Compute what a stand-in upstream answers, as pure functions of the request.

The stand-ins and the load tool both import these functions: the first to
answer, the second to know the one right answer. An answer depends on the model
and the prompt only, never on the replica, the batch or the time, so a stream
that is resumed on another replica continues exactly and a crossed answer is
seen as such.
"""

import hashlib
import struct
import zlib
from typing import Any, NamedTuple

# A prompt counts as one token for each so many characters.
CHARACTERS_PER_TOKEN = 4
# Hexadecimal digits of one answer token; a space follows them.
TOKEN_DIGITS = 4
# An answer that no limit cuts has between these many tokens.
SHORTEST_ANSWER = 16
LONGEST_ANSWER = 256
# Width and height of a label image, in pixels.
LABEL_SIZE = 16


class Answer(NamedTuple):
    """Hold a whole answer: its tokens and why it ended (`stop` or `length`)."""

    tokens: tuple[str, ...]
    finish_reason: str


def render_content(content: Any) -> str:
    """Return a chat message's content as text: a string or text parts."""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return ""


def render_messages(messages: list[dict]) -> str:
    """Return chat messages as the one prompt that the model sees.

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


def read_limit(body: dict) -> int | None:
    """Return the most tokens that a request's body asks for, if it says so."""
    return body.get("max_completion_tokens") or body.get("max_tokens")


def count_prompt_tokens(prompt: str) -> int:
    """Return the prompt's length in tokens, rounded up."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def compute_fingerprint(model: str, prompt: str) -> str:
    """Return the name under which `/_runs` counts a request.

    It holds for the model and the prompt, so it stays the same when a proxy
    writes the JSON anew, streams what the caller asked whole, or resumes.
    """
    return hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()[:32]


def compute_answer(model: str, prompt: str, limit: int | None = None) -> Answer:
    """Return the one right answer; a limit cuts it and changes nothing else."""
    source = hashlib.shake_128(f"{model}\0{prompt}".encode())
    span = LONGEST_ANSWER - SHORTEST_ANSWER + 1
    length = SHORTEST_ANSWER + zlib.crc32(source.digest(16)) % span
    finish_reason = "stop"
    if limit is not None and limit < length:
        length = limit
        finish_reason = "length"
    digits = source.hexdigest(TOKEN_DIGITS * length // 2)
    tokens = tuple(
        digits[start : start + TOKEN_DIGITS] + " "
        for start in range(0, len(digits), TOKEN_DIGITS)
    )
    return Answer(tokens, finish_reason)


def compute_body_answer(body: dict) -> Answer:
    """Return the right answer to a chat or completion request's body."""
    prompt = render_prompt(body)
    return compute_answer(str(body.get("model", "")), prompt, read_limit(body))


def compute_digest(data: bytes) -> str:
    """Return the digest by which a plain service proves what it received."""
    return hashlib.sha256(data).hexdigest()


def _render_chunk(kind: bytes, data: bytes) -> bytes:
    checksum = zlib.crc32(kind + data)
    return struct.pack(">I", len(data)) + kind + data + struct.pack(">I", checksum)


def render_label(name: str) -> bytes:
    """Return the label image of that name: a small grey PNG, always the same."""
    pixels = hashlib.shake_128(name.encode()).digest(LABEL_SIZE * LABEL_SIZE)
    rows = b"".join(
        b"\0" + pixels[start : start + LABEL_SIZE]
        for start in range(0, len(pixels), LABEL_SIZE)
    )
    header = struct.pack(">IIBBBBB", LABEL_SIZE, LABEL_SIZE, 8, 0, 0, 0, 0)
    return (
        b"\x89PNG\r\n\x1a\n"
        + _render_chunk(b"IHDR", header)
        + _render_chunk(b"IDAT", zlib.compress(rows))
        + _render_chunk(b"IEND", b"")
    )
