"""Decides whether the process to which a batch is assigned still runs it. Pure.

Owns the rule; relies on the table of nodes and on the results of direct probes of runners.
"""

from __future__ import annotations

from stagewalk.gateway.batches.runner_liveness import RunnerLiveness
from stagewalk.gateway.batches.takeover import RunnerState
from stagewalk.gateway.directory.node_table import NodeTable
from stagewalk.gateway.nodes.identity import OwnIdentity, parse_process_id


def judge_runner(
    process: str,
    own: OwnIdentity,
    table: NodeTable,
    liveness: RunnerLiveness,
    *,
    view_at: float,
    now: float,
) -> RunnerState:
    """Return the state of a process to which a batch is assigned.

    A process whose node no longer follows the batches doesn't run them.

    Parameters
    ----------
    process
        Identity of the process, as the batch's records name it.
    own
        Identity of this process.
    view_at, now
        When the view of nodes was last complete, and now, in seconds of the steady clock. Nodes are
        judged at the former time, probes at the latter.
    """
    identity = parse_process_id(process)
    if identity is None:
        return RunnerState.GONE
    if own.names(process):
        return RunnerState.RUNS
    if identity.node == own.node:
        return RunnerState.MINE_BEFORE
    known = table.known(identity.node)
    if known is None or not known.ledger_replica or liveness.gone(process, now):
        return RunnerState.GONE
    if liveness.replaced(process, now):
        return RunnerState.RETURNED
    if table.process_alive(known.node, identity.incarnation, view_at):
        return RunnerState.RUNS
    returned = table.process_alive(known.node, known.incarnation, view_at)
    return RunnerState.RETURNED if returned else RunnerState.GONE
