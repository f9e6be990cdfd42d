"""Hash a request's prompt block by block, for routing by shared prefixes.

Each block's hash covers all text before it, as an engine's prefix cache does,
so two prompts share exactly as many leading hashes as they share whole blocks.
The blocks are counted in characters: an entry has no tokenizer, and a hint
needs none.
"""

import hashlib
from collections.abc import Iterator
from typing import Any

# Characters in one block.
BLOCK_CHARACTERS = 256
# Blocks of one prompt that are hashed at most.
MOST_BLOCKS = 32
_HASH_BYTES = 8


def compute_blocks(document: dict[str, Any]) -> tuple[int, ...]:
    """Return the hashes of a request's whole prompt blocks, longest last.

    >>> long = {"model": "m", "prompt": "x" * 600}
    >>> len(compute_blocks(long)), compute_blocks({"prompt": "short"})
    (2, ())
    """
    text = "".join(_list_texts(document))
    state = hashlib.blake2b(
        str(document.get("model")).encode(), digest_size=_HASH_BYTES
    )
    blocks = []
    whole = min(len(text) // BLOCK_CHARACTERS, MOST_BLOCKS)
    for number in range(whole):
        start = number * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS]
        # JSON may hold half a surrogate pair, which has no encoding.
        state.update(block.encode("utf-8", "replace"))
        blocks.append(int.from_bytes(state.digest(), "big"))
    return tuple(blocks)


def _list_texts(document: dict[str, Any]) -> Iterator[str]:
    """Yield the texts that make up a prompt; skip whatever has another shape."""
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        yield prompt
    messages = document.get("messages")
    for message in messages if isinstance(messages, list) else ():
        if not isinstance(message, dict):
            continue
        yield f"\n{message.get('role')}: "
        content = message.get("content")
        if isinstance(content, str):
            yield content
        for part in content if isinstance(content, list) else ():
            if isinstance(part, dict) and isinstance(part.get("text"), str):
                yield part["text"]
