"""Serves the platform's operator on a control VM.

The operator publishes and reads configurations, evacuates zones and retires machines.
"""

import logging
from collections.abc import Callable, Collection

import msgspec
from aiohttp import http_exceptions, web

from sapphireseam.control.admin import AdminService
from sapphireseam.core import error
from sapphireseam.platform import answer, document
from sapphireseam.utils import door, grace, probe
from sapphireseam.utils.drain import Drain

logger = logging.getLogger(__name__)

PUT_PATH = "/config/put"
GET_PATH = "/config/get"
EVACUATE_PATH = "/evacuate/{zone}/start"
READMIT_PATH = "/evacuate/{zone}/end"
RETIRE_PATH = "/retire/{node}/start"
RETIRED_PATH = "/retire/{node}/get"
# Maximum size of a configuration.
MAX_BODY_BYTES = 16 * 1024 * 1024
INVALID_STATUS = 400
# An unknown name is shown up to this length.
MAX_SHOWN_CHARACTERS = 80
# Copies of a configuration while it is translated and published.
COPIES = 4
# States of a retirement.
RUNNING = "running"
COMPLETED = "completed"


class OperatorFront:
    """Serves requests about configurations, evacuations and the retirement of machines.

    `is_known` tells whether a zone is one of the deployment.
    """

    def __init__(
        self,
        admin: AdminService,
        address: str,
        its_grace: grace.Grace,
        contracts: Collection[str] = (),
        is_known: Callable[[str], bool] = lambda zone: True,
        guard: door.Guard | None = None,
    ):
        self._guard = guard or door.make_guard(its_grace.timer)
        self._admin = admin
        self._is_known = is_known
        self._grace = its_grace
        # Operators try another control VM at once.
        self._drain = Drain(its_grace, its_grace.timer, 0.0)
        self._address = address
        self._contracts = contracts
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start serving."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post(PUT_PATH, self._handle_errors(self._put))
        app.router.add_get(GET_PATH, self._handle_errors(self._get))
        app.router.add_post(EVACUATE_PATH, self._handle_errors(self._evacuate))
        app.router.add_post(READMIT_PATH, self._handle_errors(self._readmit))
        app.router.add_post(RETIRE_PATH, self._handle_errors(self._retire))
        app.router.add_get(RETIRED_PATH, self._handle_errors(self._read_retired))
        timeout = self._grace.close_step_seconds
        self._runner = door.AppRunner(
            self._guard, app, access_log=None, shutdown_timeout=timeout
        )
        await self._runner.setup()
        await probe.listen(self._runner, self._address)

    async def stop(self) -> None:
        """Refuse new requests, finish or end open ones, then close."""
        if self._runner is not None:
            await self._drain.run(self._runner)

    def _handle_errors(self, handler):
        async def answer_request(request: web.Request) -> web.Response:
            try:
                if self._drain.is_refusing:
                    raise grace.make_refusal()
                return await self._grace.wait_for(handler(request), grace.make_cut())
            except error.SeamError as failure:
                detail = {"path": request.path, "cause": failure.message}
                logger.info("operator request refused", extra=detail)
                response = _render_failure(failure)
                if request.content.exception() is not None:
                    response.force_close()
                return response

        return self._drain.wrap(answer_request)

    async def _put(self, request: web.Request) -> web.Response:
        source = await _read_body(request)
        door.add_charge(request, COPIES * len(source))
        translated = document.translate(source, self._contracts)
        version, content = translated
        in_force = await self._admin.publish(version, content, source)
        event = (
            "published" if in_force == version else "older configuration acknowledged"
        )
        logger.info(event, extra={"revision": version, "in_force": in_force})
        return answer.render_json(b"{}")

    async def _get(self, request: web.Request) -> web.Response:
        return answer.render_json(await self._admin.read())

    async def _evacuate(self, request: web.Request) -> web.Response:
        return await self._set_evacuation(request, True)

    async def _readmit(self, request: web.Request) -> web.Response:
        return await self._set_evacuation(request, False)

    async def _set_evacuation(
        self, request: web.Request, is_evacuated: bool
    ) -> web.Response:
        zone = request.match_info["zone"]
        # An unprintable name can't be sent in a message.
        if not zone.isprintable() or not self._is_known(zone):
            text = f"unknown zone {zone[:MAX_SHOWN_CHARACTERS]!r}"
            raise error.RequestError(text, error.Kind.OBJECT_UNKNOWN)

        def is_wanted() -> bool:
            return request.transport is not None and not request.transport.is_closing()

        await self._admin.set_evacuation(zone, is_evacuated, is_wanted)
        event = "evacuation acknowledged" if is_evacuated else "return acknowledged"
        logger.info(event, extra={"domain": zone})
        return answer.render_json(b"{}")

    async def _retire(self, request: web.Request) -> web.Response:
        await self._admin.retire(request.match_info["node"])
        return answer.render_json(b"{}")

    async def _read_retired(self, request: web.Request) -> web.Response:
        view = await self._admin.read_retired(request.match_info["node"])
        if not view.is_known:
            raise error.RequestError(
                "retirement was not requested", error.Kind.OBJECT_UNKNOWN
            )
        state = COMPLETED if view.is_empty else RUNNING
        return answer.render_json(msgspec.json.encode({"state": state}))


async def _read_body(request: web.Request) -> bytes:
    """Return a body; raise `ConfigurationError` if its encoding can't be undone."""
    try:
        return await request.read()
    except (web.RequestPayloadError, http_exceptions.BadHttpMessage) as failure:
        text = f"the body can't be read: {failure}"
        raise error.ConfigurationError(text) from None


def _render_failure(failure: error.SeamError) -> web.Response:
    """Return an error answer; status 400 says that a retry cannot succeed."""
    if failure.kind is error.Kind.BAD_CONFIGURATION:
        body = msgspec.json.encode(error.render_body(failure))
        return answer.render_json(body, INVALID_STATUS)
    return answer.render_failure(failure, "")
