"""Gateway settings are validated; an error names the invalid field."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from stagewalk.gateway.policy import Policy
from stagewalk.gateway.settings import load_gateway_settings

VALID = """
name = "n1"
region = "r1"
zone = "z1"
[listen]
front = "10.0.0.1:80"
readiness = "10.0.0.1:81"
directory = "10.0.0.1:82"
peers = "10.0.0.1:83"
[log]
address = "10.0.0.9:90"
[timing]
lease_quiet = 3000e-3
"""


class SettingsTests(testtools.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return load_gateway_settings(path)

    def test_valid_settings(self) -> None:
        settings = self.load(VALID).ok
        self.assertEqual(("10.0.0.1:83", 3.0), (str(settings.peers), settings.timing.lease_quiet))
        self.assertIsNone(settings.metrics)

    def test_every_policy_is_enabled_by_default(self) -> None:
        self.assertEqual(Policy(), self.load(VALID).ok.policy)
        changed = self.load(VALID + "[policy]\nmoves = false\n").ok.policy
        self.assertEqual(Policy(moves=False), changed)

    def test_errors_name_the_field(self) -> None:
        for old, new, field in (
            ('name = "n1"', "", "name"),
            ('front = "10.0.0.1:80"', 'front = "host:80"', "listen.front"),
            ("lease_quiet = 3000e-3", "lease_quiet = -1", "timing.lease_quiet"),
            ("[timing]", "[timing]\nunknown = 1", "timing.unknown"),
            ("[timing]", "[policy]\nmoves = 1\n[timing]", "policy.moves"),
            ("[timing]", "[policy]\nluck = true\n[timing]", "policy.luck"),
            ('address = "10.0.0.9:90"', "address = 7", "log.address"),
            ("[timing]", '[zones]\nz1 = "r2"\n[timing]', "zones.z1"),
            ("[timing]", "[zones]\nz2 = 7\n[timing]", "zones[...]"),
        ):
            error = self.load(VALID.replace(old, new)).error
            self.assertEqual(field, error.field)

    def test_the_regions_of_zones(self) -> None:
        self.assertEqual({}, self.load(VALID).ok.zones)
        zones = self.load(VALID + '[zones]\nz1 = "r1"\nz2 = "r2"\n').ok.zones
        self.assertEqual({"z1": "r1", "z2": "r2"}, zones)

    def test_the_memory_of_the_process_is_optional_and_positive(self) -> None:
        self.assertIsNone(self.load(VALID).ok.memory)
        self.assertEqual(200.0, self.load(VALID + "[memory]\nlimit_mb = 200\n").ok.memory.limit_mb)
        error = self.load(VALID + "[memory]\nlimit_mb = 0\n").error
        self.assertEqual("memory.limit_mb", error.field)

    def test_missing_and_malformed_files(self) -> None:
        self.assertTrue(load_gateway_settings(Path("/nowhere/x.toml")).is_error())
        self.assertTrue(self.load("= 1").is_error())
