"""`stagewalk config`: operators validate, publish and inspect their tenants' configuration.

Exit codes: 0 done (or, for `diff`, no difference); 1 rejected (or a difference); 2 not done, not
known, or not in force everywhere in time.

Owns the subcommands and what they print; relies on `config_log` to publish, `config_nodes` to poll
nodes and `config_files` for an operator's files.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

import httpx
import msgspec

from stagewalk.cli.config_files import DesiredTenant, load_desired_tenant
from stagewalk.cli.config_log import LogSession, Published
from stagewalk.cli.config_nodes import NodeProgress, ask_nodes, wait_for_nodes
from stagewalk.common.errors import StagewalkError
from stagewalk.common.identities import TenantName
from stagewalk.node.configuration.fold import ConfigurationFold
from stagewalk.node.configuration.outcomes import ChangeAccepted, ChangeRejected
from stagewalk.node.configuration.parameters import NAME_PATTERN
from stagewalk.node.configuration.records import (
    AnyChange,
    ChangeParameters,
    CreateTenant,
    DeleteTenant,
    RollBack,
)

EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_NOT_DONE = 2

DEFAULT_TIMEOUT_SECONDS = 30.0
DEFAULT_HISTORY_LIMIT = 20


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Define the flags of `stagewalk config`."""
    commands = parser.add_subparsers(dest="config_command", required=True, metavar="COMMAND")
    validate = commands.add_parser("validate", help="check change files without publishing them")
    validate.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_template_flag(validate)

    publish = commands.add_parser("publish", help="create or change the tenant of a file")
    publish.add_argument("file", type=Path, metavar="FILE")
    _add_template_flag(publish)
    _add_publisher_flags(publish)

    roll_back = commands.add_parser(
        "rollback", help="put an earlier revision in force again, as a new revision"
    )
    roll_back.add_argument("tenant", metavar="TENANT")
    roll_back.add_argument("--to_revision", type=int, help="default: the one before the current")
    _add_publisher_flags(roll_back)

    delete = commands.add_parser("delete", help="delete a tenant")
    delete.add_argument("tenant", metavar="TENANT")
    _add_publisher_flags(delete)

    status = commands.add_parser("status", help="show what is in force, and where")
    _add_log_flags(status)
    _add_node_flags(status)

    history = commands.add_parser("history", help="show records with their outcomes")
    history.add_argument("--tenant", help="only this tenant's")
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY_LIMIT)
    _add_log_flags(history)

    diff = commands.add_parser("diff", help="compare a change file with what is in force")
    diff.add_argument("file", type=Path, metavar="FILE")
    _add_template_flag(diff)
    _add_log_flags(diff)


def run(arguments: argparse.Namespace) -> int:
    """Carry out a `stagewalk config` command and return its exit code."""
    commands: dict[str, Callable[[argparse.Namespace], int]] = {
        "validate": _validate,
        "publish": _publish,
        "rollback": _roll_back,
        "delete": _delete,
        "status": _status,
        "history": _history,
        "diff": _diff,
    }
    return commands[arguments.config_command](arguments)


def _add_template_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--templates", type=Path, help="folder of templates")


def _add_log_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--log", required=True, type=_url, help="base URL of the log service")
    parser.add_argument("--timeout_seconds", type=float, default=DEFAULT_TIMEOUT_SECONDS)


def _add_node_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--nodes", default=[], type=_urls, help="base URLs of nodes, separated by commas"
    )


def _add_publisher_flags(parser: argparse.ArgumentParser) -> None:
    _add_log_flags(parser)
    parser.add_argument("--operator", required=True, type=_name, help="who publishes")
    parser.add_argument("--partner", required=True, type=_name, help="for which partner")
    parser.add_argument(
        "--base_revision", type=int, help="revision you saw; default: the one in force now"
    )
    parser.add_argument("--wait", action="store_true", help="wait until it is in force everywhere")
    _add_node_flags(parser)


def _name(text: str) -> str:
    if re.match(NAME_PATTERN, text) is None:
        raise argparse.ArgumentTypeError(f"{text!r} is not a name of letters, digits and ._-")
    return text


