"""Reads the platform's list of running replicas, page by page."""

import asyncio
import json
import logging
from typing import Any

import aiohttp

from sapphireseam.core import error
from sapphireseam.core.instance import Instance
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
_STATES = ("ready", "draining")


class Listing:
    """Client of the platform's list of replicas."""

    def __init__(self, address: str):
        self._url = f"http://{address}/instances"
        self._session: aiohttp.ClientSession | None = None
        self._logged_entries: set[str] = set()

    async def list(self) -> tuple[Instance, ...]:
        """Return the listed replicas; malformed entries are skipped."""
        found: dict[str, Instance] = {}
        page = ""
        size = 0
        for _ in range(MAX_PAGES):
            body = await self._read_page(page)
            size += len(body)
            if size > MAX_LIST_BYTES:
                break
            answer = _decode_page(body)
            for entry in answer.get("instances") or ():
                instance = self._read_entry(entry)
                if instance is not None:
                    found[instance.id] = instance
            page = answer.get("next")
            if not page:
                return tuple(sorted(found.values()))
        raise error.ControlError("the list of replicas does not end")

    async def start(self) -> None:
        """Do nothing; the first request opens the connection."""

    async def stop(self) -> None:
        """Close the connection to the list."""
        if self._session is not None:
            await self._session.close()

    async def _read_page(self, page: str) -> bytes:
        if self._session is None:
            self._session = framing.create_session(may_resend=True)
        parameters = {"page_token": page} if page else {}
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

    def _read_entry(self, entry: Any) -> Instance | None:
        try:
            return read_entry(entry)
        except (KeyError, TypeError, ValueError) as failure:
            text = str(entry)[:200]
            is_new = text not in self._logged_entries
            if is_new and len(self._logged_entries) < MAX_LOGGED_ENTRIES:
                self._logged_entries.add(text)
                logger.warning(
                    "malformed entry in the list of replicas",
                    extra={"cause": repr(failure)},
                )
            return None


def _decode_page(body: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as failure:
        text = f"cannot read the list of replicas: {type(failure).__name__}"
        raise error.ControlError(text) from None
    if not isinstance(answer, dict):
        raise error.ControlError("the list of replicas is not a JSON object")
    return answer


def read_entry(entry: dict[str, Any]) -> Instance:
    """Return the instance that an entry describes.

    Raises `KeyError`, `TypeError` or `ValueError` if the entry is malformed.
    """
    state = entry["state"]
    if state not in _STATES:
        raise ValueError(f"state is {state!r}")
    texts = [entry[name] for name in ("id", "service", "addr", "zone", "version")]
    if not all(isinstance(text, str) and text for text in texts):
        raise TypeError("id, service, addr, zone or version is empty or no string")
    host, _, port = entry["addr"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"addr is {entry['addr']!r}")
    slots = entry["slots"]
    born = entry.get("born", 0)
    if not _is_count(slots) or slots < 1 or not _is_count(born):
        raise TypeError("slots or born is not a whole number in its range")
    name, service, address, zone, version = texts
    is_leaving = state == "draining"
    return Instance(name, service, address, zone, slots, is_leaving, born, version)


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
