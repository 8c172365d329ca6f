"""Operators' files: templates, and changes that put a tenant's own values into a template.

Used by the command line; nodes see only the whole parameters on the log. Each error names its
field.
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
"""Some of the fields of `TenantParameters`, as a file gives them; checked when put together."""


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Values that tenants of one kind start from."""

    name: Name
    description: str = ""
    parameters: ParameterValues = {}


class ChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant as its operators want it: a template, and the values that differ from it."""

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
    """Return a template's parameters with a change's values, all checked."""
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
