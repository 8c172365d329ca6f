"""JSON records that operators publish on the stream `configuration`.

This is the stored form of a change. Decoding errors name the invalid field.
"""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.node.configuration.parameters import (
    MAXIMUM_JSON_INTEGER,
    Name,
    TenantNameField,
    TenantParameters,
    parameters_fault,
)

CONFIGURATION_STREAM = "configuration"
"""Log stream on which operators publish."""

CONFIGURATION_SNAPSHOT_STREAM = "configuration-snapshots"
"""Log stream of snapshots of the state, written by the nodes."""

MAXIMUM_PAYLOAD_BYTES = 32 * 1024
"""Maximum size of a record; every node rejects a larger one."""

MAXIMUM_DETAIL_CHARACTERS = 200
"""Maximum length of a decoder's message, which may quote a long part of the input."""

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_JSON_INTEGER)]


class ConfigurationChange(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="kind"
):
    """Base of all records.

    Attributes
    ----------
    operator, partner
        Operator that publishes the record, and the partner on whose behalf.
    base_revision
        The tenant's revision that the change is based on; the record is rejected if another
        change came first. 0 for an unused name; a deleted tenant keeps its last revision.
    """

    operator: Name
    partner: Name
    tenant: TenantNameField
    base_revision: Revision


class CreateTenant(ConfigurationChange, frozen=True, tag="create_tenant"):
    """Create a tenant; `parameters` is the template with the operator's values merged in."""

    template: Name
    parameters: TenantParameters


class ChangeParameters(ConfigurationChange, frozen=True, tag="change_parameters"):
    """Replace all parameters of a tenant."""

    parameters: TenantParameters


class RollBack(ConfigurationChange, frozen=True, tag="roll_back"):
    """Restore the parameters of an earlier revision, as a new revision."""

    to_revision: Revision


class DeleteTenant(ConfigurationChange, frozen=True, tag="delete_tenant"):
    """Delete a tenant; its partner keeps the name, and revisions continue from the last one."""


AnyChange = CreateTenant | ChangeParameters | RollBack | DeleteTenant

_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = msgspec.json.Decoder(AnyChange)
_PATH = re.compile(r" - at `\$\.?(.*)`$")
_NAMED_FIELD = re.compile(r"(?:unknown|missing required) field `([^`]*)`")


def encode_change(change: AnyChange) -> bytes:
    """Encode a record as a payload."""
    return _ENCODER.encode(change)


def decode_change(payload: bytes) -> Result[AnyChange, StagewalkError]:
    """Parse a record's payload; never raises, whatever the bytes."""
    if len(payload) > MAXIMUM_PAYLOAD_BYTES:
        return Error(invalid(f"the payload is longer than {MAXIMUM_PAYLOAD_BYTES} bytes", None))
    try:
        change = _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Error(validation_error(error))
    if isinstance(change, CreateTenant | ChangeParameters):
        fault = parameters_fault(change.parameters)
        if fault is not None:
            return Error(invalid(fault.detail, f"parameters.{fault.field}"))
    return Ok(change)


def validation_error(error: Exception) -> StagewalkError:
    """Convert a decoder's exception to an error that names the invalid field."""
    text = str(error).encode("ascii", "backslashreplace").decode()
    path = _PATH.search(text)
    named = _NAMED_FIELD.search(text)
    parts = [path.group(1) if path else "", named.group(1) if named else ""]
    field = ".".join(part for part in parts if part)[:MAXIMUM_DETAIL_CHARACTERS]
    detail = text[: path.start()] if path else text
    return invalid(detail[:MAXIMUM_DETAIL_CHARACTERS], field or None)


def invalid(detail: str, field: str | None) -> StagewalkError:
    """Return the error for a record that violates the schema."""
    return StagewalkError(
        ErrorKind.INVALID_REQUEST, ErrorStep.CONFIGURATION, "operator", detail, field=field
    )
