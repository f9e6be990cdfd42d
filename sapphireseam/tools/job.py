"""Submits batch jobs, waits for them and checks the result of every item.

A job uses the public API: it uploads a file, creates the batch, polls it and
reads the output and error files. A call whose answer is lost is resent with the
same `Idempotency-Key`, which must never create a second job.
"""

import collections
from typing import NamedTuple

import aiohttp
import msgspec

from sapphireseam.tools import check, client, plan
from sapphireseam.utils import timer

POLL_SECONDS = 0.25
RESEND_SECONDS = 0.5
# How long a call of a job is resent before it fails, in seconds. A job whose
# upload or creation fails counts as not accepted.
ACCEPT_SECONDS = 30.0
CALL_SECONDS = 20.0
_FINAL_STATUSES = frozenset({"completed", "failed", "expired", "cancelled"})


class JobResult(NamedTuple):
    """The result of a job; `failed`, `lost` and `doubled` hold item ids.

    `seconds` is the time from the acceptance, at `began` on the client's clock,
    to the final state. `failed` items ended as failed, which is right only for
    items that must fail. `wrong` holds a message for each wrong result.
    `unreadable` holds one for each result file that an entry did not return, and
    one if the entries return different results.
    """

    id: str
    customer: str
    accepted: bool
    state: str = ""
    items: int = 0
    began: float = 0.0
    seconds: float = 0.0
    due_met: bool = False
    right: int = 0
    tokens: int = 0
    failed: list[str] = []
    lost: list[str] = []
    doubled: list[str] = []
    wrong: list[str] = []
    unreadable: list[str] = []
    findings: list[str] = []

    @property
    def faults(self) -> int:
        """Return the number of faults, counting an unfinished job as one."""
        lists = (self.lost, self.doubled, self.wrong, self.unreadable, self.findings)
        unfinished = self.accepted and self.state != "completed"
        return sum(len(items) for items in lists) + int(unfinished)


class CallError(Exception):
    """A call was answered with an error, or not in time."""


def format_window(seconds: float) -> str:
    """Return a number of seconds in the format of OpenAI's `completion_window`.

    >>> format_window(86400), format_window(90)
    ('24h', '90s')
    """
    rounded = max(1, round(seconds))
    return f"{rounded // 3600}h" if rounded % 3600 == 0 else f"{rounded}s"


def render_file(job: plan.Job) -> bytes:
    """Return the input file of a job, one JSON line per item."""
    lines = [msgspec.json.encode(item.line) for item in job.items]
    return b"\n".join(lines) + b"\n"


