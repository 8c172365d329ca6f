"""Deterministic state machine of the configuration: equal records give equal states on all nodes.

Stale and invalid records are rejected here, so that every node rejects the same ones and the nodes
need to agree on nothing but the order of the log.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import replace

from expression import Error, Ok, Result

from stagewalk.common.identities import RecordId, TenantName
from stagewalk.node.configuration.outcomes import (
    ChangeAccepted,
    ChangeOutcome,
    ChangeRejected,
    ChangeRepeated,
    HistoryEntry,
    RejectionReason,
)
from stagewalk.node.configuration.parameters import Tenant, TenantParameters
from stagewalk.node.configuration.records import (
    AnyChange,
    ChangeParameters,
    CreateTenant,
    DeleteTenant,
    RollBack,
    decode_change,
)
from stagewalk.node.configuration.state import (
    FoldState,
    RevisionEntry,
    TenantRecord,
    decode_snapshot,
    encode_snapshot,
    extend_chain,
    overcommitted_model,
    state_digest,
)
from stagewalk.node.core.platform import LogRecord

MAXIMUM_HISTORY_ENTRIES = 512
"""Number of records whose outcome is kept; a record repeated later is evaluated again.

It is still rejected, because its base revision is no longer current."""

MAXIMUM_KEPT_REVISIONS = 12
"""Number of revisions of a tenant that can be rolled back to."""

MAXIMUM_TENANT_NAMES_PER_PARTNER = 64
"""Maximum number of tenant names of a partner, including deleted ones.

