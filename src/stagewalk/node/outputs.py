"""The union of what the node's cores may return: instructions, and notifications to other cores."""

from __future__ import annotations

from stagewalk.node.claims.notifications import ClaimOutput
from stagewalk.node.configuration.follower import ConfigurationOutput
from stagewalk.node.core.instructions import Instruction
from stagewalk.node.leases.notifications import LeaseOutput
from stagewalk.node.log_client.core import LogClientOutput
from stagewalk.node.membership.core import MembershipOutput
from stagewalk.node.requests.notifications import RequestOutput
from stagewalk.node.samples.settlement import LotOutput

NodeOutput = (
    Instruction
    | MembershipOutput
    | LogClientOutput
    | ConfigurationOutput
    | LeaseOutput
    | ClaimOutput
    | RequestOutput
    | LotOutput
)
