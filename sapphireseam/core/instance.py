"""Defines the record of an upstream that was found by discovery."""

from typing import NamedTuple


class Instance(NamedTuple):
    """One run of an upstream.

    The upstream chooses `id` and may use it again after a restart. The runs then differ
    in `born`, the start time in epoch milliseconds. `slots` is how many requests the
    upstream runs at once. An instance that `is_leaving` gets no new requests. `version`
    is the version of the upstream's software, without any order.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    is_leaving: bool = False
    born: int = 0
    version: str = ""


def get_run_name(instance: Instance) -> str:
    """Return the name of an instance's run, which all processes use.

    >>> get_run_name(Instance("i-1", "llm", "10.0.0.1:80", "z", 8, born=7))
    'i-1/7'
    """
    return f"{instance.id}/{instance.born}"


def parse_start(run: str) -> int:
    """Return the start time that the name of a run holds, 0 if it holds none.

    >>> parse_start("i-1/7"), parse_start("i-1")
    (7, 0)
    """
    text = run.rpartition("/")[2]
    return int(text) if text.isascii() and text.isdecimal() else 0
