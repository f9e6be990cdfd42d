"""Take the platform's operator at a control VM."""

import logging

import msgspec
from aiohttp import web

from sapphireseam.control.admin import AdminService
from sapphireseam.core import error
from sapphireseam.platform import answer, document
from sapphireseam.utils import probe

logger = logging.getLogger(__name__)

PUT_PATH = "/config/put"
GET_PATH = "/config/get"
RETIRE_PATH = "/retire/{node}/start"
RETIRED_PATH = "/retire/{node}/get"
# The largest configuration, in bytes.
BODY_BYTES = 16 * 1024 * 1024
INVALID = 400
RUNNING = "running"
COMPLETED = "completed"


class OperatorFront:
    """Answer configurations, reads of them, and orders to empty a machine."""

    def __init__(self, desk: AdminService, address: str):
        self._desk = desk
        self._address = address
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begin to answer."""
        app = web.Application(client_max_size=BODY_BYTES)
        app.router.add_post(PUT_PATH, self._guard(self._put))
        app.router.add_get(GET_PATH, self._guard(self._get))
        app.router.add_post(RETIRE_PATH, self._guard(self._retire))
        app.router.add_get(RETIRED_PATH, self._guard(self._read_retired))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await self._runner.setup()
        await probe.listen(self._runner, self._address)

    async def stop(self) -> None:
        """Stop answering."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _guard(self, handler):
        async def answer_call(request: web.Request) -> web.Response:
            try:
                return await handler(request)
            except error.SeamError as failure:
                detail = {"path": request.path, "cause": failure.message}
                logger.info("order refused", extra=detail)
                return _render_failure(failure)

        return answer_call

    async def _put(self, request: web.Request) -> web.Response:
        source = await request.read()
        translated = document.translate(source)
        number, text = translated
        in_force = await self._desk.publish(number, text, source)
        kind = "published" if in_force == number else "older configuration acknowledged"
        logger.info(kind, extra={"revision": number, "in_force": in_force})
        return answer.render_json(b"{}")

    async def _get(self, request: web.Request) -> web.Response:
        return answer.render_json(await self._desk.read())

    async def _retire(self, request: web.Request) -> web.Response:
        await self._desk.retire(request.match_info["node"])
        return answer.render_json(b"{}")

    async def _read_retired(self, request: web.Request) -> web.Response:
        view = await self._desk.read_retired(request.match_info["node"])
        if not view.is_known:
            raise error.RequestError("not asked for", error.Kind.OBJECT_UNKNOWN)
        state = COMPLETED if view.is_empty else RUNNING
        return answer.render_json(msgspec.json.encode({"state": state}))


def _render_failure(failure: error.SeamError) -> web.Response:
    """Return a failure; what can't be put in force is refused for good."""
    if failure.kind is error.Kind.BAD_CONFIGURATION:
        body = msgspec.json.encode(error.render_body(failure))
        return answer.render_json(body, INVALID)
    return answer.render_failure(failure, "")
