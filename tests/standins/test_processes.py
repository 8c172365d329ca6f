"""Runs stand-ins as processes: startup, serving, graceful stop and history files."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import httpx
import msgspec
import testtools

from stagewalk.history.observations import (
    EngineLeaving,
    EngineServing,
    WorkEnded,
    WorkReceived,
    read_history,
)
from tests.standins.temporary import temporary_directory

HOST = "127.0.63.1"
ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 30.0


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class ProcessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = temporary_directory(self)

    def start(self, command: str, *flags: str) -> subprocess.Popen[bytes]:
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        with (self.directory / f"{command}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "stagewalk_standins", command, *flags],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.addCleanup(self.kill, process)
        return process

    def kill(self, process: subprocess.Popen[bytes]) -> None:
        if process.poll() is None:
            process.kill()
        process.wait()

    def start_server(self, command: str, *flags: str) -> tuple[subprocess.Popen[bytes], str]:
        listen = f"{HOST}:{free_port()}"
        process = self.start(command, f"--listen={listen}", *flags)
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                httpx.get(f"http://{listen}/", trust_env=False)
            except httpx.HTTPError:
                time.sleep(0.05)
            else:
                return process, f"http://{listen}"
        self.fail(f"{command} did not start: {(self.directory / f'{command}.log').read_text()}")

    def stop(self, process: subprocess.Popen[bytes]) -> int:
        process.send_signal(signal.SIGTERM)
        return process.wait(START_SECONDS)

    def test_engine_finishes_its_stream_and_leaves(self) -> None:
        history = self.directory / "engine.history"
        _, machines = self.start_server("machines", "--lag_seconds=0")
        process, url = self.start_server(
            "engine",
            "--name=e",
            "--model=m",
            f"--machines={machines}",
            f"--history={history}",
            "--chunk_seconds=0.05",
        )
        lines: list[str] = []
        body = {"model": "m", "prompt": "x", "max_tokens": 60, "seed": 5}

        def read_stream() -> None:
            headers = {"X-Request-Id": "a"}
            with (
                httpx.Client(trust_env=False, timeout=START_SECONDS) as client,
                client.stream(
                    "POST", f"{url}/v1/completions", json=body, headers=headers
                ) as answer,
            ):
                lines.extend(answer.iter_lines())

        reader = threading.Thread(target=read_stream)
        reader.start()
        while not lines:
            time.sleep(0.01)
        self.assertEqual(["live"], self.listed_states(machines))
        self.assertEqual(0, self.stop(process))
        self.assertEqual(["leaving"], self.listed_states(machines))
        reader.join()
        self.assertIn("data: [DONE]", lines)
        kinds = [type(each) for each in read_history([history])]
        self.assertEqual(
            sorted([EngineServing, WorkReceived, EngineLeaving, WorkEnded], key=str),
            sorted(kinds, key=str),
        )

    def listed_states(self, machines: str) -> list[str]:
        rows = httpx.get(f"{machines}/machines", trust_env=False).json()["machines"]
        return [row["state"] for row in rows]

    def test_services_start_serve_and_stop(self) -> None:
        started = {
            "log": self.start_server("log"),
            "weights": self.start_server("weights", "--models=m:1"),
            "machines": self.start_server("machines", "--lag_seconds=0"),
            "scorer": self.start_server("scorer", "--seconds=0"),
        }
        with httpx.Client(trust_env=False) as client:
            versions = client.get(f"{started['weights'][1]}/models/m/versions").json()["versions"]
            self.assertEqual([1], [row["version"] for row in versions])
            records = client.get(f"{started['log'][1]}/streams/s/records").json()
            self.assertEqual({"records": [], "head": 0}, records)
            faults = client.put(f"{started['scorer'][1]}/control/faults", json={"down": True})
            self.assertEqual(200, faults.status_code)
            self.assertEqual(503, client.post(f"{started['scorer'][1]}/score").status_code)
        for name, (process, _) in started.items():
            self.assertEqual(0, self.stop(process), name)

    def test_caller_without_a_node_ends_by_itself(self) -> None:
        history = self.directory / "caller.history"
        caller = self.start(
            "caller",
            f"--nodes=http://{HOST}:{free_port()}",
            "--tenant=t",
            "--model=m",
            "--name=c",
            "--rate=20",
            "--duration_seconds=0.5",
            f"--history={history}",
        )
        self.assertEqual(0, caller.wait(START_SECONDS))
        log = (self.directory / "caller.log").read_text()
        self.assertIn("event=node_unreachable", log)
        self.assertIn("event=process_ended", log)

    def test_trainer_waiting_for_the_platform_stops_in_order(self) -> None:
        checkpoint = self.directory / "checkpoint"
        weights, url = self.start_server("weights", "--models=m:4")
        trainer = self.start(
            "trainer",
            f"--nodes=http://{HOST}:{free_port()}",
            "--tenant=t",
            "--model=m",
            "--name=x",
            f"--weights={url}",
            f"--checkpoint={checkpoint}",
        )
        while not checkpoint.exists():
            time.sleep(0.02)
        self.assertEqual(0, self.stop(trainer))
        self.assertEqual(4, msgspec.json.decode(checkpoint.read_bytes())["version"])
        self.assertEqual(0, self.stop(weights))
