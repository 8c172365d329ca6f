"""The deployment files are valid and the state machine accepts their tenants."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from stagewalk.cli.config_files import load_desired_tenant
from stagewalk.node.configuration.outcomes import ChangeAccepted
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk_standins.demo.deployment import Deployment, load_deployment
from tests.node.configuration.records import create, publish

ROOT = Path(__file__).resolve().parents[2] / "deployments"
PARTNERS = {"amman": "archive", "thornfield": "thornfield"}


def load(name: str) -> Deployment:
    return load_deployment(ROOT / name / "deployment.toml").ok


def engine_count(deployment: Deployment) -> int:
    return sum(service.count for service in deployment.engine_services)


def node_count(deployment: Deployment) -> int:
    """Return the number of nodes: one for each caller worker and trainer."""
    services = (*deployment.caller_services, *deployment.trainer_services)
    return sum(service.count for service in services)


class DeploymentTest(testtools.TestCase):
    def test_tenants_of_each_deployment_are_accepted_together(self) -> None:
        for name in ("amman", "thornfield", "both", "two_year"):
            fold = ConfigurationStateMachine()
            for file in load(name).tenant_files:
                path = (ROOT / name / file).resolve()
                desired = load_desired_tenant(path, None).ok
                partner = PARTNERS[path.parents[1].name]
                record = create(desired.file.tenant, partner, 0, desired.parameters)
                self.assertEqual(ChangeAccepted(1), publish(fold, record), path)

    def test_counts_match_the_current_and_planned_deployments(self) -> None:
        counts = {name: engine_count(load(name)) for name in ("amman", "thornfield", "two_year")}
        self.assertEqual({"amman": 5, "thornfield": 6, "two_year": 600}, counts)
        plan = load("two_year")
        self.assertEqual((420, 7), (node_count(plan), sum(len(r.zones) for r in plan.regions)))
        steps = [s.prompts_per_step * s.samples_per_prompt for s in plan.trainer_services]
        self.assertEqual([4096, 4096], steps)
        self.assertEqual(3200.0, sum(s.requests_per_second for s in plan.caller_services))

    def test_validation_errors_name_the_field(self) -> None:
        text = (ROOT / "amman" / "deployment.toml").read_text()
        faults = {
            "engine_services[0].count": text.replace("count = 5", "count = 0"),
            "caller_services[0].region": text.replace('region = "amman"', 'region = "x"').replace(
                'region = "x"', 'region = "amman"', 1
            ),
            "trainer_services[0].model": '"qari-9"'.join(text.rsplit('"qari-2"', 1)),
            "colour": 'colour = "red"\n' + text,
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / "deployment.toml"
            for field, content in faults.items():
                path.write_text(content)
                self.assertEqual(field, load_deployment(path).error.field)
            path.write_text("= broken")
            self.assertIsNone(load_deployment(path).error.field)
            self.assertTrue(load_deployment(Path(folder) / "none.toml").is_error())
