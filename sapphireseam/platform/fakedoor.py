"""Starts the real programs of one entry and one control VM for tests of their doors.

The list of replicas and the only replica are fakes in the test's own process.

    async with Doors(memory_mb=128) as doors:
        await send_ordinary(doors)
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp
from aiohttp import web

from sapphireseam.platform import dialect
from sapphireseam.tools import layout
from sapphireseam.utils import memory

START_SECONDS = 30.0
PAUSE_SECONDS = 0.05
KEY = "k-1"
HOST = "doors.example"
SAFE_PATH = "/safe/"
BATCH_PATH = "/job/"
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
LARGE_PATH = f"{SAFE_PATH}large"
LARGE_BYTES = 1024 * 1024
# Items of batch jobs at this path take some seconds.
SLOW_PATH = f"{BATCH_PATH}slow"
SLOW_SECONDS = 4.0


def _make_configuration() -> dict[str, object]:
    """Return the operator's configuration."""
    route = {"host": HOST, "service": "app", "timeout_ms": 5000, "max_attempts": 2}
    batch = {"route_type": "batch", "completion_target_ms": 9000, "retention_s": 20}
    return {
        "version": 1,
        "routes": [
            route | {"name": "safe", "path_prefix": SAFE_PATH},
            route | batch | {"name": "job", "path_prefix": BATCH_PATH},
        ],
        "services": [{"name": "app", "health_path": "/health", "max_connections": 200}],
        "limits": {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "t", "api_keys": [KEY]}],
    }


class Doors:
    """One entry and one control VM as processes, and the addresses of their doors."""

    def __init__(self, memory_mb: int, max_fds: int = 1638):
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self._stack = contextlib.AsyncExitStack()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.log = b""
        # How often each attempt reached the replica.
        self.runs: Counter[str] = Counter()
        self.front = self.ready = self.operator = 0

    async def __aenter__(self) -> "Doors":
        """Start everything, and return once the entry is ready."""
        self._folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._list = await self._serve(self._answer_list)
        self._replica = await self._serve(self._answer_request)
        self._port, self.front, self.ready, self.operator = layout.find_ports(4)
        # The programs share their port for internal calls and that of their metrics.
        network = f"127.{os.getpid() % 200 + 20}.{time.monotonic_ns() % 200 + 20}"
        self.entry_host, self.control_host = f"{network}.1", f"{network}.2"
        await self._start("control", self.control_host)
        await self._start("entry", self.entry_host)
        deadline = time.monotonic() + START_SECONDS
        while not await self._is_ready():
            if time.monotonic() > deadline:
                raise TimeoutError("the entry isn't ready")
            await asyncio.sleep(PAUSE_SECONDS)
        return self

    async def __aexit__(self, *arguments: object) -> None:
        """End the processes and the fakes."""
        for program, process in self._processes.items():
            if process.returncode is None:
                process.kill()
            await process.wait()
            self.log += (self._folder / f"{program}.log").read_bytes()
        await self._stack.aclose()

    async def _serve(self, answer) -> str:
        """Serve a fake; return its address."""
        runner = web.ServerRunner(
            web.Server(answer, access_log=None, max_field_size=2 * MAX_HEADER_BYTES)
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def _answer_list(self, request: web.BaseRequest) -> web.Response:
        entry = {"service": "app", "addr": self._replica, "zone": "z", "version": "v1"}
        entry |= {"slots": 64, "state": "ready", "born": 1_700_000_000_000, "id": "i-1"}
        return web.json_response({"instances": [entry]})

    async def _answer_request(self, request: web.BaseRequest) -> web.Response:
        attempt = request.headers.get(dialect.ATTEMPT)
        if attempt is None:
            return web.Response()
        self.runs[attempt] += 1
        size = 0
        async for data in request.content.iter_any():
            size += len(data)
        if request.path == SLOW_PATH:
            await asyncio.sleep(SLOW_SECONDS)
        body = b"x" * LARGE_BYTES if request.path == LARGE_PATH else b"%d" % size
        headers = {dialect.ATTEMPT: attempt, dialect.SIGNATURE: "s"}
        return web.Response(body=body, headers=headers)

    async def _start(self, program: str, host: str) -> None:
        settings = {
            "label": program,
            "ip": host,
            "failure_domain": "z",
            "port": self._port,
            "seeds": [f"{self.control_host}:{self.operator}"],
            "list_address": self._list,
            "is_first_start": True,
            "tolerated": 0,
            "slack_requests": 20,
            "slack_share": 0.1,
            "slack_window": 5.0,
            "trust_ms": 5000,
            "grace_s": 5,
            "keep_s": 60,
            "memory_mb": self._memory_mb,
            "max_fds": self._max_fds,
        }
        if program == "control":
            settings |= {"data_folder": str(self._folder / "data")}
            settings |= {"operator_address": f"{host}:{self.operator}"}
        else:
            settings |= {"callers_address": f"{host}:{self.front}"}
            settings |= {"ready_address": f"{host}:{self.ready}"}
        path = self._folder / f"{program}.json"
        path.write_text(json.dumps(settings))
        # A pipe that nobody reads would block the programs.
        output = self._stack.enter_context((self._folder / f"{program}.log").open("wb"))
        self._processes[program] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphireseam.platform.start",
            program,
            env=os.environ | {"SAPPHIRESEAM_CONFIG": str(path)},
            stdout=output,
            stderr=output,
        )

    async def _is_ready(self) -> bool:
        base = f"http://{self.control_host}:{self.operator}"
        try:
            async with aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(2.0)
            ) as session:
                url = f"{base}/config/put"
                async with session.post(url, json=_make_configuration()) as answer:
                    if answer.status != 200:
                        return False
                url = f"http://{self.entry_host}:{self.ready}/readyz"
                async with session.get(url) as answer:
                    return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def measure_peak(self, program: str) -> float:
        """Return the largest memory that a program has used so far, in MB."""
        path = Path(f"/proc/{self._processes[program].pid}/status")
        return memory.read_status("VmHWM", path) / memory.MEBIBYTE

    def has_ended(self, program: str) -> bool:
        """Return whether a program has ended."""
        return self._processes[program].returncode is not None
