"""A small deployment of the project's own programs, with stand-ins around it.

Three control VMs and some entries run as processes, with the commands of
deploy/system.toml. Clients, replicas and the platform's list are stand-ins of this
file, which use nothing but Python's standard library. All addresses are loopback
addresses. What happens is written to a record, with seconds since the start.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
HOST = "stage.example"
ZONES = ("z-a", "z-b", "z-c")
START_SECONDS = 40.0
CONTRACTS = "base drain config cost recover batch stream engine tenants quota"
# Bounds as on the sheet of the small deployment beitsstaal-post.
CONTACT_SECONDS = 3.0
ACK_SECONDS = 4.0
GRACE_SECONDS = 8.0


class CannotRunError(Exception):
    """The case can't run here; this says nothing about the rule."""


class Record:
    """Writes what happened to a file, one line each."""

    def __init__(self, path: Path):
        self.began = time.monotonic()
        self._file = path.open("w", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


def free_ports(host: str, count: int) -> list[int]:
    """Return ports below those that the kernel gives to outgoing connections."""
    found = []
    for port in random.sample(range(11_000, 30_000), 2000):
        with socket.socket() as held:
            try:
                held.bind((host, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


class Request:
    """One HTTP request as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )
        self.attempt = headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def render(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Replica:
    """A sound model replica: one request at a time on a connection, `slots` at once.

    `play` is a coroutine function (replica, request, writer) that answers a request
    which runs; it returns whether the connection goes on. It is cancelled, and with it
    the run, when the connection closes.
    """

    def __init__(self, stage, name: str, service: str, zone: str, play, slots: int = 8):
        self.stage, self.name, self.service, self.zone = stage, name, service, zone
        self.play, self.slots = play, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running: dict[str, Request] = {}
        self.address = ""
        self._server = None

    async def start(self) -> None:
        """Start to listen."""
        host = self.stage.outside
        port = free_ports(host, 1)[0]
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def describe(self) -> dict:
        """Return the entry in the platform's list."""
        return {
            "id": self.name,
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "lora_adapters": []}],
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_request(reader)
                if not await self._answer(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, reader, writer) -> bool:
        if request.target.startswith("/report"):
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "lora_adapters": []}],
                "busy": False,
                "seq": 0,
                "num_waiting": 0,
                "num_running": len(self.running),
                "kv_used": 0,
                "kv_capacity": 72_000,
                "handles": 0,
                "born": self.born,
                "runs": [[each, 10, 1, 0] for each in self.running],
            }
            writer.write(
                render(
                    200,
                    {"Content-Type": "application/json"},
                    json.dumps(report).encode(),
                )
            )
            return True
        if request.target.startswith("/health"):
            writer.write(render(200, {"X-Instance-Id": self.name}, b"ok"))
            return True
        if not request.attempt:
            writer.write(render(404, {}, b""))
            return True
        expected = request.headers.get("x-expect-instance", self.name)
        echo = {"X-Attempt-Id": request.attempt}
        if expected != self.name:
            writer.write(render(421, echo, b""))
            return True
        if len(self.running) >= self.slots:
            writer.write(render(503, echo | {"X-Not-Executed": "1"}, b""))
            return True
        self.running[request.attempt] = request
        run = asyncio.create_task(self.play(self, request, writer))
        # The next request on this connection comes after this answer, so all that can
        # be read before is the end of the connection.
        end = asyncio.create_task(_wait_for_end(reader))
        try:
            await asyncio.wait({run, end}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                self.stage.record(
                    f"{self.name} drops {request.attempt}: connection closed"
                )
                return False
            keep = bool(run.result())
            await writer.drain()
            if end.done() or not keep:
                return False
        finally:
            self.running.pop(request.attempt, None)
            run.cancel()
            if not end.done():
                end.cancel()
                await asyncio.gather(end, return_exceptions=True)
        return True


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    try:
        await reader.read(1)
    except OSError:
        pass


class FallibleReplica(Replica):
    """A replica that may crash and be back after some seconds, as a new incarnation.

    With a reset, its connections are reset and its port refuses new ones. A dark one
    has lost its machine: open connections say nothing any more, and new ones hang,
    since the kernel answers nobody once the queue of a socket that accepts none is
    full.
    """

    async def start(self) -> None:
        """Start to listen."""
        self.base, self.starts = self.name, 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.is_down = False
        self.host, self.tcp_port = (
            self.stage.outside,
            free_ports(self.stage.outside, 1)[0],
        )
        self.address = f"{self.host}:{self.tcp_port}"
        self._listen()

    def _listen(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.tcp_port))
        self.socket.listen(1 if self.is_down else 100)
        self.socket.setblocking(False)
        if not self.is_down:
            self._keep(self._accept(self.socket))

    def _keep(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, own: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            while not self.is_down and own is self.socket:
                connection, _ = await loop.sock_accept(own)
                reader, writer = await asyncio.open_connection(sock=connection)
                self.writers.add(writer)
                self._keep(self._serve_one(reader, writer))
        except OSError:
            return

    async def _serve_one(self, reader, writer) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self, seconds: float, is_dark: bool) -> None:
        """Crash now; the replica is back after some seconds."""
        self.is_down = True
        self.running.clear()
        former, self.writers = self.writers, set()
        for task in list(self.tasks):
            task.cancel()
        self.socket.close()
        held = []
        if is_dark:
            # The sockets stay open, but nobody reads or writes them any more.
            for writer in former:
                sock = writer.get_extra_info("socket")
                held.append(socket.socket(fileno=os.dup(sock.fileno())))
            self._listen()
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((self.host, self.tcp_port))
                held.append(filler)
        else:
            for writer in former:
                _reset(writer.get_extra_info("socket"))
        asyncio.get_running_loop().create_task(self._return(seconds, held))

    async def _return(self, seconds: float, held: list[socket.socket]) -> None:
        await asyncio.sleep(seconds)
        for each in held:
            _reset(each)
            each.close()
        if self.is_down and self.socket.fileno() >= 0:
            self.socket.close()
        self.is_down = False
        self.starts += 1
        self.name = f"{self.base}-{self.starts}"
        self.born = int(time.time() * 1000)
        self._listen()
        self.stage.record(f"{self.base} is back as {self.name}")

    def stop(self) -> None:
        """Stop everything."""
        self.socket.close()
        for task in list(self.tasks):
            task.cancel()


