"""Send requests to upstreams that are found by discovery, and read answers.

One connection carries one request at a time, and connections are kept. What an
answer says of a request, and under which names the request says what, is the
dialect's to know. Every failure tells whether the upstream may have run the
request: a retry of one that isn't idempotent depends on it.
"""

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, Protocol

import aiohttp
import yarl
from multidict import CIMultiDictProxy

from sapphireseam.core import instance as instances
from sapphireseam.utils import event

logger = logging.getLogger(__name__)

Headers = tuple[tuple[str, str], ...]

# How long a new connection may take, in seconds.
CONNECT_SECONDS = 0.5
# A connection whose bytes nobody acknowledges is given up, in milliseconds.
UNACKNOWLEDGED_MS = 1500
# How long an idle connection is kept, in seconds.
IDLE_SECONDS = 4.0
# The first status of a failure.
HTTP_FAILURE = 400


class Outgoing(NamedTuple):
    """Hold a request to an upstream.

    `headers` are those that go on as they are. `remaining` is the time that the
    upstream may take in seconds, 0 for no limit. An answer that is resumed goes
    on behind event `resume_after`; -1 begins at the beginning.
    """

    id: str
    customer: str
    host: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining: float = 0.0
    resume_after: int = -1


class Head(NamedTuple):
    """Hold the head of an answer.

    `is_not_run` is the upstream's word that it hasn't run the request, and
    `id` the request that it says it answers, empty if it doesn't say.
    """

    status: int
    headers: Headers
    id: str
    is_not_run: bool
    is_stream: bool


class Reply(NamedTuple):
    """Hold the whole answer to an order."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Say whether the order was carried out."""
        return self.status < HTTP_FAILURE


class Dialect(Protocol):
    """Know the names that upstreams use."""

    def render(
        self, request: Outgoing, instance: instances.Instance
    ) -> list[tuple[str, str]]:
        """Return the headers that bring a request to an instance."""

    def read_id(self, headers: CIMultiDictProxy[str]) -> str:
        """Return the id of the request that an answer belongs to, or nothing."""

    def is_not_run(self, status: int, headers: CIMultiDictProxy[str]) -> bool:
        """Say whether an answer promises that the request hasn't run."""


class OutboundError(Exception):
    """Report that an exchange failed; `is_not_run` if it provably didn't run."""

    def __init__(self, text: str, is_not_run: bool):
        super().__init__(text)
        self.is_not_run = is_not_run


class RefusalError(OutboundError):
    """Report that an upstream answered, but not with what was asked for."""


class AnswerTimeoutError(OutboundError):
    """Report that an upstream takes a request and says nothing."""


class Answer:
    """Read one answer's body."""

    def __init__(self, head: Head, response: aiohttp.ClientResponse):
        self.head = head
        self._response = response

    async def read_some(self, patience: float | None = None) -> bytes:
        """Return the next bytes, or none at the proper end.

        Raises `OutboundError` if the body breaks off, and `SilenceError` if
        nothing comes for `patience` seconds.
        """
        try:
            async with asyncio.timeout(patience):
                return await self._response.content.readany()
        except TimeoutError:
            raise AnswerTimeoutError(
                f"nothing came for {patience:.1f} s", False
            ) from None
        except (aiohttp.ClientError, OSError) as failure:
            text = f"the answer broke off: {type(failure).__name__}"
            raise OutboundError(text, False) from None

    async def read_all(self, limit: int, patience: float | None = None) -> bytes:
        """Return the whole body, or raise if it breaks off or is too large."""
        body = bytearray()
        while data := await self.read_some(patience):
            body += data
            if len(body) > limit:
                raise OutboundError(f"the answer has more than {limit} bytes", False)
        return bytes(body)


