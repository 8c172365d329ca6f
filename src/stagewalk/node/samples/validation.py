"""Validation of submitted lots and pulls; most errors name the invalid field."""

from __future__ import annotations

from stagewalk.common.errors import ErrorKind, ErrorStep, StagewalkError
from stagewalk.common.identities import NodeName, TenantName
from stagewalk.node.configuration.parameters import Tenant
from stagewalk.node.core.rollouts import RolloutLot, SamplePull
from stagewalk.node.samples.config import LotConfig

_NAME_SEPARATOR = "/"


def invalid(node: NodeName, field: str, detail: str) -> StagewalkError:
    """Return the error for an invalid input field."""
    return StagewalkError(
        ErrorKind.INVALID_REQUEST, ErrorStep.VALIDATION, node, detail, field=field
    )


def unknown_tenant(node: NodeName, tenant: TenantName) -> StagewalkError:
    """Return the error for a tenant that does not exist."""
    detail = f"there is no tenant {tenant!r}"
    return StagewalkError(
        ErrorKind.UNKNOWN_TENANT, ErrorStep.VALIDATION, node, detail, field="tenant"
    )


def unknown_lot(node: NodeName, pull: SamplePull) -> StagewalkError:
    """Return the error for a pull of a step that was never submitted to this node."""
    detail = (
        f"this node does not know step {pull.step} of trainer {pull.trainer!r}:"
        " submit it again and pull with the same cursor"
    )
    return StagewalkError(ErrorKind.UNKNOWN_LOT, ErrorStep.DELIVERY, node, detail)


def check_lot(
    lot: RolloutLot, tenant: Tenant | None, config: LotConfig, node: NodeName
) -> StagewalkError | None:
    """Return the error of an invalid lot, or None if it is valid."""
    if tenant is None:
        return unknown_tenant(node, lot.tenant)
    if lot.model not in tenant.parameters.models:
        detail = f"tenant {lot.tenant!r} may not use model {lot.model!r}"
        return StagewalkError(
            ErrorKind.UNKNOWN_MODEL, ErrorStep.VALIDATION, node, detail, field="model"
        )
    if not lot.trainer or _NAME_SEPARATOR in lot.trainer:
        return invalid(node, "trainer", "a trainer's name must not be empty nor contain '/'")
    if lot.step < 0:
        return invalid(node, "step", "a step must not be negative")
    if lot.samples_per_prompt < 1:
        return invalid(node, "samples_per_prompt", "at least one sample per prompt")
    return _check_prompts(lot, config, node)


def _check_prompts(lot: RolloutLot, config: LotConfig, node: NodeName) -> StagewalkError | None:
    slots = len(lot.prompts) * lot.samples_per_prompt
    if not 1 <= slots <= config.maximum_slots_per_lot:
        detail = f"a lot has 1 to {config.maximum_slots_per_lot} slots, not {slots}"
        return invalid(node, "prompts", detail)
    if len({prompt.prompt_id for prompt in lot.prompts}) != len(lot.prompts):
        return invalid(node, "prompts", "two prompts of a lot have the same prompt_id")
    if any(prompt.max_tokens < 1 for prompt in lot.prompts):
        return invalid(node, "prompts", "max_tokens must be at least 1")
    return None


def check_pull(pull: SamplePull, tenant: Tenant | None, node: NodeName) -> StagewalkError | None:
    """Return the error of an invalid pull, or None; the cursor is checked separately."""
    if tenant is None:
        return unknown_tenant(node, pull.tenant)
    if pull.max_samples < 1:
        return invalid(node, "max_samples", "a pull must take at least one sample")
    return None
