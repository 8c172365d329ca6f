"""`stagewalk node`: the node daemon.

`node.settings` loads the settings and `node.daemon` runs the node.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from stagewalk.node.daemon import run_node
from stagewalk.node.settings import load_node_settings

EXIT_BAD_SETTINGS = 2

OVERRIDES = {
    "name": ("name", "name of this node"),
    "region": ("region", "region of this machine"),
    "zone": ("zone", "zone of this machine"),
    "listen": ("listen", "IP:PORT of the HTTP edge"),
    "peer_listen": ("peer_listen", "IP:PORT for other nodes, UDP and TCP"),
    "peer_advertise": ("peer_advertise", "IP:PORT other nodes reach it at, if it is another"),
    "log_url": ("platform.log", "base URL of the append-only log"),
    "weights_url": ("platform.weights", "base URL of the weight store"),
    "machines_url": ("platform.machines", "base URL of the machine list"),
    "scorer_url": ("platform.scorer", "base URL of the scorer"),
    "log_level": ("log_level", "debug, info, warning or error"),
}
"""Flags that override the settings file: name -> (field of the file, help)."""


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the flags of `stagewalk node`."""
    parser.add_argument("--settings", type=Path, help="settings file (TOML)")
    for flag, (field, summary) in OVERRIDES.items():
        parser.add_argument(f"--{flag}", help=f"{summary} (overrides {field})")


def run(arguments: argparse.Namespace) -> int:
    """Run a node until it is asked to stop; return the exit code."""
    overrides = {field: getattr(arguments, flag) for flag, (field, _) in OVERRIDES.items()}
    settings = load_node_settings(arguments.settings, overrides)
    if settings.is_error():
        print(f"stagewalk node: {settings.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run_node(settings.ok)
