"""Run requests at the upstream beside this agent, and know when it dies.

The agent alone can tell whether a request reached the upstream: a refused
connection means that it did not. Whatever breaks later leaves the outcome
unknown, and a broken connection under a running request counts as a death of
the upstream.
"""

import logging
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from sapphireseam.core import error, message
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.timer import TimerService, run_periodically, wait_for

logger = logging.getLogger(__name__)

HEALTH_PATH = "/health"
HEALTH_SECONDS = 0.5
HEALTH_TIMEOUT_SECONDS = 2.0
CONNECT_SECONDS = 2.0

# Headers that concern the connection between agent and upstream only.
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "trailer"}
)


class UpstreamError(Exception):
    """Report that an exchange with the upstream broke."""

    def __init__(self, text: str, not_run: bool):
        super().__init__(text)
        self.not_run = not_run


class Upstream:
    """Speak HTTP to one upstream."""

    def __init__(self, name: str, timer: TimerService):
        self.name = name
        self.healthy = False
        self._timer = timer
        self._base = ""
        self._shared: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None
        self._tasks = TaskGroup()

    def set_address(self, address: str) -> None:
        """Follow the configuration to the upstream's address."""
        base = f"http://{address}" if address else ""
        if base != self._base:
            self._base = base
            self.healthy = False

    async def start(self) -> None:
        """Begin to look after the upstream's health."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        self._shared = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # A kept connection may be found dead, and then the library sends some
        # requests again by itself. A fresh one for each rules that out.
        self._single = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._tasks.spawn(run_periodically(self._timer, HEALTH_SECONDS, self._check))

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        for session in (self._shared, self._single):
            if session is not None:
                await session.close()

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
        async with self._shared.get(self._base + HEALTH_PATH) as response:
            return response.status < 500

    async def run(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        once: bool,
        attempt: int = 0,
    ) -> AsyncIterator[Any]:
        """Yield an answer as `Head` and `Data` messages.

        With `once` the request is sent once whatever happens. Raises
        `UpstreamError`; closing the iterator cancels the request upstream.
        """
        session = self._single if once else self._shared
        started = False
        try:
            async with session.request(
                method,
                self._base + target,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            ) as response:
                started = True
                yield message.Head(attempt, response.status, _keep(response.headers))
                async for data in response.content.iter_any():
                    yield message.Data(attempt, data)
        except aiohttp.ClientConnectorError as failure:
            self.healthy = False
            text = f"upstream {self.name} refused the connection: {failure.strerror}"
            raise UpstreamError(text, not started) from None
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            self.healthy = False
            text = f"upstream {self.name} broke off: {type(failure).__name__}"
            raise UpstreamError(text, False) from None


def _keep(headers: Any) -> tuple[tuple[str, str], ...]:
    return tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in _HOP_HEADERS
    )


def explain(failure: UpstreamError, attempt: int) -> message.Fail:
    """Return what an entry is told about a broken exchange."""
    kind = error.Kind.NO_UPSTREAM if failure.not_run else error.Kind.OUTCOME_UNKNOWN
    return message.Fail(
        attempt,
        str(kind),
        str(failure),
        failure.not_run,
        error.ANSWERS[kind].retry_after,
        died=not failure.not_run,
    )
