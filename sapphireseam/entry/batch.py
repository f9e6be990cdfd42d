"""Serves `/v1/files` and `/v1/batches` in the format of the OpenAI API.

Every line of a batch input file is checked before anything is stored. A file
with an invalid line is refused, and the error names the line. A job is accepted
once it is committed. A resend with the same `Idempotency-Key` gets the job that
the first request created.
"""

import asyncio
import hashlib
import json
import re
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import BodyPartReader, web
from aiohttp.http_exceptions import HttpProcessingError

from sapphireseam.core import command, error, fleet, key, message
from sapphireseam.core.number import parse_count
from sapphireseam.entry import routedrequest
from sapphireseam.entry.access import Caller
from sapphireseam.utils import upload
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.mirror import Mirror
from sapphireseam.utils.timer import TimerService

MAX_FILE_BYTES = 200 * 1024 * 1024
MAX_LINES = 130_000
MAX_FINDINGS = 20
HOUR_SECONDS = 3600.0
DEFAULT_WINDOW = "24h"
PURPOSE = "batch"
OUTPUT_PREFIX = "file-out-"
ERRORS_PREFIX = "file-err-"
_PATH = re.compile(r"/[!-~]*")
# What the library raises on a multipart form that it can't read.
_FORM_ERRORS = (HttpProcessingError, ValueError, LookupError, RuntimeError)

Handler = Callable[[web.Request, Caller], Awaitable[web.StreamResponse]]


class FileSummary(NamedTuple):
    """The line count, path and model of a valid batch input file."""

    count: int
    url: str
    model: str


def check_lines(data: bytes, current: fleet.Fleet, customer: str) -> FileSummary:
    """Return the summary of a batch input file.

    Raises `RequestError` with the first `MAX_FINDINGS` findings if it is invalid.
    """
    findings: list[str] = []
    seen: set[str] = set()
    targets: set[tuple[str, str]] = set()
    count = 0
    for number, line in enumerate(data.split(b"\n"), 1):
        if not line.strip():
            continue
        count += 1
        try:
            targets.add(_check_line(line, seen, current, customer))
        except error.SeamError as failure:
            findings.append(f"line {number}: {failure.message}")
    if not count:
        findings.append("the file has no lines")
    if count > MAX_LINES:
        findings.append(f"the file has {count} lines, at most {MAX_LINES} are allowed")
    if len(targets) > 1:
        findings.append("all lines must have the same url and model")
    if findings:
        raise error.RequestError("; ".join(findings[:MAX_FINDINGS]))
    url, model = next(iter(targets))
    return FileSummary(count, url, model)


def _check_line(
    line: bytes, seen: set[str], current: fleet.Fleet, customer: str
) -> tuple[str, str]:
    """Return a line's url and model, or raise if the line is invalid."""
    document = routedrequest.parse_body(line)
    text = json.dumps(document, ensure_ascii=False)
    if key.is_in(text):
        raise error.RequestError(
            "the line holds a key, which must not be sent upstream"
        )
    custom_id = document.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        raise error.RequestError("'custom_id' must be a non-empty string")
    if custom_id in seen:
        raise error.RequestError(f"custom_id {custom_id[:80]!r} is used twice")
    seen.add(custom_id)
    if document.get("method") != "POST":
        raise error.RequestError("'method' must be 'POST'")
    url = document.get("url")
    if not isinstance(url, str) or not _PATH.fullmatch(url):
        raise error.RequestError("'url' must be a path")
    _, route = routedrequest.find_route(current, url)
    body = document.get("body")
    if not isinstance(body, dict):
        raise error.RequestError("'body' must be an object")
    if route.service:
        return url, ""
    if body.get("stream"):
        raise error.RequestError("batch items can't be streamed")
    return url, routedrequest.check_model(current, body.get("model"), customer)