def _reset(sock) -> None:
    """Let the close of a connection reset it."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    except OSError:
        pass


class Process:
    """One of the project's programs."""

    def __init__(self, stage, role: str, label: str, settings: dict):
        self.stage, self.role, self.label, self.settings = stage, role, label, settings
        self.path = stage.folder / f"{label}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.touched = 0.0

    async def start(self) -> None:
        """Write the settings and start the process."""
        if self.process is not None:
            # "true only when the whole system starts for the first time" (DEPLOY.md).
            self.settings["is_first_start"] = False
        self.path.write_text(json.dumps(self.settings))
        words = self.stage.commands[self.role]
        output = (self.stage.folder / f"{self.label}.log").open("ab")
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=kept
            | {
                "SAPPHIRESEAM_CONFIG": str(self.path),
                "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
                "PYTHONDONTWRITEBYTECODE": "1",
                "SSL_CERT_FILE": "/dev/null",
            },
            stdout=output,
            stderr=output,
        )
        output.close()
        self.touched = time.monotonic()

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.stage.record(f"{number.name} to {self.label}")
        self.touched = time.monotonic()
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self.process.wait()


class Stage:
    """The whole deployment."""

    def __init__(self, record: Record, entries: int = 2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="seam-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.outside = f"{net}.200"
        control_hosts = [f"{net}.{number + 1}" for number in range(3)]
        entry_hosts = [f"{net}.{number + 11}" for number in range(entries)]
        self.port, self.control_port, self.front_port, self.ready_port = free_ports(
            control_hosts[0], 4
        )
        self.list_port = free_ports(self.outside, 1)[0]
        self.replicas: list[Replica] = []
        self.version = 0
        self.controls = [
            Process(
                self, "control", f"storage-{n}", self._settings(h, n, control_hosts)
            )
            for n, h in enumerate(control_hosts)
        ]
        self.entries = [
            Process(
                self, "entry", f"edge-{n}", self._settings(h, n, control_hosts, False)
            )
            for n, h in enumerate(entry_hosts)
        ]
        self._list_server = None

    def _settings(
        self, host: str, number: int, seeds: list[str], is_control=True
    ) -> dict:
        """Return what deploy/settings.json renders for a machine."""
        settings = {
            "label": f"{'storage' if is_control else 'edge'}-{number}",
            "ip": host,
            "failure_domain": ZONES[number % 3],
            "port": self.port,
            "seeds": [f"{each}:{self.control_port}" for each in seeds],
            "list_address": f"{self.outside}:{self.list_port}",
            "is_first_start": True,
            "tolerated": 1,
            "slack_requests": 20,
            "slack_share": 0.1,
            "slack_window": 5,
            "trust_ms": 5000,
            "grace_s": GRACE_SECONDS,
            "keep_s": 120,
            "memory_mb": 170 if is_control else 150,
            "max_fds": 8200 if is_control else 4100,
            "reads_nearby": True,
            "grants_by_use": True,
            "contracts": CONTRACTS.split(),
            "failure_domains": dict.fromkeys(ZONES, "r"),
        }
        if is_control:
            settings["data_folder"] = str(self.folder / "data" / host)
            settings["operator_address"] = f"{host}:{self.control_port}"
        else:
            settings["callers_address"] = f"{host}:{self.front_port}"
            settings["ready_address"] = f"{host}:{self.ready_port}"
        return settings

    async def start(self, document: dict, seconds: float = START_SECONDS) -> None:
        """Start everything; return once a configuration is in force at all entries."""
        self._list_server = await asyncio.start_server(
            self._serve_list, self.outside, self.list_port
        )
        for replica in self.replicas:
            await replica.start()
        for process in (*self.controls, *self.entries):
            await process.start()
        end = time.monotonic() + seconds
        await self.publish(document, seconds)
        for entry in self.entries:
            while (
                await self.ask_status(entry, self.ready_port, "GET", "/readyz") != 200
            ):
                if time.monotonic() > end:
                    raise CannotRunError(f"{entry.label} isn't ready")
                await asyncio.sleep(0.1)
        self.record("all programs are ready")

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in (*self.controls, *self.entries):
            if process.process is not None and process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        for replica in self.replicas:
            replica.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_list(self, reader, writer) -> None:
        try:
            while True:
                await read_request(reader)
                found = [each.describe() for each in self.replicas]
                body = json.dumps({"instances": found, "next": None}).encode()
                writer.write(render(200, {"Content-Type": "application/json"}, body))
        except (asyncio.IncompleteReadError, OSError, ValueError):
            writer.close()

    # The operator.

    async def publish(self, document: dict, seconds: float = ACK_SECONDS) -> None:
        """Send a configuration to one control VM after the other until one takes it."""
        self.version += 1
        body = json.dumps({"version": self.version} | document).encode()
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            target = self.controls[number % len(self.controls)]
            number += 1
            status = await self.ask_status(
                target, self.control_port, "POST", "/config/put", body
            )
            if status == 200:
                self.record(
                    f"configuration {self.version} acknowledged by {target.label}"
                )
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"configuration {self.version} wasn't acknowledged")

    async def ask_status(self, process, port, method, path, body=b"") -> int:
        """Return the status of an answer, 0 if there is none."""
        try:
            status, _, _ = await ask(
                process.settings["ip"], port, method, path, {}, body, 1.0
            )
            return status
        except (OSError, EOFError, TimeoutError, ValueError):
            return 0

    async def find_leader(self, seconds: float = 10.0) -> Process | None:
        """Return the control VM that leads, by what its health check says."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for process in self.controls:
                if process.process.returncode is not None:
                    continue
                try:
                    _, _, body = await ask(
                        process.settings["ip"], 9464, "GET", "/health", {}, b"", 0.5
                    )
                    leader = json.loads(body).get("leader", "")
                except (OSError, EOFError, TimeoutError, ValueError):
                    continue
                for each in self.controls:
                    alive = each.process.returncode is None
                    if alive and leader == f"{each.settings['ip']}:{self.port}":
                        return each
            await asyncio.sleep(0.1)
        return None


async def ask(host, port, method, path, headers, body=b"", seconds=5.0):
    """Send one request on a new connection; return status, headers and body."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": HOST, "Content-Length": str(len(body))} | headers
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.split("\r\n")
            found = {}
            for line in rest:
                if line:
                    name, _, value = line.partition(":")
                    found[name.strip().lower()] = value.strip()
            status = int(first.split()[1])
            if found.get("transfer-encoding", "").lower() == "chunked":
                data = b""
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    data += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            else:
                data = await reader.readexactly(int(found.get("content-length", "0")))
            return status, found, data
        finally:
            writer.close()


