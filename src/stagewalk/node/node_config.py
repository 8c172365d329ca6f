"""Parameters of all the cores a node is composed of; `settings` holds what operators may set.

Every node and the simulation use these values; tests of single cores use others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from stagewalk.node.admission.config import AdmissionConfig
from stagewalk.node.claims.config import ClaimConfig
from stagewalk.node.claims.planner import PlacementPlannerConfig
from stagewalk.node.configuration.follower import ConfigurationFollowerConfig
from stagewalk.node.leases.config import LeaseConfig
from stagewalk.node.log_client.config import LogClientConfig
from stagewalk.node.membership.config import MembershipConfig
from stagewalk.node.requests.config import RequestConfig
from stagewalk.node.routing.config import EngineTableConfig, RouterConfig
from stagewalk.node.samples.config import LotConfig
from stagewalk.node.weights.config import WeightRolloutConfig

MAXIMUM_CLAIMED_SAMPLE_BYTES = 64 * 1024
"""A claim holds a whole finished sample; a longer one is handed over without a claim."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """Settings of a node's cores.

    Attributes
    ----------
    machine_list_interval_seconds
        Time between two reads of the platform's machine list.
    planning_interval_seconds
        Time between two runs of the replica groups' planner at the placement duty's holder.
    """

    machine_list_interval_seconds: float = 2.0
    planning_interval_seconds: float = 1.0
    membership: MembershipConfig = field(default_factory=MembershipConfig)
    log_client: LogClientConfig = field(default_factory=LogClientConfig)
    follower: ConfigurationFollowerConfig = field(default_factory=ConfigurationFollowerConfig)
    leases: LeaseConfig = field(default_factory=LeaseConfig)
    claims: ClaimConfig = field(
        default_factory=lambda: ClaimConfig(maximum_value_bytes=MAXIMUM_CLAIMED_SAMPLE_BYTES)
    )
    planner: PlacementPlannerConfig = field(default_factory=PlacementPlannerConfig)
    weights: WeightRolloutConfig = field(default_factory=WeightRolloutConfig)
    engine_table: EngineTableConfig = field(default_factory=EngineTableConfig)
    router: RouterConfig = field(default_factory=RouterConfig)
    admission: AdmissionConfig = field(default_factory=AdmissionConfig)
    requests: RequestConfig = field(default_factory=RequestConfig)
    lots: LotConfig = field(default_factory=LotConfig)
