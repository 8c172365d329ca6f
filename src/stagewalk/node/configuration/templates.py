"""Files of operators: templates, and changes that merge a tenant's values into a template.

Used by the command line only; the records on the log contain the merged parameters. Each error
names the invalid field.
"""

from __future__ import annotations

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import StagewalkError
from stagewalk.node.configuration.parameters import (
    Name,
    TenantNameField,
    TenantParameters,
    parameters_fault,
)
from stagewalk.node.configuration.records import invalid, validation_error

ParameterValues = dict[str, object]
"""Some of the fields of `TenantParameters`, as read from a file; validated after merging."""


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Default parameters for tenants of one kind."""

    name: Name
    description: str = ""
    parameters: ParameterValues = {}


class ChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Desired parameters of a tenant: a template, and the values that differ from it."""

    tenant: TenantNameField
    template: Name
    parameters: ParameterValues = {}


def parse_template(content: bytes) -> Result[Template, StagewalkError]:
    """Parse a template file (TOML)."""
    try:
        return Ok(msgspec.toml.decode(content, type=Template))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(validation_error(error))


def parse_change_file(content: bytes) -> Result[ChangeFile, StagewalkError]:
    """Parse a change file (TOML)."""
    try:
        return Ok(msgspec.toml.decode(content, type=ChangeFile))
    except (msgspec.MsgspecError, ValueError) as error:
        return Error(validation_error(error))


def resolve_parameters(
    template: Template, change: ChangeFile
) -> Result[TenantParameters, StagewalkError]:
    """Merge a change's values into a template's parameters, and validate the result."""
    if template.name != change.template:
        detail = f"the file holds template {template.name}, not {change.template}"
        return Error(invalid(detail, "template"))
    merged = {**template.parameters, **change.parameters}
    try:
        parameters = msgspec.convert(merged, TenantParameters)
    except msgspec.ValidationError as error:
        found = validation_error(error)
        field = f"parameters.{found.field}" if found.field else "parameters"
        return Error(invalid(found.detail, field))
    fault = parameters_fault(parameters)
    if fault is not None:
        return Error(invalid(fault.detail, f"parameters.{fault.field}"))
    return Ok(parameters)
