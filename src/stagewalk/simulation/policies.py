"""What can run in the nodes of a simulation: the product, and services to compare it with.

`product` is the product as it is; `routing_*` is the product with another routing policy;
`plain_*` is a whole service without the product's mechanisms.
"""

from __future__ import annotations

import random
from functools import partial

from stagewalk.node.node_config import NodeConfig
from stagewalk.node.node_core import NodeCore, NodeIdentity
from stagewalk.node.routing.config import RouterConfig
from stagewalk.simulation.baseline_node import BaselineNodeCore
from stagewalk.simulation.node_host import Core, CoreFactory

PRODUCT = "product"
ROUTING_BASELINES = ("round_robin", "least_loaded", "power_of_two", "prefix_affinity")


def _product(identity: NodeIdentity, generator: random.Random) -> Core:
    return NodeCore(identity, generator)


def _product_with_routing(identity: NodeIdentity, generator: random.Random, *, policy: str) -> Core:
    config = NodeConfig(router=RouterConfig(policy=policy))
    return NodeCore(identity, generator, config)


POLICIES: dict[str, CoreFactory] = {
    PRODUCT: _product,
    **{
        f"routing_{policy}": partial(_product_with_routing, policy=policy)
        for policy in ROUTING_BASELINES
    },
    "plain_round_robin": BaselineNodeCore,
    "plain_least_loaded": partial(BaselineNodeCore, least_loaded=True),
}
