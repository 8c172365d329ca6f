"""Identities that cross subsystem borders, each a type of its own for the type checker.

Relies on nothing; what an identity is made from belongs to the subsystem that makes it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType, Protocol

NodeName = NewType("NodeName", str)
"""Name of a node, from its settings file. A restarted process keeps its name."""

EngineName = NewType("EngineName", str)
"""Name of a model engine, from the platform's machine list."""

TenantName = NewType("TenantName", str)
ModelName = NewType("ModelName", str)

RequestId = NewType("RequestId", str)
"""Chosen by the caller, unique within its tenant: the key of at-most-once execution."""

AttemptId = NewType("AttemptId", str)
"""One try of a request at one engine; sent to the engine as `X-Request-Id`."""

CallId = NewType("CallId", str)
"""One open call at this node's own edge; chosen by the shell, never leaves the node."""

RecordId = NewType("RecordId", str)
"""Unique identity of a log record, by which a lost append answer is settled."""

Incarnation = NewType("Incarnation", int)
"""Grows with each start of a process under the same name."""

Epoch = NewType("Epoch", int)
"""Fencing token: orders and records with a smaller epoch than one already seen are dropped."""

WeightVersion = NewType("WeightVersion", int)
"""Number of a model's weights, growing by one with each publish."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens: an IP number and a port, never a host name."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Placement:
    """Failure domains of a machine."""

    region: str
    zone: str


class ProcessIdentity(Protocol):
    """Who a process is, as far as cores need to know; `NodeIdentity` satisfies it."""

    @property
    def name(self) -> NodeName:
        """Return the node's name."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the number of this start of the process."""

    @property
    def placement(self) -> Placement:
        """Return the node's failure domains."""


@dataclass(frozen=True, slots=True, order=True)
class RequestKey:
    """The identity of a completion request: its id is unique within its tenant."""

    tenant: TenantName
    request_id: RequestId

    def __str__(self) -> str:
        return f"{self.tenant}/{self.request_id}"


@dataclass(frozen=True, slots=True, order=True)
class SampleSlotKey:
    """The place of one sample in a training step.

    A step of a tenant's trainer asks for `samples_per_prompt` samples of each prompt;
    each of them is one slot, filled exactly once.
    """

    tenant: TenantName
    trainer: str
    step: int
    prompt_id: str
    sample_index: int

    def __str__(self) -> str:
        return f"{self.tenant}/{self.trainer}/{self.step}/{self.prompt_id}/{self.sample_index}"
