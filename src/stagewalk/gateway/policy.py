"""Which optional mechanisms of decision are in use. All are, unless a setting says otherwise.

Owns their switches, which are the fields of the settings' section `policy`. The rules that read
them are in `forwarding`, `batches`, `batch_service`, `scoring`, `runners`, `directory` and
`version_rollouts`.
"""

from __future__ import annotations

import msgspec


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One switch for each mechanism that only improves results; no promise depends on any of them.

    Attributes
    ----------
    kept_text
        Go on from text of an item that was made in an earlier batch or by another runner.
    moves
        Move an item to an engine at which it will be done well before.
    siblings
        Prefer an engine that holds the prompt of an item's group.
    zone_preference
        Prefer engines of the node's own zone.
    suspicion
        Avoid engines that failed lately.
    pace
        Prefer engines that are faster by what was seen of them.
    half_change
        Change half of the engines with each version while batches allow the one before.
    engine_sets
        With several models, bring each to new versions on a set of engines of its own.
    score_hedges
        Ask another scorer beside a late one.
    ask_runner
        Ask a node before it is given a batch, and notify it of the batch.
    probe_runners
        Ask runners whether they still run.
    resume_first
        Go on with own batches before the whole log is read.
    few_replicas
        Hold replicas of the batch ledger on six nodes, not on twelve.
    hold_results
        Near the end of a step, hold a trainer's read until all that it waits for is there.
    spread_trainers
        Run batches of different trainers on different nodes.
    warm_connections
        Prefer workers to which a connection is kept for requests that may go over one.
    reported_pace
        Tell a worker's own speed from the pace that it reports for the moment.
    admission
        Queue forwarded requests at a service whose workers report their load, in fair order.
    place_shares
        Share engines' places among trainers while they ask for more than there are.
    engine_memory
        Place items where the engine's memory has room for them.
    """

    kept_text: bool = True
    moves: bool = True
    siblings: bool = True
    zone_preference: bool = True
    suspicion: bool = True
    pace: bool = True
    half_change: bool = True
    engine_sets: bool = True
    score_hedges: bool = True
    ask_runner: bool = True
    probe_runners: bool = True
    resume_first: bool = True
    few_replicas: bool = True
    hold_results: bool = True
    spread_trainers: bool = True
    warm_connections: bool = True
    reported_pace: bool = True
    admission: bool = True
    place_shares: bool = True
    engine_memory: bool = True


DEFAULT_POLICY = Policy()
