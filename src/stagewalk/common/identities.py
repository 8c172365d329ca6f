"""Identifier types that several subsystems share, distinct for the type checker."""

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
"""One attempt to run a request on one engine; sent to the engine as `X-Request-Id`."""

CallId = NewType("CallId", str)
"""One open call at this node's HTTP edge; never leaves the node."""

RecordId = NewType("RecordId", str)
"""Unique id of a log record; shows whether an append without a response succeeded."""

Incarnation = NewType("Incarnation", int)
"""Grows with each start of a process under the same name."""

Epoch = NewType("Epoch", int)
"""Fencing token: orders and records with a smaller epoch than one already seen are dropped."""

WeightVersion = NewType("WeightVersion", int)
"""Version number of a model's weights, incremented by each publish."""


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port at which a process listens; never a host name."""

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
    """Identity of a process, as pure cores need it; `NodeIdentity` implements it."""

    @property
    def name(self) -> NodeName:
        """Return the node's name."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of this process."""

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
    """Identifies one sample of a training step.

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