def _url(text: str) -> str:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL as error:
        raise argparse.ArgumentTypeError(f"{text!r}: {error}") from error
    if url.scheme not in ("http", "https") or not url.host:
        raise argparse.ArgumentTypeError(f"{text!r} is not an http URL")
    return text.rstrip("/")


def _urls(text: str) -> list[str]:
    return [_url(part) for part in text.split(",") if part]


def _validate(arguments: argparse.Namespace) -> int:
    exit_code = EXIT_DONE
    for path in arguments.files:
        desired = load_desired_tenant(path, arguments.templates)
        if desired.is_error():
            exit_code = _print_error(desired.error, EXIT_REJECTED)
        else:
            print(f"valid tenant={desired.ok.file.tenant} template={desired.ok.file.template}")
    return exit_code


def _publish(arguments: argparse.Namespace) -> int:
    loaded = load_desired_tenant(arguments.file, arguments.templates)
    if loaded.is_error():
        return _print_error(loaded.error, EXIT_REJECTED)
    desired = loaded.ok
    return _publish_change(
        arguments,
        desired.file.tenant,
        lambda fold, base: _desired_change(arguments, desired, fold, base),
    )


def _roll_back(arguments: argparse.Namespace) -> int:
    def change(fold: ConfigurationFold, base: int) -> AnyChange:
        to_revision = arguments.to_revision
        if to_revision is None:
            earlier = [each.revision for each in fold.revisions(tenant) if each.revision < base]
            to_revision = earlier[-1] if earlier else 0
        return RollBack(
            operator=arguments.operator,
            partner=arguments.partner,
            tenant=tenant,
            base_revision=base,
            to_revision=to_revision,
        )

    tenant = TenantName(arguments.tenant)
    return _publish_change(arguments, tenant, change)


def _delete(arguments: argparse.Namespace) -> int:
    def change(fold: ConfigurationFold, base: int) -> AnyChange:
        return DeleteTenant(
            operator=arguments.operator,
            partner=arguments.partner,
            tenant=tenant,
            base_revision=base,
        )

    tenant = TenantName(arguments.tenant)
    return _publish_change(arguments, tenant, change)


def _desired_change(
    arguments: argparse.Namespace, desired: DesiredTenant, fold: ConfigurationFold, base: int
) -> AnyChange:
    """Return the record that creates the file's tenant, or changes it if it exists."""
    if desired.file.tenant in fold.tenants:
        return ChangeParameters(
            operator=arguments.operator,
            partner=arguments.partner,
            tenant=desired.file.tenant,
            base_revision=base,
            parameters=desired.parameters,
        )
    return CreateTenant(
        operator=arguments.operator,
        partner=arguments.partner,
        tenant=desired.file.tenant,
        base_revision=base,
        template=desired.file.template,
        parameters=desired.parameters,
    )


