"""Reads whole numbers that others wrote in headers, queries and events."""

# Most digits of a number, so that it fits into a message.
MAX_DIGITS = 18


def parse_count(text: str | bytes) -> int | None:
    """Return the whole number that a text is, or None if it is another text.

    Only ASCII digits count, at most `MAX_DIGITS` of them.

    >>> parse_count("12"), parse_count("-1"), parse_count("1_2"), parse_count("\u00b2")
    (12, None, None, None)
    """
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_count else None