class BatchApi:
    """Answer requests about files and batches."""

    def __init__(self, client: ControlClient, mirror: Mirror, timer: TimerService):
        self._client = client
        self._mirror = mirror
        self._timer = timer

    def list_handlers(self) -> list[tuple[str, str, Handler]]:
        """Return method, path and handler of each resource."""
        return [
            ("POST", "/v1/files", self._create_file),
            ("GET", "/v1/files", self._list_files),
            ("GET", "/v1/files/{file}", self._get_file),
            ("DELETE", "/v1/files/{file}", self._delete_file),
            ("GET", "/v1/files/{file}/content", self._get_content),
            ("POST", "/v1/batches", self._create_batch),
            ("GET", "/v1/batches", self._list_batches),
            ("GET", "/v1/batches/{batch}", self._get_batch),
            ("POST", "/v1/batches/{batch}/cancel", self._cancel_batch),
        ]

    async def _create_file(self, request: web.Request, caller: Caller) -> web.Response:
        try:
            name, purpose, data = await self._read_form(request)
        except _FORM_ERRORS as failure:
            text = f"the form can't be read: {type(failure).__name__}"
            raise error.RequestError(text) from None
        summary = FileSummary(0, "", "")
        if purpose == PURPOSE:
            summary = await asyncio.to_thread(
                check_lines, data, self._mirror.fleet, caller.customer
            )
        blob = await upload.write(self._client, data)
        file = f"file-{secrets.token_hex(12)}"
        now = self._timer.read_wall_clock()
        await self._client.propose(
            command.CreateFile(
                file,
                file,
                caller.customer,
                name,
                purpose,
                blob,
                len(data),
                summary.count,
                summary.url,
                summary.model,
                now,
            )
        )
        return web.json_response(_render_file(file, name, purpose, len(data), now))

    async def _read_form(self, request: web.Request) -> tuple[str, str, bytes]:
        """Return file name, purpose and bytes of a multipart upload."""
        if not request.content_type.startswith("multipart/"):
            raise error.RequestError("send the file as multipart/form-data")
        name, purpose, data = "", "", None
        reader = await request.multipart()
        while (part := await reader.next()) is not None:
            if not isinstance(part, BodyPartReader):
                raise error.RequestError("nested multipart bodies are not supported")
            if part.name == "purpose":
                purpose = (await part.text()).strip()
            elif part.name == "file":
                name = part.filename or "file"
                # A name that isn't UTF-8 can't be sent to the control VMs.
                name.encode()
                data = await self._read_part(part)
        if data is None or not purpose:
            raise error.RequestError("the form needs the fields 'file' and 'purpose'")
        return name, purpose, data

    async def _read_part(self, part: BodyPartReader) -> bytes:
        data = bytearray()
        while chunk := await part.read_chunk(256 * 1024):
            data += chunk
            if len(data) > MAX_FILE_BYTES:
                text = f"a file may have at most {MAX_FILE_BYTES} bytes"
                raise error.RequestError(text, error.Kind.BODY_TOO_LARGE)
        return bytes(data)

    async def _find_file(self, request: web.Request, caller: Caller) -> Any:
        file = request.match_info["file"]
        reply = await self._client.call(message.ListFiles(caller.customer, file))
        if not reply.files:
            raise error.RequestError(f"no file {file!r}", error.Kind.OBJECT_UNKNOWN)
        return reply.files[0]

    async def _list_files(self, request: web.Request, caller: Caller) -> web.Response:
        reply = await self._client.call(message.ListFiles(caller.customer))
        files = [_render_file_view(item) for item in reply.files]
        return web.json_response({"object": "list", "data": files, "has_more": False})

    async def _get_file(self, request: web.Request, caller: Caller) -> web.Response:
        file = request.match_info["file"]
        job = parse_job_id(file)
        if job:
            view = await self._find_job(job, caller)
            return web.json_response(
                _render_file(file, f"{job}.jsonl", "batch_output", 0, view.created)
            )
        return web.json_response(
            _render_file_view(await self._find_file(request, caller))
        )

    async def _delete_file(self, request: web.Request, caller: Caller) -> web.Response:
        file = request.match_info["file"]
        await self._client.propose(command.RemoveFile(caller.customer, file))
        return web.json_response({"id": file, "object": "file", "deleted": True})

    async def _get_content(
        self, request: web.Request, caller: Caller
    ) -> web.StreamResponse:
        file = request.match_info["file"]
        job = parse_job_id(file)
        if not job:
            found = await self._find_file(request, caller)
            body = await upload.read(self._client, found.blob)
            return web.Response(body=body, content_type="application/octet-stream")
        await self._find_job(job, caller)
        return await self._send_output(request, caller, file, job)

    async def _send_output(
        self, request: web.Request, caller: Caller, file: str, job: str
    ) -> web.StreamResponse:
        """Stream a job's output lines, chunk by chunk."""
        failed = file.startswith(ERRORS_PREFIX)
        chunk = 0
        piece = await self._client.call(
            message.ReadOutput(caller.customer, job, failed, chunk)
        )
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        await response.prepare(request)
        while True:
            await response.write(piece.data)
            if piece.last:
                break
            chunk += 1
            piece = await self._client.call(
                message.ReadOutput(caller.customer, job, failed, chunk)
            )
        await response.write_eof()
        return response

    async def _create_batch(self, request: web.Request, caller: Caller) -> web.Response:
        document = routedrequest.parse_body(
            await routedrequest.read_body(request, fleet.MEBIBYTE)
        )
        file = document.get("input_file_id")
        endpoint = document.get("endpoint")
        if not isinstance(file, str) or not isinstance(endpoint, str):
            raise error.RequestError("'input_file_id' and 'endpoint' must be strings")
        now = self._timer.read_wall_clock()
        due = now + parse_window(document.get("completion_window", DEFAULT_WINDOW))
        request_id, job = make_job_ids(
            caller.customer, request.headers.get("Idempotency-Key", ""), document
        )
        answer = await self._client.propose(
            command.SubmitJob(
                request_id,
                job,
                caller.customer,
                caller.key,
                file,
                endpoint,
                due,
                now,
                check_metadata(document.get("metadata")),
            )
        )
        return await self._answer_job(answer.subject, caller)

    async def _answer_job(self, job: str, caller: Caller) -> web.Response:
        """Return a job after its change was committed.

        If the read fails, the error doesn't say "not run", since the change is made.
        """
        try:
            found = await self._find_job(job, caller)
        except error.SeamError as failure:
            failure.not_run = False
            raise
        return web.json_response(render_job(found))

    async def _find_job(self, job: str, caller: Caller) -> message.JobView:
        reply = await self._client.call(message.ListJobs(caller.customer, job))
        if not reply.jobs:
            raise error.RequestError(f"no batch {job!r}", error.Kind.OBJECT_UNKNOWN)
        return reply.jobs[0]

    async def _list_batches(self, request: web.Request, caller: Caller) -> web.Response:
        reply = await self._client.call(message.ListJobs(caller.customer))
        jobs = [render_job(item) for item in reply.jobs]
        return web.json_response({"object": "list", "data": jobs, "has_more": False})

    async def _get_batch(self, request: web.Request, caller: Caller) -> web.Response:
        job = await self._find_job(request.match_info["batch"], caller)
        return web.json_response(render_job(job))

    async def _cancel_batch(self, request: web.Request, caller: Caller) -> web.Response:
        job = request.match_info["batch"]
        now = self._timer.read_wall_clock()
        await self._client.propose(command.CancelJob(caller.customer, job, now))
        return await self._answer_job(job, caller)


