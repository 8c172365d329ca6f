"""Runs a node with the scripted core as a process: `python -m tests.node.echo_node ADDRESSES`."""

from __future__ import annotations

import sys
from pathlib import Path

from stagewalk.node.daemon import run_node
from stagewalk.node.settings import load_node_settings
from tests.node.echo_core import EchoCore

EXAMPLE = Path(__file__).parents[2] / "deployments" / "example-node.toml"

if __name__ == "__main__":
    overrides = {"listen": sys.argv[1], "peer_listen": sys.argv[2]}
    sys.exit(run_node(load_node_settings(EXAMPLE, overrides).ok, EchoCore))
