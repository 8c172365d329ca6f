"""Timing and sizes of failure detection, in seconds and members.

docs/CAPACITY.md has the traffic and detection time measured at 420 nodes.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Parameters of `MembershipCore`. Times are seconds.

    Attributes
    ----------
    probe_interval
        Time between two direct probes of a healthy node.
    zone_timeout, region_timeout, remote_timeout
        Timeout of a direct probe of a member in the same zone, in another zone of the same
        region, and in another region. Indirect probes follow.
    indirect_probes
        Number of other members that are asked to probe the target.
    suspicion_factor
        Shortest suspicion, in probe intervals times log10 of the number of members.
    suspicion_spread
        Ratio of the longest suspicion (no other accuser) to the shortest.
    suspicion_confirmations
        Number of further accusers at which a suspicion is at its shortest.
    remote_suspicion_factor
        Factor on the suspicion of a member in another region, since links between regions lose
        more messages, and for longer, than links inside one.
    retransmission_factor
        How often an update is passed on, times log10 of the number of members, rounded up.
    gossip_interval, gossip_fanout
        Time between rounds of gossip while updates are queued, and recipients in each round.
    exchange_interval
        Time between comparisons of the whole member list with a random member.
    contact_interval
        Time between contacts of a machine that is listed or dead, but not a member.
    dead_retention
        How long members that died or left are kept, and dead ones contacted. A partition that
        lasts longer does not heal by itself.
    pause_threshold
        A gap between ticks above this means that this process was paused.
    maximum_health_penalty
        Upper bound of the penalty by which a slow or isolated node lengthens its own timeouts.
    """

    probe_interval: float = 1.0
    zone_timeout: float = 0.3
    region_timeout: float = 0.4
    remote_timeout: float = 0.6
    indirect_probes: int = 3
    suspicion_factor: float = 2.0
    suspicion_spread: float = 3.0
    suspicion_confirmations: int = 3
    remote_suspicion_factor: float = 1.5
    retransmission_factor: float = 3.0
    gossip_interval: float = 0.3
    gossip_fanout: int = 3
    exchange_interval: float = 30.0
    contact_interval: float = 10.0
    dead_retention: float = 7200.0
    pause_threshold: float = 1.0
    maximum_health_penalty: int = 8
