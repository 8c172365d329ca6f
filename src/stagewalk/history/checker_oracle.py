"""The product's configuration state machine as the checker's oracle of accepted records.

Adds no rules to those of `node.configuration.state_machine`.
"""

from __future__ import annotations

from stagewalk.common.identities import RecordId
from stagewalk.history.observations import RecordAppended
from stagewalk.node.configuration.outcomes import ChangeAccepted
from stagewalk.node.configuration.parameters import TenantParameters
from stagewalk.node.configuration.state_machine import ConfigurationStateMachine
from stagewalk.node.core.platform import LogRecord


class FoldOracle:
    """Applies the records in log order to a state machine that no node uses."""

    def __init__(self) -> None:
        self._fold = ConfigurationStateMachine()

    def apply(self, record: RecordAppended) -> bool:
        """Apply the next record of the stream; return whether it was accepted."""
        log_record = LogRecord(record.offset, RecordId(record.record_id), record.payload)
        return isinstance(self._fold.apply(log_record), ChangeAccepted)

    def parameters(self) -> dict[str, TenantParameters]:
        """Return the parameters in force, by tenant."""
        return {name: tenant.parameters for name, tenant in self._fold.tenants.items()}

    def revisions(self) -> dict[str, int]:
        """Return the revisions in force, by tenant."""
        return {name: tenant.revision for name, tenant in self._fold.tenants.items()}

    def digest(self) -> str:
        """Return the digest that a node in this state reports."""
        return self._fold.digest()
