"""Switches of optional optimizations, all enabled by default.

The switches are the fields of the section `policy` of the settings. They are read in `forwarding`,
`batches`, `batch_service`, `scoring`, `runners`, `directory` and `version_rollouts`.
"""

from __future__ import annotations

import msgspec


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Switches of optimizations; no guarantee of the gateway depends on any of them.

    Attributes
    ----------
    kept_text
        Resume an item from text generated in an earlier batch or by another runner.
    moves
        Move an item to an engine where it is expected to finish much earlier.
    siblings
        Prefer an engine that already holds the prompt of the item's group.
    zone_preference
        Prefer engines of the node's own zone.
    suspicion
        Avoid engines that failed recently.
    pace
        Prefer engines with a higher observed speed.
    half_change
        Update half of the engines to a new version while batches allow the previous one.
    engine_sets
        With several models, roll out each one's versions on a separate set of engines.
    score_hedges
        Send a hedged score request to another scorer if the first one is late.
    ask_runner
        Ask a node before it is assigned a batch, and notify it of the assignment.
    probe_runners
        Probe runners for liveness.
    resume_first
        After a restart, resume own batches before the whole log is read.
    few_replicas
        Keep replicas of the batch ledger on six nodes instead of twelve.
    hold_results
        Near the end of a step, delay a trainer's read until all results it waits for are available.
    spread_trainers
        Run batches of different trainers on different nodes.
    warm_connections
        Prefer workers with an idle connection for requests that may reuse one.
    reported_pace
        Distinguish a worker's own speed from the current pace that it reports.
    admission
        Queue forwarded requests fairly for services whose workers report their load.
    place_shares
        Share engine places among trainers while demand exceeds supply.
    engine_memory
        Place items on engines with enough free memory.
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