class ConnectionPool:
    """Keep connections to all upstreams of one process."""

    def __init__(self, dialect: Dialect):
        self._dialect = dialect
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        # Requests under way by address.
        self._open_requests: Counter[str] = Counter()
        self._wanted: frozenset[str] | None = None
        self.opened = 0

    async def start(self) -> None:
        """Do nothing; connections open when they are first used."""

    async def stop(self) -> None:
        """Close every connection."""
        for session in self._sessions.values():
            await session.close()
        self._sessions.clear()

    async def keep_only(self, addresses: frozenset[str]) -> None:
        """Close the connections to all other addresses, once nothing runs there.

        An upstream that is gone from a list may still finish what it has.
        """
        self._wanted = addresses
        for address in list(self._sessions):
            await self._close_unwanted(address)

    async def _close_unwanted(self, address: str) -> None:
        is_wanted = self._wanted is None or address in self._wanted
        if is_wanted or self._open_requests[address]:
            return
        del self._open_requests[address]
        session = self._sessions.pop(address, None)
        if session is not None:
            await session.close()

    def _reach(self, address: str) -> aiohttp.ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=IDLE_SECONDS,
                socket_factory=self._open_socket,
            )
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
            session = aiohttp.ClientSession(
                connector=connector,
                timeout=timeout,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
            self._sessions[address] = session
        return session

    def _open_socket(self, place: tuple) -> socket.socket:
        self.opened += 1
        family, kind, protocol, _, _ = place
        opened = socket.socket(family, kind, protocol)
        opened.setblocking(False)
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        return opened

    @asynccontextmanager
    async def send(
        self,
        request: Outgoing,
        instance: instances.Instance,
        patience: float | None = None,
    ) -> AsyncIterator[Answer]:
        """Send a request; the answer's connection is closed if it isn't whole.

        Raises `OutboundError` where no answer to this request comes, and
        `SilenceError` where none has begun after `patience` seconds.
        """
        self._open_requests[instance.address] += 1
        try:
            async with self._exchange(request, instance, patience) as answer:
                yield answer
        finally:
            self._open_requests[instance.address] -= 1
            await self._close_unwanted(instance.address)

    @asynccontextmanager
    async def _exchange(
        self,
        request: Outgoing,
        instance: instances.Instance,
        patience: float | None,
    ) -> AsyncIterator[Answer]:
        try:
            async with asyncio.timeout(patience):
                response = await self._open(request, instance)
        except TimeoutError:
            raise AnswerTimeoutError(f"no answer for {patience:.1f} s", False) from None
        try:
            yield Answer(self._read_head(request, response), response)
        finally:
            # An answer that was read to its end has given its connection back.
            response.close()

    async def _open(
        self, request: Outgoing, instance: instances.Instance
    ) -> aiohttp.ClientResponse:
        url = yarl.URL(f"http://{instance.address}{request.target}", encoded=True)
        headers = self._dialect.render(request, instance)
        try:
            return await self._reach(instance.address).request(
                request.method,
                url,
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            text = f"can't connect: {type(e).__name__}"
            raise OutboundError(text, True) from None
        except (aiohttp.ClientError, OSError) as failure:
            text = f"no answer: {type(failure).__name__}"
            raise OutboundError(text, False) from None

    def _read_head(self, request: Outgoing, response: aiohttp.ClientResponse) -> Head:
        headers = response.headers
        id = self._dialect.read_id(headers)
        is_not_run = self._dialect.is_not_run(response.status, headers)
        if not is_not_run and id != request.id:
            # An answer to an earlier request came late on this connection.
            raise OutboundError("the answer belongs to another request", False)
        is_stream = headers.get("Content-Type", "").startswith(event.CONTENT_TYPE)
        return Head(response.status, tuple(headers.items()), id, is_not_run, is_stream)

    async def order(
        self, address: str, method: str, path: str, body: bytes, seconds: float
    ) -> Reply | None:
        """Return the answer to an order to an upstream, or None if none came."""
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        session = self._reach(address)
        try:
            async with asyncio.timeout(seconds):
                async with session.request(method, url, data=body or None) as response:
                    return Reply(response.status, await response.read())
        except (aiohttp.ClientError, OSError) as failure:
            detail = {
                "address": address,
                "path": path,
                "cause": type(failure).__name__,
            }
            logger.info("no answer to an order", extra=detail)
            return None
