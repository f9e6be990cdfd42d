"""Tests the load tool end to end: right runs pass, faulty upstreams are detected."""

import asyncio
import json
import unittest
from unittest import mock

from aiohttp import web

from sapphireseam.scripts import upstream
from sapphireseam.tools import answer, check, engine, job, load, plan
from sapphireseam.utils import timer

MODEL = "wording-llm"
FAST = engine.Speeds(
    max_running=32, step_base=0.0, step_per_sequence=0.0, prefill_per_token=0.0
)
KINDS = {
    "streamed": plan.RequestKind("chat", MODEL, streamed=1.0, answer_tokens=8),
    "whole": plan.RequestKind("completion", MODEL, answer_tokens=8),
    "image": plan.RequestKind("get", "/label-store"),
    "print": plan.RequestKind("post", "/label-store/print"),
    "item": plan.RequestKind("chat", MODEL, answer_tokens=8),
}


def make_profile(*kinds: str, **changes) -> plan.Profile:
    customer = plan.Customer("c", 1000, 1000, 200, dict.fromkeys(kinds, 1.0))
    return plan.Profile("test", 5, 0.2, KINDS, [customer])._replace(**changes)


class FaultyUpstream:
    """An upstream that answers chat requests with the fault named by `fault`."""

    def __init__(self, fault: str):
        self.fault = fault
        self.earlier: dict | None = None

    async def start(self):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self.serve)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.base = f"http://127.0.0.1:{self.runner.addresses[0][1]}"

    def choose_tokens(self, body):
        tokens = answer.compute_body_answer(body).tokens
        if self.fault == "cut":
            return tokens[:5]
        if self.fault == "doubled":
            return tokens[:5] + tokens[4:]
        if self.fault == "crossed" and self.earlier is not None:
            return answer.compute_body_answer(self.earlier).tokens
        return tokens

    async def serve(self, request):
        body = await request.json()
        tokens = self.choose_tokens(body)
        self.earlier = body
        if self.fault == "lost":
            request.transport.abort()
            return web.Response()
        response = web.StreamResponse()
        await response.prepare(request)
        for token in tokens:
            event = {"choices": [{"delta": {"content": token}}]}
            await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
        end = {"choices": [{"delta": {}, "finish_reason": "length"}]}
        await response.write(b"data: " + json.dumps(end).encode() + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        return response


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind: str) -> str:
        settings = upstream.Settings(
            "u", kind, 0, models=[MODEL], speeds=FAST, service_seconds=0.0
        )
        part = upstream.build_part(settings, timer.SystemTimer())
        await part.start()
        self.addAsyncCleanup(part.stop)
        return f"http://127.0.0.1:{part.listener.port}"

    async def drive(self, base: str, profile: plan.Profile, **changes) -> dict:
        target = load.Target([base])._replace(**changes)
        return await load.run_load(profile, target, timer.SystemTimer())

    async def test_right_answers_pass(self):
        for kind, names in (
            ("engine", ("streamed", "whole")),
            ("service", ("image", "print")),
        ):
            with self.subTest(kind=kind):
                base = await self.open(kind)
                profile = make_profile(*names)
                report = await self.drive(base, profile, upstreams=[base])
                self.assertEqual(list(report["verdicts"]), ["right"])
                self.assertEqual(report["faults"], 0, report["runs"])
                self.assertEqual(report["worst_of_fair_share"], 1.0)
                json.dumps(report)

    async def test_each_fault_is_detected(self):
        for fault in ("cut", "doubled", "crossed", "lost"):
            with self.subTest(fault=fault):
                faulty = FaultyUpstream(fault)
                await faulty.start()
                self.addAsyncCleanup(faulty.runner.cleanup)
                report = await self.drive(faulty.base, make_profile("streamed"))
                wrong = report["verdicts"].get(fault, 0)
                sent = sum(report["verdicts"].values())
                # The first answer has no earlier one to be crossed with.
                self.assertGreaterEqual(wrong, sent - 1)
                self.assertGreater(sent, 10)
                self.assertGreaterEqual(report["faults"], wrong)

    async def test_faulty_upstream_without_a_fault_passes(self):
        faulty = FaultyUpstream("")
        await faulty.start()
        self.addAsyncCleanup(faulty.runner.cleanup)
        report = await self.drive(faulty.base, make_profile("streamed"))
        self.assertEqual(report["faults"], 0)

    async def test_doubled_run_behind_one_answer_is_detected(self):
        base = await self.open("service")

        async def send_twice(request):
            data = await request.read()
            async with load.aiohttp.ClientSession(base) as session:
                for _ in range(2):
                    async with session.post(request.path, data=data) as response:
                        body = await response.read()
            return web.Response(body=body, content_type="application/json")

        app = web.Application()
        app.router.add_post("/{path:.*}", send_twice)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        doubling = f"http://127.0.0.1:{runner.addresses[0][1]}"
        profile = make_profile("print")
        report = await self.drive(doubling, profile, upstreams=[base])
        self.assertEqual(list(report["verdicts"]), ["right"])
        self.assertEqual(report["faults"], report["verdicts"]["right"])

    async def test_comparison_of_one_upstream_with_itself(self):
        base = await self.open("engine")
        target = load.Target([base], upstreams=[base])
        report = await load.run_comparison(
            make_profile("streamed"), target, target, 2, timer.SystemTimer()
        )
        self.assertEqual(report["faults"], 0, report["findings"])
        counts = [report[side]["requests"] for side in ("direct", "through")]
        self.assertEqual(counts[0], counts[1])
        self.assertIn("all first token p99", report["ratios"])


