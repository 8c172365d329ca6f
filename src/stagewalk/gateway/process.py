"""Runs a gateway as a process.

Owns logging, garbage collection and the exit code of the process; the rest is in `daemon`.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import traceback
from collections.abc import Callable

import anyio

from stagewalk.common.logs.budget import LogBudget
from stagewalk.common.logs.lines import configure_logs, log_event
from stagewalk.common.logs.writer import LineWriter
from stagewalk.gateway.assembly import Dependencies
from stagewalk.gateway.daemon import Gateway
from stagewalk.gateway.settings import GatewaySettings
from stagewalk.gateway.settings_reload import SettingsLoader

EXIT_CLEAN = 0
EXIT_FAILED = 1


def run_gateway(
    settings: GatewaySettings, dependencies: Dependencies, load_again: SettingsLoader
) -> int:
    """Run a gateway until it is asked to stop; return the process's exit code."""
    budget = LogBudget()
    writer = LineWriter(sys.stdout.fileno(), _call_soon)
    undo_logs = configure_logs(settings.log_level, writer.write, node=settings.name, budget=budget)
    gc.freeze()
    gc.enable()
    try:
        gateway = Gateway(settings, dependencies, load_again, budget)
        anyio.run(gateway.run_until_signal, backend="asyncio")
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        log_event("gateway_failed", "error", trace=trace)
        return EXIT_FAILED
    finally:
        undo_logs()
        writer.flush()
    return EXIT_CLEAN


def _call_soon(call: Callable[[], None]) -> None:
    """Schedule a call in the running event loop, or make it at once if there is none."""
    try:
        asyncio.get_running_loop().call_soon(call)
    except RuntimeError:
        call()
