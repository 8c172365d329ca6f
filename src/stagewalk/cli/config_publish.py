"""Commands of `stagewalk config` that check or publish a change.

Converts a command line to a record and prints its outcome; `config_log` publishes it and
`config_nodes` waits until it is in force.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from contextlib import closing

from stagewalk.cli.config_files import DesiredTenant, load_desired_tenant
from stagewalk.cli.config_log import Published
from stagewalk.cli.config_nodes import wait_for_nodes
from stagewalk.cli.config_output import (
    EXIT_DONE,
    EXIT_NOT_DONE,
    EXIT_REJECTED,
    open_session,
    outcome_text,
    print_error,
    progress_text,
)
from stagewalk.common.identities import TenantName
from stagewalk.node.configuration.outcomes import ChangeAccepted
from stagewalk.node.configuration.records import (
    AnyChange,
    ChangeParameters,
    CreateTenant,
    DeleteTenant,
    RollBack,
)
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine


def validate(arguments: argparse.Namespace) -> int:
    """Check change files without publishing them."""
    exit_code = EXIT_DONE
    for path in arguments.files:
        desired = load_desired_tenant(path, arguments.templates)
        if desired.is_error():
            exit_code = print_error(desired.error, EXIT_REJECTED)
        else:
            print(f"valid tenant={desired.ok.file.tenant} template={desired.ok.file.template}")
    return exit_code


def publish(arguments: argparse.Namespace) -> int:
    """Create or change the tenant of a file."""
    loaded = load_desired_tenant(arguments.file, arguments.templates)
    if loaded.is_error():
        return print_error(loaded.error, EXIT_REJECTED)
    desired = loaded.ok
    return _publish_change(
        arguments,
        desired.file.tenant,
        lambda fold, base: _desired_change(arguments, desired, fold, base),
    )


def roll_back(arguments: argparse.Namespace) -> int:
    """Publish an earlier revision again, as a new one."""

    def change(fold: ConfigurationStateMachine, base: int) -> AnyChange:
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


def delete(arguments: argparse.Namespace) -> int:
    """Delete a tenant."""

    def change(fold: ConfigurationStateMachine, base: int) -> AnyChange:
        return DeleteTenant(
            operator=arguments.operator,
            partner=arguments.partner,
            tenant=tenant,
            base_revision=base,
        )

    tenant = TenantName(arguments.tenant)
    return _publish_change(arguments, tenant, change)


def _desired_change(
    arguments: argparse.Namespace,
    desired: DesiredTenant,
    fold: ConfigurationStateMachine,
    base: int,
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
    change: Callable[[ConfigurationStateMachine, int], AnyChange],
) -> int:
    """Publish a change built from the configuration in force; print its outcome."""
    if arguments.wait and not arguments.nodes:
        print("stagewalk config: --wait needs --nodes; nothing was published", file=sys.stderr)
        return EXIT_NOT_DONE
    with closing(open_session(arguments, f"{arguments.operator}-")) as session:
        caught_up = session.catch_up()
        if caught_up.is_error():
            return print_error(caught_up.error, EXIT_NOT_DONE)
        base = arguments.base_revision
        if base is None:
            base = session.fold.last_revision(tenant)
        published = session.publish(change(session.fold, base))
    if published.is_error():
        return print_error(published.error, EXIT_NOT_DONE)
    exit_code = _print_published(tenant, published.ok)
    if exit_code == EXIT_DONE and arguments.wait:
        return _wait(arguments, published.ok.offset + 1)
    return exit_code


def _print_published(tenant: TenantName, published: Published) -> int:
    where = f"tenant={tenant} offset={published.offset} record_id={published.record_id}"
    print(f"{outcome_text(published.outcome)} {where}")
    return EXIT_DONE if isinstance(published.outcome, ChangeAccepted) else EXIT_REJECTED


def _wait(arguments: argparse.Namespace, offset: int) -> int:
    waited = wait_for_nodes(arguments.nodes, offset, arguments.timeout_seconds)
    for node in waited.late:
        print(progress_text(node, offset))
    counts = f"nodes={len(waited.nodes)} late={len(waited.late)} seconds={waited.seconds:.2f}"
    if waited.late:
        print(f"not_in_force {counts}", file=sys.stderr)
        return EXIT_NOT_DONE
    slowest = f" slowest={waited.slowest}" if waited.slowest else ""
    print(f"in_force {counts}{slowest}")
    return EXIT_DONE