def make_item(
    name: str, tokens: int = 700, path: str = "/job/items/x", body: bytes = b"p"
) -> dict:
    """Return an item of a batch job as a client submits it."""
    return {
        "id": name,
        "path": path,
        "headers": {
            "X-Model": "m",
            "X-Token-Usage": f"350,{tokens - 350}",
            "X-Prompt-Prefix": f"aa01:100,{zlib.crc32(name.encode()):x}:250",
        },
        "body": base64.b64encode(body).decode(),
        "tokens": tokens,
    }


def make_document(**changes) -> dict:
    """Return a configuration with a batch route, a safe and an unsafe one."""
    engine = {"slots": 8, "kv_cache_tokens": 72_000}
    batch = {
        "name": "r-job",
        "host": HOST,
        "path_prefix": "/job/",
        "route_type": "batch",
        "timeout_ms": 15_000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "llm",
        "max_attempts": 3,
        "completion_target_ms": 18_000,
        "retention_s": 60,
        "cap": 1_400_000,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    return {
        "routes": [batch],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_connections": 250,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | changes


def run_case(folder: Path, play) -> None:
    """Run a case; `play(record, is_troubled)` returns the faults that clients saw."""
    import sys

    record = Record(folder / "record.txt")
    is_troubled = "--trouble=off" not in sys.argv[1:]
    record(f"trouble: {is_troubled}")

    async def limited():
        async with asyncio.timeout(115):
            return await play(record, is_troubled)

    try:
        faults = asyncio.run(limited())
    except CannotRunError as failure:
        record(f"can't run: {failure}")
        sys.exit(2)
    except Exception as failure:
        record(f"can't run: {failure!r}")
        raise SystemExit(2) from failure
    for fault in faults:
        record(f"BROKEN: {fault}")
        print(f"BROKEN: {fault}")
    record("the rule was broken" if faults else "the rule held")
    sys.exit(1 if faults else 0)
