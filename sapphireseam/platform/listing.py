"""Reads the platform's list of running replicas, page by page."""

import asyncio
import logging
import re
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import aiohttp

from sapphireseam.core import error, jsonarray, jsontext, number
from sapphireseam.core.ceiling import MAX_COLD_SECONDS
from sapphireseam.core.instance import Instance, get_run_name
from sapphireseam.utils import framing

logger = logging.getLogger(__name__)

# Timeout of the request for one page.
PAGE_SECONDS = 1.0
# A list with more pages is treated as endless.
MAX_PAGES = 200
# The largest page, and the largest sum of all pages, in bytes.
MAX_PAGE_BYTES = 2 * 1024 * 1024
MAX_LIST_BYTES = 16 * 1024 * 1024
# Malformed entries that are logged once each; further ones aren't logged.
MAX_LOGGED_ENTRIES = 100
# The newest entries that can't be read are remembered, from this size in bytes on:
# to find their end takes time.
MIN_REMEMBERED_BYTES = 1024
MAX_REMEMBERED_ENTRIES = 16
# The most requests that one replica can run at once.
MAX_SLOTS = 65_536
# Values from which on a count doesn't fit into a message.
COUNT_LIMIT = 2**63
MAX_TEXT_LENGTH = 255
MILLISECONDS_PER_SECOND = 1000.0

_STATES = ("ready", "draining")
_ADDRESS = re.compile(
    r"(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):[0-9]{1,5}", re.ASCII
)
# An id is sent as the value of a header.
_ID = re.compile(r"[!-~]+", re.ASCII)


class Page(NamedTuple):
    """One page of the list: its readable entries, and the name of the next page."""

    entries: list[Any]
    next: str | None