class PlanTest(unittest.TestCase):
    def test_same_seed_same_requests_and_labels_differ_in_ids_only(self):
        profile = make_profile("streamed", "whole", "image")
        first = plan.Planner(profile, "a").plan_requests(1.0)
        self.assertEqual(first, plan.Planner(profile, "a").plan_requests(1.0))
        second = plan.Planner(profile, "b").plan_requests(1.0)
        same = [(item.due, item.kind, item.stream) for item in first]
        self.assertEqual(same, [(item.due, item.kind, item.stream) for item in second])
        self.assertFalse({item.id for item in first} & {item.id for item in second})

    def test_bunch_multiplies_the_arrivals(self):
        bunch = plan.Bunch(period=10.0, length=2.0, factor=4.0)
        profile = make_profile("whole", bunch=bunch)
        dues = [item.due for item in plan.Planner(profile).plan_requests(20.0)]
        inside = sum(1 for due in dues if due % 10 < 2)
        rate_inside, rate_outside = inside / 4, (len(dues) - inside) / 16
        self.assertAlmostEqual(rate_inside / rate_outside, 4.0, delta=0.5)

    def test_every_unknown_reference_is_reported(self):
        jobs = [plan.JobPlan("nobody", "nothing", 1, 1.0)]
        jobs.append(plan.JobPlan("c", "image", 1, 1.0))
        profile = make_profile("whole", "missing", jobs=jobs)
        self.assertEqual(len(plan.find_errors(profile)), 4)


class JobLinesTest(unittest.TestCase):
    def setUp(self):
        jobs = [plan.JobPlan("c", "item", 6, 60.0, failing=1)]
        profile = make_profile("whole", jobs=jobs)
        (self.job,) = plan.Planner(profile).plan_jobs()
        self.lines = [self.make_line(item, item.expected) for item in self.job.items]
        self.lines[5] = {"custom_id": self.job.items[5].id, "error": {"code": "x"}}

    def make_line(self, item, content):
        body = {"choices": [{"message": {"content": content}}]}
        response = {"status_code": 200, "body": body}
        return {"custom_id": item.id, "response": response, "error": None}

    def check(self):
        lines = [json.dumps(line).encode() for line in self.lines]
        result = job.JobResult("j", "c", True, "completed", 6)
        return job.check_lines(self.job, lines, result)

    def test_right_results_pass(self):
        result = self.check()
        self.assertEqual((result.right, result.faults), (5, 0))
        self.assertEqual(result.failed, [self.job.items[5].id])

    def test_each_fault_is_detected(self):
        first, second = self.job.items[:2]
        crossed = self.make_line(first, second.expected)
        failed = {"custom_id": first.id, "error": {"code": "x"}}
        unknown = {**self.lines[0], "custom_id": "of another job"}
        cut = self.make_line(first, first.expected[:10])
        completed = self.make_line(self.job.items[5], self.job.items[5].expected)
        for field, lines in (
            ("lost", self.lines[1:]),
            ("doubled", [*self.lines, self.lines[0]]),
            ("wrong", [crossed, *self.lines[1:]]),
            ("wrong", [failed, *self.lines[1:]]),
            ("wrong", [*self.lines, unknown]),
            ("wrong", [cut, *self.lines[1:]]),
            ("wrong", [*self.lines[:5], completed]),
        ):
            with self.subTest(field=field, first=lines[0]["custom_id"]):
                self.lines, original_lines = lines, self.lines
                result = self.check()
                self.lines = original_lines
                self.assertEqual(len(getattr(result, field)), 1)
                self.assertEqual(result.faults, 1)

    def test_unaccepted_job_must_not_have_run(self):
        body = self.job.items[0].line["body"]
        name = answer.compute_fingerprint(MODEL, answer.render_prompt(body))
        runs = [{name: {"started": 1}}]
        self.assertEqual(len(check.check_unaccepted(self.job, runs)), 1)
        self.assertEqual(check.check_unaccepted(self.job, [{}]), [])


