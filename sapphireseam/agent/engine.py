"""Sends requests to the agent's upstream over HTTP.

Only the agent can tell whether a request reached the upstream. If no connection
was made, the request was not run. After any later failure the outcome is
unknown.

Each request has a connection of its own, because a reused connection may turn out
to be closed. It is then unknown whether the upstream received the request, and
the HTTP library sends some requests again by itself.
"""

import logging
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import yarl

from sapphireseam.core import codec, error, exchange
from sapphireseam.utils import crash, framing
from sapphireseam.utils.application import TaskGroup
from sapphireseam.utils.ceiling import CeilingMonitor
from sapphireseam.utils.timer import TimerService, run_periodically, wait_for

logger = logging.getLogger(__name__)

HEALTH_PATH = "/health"
# Names, in any answer, how many requests a second the upstream takes.
CEILING_HEADER = "X-Seam-Request-Limit"
ORDER_PATH = "/orders"
HEALTH_SECONDS = 0.5
HEALTH_TIMEOUT_SECONDS = 2.0
CONNECT_SECONDS = 2.0

# Headers that apply only to the connection between agent and upstream.
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "trailer"}
)
# Errors that a crash of the upstream raises on its connections. A malformed
# answer raises other errors and does not mean that the upstream crashed.
_BROKEN_CONNECTION_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    ConnectionError,
)


class UpstreamError(Exception):
    """Raised when an exchange with the upstream fails.

    `not_run` is true if the request certainly did not reach the upstream, `broken`
    if the connection broke during the request.
    """

    def __init__(self, reason: str, not_run: bool, broken: bool = False):
        super().__init__(reason)
        self.not_run = not_run
        self.broken = broken


class UpstreamClient:
    """Send requests, orders and health checks to one upstream."""

    def __init__(self, name: str, timer: TimerService):
        self.name = name
        self.healthy = False
        # Whether it has crashed and answered no health check since then.
        self.has_crashed = False
        # The version or service that the upstream has by the configuration.
        self.served = ""
        # Hears the ceilings that the upstream names, if it is set.
        self.ceiling_monitor: CeilingMonitor | None = None
        self._timer = timer
        self._base_url = ""
        self._session: aiohttp.ClientSession | None = None
        self._tasks = TaskGroup()

    def set_address(self, address: str) -> None:
        """Set the upstream's address; an empty one means that it has none."""
        base_url = f"http://{address}" if address else ""
        if base_url != self._base_url:
            self._base_url = base_url
            self.healthy = self.has_crashed = False

    async def start(self) -> None:
        """Start the periodic health check."""
        self._session = framing.create_session(
            {"limit": 0, "force_close": True},
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._tasks.spawn(
            run_periodically(self._timer, HEALTH_SECONDS, self._check_health)
        )

    async def stop(self) -> None:
        """Stop the health check and close all connections."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    async def _check_health(self) -> None:
        if self._base_url:
            # An answer to a check that began before a crash says nothing about it.
            had_crashed = self.has_crashed
            self.healthy = await self.probe()
            if had_crashed and self.healthy:
                self.has_crashed = False

    async def probe(self) -> bool:
        """Return whether the upstream answers a health check."""
        try:
            return await wait_for(
                self._timer, self._get_health(), HEALTH_TIMEOUT_SECONDS
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def has_ended(self, run: crash.Run) -> bool:
        """Return whether the upstream answers no health check any more."""
        address = self._base_url.removeprefix("http://")
        self.has_crashed = not address or await crash.is_down(address, HEALTH_PATH)
        return self.has_crashed

    async def _get_health(self) -> bool:
        async with self._session.get(self._base_url + HEALTH_PATH) as response:
            return response.status < 500

    async def send_order(self, action: str, argument: str, fence: int) -> str:
        """Send an order; return why it failed, or an empty string on success.

        An order whose answer is lost counts as failed, although the upstream may
        have carried it out. Sending an order again is safe.
        """
        document = {"kind": action, "target": argument, "fence": fence}
        try:
            url = self._make_url(ORDER_PATH)
            async with self._session.post(url, json=document) as response:
                if response.status < 300:
                    return ""
                return f"the upstream answered with status {response.status}"
        except (UpstreamError, aiohttp.ClientError, OSError, TimeoutError) as failure:
            return f"no answer from the upstream: {type(failure).__name__}"

    def _make_url(self, target: str) -> yarl.URL:
        """Return the URL of a target, encoded exactly as the caller sent it."""
        if not self._base_url:
            raise UpstreamError(f"upstream {self.name} has no address", True)
        try:
            return yarl.URL(self._base_url + target, encoded=True)
        except ValueError:
            raise UpstreamError("the request path is not valid", True) from None

    def find_ceiling(self) -> float:
        """Return the requests per second that the upstream takes, 0 for no limit."""
        if self.ceiling_monitor is None:
            return 0.0
        return self.ceiling_monitor.find_rate(self.name)

    def _record_ceiling(
        self, headers: Mapping[str, str], rate_at_sending: float
    ) -> None:
        if self.ceiling_monitor is not None:
            named = headers.get(CEILING_HEADER, "")
            self.ceiling_monitor.record_answer(
                self.name, self.name, named, rate_at_sending
            )

    async def run(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        attempt: int = 0,
    ) -> AsyncIterator[Any]:
        """Send a request at most once; yield its answer as `Head` and `Data`.

        Raise `UpstreamError` on failure. Closing the iterator cancels the request at
        the upstream.
        """
        url = self._make_url(target)
        rate = self.find_ceiling()
        started = False
        try:
            async with self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            ) as response:
                started = True
                self._record_ceiling(response.headers, rate)
                yield exchange.Head(
                    attempt, response.status, _remove_hop_headers(response.headers)
                )
                async for data in response.content.iter_any():
                    yield exchange.Data(attempt, data)
                response.check_complete()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as caught:
            self.healthy = False
            reason = f"cannot connect to upstream {self.name}: {type(caught).__name__}"
            raise UpstreamError(reason, not started) from None
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as caught:
            broken = isinstance(caught, _BROKEN_CONNECTION_ERRORS)
            self.healthy = self.healthy and not broken
            reason = f"request to upstream {self.name} failed: {type(caught).__name__}"
            raise UpstreamError(reason, False, broken) from None


def _remove_hop_headers(headers: Any) -> tuple[tuple[str, str], ...]:
    return tuple(
        (str(name), codec.replace_surrogates(value))
        for name, value in headers.items()
        if name.lower() not in _HOP_HEADERS
    )


def make_fail(failure: UpstreamError, attempt: int, has_crashed: bool) -> exchange.Fail:
    """Return the message that reports a failed exchange to the entry."""
    kind = error.Kind.NO_UPSTREAM if failure.not_run else error.Kind.OUTCOME_UNKNOWN
    return exchange.Fail(
        attempt,
        str(kind),
        str(failure),
        failure.not_run,
        error.ANSWERS[kind].retry_after,
        has_crashed,
    )
