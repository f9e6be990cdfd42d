"""Plays a request that crashes each replica which runs it, beside sound ones."""

import asyncio
import os
from pathlib import Path

import stage

DOWN_SECONDS = 4.5
RETRY_SECONDS = 2.0
WATCH_SECONDS = 40.0
BAD_PATH = "/advice/bad"
MAX_RETRIES = 3


EVENTS, EVENT_SECONDS = 40, 0.03


async def play(
    record: stage.Record, is_troubled: bool, how: str, crash_event: int
) -> list[str]:
    """Play; `how` is "dark" or "reset", `crash_event` the event that crashes a replica."""
    place = stage.Stage(record, entries=2)
    crashes: list[float] = []
    reached: list[tuple[float, str]] = []

    async def generate(replica, request, writer) -> bool:
        if request.target == BAD_PATH:
            reached.append((record.now(), request.attempt))
            record(
                f"{request.attempt} reaches {replica.name} after {len(crashes)} crashes"
            )
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Response-Signature: s\r\n"
            b"X-Attempt-Id: " + request.attempt.encode() + b"\r\n\r\n"
        )
        is_first = True
        for number in range(
            int(request.headers.get("last-event-id", "-1")) + 1, EVENTS
        ):
            if is_troubled and request.target == BAD_PATH and number >= crash_event:
                crashes.append(record.now())
                record(f"{request.attempt} crashes {replica.name} at event {number}")
                replica.crash(DOWN_SECONDS, how == "dark")
                await asyncio.sleep(3600)
            event = b"id: %d\ndata: word\n\n" % number
            writer.write(head * is_first + b"%x\r\n%s\r\n" % (len(event), event))
            is_first = False
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(head * is_first + b"0\r\n\r\n")
        return True

    place.replicas = [
        stage.FallibleReplica(place, f"i-{n}", "llm", stage.ZONES[n % 3], generate)
        for n in range(9)
    ]
    route = {
        "name": "r-advice",
        "host": stage.HOST,
        "path_prefix": "/advice/",
        "route_type": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": "llm",
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_target_ms": 300,
    }
    answers: dict[str, int] = {}

    async def send(number: int, path: str, name: str) -> None:
        headers = {
            "Authorization": f"Token {stage.KEY}",
            "X-Attempt-Id": f"{name}{number:08x}",
            "X-Deadline-Ms": "5000",
            "X-Model": "m",
            "X-Token-Usage": "450,30",
            "X-Prompt-Prefix": f"aa01:200,{name}{number % 1 if path == BAD_PATH else number:x}:250",
        }
        entry = place.entries[number % 2].settings["ip"]
        try:
            status, _, _ = await stage.ask(
                entry, place.front_port, "POST", path, headers, b"same", 5.5
            )
        except (OSError, EOFError, TimeoutError, ValueError) as failure:
            status = type(failure).__name__
        key = f"{'bad' if path == BAD_PATH else 'sound'}: {status}"
        answers[key] = answers.get(key, 0) + 1
        if path == BAD_PATH:
            record(f"{headers['X-Attempt-Id']} is answered {status}")

    tasks = []
    try:
        await place.start(stage.make_document(routes=[route]))
        await asyncio.sleep(3.5)
        began, number = record.now(), 0
        while record.now() - began < WATCH_SECONDS:
            if number % 20 == 0:
                tasks.append(asyncio.create_task(send(number // 20, BAD_PATH, "bad")))
            tasks.append(asyncio.create_task(send(number, f"/advice/{number}", "50d")))
            number += 1
            await asyncio.sleep(RETRY_SECONDS / 20)
        await asyncio.gather(*tasks)
        record(f"answers: {answers}")
        if not is_troubled or len(crashes) < 3:
            return []
        late = sorted(
            {
                attempt
                for at, attempt in reached
                if at > crashes[2] + stage.CONTACT_SECONDS
            }
        )
        record(
            f"{len(late)} retries reached replicas later than contact_ms after the third crash"
        )
        if len(late) > MAX_RETRIES:
            return [
                f"{len(late)} retries reached replicas, {len(crashes)} crashes in all"
            ]
        return []
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await place.stop()


def run(folder: Path, how: str, crash_event: int) -> None:
    """Run a case; the environment may change how replicas crash."""
    how = os.environ.get("HOW", how)
    crash_event = int(os.environ.get("CRASH_EVENT", crash_event))
    stage.run_case(
        folder, lambda record, is_troubled: play(record, is_troubled, how, crash_event)
    )
