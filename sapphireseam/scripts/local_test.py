"""Test the operators' commands as processes against a whole local fleet."""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

from sapphireseam.utils import metric

BINARIES = pathlib.Path(sys.executable).parent
# Time limit of one command; it only ends a test that hangs.
TIMEOUT_SECONDS = 120


class CommandLineTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = pathlib.Path(folder.name)
        cls.fleet = subprocess.Popen(
            [BINARIES / "seam-local", "--folder", cls.folder / "fleet"],
            stdout=subprocess.PIPE,
            text=True,
        )
        cls.addClassCleanup(cls.stop_fleet)
        cls.output = ""
        for line in cls.fleet.stdout:
            cls.output += line
            if line.startswith("Ctrl-C"):
                break

    @classmethod
    def stop_fleet(cls):
        cls.fleet.send_signal(signal.SIGINT)
        code = cls.fleet.wait(TIMEOUT_SECONDS)
        cls.fleet.stdout.close()
        assert code == 0, f"seam-local ended with {code}"

    def run_ctl(self, *arguments, code=0, typed=""):
        settings = self.folder / "fleet" / "operator.json"
        environment = {**os.environ, "SEAM_SETTINGS": str(settings)}
        done = subprocess.run(
            [BINARIES / "seam-ctl", *arguments],
            env=environment,
            input=typed,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        self.assertEqual(done.returncode, code, done.stdout + done.stderr)
        self.assertNotIn("Traceback", done.stderr)
        return done

    def test_instructions_show_how_to_call_the_fleet(self):
        for part in ("curl http://", "Authorization: Bearer seam-", "seam-ctl"):
            self.assertIn(part, self.output)

    def call_streamed(self):
        """Make a caller's streamed request and read it to its end."""
        url = re.search(r"curl (\S+)", self.output)[1]
        key = re.search(r"Bearer ([^']+)", self.output)[1]
        body = {
            "model": "wording-llm",
            "messages": [{"role": "user", "content": "oats"}],
            "max_tokens": 2,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {key}"}
        request = urllib.request.Request(url, json.dumps(body).encode(), headers)
        with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as answer:
            self.assertTrue(answer.read().strip().endswith(b"[DONE]"))

    def scrape(self):
        """Return the labels of each sample by metric name."""
        settings = json.loads((self.folder / "fleet" / "entry-1.json").read_text())
        url = f"http://{settings['probe']}/metrics"
        with urllib.request.urlopen(url, timeout=TIMEOUT_SECONDS) as answer:
            lines = answer.read().decode().splitlines()
        found = {}
        for line in lines:
            sample = re.fullmatch(r"(\w+)\{(.*)\} \S+", line)
            if sample:
                labels = dict(re.findall(r'(\w+)="([^"]*)"', sample[2]))
                found.setdefault(sample[1], []).append(labels)
        return found

    def test_every_listed_metric_is_scraped_with_its_labels(self):
        self.call_streamed()
        found = self.scrape()
        kinds = {
            "control": "seam-control",
            "entry": "seam-entry",
            "agent": "seam-agent",
        }
        # A local fleet lists its upstreams; control.meter_test has the others.
        expected = [item for item in metric.METRICS if not item.is_discovery]
        for item in expected:
            with self.subTest(item.name):
                name = item.get_exported_name()
                if item.form is metric.Form.HISTOGRAM:
                    name += "_count"
                samples = found[name]
                self.assertEqual(set(samples[0]), {"node", *item.labels})
                programs = {kinds[s["node"].split("-")[0]] for s in samples}
                self.assertEqual(programs, set(item.programs))
        listed = {item.get_exported_name() for item in expected}
        ours = {re.sub(r"_(count|sum|bucket)$", "", n) for n in found if "seam_" in n}
        self.assertEqual(ours, listed)

    def test_no_io_uring_is_open(self):
        folder = pathlib.Path(f"/proc/{self.fleet.pid}/fd")
        targets = [os.readlink(item) for item in folder.iterdir()]
        self.assertFalse([item for item in targets if "io_uring" in item])

    def test_stale_publish_is_refused_and_changes_nothing(self):
        first, second = self.folder / "first.json", self.folder / "second.json"
        for path in (first, second):
            self.run_ctl("show", "--output", path)
        for path, rate in ((first, 70.0), (second, 80.0)):
            document = json.loads(path.read_text())
            document["contracts"]["standard"]["rate"] = rate
            path.write_text(json.dumps(document))
        declined = self.run_ctl("publish", first, typed="n\n", code=1)
        self.assertIn("contracts.standard.rate", declined.stdout)
        self.run_ctl("publish", first, typed="y\n")
        refused = self.run_ctl("publish", second, "--yes", code=1)
        self.assertIn("seam-ctl diff", refused.stderr)
        in_force = json.loads(self.run_ctl("show").stdout)
        self.assertEqual(in_force["contracts"]["standard"]["rate"], 70.0)
        self.run_ctl("rollback", "1", "--yes")
        in_force = json.loads(self.run_ctl("show").stdout)
        self.assertEqual(in_force["contracts"]["standard"]["rate"], 100.0)

    def test_same_request_id_publishes_once(self):
        path = self.folder / "again.json"
        self.run_ctl("show", "--output", path)
        document = json.loads(path.read_text())
        document["policy"] = {"queue_limit": 99}
        path.write_text(json.dumps(document))
        base = path.with_name("again.json.base").read_text().strip()
        command = ("publish", path, "--base", base, "--request-id", "p-1", "--yes")
        printed = [self.run_ctl(*command).stdout for _ in range(2)]
        self.assertEqual(printed[0], printed[1])

    def test_findings_are_all_listed_and_exit_with_three(self):
        path = self.folder / "bad.json"
        self.run_ctl("show", "--output", path)
        document = json.loads(path.read_text())
        document["models"]["wording-llm"]["version"] = "gone"
        document["customers"]["grower-1"]["contract"] = "gone"
        path.write_text(json.dumps(document))
        for command in ("check", "publish"):
            done = self.run_ctl(command, path, code=3)
            self.assertIn("models.wording-llm.version", done.stdout)
            self.assertIn("customers.grower-1.contract", done.stdout)

    def test_check_lists_changes_and_warnings_and_works_offline(self):
        path = self.folder / "checked.json"
        self.run_ctl("show", "--output", path)
        self.assertIn("no difference", self.run_ctl("check", path).stdout)
        document = json.loads(path.read_text())
        document["contracts"]["spare"] = {"rate": 1, "burst": 1}
        path.write_text(json.dumps(document))
        done = self.run_ctl("check", path)
        self.assertIn("[unused-contract]", done.stdout)
        self.assertIn("(added): customers may have it", done.stdout)
        found = json.loads(self.run_ctl("check", path, "--json").stdout)
        self.assertEqual(found["findings"][0]["severity"], "warning")
        self.assertEqual(found["changes"][0]["source"], "contracts.spare")
        self.run_ctl("check", path, "--strict", code=5)
        offline = self.run_ctl("check", path, "--offline")
        self.assertIn("not compared", offline.stderr)
        cut_off = ("--control", "127.0.0.1:1", "check", path)
        self.assertIn("not compared", self.run_ctl(*cut_off, code=4).stderr)

    def test_key_text_is_shown_once_on_standard_output_only(self):
        issued = self.run_ctl("key", "issue", "grower-2")
        text = issued.stdout.strip()
        secret = text.split("-", 2)[2]
        self.assertNotIn(secret, issued.stderr)
        listed = self.run_ctl("key", "list", "--json").stdout
        events = self.run_ctl("timeline", "--json").stdout
        log = (self.folder / "fleet" / "local.log").read_text()
        for output in (listed, events, log):
            self.assertNotIn(secret, output)
        key_id = text.split("-", 2)[1]
        self.run_ctl("key", "withdraw", key_id, "--yes")
        rows = json.loads(self.run_ctl("key", "list", "--json").stdout)
        self.assertTrue(next(r["withdrawn"] for r in rows if r["id"] == key_id))

    def test_drained_upstream_is_in_status_until_undrained(self):
        self.run_ctl("drain", "upstream", "nowhere", "--yes", code=1)
        self.run_ctl("drain", "upstream", "label-store-1", "--yes")
        found = json.loads(self.run_ctl("status", "--json").stdout)
        self.assertEqual(found["leaving"], ["label-store-1"])
        self.run_ctl("undrain", "upstream", "label-store-1")
        found = json.loads(self.run_ctl("status", "--json").stdout)
        self.assertEqual(found["leaving"], [])
        self.assertTrue(found["leader"])
        self.assertEqual((found["upstreams"], found["agents"]), (2, 2))

    def test_evacuated_domain_is_in_status_until_it_is_readmitted(self):
        found = json.loads(self.run_ctl("show").stdout)
        upstream = found["upstreams"]["label-store-1"]
        domain = upstream["failure_domain"]
        self.run_ctl("evacuate", "nowhere", "--yes", code=1)
        refused = self.run_ctl("evacuate", domain, "--yes", code=1)
        self.assertIn("no upstream would be left of", refused.stderr)
        for _ in range(2):
            self.run_ctl("evacuate", domain, "--yes", "--force")
        found = json.loads(self.run_ctl("status", "--json").stdout)
        self.assertEqual([row["domain"] for row in found["evacuations"]], [domain])
        self.assertIn(domain, self.run_ctl("status").stdout)
        self.run_ctl("readmit", domain)
        found = json.loads(self.run_ctl("status", "--json").stdout)
        self.assertEqual((found["evacuations"], found["cold"]), ([], []))

    def test_order_is_carried_out_and_listed_as_done(self):
        self.run_ctl("order", "give", "nowhere", "load", "x", "--yes", code=1)
        command = ("order", "give", "wording-llm-1", "load", "wording-llm-2")
        self.run_ctl(*command, typed="n\n", code=1)
        self.run_ctl(*command, "--yes")
        states = set()
        end = time.monotonic() + TIMEOUT_SECONDS
        while states != {"done"} and time.monotonic() < end:
            listed = self.run_ctl("order", "list", "--json").stdout
            states = {row["state"] for row in json.loads(listed)}
        self.assertEqual(states, {"done"})

    def test_wrong_operator_key_is_refused_with_advice(self):
        path = self.folder / "wrong-key"
        path.write_text("wrong\n")
        done = self.run_ctl("--operator-key-file", path, "history", code=1)
        self.assertIn("operator key", done.stderr)

    def test_unreachable_control_exits_with_four(self):
        done = self.run_ctl("--control", "127.0.0.1:9", "status", code=4)
        self.assertIn("--control", done.stderr)


if __name__ == "__main__":
    unittest.main()