def _publish_change(
    arguments: argparse.Namespace,
    tenant: TenantName,
    change: Callable[[ConfigurationFold, int], AnyChange],
) -> int:
    """Publish the change that follows from what is in force; print what became of it."""
    if arguments.wait and not arguments.nodes:
        print("stagewalk config: --wait needs --nodes; nothing was published", file=sys.stderr)
        return EXIT_NOT_DONE
    with closing(_session(arguments, f"{arguments.operator}-")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return _print_error(caught_up.error, EXIT_NOT_DONE)
        base = arguments.base_revision
        if base is None:
            base = session.fold.last_revision(tenant)
        published = session.publish(change(session.fold, base))
    if published.is_error():
        return _print_error(published.error, EXIT_NOT_DONE)
    exit_code = _print_published(tenant, published.ok)
    if exit_code == EXIT_DONE and arguments.wait:
        return _wait(arguments, published.ok.offset + 1)
    return exit_code


def _print_published(tenant: TenantName, published: Published) -> int:
    where = f"tenant={tenant} offset={published.offset} record_id={published.record_id}"
    print(f"{_outcome_text(published.outcome)} {where}")
    return EXIT_DONE if isinstance(published.outcome, ChangeAccepted) else EXIT_REJECTED


def _outcome_text(outcome: ChangeAccepted | ChangeRejected) -> str:
    if isinstance(outcome, ChangeAccepted):
        return f"accepted revision={outcome.revision}"
    field = f" field={outcome.field}" if outcome.field else ""
    return f'rejected reason={outcome.reason}{field} detail="{outcome.detail}"'


def _wait(arguments: argparse.Namespace, offset: int) -> int:
    waited = wait_for_nodes(arguments.nodes, offset, arguments.timeout_seconds)
    for node in waited.late:
        print(_progress_text(node, offset))
    counts = f"nodes={len(waited.nodes)} late={len(waited.late)} seconds={waited.seconds:.2f}"
    if waited.late:
        print(f"not_in_force {counts}", file=sys.stderr)
        return EXIT_NOT_DONE
    slowest = f" slowest={waited.slowest}" if waited.slowest else ""
    print(f"in_force {counts}{slowest}")
    return EXIT_DONE


def _status(arguments: argparse.Namespace) -> int:
    """Show what is in force; without the log, what the nodes say."""
    with closing(_session(arguments, "")) as session:
        caught_up = session.catch_up()
        fold = session.fold
    exit_code = EXIT_DONE
    if caught_up.is_error():
        exit_code = _print_error(caught_up.error, EXIT_NOT_DONE)
    else:
        print(f"log offset={fold.offset} digest={fold.digest()}")
    for tenant in fold.tenants.values():
        owner = f"partner={tenant.partner} template={tenant.template}"
        print(f"tenant={tenant.name} revision={tenant.revision} {owner}")
    for node in ask_nodes(arguments.nodes):
        print(_progress_text(node, fold.offset))
        if node.is_late(fold.offset):
            exit_code = EXIT_NOT_DONE
        if _differs(node, fold):
            print(f"node={node.name} holds another state at the same offset", file=sys.stderr)
            exit_code = EXIT_NOT_DONE
    return exit_code


def _differs(node: NodeProgress, fold: ConfigurationFold) -> bool:
    return node.offset == fold.offset and node.digest not in ("", fold.digest())


def _progress_text(node: NodeProgress, offset: int) -> str:
    if node.offset is None:
        return f'node={node.name} state=unreachable detail="{node.failure}"'
    state = "late" if node.is_late(offset) else "in_force"
    return f"node={node.name} state={state} offset={node.offset}"


def _history(arguments: argparse.Namespace) -> int:
    with closing(_session(arguments, "")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return _print_error(caught_up.error, EXIT_NOT_DONE)
        entries = session.fold.history
    chosen = [each for each in entries if arguments.tenant in (None, each.tenant)]
    for entry in chosen[max(0, len(chosen) - arguments.limit) :]:
        who = f"partner={entry.partner} operator={entry.operator}"
        what = f"kind={entry.kind} tenant={entry.tenant}"
        print(f"offset={entry.offset} {who} {what} {_outcome_text(entry.outcome)}")
    return EXIT_DONE


def _diff(arguments: argparse.Namespace) -> int:
    loaded = load_desired_tenant(arguments.file, arguments.templates)
    if loaded.is_error():
        return _print_error(loaded.error, EXIT_NOT_DONE)
    desired = loaded.ok
    with closing(_session(arguments, "")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return _print_error(caught_up.error, EXIT_NOT_DONE)
        tenant = session.fold.tenants.get(desired.file.tenant)
    target = msgspec.to_builtins(desired.parameters)
    in_force = {} if tenant is None else msgspec.to_builtins(tenant.parameters)
    changed = [field for field in target if in_force.get(field) != target[field] or not in_force]
    for field in changed:
        if in_force:
            print(f"- {field} = {msgspec.json.encode(in_force[field]).decode()}")
        print(f"+ {field} = {msgspec.json.encode(target[field]).decode()}")
    return EXIT_REJECTED if changed else EXIT_DONE


def _session(arguments: argparse.Namespace, client_id: str) -> LogSession:
    return LogSession(arguments.log, client_id, arguments.timeout_seconds)


def _print_error(error: StagewalkError, exit_code: int) -> int:
    print(f"stagewalk config: {error} ran={error.ran}", file=sys.stderr)
    return exit_code
