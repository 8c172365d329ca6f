"""Tests `stagewalk config`: publishing, reported outcomes and late nodes."""

from __future__ import annotations

import argparse
import base64
import contextlib
import io
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from stagewalk.cli import config
from stagewalk.cli.config_log import LogSession
from tests.cli.log_stub import LogStub

DEPLOYMENTS = Path(__file__).resolve().parents[2] / "deployments"
CATALOGUE = str(DEPLOYMENTS / "amman" / "tenants" / "catalogue.toml")
ARCHIVE = ("--operator=layla", "--partner=archive")


class ConfigCommandTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = LogStub()
        self.addCleanup(self.log.close)
        self.folder = Path(self.enterContext(TemporaryDirectory()))
        self.output = ""

    def run_command(self, *words: str) -> int:
        parser = argparse.ArgumentParser()
        config.add_flags(parser)
        written = io.StringIO()
        with contextlib.redirect_stdout(written), contextlib.redirect_stderr(written):
            exit_code = config.run(parser.parse_args(words))
        self.output = written.getvalue()
        return exit_code

    def run_on_log(self, *words: str) -> int:
        return self.run_command(*words, f"--log={self.log.url}", "--timeout_seconds=10")

    def publish(self, file: str = CATALOGUE, *flags: str) -> int:
        return self.run_on_log("publish", file, *ARCHIVE, *flags)

    def write_change(self, **values: object) -> str:
        path = self.folder / "change.toml"
        lines = [f"{key} = {value}" for key, value in values.items()]
        head = 'tenant = "catalogue"\ntemplate = "public-catalogue"\n[parameters]\n'
        path.write_text(head + "\n".join(lines))
        templates = self.folder / "templates"
        templates.mkdir(exist_ok=True)
        source = DEPLOYMENTS / "amman" / "templates" / "public-catalogue.toml"
        (templates / source.name).write_bytes(source.read_bytes())
        return str(path)

    def records(self) -> int:
        return len(self.log.streams.get("configuration", []))

    def test_validate_names_file_and_field(self) -> None:
        self.assertEqual(0, self.run_command("validate", CATALOGUE))
        self.assertEqual(1, self.run_command("validate", self.write_change(capacity_share=1.5)))
        self.assertIn("field=parameters.capacity_share", self.output)
        self.assertEqual(1, self.run_command("validate", self.write_change(colour='"red"')))
        self.assertIn("field=parameters.colour", self.output)
        self.assertEqual(1, self.run_command("validate", str(self.folder / "none.toml")))
        path = Path(self.write_change())
        path.write_text(path.read_text().replace("public-catalogue", "no-such"))
        self.assertEqual(1, self.run_command("validate", str(path)))
        self.assertIn("field=template", self.output)

    def test_publish_creates_then_changes(self) -> None:
        self.assertEqual(0, self.publish())
        self.assertIn("accepted revision=1 tenant=catalogue offset=0", self.output)
        self.assertEqual(0, self.publish(self.write_change(staleness_bound_versions=3)))
        self.assertIn("accepted revision=2", self.output)

    def test_a_rejection_names_reason_and_field(self) -> None:
        self.publish()
        self.assertEqual(1, self.publish(CATALOGUE, "--base_revision=0"))
        self.assertIn("rejected reason=stale_revision field=base_revision", self.output)
        foreign = ("--operator=sam", "--partner=thornfield")
        self.assertEqual(1, self.run_on_log("delete", "catalogue", *foreign))
        self.assertIn("rejected reason=not_owner field=partner", self.output)

    def test_an_invalid_file_never_reaches_the_log(self) -> None:
        self.assertEqual(1, self.publish(self.write_change(models=[])))
        self.assertEqual(0, self.records())

    def test_flags_are_checked_before_anything_is_published(self) -> None:
        self.assertEqual(2, self.publish(CATALOGUE, "--wait"))
        self.assertIn("--wait needs --nodes", self.output)
        for flag in ("--operator=a b", "--nodes=127.0.0.1:80", "--nodes=http://[::", "--log="):
            error = self.assertRaises(SystemExit, self.publish, CATALOGUE, flag)
            self.assertEqual(2, error.code)
        self.assertEqual(0, self.records())

    def test_a_lost_answer_is_resolved_by_reading_the_log(self) -> None:
        self.log.lose_answers = 1
        self.assertEqual(0, self.publish())
        self.assertIn("accepted revision=1", self.output)
        self.assertEqual(1, self.records())

    def test_an_append_that_failed_without_effect_is_sent_again(self) -> None:
        self.log.refuse = 1
        self.assertEqual(0, self.publish())
        self.assertEqual(1, self.records())

    def test_a_log_that_is_down_is_reported(self) -> None:
        self.log.down = True
        flags = (*ARCHIVE, f"--log={self.log.url}", "--timeout_seconds=0.5")
        self.assertEqual(2, self.run_command("publish", CATALOGUE, *flags))
        self.assertIn("unreachable at step=log_read", self.output)
        self.assertIn("ran=no", self.output)

    def test_rollback_and_delete_are_revisions_and_history_shows_all(self) -> None:
        self.publish()
        self.publish(self.write_change(staleness_bound_versions=3))
        self.assertEqual(0, self.run_on_log("rollback", "catalogue", *ARCHIVE))
        self.assertEqual(0, self.run_on_log("diff", CATALOGUE))
        self.assertEqual(0, self.run_on_log("delete", "catalogue", *ARCHIVE))
        self.assertEqual(1, self.run_on_log("rollback", "catalogue", *ARCHIVE))
        self.assertEqual(0, self.run_on_log("history", "--tenant=catalogue"))
        lines = self.output.splitlines()
        self.assertEqual(5, len(lines))
        self.assertIn("kind=roll_back tenant=catalogue accepted revision=3", lines[2])
        self.assertIn("rejected reason=unknown_tenant", lines[4])

    def test_diff_shows_what_would_change(self) -> None:
        self.publish()
        change = self.write_change(staleness_bound_versions=3)
        self.assertEqual(1, self.run_on_log("diff", change))
        expected = ["- staleness_bound_versions = 1", "+ staleness_bound_versions = 3"]
        self.assertEqual(expected, self.output.splitlines())

    def test_waiting_and_status_report_late_nodes(self) -> None:
        self.log.status = {
            "name": "node-a",
            "configuration_offset": 1,
            "configuration_digest": "",
            "configuration_offsets": {"node-a": 1, "node-b": 1, "node-c": 1},
        }
        nodes = f"--nodes={self.log.url}"
        self.assertEqual(0, self.publish(CATALOGUE, "--wait", nodes))
        self.assertIn("in_force nodes=3", self.output)
        self.log.status["configuration_offset"] = 2
        self.log.status["configuration_offsets"]["node-b"] = 2
        flags = (*ARCHIVE, f"--log={self.log.url}", "--timeout_seconds=2", "--wait", nodes)
        self.assertEqual(2, self.run_command("publish", CATALOGUE, *flags))
        self.assertIn("node=node-c state=late offset=1", self.output)
        self.assertNotIn("node=node-b", self.output)
        self.assertEqual(2, self.run_on_log("status", nodes))
        self.assertIn("node=node-b state=in_force offset=2", self.output)

    def test_status_reports_a_node_with_another_state(self) -> None:
        self.log.status = {
            "name": "node-a",
            "configuration_offset": 0,
            "configuration_digest": "other",
        }
        self.assertEqual(2, self.run_on_log("status", f"--nodes={self.log.url}"))
        self.assertIn("node=node-a holds another state", self.output)
        self.assertEqual(2, self.run_on_log("status", "--nodes=http://127.0.0.1:9"))
        self.assertIn("state=unreachable", self.output)

    def test_a_session_starts_from_the_latest_snapshot(self) -> None:
        self.publish()
        first = LogSession(self.log.url, "", 10.0)
        self.addCleanup(first.close)
        first.catch_up()
        payload = base64.b64encode(first.fold.snapshot()).decode()
        snapshot = {"offset": 0, "record_id": "s", "payload": payload}
        self.log.streams["configuration-snapshots"] = [snapshot]
        self.log.streams["configuration"][0]["payload"] = ""
        self.assertEqual(0, self.publish())
        self.assertIn("accepted revision=2", self.output)
