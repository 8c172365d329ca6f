"""Timing and sizes of failure detection, in seconds and members.

What they cost and how fast a death is seen at 420 nodes is measured in docs/CAPACITY.md.
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
        Wait for the answer to a direct probe of a member in the own zone, in another zone of the
        own region, and in another region, before others are asked to probe it.
    indirect_probes
        How many others are asked.
    suspicion_factor
        Shortest suspicion, in probe intervals times log10 of the number of members.
    suspicion_spread
        Longest suspicion (nobody else accuses the member), in shortest ones.
    suspicion_confirmations
        Independent accusers that bring a suspicion down to its shortest.
    remote_suspicion_factor
        How much longer a suspicion of a member in another region lasts: links between regions
        lose more, and for longer, than links inside one.
    retransmission_factor
        Times an update is passed on, in log10 of the number of members, rounded up.
    gossip_interval, gossip_fanout
        While updates wait: time between rounds, and members notified in each.
    exchange_interval
        Time between two comparisons of the whole member list with a random member.
    contact_interval
        Time between two probes of a machine that the list names, or that died, but no member.
    dead_retention
        How long the dead and those that left are kept, and the dead contacted again; longer
        than a partition that is to heal by itself.
    pause_threshold
        A gap between ticks above this means that this process was paused.
    maximum_health_penalty
        Bound on the penalty by which a node that doubts itself stretches its timeouts.
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
