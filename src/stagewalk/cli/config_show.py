"""Commands of `stagewalk config` that show the configuration in force and the state of nodes.

`config_log` reads the log and `config_nodes` polls the nodes.
"""

from __future__ import annotations

import argparse
import sys
from contextlib import closing

import msgspec

from stagewalk.cli.config_files import load_desired_tenant
from stagewalk.cli.config_nodes import NodeProgress, ask_nodes
from stagewalk.cli.config_output import (
    EXIT_DONE,
    EXIT_NOT_DONE,
    EXIT_REJECTED,
    open_session,
    outcome_text,
    print_error,
    progress_text,
)
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine


def status(arguments: argparse.Namespace) -> int:
    """Show the configuration in force, or only the nodes' reports if the log can't be read."""
    with closing(open_session(arguments, "")) as session:
        caught_up = session.catch_up()
        fold = session.fold
    exit_code = EXIT_DONE
    if caught_up.is_error():
        exit_code = print_error(caught_up.error, EXIT_NOT_DONE)
    else:
        print(f"log offset={fold.offset} digest={fold.digest()}")
    for tenant in fold.tenants.values():
        owner = f"partner={tenant.partner} template={tenant.template}"
        print(f"tenant={tenant.name} revision={tenant.revision} {owner}")
    for node in ask_nodes(arguments.nodes):
        print(progress_text(node, fold.offset))
        if node.is_late(fold.offset):
            exit_code = EXIT_NOT_DONE
        if _differs(node, fold):
            print(f"node={node.name} holds another state at the same offset", file=sys.stderr)
            exit_code = EXIT_NOT_DONE
    return exit_code


def _differs(node: NodeProgress, fold: ConfigurationStateMachine) -> bool:
    return node.offset == fold.offset and node.digest not in ("", fold.digest())


def history(arguments: argparse.Namespace) -> int:
    """Show records with their outcomes."""
    with closing(open_session(arguments, "")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return print_error(caught_up.error, EXIT_NOT_DONE)
        entries = session.fold.history
    chosen = [each for each in entries if arguments.tenant in (None, each.tenant)]
    for entry in chosen[max(0, len(chosen) - arguments.limit) :]:
        who = f"partner={entry.partner} operator={entry.operator}"
        what = f"kind={entry.kind} tenant={entry.tenant}"
        print(f"offset={entry.offset} {who} {what} {outcome_text(entry.outcome)}")
    return EXIT_DONE


def diff(arguments: argparse.Namespace) -> int:
    """Compare a change file with what is in force."""
    loaded = load_desired_tenant(arguments.file, arguments.templates)
    if loaded.is_error():
        return print_error(loaded.error, EXIT_NOT_DONE)
    desired = loaded.ok
    with closing(open_session(arguments, "")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return print_error(caught_up.error, EXIT_NOT_DONE)
        tenant = session.fold.tenants.get(desired.file.tenant)
    target = msgspec.to_builtins(desired.parameters)
    in_force = {} if tenant is None else msgspec.to_builtins(tenant.parameters)
    changed = [field for field in target if in_force.get(field) != target[field] or not in_force]
    for field in changed:
        if in_force:
            print(f"- {field} = {msgspec.json.encode(in_force[field]).decode()}")
        print(f"+ {field} = {msgspec.json.encode(target[field]).decode()}")
    return EXIT_REJECTED if changed else EXIT_DONE
