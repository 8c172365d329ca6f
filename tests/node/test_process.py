"""A node as a process: signals, exit codes, idle memory and imported modules."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import httpx
import psutil
import testtools

from tests.node.running_node import PATIENCE_SECONDS, free_address

ROOT = Path(__file__).parents[2]
ENVIRONMENT = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
IDLE_MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
ASK = {"model": "qari", "tenant": "archive", "prompt": "hang", "deadline_seconds": 1.0}


class NodeProcess(testtools.TestCase):
    """A node with the scripted core, in a process of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.listen, self.peer_listen = free_address(), free_address()
        self.process = self.start()
        self.client = httpx.Client(base_url=f"http://{self.listen}", trust_env=False)
        self.addCleanup(self.client.close)

    def start(self) -> subprocess.Popen[str]:
        command = [sys.executable, "-m", "tests.node.echo_node"]
        process = subprocess.Popen(
            [*command, str(self.listen), str(self.peer_listen)],
            cwd=ROOT, env=ENVIRONMENT, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_ready(self) -> None:
        give_up = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < give_up:
            try:
                if self.client.get("/readyz").is_success:
                    return
            except httpx.TransportError:
                time.sleep(0.02)
        self.fail("the node did not become ready")


class NodeProcessTest(NodeProcess):
    def test_planned_stop_exits_with_0_after_its_log_line(self) -> None:
        self.wait_ready()
        self.process.send_signal(signal.SIGTERM)
        _, errors = self.process.communicate(timeout=PATIENCE_SECONDS)
        self.assertEqual(0, self.process.returncode)
        events = [line.split("event=")[1].split()[0] for line in errors.splitlines()]
        self.assertEqual(["node_started", "stop_requested", "node_stopped"], events)

    def test_second_signal_forces_exit_with_1(self) -> None:
        self.wait_ready()
        with self.client.stream("POST", "/v1/completions", json=ASK | {"prompt": "drip",
                                "stream": True, "deadline_seconds": 60.0}):  # fmt: skip
            self.process.send_signal(signal.SIGTERM)
            while self.client.get("/readyz").is_success:
                time.sleep(0.02)
            self.assertIsNone(self.process.poll())
            self.process.send_signal(signal.SIGTERM)
            self.assertEqual(1, self.process.wait(timeout=PATIENCE_SECONDS))

    def test_address_in_use_exits_with_1(self) -> None:
        self.wait_ready()
        second = self.start()
        _, errors = second.communicate(timeout=PATIENCE_SECONDS)
        self.assertEqual(1, second.returncode)
        self.assertIn('event=node_failed node=advice-api-1 cause="OSError: ', errors)

    def test_idle_memory_and_imports(self) -> None:
        self.wait_ready()
        resident = psutil.Process(self.process.pid).memory_info().rss
        self.assertTrue(resident <= IDLE_MEMORY_LIMIT_BYTES, resident)
        script = "import sys, stagewalk.cli.node; print(*sys.modules)"
        command = [sys.executable, "-c", script]
        modules = subprocess.run(
            command, env=ENVIRONMENT, capture_output=True, text=True, check=True
        ).stdout.split()
        self.assertEqual(set(), {"numpy", "simpy", "matplotlib", "trio"} & set(modules))
