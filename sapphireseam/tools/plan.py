"""Plans the requests and batch jobs of a load run from one seed.

A profile describes the customers, their limits, their requests and the bursts
of arrivals. The plan is made before the run and does not depend on the answers
(an open loop), so a slow system cannot reduce its own load. The same profile
and seed give the same requests at the same times.
"""

import itertools
import json
import random
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from sapphireseam.tools import answer, engine

Rate = Annotated[float, Field(gt=0)]


class RequestKind(NamedTuple):
    """The shape of one kind of request.

    `target` is the name of a model for `chat` and `completion`, otherwise a
    path, to which `get` appends `/labels/<id>.png`. `streamed` is the fraction
    of streamed answers. The first `prefix_tokens` of the `prompt_tokens` are one
    of `prefixes` shared prefixes of the customer; the n-th prefix is drawn with
    a weight of 1 / n ** `prefix_skew`. With `claims`, each request carries an
    `Idempotency-Key`.
    """

    protocol: Literal["chat", "completion", "get", "post"]
    target: str
    streamed: engine.Share = 0.0
    prompt_tokens: engine.Count = 40
    answer_tokens: engine.Count = 24
    prefixes: Annotated[int, Field(ge=0)] = 0
    prefix_tokens: Annotated[int, Field(ge=0)] = 0
    prefix_skew: Annotated[float, Field(ge=0)] = 1.0
    claims: bool = False

    @property
    def is_model(self) -> bool:
        """Return whether the target is a model rather than a plain service."""
        return self.protocol in ("chat", "completion")


class Customer(NamedTuple):
    """A customer with its rate limit and its load.

    `rate` (requests per second) and `burst` (requests) are its limit. `offered`
    is its average load outside bunches, in requests per second. `mix` maps
    request kinds to weights.
    """

    name: str
    rate: Rate
    burst: Rate
    offered: Annotated[float, Field(ge=0)]
    mix: dict[str, Rate]
    key: str = ""


class Bunch(NamedTuple):
    """A periodic burst: `factor` times the load for `length` of each `period`.

    `period` and `length` are in seconds.
    """

    period: Rate
    length: engine.Seconds
    factor: Rate


class JobPlan(NamedTuple):
    """A batch job of `items` requests of one kind, due after `due_seconds`.

    The last `failing` items contain the profile's `fail_marker`, on which the
    upstream always fails.
    """

    customer: str
    kind: str
    items: engine.Count
    due_seconds: Rate
    start: engine.Seconds = 0.0
    failing: Annotated[int, Field(ge=0)] = 0


class Profile(NamedTuple):
    """The description of a run, which lasts `seconds` and then waits for the jobs.

    `allow_losses` is for runs in which processes or machines are lost. Online
    requests may then fail with an error, or get no answer if their entry is
    lost.
    """

    name: str
    seed: int
    seconds: Rate
    kinds: dict[str, RequestKind]
    customers: list[Customer]
    bunch: Bunch | None = None
    jobs: list[JobPlan] = []
    fail_marker: str = "ALWAYS-FAILS"
    request_timeout: Rate = 30.0
    job_timeout: Rate = 120.0
    allow_losses: bool = False


class Request(NamedTuple):
    """A planned request and the one right answer to it.

    `due` is in seconds from the start of the run. `expected` is the text, image
    or digest that the answer must contain. `place`, a number from 0 to 1,
    selects the entry that gets the request.
    """

    id: str
    customer: str
    kind: str
    protocol: str
    due: float
    path: str
    body: bytes
    stream: bool
    expected: str | bytes
    finish_reason: str
    model: str
    prompt: str
    claims: bool
    place: float


class JobItem(NamedTuple):
    """A planned batch item; an item with `fails` set must end as failed."""

    id: str
    line: dict
    expected: str
    fails: bool


class Job(NamedTuple):
    """A planned batch job."""

    id: str
    plan: JobPlan
    items: list[JobItem]


def find_errors(profile: Profile) -> list[str]:
    """Return the errors of a profile: unknown references and duplicate names."""
    customers = {customer.name for customer in profile.customers}
    errors = [
        f"customers.{customer.name}.mix: unknown kind {kind!r}"
        for customer in profile.customers
        for kind in customer.mix
        if kind not in profile.kinds
    ]
    for number, job in enumerate(profile.jobs):
        if job.kind not in profile.kinds:
            errors.append(f"jobs.{number}.kind: unknown kind {job.kind!r}")
        elif not profile.kinds[job.kind].is_model:
            errors.append(
                f"jobs.{number}.kind: {job.kind!r} can't be used in a batch job"
            )
        if job.customer not in customers:
            errors.append(f"jobs.{number}.customer: unknown {job.customer!r}")
    if len(customers) != len(profile.customers):
        errors.append("customers: two customers have the same name")
    return errors


def _make_text(source: random.Random, tokens: int) -> str:
    length = tokens * answer.CHARACTERS_PER_TOKEN
    return f"{source.getrandbits(4 * max(length, 1)):0{max(length, 1)}x}"[:length]