def make_job_ids(
    customer: str, idempotency_key: str, document: dict[str, Any]
) -> tuple[str, str]:
    """Return a request id and a job id; a resend with the same key gets both again.

    The request id covers the body too. A key that is used for two different
    jobs is thus a conflict and does not silently return the first job.
    """
    if not idempotency_key:
        job = f"batch_{secrets.token_hex(12)}"
        return job, job
    name = hashlib.sha256(f"{customer}\n{idempotency_key}".encode()).hexdigest()[:24]
    body = json.dumps(document, sort_keys=True).encode()
    return f"batch_{name}-{hashlib.sha256(body).hexdigest()[:16]}", f"batch_{name}"


def parse_window(text: Any) -> float:
    """Return the seconds of a completion window such as `24h` or `30m`."""
    units = {"h": HOUR_SECONDS, "m": 60.0, "s": 1.0}
    if isinstance(text, str) and text[-1:] in units:
        count = parse_count(text[:-1])
        if count is not None:
            return count * units[text[-1]]
    raise error.RequestError("'completion_window' must look like '24h' or '30m'")


def check_metadata(value: Any) -> dict[str, str]:
    """Return a job's metadata, or raise if it is invalid."""
    if value is None:
        return {}
    if not isinstance(value, dict) or len(value) > 16:
        raise error.RequestError("'metadata' must be an object of up to 16 strings")
    for name, text in value.items():
        if not isinstance(text, str) or len(name) > 64 or len(text) > 512:
            raise error.RequestError(
                "'metadata' values must be strings of up to 512 characters, "
                "and names may have up to 64"
            )
    return value


def parse_job_id(file: str) -> str:
    """Return the job id in an output file's id, or an empty string for other files."""
    for prefix in (OUTPUT_PREFIX, ERRORS_PREFIX):
        if file.startswith(prefix):
            return file[len(prefix) :]
    return ""


def _render_file(
    file: str, name: str, purpose: str, size: int, created: float
) -> dict[str, Any]:
    return {
        "id": file,
        "object": "file",
        "bytes": size,
        "created_at": int(created),
        "filename": name,
        "purpose": purpose,
        "status": "processed",
    }


def _render_file_view(item: message.FileView) -> dict[str, Any]:
    return _render_file(item.id, item.name, item.purpose, item.size, item.created)


def render_job(job: message.JobView) -> dict[str, Any]:
    """Return a job as an OpenAI batch object."""
    ended = int(job.ended) if job.ended else None
    counts = {"total": job.count, "completed": job.done, "failed": job.failed}
    return {
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.file,
        "completion_window": f"{max(1, round((job.due - job.created) / 3600))}h",
        "status": job.status,
        "output_file_id": OUTPUT_PREFIX + job.id if job.done else None,
        "error_file_id": ERRORS_PREFIX + job.id if job.failed else None,
        "created_at": int(job.created),
        "in_progress_at": int(job.created),
        "expires_at": int(job.due),
        "completed_at": ended if job.status == "completed" else None,
        "cancelled_at": ended if job.status == "cancelled" else None,
        "request_counts": counts,
        "metadata": job.metadata or None,
    }
