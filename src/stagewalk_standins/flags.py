"""Command-line flags of each stand-in.

Imports no stand-in, so that `--help` stays fast.
"""

from __future__ import annotations

import argparse

from absl.flags import argparse_flags


def parse_flags(arguments: list[str]) -> argparse.Namespace:
    """Read the command line; `command` names the stand-in."""
    parser: argparse.ArgumentParser = argparse_flags.ArgumentParser(  # type: ignore[no-untyped-call]
        prog="stagewalk-standin", description="Stand-ins for the platform's services."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, add_flags in _COMMANDS.items():
        add_flags(commands.add_parser(name))
    parsed: argparse.Namespace = parser.parse_args(arguments[1:])
    return parsed


def _add_server_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--listen", required=True, help="IP:PORT to serve on")
    parser.add_argument("--history", default="", help="file for observations")
    parser.add_argument("--name", default="", help="name in log lines")


def _add_engine_flags(parser: argparse.ArgumentParser) -> None:
    _add_server_flags(parser)
    parser.add_argument("--model", required=True)
    parser.add_argument("--version", type=int, default=1, help="version active at the start")
    parser.add_argument(
        "--incarnation", type=int, default=0, help="0: the wall clock's milliseconds"
    )
    parser.add_argument("--weights", default="", help="URL of the weight store")
    parser.add_argument("--machines", default="", help="URL of the machine list to enter")
    parser.add_argument(
        "--advertise", default="", help="IP:PORT for the machine list; default: --listen"
    )
    parser.add_argument("--region", default="")
    parser.add_argument("--zone", default="")
    parser.add_argument("--service", default="")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--batch_limit", type=int, default=32)
    parser.add_argument("--queue_limit", type=int, default=64)
    parser.add_argument("--kv_capacity_tokens", type=int, default=65536)
    parser.add_argument("--slowdown", type=float, default=1.0, help="factor of decoding time")
    parser.add_argument("--chunk_seconds", type=float, default=0.25)
    parser.add_argument(
        "--leave_seconds", type=float, default=2.0, help="least time from SIGTERM to the exit"
    )
    parser.add_argument("--activation_seconds", type=float, default=1.0)
    parser.add_argument("--activation_failure_fraction", type=float, default=0.0)


def _add_weights_flags(parser: argparse.ArgumentParser) -> None:
    _add_server_flags(parser)
    parser.add_argument("--bytes_per_second", type=float, default=50e6)
    parser.add_argument("--fetch_limit", type=int, default=4, help="most fetches at once")
    parser.add_argument("--models", default="", help="MODEL:VERSION,... in the store at the start")
    parser.add_argument("--size_bytes", type=int, default=8_000_000, help="of those versions")


def _add_machines_flags(parser: argparse.ArgumentParser) -> None:
    _add_server_flags(parser)
    parser.add_argument("--lag_seconds", type=float, default=2.0)


def _add_forwarder_flags(parser: argparse.ArgumentParser) -> None:
    _add_server_flags(parser)
    parser.add_argument("--links", required=True, help="JSON file of the links to carry")
    parser.add_argument("--seed", type=int, default=0)


def _add_scorer_flags(parser: argparse.ArgumentParser) -> None:
    _add_server_flags(parser)
    parser.add_argument("--seconds", type=float, default=0.05, help="time a score takes")
    parser.add_argument("--failure_fraction", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)


def _add_client_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--nodes", required=True, help="[NAME=]URL,... in order of preference")
    parser.add_argument("--tenant", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--history", default="", help="file for observations")
    parser.add_argument("--deadline_seconds", type=float, default=60.0)
    parser.add_argument("--max_tokens", type=int, default=512)


def _add_trainer_flags(parser: argparse.ArgumentParser) -> None:
    _add_client_flags(parser)
    parser.add_argument("--weights", required=True, help="URL of the weight store")
    parser.add_argument("--checkpoint", default="", help="file to go on from after a kill")
    parser.add_argument("--steps", type=int, default=5)
    parser.add_argument("--prompts", type=int, default=4)
    parser.add_argument("--samples_per_prompt", type=int, default=4)
    parser.add_argument("--train_seconds", type=float, default=2.0)
    parser.add_argument("--size_bytes", type=int, default=8_000_000, help="of a version")
    parser.add_argument("--look_ahead", action="store_true", help="submit the next step early")


def _add_caller_flags(parser: argparse.ArgumentParser) -> None:
    _add_client_flags(parser)
    parser.add_argument("--rate", type=float, default=1.0, help="mean requests a second")
    parser.add_argument("--duration_seconds", type=float, default=30.0)
    parser.add_argument("--streaming_fraction", type=float, default=0.5)
    parser.add_argument("--non_repeatable_fraction", type=float, default=0.3)
    parser.add_argument("--request_class", default="", help="marks non-repeatable requests")
    parser.add_argument("--impatient_fraction", type=float, default=0.0)
    parser.add_argument("--sends", type=int, default=3, help="most times an id is sent")
    parser.add_argument("--resent", action="store_true", help="an earlier run may have sent these")
    parser.add_argument("--prefixes", type=int, default=8, help="distinct shared prefixes")
    parser.add_argument("--seed", type=int, default=0)


_COMMANDS = {
    "engine": _add_engine_flags,
    "log": _add_server_flags,
    "weights": _add_weights_flags,
    "machines": _add_machines_flags,
    "scorer": _add_scorer_flags,
    "forwarder": _add_forwarder_flags,
    "trainer": _add_trainer_flags,
    "caller": _add_caller_flags,
}
