"""What can run in the nodes of a simulation: the product, and services to compare it with."""

from __future__ import annotations

import random
from functools import partial

from stagewalk.node.node_core import NodeCore, NodeIdentity
from stagewalk.simulation.baseline_node import BaselineNodeCore
from stagewalk.simulation.node_host import Core, CoreFactory

PRODUCT = "product"


def _product(identity: NodeIdentity, generator: random.Random) -> Core:
    return NodeCore(identity, generator)


POLICIES: dict[str, CoreFactory] = {
    PRODUCT: _product,
    "plain_round_robin": BaselineNodeCore,
    "plain_least_loaded": partial(BaselineNodeCore, least_loaded=True),
}