class JobClient:
    """A client that runs jobs, rotating its calls over the entries."""

    def __init__(
        self,
        sender: client.Client,
        bases: list[str],
        job_timeout: float,
        timer_service: timer.TimerService,
    ):
        self._client = sender
        self._bases = [base.rstrip("/") for base in bases]
        self._job_timeout = job_timeout
        self._timer = timer_service
        self._calls = 0

    async def run(self, job: plan.Job) -> JobResult:
        """Submit a job, wait until it ends and check its results."""
        result = JobResult(job.id, job.plan.customer, False, items=len(job.items))
        try:
            file_id = await self._upload(job)
            batch = await self._create(job, file_id)
        except CallError as failure:
            return result._replace(state=f"not accepted: {failure}")
        accepted = self._timer.read_clock()
        findings = await self._check_resend(job, file_id, batch["id"])
        result = result._replace(accepted=True, began=accepted, findings=findings)
        batch = await self._wait_until_final(job, batch)
        seconds = self._timer.read_clock() - accepted
        result = result._replace(
            state=batch["status"],
            seconds=round(seconds, 3),
            due_met=batch["status"] in _FINAL_STATUSES
            and seconds <= job.plan.due_seconds,
        )
        return await self._check_results(job, batch, result)

    async def _call(
        self, job: plan.Job, method: str, path: str, base: str = "", **options
    ) -> bytes:
        """Make a call; resend it while its answer is lost or is a refusal.

        Without a `base`, each attempt goes to another entry. Raise CallError on any
        other error, and after `ACCEPT_SECONDS`.
        """
        deadline = self._timer.read_clock() + ACCEPT_SECONDS
        while True:
            self._calls += 1
            target = base or self._bases[self._calls % len(self._bases)]
            try:
                return await timer.wait_for(
                    self._timer,
                    self._call_once(job, method, target + path, options),
                    CALL_SECONDS,
                )
            except (aiohttp.ClientError, OSError, TimeoutError) as failure:
                if self._timer.read_clock() >= deadline:
                    raise CallError(f"{path}: {type(failure).__name__}") from None
            await self._timer.sleep(RESEND_SECONDS)

    async def _call_once(
        self, job: plan.Job, method: str, url: str, options: dict
    ) -> bytes:
        headers = self._client.make_headers(job.plan.customer)
        headers.update(options.get("headers", {}))
        data = options["make_data"]() if "make_data" in options else None
        session = self._client.session
        async with session.request(method, url, data=data, headers=headers) as response:
            body = await response.read()
            if response.status in (429, 502, 503, 504):
                raise aiohttp.ClientConnectionError(f"status {response.status}")
            if response.status >= 300:
                code = client.read_error_code(body)
                raise CallError(f"{url}: status {response.status}, {code}")
            return body

    async def _upload(self, job: plan.Job) -> str:
        def make_form() -> aiohttp.FormData:
            form = aiohttp.FormData()
            form.add_field("purpose", "batch")
            form.add_field("file", render_file(job), filename=f"{job.id}.jsonl")
            return form

        file = await self._call(job, "POST", "/v1/files", make_data=make_form)
        return msgspec.json.decode(file)["id"]

    async def _create(self, job: plan.Job, file_id: str) -> dict:
        body = msgspec.json.encode(
            {
                "input_file_id": file_id,
                "endpoint": job.items[0].line["url"],
                "completion_window": format_window(job.plan.due_seconds),
            }
        )
        headers = {"Content-Type": "application/json", "Idempotency-Key": job.id}
        data = await self._call(
            job, "POST", "/v1/batches", make_data=lambda: body, headers=headers
        )
        return msgspec.json.decode(data)

    async def _check_resend(
        self, job: plan.Job, file_id: str, batch_id: str
    ) -> list[str]:
        """Resend an accepted job; return a finding if that creates a second job."""
        try:
            resent = await self._create(job, file_id)
        except CallError as failure:
            return [f"the resent job was refused: {failure}"]
        if resent["id"] != batch_id:
            return [f"resending created a second job: {resent['id']}, not {batch_id}"]
        return []

    async def _wait_until_final(self, job: plan.Job, batch: dict) -> dict:
        deadline = self._timer.read_clock() + self._job_timeout
        while batch["status"] not in _FINAL_STATUSES:
            if self._timer.read_clock() >= deadline:
                return {**batch, "status": "not finished in time"}
            await self._timer.sleep(POLL_SECONDS)
            try:
                data = await self._call(job, "GET", f"/v1/batches/{batch['id']}")
                batch = msgspec.json.decode(data)
            except CallError:
                continue
        return batch

    async def _check_results(
        self, job: plan.Job, batch: dict, result: JobResult
    ) -> JobResult:
        """Read the result files from every entry; check the longest results.

        All entries must return the same results.
        """
        results_by_entry = []
        unreadable = []
        for base in self._bases:
            lines = []
            for field in ("output_file_id", "error_file_id"):
                if not batch.get(field):
                    continue
                path = f"/v1/files/{batch[field]}/content"
                try:
                    data = await self._call(job, "GET", path, base)
                    lines += data.splitlines()
                except CallError as failure:
                    unreadable.append(f"{base}: {failure}")
            results_by_entry.append(lines)
        if (
            len({tuple(sorted(lines)) for lines in results_by_entry}) > 1
            and not unreadable
        ):
            unreadable.append("entries return different results")
        longest = max(results_by_entry, key=len)
        result = result._replace(unreadable=unreadable)
        return check_lines(job, longest, result)


def check_lines(job: plan.Job, lines: list[bytes], result: JobResult) -> JobResult:
    """Return the result with the outcomes of all items.

    `lines` are the lines of the output file and of the error file.
    """
    index = check.AnswerIndex()
    for item in job.items:
        index.add(item.id, item.expected)
    found = collections.defaultdict(list)
    for line in lines:
        document = msgspec.json.decode(line)
        found[document["custom_id"]].append(document)
    item_ids = {item.id for item in job.items}
    wrong = [
        f"{name}: does not belong to this job" for name in found if name not in item_ids
    ]
    lost, doubled, failed = [], [], []
    right = tokens = 0
    for item in job.items:
        documents = found[item.id]
        if not documents:
            lost.append(item.id)
            continue
        if len(documents) > 1:
            doubled.append(item.id)
        content = read_content(documents[0])
        if content is None:
            failed.append(item.id)
            if not item.fails:
                wrong.append(f"{item.id}: failed but should have succeeded")
        elif content == item.expected and not item.fails:
            right += 1
            tokens += content.count(" ")
        else:
            verdict = check.classify_content(
                item.id, item.expected, content, True, index
            )
            wrong.append(f"{item.id}: {verdict}")
    return result._replace(
        right=right,
        tokens=tokens,
        failed=failed,
        lost=lost,
        doubled=doubled,
        wrong=wrong,
    )


def read_content(document: dict) -> str | None:
    """Return the text of an output line, or None if the item failed."""
    response = document.get("response") or {}
    if document.get("error") or response.get("status_code") != 200:
        return None
    choice = response["body"]["choices"][0]
    return choice["text"] if "text" in choice else choice["message"]["content"]
