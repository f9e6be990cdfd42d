"""Starts a small fleet, sends it requests and a batch job and prints the answers.

The demo starts each program as a separate process on loopback, as an operator
does. The system's own programs never start processes. The exit code is 0 only if
all answers were complete and correct.
"""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
import typer

from sapphireseam.core import jsontext, message
from sapphireseam.ops import session
from sapphireseam.scripts import option
from sapphireseam.tools import fleet, layout
from sapphireseam.utils import loop
from sapphireseam.utils.client import ControlClient
from sapphireseam.utils.timer import SystemTimer

SPEC_SHEETS = (
    "Origin wording for strawberries, county Wexford, class I",
    "Allergen line for celeriac remoulade with egg and mustard",
    "Storage wording for ready-to-eat salad, 5 degrees",
    "Country of origin wording for mixed root vegetables, Ireland and Spain",
    "Net weight line for a punnet of 227 grams",
    "Best before wording for washed spinach",
)

app = typer.Typer(add_completion=False)


class Caller:
    """A client that makes a customer's calls to one entry."""

    def __init__(self, http: aiohttp.ClientSession, entry: str, key: str):
        self._http = http
        self._base = f"http://{entry}"
        self._headers = {"Authorization": f"Bearer {key}"}

    async def call(self, method: str, path: str, **options: Any) -> bytes:
        """Return the body of an answer; retry after the delay in Retry-After."""
        async with asyncio.timeout(fleet.STEP_SECONDS):
            while True:
                async with self._http.request(
                    method, self._base + path, headers=self._headers, **options
                ) as response:
                    body = await response.read()
                    delay = response.headers.get("Retry-After")
                    if response.status < 400:
                        return body
                    if not delay:
                        raise RuntimeError(f"{path}: {response.status} {body[:200]!r}")
                await asyncio.sleep(float(delay))

    async def chat(self, text: str, stream: bool) -> str:
        """Return the model's answer to one message."""
        document = {
            "model": "wording-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 12,
            "stream": stream,
        }
        body = await self.call("POST", "/v1/chat/completions", json=document)
        if not stream:
            return jsontext.parse(body)["choices"][0]["message"]["content"]
        return "".join(read_event(line) for line in body.split(b"\n\n"))


def read_event(event: bytes) -> str:
    """Return the text of one event of a stream."""
    if not event.startswith(b"data: {"):
        return ""
    choices = jsontext.parse(event[len(b"data: ") :])["choices"]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def render_batch(texts: tuple[str, ...]) -> bytes:
    """Return a batch input file with one chat request per line."""
    lines = []
    for number, text in enumerate(texts):
        body = {
            "model": "wording-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 12,
        }
        line = {
            "custom_id": f"sheet-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(json.dumps(line))
    return "\n".join(lines).encode()


async def run_job(caller: Caller, texts: tuple[str, ...]) -> dict[str, Any]:
    """Run a batch job and return its output lines by custom id."""
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", render_batch(texts), filename="sheets.jsonl")
    file = jsontext.parse(await caller.call("POST", "/v1/files", data=form))
    document = {
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    job = jsontext.parse(await caller.call("POST", "/v1/batches", json=document))
    async with asyncio.timeout(fleet.STEP_SECONDS):
        while job["status"] != "completed":
            await asyncio.sleep(fleet.POLL_SECONDS)
            job = jsontext.parse(await caller.call("GET", f"/v1/batches/{job['id']}"))
    path = f"/v1/files/{job['output_file_id']}/content"
    lines = (await caller.call("GET", path)).splitlines()
    return {line["custom_id"]: line for line in map(jsontext.parse, lines)}


async def make_calls(caller: Caller) -> None:
    """Make each kind of call once and print the answers."""
    complete = await caller.chat("Allergen line for oat drink", False)
    streamed = await caller.chat("Allergen line for oat drink", True)
    typer.echo(f"complete answer: {complete}")
    typer.echo(f"streamed answer: {streamed}")
    if complete.strip() != streamed.strip():
        raise RuntimeError("the streamed answer differs from the complete one")
    image = await caller.call("GET", "/label-store/labels/7.png")
    typer.echo(f"label image:     {len(image)} bytes")
    lines = await run_job(caller, SPEC_SHEETS)
    if len(lines) != len(SPEC_SHEETS):
        raise RuntimeError(f"the job returned {len(lines)} of {len(SPEC_SHEETS)} items")
    for name in sorted(lines):
        body = lines[name]["response"]["body"]
        typer.echo(f"{name}: {body['choices'][0]['message']['content']}")


async def write_timeline(clients: list[ControlClient], folder: Path) -> Path:
    """Write the merged events of all control VMs to a file, one per line."""
    events = set()
    for client in clients:
        reply = await client.call(message.ReadEvents())
        events.update(reply.events)
    path = folder / "timeline.jsonl"
    rows = [json.dumps(item._asdict()) for item in sorted(events)]
    path.write_text("\n".join(rows) + "\n")
    return path


async def run_demo(folder: Path) -> None:
    """Create a small fleet, run it, make calls to it and stop it."""
    plan = layout.lay_out(folder, layout.SMALL)
    async with fleet.run(plan) as running:
        now = SystemTimer().read_wall_clock()
        secret = await session.issue_key(running.client, "grower-1", now)
        typer.echo(f"{len(plan.processes)} processes run, key {secret.id} issued")
        await make_calls(Caller(running.http, plan.entries[0], secret.text))
        path = await write_timeline([running.client], folder)
        typer.echo(f"time line: {path}")


@app.command()
def demo(
    folder: Path = typer.Option(None, help="Folder for settings, data and logs."),
    version: option.VersionOption = False,
) -> None:
    """Run a small fleet on this machine, make calls to it and show the answers."""
    target = folder or Path(tempfile.mkdtemp(prefix="seam-demo-"))
    loop.run(run_demo(target))
    typer.echo("demo passed")


def main() -> None:
    """Start the command line."""
    app()
