"""Settings of a node: the file, flags that override it, and error messages."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

import testtools

from stagewalk.cli.main import run
from stagewalk.common.errors import ErrorStep, StagewalkError
from stagewalk.common.identities import Address
from stagewalk.node.settings import Timing, load_node_settings

EXAMPLE = Path(__file__).parents[3] / "deployments" / "example-node.toml"


class NodeSettingsTest(testtools.TestCase):
    def error_of(self, old: str, new: str) -> StagewalkError:
        text = EXAMPLE.read_text()
        self.assertIn(old, text)
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text.replace(old, new, 1))
            file.flush()
            return load_node_settings(Path(file.name), {}).error

    def test_example_is_valid(self) -> None:
        settings = load_node_settings(EXAMPLE, {}).ok
        self.assertEqual(("advice-api-1", "hall-north"), (settings.name, settings.zone))
        self.assertEqual(Address("127.0.0.1", 8080), settings.listen)
        self.assertEqual("http://127.0.0.1:9001", settings.platform.log)

    def test_the_grace_period_is_positive_and_unlimited_if_it_is_not_set(self) -> None:
        self.assertEqual(60.0, load_node_settings(EXAMPLE, {}).ok.timing.stop_grace)
        self.assertIsNone(Timing().stop_grace)
        error = self.error_of("stop_grace = 60", "stop_grace = 0.0")
        self.assertIn("timing.stop_grace", str(error))

    def test_flags_override_the_file(self) -> None:
        overrides = {"name": "other", "listen": "[::1]:81", "platform.log": "http://10.0.0.1:1/"}
        settings = load_node_settings(EXAMPLE, overrides | {"zone": None}).ok
        self.assertEqual(("other", "hall-north"), (settings.name, settings.zone))
        self.assertEqual(Address("::1", 81), settings.listen)
        self.assertEqual("http://10.0.0.1:1", settings.platform.log)

    def test_peer_address_is_the_advertised_one_if_set(self) -> None:
        self.assertEqual(
            Address("127.0.0.1", 7946), load_node_settings(EXAMPLE, {}).ok.peer_address
        )
        translated = load_node_settings(EXAMPLE, {"peer_advertise": "10.0.0.9:1"}).ok
        self.assertEqual(Address("10.0.0.9", 1), translated.peer_address)
        self.assertEqual(Address("127.0.0.1", 7946), translated.peer_listen)

    def test_flags_without_a_file_are_sufficient(self) -> None:
        urls = {f"platform.{name}": "http://10.0.0.1:1" for name in
                ("log", "weights", "machines", "scorer")}  # fmt: skip
        overrides = {"name": "n", "region": "r", "zone": "z", "listen": "10.0.0.1:80",
                     "peer_listen": "10.0.0.1:81", **urls}  # fmt: skip
        self.assertEqual("n", load_node_settings(None, overrides).ok.name)

    def test_errors_name_the_field(self) -> None:
        listen = 'listen = "127.0.0.1:8080"'
        log = 'log = "http://127.0.0.1:9001"'
        cases = [
            (listen, 'listen = "localhost:8080"', "listen"),
            (listen, 'listen = "127.0.0.1"', "listen"),
            (listen, 'listen = "127.0.0.1:99999"', "listen"),
            (listen, 'listen = "127.0.0.1:8080/x"', "listen"),
            (listen, "listen = 8080", "listen"),
            ('peer_listen = "127.0.0.1:7946"', 'peer_listen = "0.0.0.0:7946"', "peer_listen"),
            (listen, f'{listen}\npeer_advertise = "here"', "peer_advertise"),
            (log, 'log = "http://log.example:9001"', "platform.log"),
            (log, 'log = "https://127.0.0.1:9001"', "platform.log"),
            (log, 'log = "127.0.0.1:9001"', "platform.log"),
            (log, "", "platform.log"),
            ('zone = "hall-north"', "", "zone"),
            ('zone = "hall-north"', 'zone = "a b"', "zone"),
            ('zone = "hall-north"', 'zone = "hall-north"\ncolour = "red"', "colour"),
            ("open_calls = 512", "open_calls = 0", "limits.open_calls"),
            ("open_calls = 512", "calls = 512", "limits.calls"),
            ('log_level = "info"', 'log_level = "loud"', "log_level"),
            ('name = "advice-api-1"', "name = ", "settings"),
        ]
        for old, new, field in cases:
            error = self.error_of(old, new)
            self.assertEqual((field, ErrorStep.SETTINGS), (error.field, error.step), new)

    def test_command_prints_one_line_and_exits_with_2(self) -> None:
        for arguments in (["--listen=somewhere:80", f"--settings={EXAMPLE}"],
                          ["--settings=/nowhere.toml"], ["--name=x"]):  # fmt: skip
            output = io.StringIO()
            with contextlib.redirect_stderr(output):
                self.assertEqual(2, run(["node", *arguments]))
            self.assertRegex(output.getvalue(), r"^stagewalk node: .*field=\w+: .*\n$")

    def test_wrong_flags_exit_with_2(self) -> None:
        for arguments in ([], ["nonsense"], ["node", "--nonsense"]):
            with contextlib.redirect_stderr(io.StringIO()):
                stopped = self.assertRaises(SystemExit, run, arguments)
            self.assertEqual(2, stopped.code)
