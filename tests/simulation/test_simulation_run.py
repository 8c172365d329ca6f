"""The product keeps every promise in short runs with many faults, and runs are reproducible."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from stagewalk.cli.sim import read_report
from stagewalk.history.check import EXIT_CLEAN, EXIT_VIOLATION
from stagewalk.history.check import main as check_main
from stagewalk.simulation.faults import FaultLevel
from stagewalk.simulation.simulation_run import SimulationArguments, run_simulation

ROOT = Path(__file__).resolve().parents[2]
STORMS = (("amman", 5), ("thornfield", 6), ("both", 7))


def run_command(folder: Path, hash_seed: str, *words: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT / "src")}
    command = [sys.executable, "-m", "stagewalk.cli.main", "sim", *words]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, check=False
    )


class SimulationRunTest(testtools.TestCase):
    def new_folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def test_storms_break_no_promise_and_check_each(self) -> None:
        for deployment, seed in STORMS:
            arguments = SimulationArguments(
                deployment=deployment,
                seed=seed,
                duration_seconds=60.0,
                faults=FaultLevel.STORM,
                fault_rate_factor=4.0,
            )
            report = run_simulation(arguments).report
            self.assertEqual([], report.core_failures)
            self.assertEqual([], report.explanations, arguments)
            self.assertTrue(all(report.checked.values()), report.checked)

    def test_same_arguments_same_history_whatever_the_hash_seed(self) -> None:
        folder = self.new_folder()
        flags = ["--deployment=compact", "--seed=3", "--duration_seconds=40", "--faults=storm"]
        digests = []
        for hash_seed in ("1", "2"):
            name = f"report{hash_seed}.json"
            done = run_command(folder, hash_seed, *flags, f"--report={name}", "--history=h")
            self.assertIn(done.returncode, (EXIT_CLEAN, EXIT_VIOLATION), done.stderr)
            digests.append(read_report(folder / name).digest)
        self.assertEqual(digests[0], digests[1])
        expected = EXIT_CLEAN if read_report(folder / "report1.json").clean else EXIT_VIOLATION
        self.assertEqual(expected, check_main([str(folder / "h")]))

    def test_bad_arguments(self) -> None:
        folder = self.new_folder()
        for flag in ("--duration_seconds=0", "--deployment=nowhere", "--replay=missing.json"):
            self.assertEqual(2, run_command(folder, "0", flag).returncode, flag)