class BatchWindowTest(unittest.TestCase):
    def test_counts_only_tokens_generated_while_jobs_ran(self):
        profile = make_profile("whole")
        request, *_ = plan.Planner(profile).plan_requests(1.0)
        outcomes = [
            check.Outcome(request, load.client.Reply(0.0, 0.0, last), verdict)
            for last, verdict in (
                (9.0, check.Verdict.RIGHT),
                (11.0, check.Verdict.RIGHT),
                (13.0, check.Verdict.CUT),
                (21.0, check.Verdict.RIGHT),
            )
        ]
        first = job.JobResult("a", "c", True, began=10.0, seconds=4.0, tokens=60)
        last = job.JobResult("b", "c", True, began=12.0, seconds=8.0, tokens=32)
        refused = job.JobResult("d", "c", False, tokens=1000)
        found = load.summarize_batch(outcomes, [first, last, refused])
        self.assertEqual(found["window_seconds"], 10.0)
        self.assertEqual((found["batch_tokens"], found["online_tokens"]), (92, 8))
        self.assertEqual(found["tokens_per_second"], 10.0)
        self.assertEqual(load.summarize_batch(outcomes, [refused]), {})


class JobClientTest(unittest.IsolatedAsyncioTestCase):
    """Runs a job against a small batch server that can misbehave."""

    async def serve(self, fault: str) -> str:
        self.fault = fault
        self.reads = 0
        self.files: dict[str, bytes] = {}
        self.batches: dict[str, dict] = {}
        app = web.Application()
        app.router.add_post("/v1/files", self.create_file)
        app.router.add_post("/v1/batches", self.create_batch)
        app.router.add_get("/v1/batches/{id}", self.get_batch)
        app.router.add_get("/v1/files/{id}/content", self.get_file_content)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def create_file(self, request):
        form = await request.post()
        name = f"file-{len(self.files)}"
        self.files[name] = form["file"].file.read()
        return web.json_response({"id": name})

    async def create_batch(self, request):
        body = await request.json()
        key = request.headers["Idempotency-Key"]
        if self.fault == "second job":
            key += str(len(self.batches))
        if key not in self.batches:
            lines = self.files[body["input_file_id"]].splitlines()
            output = [self.answer(json.loads(line)) for line in lines]
            if self.fault == "lost item":
                output.pop()
            self.files["out"] = b"\n".join(output)
            self.batches[key] = {
                "id": f"batch-{len(self.batches)}",
                "status": "completed",
                "output_file_id": "out",
            }
        return web.json_response(self.batches[key])

    def answer(self, line):
        tokens = answer.compute_body_answer(line["body"]).tokens
        body = {"choices": [{"message": {"content": "".join(tokens)}}]}
        response = {"status_code": 200, "body": body}
        return json.dumps(
            {"custom_id": line["custom_id"], "response": response}
        ).encode()

    async def get_batch(self, request):
        (batch,) = self.batches.values()
        return web.json_response(batch)

    async def get_file_content(self, request):
        self.reads += 1
        refused_reads = {"results refused once": 1, "results refused": 100}
        if self.reads <= refused_reads.get(self.fault, 0):
            return web.json_response({"error": {"code": "not_leader"}}, status=503)
        return web.Response(body=self.files[request.match_info["id"]])

    async def test_faults_are_detected_and_a_right_job_passes(self):
        jobs = [plan.JobPlan("c", "item", 4, 60.0)]
        for fault, faults in (
            ("", 0),
            ("second job", 1),
            ("lost item", 1),
            ("results refused once", 0),
            ("results refused", 5),
        ):
            with (
                self.subTest(fault=fault),
                mock.patch.object(job, "ACCEPT_SECONDS", 1.0),
            ):
                base = await self.serve(fault)
                profile = make_profile(jobs=jobs)
                profile = profile._replace(
                    customers=[plan.Customer("c", 1.0, 1.0, 0.0, {})]
                )
                target = load.Target([base])
                async with asyncio.timeout(60):
                    report = await load.run_load(profile, target, timer.SystemTimer())
                self.assertEqual(report["faults"], faults, report["jobs"])
                self.assertTrue(report["jobs"][0]["accepted"])
