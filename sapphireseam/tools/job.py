"""Hand in a batch job, wait for it, and check every item's result.

The job goes the published way: upload a file, create the batch, poll it, read
the output and error files. Lost answers are resent with the same
`Idempotency-Key`, which must never make a second job.
"""

import collections
from typing import NamedTuple

import aiohttp
import msgspec

from sapphireseam.tools import check, client, plan
from sapphireseam.utils import timer

POLL_SECONDS = 0.25
RESEND_SECONDS = 0.5
# How long a job's calls are resent before it counts as not accepted, seconds.
ACCEPT_SECONDS = 30.0
CALL_SECONDS = 20.0
_FINAL = frozenset({"completed", "failed", "expired", "cancelled"})


class JobResult(NamedTuple):
    """Tell how a job went; the lists hold item ids.

    `seconds` run from the acceptance, at `began` on the client's clock, to the
    final state. `failed` items were
    completed as failed, which is right only for those that must fail;
    `unreadable` tells that a result could not be read from some entry.
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
        """Return how many things went as they never may."""
        lists = (self.lost, self.doubled, self.wrong, self.unreadable, self.findings)
        unfinished = self.accepted and self.state != "completed"
        return sum(len(items) for items in lists) + int(unfinished)


class CallError(Exception):
    """Report a call that was answered with an error, or not in time."""


def format_window(seconds: float) -> str:
    """Return a due time as OpenAI's `completion_window` writes it.

    >>> format_window(86400), format_window(90)
    ('24h', '90s')
    """
    whole = max(1, round(seconds))
    return f"{whole // 3600}h" if whole % 3600 == 0 else f"{whole}s"


def render_file(job: plan.Job) -> bytes:
    """Return the job's input file: one JSON line for each item."""
    lines = [msgspec.json.encode(item.line) for item in job.items]
    return b"\n".join(lines) + b"\n"


class JobClient:
    """Run jobs against the entries, each call at the next entry in turn."""

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
        """Hand the job in, wait for its end and check its results."""
        result = JobResult(job.id, job.plan.customer, False, items=len(job.items))
        try:
            file_id = await self._upload(job)
            batch = await self._create(job, file_id)
        except CallError as failure:
            return result._replace(state=f"not accepted: {failure}")
        accepted = self._timer.read_clock()
        findings = await self._check_resend(job, file_id, batch["id"])
        result = result._replace(accepted=True, began=accepted, findings=findings)
        batch = await self._wait(job, batch)
        seconds = self._timer.read_clock() - accepted
        result = result._replace(
            state=batch["status"],
            seconds=round(seconds, 3),
            due_met=batch["status"] in _FINAL and seconds <= job.plan.due_seconds,
        )
        return await self._check_results(job, batch, result)

    async def _call(self, job: plan.Job, method: str, path: str, **options) -> bytes:
        """Make one call, resending it while the answer is lost or a refusal."""
        deadline = self._timer.read_clock() + ACCEPT_SECONDS
        while True:
            self._calls += 1
            base = self._bases[self._calls % len(self._bases)]
            try:
                return await timer.wait_for(
                    self._timer,
                    self._call_once(job, method, base + path, options),
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
        """Resend an accepted job, as clients do; it must stay the same job."""
        try:
            again = await self._create(job, file_id)
        except CallError as failure:
            return [f"resent job was refused: {failure}"]
        if again["id"] != batch_id:
            return [f"resent job became another one: {again['id']}, not {batch_id}"]
        return []

    async def _wait(self, job: plan.Job, batch: dict) -> dict:
        deadline = self._timer.read_clock() + self._job_timeout
        while batch["status"] not in _FINAL:
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
        """Read the result files from every entry; check the first reading."""
        readings = []
        unreadable = []
        for base in self._bases:
            lines = []
            for field in ("output_file_id", "error_file_id"):
                if not batch.get(field):
                    continue
                url = f"{base}/v1/files/{batch[field]}/content"
                try:
                    data = await self._call_once(job, "GET", url, {})
                    lines += data.splitlines()
                except (aiohttp.ClientError, OSError, CallError) as failure:
                    unreadable.append(f"{url}: {failure}")
            readings.append(lines)
        if len({tuple(sorted(lines)) for lines in readings}) > 1 and not unreadable:
            unreadable.append("entries give different results")
        best = max(readings, key=len)
        result = result._replace(unreadable=unreadable)
        return check_lines(job, best, result)


def check_lines(job: plan.Job, lines: list[bytes], result: JobResult) -> JobResult:
    """Return the result with each item's fate, from the lines of both files."""
    index = check.AnswerIndex()
    for item in job.items:
        index.add(item.id, item.expected)
    found = collections.defaultdict(list)
    for line in lines:
        document = msgspec.json.decode(line)
        found[document["custom_id"]].append(document)
    known = {item.id for item in job.items}
    wrong = [f"{name}: not of this job" for name in found if name not in known]
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
                wrong.append(f"{item.id}: failed without cause")
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
    """Return an output line's text, or nothing if the item failed."""
    response = document.get("response") or {}
    if document.get("error") or response.get("status_code") != 200:
        return None
    choice = response["body"]["choices"][0]
    return choice["text"] if "text" in choice else choice["message"]["content"]
