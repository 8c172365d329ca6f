"""Deterministic fold of the published configuration: same records, same state, on every node.

A record that lost a race or breaks a rule is rejected here, by the fold itself, so that every
node rejects it alike and nothing has to be agreed upon beyond the order of the log.
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
"""Records of which the outcome is kept; a record repeated later than that is judged anew.

It is rejected all the same, because its base revision has been passed."""

MAXIMUM_KEPT_REVISIONS = 12
"""Revisions of a tenant that can be rolled back to."""

MAXIMUM_TENANT_NAMES_PER_PARTNER = 64
"""Names a partner may take up, deleted ones included.

With the bounds of `TenantParameters` it keeps a snapshot of two partners' full use below 3 MB,
which fits a frame between nodes."""

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
        """Return the offset after the last record folded."""
        return self._offset

    @property
    def tenants(self) -> dict[TenantName, Tenant]:
        """Return the tenants in force by name, sorted; to be read only."""
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
        """Return the revision a change of this name must be based on; 0 for an unused name."""
        record = self._records.get(tenant)
        return 0 if record is None else record.tenant.revision

    def digest(self) -> str:
        """Return the digest of the whole state: equal on all nodes at the same offset."""
        if self._digest is None:
            self._digest = state_digest(self._offset, self._chain, self._records)
        return self._digest

    def outcome_of(self, record_id: RecordId) -> ChangeAccepted | ChangeRejected | None:
        """Return what became of a record, if it was folded and is still in the history."""
        entry = self._entries.get(record_id)
        return None if entry is None else entry.outcome

    def apply(self, record: LogRecord) -> ChangeOutcome:
        """Fold the next record, whatever its payload.

        A record below `offset` was folded before and is reported as repeated.

        Raises
        ------
        ValueError
            If the record lies beyond `offset`: folding it would leave a gap.
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
                outcome = self._judge(change)
                self._remember(record, change, outcome)
            case Result(error=error):
                outcome = ChangeRejected(RejectionReason.MALFORMED, error.detail, error.field)
                self._remember(record, None, outcome)
        return outcome

    def _reject_record_id(self, record: LogRecord) -> ChangeRejected:
        """Reject a record whose id could not be kept; its history entry is named by its offset."""
        detail = "a record id is 1 to 128 printable ASCII characters"
        outcome = ChangeRejected(RejectionReason.MALFORMED, detail, "record_id")
        record_id = RecordId(f"(invalid at offset {record.offset})")
        self._remember(replace(record, record_id=record_id), None, outcome)
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
        """Replace this state by a snapshot if that is newer; return whether it was."""
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

    def _judge(self, change: AnyChange) -> ChangeAccepted | ChangeRejected:
        """Check a change against the state and put it in force if nothing speaks against it."""
        record = self._records.get(change.tenant)
        rejection = self._reject_stranger(change, record)
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
        return self._put_in_force(change, record, parameters)

    def _reject_stranger(
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
        """Return the parameters the tenant would have after a change."""
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

    def _put_in_force(
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

    def _remember(
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
        """Extend the chain by what decides; wording may differ between releases."""
        match outcome:
            case ChangeAccepted(revision=revision):
                verdict = str(revision)
            case ChangeRejected(reason=reason):
                verdict = reason.value
            case None:
                verdict = "repeated"
        self._chain = extend_chain(self._chain, f"{record_id} {verdict}".encode())
