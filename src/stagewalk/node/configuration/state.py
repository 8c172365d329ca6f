"""State of the configuration state machine, the check of pool shares, and snapshots.

The stored form of a snapshot is read by other releases.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from stagewalk.common.identities import ModelName, TenantName
from stagewalk.node.configuration.outcomes import HistoryEntry
from stagewalk.node.configuration.parameters import Tenant, TenantParameters

SHARE_UNITS = 1_000_000
"""Capacity shares are summed in millionths, so that the sum is exact on every machine."""

SNAPSHOT_FORMAT_VERSION = 1
"""Increased when the form of a snapshot changes; snapshots of other versions are ignored."""


class RevisionEntry(msgspec.Struct, frozen=True):
    """Parameters of a tenant at a revision, kept for rollback."""

    revision: int
    parameters: TenantParameters


class TenantRecord(msgspec.Struct, frozen=True):
    """A tenant with its recent revisions; a deleted one keeps its owner and last revision."""

    tenant: Tenant
    deleted: bool
    revisions: tuple[RevisionEntry, ...]


class FoldState(msgspec.Struct, frozen=True, kw_only=True):
    """The whole state at an offset.

    Attributes
    ----------
    chain
        Hash over the ids and outcomes of all records so far; two nodes with the same chain have
        applied the same prefix.
    """

    offset: int
    chain: int
    tenants: dict[TenantName, TenantRecord]
    history: tuple[HistoryEntry, ...]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A state as it is sent between nodes and stored in the log."""

    format: int
    digest: str
    state: FoldState


_ENCODER = msgspec.json.Encoder(order="sorted")
_DECODER = msgspec.json.Decoder(Snapshot)


def state_digest(offset: int, chain: int, tenants: dict[TenantName, TenantRecord]) -> str:
    """Return the hexadecimal xxHash of the canonical encoding of a state."""
    return xxhash.xxh3_128_hexdigest(_ENCODER.encode((offset, chain, tenants)))


def extend_chain(chain: int, entry: bytes) -> int:
    """Return the chain extended by one record's id and outcome."""
    return xxhash.xxh3_64_intdigest(chain.to_bytes(8, "big") + entry)


def encode_snapshot(state: FoldState) -> bytes:
    """Encode a state as the payload of a snapshot record."""
    digest = state_digest(state.offset, state.chain, state.tenants)
    return _ENCODER.encode(Snapshot(format=SNAPSHOT_FORMAT_VERSION, digest=digest, state=state))


def decode_snapshot(payload: bytes) -> FoldState | None:
    """Return a snapshot's state, or None if it is damaged or of another format."""
    try:
        snapshot = _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    state = snapshot.state
    if snapshot.format != SNAPSHOT_FORMAT_VERSION:
        return None
    if snapshot.digest != state_digest(state.offset, state.chain, state.tenants):
        return None
    return state


def snapshot_offset(payload: bytes) -> int | None:
    """Return the offset of a snapshot's state, or None if it cannot be used."""
    state = decode_snapshot(payload)
    return None if state is None else state.offset


def overcommitted_model(
    tenants: Iterable[Tenant], parameters: TenantParameters
) -> ModelName | None:
    """Return the first model whose pool has too little capacity left for new parameters.

    Parameters
    ----------
    tenants
        All other tenants in force.
    """
    others = tuple(tenants)
    for model in sorted(parameters.models):
        total = share_units(parameters)
        total += sum(
            share_units(other.parameters) for other in others if model in other.parameters.models
        )
        if total > SHARE_UNITS:
            return model
    return None


def share_units(parameters: TenantParameters) -> int:
    """Return a capacity share in millionths, at least one."""
    return max(1, round(parameters.capacity_share * SHARE_UNITS))
