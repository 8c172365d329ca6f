"""Deferred modules are not imported at the start, but on first use."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parents[2]

PRINT_UNUSED_IMPORTS = """
from stagewalk.gateway.deferred_imports import defer_unused_imports
defer_unused_imports()
import sys
import stagewalk.gateway.daemon
unwanted = {"h2.connection", "wsproto", "click", "pygments", "ctypes"} & set(sys.modules)
print(sorted(unwanted))
"""

USE_HTTP2 = """
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
        completed = subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT / "src",
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual("", completed.stderr)
        return completed.stdout.split("\n")

    def test_a_gateway_does_not_import_unused_protocols(self) -> None:
        self.assertEqual("[]", self.output(PRINT_UNUSED_IMPORTS)[0])

    def test_http2_is_imported_on_first_use(self) -> None:
        lines = self.output(USE_HTTP2)
        self.assertEqual(["hypercorn.protocol.h2", "RequestReceived"], lines[:2])