class Listing:
    """Client of the platform's list of replicas."""

    def __init__(self, address: str):
        self._url = f"http://{address}/instances"
        self._session: aiohttp.ClientSession | None = None
        self._logged_entries: set[str] = set()
        # For how many seconds the runs of the last list stay cold, as far as it says.
        self.cold_left: dict[str, float] = {}
        self._unreadable: deque[bytes] = deque(maxlen=MAX_REMEMBERED_ENTRIES)

    async def list(self) -> tuple[Instance, ...]:
        """Return the listed replicas; malformed entries are skipped."""
        found: dict[str, Instance] = {}
        cold_left: dict[str, float] = {}
        name = ""
        names = {name}
        size = 0
        for _ in range(MAX_PAGES):
            body = await self._request_page(name)
            size += len(body)
            if size > MAX_LIST_BYTES:
                break
            page = await self._read_page(body)
            for entry in page.entries:
                instance = self._read_entry(entry)
                if instance is not None:
                    found[instance.id] = instance
                    seconds = read_cold_seconds(entry)
                    if seconds is not None:
                        cold_left[get_run_name(instance)] = seconds
            if not page.next:
                self.cold_left = cold_left
                return tuple(sorted(found.values()))
            name = page.next
            if name in names:
                break
            names.add(name)
        raise error.ControlError("the list of replicas does not end")

    async def start(self) -> None:
        """Do nothing; the first request opens the connection."""

    async def stop(self) -> None:
        """Close the connection to the list."""
        if self._session is not None:
            await self._session.close()

    async def _request_page(self, name: str) -> bytes:
        if self._session is None:
            self._session = framing.create_session(may_resend=True)
        parameters = {"page_token": name} if name else {}
        try:
            async with (
                asyncio.timeout(PAGE_SECONDS),
                self._session.get(self._url, params=parameters) as response,
            ):
                if response.status != 200:
                    text = (
                        f"the list of replicas answered with status {response.status}"
                    )
                    raise error.ControlError(text)
                return await response.read_body(MAX_PAGE_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            text = f"cannot read the list of replicas: {type(failure).__name__}"
            raise error.ControlError(text) from None

    async def _read_page(self, body: bytes) -> Page:
        """Return a page; raise `ControlError` if more than its entries is malformed."""
        for entry in self._unreadable:
            body = body.replace(entry, b"null")
        try:
            try:
                document = jsontext.parse(body)
            except jsontext.JsonError:
                # A long page takes longer than the loop may stand still.
                document = await asyncio.to_thread(self._read_elements, body)
        except jsontext.JsonError as failure:
            text = f"cannot read the list of replicas: {failure}"
            raise error.ControlError(text) from None
        if not isinstance(document, dict):
            raise error.ControlError("the list of replicas is not a JSON object")
        entries, following = document.get("instances"), document.get("next")
        if not isinstance(entries, list) or not isinstance(following, str | None):
            raise error.ControlError("a page of the list of replicas is malformed")
        return Page(entries, following)

    def _read_elements(self, body: bytes) -> dict[str, Any]:
        """Return a page without those of its entries that can't be read."""
        document, elements = jsonarray.split_member(body, "instances")
        if not isinstance(document, dict) or "next" not in document:
            raise jsontext.JsonError("the page is damaged beyond its entries")
        return document | {"instances": list(self._parse_elements(elements))}

    def _parse_elements(self, elements: Iterable[bytes]) -> Iterator[Any]:
        for element in elements:
            try:
                yield jsontext.parse(element)
            except jsontext.JsonError as failure:
                self._log_malformed(
                    element[:MAX_TEXT_LENGTH].decode("latin-1"), failure
                )
                if len(element) >= MIN_REMEMBERED_BYTES:
                    self._unreadable.append(element)

    def _read_entry(self, entry: Any) -> Instance | None:
        try:
            return read_entry(entry)
        except (KeyError, TypeError, ValueError) as failure:
            self._log_malformed(str(entry)[:MAX_TEXT_LENGTH], failure)
            return None

    def _log_malformed(self, text: str, cause: Exception) -> None:
        is_new = text not in self._logged_entries
        if is_new and len(self._logged_entries) < MAX_LOGGED_ENTRIES:
            self._logged_entries.add(text)
            logger.warning(
                "malformed entry in the list of replicas",
                extra={"cause": repr(cause)[:MAX_TEXT_LENGTH]},
            )


def read_entry(entry: dict[str, Any]) -> Instance:
    """Return the instance that an entry describes.

    Raises `KeyError`, `TypeError` or `ValueError` if the entry is malformed.
    """
    state = entry["state"]
    if state not in _STATES:
        raise ValueError(f"state is {state!r}")
    texts = [entry[name] for name in ("id", "service", "addr", "zone", "version")]
    if not all(_is_name(text) for text in texts):
        raise TypeError("id, service, addr, zone or version is no short text")
    name, service, address, zone, version = texts
    if not _ID.fullmatch(name):
        raise ValueError(f"id is {name!r}")
    port = number.parse_count(address.rpartition(":")[2])
    if not _ADDRESS.fullmatch(address) or not 0 < port < 65536:
        raise ValueError(f"addr is {address!r}")
    slots = entry["slots"]
    born = entry.get("born", 0)
    if not _is_count(slots) or not 1 <= slots <= MAX_SLOTS or not _is_count(born):
        raise TypeError("slots or born is not a whole number in its range")
    is_leaving = state == "draining"
    return Instance(name, service, address, zone, slots, is_leaving, born, version)


def read_cold_seconds(entry: dict[str, Any]) -> float | None:
    """Return for how many seconds an entry's replica stays cold, None if unknown.

    >>> read_cold_seconds({"cold_left_ms": 1500}), read_cold_seconds({})
    (1.5, None)
    """
    value = entry.get("cold_left_ms")
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    if not 0 <= value <= MAX_COLD_SECONDS * MILLISECONDS_PER_SECOND:
        return None
    return value / MILLISECONDS_PER_SECOND


def _is_name(value: Any) -> bool:
    """Return whether a value is a text that each process can send and log."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TEXT_LENGTH
        and value.isprintable()
    )


def _is_count(value: Any) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value < COUNT_LIMIT
