"""What a gateway leaves unimported stays out, and comes when something asks for it after all."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parents[2]

LEFT_OUT = """
from stagewalk.gateway.deferred_imports import defer_unused_imports
defer_unused_imports()
import sys
import stagewalk.gateway.daemon
unwanted = {"h2.connection", "wsproto", "click", "pygments", "ctypes"} & set(sys.modules)
print(sorted(unwanted))
"""

ASKED_FOR = """
from stagewalk.gateway.deferred_imports import defer_unused_imports
defer_unused_imports()
import hypercorn.protocol, hypercorn.config
from unittest import mock
protocol = hypercorn.protocol.H2Protocol(
    None, hypercorn.config.Config(), mock.Mock(), None, {}, False, None, None, None
)
print(type(protocol).__module__)
import h2.events
print(h2.events.RequestReceived.__name__)
"""


class DeferredImportTests(testtools.TestCase):
    def output(self, program: str) -> list[str]:
        done = subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT / "src",
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual("", done.stderr)
        return done.stdout.split("\n")

    def test_a_gateway_imports_no_protocol_that_it_does_not_speak(self) -> None:
        self.assertEqual("[]", self.output(LEFT_OUT)[0])

    def test_a_caller_that_speaks_it_all_the_same_brings_it_in(self) -> None:
        lines = self.output(ASKED_FOR)
        self.assertEqual(["hypercorn.protocol.h2", "RequestReceived"], lines[:2])