With the bounds of `TenantParameters` it keeps a snapshot of two partners at this limit below 3 MB,
which fits into a frame between nodes."""

RECORD_ID_PATTERN = re.compile(r"[!-~]{1,128}")


class ConfigurationStateMachine:
    """State of the configuration after a prefix of the stream `configuration`."""

    def __init__(self) -> None:
        self._offset = 0
        self._chain = 0
        self._records: dict[TenantName, TenantRecord] = {}
        self._tenants: dict[TenantName, Tenant] = {}
        self._history: deque[HistoryEntry] = deque()
        self._entries: dict[RecordId, HistoryEntry] = {}
        self._digest: str | None = None

    @property
    def offset(self) -> int:
        """Return the offset after the last record applied."""
        return self._offset

    @property
    def tenants(self) -> dict[TenantName, Tenant]:
        """Return the tenants in force by name, sorted; callers must not change it."""
        return self._tenants

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the latest records and their outcomes, oldest first."""
        return tuple(self._history)

    def revisions(self, tenant: TenantName) -> tuple[RevisionEntry, ...]:
        """Return the revisions of a tenant that can be rolled back to, oldest first."""
        record = self._records.get(tenant)
        return () if record is None else record.revisions

    def last_revision(self, tenant: TenantName) -> int:
        """Return the revision that a change of this tenant must be based on; 0 if unused."""
        record = self._records.get(tenant)
        return 0 if record is None else record.tenant.revision

    def digest(self) -> str:
        """Return the digest of the state, which is equal on all nodes at the same offset."""
        if self._digest is None:
            self._digest = state_digest(self._offset, self._chain, self._records)
        return self._digest

    def outcome_of(self, record_id: RecordId) -> ChangeAccepted | ChangeRejected | None:
        """Return the outcome of a record, or None if it is not in the history."""
        entry = self._entries.get(record_id)
        return None if entry is None else entry.outcome

    def apply(self, record: LogRecord) -> ChangeOutcome:
        """Apply the next record, whatever its payload.

        A record below `offset` was already applied and is reported as repeated.

        Raises
        ------
        ValueError
            If the record is beyond `offset`, so that applying it would leave a gap.
        """
        if record.offset < self._offset:
            return ChangeRepeated(record.offset)
        if record.offset > self._offset:
            raise ValueError(f"record {record.offset} does not follow offset {self._offset}")
        self._offset += 1
        self._digest = None
        if RECORD_ID_PATTERN.fullmatch(record.record_id) is None:
            return self._reject_record_id(record)
        known = self._entries.get(record.record_id)
        if known is not None:
            self._extend_chain(record.record_id, None)
            return ChangeRepeated(known.offset)
        decoded = decode_change(record.payload)
        match decoded:
            case Result(tag="ok", ok=change):
                outcome = self._evaluate(change)
                self._record_outcome(record, change, outcome)
            case Result(error=error):
                outcome = ChangeRejected(RejectionReason.MALFORMED, error.detail, error.field)
                self._record_outcome(record, None, outcome)
        return outcome

    def _reject_record_id(self, record: LogRecord) -> ChangeRejected:
        """Reject a record with an invalid id; its history entry gets an id made of its offset."""
        detail = "a record id is 1 to 128 printable ASCII characters"
        outcome = ChangeRejected(RejectionReason.MALFORMED, detail, "record_id")
        record_id = RecordId(f"(invalid at offset {record.offset})")
        self._record_outcome(replace(record, record_id=record_id), None, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Return the state as the payload of a record of the stream `configuration-snapshots`."""
        state = FoldState(
            offset=self._offset,
            chain=self._chain,
            tenants=self._records,
            history=tuple(self._history),
        )
        return encode_snapshot(state)

    def restore(self, payload: bytes) -> bool:
        """Replace this state by a snapshot if that is valid and newer; return whether it was."""
        state = decode_snapshot(payload)
        if state is None or state.offset <= self._offset:
            return False
        self._offset = state.offset
        self._chain = state.chain
        self._records = dict(state.tenants)
        self._history = deque(state.history)
        self._entries = {entry.record_id: entry for entry in state.history}
        self._digest = None
        self._refresh_tenants()
        return True

    def _evaluate(self, change: AnyChange) -> ChangeAccepted | ChangeRejected:
        """Check a change against the state, and apply it if it is valid."""
        record = self._records.get(change.tenant)
        rejection = self._reject_wrong_owner(change, record)
        if rejection is None:
            rejection = self._reject_stale(change, record)
        if rejection is not None:
            return rejection
        match self._resulting_parameters(change, record):
            case Result(tag="ok", ok=parameters):
                pass
            case Result(error=rejected):
                return rejected
        if not isinstance(change, DeleteTenant):
            rejection = self._reject_overcommitment(change.tenant, parameters)
            if rejection is not None:
                return rejection
        return self._apply_change(change, record, parameters)

    def _reject_wrong_owner(
        self, change: AnyChange, record: TenantRecord | None
    ) -> ChangeRejected | None:
        if record is not None and record.tenant.partner != change.partner:
            detail = f"tenant {change.tenant} belongs to {record.tenant.partner}"
            return ChangeRejected(RejectionReason.NOT_OWNER, detail, "partner")
        if record is None and isinstance(change, CreateTenant):
            owned = sum(r.tenant.partner == change.partner for r in self._records.values())
            if owned >= MAXIMUM_TENANT_NAMES_PER_PARTNER:
                detail = (
                    f"{change.partner} has used up its {MAXIMUM_TENANT_NAMES_PER_PARTNER} names"
                )
                return ChangeRejected(RejectionReason.TOO_MANY_TENANTS, detail, "tenant")
        return None

    def _reject_stale(
        self, change: AnyChange, record: TenantRecord | None
    ) -> ChangeRejected | None:
        exists = record is not None and not record.deleted
        if isinstance(change, CreateTenant):
            if exists:
                detail = f"tenant {change.tenant} exists"
                return ChangeRejected(RejectionReason.TENANT_EXISTS, detail, "tenant")
        elif not exists:
            detail = f"there is no tenant {change.tenant}"
            return ChangeRejected(RejectionReason.UNKNOWN_TENANT, detail, "tenant")
        revision = 0 if record is None else record.tenant.revision
        if change.base_revision != revision:
            detail = f"based on revision {change.base_revision}, but {revision} is in force"
            return ChangeRejected(RejectionReason.STALE_REVISION, detail, "base_revision")
        return None

    def _resulting_parameters(
        self, change: AnyChange, record: TenantRecord | None
    ) -> Result[TenantParameters, ChangeRejected]:
        """Return the parameters that the tenant would have after a change."""
        if isinstance(change, CreateTenant | ChangeParameters):
            return Ok(change.parameters)
        assert record is not None
        if isinstance(change, RollBack):
            for entry in record.revisions:
                if entry.revision == change.to_revision:
                    return Ok(entry.parameters)
            detail = f"revision {change.to_revision} is not among those kept"
            return Error(ChangeRejected(RejectionReason.UNKNOWN_REVISION, detail, "to_revision"))
        return Ok(record.tenant.parameters)

    def _reject_overcommitment(
        self, name: TenantName, parameters: TenantParameters
    ) -> ChangeRejected | None:
        others = (tenant for tenant in self._tenants.values() if tenant.name != name)
        model = overcommitted_model(others, parameters)
        if model is None:
            return None
        detail = f"the shares of the tenants of {model} would add up to more than 1"
        return ChangeRejected(
            RejectionReason.POOL_OVERCOMMITTED, detail, "parameters.capacity_share"
        )

    def _apply_change(
        self, change: AnyChange, record: TenantRecord | None, parameters: TenantParameters
    ) -> ChangeAccepted:
        revision = change.base_revision + 1
        if isinstance(change, CreateTenant):
            template = change.template
        else:
            assert record is not None
            template = record.tenant.template
        tenant = Tenant(
            name=change.tenant,
            partner=change.partner,
            template=template,
            revision=revision,
            parameters=parameters,
        )
        revisions = () if record is None else record.revisions
        deleted = isinstance(change, DeleteTenant)
        if not deleted:
            revisions = (*revisions, RevisionEntry(revision, parameters))[-MAXIMUM_KEPT_REVISIONS:]
        self._records[change.tenant] = TenantRecord(tenant, deleted, revisions)
        self._refresh_tenants()
        return ChangeAccepted(revision)

    def _refresh_tenants(self) -> None:
        self._tenants = {
            name: record.tenant
            for name, record in sorted(self._records.items())
            if not record.deleted
        }

    def _record_outcome(
        self,
        record: LogRecord,
        change: AnyChange | None,
        outcome: ChangeAccepted | ChangeRejected,
    ) -> None:
        entry = HistoryEntry(
            offset=record.offset,
            record_id=record.record_id,
            kind="" if change is None else str(change.__struct_config__.tag),
            operator="" if change is None else change.operator,
            partner="" if change is None else change.partner,
            tenant="" if change is None else change.tenant,
            outcome=outcome,
        )
        self._history.append(entry)
        self._entries[record.record_id] = entry
        if len(self._history) > MAXIMUM_HISTORY_ENTRIES:
            oldest = self._history.popleft()
            del self._entries[oldest.record_id]
        self._extend_chain(record.record_id, outcome)

    def _extend_chain(
        self, record_id: RecordId, outcome: ChangeAccepted | ChangeRejected | None
    ) -> None:
        """Extend the chain by id and outcome but not `detail`, which may differ by release."""
        match outcome:
            case ChangeAccepted(revision=revision):
                verdict = str(revision)
            case ChangeRejected(reason=reason):
                verdict = reason.value
            case None:
                verdict = "repeated"
        self._chain = extend_chain(self._chain, f"{record_id} {verdict}".encode())
