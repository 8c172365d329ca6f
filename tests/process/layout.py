"""Topology of a small test system whose links pass through the forwarder."""

from __future__ import annotations

import itertools
import os
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from stagewalk_standins.demo.processes import ProcessSpecification
from stagewalk_standins.demo.topology import (
    HTTP_PORT,
    PEER_PORT,
    Host,
    NodeProcess,
    Topology,
    nodes_flag,
    standin,
)
from stagewalk_standins.forwarder import ForwarderLinks, Peer, StreamLink

REGION = "region"
ZONES = ("zone-1", "zone-2", "zone-3")
MODEL = "model"
SERVICES = ("log", "weights", "machines", "scorer")
WEIGHT_BYTES = 1_000_000
MACHINE_LIST_LAG_SECONDS = 1.0
FIRST_LINK_PORT = 9001
FIRST_PEER_PORT = 7946
FIRST_NETWORK = 128
"""Loopback networks 127.128 to 127.227 are reserved for these tests; the process id selects one."""

_host_numbers = itertools.count(1)


def new_address() -> str:
    """Return an unused loopback address, derived from the process id and a counter."""
    process = os.getpid()
    return f"127.{FIRST_NETWORK + (process >> 8) % 100}.{process & 255}.{next(_host_numbers)}"


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Size, load and flags of a test system."""

    nodes: int = 3
    engines: int = 3
    callers: int = 2
    load_seconds: float = 15.0
    deadline_seconds: float = 12.0
    caller_flags: tuple[str, ...] = ("--rate=4", "--non_repeatable_fraction=0.4")
    trainer_flags: tuple[str, ...] = ("--prompts=4", "--samples_per_prompt=3", "--train_seconds=1")
    engine_flags: tuple[str, ...] = ()


@dataclass
class Layout:
    """Builds the topology of a plan; links are named after their targets.

    `engine-1` carries all nodes' calls to that engine, `log-node-1` one node's calls to the
    log, `edge-node-1` the trainer's calls to that node, `node-1` TCP from its peers, and
    `node-1:node-2` datagrams from the first node to the second.
    """

    plan: Plan
    directory: Path
    streams: list[StreamLink] = field(default_factory=list)
    peers: list[Peer] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.forwarder = self._host("forwarder", 0)
        self.services = {name: self._host(name, 0) for name in SERVICES}

    def topology(self) -> Topology:
        engines = tuple(self._engine(index) for index in range(self.plan.engines))
        nodes = [self._node(index) for index in range(self.plan.nodes)]
        callers = [self._caller(index, nodes) for index in range(self.plan.callers)]
        clients = (*callers, self._trainer(nodes))
        return Topology(self.services, (*self._services(),), engines, tuple(nodes), clients)

    def _host(self, name: str, index: int) -> Host:
        return Host(name, new_address(), REGION, ZONES[index % len(ZONES)])

    def _link(self, name: str, target: str) -> str:
        """Add a proxied TCP link and return its listening address."""
        listen = f"{self.forwarder.address}:{FIRST_LINK_PORT + len(self.streams)}"
        self.streams.append(StreamLink(name, listen, target))
        return listen

    def _history(self, name: str) -> str:
        return f"--history={self.directory / f'{name}.history'}"

    def forwarder_process(self) -> ProcessSpecification:
        path = self.directory / "links.json"
        path.write_bytes(
            msgspec.json.encode(ForwarderLinks(tuple(self.streams), tuple(self.peers)))
        )
        listen = f"--listen={self.forwarder.address}:{HTTP_PORT}"
        return standin("forwarder", "forwarder", listen, f"--links={path}", "--seed=1")

    def _services(self) -> list[ProcessSpecification]:
        flags = {
            "log": (self._history("log"),),
            "weights": (f"--models={MODEL}:1", f"--size_bytes={WEIGHT_BYTES}"),
            "machines": (f"--lag_seconds={MACHINE_LIST_LAG_SECONDS}",),
            "scorer": (),
        }
        return [
            standin(name, name, f"--listen={host.address}:{HTTP_PORT}", *flags[name])
            for name, host in self.services.items()
        ]

    def _engine(self, index: int) -> ProcessSpecification:
        name = f"engine-{index + 1}"
        host = self._host(name, index)
        listen = f"{host.address}:{HTTP_PORT}"
        return standin(
            name,
            "engine",
            f"--name={name}",
            f"--listen={listen}",
            f"--advertise={self._link(name, listen)}",
            f"--model={MODEL}",
            f"--weights={self.services['weights'].url}",
            f"--machines={self.services['machines'].url}",
            f"--region={REGION}",
            f"--zone={host.zone}",
            f"--seed={index}",
            self._history(name),
            *self.plan.engine_flags,
        )

    def _node(self, index: int) -> NodeProcess:
        host = self._host(f"node-{index + 1}", index)
        log = self._link(f"log-{host.name}", f"{self.services['log'].address}:{HTTP_PORT}")
        path = self.directory / f"{host.name}.toml"
        platform = "".join(
            f'{name} = "{service.url}"\n'
            for name, service in self.services.items()
            if name != "log"
        )
        front = f"{self.forwarder.address}:{FIRST_PEER_PORT + index}"
        self.peers.append(Peer(host.name, front, f"{host.address}:{PEER_PORT}"))
        path.write_text(
            f'name = "{host.name}"\nregion = "{REGION}"\nzone = "{host.zone}"\n'
            f'listen = "{host.address}:{HTTP_PORT}"\n'
            f'peer_listen = "{host.address}:{PEER_PORT}"\npeer_advertise = "{front}"\n'
            f'[platform]\nlog = "http://{log}"\n{platform}'
        )
        command = (sys.executable, "-m", "stagewalk", "node", f"--settings={path}")
        specification = ProcessSpecification(host.name, command)
        return NodeProcess(host, specification, front)

    def _caller(self, index: int, nodes: list[NodeProcess]) -> ProcessSpecification:
        name = f"caller-{index + 1}"
        return standin(
            name,
            "caller",
            f"--name={name}",
            f"--nodes={nodes_flag(nodes, index)}",
            "--tenant=advice",
            f"--model={MODEL}",
            f"--duration_seconds={self.plan.load_seconds}",
            f"--deadline_seconds={self.plan.deadline_seconds}",
            "--max_tokens=96",
            f"--seed={index}",
            self._history(name),
            *self.plan.caller_flags,
        )

    def _trainer(self, nodes: list[NodeProcess]) -> ProcessSpecification:
        """Return a trainer that prefers the last node, which no caller prefers by default."""
        ordered = [*nodes[::-1]]
        edges = ",".join(
            f"{node.host.name}=http://"
            + self._link(f"edge-{node.host.name}", f"{node.host.address}:{HTTP_PORT}")
            for node in ordered
        )
        return standin(
            "trainer",
            "trainer",
            "--name=trainer",
            f"--nodes={edges}",
            "--tenant=policy",
            f"--model={MODEL}",
            f"--weights={self.services['weights'].url}",
            f"--checkpoint={self.directory / 'trainer.checkpoint'}",
            "--steps=1000",
            "--max_tokens=160",
            f"--size_bytes={WEIGHT_BYTES}",
            "--look_ahead",
            self._history("trainer"),
            *self.plan.trainer_flags,
        )
