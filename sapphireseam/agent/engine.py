"""Run requests at the upstream beside this agent.

The agent alone can tell whether a request reached the upstream: a connection
that was never made means that it did not. Whatever breaks later leaves the
outcome unknown. Each request has a connection of its own: a kept one may be
found dead, and then one can't tell whether the request was taken, and the
library sends some requests again by itself.
"""

import logging
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import yarl

from sapphireseam.core import error, exchange
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically, wait_for

logger = logging.getLogger(__name__)

HEALTH_PATH = "/health"
ORDER_PATH = "/orders"
HEALTH_SECONDS = 0.5
HEALTH_TIMEOUT_SECONDS = 2.0
CONNECT_SECONDS = 2.0

# Headers that concern the connection between agent and upstream only.
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "trailer"}
)
# What the connection to an upstream that died raises. A malformed answer
# raises other errors, and the upstream lives.
_BROKEN = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    ConnectionError,
)


class UpstreamError(Exception):
    """Report that an exchange with the upstream failed.

    `not_run` says that the request provably never reached it, `broken` that
    the connection broke under the request.
    """

    def __init__(self, text: str, not_run: bool, broken: bool = False):
        super().__init__(text)
        self.not_run = not_run
        self.broken = broken


class UpstreamClient:
    """Speak HTTP to one upstream."""

    def __init__(self, name: str, timer: TimerService):
        self.name = name
        self.healthy = False
        self._timer = timer
        self._base = ""
        self._session: aiohttp.ClientSession | None = None
        self._tasks = TaskGroup()

    def set_address(self, address: str) -> None:
        """Follow the configuration to the upstream's address."""
        base = f"http://{address}" if address else ""
        if base != self._base:
            self._base = base
            self.healthy = False

    async def start(self) -> None:
        """Begin to look after the upstream's health."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._tasks.spawn(run_periodically(self._timer, HEALTH_SECONDS, self._check))

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    async def _check(self) -> None:
        if self._base:
            self.healthy = await self.probe()

    async def probe(self) -> bool:
        """Tell whether the upstream answers a health check."""
        try:
            return await wait_for(
                self._timer, self._get_health(), HEALTH_TIMEOUT_SECONDS
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _get_health(self) -> bool:
        async with self._session.get(self._base + HEALTH_PATH) as response:
            return response.status < 500

    async def send_order(self, action: str, argument: str, fence: int) -> str:
        """Give the upstream an order; return why it failed, or nothing.

        An order whose answer is lost counts as failed, though it may have been
        carried out; it is safe to give again.
        """
        document = {"kind": action, "target": argument, "fence": fence}
        try:
            url = self._locate(ORDER_PATH)
            async with self._session.post(url, json=document) as response:
                if response.status < 300:
                    return ""
                return f"the upstream answered {response.status}"
        except (UpstreamError, aiohttp.ClientError, OSError, TimeoutError) as failure:
            return f"the upstream didn't answer: {type(failure).__name__}"

    def _locate(self, target: str) -> yarl.URL:
        """Return the address of a target, its bytes as the caller sent them."""
        if not self._base:
            raise UpstreamError(f"upstream {self.name} has no address", True)
        try:
            return yarl.URL(self._base + target, encoded=True)
        except ValueError:
            raise UpstreamError("the path can't be sent on", True) from None

    async def run(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        attempt: int = 0,
    ) -> AsyncIterator[Any]:
        """Yield an answer as `Head` and `Data` messages; sent once at most.

        Raises `UpstreamError`; closing the iterator cancels the request
        upstream.
        """
        url = self._locate(target)
        started = False
        try:
            async with self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            ) as response:
                started = True
                yield exchange.Head(attempt, response.status, _keep(response.headers))
                async for data in response.content.iter_any():
                    yield exchange.Data(attempt, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            self.healthy = False
            text = f"upstream {self.name} can't be reached: {type(e).__name__}"
            raise UpstreamError(text, not started) from None
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as e:
            broken = isinstance(e, _BROKEN)
            self.healthy = self.healthy and not broken
            text = f"upstream {self.name} broke off: {type(e).__name__}"
            raise UpstreamError(text, False, broken) from None


def _keep(headers: Any) -> tuple[tuple[str, str], ...]:
    return tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in _HOP_HEADERS
    )


def make_fail(failure: UpstreamError, attempt: int, died: bool) -> exchange.Fail:
    """Return what an entry is told about a failed exchange."""
    kind = error.Kind.NO_UPSTREAM if failure.not_run else error.Kind.OUTCOME_UNKNOWN
    return exchange.Fail(
        attempt,
        str(kind),
        str(failure),
        failure.not_run,
        error.ANSWERS[kind].retry_after,
        died,
    )
