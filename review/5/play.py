"""An item that fails at each run, while the control VM that leads is killed in turn."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage"))

import stage

JOB = "4c1e07a25b3d9001"
ITEM = "e5b2907c14da6f38"
MAX_ATTEMPTS = 3
# An item that fails at each run may reach a replica again after fewer answers of 500.
MAX_FAILURES = 3 * MAX_ATTEMPTS
RUN_SECONDS = 2.0
LEADERS = 7
# The kill comes this long after the last program that was killed came back, so that
# the core is stable for longer than `contact_ms` in between.
PAUSE_SECONDS = 6.0
WATCH_SECONDS = 90.0


async def play(record: stage.Record, is_troubled: bool) -> list[str]:
    """Play, and return the faults that clients saw."""
    place = stage.Stage(record, entries=1)
    answers: list[float] = []
    late_runs: list[str] = []
    touched = [0.0]

    async def fail(replica, request, writer) -> bool:
        calm = record.now() - touched[0]
        record(
            f"{request.attempt} reaches {replica.name} after {len(answers)} answers of 500,"
            f" {calm:.1f} s after the last disruption"
        )
        if (
            request.attempt == ITEM
            and len(answers) >= MAX_FAILURES
            and calm > stage.CONTACT_SECONDS
        ):
            late_runs.append(
                f"the item reached {replica.name} after {len(answers)} answers of 500,"
                f" with max_attempts = {MAX_ATTEMPTS}"
            )
        await asyncio.sleep(RUN_SECONDS)
        echo = {"X-Attempt-Id": request.attempt, "X-Response-Signature": "s"}
        writer.write(stage.render(500, echo, b"failed"))
        await writer.drain()
        answers.append(record.now())
        record(f"{replica.name} answers 500, number {len(answers)}")
        return True

    place.replicas = [
        stage.Replica(place, f"i-{n}", "llm", stage.ZONES[n % 3], fail)
        for n in range(3)
    ]
    try:
        await place.start(stage.make_document())
        entry = place.entries[0].settings["ip"]
        body = json.dumps({"requests": [stage.make_item(ITEM)]}).encode()
        headers = {
            "Authorization": f"Token {stage.KEY}",
            "X-Attempt-Id": JOB,
            "Content-Type": "application/json",
        }
        status = 0
        for _ in range(10):
            status, _, _ = await stage.ask(
                entry, place.front_port, "POST", "/job/1", headers, body
            )
            if status == 202:
                break
            await asyncio.sleep(0.5)
        record(f"the batch job is answered {status}")
        if status != 202:
            raise stage.CannotRunError("the batch job wasn't accepted")
        began = record.now()
        touched[0] = began - 10.0
        kills = 0
        state = ""
        while record.now() - began < WATCH_SECONDS and not state and not late_runs:
            if (
                is_troubled
                and kills < LEADERS
                and record.now() - max(touched[0], began) > PAUSE_SECONDS
            ):
                leader = await place.find_leader()
                if leader is None:
                    raise stage.CannotRunError("no control VM leads")
                await leader.kill()
                touched[0] = record.now()
                kills += 1
                await asyncio.sleep(0.4)
                await leader.start()
                touched[0] = record.now()
                record(f"{leader.label} is started again")
            await asyncio.sleep(0.3)
            try:
                status, _, data = await stage.ask(
                    entry,
                    place.front_port,
                    "GET",
                    f"/lots/{JOB}?after=0",
                    headers,
                    b"",
                    2.0,
                )
            except (OSError, EOFError, TimeoutError):
                continue
            if status == 200 and (results := json.loads(data)["results"]):
                state = results[0]["state"]
                record(
                    f"the item is listed as {state} after {len(answers)} answers of 500"
                )
        if not is_troubled and state != "dead_letter":
            raise stage.CannotRunError("the item wasn't given up without a disruption")
        if not is_troubled and len(answers) != MAX_ATTEMPTS:
            raise stage.CannotRunError("the item didn't fail as often as planned")
        return late_runs
    finally:
        await place.stop()


stage.run_case(Path(__file__).resolve().parent, play)