class Planner:
    """A generator of the requests and jobs of a profile.

    `label` is part of every id and prompt: runs with different labels share
    prefixes but no request. `round_number` varies the arrivals and the kinds of
    requests, so two plans of the same round with different labels differ in
    their ids only.
    """

    def __init__(self, profile: Profile, label: str = "r", round_number: int = 0):
        self._profile = profile
        self._label = label
        self._round_number = round_number
        self._request_numbers = itertools.count()
        self._random = random.Random(f"{profile.seed} {round_number}")
        self._prefixes: dict[tuple[str, str], list[str]] = {}

    def plan_requests(self, seconds: float) -> list[Request]:
        """Return all requests of the run, ordered by their due times."""
        requests = []
        for customer in self._profile.customers:
            seed = f"{self._profile.seed} {self._round_number} {customer.name}"
            source = random.Random(seed)
            for due in self._draw_arrivals(source, customer.offered, seconds):
                name = self._draw_kind(source, customer)
                requests.append(self._make_request(customer, name, due))
        return sorted(requests, key=lambda request: request.due)

    def _draw_arrivals(
        self, source: random.Random, offered: float, seconds: float
    ) -> list[float]:
        """Return the arrival times of a Poisson process.

        Arrivals are drawn at the peak rate and thinned to the current rate.
        """
        arrivals = []
        bunch = self._profile.bunch or Bunch(1.0, 0.0, 1.0)
        peak = offered * max(bunch.factor, 1.0)
        now = 0.0
        while peak > 0:
            now += source.expovariate(peak)
            if now >= seconds:
                break
            bunched = now % bunch.period < bunch.length
            rate = offered * (bunch.factor if bunched else 1.0)
            if source.random() < rate / peak:
                arrivals.append(now)
        return arrivals

    def _draw_kind(self, source: random.Random, customer: Customer) -> str:
        names = list(customer.mix)
        return source.choices(names, [customer.mix[name] for name in names])[0]

    def _draw_prefix(self, customer: str, name: str) -> str:
        kind = self._profile.kinds[name]
        if not kind.prefixes:
            return ""
        if (customer, name) not in self._prefixes:
            # Prefixes depend on the seed only, not on the label, so they are the
            # same in every run.
            source = random.Random(f"{self._profile.seed} {customer} {name}")
            self._prefixes[customer, name] = [
                _make_text(source, kind.prefix_tokens) for _ in range(kind.prefixes)
            ]
        weights = [
            1 / (index + 1) ** kind.prefix_skew for index in range(kind.prefixes)
        ]
        return self._random.choices(self._prefixes[customer, name], weights)[0]

    def _make_prompt(self, customer: str, name: str, item: str) -> str:
        kind = self._profile.kinds[name]
        prefix = self._draw_prefix(customer, name)
        text = f"{prefix} {customer} {item} "
        missing = kind.prompt_tokens - answer.count_prompt_tokens(text)
        return text + _make_text(self._random, max(missing, 0))

    def _make_body(self, name: str, prompt: str, stream: bool) -> dict:
        kind = self._profile.kinds[name]
        body: dict = {"model": kind.target, "max_tokens": kind.answer_tokens}
        if kind.protocol == "chat":
            body["messages"] = [{"role": "user", "content": prompt}]
        else:
            body["prompt"] = prompt
        if stream:
            body["stream"] = True
        return body

    def _make_request(self, customer: Customer, name: str, due: float) -> Request:
        kind = self._profile.kinds[name]
        item = f"{self._label}-{next(self._request_numbers)}"
        request = Request(
            id=item,
            customer=customer.name,
            kind=name,
            protocol=kind.protocol,
            due=due,
            path=kind.target,
            body=b"",
            stream=False,
            expected=b"",
            finish_reason="",
            model="",
            prompt="",
            claims=kind.claims,
            place=self._random.random(),
        )
        if kind.protocol == "get":
            path = f"{kind.target}/labels/{item}.png"
            return request._replace(path=path, expected=answer.render_label(item))
        prompt = self._make_prompt(customer.name, name, item)
        if kind.protocol == "post":
            body = json.dumps({"id": item, "text": prompt}).encode()
            return request._replace(body=body, expected=answer.compute_digest(body))
        stream = self._random.random() < kind.streamed
        return self._complete_model_request(request, name, prompt, stream)

    def _complete_model_request(
        self, request: Request, name: str, prompt: str, stream: bool
    ) -> Request:
        document = self._make_body(name, prompt, stream)
        right = answer.compute_body_answer(document)
        chat = request.protocol == "chat"
        return request._replace(
            path="/v1/chat/completions" if chat else "/v1/completions",
            body=json.dumps(document).encode(),
            stream=stream,
            expected="".join(right.tokens),
            finish_reason=right.finish_reason,
            model=document["model"],
            prompt=answer.render_prompt(document),
        )

    def plan_jobs(self) -> list[Job]:
        """Return the batch jobs with their items."""
        return [
            self._make_job(number, job) for number, job in enumerate(self._profile.jobs)
        ]

    def _make_job(self, number: int, job: JobPlan) -> Job:
        name = f"{self._label}-job{number}"
        kind = self._profile.kinds[job.kind]
        chat = kind.protocol == "chat"
        items = []
        for index in range(job.items):
            item = f"{name}-{index}"
            fails = index >= job.items - job.failing
            marked = f"{item} {self._profile.fail_marker}" if fails else item
            prompt = self._make_prompt(job.customer, job.kind, marked)
            body = self._make_body(job.kind, prompt, stream=False)
            line = {
                "custom_id": item,
                "method": "POST",
                "url": "/v1/chat/completions" if chat else "/v1/completions",
                "body": body,
            }
            expected = "".join(answer.compute_body_answer(body).tokens)
            items.append(JobItem(item, line, expected, fails))
        return Job(name, job, items)
