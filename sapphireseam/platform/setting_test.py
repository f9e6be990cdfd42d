"""Test how the rendered settings are read and translated."""

import json
import tempfile
import unittest
from pathlib import Path

from sapphireseam.core import error
from sapphireseam.platform import control, setting

RENDERED = {
    "label": "storage-a-1",
    "ip": "10.1.0.10",
    "failure_domain": "a",
    "port": 7660,
    "seeds": ["10.1.0.10:8407", "10.2.0.42:8407"],
    "list_address": "10.200.0.60:8408",
    "is_first_start": True,
    "tolerated": 2,
    "slack_requests": 20,
    "slack_share": 0.1,
    "slack_window": 5,
    "trust_ms": 5000,
    "grace_s": 8,
    "keep_s": 300,
    "data_folder": "/data/control",
    "operator_address": "10.1.0.10:8407",
}


class SettingTest(unittest.TestCase):
    def read(self, document):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(document))
            return setting.read(path)

    def test_settings_of_a_control_vm_are_translated(self):
        translated = control.make_settings(self.read(RENDERED))
        self.assertEqual((translated.node, translated.address), ("10.1.0.10:7660",) * 2)
        self.assertEqual(
            [peer.address for peer in translated.peers],
            ["10.1.0.10:7660", "10.2.0.42:7660"],
        )
        self.assertEqual((translated.voters, translated.lot_seconds), (5, 300))
        self.assertEqual(translated.label, "storage-a-1")

    def test_only_some_contracts_let_entries_spread_the_load(self):
        for contracts, spreads in (([], False), (["base"], False), (["places"], True)):
            document = RENDERED | {"contracts": contracts}
            translated = control.make_settings(self.read(document))
            self.assertEqual(translated.spreads_load, spreads)

    def test_the_error_names_every_invalid_field(self):
        invalid = RENDERED | {"port": 0, "grace_s": "long"}
        with self.assertRaises(error.SettingsError) as caught:
            self.read(invalid)
        for name in ("port", "grace_s"):
            self.assertIn(name, caught.exception.message)

    def test_settings_that_no_process_can_use_are_refused(self):
        for odd in (
            {"tolerated": -1},
            {"trust_ms": "nan"},
            {"grace_s": "inf"},
            {"keep_s": -1},
        ):
            with self.assertRaises(error.SettingsError, msg=odd):
                self.read(RENDERED | odd)

    def test_a_file_that_cannot_be_read_is_an_error_of_the_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            for odd in (b"[" * 200_000, b"9" * 5000, b"\xff", b'{"label":"\\ud800"}'):
                path.write_bytes(odd)
                with self.assertRaises(error.SettingsError, msg=odd[:20]):
                    setting.read(path)

    def test_a_control_vm_needs_a_data_folder(self):
        settings = self.read(RENDERED | {"data_folder": None})
        with self.assertRaises(error.SettingsError):
            control.make_settings(settings)


if __name__ == "__main__":
    unittest.main()
