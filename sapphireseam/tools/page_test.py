import json
import re
import shlex
import tomllib
import unittest

import typer

from sapphireseam.core import error, fleet
from sapphireseam.scripts import ctl
from sapphireseam.tools import page

ROOT = page.ROOT
PAGES = sorted(
    path
    for path in [
        *ROOT.glob("*.md"),
        *(ROOT / "docs").rglob("*.md"),
        *(ROOT / "examples").rglob("*.md"),
    ]
)


def find_anchors(text):
    """Return the anchors of a page's headings."""
    headings = re.findall(r"^#+ (.+)$", text, re.MULTILINE)
    return {re.sub(r"[^\w -]", "", h).lower().replace(" ", "-") for h in headings}


def list_commands(text):
    """Return the words after seam-ctl wherever a page names a command of it."""
    lines = [line.split(" #")[0] for line in re.findall(r"^    (.*)$", text, re.M)]
    lines += re.findall(r"`([^`]+)`", text)
    found = []
    for line in lines:
        match = re.search(r"(?:^|[ /`])seam-ctl ((?:[^|>&;`]|\\\n)+)", line)
        if match:
            found.append(shlex.split(match[1].rstrip("\\")))
    return found


class PageTest(unittest.TestCase):
    def test_generated_parts_match_the_code(self):
        for path in page.DOCS.glob("*.md"):
            with self.subTest(path.name):
                text = path.read_text()
                self.assertEqual(page.fill(text), text)

    def test_every_error_kind_is_explained(self):
        self.assertEqual(set(page.MEANINGS), set(error.Kind))

    def test_relative_links_resolve(self):
        for path in PAGES:
            text = path.read_text()
            for target in re.findall(r"\]\(([^)\s]+)\)", text):
                if re.match(r"[a-z]+:", target):
                    continue
                file, _, anchor = target.partition("#")
                with self.subTest(page=path.name, link=target):
                    other = path.parent / file if file else path
                    self.assertTrue(other.exists())
                    if anchor:
                        self.assertIn(anchor, find_anchors(other.read_text()))

    def test_programs_on_the_pages_exist(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        for path in PAGES:
            with self.subTest(path.name):
                named = set(re.findall(r"(?<![\w.-])seam-[a-z]+\b", path.read_text()))
                self.assertLessEqual(named, set(project["scripts"]))

    def test_commands_of_seam_ctl_on_the_pages_exist_with_their_options(self):
        root = typer.main.get_command(ctl.app)
        count = 0
        for path in PAGES:
            for words in list_commands(path.read_text()):
                with self.subTest(page=path.name, command=" ".join(words)):
                    self.check_command(root, words)
                    count += 1
        self.assertGreater(count, 20)

    def check_command(self, command, words):
        for word in words:
            if word.startswith("--"):
                options = {name for p in command.params for name in p.opts}
                self.assertIn(word, options | {"--help"})
            elif hasattr(command, "commands"):
                self.assertIn(word, command.commands)
                command = command.commands[word]


class ConfigurationPageTest(unittest.TestCase):
    def setUp(self):
        self.text = (page.DOCS / "CONFIGURATION.md").read_text()

    def find_section(self, name):
        found = re.search(rf"^### {name}$(.*?)(?=^##)", self.text, re.M | re.S)
        self.assertIsNotNone(found, name)
        return found[1]

    def test_page_has_exactly_the_fields_of_each_object_and_their_defaults(self):
        kinds = {
            "failure_domains": fleet.FailureDomain,
            "contracts": fleet.Contract,
            "customers": fleet.Customer,
            "models": fleet.Model,
            "versions": fleet.Version,
            "routes": fleet.Route,
            "upstreams": fleet.Upstream,
            "services": fleet.Service,
            "bounds": fleet.Bounds,
            "policy": fleet.Policy,
        }
        self.assertEqual(set(kinds), set(fleet.Fleet._fields))
        for name, kind in kinds.items():
            with self.subTest(name):
                rows = re.findall(
                    r"^\| `(\w+)` \| .*? \| (?:`(.*?)`|required) \| ",
                    self.find_section(name),
                    re.M,
                )
                self.assertEqual(tuple(row[0] for row in rows), kind._fields)
                for field, shown in rows:
                    default = kind._field_defaults.get(field)
                    self.assertEqual(shown, render_default(default), field)

    def test_examples_on_the_page_parse(self):
        for name in fleet.Fleet._fields:
            with self.subTest(name):
                section = self.find_section(name)
                block = "\n".join(re.findall(r"^    (.*)$", section, re.M))
                document = json.loads("{" + block + "}")
                if name not in ("bounds", "policy"):
                    document = {name: document}
                parsed, findings = fleet.parse(document)
                self.assertIsNotNone(parsed, findings)


def render_default(value):
    """Return a default as the page shows it; empty for none."""
    if value is None:
        return ""
    if isinstance(value, str):
        return value or '""'
    return json.dumps(value)


if __name__ == "__main__":
    unittest.main()
