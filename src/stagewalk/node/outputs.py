"""Everything a core of the node may return: instructions, and notifications to other cores."""

from __future__ import annotations

from stagewalk.claims.notifications import ClaimOutput
from stagewalk.configuration.follower import FollowerOutput
from stagewalk.core.instructions import Instruction
from stagewalk.leases.notifications import LeaseOutput
from stagewalk.log_client.core import LogClientOutput
from stagewalk.membership.core import MembershipOutput
from stagewalk.requests.notifications import RequestOutput
from stagewalk.samples.settlement import LotOutput

NodeOutput = (
    Instruction
    | MembershipOutput
    | LogClientOutput
    | FollowerOutput
    | LeaseOutput
    | ClaimOutput
    | RequestOutput
    | LotOutput
)
